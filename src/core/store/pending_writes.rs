//! The leader's durable writes: what waits for the next transaction, and the one transaction that is in flight.
//! Data; `writes` builds and sends the transactions.

use crate::core::ids::CallId;
use crate::core::store::cache::ResidualTasks;
use crate::core::store::machine_records::MachineRecords;
use crate::job::{JobId, JobOutcome, MachineId};
use crate::wire::CompareAndSwap;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// One durable change of the leader's, as part of a transaction.
#[derive(Clone, Debug)]
pub enum WriteOp {
    /// A job has ended; with what may remain of it on machines.
    End(JobId, JobOutcome, Option<ResidualTasks>),
    /// These tasks of a job are done.
    Progress(JobId, Vec<u32>),
    /// Pages of machine records, and the machines on them.
    Pages(Vec<usize>, Vec<MachineId>),
    /// The cloud's machine types.
    Types,
    /// A job that the store had lost.
    MissingJob(JobId),
    /// So many parts of a large job that the store had lost.
    MissingJobParts(JobId, usize),
    /// The store is complete again.
    Rebuilt,
}

/// Changes that wait for the next transaction, and the one that is in flight.
#[derive(Default)]
pub struct PendingWrites {
    /// Jobs that have ended, and how.
    pub ends: BTreeMap<JobId, JobOutcome>,
    /// Jobs to cancel because a job that they depend on was cancelled, which is durable already.
    pub cancelled_dependents: BTreeSet<JobId>,
    /// Jobs with done tasks that are not written yet, and since when.
    pub progress: BTreeMap<JobId, Instant>,
    /// Machine records.
    pub records: MachineRecords,
    /// The machine types are to be written.
    pub machine_types: bool,
    /// The mark of an incomplete store is to be removed.
    pub rebuild_complete: bool,
    /// How many parts are written of large jobs that the store had lost.
    pub missing_parts_written: BTreeMap<JobId, usize>,
    /// The transaction that is in flight, or whose outcome is unknown.
    pub in_flight: Option<InFlightWrite>,
    /// How many consecutive transactions were refused for that.
    pub conflicts: u32,
    /// How many changes a transaction may have, if the store refused one of the configured size.
    pub max_changes: Option<usize>,
    /// Keys that the store refuses to have written, and until when that is not tried again.
    pub quarantined_keys: BTreeMap<String, Instant>,
}

/// The transaction that is in flight, or whose outcome is unknown.
pub struct InFlightWrite {
    /// As sent.
    pub txn: CompareAndSwap,
    /// The changes that are in it.
    pub ops: Vec<WriteOp>,
    /// The call that carries it, until that has an outcome.
    pub call: Option<CallId>,
    /// When it is sent again if its outcome is unknown.
    pub retry_at: Instant,
    /// The revision at which the store shows it to have been committed.
    pub committed: Option<u64>,
    /// It was refused for what the store held at some revision: whether that is this transaction's own first copy is
    /// known when the cache has come as far.
    pub refused: Option<RefusedWrite>,
}

/// A refused transaction, until it is known who made the change for which it was refused.
pub struct RefusedWrite {
    /// The keys whose versions differ from the conditions.
    pub conflicting_keys: Vec<String>,
    /// The store's revision at the refusal.
    pub revision: u64,
    /// When the refusal came.
    pub since: Instant,
}

impl InFlightWrite {
    /// A transaction that is sent now, by this call.
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
