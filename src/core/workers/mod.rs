//! The exchange with workers: their heartbeats, the commands they are given, and the controllers that serve them
//! for the leader (relay on a follower, delegation on the leader).

pub mod commands;
pub mod delegates;
pub mod delegation;
pub mod heartbeat_queue;
pub mod heartbeats;
pub mod pending_responses;
pub mod relay;
