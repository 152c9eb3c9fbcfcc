//! Versions of the keys that a leader writes, as far as this process knows. Each of the leader's changes is
//! conditional on its key's version. A transaction without an answer is sent again; its first copy may be
//! executed seconds later, after newer ones of the same leader, and must not undo them.

use crate::wire::Change;
use std::collections::BTreeMap;

/// Versions of keys: those that the store has shown, and those that this process has written since.
#[derive(Default)]
pub struct KeyVersions {
    /// What the state service has shown, by key.
    observed: BTreeMap<String, u64>,
    /// What this process wrote and the watch has yet to show.
    unconfirmed: BTreeMap<String, UnconfirmedWrite>,
}

/// A committed write of this process.
struct UnconfirmedWrite {
    revision: u64,
    /// Whether the key exists since; it was deleted otherwise.
    exists: bool,
}

impl KeyVersions {
    /// The version of a key; 0 where there is no such key.
    pub fn of(&self, key: &str) -> u64 {
        match self.unconfirmed.get(key) {
            Some(write) if write.exists => write.revision,
            Some(_) => 0,
            None => self.observed.get(key).copied().unwrap_or(0),
        }
    }

    /// The store has shown a key with this version; an older one than known changes nothing.
    pub fn put(&mut self, key: &str, version: u64) {
        match self.observed.get_mut(key) {
            Some(known) => *known = version.max(*known),
            None => {
                self.observed.insert(key.into(), version);
            }
        }
    }

    /// Deleted, or never to be written again.
    pub fn forget(&mut self, key: &str) {
        self.observed.remove(key);
    }

    /// This process wrote these changes, which its copy, of revision `copy`, may not show yet.
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

    /// The copy has come as far as this revision.
    pub fn drop_confirmed(&mut self, revision: u64) {
        self.unconfirmed
            .retain(|_, write| write.revision > revision);
    }

    /// Keys of which versions are kept.
    #[cfg(test)]
    pub fn tracked_keys(&self) -> usize {
        self.observed.len() + self.unconfirmed.len()
    }

    /// A newer full list replaces the versions shown so far.
    pub fn clear_observed(&mut self) {
        self.observed.clear();
    }
}
