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
        command: SnapshotCommand,
    },
    /// Decide on a state service that has lost data.
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
    /// All lines of the archive: one for each store that was followed.
    List {
        #[command(flatten)]
        archive: ArchiveArgs,
    },
    /// What a line holds.
    Show {
        #[command(flatten)]
        archive: ArchiveArgs,
        #[command(flatten)]
        timeline: TimelineArgs,
    },
    /// Read every line to its end; the exit code is 1 if anything in it is at fault.
    Verify {
        #[command(flatten)]
        archive: ArchiveArgs,
    },
    /// Read the state service once and write down what it holds.
    Take {
        #[command(flatten)]
        archive: ArchiveArgs,
        /// The settings file of any controller (JSON): where the state service is.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Offer a line to the controller that leads, while it rebuilds the state service.
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
    /// Take the state service as it is: tasks of jobs that nobody remembers are stopped, and what is
    /// not known is unknown from then on. Cannot be undone.
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
    /// As JSON.
    #[arg(long)]
    pub json: bool,
}

#[derive(Args)]
pub struct TimelineArgs {
    /// The line's name or number, or the identity of its store; the newest that is whole if none is named.
    #[arg(long = "line", value_name = "NAME")]
    pub name: Option<String>,
}

#[derive(Args)]
pub struct ConfigArgs {
    /// The platform's settings file (JSON).
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
    /// Operators' own policy; entries it leaves out keep their built-in values.
    #[arg(long, value_name = "FILE")]
    pub policy: Option<PathBuf>,
}

#[derive(Args)]
pub struct NodeArgs {
    /// Address of any controller node.
    #[arg(long, value_name = "IP:PORT", default_value = "127.0.0.1:8080")]
    pub node: SocketAddrV4,
}
