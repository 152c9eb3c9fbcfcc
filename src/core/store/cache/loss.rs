//! Whether what is stored can be what the copy was made of; and the copy of a store that has lost data.

use super::{StoreCache, is_over};
use crate::core::store::keys::{TERM, identity_key, job_key, key as stored_key};
use crate::core::store::large_jobs::LargeJobParts;
use crate::core::store::versions::KeyVersions;
use crate::job::JobId;
use crate::wire::Item;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

impl StoreCache {
    /// Why what is stored cannot be what this copy was made of, if so. A list that was begun before
    /// this process's own newest writes does not hold them, and is no contradiction.
    pub fn find_contradiction(&self, items: &[Item], revision: u64) -> Option<String> {
        if revision < self.revision {
            let before = self.revision;
            return Some(format!(
                "its revision went back from {before} to {revision}"
            ));
        }
        let find = |key: &str| {
            // Lists come ordered by key.
            let at = items.binary_search_by(|i| i.key.as_str().cmp(key));
            at.ok().map(|n| &items[n])
        };
        if let Some((id, version)) = &self.identity
            && find(&identity_key(id)).is_none_or(|i| i.version != *version)
        {
            return Some(format!("it is not the store {id} any more"));
        }
        if self.term_version > 0
            && find(&stored_key(TERM)).is_none_or(|i| i.version < self.term_version)
        {
            return Some(format!("it has forgotten term {}", self.term));
        }
        let absent = |id: &JobId| find(&job_key(id)).is_none();
        let newer = |id: &JobId, at: u64| at > revision || self.missing_from_store.contains(id);
        if let Some((id, _)) =
            (self.jobs.iter()).find(|(id, j)| !newer(id, j.version) && absent(id))
        {
            return Some(format!("it has forgotten job {id}"));
        }
        let ahead = |id: &JobId| self.unconfirmed_ends.get(id).copied().unwrap_or(0);
        let undone = |id: &&JobId| {
            !newer(id, ahead(id)) && find(&job_key(id)).is_none_or(|item| !is_over(&item.value))
        };
        let undone = self.finished.keys().find(undone)?;
        Some(format!("it has forgotten how job {undone} ended"))
    }

    /// How jobs' keys, from after one and up to another, do not say what the copy does; the copy is as
    /// new as they are.
    pub fn find_difference(
        &self,
        items: &[Item],
        after: &str,
        last: Option<&str>,
    ) -> Option<String> {
        let prefix = stored_key("j/");
        let name = |key: &str| JobId::from(key.strip_prefix(&prefix).unwrap_or(""));
        for i in items {
            let id = name(&i.key);
            if !self.knows(&id) {
                return Some(format!("it has job {id}, of which the watch has not told"));
            }
            if !is_over(&i.value)
                && self.finished.contains_key(&id)
                && !self.unconfirmed_ends.contains_key(&id)
            {
                return Some(format!("it has forgotten how job {id} ended"));
            }
        }
        let stored: BTreeSet<JobId> = items.iter().map(|i| name(&i.key)).collect();
        let end = last.map_or(Bound::Unbounded, |l| Bound::Included(name(l)));
        let range = (Bound::Excluded(name(after)), end);
        let live = self.jobs.range::<JobId, _>(range.clone()).map(|(id, _)| id);
        let ended = self.finished.range::<JobId, _>(range).map(|(id, _)| id);
        let known = |id: &&JobId| !stored.contains(*id) && !self.missing_from_store.contains(*id);
        let gone = live.chain(ended).find(known)?;
        Some(format!("it has forgotten job {gone}"))
    }

    /// The store has lost data: what is remembered stays, what is stored joins it, and what of the
    /// first is not among the second is owed to the store. Versions begin anew.
    pub fn merge_after_loss(&mut self, items: Vec<Item>, revision: u64) {
        let prefix = stored_key("j/");
        let stored: BTreeMap<JobId, bool> = (items.iter())
            .filter_map(|i| Some((JobId::from(i.key.strip_prefix(&prefix)?), is_over(&i.value))))
            .collect();
        for job in self.jobs.values_mut() {
            // Older than whatever leads from now on: its tasks may be anywhere.
            job.version = 0;
            job.stored_ranges.clear();
        }
        (self.identity, self.first_term, self.expects_new_identity) = (None, None, false);
        (self.leader, self.rebuilding, self.identity_changed) = (None, None, false);
        (self.revision, self.term_version) = (revision, 0);
        (self.pages, self.single_key_machines) = Default::default();
        (
            self.orphaned_ranges,
            self.garbage_keys,
            self.unconfirmed_ends,
        ) = Default::default();
        self.parts = LargeJobParts::default();
        self.versions = KeyVersions::default();
        for item in items {
            self.put(&item.key, item.value, item.version);
        }
        let live = self.jobs.keys().filter(|id| !stored.contains_key(*id));
        let ended = self
            .finished
            .keys()
            .filter(|id| stored.get(*id) != Some(&true));
        self.missing_from_store = live.chain(ended).cloned().collect();
        self.changed.extend(self.jobs.keys().cloned());
        self.changed.extend(self.missing_from_store.iter().cloned());
        self.loaded = true;
    }

    /// The store has lost data and goes by a name all the same: it gets another one, so that no write
    /// that was meant for what is lost can come to be applied.
    pub fn expect_new_identity(&mut self) {
        self.expects_new_identity = self.identity.is_some();
    }
}
