//! burlusher, a cluster scheduler: runs the tasks of submitted jobs on rented machines.
//!
//! The program is a thin wrapper around this library. `core` makes all decisions and does no I/O;
//! `service` connects it to threads that do nothing but I/O.

pub mod cloud_client;
pub mod core;
pub mod fault_injection;
pub mod http;
pub mod job;
pub mod logging;
pub mod metrics;
pub mod peer;
pub mod planning;
pub mod policy;
pub mod rate_limiter;
pub mod service;
pub mod settings;
pub mod snapshotter;
pub mod status_view;
pub mod store_client;
pub mod wire;
pub mod worker_client;
