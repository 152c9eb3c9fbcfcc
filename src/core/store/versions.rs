//! Versions of the keys that a leader writes, as far as this process knows. Each of the leader's changes is
//! conditional on its key's version. A transaction without a response is sent again; its first copy may be
//! executed seconds later, after newer transactions of the same leader, and must not undo them.

use crate::wire::Change;
use std::collections::BTreeMap;

/// Versions of keys: those that the store has reported, and those that this process has written since.
#[derive(Default)]
pub struct KeyVersions {
    /// Versions that the state service has reported, by key.
    observed: BTreeMap<String, u64>,
    /// Writes of this process that the watch has not reported yet, by key.
    unconfirmed: BTreeMap<String, UnconfirmedWrite>,
}

/// A committed write of this process.
struct UnconfirmedWrite {
    revision: u64,
    /// Whether the key exists after the write; otherwise it was deleted.
    exists: bool,
}

impl KeyVersions {
    /// Returns the version of a key, or 0 if there is no such key.
    pub fn of(&self, key: &str) -> u64 {
        match self.unconfirmed.get(key) {
            Some(write) if write.exists => write.revision,
            Some(_) => 0,
            None => self.observed.get(key).copied().unwrap_or(0),
        }
    }

    /// Records a version that the store has reported; one older than the known version changes nothing.
    pub fn put(&mut self, key: &str, version: u64) {
        match self.observed.get_mut(key) {
            Some(known) => *known = version.max(*known),
            None => {
                self.observed.insert(key.into(), version);
            }
        }
    }

    /// Removes the reported version of a key that was deleted or will never be written again.
    pub fn forget(&mut self, key: &str) {
        self.observed.remove(key);
    }

    /// Records changes that this process wrote, unless its cache is new enough to include them.
    pub fn record_write(&mut self, changes: &[Change], revision: u64, cache_revision: u64) {
        if revision <= cache_revision {
            return;
        }
        for change in changes {
            let exists = matches!(change, Change::Put { .. });
            let write = UnconfirmedWrite { revision, exists };
            self.unconfirmed.insert(change.key().into(), write);
        }
    }

    /// Drops the writes that the cache includes, as it has reached this revision.
    pub fn drop_confirmed(&mut self, revision: u64) {
        self.unconfirmed
            .retain(|_, write| write.revision > revision);
    }

    /// Returns a key whose version as of this revision is newer than the one that the store holds, by `stored_version`. The
    /// store may have deleted a key, but it never goes back to an earlier version of one.
    pub fn find_newer(
        &self,
        stored_version: impl Fn(&str) -> Option<u64>,
        revision: u64,
    ) -> Option<&str> {
        let mut keys = self.observed.keys().chain(self.unconfirmed.keys());
        let is_newer = |key: &&String| {
            let known = self.of(key);
            known <= revision && stored_version(key).is_some_and(|stored| stored < known)
        };
        keys.find(is_newer).map(String::as_str)
    }

    /// Returns the number of versions that are kept.
    #[cfg(test)]
    pub fn tracked_keys(&self) -> usize {
        self.observed.len() + self.unconfirmed.len()
    }

    /// Clears the reported versions, before a full list of this revision replaces them, and the writes that the list
    /// includes.
    pub fn begin_list(&mut self, revision: u64) {
        self.observed.clear();
        self.drop_confirmed(revision);
    }
}
