//! The command line's arguments. Doc comments of commands and arguments are their help texts.

use burlusher::logging::LogFormat;
use clap::{Args, Parser, Subcommand};
use std::net::SocketAddrV4;
use std::path::PathBuf;

/// A cluster scheduler: submitted jobs in, tasks running on rented machines out.
///
/// Run `burlusher serve` on each controller node, with the settings file that the platform hands
/// over. Users submit, show and cancel jobs over HTTP, or with the commands below.
#[derive(Parser)]
#[command(
    version,
    after_help = "LOG_LEVEL (error, warn, info, debug, trace, off) sets how much `serve` logs to standard error."
)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Subcommand)]
pub enum Command {
    /// Run a controller until it is killed.
    Serve {
        #[command(flatten)]
        files: ConfigArgs,
        /// Format of the log.
        #[arg(long, value_enum, default_value_t = LogFormat::Text)]
        log_format: LogFormat,
        /// Archive the contents of the state service in this folder, and load what the folder holds at the start.
        #[arg(long, value_name = "DIR")]
        snapshots: Option<PathBuf>,
    },
    /// Watch the state service and archive its contents in a folder, until killed.
    Archive {
        /// The settings file of any controller (JSON): where the state service is.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
        #[arg(long, value_name = "DIR")]
        dir: PathBuf,
        #[arg(long, value_enum, default_value_t = LogFormat::Text)]
        log_format: LogFormat,
    },
    /// Inspect an archive, add a snapshot to it, or restore the state service from it.
    Snapshot {
        #[command(subcommand)]
        command: SnapshotCommand,
    },
    /// Control the rebuild of a state service that has lost data.
    Rebuild {
        #[command(subcommand)]
        command: RebuildCommand,
    },
    /// Check the settings and the policy, and show the policy in force.
    Check(ConfigArgs),
    /// Submit a job described by a JSON file ("-" for standard input).
    #[command(after_help = "Example: burlusher submit --node 127.0.0.1:8080 job.json")]
    Submit {
        #[command(flatten)]
        node: NodeArgs,
        file: PathBuf,
    },
    /// Show a job's state.
    Show {
        #[command(flatten)]
        node: NodeArgs,
        /// The job's id, such as wk-000412.
        id: String,
    },
    /// Cancel a job.
    Cancel {
        #[command(flatten)]
        node: NodeArgs,
        /// The job's id, such as wk-000412.
        id: String,
    },
    /// Show what runs where and why jobs wait (the leader knows most).
    Status {
        #[command(flatten)]
        node: NodeArgs,
    },
}

#[derive(Subcommand)]
pub enum SnapshotCommand {
    /// List all lines (timelines) of the archive: one for each store that was watched.
    List {
        #[command(flatten)]
        archive: ArchiveArgs,
    },
    /// Show what a line contains.
    Show {
        #[command(flatten)]
        archive: ArchiveArgs,
        #[command(flatten)]
        timeline: TimelineArgs,
    },
    /// Read every line completely; the exit code is 1 if any record is damaged.
    Verify {
        #[command(flatten)]
        archive: ArchiveArgs,
    },
    /// Take one snapshot of the state service.
    Take {
        #[command(flatten)]
        archive: ArchiveArgs,
        /// The settings file of any controller (JSON): where the state service is.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Upload a line to the leader while it rebuilds the state service.
    Restore {
        #[command(flatten)]
        archive: ArchiveArgs,
        #[command(flatten)]
        timeline: TimelineArgs,
        #[command(flatten)]
        node: NodeArgs,
    },
}

#[derive(Subcommand)]
pub enum RebuildCommand {
    /// End the rebuild with the data recovered so far: tasks of jobs that are not recovered are stopped,
    /// and data that is not recovered is lost. Cannot be undone.
    Settle {
        #[command(flatten)]
        node: NodeArgs,
    },
}

#[derive(Args)]
pub struct ArchiveArgs {
    /// The archive's folder.
    #[arg(long, value_name = "DIR")]
    pub dir: PathBuf,
    /// Print JSON.
    #[arg(long)]
    pub json: bool,
}

#[derive(Args)]
pub struct TimelineArgs {
    /// The line's name or number, or the identity of its store; by default the newest complete one.
    #[arg(long = "line", value_name = "NAME")]
    pub name: Option<String>,
}

#[derive(Args)]
pub struct ConfigArgs {
    /// The platform's settings file (JSON).
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
    /// The operators' policy; entries left out keep their built-in values.
    #[arg(long, value_name = "FILE")]
    pub policy: Option<PathBuf>,
}

#[derive(Args)]
pub struct NodeArgs {
    /// Address of any controller node.
    #[arg(long, value_name = "IP:PORT", default_value = "127.0.0.1:8080")]
    pub node: SocketAddrV4,
}
