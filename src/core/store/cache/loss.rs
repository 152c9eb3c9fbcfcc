//! Comparison of the stored data with this copy, to detect data loss, and the merging of both after a loss.

use super::StoreCache;
use super::list::{ListedJob, StoreList};
use super::stored::is_ended;
use crate::core::store::keys::{TERM, identity_key, key as stored_key};
use crate::core::store::versions::KeyVersions;
use crate::job::JobId;
use crate::wire::Item;
use std::collections::BTreeSet;
use std::ops::Bound;

impl StoreCache {
    /// Returns the reason why a full list of the store contradicts this copy, if it does. The reason is stored in the
    /// mark of an incomplete store. A list that was begun before this process's latest writes may lack them without
    /// contradiction.
    pub fn find_contradiction(&self, list: &StoreList, revision: u64) -> Option<String> {
        if revision < self.revision {
            let before = self.revision;
            return Some(format!(
                "its revision went back from {before} to {revision}"
            ));
        }
        if let Some((id, version)) = &self.identity
            && list.version_of(&identity_key(id)) != Some(*version)
        {
            return Some(format!("it is not the store {id} any more"));
        }
        if self.term_version > 0
            && (list.version_of(&stored_key(TERM)))
                .is_none_or(|version| version < self.term_version)
        {
            return Some(format!("it has forgotten term {}", self.term));
        }
        if let Some(key) = self
            .versions
            .find_newer(|key| list.version_of(key), revision)
        {
            return Some(format!("it has an older version of {key}"));
        }
        if let Some(id) = self.find_absent_job(list, revision) {
            return Some(format!("it has forgotten job {id}"));
        }
        let id = self.find_absent_end(list, revision)?;
        Some(format!("it has forgotten how job {id} ended"))
    }

    /// Returns whether a list of `revision` may lack what was written to a job's key at revision `written_at`.
    fn may_lack(&self, id: &JobId, written_at: u64, revision: u64) -> bool {
        written_at > revision || self.missing_from_store.contains(id)
    }

    /// Returns whether the list should contain a live job of this copy and does not. The job may have ended since the
    /// last change that the copy contains, and its end may have been dropped from the list.
    fn is_absent_from(&self, list: &StoreList, id: &JobId) -> bool {
        list.job(id) == ListedJob::Absent && !list.may_lack_end_after(self.revision)
    }

    /// Returns whether the list should contain the end of a job of this copy and does not.
    fn is_end_absent_from(&self, list: &StoreList, id: &JobId) -> bool {
        let version = self.ended_jobs.version(id);
        let may_be_dropped = version > 0 && list.may_lack_end(version);
        !may_be_dropped && list.job(id) != ListedJob::Ended
    }

    /// Returns a live job whose key is missing from the list.
    fn find_absent_job(&self, list: &StoreList, revision: u64) -> Option<&JobId> {
        let absent = |id: &JobId| self.is_absent_from(list, id);
        let mut jobs = self.jobs.iter();
        let (id, _) =
            jobs.find(|(id, job)| !self.may_lack(id, job.version, revision) && absent(id))?;
        Some(id)
    }

    /// Returns a job that has ended in this copy but not in the list.
    fn find_absent_end(&self, list: &StoreList, revision: u64) -> Option<&JobId> {
        let written_at = |id: &JobId| self.unconfirmed_ends.get(id).copied().unwrap_or(0);
        let not_over = |id: &JobId| self.is_end_absent_from(list, id);
        let mut ended = self.ended_jobs.ids();
        ended.find(|id| !self.may_lack(id, written_at(id), revision) && not_over(id))
    }

    /// Returns the first difference between the copy and a page of the store's job keys: those after the key `after`,
    /// up to `last` or the end. The copy must be at least as new as the page. Ends that were dropped from the copy are no
    /// difference.
    pub fn find_job_difference(
        &self,
        items: &[Item],
        after: &str,
        last: Option<&str>,
    ) -> Option<String> {
        let prefix = stored_key("j/");
        let job_id = |key: &str| JobId::from(key.strip_prefix(&prefix).unwrap_or(""));
        for item in items {
            let id = job_id(&item.key);
            let ended = is_ended(&item.value);
            let may_be_dropped = ended && self.ended_jobs.may_lack(item.version);
            if !self.is_known_job(&id) && !may_be_dropped {
                return Some(format!(
                    "it has job {id}, which the watch has not delivered"
                ));
            }
            if !ended && self.ended_jobs.contains(&id) && !self.unconfirmed_ends.contains_key(&id) {
                return Some(format!("it has forgotten how job {id} ended"));
            }
        }
        let stored: BTreeSet<JobId> = items.iter().map(|item| job_id(&item.key)).collect();
        let (first, last) = (job_id(after), last.map(job_id));
        let from = Bound::Excluded(&*first);
        let to = last.as_deref().map_or(Bound::Unbounded, Bound::Included);
        let live = self.jobs.range::<str, _>((from, to)).map(|(id, _)| id);
        let ended = self.ended_jobs.ids_between(from, to);
        let expected = |id: &&JobId| !self.missing_from_store.contains(*id);
        let mut known = live.chain(ended).filter(expected);
        let missing = known.find(|id| !stored.contains(*id))?;
        Some(format!("it has forgotten job {missing}"))
    }

    /// Merges a full list of a store that has lost data into the copy. Versions and revisions from before the loss
    /// cannot be compared with later ones, and are reset.
    pub fn merge_after_loss(&mut self, list: StoreList, revision: u64) {
        for job in self.jobs.values_mut() {
            // Marks the job as older than any later leadership: its tasks may be on any machine.
            job.version = 0;
        }
        self.unconfirmed_ends.clear();
        self.versions = KeyVersions::default();
        self.parts.begin_list(|id, _| self.jobs.contains_key(id));
        self.merge_list(list, revision);
    }

    /// Merges a full list of a store that still lacks some of this copy's data. Jobs and ends that only the copy has
    /// are recorded as missing from the store, except those that were written after the list was begun.
    pub fn merge_list(&mut self, list: StoreList, revision: u64) {
        let missing = self.jobs_missing_from(&list, revision);
        for id in &missing {
            self.ended_jobs.mark_unstored(id);
        }
        for job in self.jobs.values_mut() {
            job.stored_ranges.clear();
        }
        self.versions.begin_list(revision);
        self.clear_store_metadata(revision);
        self.put_list(list);
        let large_jobs = self.parts.accepted_jobs();
        let damaged: Vec<JobId> = large_jobs
            .filter(|id| self.has_lost_parts(id))
            .cloned()
            .collect();
        self.missing_from_store = missing;
        self.missing_from_store.extend(damaged);
        self.changed_jobs.extend(self.jobs.keys().cloned());
        self.changed_jobs
            .extend(self.missing_from_store.iter().cloned());
        self.loaded = true;
    }

    /// Returns the jobs of this copy whose key, or whose end, a full list of this revision should contain and lacks.
    fn jobs_missing_from(&self, list: &StoreList, revision: u64) -> BTreeSet<JobId> {
        let live = self.jobs.iter();
        let live = live
            .filter(|(_, job)| job.version <= revision)
            .map(|(id, _)| id);
        let live = live.filter(|id| self.is_absent_from(list, id));
        let is_newer = |id: &JobId| {
            self.unconfirmed_ends
                .get(id)
                .is_some_and(|at| *at > revision)
        };
        let ended = self.ended_jobs.ids().filter(|id| !is_newer(id));
        let ended = ended.filter(|id| self.is_end_absent_from(list, id));
        live.chain(ended).cloned().collect()
    }

    /// Clears what is known about the store itself, such as its identity and pages, before a list of this revision shows
    /// it; jobs, terms and machines stay.
    fn clear_store_metadata(&mut self, revision: u64) {
        self.identity = None;
        self.first_term = None;
        self.expects_new_identity = false;
        self.identity_changed = false;
        self.leader = None;
        self.rebuilding = None;
        self.revision = revision;
        self.term_version = 0;
        self.pages.clear();
        self.single_key_machines.clear();
        self.orphaned_ranges.clear();
        self.garbage_keys.clear();
        self.unconfirmed_ends.retain(|_, at| *at > revision);
        self.parts
            .begin_list(|id, header| self.jobs.contains_key(id) || header.version > revision);
    }

    /// Expects a new identity of the store, if it has one: the next leader replaces the identity of a store that has
    /// lost data, so that no write intended for the store before the loss can be applied.
    pub fn expect_new_identity(&mut self) {
        self.expects_new_identity = self.identity.is_some();
    }
}
