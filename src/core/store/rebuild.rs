//! Rebuilding a store that has lost data: the leader merges the controllers' memories, writes them back, and
//! answers no request and starts no task before that is safe.
//!
//! - *Answers.* Ends are final wherever they come from. What is not final, and whether a job is unknown,
//!   is answered only when all controllers have handed over what they remember, or have nothing, or when
//!   the workers' leases have expired meanwhile. An unknown job is answered 503 until the mark is gone.
//! - *Starts.* A machine that was created just before the loss may be in no record. So nothing
//!   starts before a cloud machine list that must contain every machine of that time, and a heartbeat from each
//!   of them; or before the lease of every worker has expired.
//! - *Held tasks.* Tasks of jobs that no controller remembers keep running, their results are kept, and no
//!   further task of such a job is started. They are adopted when the job becomes known, and listed until then.
//! - *The end.* The mark is deleted when all is written back, all controllers were asked twice, and
//!   no task is held; or when an operator settles it.
//!
//! This module holds the state of the rebuild. The modules below act on it:
//! `procedure` (begin, gates, end), `memories` (other controllers' copies and snapshots), `machine_list` (machines
//! in no record), `held_tasks`, `operator` (an operator's commands) and `status`.

mod held_tasks;
mod machine_list;
mod operator;
mod peer_copies;
mod procedure;
mod status;

use crate::job::{JobId, MachineId, TaskId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// How far a controller has handed over its memory.
#[derive(Clone, Debug, Default)]
struct PeerCopy {
    /// The key after which the next page starts.
    after: String,
    /// Asked, and not answered yet.
    in_flight: bool,
    /// After no answer: when it is asked again.
    retry_at: Option<Instant>,
    /// Complete passes, and when the first one ended.
    passes: u32,
    first_pass_done: Option<Instant>,
    /// It remembers the store that lost data.
    had_copy: bool,
    /// What came from it that was not known here.
    new_jobs: usize,
}

/// A task on a machine, of a job that no controller remembers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HeldTask {
    index: u32,
    machine: MachineId,
}

/// What only the leader of an incomplete store has.
#[derive(Default)]
pub struct Rebuild {
    /// The identity of the store that lost data, if known.
    lost_store: Option<String>,
    /// Why it is known to have lost data, and when that was noticed (milliseconds since 1970).
    reason: String,
    since_ms: u64,
    peer_copies: BTreeMap<String, PeerCopy>,
    /// This controller, or one that handed over its memory, held a copy of the lost store.
    copy_available: bool,
    /// An operator accepts it as it is.
    settled: bool,
    /// A list of the cloud that has all machines that an earlier leader could know.
    machine_list_complete: bool,
    /// Machines that it showed as booting: they may be up by now.
    booting_machines: BTreeSet<MachineId>,
    /// Tasks on machines, of jobs that no controller remembers.
    held_tasks: BTreeMap<JobId, BTreeSet<HeldTask>>,
    /// Such tasks that have ended well.
    held_results: BTreeMap<JobId, BTreeSet<u32>>,
    /// Jobs that were adopted, and those that snapshots brought.
    adopted_jobs: usize,
    snapshot_jobs: usize,
    /// When all that is remembered was known.
    pub complete_at: Option<Instant>,
    /// When the first start of a task was allowed.
    pub starts_allowed_at: Option<Instant>,
}

impl Rebuild {
    /// All controllers have handed over their memory or have none, and one of them had a copy.
    fn is_complete(&self) -> bool {
        self.settled || (self.copy_available && self.peer_copies.values().all(|m| m.passes > 0))
    }

    fn all_read_twice(&self) -> bool {
        self.settled || self.peer_copies.values().all(|m| m.passes > 1)
    }

    /// No task is held of jobs that no controller remembers.
    fn has_no_held_tasks(&self) -> bool {
        self.held_tasks.is_empty() && self.held_results.is_empty()
    }

    /// A task of an unknown job is on this machine.
    pub fn hold_task(&mut self, task: &TaskId, machine: &MachineId) {
        let held = self.held_tasks.entry(task.job.clone()).or_default();
        held.insert(HeldTask {
            index: task.index,
            machine: machine.clone(),
        });
    }

    /// The task is not on the machine any more.
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

    /// A task of an unknown job has ended well.
    pub fn record_held_result(&mut self, task: &TaskId) {
        let results = self.held_results.entry(task.job.clone()).or_default();
        results.insert(task.index);
    }

    /// Machines that hold tasks of unknown jobs.
    pub fn held_machines(&self) -> BTreeSet<&MachineId> {
        let held = self.held_tasks.values().flatten();
        held.map(|task| &task.machine).collect()
    }

    fn held_task_count(&self) -> usize {
        self.held_tasks.values().map(BTreeSet::len).sum()
    }
}
