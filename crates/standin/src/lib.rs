//! Simulated counterparts ("stand-ins") of the systems around burlusher's controllers: state service,
//! cloud, machines with their workers, and users. All of them use loopback and implement the published
//! protocol.
//!
//! With them, one command runs a whole cluster with real controllers on one machine. The scheduler's
//! guarantees are checked against the records of the workers themselves, not against what the
//! controllers report.

pub mod cloud;
pub mod cluster;
pub mod command_line;
mod controller_settings;
mod controllers;
pub mod error;
mod events;
pub mod records;
pub mod report;
pub mod scenario;
pub mod state;
pub mod users;
pub mod worker;
