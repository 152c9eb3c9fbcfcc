//! Errors of running a scenario.

use crate::scenario::ScenarioError;
use std::io;
use std::net::SocketAddrV6;
use std::path::{Path, PathBuf};

/// Error that prevents a scenario from being run.
#[derive(Debug, thiserror::Error)]
pub enum StandinError {
    /// A file, folder or program could not be used.
    #[error("{}: {source}", path.display())]
    File {
        /// Path of the file, folder or program.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The scenario file is invalid.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// A call to the operating system failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A listener was bound to an IPv6 address, not to IPv4 loopback.
    #[error("a listener has no IPv4 loopback address, but {0}")]
    NoAddress(SocketAddrV6),
    /// The controllers' program does not exist, usually because it has not been built.
    #[error("{}: no such file; build it with `cargo build --release`, or name it with --program", .0.display())]
    NoProgram(PathBuf),
    /// A controller was not ready within the time limit, or a controller exited while starting.
    #[error("{name} is not ready; see {}", log.display())]
    NotReady {
        /// Name of the controller.
        name: String,
        /// Path of its log.
        log: PathBuf,
    },
    /// The report could not be serialised as JSON.
    #[error(transparent)]
    Report(#[from] serde_json::Error),
}

impl StandinError {
    /// Returns a function for `map_err` that adds the path to an I/O error.
    pub fn at(path: &Path) -> impl FnOnce(io::Error) -> StandinError {
        let path = path.to_path_buf();
        move |source| StandinError::File { path, source }
    }
}
