//! The commands of the command line, as thin wrappers around the library.

mod args;
mod call;
mod error;
mod snapshot;

pub use args::Cli;
pub use error::CommandError;

use args::{Command, ConfigArgs, RebuildCommand};
use burlusher::logging::{self, LogFormat};
use burlusher::policy::Policy;
use burlusher::settings::Settings;
use burlusher::snapshotter::{Snapshotter, archive_limiter};
use burlusher::{core, service, status_view, wire};
use call::call;
use error::with_subject;
use std::io::Read;
use std::path::Path;

/// Runs the command given on the command line.
pub fn run(cli: Cli) -> Result<(), CommandError> {
    let job_path = |id: &str| format!("{}/{id}", wire::PATH_JOBS);
    match cli.command {
        Command::Serve {
            files,
            log_format,
            snapshots,
        } => serve(&files, log_format, snapshots.as_deref()),
        Command::Archive {
            config,
            dir,
            log_format,
        } => archive(&config, &dir, log_format),
        Command::Snapshot { command } => snapshot::run(command),
        Command::Rebuild {
            command: RebuildCommand::Settle { node },
        } => print_response(call(&node, "POST", wire::PATH_SETTLE, b"")),
        Command::Check(files) => check(&files),
        Command::Submit { node, file } => {
            let body = read_submission(&file)?;
            print_response(call(&node, "POST", wire::PATH_JOBS, &body))
        }
        Command::Show { node, id } => print_response(call(&node, "GET", &job_path(&id), b"")),
        Command::Cancel { node, id } => {
            let path = format!("{}/{}", job_path(&id), wire::PATH_CANCEL);
            print_response(call(&node, "POST", &path, b""))
        }
        Command::Status { node } => {
            let text = call(&node, "GET", wire::PATH_STATUS, b"")?;
            print!("{}", status_view::render(&serde_json::from_str(&text)?));
            Ok(())
        }
    }
}

fn print_response(response: Result<String, CommandError>) -> Result<(), CommandError> {
    println!("{}", response?);
    Ok(())
}

fn load(files: &ConfigArgs) -> Result<(Settings, Policy), CommandError> {
    let settings = Settings::load(&files.config)?;
    let policy = match &files.policy {
        Some(path) => Policy::load(path)?,
        None => Policy::built_in(),
    };
    Ok((settings, policy))
}

fn start_log(format: LogFormat) -> Result<(), CommandError> {
    Ok(logging::start(
        format,
        std::env::var("LOG_LEVEL").ok().as_deref(),
    )?)
}

fn serve(
    files: &ConfigArgs,
    log_format: LogFormat,
    snapshots: Option<&Path>,
) -> Result<(), CommandError> {
    start_log(log_format)?;
    let (settings, policy) = load(files)?;
    if let Some(warning) = core::cancellation_warning(&settings) {
        tracing::warn!("{warning}");
    }
    Ok(service::run(settings, policy, snapshots)?)
}

fn archive(config: &Path, dir: &Path, log_format: LogFormat) -> Result<(), CommandError> {
    start_log(log_format)?;
    let settings = Settings::load(config)?;
    let mut snapshotter = Snapshotter::open(settings.store_addr, archive_limiter(&settings), dir)
        .map_err(with_subject(dir.display()))?;
    snapshotter.run()
}

fn check(files: &ConfigArgs) -> Result<(), CommandError> {
    let (settings, policy) = load(files)?;
    println!(
        "settings: {} in {}, {} peers, {} teams: valid",
        settings.name,
        settings.zone,
        settings.peers.len(),
        settings.teams.len(),
    );
    println!(
        "with its quota of {} MB and {} sockets the controller serves {} connections at a time and accepts {} tasks of unfinished jobs",
        settings.memory_mb,
        settings.max_sockets,
        service::max_connections(&settings),
        core::max_unfinished_tasks(&settings),
    );
    println!(
        "it keeps {} KB of ends of jobs in memory and reads older ones from the state service",
        core::max_ended_job_bytes(&settings) / 1000,
    );
    println!("policy in force:\n{}", policy.describe());
    if let Some(warning) = core::cancellation_warning(&settings) {
        eprintln!("warning: {warning}");
    }
    Ok(())
}

/// Reads a submission from a file, or from standard input for "-", and validates it.
fn read_submission(file: &Path) -> Result<Vec<u8>, CommandError> {
    let body = if file.as_os_str() == "-" {
        let mut text = Vec::new();
        std::io::stdin().read_to_end(&mut text)?;
        text
    } else {
        std::fs::read(file).map_err(with_subject(file.display()))?
    };
    wire::parse_submission(&body).map_err(with_subject(file.display()))?;
    Ok(body)
}
