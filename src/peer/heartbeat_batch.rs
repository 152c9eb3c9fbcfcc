//! Heartbeats that a controller serving workers relays to the leader, and the leader's answers:
//! frames of a fixed layout, like the others of `peer` and on the same port. One is in flight at a
//! time between two controllers; what comes up meanwhile goes together in the next one.
//!
//! A body is a part of fixed size, followed by lists, whose lengths it states; each text in them has
//! its length before it. Versions that do not know these kinds drop the connection, and are left
//! alone.
//!
//! - `request`: the layout of the batch.
//! - `response`: the layout of the leader's answer.

mod request;
mod response;

pub use request::{
    answered_heartbeat_size, count_fitting_names, decode_batch, encode_batch,
    encoded_heartbeat_size,
};
pub use response::{decode_batch_response, encode_batch_response, response_size};

use crate::job::MachineId;
use crate::wire::{Heartbeat, TaskCommand};
use std::time::Duration;
use zerocopy::byteorder::little_endian::U32;

/// The kind of frame that holds a `HeartbeatBatch`.
pub const KIND_HEARTBEAT_BATCH: u8 = 6;
/// The kind of frame that holds a `HeartbeatBatchResponse`.
pub const KIND_HEARTBEAT_BATCH_RESPONSE: u8 = 7;

/// Bytes of heartbeats up to which a body is filled; the rest goes into the next frame.
pub const TARGET_BODY_BYTES: usize = 56 * 1024;
/// Bytes that the list of answered heartbeats takes in a frame. Together with the heartbeats, or
/// with the responses to them, the other lists stay under what a frame may have; what does not fit
/// follows in the next frames.
pub const MAX_ANSWERED_BYTES: usize = 300 * 1024;
/// Bytes that a list of machines' names takes in a frame.
pub const MAX_NAMES_BYTES: usize = 100 * 1024;

/// No reclaim notice, or no time to retry after.
const ABSENT: u32 = u32::MAX;
/// Seconds up to which a span is encoded.
const MAX_DURATION_S: f64 = 1e6;

/// A batch from a controller that serves workers.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatBatch {
    /// The controller's name.
    pub from: String,
    /// Tells this process from an earlier one of the same name.
    pub incarnation: u64,
    /// Rises with each batch of a process.
    pub number: u64,
    /// The newest answer that it has taken in: the delegations that this one revoked have ended.
    pub acknowledged: u64,
    /// The bits of its `Capabilities`.
    pub capabilities: u32,
    /// Workers that it serves.
    pub load: u32,
    /// Workers that it has yet to show the fencing token to.
    pub pending_probes: u32,
    /// The term in which it last had a grant.
    pub term: u64,
    /// Machines that it serves and will show the fencing token to; listed when a term begins.
    pub served: Vec<MachineId>,
    /// Machines that gave no answer when they were shown the fencing token.
    pub unanswered_probes: Vec<MachineId>,
    /// Machines whose heartbeats it answered itself.
    pub answered: Vec<AnsweredHeartbeat>,
    /// Heartbeats for the leader to take in.
    pub heartbeats: Vec<RelayedHeartbeat>,
}

/// A heartbeat that a controller answered itself, under a grant.
#[derive(Clone, Debug, PartialEq)]
pub struct AnsweredHeartbeat {
    /// The machine that sent it.
    pub machine: MachineId,
    /// Of the worker.
    pub incarnation: u64,
    /// Of the heartbeat.
    pub sequence: u64,
    /// How long ago the heartbeat came.
    pub age: Duration,
}

/// A heartbeat that the leader is to take in.
#[derive(Clone, Debug)]
pub struct RelayedHeartbeat {
    /// Identifies the heartbeat in the response; 0: the answer to a probe, which wants none.
    pub id: u64,
    /// The heartbeat as it came.
    pub heartbeat: Box<Heartbeat>,
}

/// The leader's answer to a batch.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeartbeatBatchResponse {
    /// Of the batch that it answers.
    pub number: u64,
    /// The leader's.
    pub term: u64,
    /// How long the leader is still proven to lead, from when it worked on the batch; zero: no
    /// grant.
    pub grant: Duration,
    /// The leader takes no batches at all: this controller redirects its workers to it.
    pub refused: bool,
    /// Machines whose delegation is revoked: their heartbeats are not to be answered from memory any
    /// more.
    pub revoked: Vec<MachineId>,
    /// The responses to the heartbeats.
    pub responses: Vec<RelayedResponse>,
    /// Workers to show the fencing token to, and their addresses.
    pub probes: Vec<(MachineId, String)>,
    /// So many workers are to be sent to that controller.
    pub reassignments: Vec<(String, u32)>,
    /// What the leader knows of the other controllers.
    pub members: Vec<MemberStatus>,
}

/// What the leader knows of a controller.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatus {
    /// The controller's name.
    pub name: String,
    /// The bits of its `Capabilities`.
    pub capabilities: u32,
    /// Workers that it serves.
    pub load: u32,
    /// How long ago the leader had contact with it.
    pub age: Duration,
}

/// The response to one heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayedResponse {
    /// Of the heartbeat in the batch.
    pub id: u64,
    /// What to answer the worker.
    pub outcome: RelayedOutcome,
}

/// What to answer a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayedOutcome {
    /// The heartbeat was taken in.
    Commands {
        /// The token to answer with.
        fencing_token: u64,
        /// The commands for the worker.
        commands: Vec<TaskCommand>,
        /// The machine is delegated: until that is revoked, a heartbeat that says the same may be
        /// answered with this token and no commands.
        cacheable: bool,
    },
    /// The heartbeat was not taken in.
    Refused {
        /// The HTTP status to answer with.
        status: u16,
        /// Seconds after which the worker may retry.
        retry_after: Option<u32>,
    },
}

fn millis(duration: Duration) -> U32 {
    U32::new(u32::try_from(duration.as_millis()).unwrap_or(ABSENT - 1))
}

fn millis_of_seconds(seconds: f64) -> U32 {
    millis(Duration::from_secs_f64(seconds.clamp(0.0, MAX_DURATION_S)))
}

fn duration(millis: U32) -> Duration {
    Duration::from_millis(u64::from(millis.get()))
}

#[cfg(test)]
mod tests;
