//! The leader's durable writes: what waits for the next transaction, and the one transaction that is in flight.
//! Data; `writes` builds and sends the transactions.

use crate::core::CallId;
use crate::core::store::cache::ResidualTasks;
use crate::core::store::machine_records::MachineRecords;
use crate::job::{JobId, JobOutcome, MachineId};
use crate::wire::CompareAndSwap;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// One durable change of the leader's.
#[derive(Clone, Debug)]
pub enum WriteOp {
    /// With what may be left of it on machines.
    End(JobId, JobOutcome, Option<ResidualTasks>),
    Progress(JobId, Vec<u32>),
    /// Pages of machines, and who is on them.
    Pages(Vec<usize>, Vec<MachineId>),
    Types,
    /// A job that the store had lost, or so many parts of it.
    Owed(JobId),
    OwedParts(JobId, usize),
    /// The store is whole again.
    Rebuilt,
}

/// Changes that wait for the next transaction, and the one that is on its way.
#[derive(Default)]
pub struct Writes {
    pub ends: BTreeMap<JobId, JobOutcome>,
    /// Jobs cancelled with one that they need: that is durable already, and these follow.
    pub followers: BTreeSet<JobId>,
    /// Jobs with done tasks that are not written yet, and since when.
    pub progress: BTreeMap<JobId, Instant>,
    pub records: MachineRecords,
    pub machine_types: bool,
    /// The mark of an incomplete store is to be taken off.
    pub rebuild_complete: bool,
    /// How many parts are written of large jobs that are owed.
    pub missing_parts_written: BTreeMap<JobId, usize>,
    pub in_flight: Option<InFlightWrite>,
    /// Nothing is sent before the copy is as new as this: a write was refused for what had changed then.
    pub minimum_revision: u64,
    /// Writes refused for that in a row.
    pub conflicts: u32,
    /// Changes that a transaction may have, if the service refused one of those allowed.
    pub max_changes: Option<usize>,
    /// Keys that the service refuses to have put, and until when that is not tried again.
    pub quarantined_keys: BTreeMap<String, Instant>,
}

/// The transaction that is on its way, or whose outcome is unknown.
pub struct InFlightWrite {
    pub txn: CompareAndSwap,
    pub ops: Vec<WriteOp>,
    pub call: Option<CallId>,
    pub retry_at: Instant,
    /// Where the state service shows it to have been committed.
    pub committed: Option<u64>,
    /// It was refused for what the state service held at some revision: whether that is its own first copy
    /// is known when this process's copy of the store has come as far.
    pub refused: Option<RefusedWrite>,
}

/// A refused transaction, until it is known who made the change for which it was refused.
pub struct RefusedWrite {
    pub conflicting_keys: Vec<String>,
    pub revision: u64,
    pub since: Instant,
}

impl InFlightWrite {
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
