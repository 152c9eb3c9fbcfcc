//! This node's copy of what the state service holds, kept current by the watch. `keys` lists the keys.
//!
//! When the store has lost data, the copy outlives it: `merge_after_loss` keeps what is remembered and notes
//! what of it the store does not hold. What others remember joins by the same rules (`remember`), which
//! do not depend on order: ends are final, done tasks unite, a machine once known is known.
//!
//! - `apply`: a change of the store applied to the copy.
//! - `loss`: whether the store contradicts the copy, and the copy of a store that lost data.
//! - `memory`: the copy handed over to other controllers, and theirs joined.
//! - `stored`: values as they are stored.
//! - `task_set`: sets of a job's tasks, stored as ranges.

mod apply;
mod exchange;
mod loss;
mod stored;
mod task_set;

use crate::core::jobs::dependencies::DependencyGraph;
use crate::core::store::large_jobs::LargeJobParts;
use crate::core::store::versions::KeyVersions;
use crate::job::{JobId, JobOutcome, JobSpec, MachineId};
use crate::wire::{Change, Item, MachineType, WatchEvent};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::SystemTime;

pub use stored::{
    DoneValue, IdentityValue, JobValue, LeaderValue, MachineValue, PageValue, RebuildingValue,
    ResidualTasks, TermValue,
};
pub use task_set::TaskSet;

/// A live job.
#[derive(Clone, Debug)]
pub struct JobRecord {
    /// As it was submitted.
    pub spec: Arc<JobSpec>,
    /// When it was accepted.
    pub submitted: SystemTime,
    /// The version of its key; 0 where the store has lost it.
    pub version: u64,
    /// Tasks that are done.
    pub done: TaskSet,
    /// The ranges in which `done` is stored: their first tasks, and the task after the last one
    /// that each of them has. An earlier version's ranges may reach further than ours.
    pub stored_ranges: BTreeMap<u32, u32>,
}

impl JobRecord {
    /// First tasks of the ranges of this size that are to be written for these tasks to be on
    /// record: theirs, and all that a stored range under one of these keys reaches over.
    pub fn ranges_to_write(&self, tasks: &BTreeSet<u32>, size: u32) -> BTreeSet<u32> {
        let mut bases: BTreeSet<u32> = tasks.iter().map(|task| task / size * size).collect();
        let mut unvisited: Vec<u32> = bases.iter().copied().collect();
        while let Some(base) = unvisited.pop() {
            let end = self.stored_ranges.get(&base).copied().unwrap_or(0);
            let mut next = base.saturating_add(size);
            while next < end {
                if bases.insert(next) {
                    unvisited.push(next);
                }
                next = next.saturating_add(size);
            }
        }
        bases
    }
}

/// The copy of the store.
#[derive(Default)]
pub struct StoreCache {
    /// False until the first full list has been read.
    pub loaded: bool,
    /// How new the copy is.
    pub revision: u64,
    /// The current leader, and the version of the leader key.
    pub leader: Option<(LeaderValue, u64)>,
    /// The newest term that is known of.
    pub term: u64,
    /// The term that the store has, and the version of its key.
    pub stored_term: u64,
    /// 0 where the store has none.
    pub term_version: u64,
    /// The machine types that the store has.
    pub machine_types: Vec<MachineType>,
    /// Jobs that are not over.
    pub jobs: BTreeMap<JobId, JobRecord>,
    /// Finished jobs are never removed; little more than their ids is kept.
    pub finished: BTreeMap<JobId, JobOutcome>,
    /// Machines that may hold a task.
    pub machines: BTreeMap<MachineId, MachineValue>,
    /// The dependencies among the live jobs.
    pub dependencies: DependencyGraph,
    /// Which of them are on which page.
    pub pages: BTreeMap<usize, BTreeSet<MachineId>>,
    /// Those under keys of their own.
    pub single_key_machines: BTreeSet<MachineId>,
    /// Jobs that changed since the leader last took them in.
    pub changed_jobs: BTreeSet<JobId>,
    /// Done ranges that were read before their job.
    orphaned_ranges: BTreeMap<(JobId, u32), String>,
    /// Keys of done ranges and parts of jobs that are over: the leader deletes them when there is room.
    pub garbage_keys: BTreeSet<String>,
    /// Jobs too large for one value.
    pub parts: LargeJobParts,
    /// The identity of the store that this is a copy of, and the version of its key.
    pub identity: Option<(String, u64)>,
    /// Its first term, if it was taken for new: a worker that has seen an earlier one proves it was not.
    pub first_term: Option<u64>,
    /// It has another identity now, which a store is given only when it has lost data.
    pub identity_changed: bool,
    /// This process has noticed the loss itself, and the next identity is expected.
    expects_new_identity: bool,
    /// The mark of an incomplete store, and its version.
    pub rebuilding: Option<(RebuildingValue, u64)>,
    /// Jobs whose key is remembered here and not, or not so, in the store.
    pub missing_from_store: BTreeSet<JobId>,
    /// Ends that this process wrote and the watch has not shown yet, with their revisions: a list
    /// begun before them does not contradict them.
    unconfirmed_ends: BTreeMap<JobId, u64>,
    /// Versions of keys, on which a leader's changes depend.
    pub versions: KeyVersions,
    /// What may still be on machines of jobs that were cancelled lately.
    pub residual_tasks: BTreeMap<JobId, ResidualTasks>,
    /// What was cancelled before (milliseconds since 1970) is on no machine any more.
    residual_expired_before_ms: u64,
}

impl StoreCache {
    /// Replaces everything, except that what is final stays final. A list may have been begun before
    /// what this process wrote since, and does not know what it has yet to write: jobs newer than the
    /// list stay, and so does what was done of all.
    pub fn reset(&mut self, items: Vec<Item>, revision: u64) {
        let finished = std::mem::take(&mut self.finished);
        let before = std::mem::take(&mut self.jobs);
        let unconfirmed_ends = std::mem::take(&mut self.unconfirmed_ends);
        let mut versions = std::mem::take(&mut self.versions);
        versions.clear_observed();
        let residual_tasks = std::mem::take(&mut self.residual_tasks);
        *self = StoreCache {
            finished,
            unconfirmed_ends,
            versions,
            residual_tasks,
            residual_expired_before_ms: self.residual_expired_before_ms,
            changed_jobs: before.keys().cloned().collect(),
            loaded: true,
            revision,
            ..StoreCache::default()
        };
        for item in items {
            self.put(&item.key, item.value, item.version);
        }
        for (id, job) in before {
            if let Some(known) = self.jobs.get_mut(&id) {
                known.done.union_with(&job.done);
            } else if job.version > revision && !self.finished.contains_key(&id) {
                let cancelled =
                    self.dependencies
.add_job(&id, &job.spec.dependencies, &self.finished); self.changed_jobs.extend(cancelled); 
                self.jobs.insert(id, job);
            }
        }
    }

    /// This process wrote how a job ended.
    pub fn record_job_end(
        &mut self,
        id: &JobId,
        end: JobOutcome,
        residual_tasks: Option<ResidualTasks>,
        revision: u64,
    ) {
        if revision > self.revision {
            self.unconfirmed_ends.insert(id.clone(), revision);
        }
        self.put_job(
            id,
            JobValue::Ended {
                end,
                residual_tasks,
            },
            revision,
        );
    }

    /// What of a job may be on machines, if it is cancelled now.
    pub fn residual_tasks_of(&self, id: &JobId, now: SystemTime) -> Option<ResidualTasks> {
        let job = self.jobs.get(id)?;
        let at = now.duration_since(SystemTime::UNIX_EPOCH);
        Some(ResidualTasks {
            team: job.spec.team.clone(),
            resources: job.spec.resources,
            tasks: job.spec.tasks.saturating_sub(job.done.len()),
            cancelled_ms: at.unwrap_or_default().as_millis() as u64,
        })
    }

    /// What was cancelled before this moment is on no machine any more.
    pub fn expire_residual_tasks(&mut self, at_ms: u64) {
        self.residual_expired_before_ms = at_ms;
        self.residual_tasks
            .retain(|_, residual| residual.cancelled_ms >= at_ms);
    }

    /// The watch has shown these changes, up to this revision.
    pub fn apply(&mut self, events: Vec<WatchEvent>, revision: u64) {
        for event in events {
            if let Some(key) = event.put {
                self.put(&key, event.value, event.version);
            } else if let Some(key) = event.delete {
                self.delete(&key, event.version);
            }
        }
        self.advance_revision(revision);
    }

    /// The copy is as new as this.
    pub fn advance_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
        let revision = self.revision;
        self.unconfirmed_ends.retain(|_, at| *at > revision);
        self.versions.drop_confirmed(revision);
    }

    /// This process's changes were committed at this revision.
    pub fn record_write(&mut self, changes: &[Change], revision: u64) {
        self.versions.record_write(changes, revision, self.revision);
    }

    /// How a job has ended, as far as that is durable: by its own end, or by that of a job that
    /// it needs.
    pub fn outcome_of(&self, id: &str) -> Option<JobOutcome> {
        let own = self.finished.get(id).copied();
        own.or_else(|| {
            self.dependencies
                .cancelled_dependency(id)
                .map(|_| JobOutcome::Cancelled)
        })
    }

    /// Whether a job with this id was ever accepted, as far as is known here.
 pub fn is_known_job(&self, id: &str) -> bool {self.jobs.contains_key(id) || self.finished.contains_key(id) || self.parts.is_incomplete(id) 
    }

    /// Whether no dependency of a live job keeps it from starting.
    pub fn dependencies_met(&self, id: &JobId) -> bool {
        self.dependencies.unfinished_dependencies(id) == 0
            && self.dependencies.cancelled_dependency(id).is_none()
    }
}

#[cfg(test)]
mod tests;
