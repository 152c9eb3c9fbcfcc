//! The command line; everything else is in the library.

use burlusher::logging::LogFormat;
use burlusher::snapshotter::{self, Snapshotter};
use burlusher::{http, policy::Policy, service, settings::Settings, wire};
use burlusher_snapshot::archive::{Archive, Listed};
use burlusher_snapshot::line::Found;
use clap::{Args, Parser, Subcommand};
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, SystemTime};

/// A cluster scheduler: submitted jobs in, tasks running on rented machines out.
///
/// Run `burlusher serve` on each controller node, with the settings file that the platform hands
/// over. Users submit, show and cancel jobs over HTTP, or with the commands below.
#[derive(Parser)]
#[command(
    version,
    after_help = "LOG_LEVEL (error, warn, info, debug, trace, off) sets how much `serve` logs to standard error."
)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a controller until it is killed.
    Serve {
        #[command(flatten)]
        files: Files,
        /// How the log is written.
        #[arg(long, value_enum, default_value_t = LogFormat::Text)]
        log_format: LogFormat,
        /// Keep what the state service holds in this folder, and remember what is in it.
        #[arg(long, value_name = "DIR")]
        snapshots: Option<PathBuf>,
    },
    /// Follow the state service and keep what it holds in a folder, until killed.
    Archive {
        /// The settings file of any controller (JSON): where the state service is.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        #[arg(long, value_name = "DIR")]
        dir: PathBuf,
        #[arg(long, value_enum, default_value_t = LogFormat::Text)]
        log_format: LogFormat,
    },
    /// Look at what an archive holds, add to it, or offer it to a service that rebuilds.
    Snapshot {
        #[command(subcommand)]
        what: Snapshot,
    },
    /// Decide on a state service that has lost data.
    Rebuild {
        #[command(subcommand)]
        what: Rebuild,
    },
    /// Check the settings and the policy, and show the policy in force.
    Check(Files),
    /// Submit a job described by a JSON file ("-" for standard input).
    #[command(after_help = "Example: burlusher submit --node 127.0.0.1:8080 job.json")]
    Submit {
        #[command(flatten)]
        node: Node,
        file: PathBuf,
    },
    /// Show a job's state.
    Show {
        #[command(flatten)]
        node: Node,
        /// The job's id, such as wk-000412.
        id: String,
    },
    /// Cancel a job.
    Cancel {
        #[command(flatten)]
        node: Node,
        /// The job's id, such as wk-000412.
        id: String,
    },
    /// Show what runs where and why jobs wait (the leader knows most).
    Status {
        #[command(flatten)]
        node: Node,
    },
}

#[derive(Subcommand)]
enum Snapshot {
    /// All lines of the archive: one for each store that was followed.
    List {
        #[command(flatten)]
        archive: Folder,
    },
    /// What a line holds.
    Show {
        #[command(flatten)]
        archive: Folder,
        #[command(flatten)]
        line: Line,
    },
    /// Read every line to its end; the exit code is 1 if anything in it is at fault.
    Verify {
        #[command(flatten)]
        archive: Folder,
    },
    /// Read the state service once and write down what it holds.
    Take {
        #[command(flatten)]
        archive: Folder,
        /// The settings file of any controller (JSON): where the state service is.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Offer a line to the controller that leads, while it rebuilds the state service.
    Restore {
        #[command(flatten)]
        archive: Folder,
        #[command(flatten)]
        line: Line,
        #[command(flatten)]
        node: Node,
    },
}

#[derive(Subcommand)]
enum Rebuild {
    /// Take the state service as it is: tasks of jobs that nobody remembers are stopped, and what is
    /// not known is unknown from then on. Cannot be undone.
    Settle {
        #[command(flatten)]
        node: Node,
    },
}

#[derive(Args)]
struct Folder {
    /// The archive's folder.
    #[arg(long, value_name = "DIR")]
    dir: PathBuf,
    /// As JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
struct Line {
    /// The line's name or number, or the identity of its store; the newest that is whole if none is named.
    #[arg(long, value_name = "NAME")]
    line: Option<String>,
}

#[derive(Args)]
struct Files {
    /// The platform's settings file (JSON).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Operators' own policy; entries it leaves out keep their built-in values.
    #[arg(long, value_name = "FILE")]
    policy: Option<PathBuf>,
}

#[derive(Args)]
struct Node {
    /// Address of any controller node.
    #[arg(long, value_name = "IP:PORT", default_value = "127.0.0.1:8080")]
    node: SocketAddrV4,
}

impl Files {
    fn load(&self) -> Result<(Settings, Policy), String> {
        let settings = Settings::load(&self.config)?;
        let policy = match &self.policy {
            Some(path) => Policy::load(path).map_err(|e| e.to_string())?,
            None => Policy::built_in(),
        };
        Ok((settings, policy))
    }
}

fn call(node: &Node, method: &str, path: &str, body: &[u8]) -> Result<String, String> {
    let mut client = http::Client::new(node.node, Duration::from_secs(3));
    let (status, body) = client
        .call(method, path, body, Duration::from_secs(10), false)
        .map_err(|e| format!("{}: {e}", node.node))?;
    let text = String::from_utf8_lossy(&body).into_owned();
    if status < 300 {
        Ok(text)
    } else {
        Err(format!("{}: {status} {text}", node.node))
    }
}

fn opened(folder: &Folder) -> Result<Archive, String> {
    Archive::existing(&folder.dir).map_err(|e| format!("{}: {e}", folder.dir.display()))
}

/// The line that is asked for.
fn chosen(folder: &Folder, line: &Line) -> Result<Listed, String> {
    let archive = opened(folder)?;
    let found = match &line.line {
        Some(which) => archive.find(which),
        None => archive.list().map(snapshotter::best),
    };
    let found = found.map_err(|e| format!("{}: {e}", folder.dir.display()))?;
    found.ok_or_else(|| format!("{}: no such line", folder.dir.display()))
}

/// One line of an archive, as a value.
fn told(listed: &Listed, jobs: bool) -> serde_json::Value {
    let faults = |f: &[Found]| f.iter().map(Found::to_string).collect::<Vec<_>>();
    match &listed.line {
        Ok(l) => {
            let s = snapshotter::summary(&l.image);
            let mut out = serde_json::json!({
                "line": listed.name, "store": l.head.store, "revision": l.image.revision,
                "base_ms": l.head.at_ms, "newest_ms": l.newest_ms, "bytes": l.bytes,
                "changes": l.changes, "jobs_live": s.live.len(), "jobs_ended": s.ended,
                "machines": s.machines, "term": s.term, "faults": faults(&l.faults),
            });
            if jobs {
                out["live"] = s.live.into();
            }
            out
        }
        Err(f) => serde_json::json!({"line": listed.name, "faults": faults(f)}),
    }
}

fn table(lines: &[serde_json::Value]) -> String {
    let mut out = format!(
        "{:<26} {:>10} {:>8} {:>8} {:>8} {:>9}  newest change (s ago), faults\n",
        "line", "revision", "live", "ended", "machines", "bytes"
    );
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let now = now.unwrap_or_default().as_millis() as u64;
    for l in lines {
        let age = l["newest_ms"].as_u64().map_or("-".into(), |t| {
            format!("{:.1}", now.saturating_sub(t) as f64 / 1000.0)
        });
        let number = |name: &str| l[name].as_u64().map_or("-".into(), |n| n.to_string());
        let faults = l["faults"].as_array().map_or(0, Vec::len);
        let faults = if faults == 0 {
            "none".into()
        } else {
            format!("{faults}: {}", l["faults"][0])
        };
        out.push_str(&format!(
            "{:<26} {:>10} {:>8} {:>8} {:>8} {:>9}  {age}, {faults}\n",
            l["line"].as_str().unwrap_or("-"),
            number("revision"),
            number("jobs_live"),
            number("jobs_ended"),
            number("machines"),
            number("bytes"),
        ));
    }
    out
}

fn print(folder: &Folder, lines: &[serde_json::Value]) {
    if folder.json {
        println!("{}", serde_json::Value::from(lines));
    } else {
        print!("{}", table(lines));
    }
}

fn snapshot(what: Snapshot) -> Result<(), String> {
    match what {
        Snapshot::List { archive } => {
            let all = opened(&archive)?.list().map_err(|e| e.to_string())?;
            let lines: Vec<_> = all.iter().map(|l| told(l, false)).collect();
            print(&archive, &lines);
            Ok(())
        }
        Snapshot::Show { archive, line } => {
            let line = told(&chosen(&archive, &line)?, true);
            print(&archive, std::slice::from_ref(&line));
            if !archive.json {
                let live = line["live"].as_array().into_iter().flatten();
                live.for_each(|id| println!("live {}", id.as_str().unwrap_or("-")));
            }
            Ok(())
        }
        Snapshot::Verify { archive } => {
            let all = opened(&archive)?.list().map_err(|e| e.to_string())?;
            let lines: Vec<_> = all.iter().map(|l| told(l, false)).collect();
            print(&archive, &lines);
            let faults = lines.iter().filter_map(|l| l["faults"].as_array());
            match faults.map(Vec::len).sum::<usize>() {
                0 => Ok(()),
                n => Err(format!("{n} faults")),
            }
        }
        Snapshot::Take { archive, config } => {
            let settings = Settings::load(&config)?;
            let taken =
                Snapshotter::open(settings.store_addr, &archive.dir).and_then(|mut a| a.take());
            let revision = taken.map_err(|e| e.to_string())?;
            println!("{}", serde_json::json!({"revision": revision}));
            Ok(())
        }
        Snapshot::Restore {
            archive,
            line,
            node,
        } => {
            let listed = chosen(&archive, &line)?;
            let offers = snapshotter::offers(&listed)?;
            let mut new = 0;
            for offer in &offers {
                let body = wire::to_json(offer);
                if body.len() > http::MAX_BODY {
                    return Err("a job in it is too large for this way: start a controller with --snapshots and this folder".into());
                }
                let answer = call(&node, "POST", wire::PATH_SNAPSHOT, &body)?;
                let answer: serde_json::Value =
                    serde_json::from_str(&answer).map_err(|e| e.to_string())?;
                new += answer["new_jobs"].as_u64().unwrap_or(0);
            }
            println!(
                "{}",
                serde_json::json!({"line": listed.name, "new_jobs": new})
            );
            Ok(())
        }
    }
}

fn run(cli: Cli) -> Result<(), String> {
    let job = |id: &str, action: &str| format!("{}/{id}{action}", wire::PATH_JOBS);
    match cli.command {
        Command::Serve {
            files,
            log_format,
            snapshots,
        } => {
            burlusher::logging::start(log_format, std::env::var("LOG_LEVEL").ok().as_deref())?;
            let (settings, policy) = files.load()?;
            if let Some(warning) = burlusher::core::cancellation_warning(&settings) {
                tracing::warn!("{warning}");
            }
            let run = service::run(settings, policy, snapshots.as_deref());
            run.map_err(|e| e.to_string())
        }
        Command::Archive {
            config,
            dir,
            log_format,
        } => {
            burlusher::logging::start(log_format, std::env::var("LOG_LEVEL").ok().as_deref())?;
            let settings = Settings::load(&config)?;
            let snapshotter = Snapshotter::open(settings.store_addr, &dir);
            snapshotter
                .map_err(|e| format!("{}: {e}", dir.display()))?
                .run()
        }
        Command::Snapshot { what } => snapshot(what),
        Command::Rebuild {
            what: Rebuild::Settle { node },
        } => {
            println!("{}", call(&node, "POST", wire::PATH_SETTLE, b"")?);
            Ok(())
        }
        Command::Check(files) => {
            let (settings, policy) = files.load()?;
            println!(
                "settings: {} in {}, {} peers, {} teams: good\nby its quota of {} MB and {} sockets it serves {} connections at a time, and accepts {} tasks of unfinished jobs\npolicy in force:\n{}",
                settings.name,
                settings.zone,
                settings.peers.len(),
                settings.teams.len(),
                settings.memory_mb,
                settings.max_sockets,
                service::most_connections(&settings),
                burlusher::core::max_unfinished_tasks(&settings),
                policy.describe()
            );
            if let Some(warning) = burlusher::core::cancellation_warning(&settings) {
                eprintln!("warning: {warning}");
            }
            Ok(())
        }
        Command::Submit { node, file } => {
            let body = if file.as_os_str() == "-" {
                let mut text = Vec::new();
                std::io::Read::read_to_end(&mut std::io::stdin(), &mut text)
                    .map(|_| text)
                    .map_err(|e| e.to_string())?
            } else {
                std::fs::read(&file).map_err(|e| format!("{}: {e}", file.display()))?
            };
            wire::parse_submission(&body).map_err(|e| format!("{}: {e}", file.display()))?;
            println!("{}", call(&node, "POST", wire::PATH_JOBS, &body)?);
            Ok(())
        }
        Command::Show { node, id } => {
            println!("{}", call(&node, "GET", &job(&id, ""), b"")?);
            Ok(())
        }
        Command::Cancel { node, id } => {
            let path = job(&id, &format!("/{}", wire::PATH_CANCEL));
            println!("{}", call(&node, "POST", &path, b"")?);
            Ok(())
        }
        Command::Status { node } => {
            let text = call(&node, "GET", wire::PATH_STATUS, b"")?;
            let view: serde_json::Value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
            print!("{}", burlusher::status_view::render(&view));
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    burlusher::service::limit_memory_pools();
    match run(Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("burlusher: {e}");
            ExitCode::FAILURE
        }
    }
}
