//! The protocol between controllers: frames with a fixed layout, decoded in place with `zerocopy`.
//!
//! - `frame`: the common header of all frames, and the reader and writer of bodies.
//! - `forwarding`: a follower forwards a user's request to the leader and relays the answer.
//! - `heartbeat_batch`: a controller that serves workers relays their heartbeats to the leader, which
//!   responds with commands for the workers.
//! - `cache_exchange`: controllers request each other's cached copies of the store.
//!
//! All of them share one port. A version that does not know a kind of frame closes the connection.

pub mod cache_exchange;
mod forwarding;
mod frame;
pub mod heartbeat_batch;

pub use forwarding::{
    PeerAnswer, PeerRequest, decode_answer, decode_request, encode_answer, encode_request,
};
pub use frame::{read_frame, write_frame};
