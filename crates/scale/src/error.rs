//! Errors of a measurement.

use burlusher_standin::error::StandinError;
use std::io;
use std::path::PathBuf;

/// Error that prevents a measurement.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// The scenario could not be run.
    #[error(transparent)]
    Standin(#[from] StandinError),
    /// The poll instance that reports readiness of sockets could not be created.
    #[error("cannot create a poll instance: {0}")]
    Poll(#[source] io::Error),
    /// A thread for hollow workers could not be started.
    #[error("cannot start a thread for hollow workers: {0}")]
    Thread(#[source] io::Error),
    /// The scenario's machines need more open files than this process is allowed to have.
    #[error("{machines} machines need up to {needed} open files, but only {allowed} are allowed")]
    FileLimitTooLow {
        /// Maximum number of machines that the scenario has at one time.
        machines: u64,
        /// Number of open files that the machines need.
        needed: u64,
        /// Limit of open files of this process.
        allowed: u64,
    },
    /// The samples span less than one second.
    #[error("the run was too short: its samples span less than one second")]
    TooShort,
    /// A chart could not be drawn.
    #[error("{}: {source}", path.display())]
    Plot {
        /// Path of the chart's file.
        path: PathBuf,
        /// Error of the drawing library.
        source: Box<dyn std::error::Error>,
    },
    /// The report could not be serialised as JSON.
    #[error(transparent)]
    Report(#[from] serde_json::Error),
}
