//! The input and output of [`Core::step`](crate::core::Core::step), commands and effects, and the calls in flight
//! between an effect and the command with its outcome.

use crate::cloud_client::{CloudOutcome, CloudRequest};
use crate::core::ids::{CallId, Ticket};
use crate::core::jobs::creation::{Creation, PartsCreation, Submission};
use crate::core::jobs::requests::UserRequest;
use crate::core::store::barrier_request::BarrierRequest;
use crate::core::store::cache::StoreList;
use crate::http::Response;
use crate::job::{JobId, MachineId};
use crate::peer::cache_exchange::{CachePage, CacheRequest};
use crate::peer::heartbeat_batch::{HeartbeatBatch, HeartbeatBatchResponse};
use crate::peer::{PeerAnswer, PeerRequest};
use crate::store_client::{StoreOutcome, StoreRequest};
use crate::wire::{Condition, Heartbeat, WatchEvent};
use crate::worker_client::{DirectOutcome, DirectRequest};
use std::net::SocketAddrV4;
use std::time::Instant;

/// Input of a step.
#[derive(Debug)]
pub enum Command {
    /// A request about jobs, from a user or forwarded by a peer.
    User(UserRequest),
    /// A request for the status document.
    Status(Ticket),
    /// A request for the metrics.
    Metrics {
        /// Identifier of the request.
        ticket: Ticket,
        /// Number of commands that wait in each lane of the command queue.
        queue_lengths: [usize; 3],
    },
    /// A worker's heartbeat.
    Heartbeat {
        /// Identifier of the request.
        ticket: Ticket,
        /// The heartbeat as received.
        heartbeat: Box<Heartbeat>,
    },
    /// A batch of heartbeats from a controller that serves workers on the leader's behalf.
    HeartbeatBatch {
        /// Identifier of the request.
        ticket: Ticket,
        /// The batch as received.
        batch: Box<HeartbeatBatch>,
    },
    /// The leader's response to a batch that this process has sent.
    HeartbeatBatchResponse {
        /// Number of the batch.
        number: u64,
        /// The response; `None` if there was none.
        response: Option<Box<HeartbeatBatchResponse>>,
    },
    /// A peer's response to [`Effect::Forward`].
    ForwardResponse {
        /// Identifier of the forwarded request.
        ticket: Ticket,
        /// Name of the peer.
        peer: String,
        /// The response; `None` if there was none.
        response: Option<PeerAnswer>,
    },
    /// A lease was granted or renewed.
    LeaseRenewed {
        /// Id of the lease in the store.
        lease: u64,
        /// Time at which the request was sent.
        sent: Instant,
        /// Version of the leader key, if the conditions of the [`LeadershipProof`] were confirmed after that time.
        confirmed_key_version: Option<u64>,
    },
    /// The conditions of a [`LeadershipProof`] no longer hold.
    LeadershipDisproved {
        /// Version of the leader key in the [`LeadershipProof`].
        key_version: u64,
    },
    /// The lease has expired, or the store does not know it.
    LeaseLost,
    /// A complete list of the keys under this program's prefix in the store.
    StoreListed {
        /// All keys with their values.
        list: StoreList,
        /// Revision than which the list is no older; single items may be newer.
        revision: u64,
    },
    /// Changes in the store, in order.
    StoreChanged {
        /// Changes since the last list or the last command of this kind.
        events: Vec<WatchEvent>,
        /// Revision of the store after these changes.
        revision: u64,
    },
    /// A peer's request for a part of this process's cached copy of the store.
    CacheRequest {
        /// Identifier of the request.
        ticket: Ticket,
        /// The requested part.
        request: CacheRequest,
    },
    /// A peer's response to [`Effect::CacheRequest`].
    CachePage {
        /// Name of the peer.
        peer: String,
        /// The requested part.
        request: CacheRequest,
        /// The response; `None` if there was none.
        response: Option<Box<CachePage>>,
    },
    /// An operator's request to accept a store that has lost data as it is.
    AcceptIncompleteStore(Ticket),
    /// A page of a snapshot from which a store that has lost data may be rebuilt.
    OfferSnapshot {
        /// Identifier of the request.
        ticket: Ticket,
        /// Identity of the store from which the snapshot was taken.
        store: String,
        /// Whether this is the last page of the snapshot.
        last: bool,
        /// Keys and values of this page.
        items: Vec<(String, serde_json::Value)>,
    },
    /// The outcome of an [`Effect::StoreCall`].
    StoreOutcome {
        /// The call.
        call: CallId,
        /// Its outcome.
        outcome: StoreOutcome,
    },
    /// The outcome of an [`Effect::CloudCall`].
    CloudOutcome {
        /// The call.
        call: CallId,
        /// Its outcome.
        outcome: CloudOutcome,
    },
    /// The outcome of an [`Effect::DirectCall`].
    DirectOutcome {
        /// The call.
        call: CallId,
        /// Its outcome.
        outcome: DirectOutcome,
    },
}

/// Output of a step, to be carried out by the caller.
#[derive(Debug)]
pub enum Effect {
    /// Respond to a request.
    Response {
        /// Identifier of the request.
        ticket: Ticket,
        /// The response to send.
        response: Response,
    },
    /// Forward a request to a peer; the response comes back as [`Command::ForwardResponse`].
    Forward {
        /// Identifier of the request.
        ticket: Ticket,
        /// Name of the peer.
        peer: String,
        /// The request to send.
        request: PeerRequest,
    },
    /// Send a batch of heartbeats to the leader; the response comes back as [`Command::HeartbeatBatchResponse`].
    HeartbeatBatch {
        /// Name of the leader.
        peer: String,
        /// Number of the batch, which identifies it in the response.
        number: u64,
        /// The encoded batch.
        frame: Vec<u8>,
    },
    /// Call the key-value store.
    StoreCall {
        /// Identifier of the call in [`Command::StoreOutcome`].
        call: CallId,
        /// The request to send.
        request: StoreRequest,
    },
    /// Call the cloud.
    CloudCall {
        /// Identifier of the call in [`Command::CloudOutcome`].
        call: CallId,
        /// The request to send.
        request: CloudRequest,
        /// Time after which the request must not be sent.
        not_after: Option<Instant>,
    },
    /// Call a worker at its own address.
    DirectCall {
        /// Identifier of the call in [`Command::DirectOutcome`].
        call: CallId,
        /// Address of the worker.
        addr: SocketAddrV4,
        /// The request to send.
        request: DirectRequest,
        /// Time after which the request must not be sent.
        not_after: Instant,
    },
    /// Request a part of a peer's cached copy of the store; the response comes back as [`Command::CachePage`].
    CacheRequest {
        /// Name of the peer.
        peer: String,
        /// The requested part.
        request: CacheRequest,
    },
    /// Read the whole store again, and watch it from the new list on.
    RereadStore,
    /// Revoke the lease, which ends the leadership, so that another controller can take over.
    ReleaseLease,
    /// Obtain another lease without revoking the present one, whose id may have been assigned to another process by a
    /// store that has lost data.
    ReplaceLease,
    /// Set the conditions to check with each renewal of the lease from now on; `None` for no check.
    LeadershipProof(Option<LeadershipProof>),
    /// Set what the readiness check reports from now on.
    Ready(bool),
}

/// Conditions that must hold in the store, in addition to a valid lease, for a leadership to continue.
#[derive(Clone, Debug, PartialEq)]
pub struct LeadershipProof {
    /// Version of the leader key with which the leadership began.
    pub key_version: u64,
    /// Conditions that the leader key has this version and that the identity of the store is unchanged.
    pub conditions: Vec<Condition>,
}

/// A call in flight, by its purpose.
#[derive(Debug)]
pub(in crate::core) enum PendingCall {
    /// Creation of a job's key, which accepts the job.
    CreateJob(Creation),
    /// Creation of the parts of a large job, before the job's key.
    CreateJobParts(PartsCreation),
    /// Read of a job's key for one request.
    ReadJob { id: String, purpose: ReadPurpose },
    /// Read of the store's revision, up to which the cache must advance before these requests are answered.
    ReadBarrier(Vec<BarrierRequest>),
    /// Read of a job's key because its end may have been dropped from the cache.
    ReadEnd {
        /// The job.
        job: JobId,
        /// Number of losses of data that had been detected when the read was sent.
        losses: u64,
    },
    /// Transaction that writes the leader key.
    Campaign,
    /// Check whether the key of the store's identity still has this version.
    CheckIdentity(u64),
    /// Check whether the store's revision has decreased.
    CheckRevision,
    /// Check whether the store still has these changes of jobs' keys, which the cache contains.
    CompareJobChanges(Vec<Condition>),
    /// Read of a page of job keys, which is compared with the cache.
    AuditJobs {
        /// Key after which the page begins.
        after: String,
        /// Difference found by the previous read of this page; finding the same one again confirms it.
        suspicion: Option<String>,
    },
    /// Write of the key that marks the store as incomplete, by which all controllers see the data loss.
    MarkDataLoss,
    /// Look-up of the lease of the leader key with this version.
    CheckLeaderLease(u64),
    /// Deletion of a leader key whose lease does not exist.
    DeleteStaleLeaderKey,
    /// The leader's transaction of pending changes.
    Write,
    /// Commands for a machine, or a probe, sent by the leader.
    DirectCall(MachineId),
    /// Probe that presents the leader's fencing token to a machine, sent by a delegate.
    TokenProbe(MachineId),
    /// Request for the cloud's list of machine types.
    ListMachineTypes,
    /// Request for the cloud's list of machines.
    ListMachines { sent: Instant },
    /// Request for new machines, identified by the number in its name.
    ScaleOut(u64),
    /// Deletion of these machines.
    ScaleIn(Vec<MachineId>),
}

impl PendingCall {
    /// Returns whether the call is kept when this controller stops leading. Outcomes of calls that only a leader makes
    /// are ignored after that.
    pub(in crate::core) fn survives_step_down(&self) -> bool {
        match self {
            PendingCall::CreateJob(_)
            | PendingCall::CreateJobParts(_)
            | PendingCall::ReadJob { .. }
            | PendingCall::ReadBarrier(_)
            | PendingCall::ReadEnd { .. }
            | PendingCall::Campaign
            | PendingCall::ListMachineTypes
            | PendingCall::TokenProbe(_)
            | PendingCall::CheckIdentity(_)
            | PendingCall::CheckRevision
            | PendingCall::CompareJobChanges(_)
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

/// Reason for reading a job's key, which determines how the value is used.
#[derive(Debug)]
pub(in crate::core) enum ReadPurpose {
    /// Answer a request for the job's state.
    Show(Ticket),
    /// Find out whether the job was accepted, as the transaction that creates it got no response.
    ConfirmCreation(Ticket),
    /// Cancel the job.
    Cancel(Ticket),
    /// Reject an invalid submission with this response, which may be sent only if the job does not exist.
    Reject(Ticket, Response),
    /// Continue with a submission that depends on the job.
    FindDependency(Submission),
}
