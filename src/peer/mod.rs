//! The protocol between controllers: frames of a fixed layout, read in place with `zerocopy`.
//!
//! - `frame`: the header that all frames have, and reading and writing bodies.
//! - `forwarding`: a follower forwards a user's request to the leader and relays its answer.
//! - `heartbeat_batch`: a controller that serves workers exchanges their heartbeats and the leader's
//!   answers with it.
//! - `cache_exchange`: controllers ask what others remember of the store.
//!
//! All share one port. Versions that do not know a kind of frame drop the connection.

pub mod cache_exchange;
mod forwarding;
mod frame;
pub mod heartbeat_batch;

pub use forwarding::{
    PeerAnswer, PeerRequest, decode_answer, decode_request, encode_answer, encode_request,
};
pub use frame::{read_frame, write_frame};
