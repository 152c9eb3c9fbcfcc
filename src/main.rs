//! The command line; everything else is in the library.

use burlusher::logging::LogFormat;
use burlusher::{http, policy::Policy, service, settings::Settings, wire};
use clap::{Args, Parser, Subcommand};
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

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
            Some(path) => Policy::load(path)?,
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

fn run(cli: Cli) -> Result<(), String> {
    let job = |id: &str, action: &str| format!("{}/{id}{action}", wire::PATH_JOBS);
    match cli.command {
        Command::Serve { files, log_format } => {
            burlusher::logging::start(log_format, std::env::var("LOG_LEVEL").ok().as_deref())?;
            let (settings, policy) = files.load()?;
            service::run(settings, policy).map_err(|e| e.to_string())
        }
        Command::Check(files) => {
            let (settings, policy) = files.load()?;
            println!(
                "settings: {} in {}, {} peers, {} teams: good\npolicy in force:\n{}",
                settings.name,
                settings.zone,
                settings.peers.len(),
                settings.teams.len(),
                policy.describe()
            );
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
            print!("{}", burlusher::view::render(&view));
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
