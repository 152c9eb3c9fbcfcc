//! The cluster in memory and in virtual time, and the tests that play failures in it.

mod checker;
mod cloud;
mod cluster;
mod counters;
mod faults;
mod mixed_versions;
mod network;
mod randomized;
mod recorded_decisions;
mod scale;
mod scenarios;
mod store;
mod users;
mod worker;

pub use cluster::{SETUP, Setup, Simulation, enable_log, settings};
pub use network::Link;
pub use store::{Backup, LIMITS, NEXT_LIMITS};
pub use worker::{LEASE, Worker};
