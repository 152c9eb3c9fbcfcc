//! The input and the output of [`Core::step`](crate::core::Core::step): commands in, effects out, and the calls
//! that are between the two.

use crate::cloud_client::{CloudOutcome, CloudRequest};
use crate::core::ids::{CallId, Ticket};
use crate::core::jobs::creation::{Creation, PartsCreation};
use crate::core::jobs::requests::UserRequest;
use crate::core::store::barrier_request::BarrierRequest;
use crate::http::Response;
use crate::job::MachineId;
use crate::peer::heartbeat_batch::{HeartbeatBatch, HeartbeatBatchResponse};
use crate::peer::memory_exchange::{MemoryPage, MemoryRequest};
use crate::peer::{PeerAnswer, PeerRequest};
use crate::store_client::{StoreOutcome, StoreRequest};
use crate::wire::{Condition, Heartbeat, Item, WatchEvent};
use crate::worker_client::{DirectOutcome, DirectRequest};
use std::net::SocketAddrV4;
use std::time::Instant;

/// One input of a step.
#[derive(Debug)]
pub enum Command {
    /// A request about jobs, from a user or passed on by a peer.
    User(UserRequest),
    /// The status page is requested.
    Status(Ticket),
    /// The metrics are requested.
    Metrics {
        /// Of the request.
        ticket: Ticket,
        /// Commands that wait in each lane of the owner's queue.
        queue_lengths: [usize; 3],
    },
    /// A worker's heartbeat.
    Heartbeat {
        /// Of the request.
        ticket: Ticket,
        /// As received.
        heartbeat: Box<Heartbeat>,
    },
    /// Heartbeats passed on by a controller that serves workers for the leader.
    HeartbeatBatch {
        /// Of the request.
        ticket: Ticket,
        /// As received.
        batch: Box<HeartbeatBatch>,
    },
    /// The leader's response to a batch of this process.
    HeartbeatBatchResponse {
        /// The batch that it responds to.
        number: u64,
        /// `None` if the leader gave no response.
        response: Option<Box<HeartbeatBatchResponse>>,
    },
    /// A peer's response to a request that was passed on to it.
    ForwardResponse {
        /// Of the request that was passed on.
        ticket: Ticket,
        /// Where it was sent.
        peer: String,
        /// `None` if the peer gave no response.
        response: Option<PeerAnswer>,
    },
    /// The lease is granted, or renewed.
    LeaseRenewed {
        /// The lease's number in the store.
        lease: u64,
        /// When the request was sent.
        sent: Instant,
        /// The version of the leader key that was seen to exist after that.
        confirmed_key_version: Option<u64>,
    },
    /// The conditions of the [`LeadershipProof`] for this leader key do not hold any more.
    LeadershipDisproved {
        /// The version of the leader key that was to be watched.
        key_version: u64,
    },
    /// The lease has expired, or the store does not know it.
    LeaseLost,
    /// Everything under this program's prefix in the store.
    StoreListed {
        /// All keys and values.
        items: Vec<Item>,
        /// The store had this revision, or a later one, when the last item was read.
        revision: u64,
    },
    /// Changes in the store, in order.
    StoreChanged {
        /// What has changed since the last list or the last such command.
        events: Vec<WatchEvent>,
        /// The store's revision after them.
        revision: u64,
    },
    /// A peer requests what this process remembers of the store.
    MemoryRequest {
        /// Of the request.
        ticket: Ticket,
        /// Which part of it.
        request: MemoryRequest,
    },
    /// A peer's response to [`Effect::MemoryRequest`].
    MemoryPage {
        /// Who was asked.
        peer: String,
        /// What was requested of it.
        request: MemoryRequest,
        /// `None` if the peer gave no response.
        response: Option<Box<MemoryPage>>,
    },
    /// An operator accepts a store that has lost data as it is.
    AcceptIncompleteStore(Ticket),
    /// A page of a snapshot from which a store that has lost data may be rebuilt.
    OfferSnapshot {
        /// Of the request.
        ticket: Ticket,
        /// The identity of the store of which it is a snapshot.
        store: String,
        /// Whether this is the snapshot's last page.
        last: bool,
        /// Keys and values of this page.
        items: Vec<(String, serde_json::Value)>,
    },
    /// How an [`Effect::StoreCall`] ended.
    StoreOutcome {
        /// The call.
        call: CallId,
        /// Its outcome.
        outcome: StoreOutcome,
    },
    /// How an [`Effect::CloudCall`] ended.
    CloudOutcome {
        /// The call.
        call: CallId,
        /// Its outcome.
        outcome: CloudOutcome,
    },
    /// How an [`Effect::DirectCall`] ended.
    DirectOutcome {
        /// The call.
        call: CallId,
        /// Its outcome.
        outcome: DirectOutcome,
    },
}

/// One output of a step, to be carried out by the caller.
#[derive(Debug)]
pub enum Effect {
    /// Respond to a request.
    Response {
        /// Of the request.
        ticket: Ticket,
        /// What to send.
        response: Response,
    },
    /// Pass a request on to a peer; its response comes back as [`Command::ForwardResponse`].
    Forward {
        /// Of the request.
        ticket: Ticket,
        /// The peer's name.
        peer: String,
        /// What to send.
        request: PeerRequest,
    },
    /// Send a batch of heartbeats to the leader; its response comes back as [`Command::HeartbeatBatchResponse`].
    HeartbeatBatch {
        /// The leader's name.
        peer: String,
        /// Identifies the batch.
        number: u64,
        /// The encoded batch.
        frame: Vec<u8>,
    },
    /// Call the key-value store.
    StoreCall {
        /// Identifies the call in [`Command::StoreOutcome`].
        call: CallId,
        /// What to send.
        request: StoreRequest,
    },
    /// Call the cloud.
    CloudCall {
        /// Identifies the call in [`Command::CloudOutcome`].
        call: CallId,
        /// What to send.
        request: CloudRequest,
        /// Not to be sent after this moment.
        not_after: Option<Instant>,
    },
    /// Call a worker at its own address.
    DirectCall {
        /// Identifies the call in [`Command::DirectOutcome`].
        call: CallId,
        /// The worker's address.
        addr: SocketAddrV4,
        /// What to send.
        request: DirectRequest,
        /// Not to be sent after this moment.
        not_after: Instant,
    },
    /// Ask a peer for what it remembers of the store; its response comes back as [`Command::MemoryPage`].
    MemoryRequest {
        /// The peer's name.
        peer: String,
        /// Which part of it.
        request: MemoryRequest,
    },
    /// Read all of the store again, and watch it from there on.
    RereadStore,
    /// Revoke the lease, and with it end leadership, so that another controller can take over.
    ReleaseLease,
    /// Take another lease, and leave the old one alone: in a store that has lost data its number may have been
    /// given to another process since.
    ReplaceLease,
    /// What to check with each renewal of the lease from now on; `None`: nothing.
    LeadershipProof(Option<LeadershipProof>),
    /// What the readiness check reports from now on.
    Ready(bool),
}

/// The conditions that have to hold in the store, beside the lease, for a leadership to continue.
#[derive(Clone, Debug, PartialEq)]
pub struct LeadershipProof {
    /// The version of the leader key that began the leadership.
    pub key_version: u64,
    /// The leader key has this version, and the store is the one it was.
    pub conditions: Vec<Condition>,
}

/// What a call in flight is for.
#[derive(Debug)]
pub(in crate::core) enum PendingCall {
    /// The key that accepts a job.
    CreateJob(Creation),
    /// The parts of a large job that is to be accepted.
    CreateJobParts(PartsCreation),
    /// A job's key, read for one request.
    ReadJob { id: String, purpose: ReadPurpose },
    /// A read after which the cache is as new as these requests need.
    ReadBarrier(Vec<BarrierRequest>),
    /// The transaction that takes the leader key.
    Campaign,
    /// Whether the store's identity still has this version.
    CheckIdentity(u64),
    /// Whether the store's revision has gone back.
    CheckRevision,
    /// A page of job keys, compared with the cache.
    AuditJobs {
        /// The key after which the page begins.
        after: String,
        /// What was seen to differ when the page was read before.
        suspicion: Option<String>,
    },
    /// The mark in the store that shows a loss of its data to all controllers.
    MarkDataLoss,
    /// Whether the lease of the leader key with this version still runs.
    CheckLeaderLease(u64),
    /// The deletion of a leader key without a lease.
    DeleteStaleLeaderKey,
    /// The leader's transaction of changes.
    Write,
    /// Commands for a machine, or a probe of it.
    DirectCall(MachineId),
    /// A probe that shows the leader's token to a machine, made by a delegate.
    TokenProbe(MachineId),
    /// The cloud's machine types.
    ListMachineTypes,
    /// The cloud's machines.
    ListMachines { sent: Instant },
    /// A request for new machines, by its name.
    ScaleOut(String),
    /// The deletion of these machines.
    ScaleIn(Vec<MachineId>),
}

impl PendingCall {
    /// Whether the outcome still matters to a controller that has ceased to lead: what only a leader does ends
    /// with its leadership.
    pub(in crate::core) fn survives_step_down(&self) -> bool {
        match self {
            PendingCall::CreateJob(_)
            | PendingCall::CreateJobParts(_)
            | PendingCall::ReadJob { .. }
            | PendingCall::ReadBarrier(_)
            | PendingCall::Campaign
            | PendingCall::ListMachineTypes
            | PendingCall::TokenProbe(_)
            | PendingCall::CheckIdentity(_)
            | PendingCall::CheckRevision
            | PendingCall::MarkDataLoss
            | PendingCall::CheckLeaderLease(_)
            | PendingCall::DeleteStaleLeaderKey
            | PendingCall::AuditJobs { .. } => true,
            PendingCall::Write
            | PendingCall::DirectCall(_)
            | PendingCall::ListMachines { .. }
            | PendingCall::ScaleOut(_)
            | PendingCall::ScaleIn(_) => false,
        }
    }
}

/// Why a job's key is read, and so what is done with its value.
#[derive(Debug)]
pub(in crate::core) enum ReadPurpose {
    /// The job's state is requested.
    Show(Ticket),
    /// The transaction that creates the job got no response; it is accepted if it is in the store.
    ConfirmCreation(Ticket),
    /// The job is to be cancelled.
    Cancel(Ticket),
    /// The request is invalid, with this response, which may be sent only if the job does not exist.
    Reject(Ticket, Response),
}
