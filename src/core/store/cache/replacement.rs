//! Replacement of the copy by a full list of the store.

use super::list::{ListedEnd, StoreList};
use super::{JobRecord, StoreCache};
use crate::core::store::keys::job_key;
use crate::core::store::recent_job_changes::RecentJobChanges;
use crate::fault_injection::{Safeguard, is_enabled};
use crate::job::JobId;

impl StoreCache {
    /// Replaces the copy by a full list of the store, but keeps the ends of jobs. The list may have been begun before
    /// this process's latest writes, and lacks results that are not written yet: so jobs that are newer than the list
    /// are kept too, and so are the done tasks of all jobs. Jobs that the list holds without all of their parts are kept
    /// as well, and recorded as missing from the store.
    pub fn reset(&mut self, list: StoreList, revision: u64) {
        let ended_jobs = std::mem::take(&mut self.ended_jobs);
        let before = std::mem::take(&mut self.jobs);
        let unconfirmed_ends = std::mem::take(&mut self.unconfirmed_ends);
        let mut versions = std::mem::take(&mut self.versions);
        versions.begin_list(revision);
        let residual_tasks = std::mem::take(&mut self.residual_tasks);
        let mut parts = std::mem::take(&mut self.parts);
        parts.begin_list(|_, header| header.version > revision);
        *self = StoreCache {
            ended_jobs,
            unconfirmed_ends,
            versions,
            residual_tasks,
            parts,
            residual_expired_before_ms: self.residual_expired_before_ms,
            changed_jobs: before.keys().cloned().collect(),
            loaded: true,
            revision,
            ..StoreCache::default()
        };
        self.put_list(list);
        for (id, job) in before {
            if let Some(known) = self.jobs.get_mut(&id) {
                known.done.union_with(&job.done);
            } else if self.ended_jobs.contains(&id) {
                continue;
            } else if self.parts.lacks_parts(&id) && job.version <= revision {
                self.parts.mark_read(&id);
                self.missing_from_store.insert(id.clone());
                self.keep_job(id, job);
            } else if job.version > revision {
                self.keep_job(id, job);
            }
        }
    }

    /// Adds a live job that the copy had before it was replaced by a list, with the done tasks in the list.
    fn keep_job(&mut self, id: JobId, mut job: JobRecord) {
        for (base, ranges) in self.take_orphaned_ranges(&id) {
            let end = job.done.add_ranges(base, &ranges, job.spec.tasks);
            job.stored_ranges.insert(base, end);
        }
        self.add_dependencies(&id, &job.spec.dependencies);
        self.jobs.insert(id, job);
    }

    /// Applies all items of a full list.
    pub(super) fn put_list(&mut self, list: StoreList) {
        self.recent_job_changes = RecentJobChanges::default();
        if let Some((key, version)) = list.newest_job_change() {
            self.recent_job_changes.record(key, *version);
        }
        let (dropped, dropped_up_to) = list.dropped();
        self.ended_jobs.begin_list(dropped, dropped_up_to);
        let (mut ended, items) = list.into_parts();
        ended.sort_unstable_by_key(|ended| ended.version);
        for ended in ended {
            self.put_listed_end(ended);
        }
        for item in items {
            self.put(&item.key, item.value, item.version);
        }
        let unresolved = std::mem::take(&mut self.unresolved_jobs);
        let unresolved = unresolved.into_iter().filter(|id| !self.is_known_job(id));
        self.unresolved_jobs = unresolved.collect();
        self.drop_oldest_ends();
    }

    /// Applies a listed end, before the list's other items.
    fn put_listed_end(&mut self, ended: ListedEnd) {
        let is_new = ended.residual_tasks.is_none()
            && ended.version <= self.revision
            && !self.is_referred_to(&ended.id);
        if is_new && is_enabled(Safeguard::VersionPruning) {
            self.ended_jobs
                .insert(&ended.id, ended.outcome, ended.version);
            return;
        }
        self.update_version(&job_key(&ended.id), true, ended.version);
        self.put_stored_job(&ended.id, ended.value(), ended.version);
    }

    /// Returns whether the copy has more of a job than its end, or another job depends on it.
    fn is_referred_to(&self, id: &JobId) -> bool {
        self.jobs.contains_key(id)
            || self.parts.has_header(id)
            || self.missing_from_store.contains(id)
            || self.unconfirmed_ends.contains_key(id)
            || self.dependencies.dependents(id).next().is_some()
    }
}
