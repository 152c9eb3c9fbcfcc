//! Why a scenario cannot be played.

use crate::scenario::ScenarioError;
use std::io;
use std::net::SocketAddrV6;
use std::path::{Path, PathBuf};

/// Why a scenario cannot be played.
#[derive(Debug, thiserror::Error)]
pub enum StandinError {
    /// A file, folder or program could not be used.
    #[error("{}: {source}", path.display())]
    File {
        /// What could not be used.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The scenario's file is at fault.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// The operating system refused something.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A listener is bound to no IPv4 address.
    #[error("no address on loopback: {0}")]
    NoAddress(SocketAddrV6),
    /// The controllers' program has not been built.
    #[error("{}: not there; build it with `cargo build --release`, or name it with --program", .0.display())]
    NoProgram(PathBuf),
    /// A controller does not serve in time.
    #[error("{name} is not ready; see {}", log.display())]
    NotReady {
        /// The controller's name.
        name: String,
        /// Where its log is.
        log: PathBuf,
    },
    /// The report could not be written as JSON.
    #[error(transparent)]
    Report(#[from] serde_json::Error),
}

impl StandinError {
    /// Puts the path before an error in using a file; for `map_err`.
    pub fn at(path: &Path) -> impl FnOnce(io::Error) -> StandinError {
        let path = path.to_path_buf();
        move |source| StandinError::File { path, source }
    }
}
