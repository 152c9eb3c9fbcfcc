//! Batches of heartbeats that a controller serving workers relays to the leader, and the leader's
//! responses. One batch at a time is in flight between two controllers; heartbeats that arrive
//! meanwhile are sent together in the next one.
//!
//! A body consists of a header of fixed size, which contains the lengths of the lists, and of the lists;
//! each text in them is preceded by its length. A version that does not know these kinds of frame closes
//! the connection, and is sent no more of them.
//!
//! - `request`: layout of the batch.
//! - `response`: layout of the response.

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

/// Kind of the frame with a `HeartbeatBatch`.
pub const KIND_HEARTBEAT_BATCH: u8 = 6;
/// Kind of the frame with a `HeartbeatBatchResponse`.
pub const KIND_HEARTBEAT_BATCH_RESPONSE: u8 = 7;

/// Size, in bytes, up to which a body is filled with heartbeats; the rest goes into the next frame.
pub const TARGET_BODY_BYTES: usize = 56 * 1024;
/// Maximum size of the list of answered heartbeats in a frame, in bytes. With this limit and
/// `MAX_NAMES_BYTES`, the lists and the heartbeats (or the responses to them) together stay below the
/// maximum size of a frame; entries beyond the limits follow in the next frames.
pub const MAX_ANSWERED_BYTES: usize = 300 * 1024;
/// Maximum size of a list of machine names in a frame, in bytes.
pub const MAX_NAMES_BYTES: usize = 100 * 1024;

/// Encoding of an absent number: no reclaim notice, or no time after which to retry.
const ABSENT: u32 = u32::MAX;
/// Maximum duration that is encoded, in seconds; longer ones are truncated to it.
const MAX_DURATION_S: f64 = 1e6;

/// A batch from a controller that serves workers.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatBatch {
    /// The controller's name.
    pub from: String,
    /// Incarnation of the controller: distinguishes this process from earlier ones with the same name.
    pub incarnation: u64,
    /// Number of the batch, which increases with each batch of a process.
    pub number: u64,
    /// Number of the newest response that the controller has processed: the delegations that this
    /// response revoked have ended.
    pub acknowledged: u64,
    /// Bits of the controller's `Capabilities`.
    pub capabilities: u32,
    /// Number of workers that the controller serves.
    pub load: u32,
    /// Number of workers that the controller has yet to probe with the fencing token.
    pub pending_probes: u32,
    /// Term in which the controller last had a grant.
    pub term: u64,
    /// Machines that the controller serves and will probe with the fencing token; listed when a term
    /// begins.
    pub served: Vec<MachineId>,
    /// Machines that did not answer a probe with the fencing token.
    pub unanswered_probes: Vec<MachineId>,
    /// Heartbeats that the controller answered itself.
    pub answered: Vec<AnsweredHeartbeat>,
    /// Heartbeats for the leader to process.
    pub heartbeats: Vec<RelayedHeartbeat>,
}

/// A heartbeat that a controller answered itself, under a grant.
#[derive(Clone, Debug, PartialEq)]
pub struct AnsweredHeartbeat {
    /// Machine that sent the heartbeat.
    pub machine: MachineId,
    /// Incarnation of the worker.
    pub incarnation: u64,
    /// Sequence number of the heartbeat.
    pub sequence: u64,
    /// Time since the heartbeat was received.
    pub age: Duration,
}

/// A heartbeat that the leader has to process.
#[derive(Clone, Debug)]
pub struct RelayedHeartbeat {
    /// Identifies the heartbeat in the response. 0 marks the answer to a probe, which gets no response.
    pub id: u64,
    /// The heartbeat as received.
    pub heartbeat: Box<Heartbeat>,
}

/// The leader's response to a batch.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeartbeatBatchResponse {
    /// Number of the batch.
    pub number: u64,
    /// Term of the leader.
    pub term: u64,
    /// Duration of the grant: how long the leader is still certain to lead, from the time at which it
    /// processed the batch. Zero means no grant.
    pub grant: Duration,
    /// Whether the leader accepts no batches at all: the controller then redirects its workers to the
    /// leader.
    pub refused: bool,
    /// Machines whose delegation is revoked: the controller no longer answers their heartbeats with a
    /// cached response.
    pub revoked: Vec<MachineId>,
    /// Responses to the heartbeats.
    pub responses: Vec<RelayedResponse>,
    /// Workers to probe with the fencing token, and their addresses.
    pub probes: Vec<(MachineId, String)>,
    /// Controllers to which workers are to be redirected, with the number of workers.
    pub reassignments: Vec<(String, u32)>,
    /// Status of the other controllers, as known to the leader.
    pub members: Vec<MemberStatus>,
}

/// Status of a controller, as known to the leader.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatus {
    /// The controller's name.
    pub name: String,
    /// Bits of the controller's `Capabilities`.
    pub capabilities: u32,
    /// Number of workers that the controller serves.
    pub load: u32,
    /// Time since the leader's last contact with the controller.
    pub age: Duration,
}

/// The response to one heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayedResponse {
    /// Id of the heartbeat in the batch.
    pub id: u64,
    /// Outcome to send to the worker.
    pub outcome: RelayedOutcome,
}

/// Outcome of a relayed heartbeat, to be sent to the worker.
#[derive(Clone, Debug, PartialEq)]
pub enum RelayedOutcome {
    /// The leader has processed the heartbeat.
    Commands {
        /// Fencing token of the response.
        fencing_token: u64,
        /// Commands for the worker.
        commands: Vec<TaskCommand>,
        /// Whether the machine is delegated: until the delegation is revoked, the controller may answer
        /// an unchanged heartbeat with this token and no commands.
        cacheable: bool,
    },
    /// The leader has not processed the heartbeat.
    Refused {
        /// HTTP status of the response.
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
