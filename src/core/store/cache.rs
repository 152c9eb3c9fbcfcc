//! This controller's copy of the data in the state service, kept current by the watch. The module `keys` documents
//! the keys.
//!
//! After the store has lost data, `merge_after_loss` and `merge_list` keep the copied data and record which of it the
//! store lacks.
//! `merge_items` merges the copies of other controllers by the same rules, whose result does not depend on the order
//! of merging: the end of a job is final, sets of done tasks are united, and a known machine stays known.
//!
//! - `apply`: application of the store's changes to the copy.
//! - `loss`: comparison of the store with the copy, and the copy's state after a loss of data.
//! - `list`: a full list of the store.
//! - `replacement`: replacement of the copy by a full list.
//! - `exchange`: the copy's export to other controllers, and the merging of theirs.
//! - `ended_jobs`: the ends of jobs, within a limit on their memory.
//! - `stored`: the stored form of each value.
//! - `task_set`: sets of a job's tasks, stored as ranges.

mod apply;
mod ended_jobs;
mod exchange;
mod list;
mod loss;
mod replacement;
mod stored;
mod task_set;

use crate::core::jobs::dependencies::DependencyGraph;
use crate::core::store::keys::StoreKey;
use crate::core::store::large_jobs::LargeJobParts;
use crate::core::store::recent_job_changes::RecentJobChanges;
use crate::core::store::versions::KeyVersions;
use crate::job::{JobId, JobOutcome, JobSpec, MachineId};
use crate::wire::{Change, MachineType, WatchEvent};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::SystemTime;

pub use ended_jobs::{EndedJobs, max_ended_job_bytes};
pub use list::StoreList;
pub(in crate::core) use stored::is_ended;
pub use stored::{
    DoneValue, IdentityValue, JobValue, LeaderValue, MachineValue, PageValue, RebuildingValue,
    ResidualTasks, TermValue,
};
pub use task_set::TaskSet;

/// A job that has not ended.
#[derive(Clone, Debug)]
pub struct JobRecord {
    /// Specification as submitted.
    pub spec: Arc<JobSpec>,
    /// Time at which the job was accepted.
    pub submitted: SystemTime,
    /// Version of the job's key; 0 if the store has lost the key.
    pub version: u64,
    /// Tasks that have succeeded.
    pub done: TaskSet,
    /// Stored ranges of `done`: the first task of each range, with the task after the last done one in it. Ranges
    /// written by an earlier version may be longer than those of this version.
    pub stored_ranges: BTreeMap<u32, u32>,
}

impl JobRecord {
    /// Returns the first tasks of the ranges, each of `size` tasks, that have to be written to persist `tasks`: the
    /// ranges that contain them, and those that a longer stored range under one of the same keys extends over, as
    /// writing the key replaces that range.
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

/// Copy of the store.
#[derive(Default)]
pub struct StoreCache {
    /// Whether a full list of the store has been read.
    pub loaded: bool,
    /// Revision of the store that the copy reflects.
    pub revision: u64,
    /// Current leader, and the version of the leader key.
    pub leader: Option<(LeaderValue, u64)>,
    /// Newest known term, even if the store has lost it.
    pub term: u64,
    /// Term that the store holds.
    pub stored_term: u64,
    /// Version of the term's key; 0 if the store holds no term.
    pub term_version: u64,
    /// Machine types recorded in the store.
    pub machine_types: Vec<MachineType>,
    /// Jobs that have not ended.
    pub jobs: BTreeMap<JobId, JobRecord>,
    /// Ends of jobs. The store holds all of them, the copy as many as fit into a limit on their memory.
    pub ended_jobs: EndedJobs,
    /// Machines that may hold a task.
    pub machines: BTreeMap<MachineId, MachineValue>,
    /// Dependencies among the live jobs.
    pub dependencies: DependencyGraph,
    /// Ids of the machines on each page, by page number.
    pub pages: BTreeMap<usize, BTreeSet<MachineId>>,
    /// Machines recorded under keys of their own, as earlier versions did.
    pub single_key_machines: BTreeSet<MachineId>,
    /// Jobs whose end, if they have ended, is needed and may have been dropped: it has to be read from the store.
    pub unresolved_jobs: BTreeSet<JobId>,
    /// Jobs that have changed since the leader last processed this set.
    pub changed_jobs: BTreeSet<JobId>,
    /// Ranges of done tasks that were read before the job they belong to.
    orphaned_ranges: BTreeMap<(JobId, u32), String>,
    /// Keys of done ranges and of parts of ended jobs: the leader deletes them when a transaction has room.
    pub garbage_keys: BTreeSet<String>,
    /// Parts of jobs that are too large for one value.
    pub parts: LargeJobParts,
    /// Whether the watch has delivered the key of a job without its parts, which were written before it: the copy lacks
    /// changes that the store has.
    pub parts_undelivered: bool,
    /// Identity of the store that this is a copy of, and the version of its key.
    pub identity: Option<(String, u64)>,
    /// First term of the store, if its first leader found it empty and assumed that it was new. A worker that has seen
    /// an earlier term proves that the assumption was wrong.
    pub first_term: Option<u64>,
    /// Whether the store was seen with another identity than `identity`. A store is given a new one only after it has
    /// lost data.
    pub identity_changed: bool,
    /// Whether this process has detected a loss of data itself, so that a new identity is no further sign of one.
    expects_new_identity: bool,
    /// Mark of an incomplete store (`RebuildingValue`), and the version of its key.
    pub rebuilding: Option<(RebuildingValue, u64)>,
    /// Jobs in this copy whose key the store lacks, or holds with an older state.
    pub missing_from_store: BTreeSet<JobId>,
    /// Ends of jobs that this process has written or read and the watch has not delivered yet, with the versions of
    /// their keys: a list that was read at an earlier revision does not contradict them.
    unconfirmed_ends: BTreeMap<JobId, u64>,
    /// Versions of keys, on which a leader's changes are conditional.
    pub versions: KeyVersions,
    /// Newest changes of jobs' keys, which the store must still have.
    pub recent_job_changes: RecentJobChanges,
    /// Tasks of recently cancelled jobs that may still be on machines.
    pub residual_tasks: BTreeMap<JobId, ResidualTasks>,
    /// Time, in milliseconds since the Unix epoch: tasks of jobs cancelled before it are no longer on any machine.
    residual_expired_before_ms: u64,
}

impl StoreCache {
    /// Creates an empty copy whose ends of jobs may take up to `max_ended_bytes` bytes of memory.
    pub fn with_limit(max_ended_bytes: usize) -> StoreCache {
        StoreCache {
            ended_jobs: EndedJobs::with_limit(max_ended_bytes),
            ..StoreCache::default()
        }
    }

    /// Adds a live job to the dependency graph. If the end of a job that it depends on may have been dropped from the
    /// copy, that job is recorded as unresolved.
    fn add_dependencies(&mut self, id: &JobId, dependencies: &[JobId]) {
        let ended_jobs = &self.ended_jobs;
        let outcome_of = |dependency: &JobId| ended_jobs.outcome(dependency);
        let cancelled = self.dependencies.add_job(id, dependencies, outcome_of);
        self.changed_jobs.extend(cancelled);
        if !self.ended_jobs.is_partial() {
            return;
        }
        let unknown = dependencies.iter().filter(|id| !self.is_known_job(id));
        let unknown: Vec<JobId> = unknown.cloned().collect();
        self.unresolved_jobs.extend(unknown);
    }

    /// Records that this process wrote the end of a job, at `revision`.
    pub fn record_job_end(
        &mut self,
        id: &JobId,
        end: JobOutcome,
        residual_tasks: Option<ResidualTasks>,
        revision: u64,
    ) {
        self.missing_from_store.remove(id);
        let value = JobValue::Ended {
            end,
            residual_tasks,
        };
        self.put_job(id, value, revision);
    }

    /// Returns the tasks of a live job that may be on machines when it is cancelled at `now`.
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

    /// Forgets the tasks of jobs cancelled before `at_ms`: they are no longer on any machine.
    pub fn expire_residual_tasks(&mut self, at_ms: u64) {
        self.residual_expired_before_ms = at_ms;
        self.residual_tasks
            .retain(|_, residual| residual.cancelled_ms >= at_ms);
    }

    /// Applies changes that the watch has delivered; `revision` is that of the last one.
    pub fn apply(&mut self, events: Vec<WatchEvent>, revision: u64) {
        for event in events {
            if let Some(key) = event.put {
                // A list may already contain what the watch repeats.
                if event.version > self.revision {
                    self.recent_job_changes.record(&key, event.version);
                }
                self.put(&key, event.value, event.version);
                self.parts_undelivered |= self.is_unread_job_key(&key);
            } else if let Some(key) = event.delete {
                self.delete(&key, event.version);
            }
        }
        self.advance_revision(revision);
    }

    /// Returns whether this is the key of an accepted job some of whose parts the copy lacks.
    fn is_unread_job_key(&self, key: &str) -> bool {
        match StoreKey::parse(key) {
            Some(StoreKey::Job(id)) => self.parts.has_header(id) && !self.jobs.contains_key(id),
            _ => false,
        }
    }

    /// Records that the copy reflects the store up to `revision`.
    pub fn advance_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
        let revision = self.revision;
        self.unconfirmed_ends.retain(|_, at| *at > revision);
        self.versions.drop_confirmed(revision);
        self.drop_oldest_ends();
    }

    /// Records that changes of this process were committed at `revision`.
    pub fn record_write(&mut self, changes: &[Change], revision: u64) {
        self.versions.record_write(changes, revision, self.revision);
    }

    /// Returns the durable outcome of a job: its own, or `Cancelled` if a dependency was cancelled.
    pub fn outcome_of(&self, id: &str) -> Option<JobOutcome> {
        let own = self.ended_jobs.outcome(id);
        own.or_else(|| {
            self.dependencies
                .cancelled_dependency(id)
                .map(|_| JobOutcome::Cancelled)
        })
    }

    /// Returns whether a job with this id was ever accepted, as far as this process knows. An ended job whose end was
    /// dropped is unknown.
    pub fn is_known_job(&self, id: &str) -> bool {
        self.jobs.contains_key(id) || self.ended_jobs.contains(id) || self.parts.has_header(id)
    }

    /// Returns whether the key of a job that has not ended was created after this revision of the store.
    pub fn is_created_after(&self, id: &str, revision: u64) -> bool {
        let version = self.jobs.get(id).map(|job| job.version);
        let version = version.or_else(|| self.parts.header_version(id));
        version.is_some_and(|version| version > revision)
    }

    /// Returns whether all dependencies of a live job have ended, and none of them was cancelled.
    pub fn dependencies_met(&self, id: &JobId) -> bool {
        self.dependencies.unfinished_dependencies(id) == 0
            && self.dependencies.cancelled_dependency(id).is_none()
    }
}

#[cfg(test)]
mod large_job_tests;
#[cfg(test)]
mod tests;
