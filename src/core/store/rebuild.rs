//! Rebuild of a store that has lost data: the leader merges the other controllers' copies of the store, writes the
//! missing data back, and neither reports a job's state nor starts a task before that is safe.
//!
//! - *Queries.* The end of a job is final whichever copy it comes from, and may be reported. Any other state is
//!   reported only once all controllers have sent their copies, or have none, or once the workers' leases have
//!   expired. A query about an unknown job is answered with 503 until the mark of the incomplete store is deleted.
//! - *Starts.* A machine that was created just before the loss may be in no record. So no task is started until the
//!   cloud has returned a machine list that must contain every machine of that time and each of these machines has
//!   sent a heartbeat, or until the leases of all workers have expired.
//! - *Held tasks.* Tasks of jobs that are in no controller's copy keep running, their results are kept, and no further
//!   task of such a job is started. They are adopted when the job becomes known, and listed in the status view until
//!   then.
//! - *End.* The mark is deleted once all data is written back, all controllers have sent their copies twice, and no
//!   task is held. An operator can settle the rebuild: then neither further copies nor held tasks are waited for.
//!
//! This module holds the state of the rebuild. Its submodules act on it: `procedure` (begin, conditions for queries and
//! starts, end), `peer_copies` (other controllers' copies, and snapshots), `machine_list` (machines in no record),
//! `held_tasks`, `operator` (an operator's commands) and `status`.

mod held_tasks;
mod machine_list;
mod operator;
mod peer_copies;
mod procedure;
mod status;

use crate::job::{JobId, MachineId, TaskId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// Progress of reading another controller's copy of the store.
#[derive(Clone, Debug, Default)]
struct PeerCopy {
    /// Key after which the next page starts.
    after: String,
    /// Whether a request for a page is in flight.
    in_flight: bool,
    /// Earliest time of the next request, after one without a response.
    retry_at: Option<Instant>,
    /// Number of times that the whole copy was read.
    passes: u32,
    /// Time at which the first of these passes was complete.
    first_pass_done: Option<Instant>,
    /// Whether the controller has a copy of the store that lost data.
    had_copy: bool,
    /// Number of jobs, or ends of jobs, that were new in the controller's copy.
    new_jobs: usize,
}

/// Task on a machine, of a job that is in no controller's copy.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HeldTask {
    index: u32,
    machine: MachineId,
}

/// State of a rebuild, which only the leader of an incomplete store has.
#[derive(Default)]
pub struct Rebuild {
    /// Identity of the store that lost data, if known.
    lost_store: Option<String>,
    /// How the loss was detected.
    reason: String,
    /// Time of its detection, in milliseconds since the Unix epoch.
    since_ms: u64,
    /// Progress of reading the other controllers' copies, by controller.
    peer_copies: BTreeMap<String, PeerCopy>,
    /// Whether this controller, or one whose copy was read, has a copy of the store that lost data, or a snapshot of
    /// it was merged.
    copy_available: bool,
    /// Whether an operator has accepted the store as it is.
    settled: bool,
    /// Whether the cloud has returned a list that contains all machines that an earlier leader may have recorded.
    machine_list_complete: bool,
    /// Machines that the list showed as booting: they may be up by now.
    booting_machines: BTreeSet<MachineId>,
    /// Tasks on machines, of jobs that are in no controller's copy.
    held_tasks: BTreeMap<JobId, BTreeSet<HeldTask>>,
    /// Held tasks that have succeeded.
    held_results: BTreeMap<JobId, BTreeSet<u32>>,
    /// Number of jobs that became known while tasks of theirs were held.
    adopted_jobs: usize,
    /// Number of jobs, or ends of jobs, that were new in snapshots.
    snapshot_jobs: usize,
    /// Time at which all copies had been merged.
    pub complete_at: Option<Instant>,
    /// Time from which tasks may be started.
    pub starts_allowed_at: Option<Instant>,
}

impl Rebuild {
    /// Returns whether all controllers' copies have been read, and at least one was of the store that lost data; or an
    /// operator has accepted the store as it is.
    fn is_complete(&self) -> bool {
        self.settled || (self.copy_available && self.peer_copies.values().all(|m| m.passes > 0))
    }

    /// Returns whether all controllers' copies have been read twice, or an operator has accepted the store as it is.
    fn all_read_twice(&self) -> bool {
        self.settled || self.peer_copies.values().all(|m| m.passes > 1)
    }

    /// Returns whether there are neither held tasks nor results of held tasks.
    fn has_no_held_tasks(&self) -> bool {
        self.held_tasks.is_empty() && self.held_results.is_empty()
    }

    /// Records that a task of an unknown job is on a machine.
    pub fn hold_task(&mut self, task: &TaskId, machine: &MachineId) {
        let held = self.held_tasks.entry(task.job.clone()).or_default();
        held.insert(HeldTask {
            index: task.index,
            machine: machine.clone(),
        });
    }

    /// Records that a held task is no longer on a machine.
    pub fn remove_held_task(&mut self, task: &TaskId, machine: &MachineId) {
        if let Some(held) = self.held_tasks.get_mut(&task.job) {
            held.remove(&HeldTask {
                index: task.index,
                machine: machine.clone(),
            });
            if held.is_empty() {
                self.held_tasks.remove(&task.job);
            }
        }
    }

    /// Records that a task of an unknown job has succeeded.
    pub fn record_held_result(&mut self, task: &TaskId) {
        let results = self.held_results.entry(task.job.clone()).or_default();
        results.insert(task.index);
    }

    /// Returns the machines that have tasks of unknown jobs.
    pub fn held_machines(&self) -> BTreeSet<&MachineId> {
        let held = self.held_tasks.values().flatten();
        held.map(|task| &task.machine).collect()
    }

    fn held_task_count(&self) -> usize {
        self.held_tasks.values().map(BTreeSet::len).sum()
    }
}
