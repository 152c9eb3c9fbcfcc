//! burlusher, a cluster scheduler: submitted jobs in, tasks running on rented machines out.
//!
//! The program is a thin shell around this library. `core` decides everything and does no I/O;
//! `service` runs it between threads that do nothing but I/O.

pub mod archivist;
pub mod bids;
pub mod board;
pub mod cloud;
pub mod core;
pub mod fleet;
pub mod forecast;
pub mod guard;
pub mod http;
pub mod job;
pub mod link;
pub mod logging;
pub mod metrics;
pub mod peer;
pub mod plan;
pub mod policy;
pub mod recall;
pub mod service;
pub mod settings;
pub mod state;
pub mod view;
pub mod wire;
pub mod worker;
