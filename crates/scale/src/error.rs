//! Why a measurement cannot be made.

use burlusher_standin::error::StandinError;
use std::io;
use std::path::PathBuf;

/// Why a measurement cannot be made.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// The scenario cannot be played.
    #[error(transparent)]
    Standin(#[from] StandinError),
    /// The operating system's notifications of sockets cannot be had.
    #[error("no poll: {0}")]
    Poll(#[source] io::Error),
    /// A thread for hollow workers could not be started.
    #[error("no thread for hollow workers: {0}")]
    Thread(#[source] io::Error),
    /// The scenario's machines take more files than this process may open.
    #[error("{machines} machines take up to {needed} open files, and {allowed} are allowed")]
    FileLimitTooLow {
        /// Machines that the scenario may have at once.
        machines: u64,
        /// Files that they take.
        needed: u64,
        /// Files that this process may open.
        allowed: u64,
    },
    /// Too few samples were taken.
    #[error("the run was too short to measure anything")]
    TooShort,
    /// A picture could not be drawn.
    #[error("{}: {source}", path.display())]
    Plot {
        /// The picture's file.
        path: PathBuf,
        /// Why.
        source: Box<dyn std::error::Error>,
    },
    /// The report could not be written as JSON.
    #[error(transparent)]
    Report(#[from] serde_json::Error),
}
