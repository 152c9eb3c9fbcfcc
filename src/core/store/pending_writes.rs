//! Data of the leader's durable writes: the changes that wait for the next transaction, and the one transaction
//! that is in flight. `transaction` builds the transactions, and `writes` sends them.

use crate::core::ids::CallId;
use crate::core::store::cache::ResidualTasks;
use crate::core::store::machine_records::MachineRecords;
use crate::job::{JobId, JobOutcome, MachineId};
use crate::wire::CompareAndSwap;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// A durable change by the leader, as part of a transaction.
#[derive(Clone, Debug)]
pub enum WriteOp {
    /// The end of a job, with the tasks of it that may remain on machines.
    End(JobId, JobOutcome, Option<ResidualTasks>),
    /// Tasks of a job that are done.
    Progress(JobId, Vec<u32>),
    /// Pages of machine records, and the machines on them.
    Pages(Vec<usize>, Vec<MachineId>),
    /// The cloud's machine types.
    Types,
    /// A restored job that the store had lost.
    MissingJob(JobId),
    /// Restored parts of a large job that the store had lost, with their number so far.
    MissingJobParts(JobId, usize),
    /// The end of a rebuild: the store is complete again.
    Rebuilt,
}

/// Changes that wait for the next transaction, and the transaction that is in flight.
#[derive(Default)]
pub struct PendingWrites {
    /// Outcomes of ended jobs.
    pub ends: BTreeMap<JobId, JobOutcome>,
    /// Jobs to cancel because a job that they depend on was cancelled. That cancellation is already durable.
    pub cancelled_dependents: BTreeSet<JobId>,
    /// Jobs with done tasks that are not written yet, and since when.
    pub progress: BTreeMap<JobId, Instant>,
    /// Records of machines that may hold tasks.
    pub records: MachineRecords,
    /// Whether the machine types are to be written.
    pub machine_types: bool,
    /// Whether the marker of an incomplete store is to be removed.
    pub rebuild_complete: bool,
    /// Number of restored parts of each large job that the store had lost.
    pub missing_parts_written: BTreeMap<JobId, usize>,
    /// Transaction that is in flight or whose outcome is unknown.
    pub in_flight: Option<InFlightWrite>,
    /// Number of consecutive transactions that were refused because of another writer's change.
    pub conflicts: u32,
    /// Maximum number of changes in a transaction, once the store has rejected one of the configured size.
    pub max_changes: Option<usize>,
    /// Keys whose changes the store rejected, and when they may be written again.
    pub quarantined_keys: BTreeMap<String, Instant>,
}

/// A transaction that is in flight or whose outcome is unknown.
pub struct InFlightWrite {
    /// Transaction as it was sent.
    pub txn: CompareAndSwap,
    /// Changes in the transaction, with their effects.
    pub ops: Vec<WriteOp>,
    /// Call that carries the transaction, until the call has an outcome.
    pub call: Option<CallId>,
    /// When the transaction is sent again if its outcome is unknown.
    pub retry_at: Instant,
    /// Revision of its commit, if the store's contents show that it was committed.
    pub committed: Option<u64>,
    /// Set when the transaction was refused because of the store's contents at some revision. Whether these came from
    /// an earlier copy of this very transaction is known once the cache has reached that revision.
    pub refused: Option<RefusedWrite>,
}

/// Refusal of a transaction, kept until it is known who made the conflicting change.
pub struct RefusedWrite {
    /// Keys whose versions differ from the conditions.
    pub conflicting_keys: Vec<String>,
    /// Revision of the store at the refusal.
    pub revision: u64,
    /// When the refusal arrived.
    pub since: Instant,
}

impl InFlightWrite {
    /// Creates the state of a transaction that is sent now, by this call.
    pub fn new(
        txn: CompareAndSwap,
        ops: Vec<WriteOp>,
        call: CallId,
        now: Instant,
    ) -> InFlightWrite {
        InFlightWrite {
            txn,
            ops,
            call: Some(call),
            retry_at: now,
            committed: None,
            refused: None,
        }
    }
}
