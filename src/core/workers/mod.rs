//! Communication with workers: their heartbeats, the commands sent to them, and the followers that serve workers on
//! the leader's behalf (`relay` runs on a follower, `delegation` on the leader).

pub mod commands;
pub mod delegates;
pub mod delegation;
pub mod heartbeat_queue;
pub mod heartbeats;
pub mod pending_responses;
pub mod relay;
