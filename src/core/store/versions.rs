//! Versions of the keys that a leader writes, as far as this process knows. Each change of its depends on
//! the version that its key had. A transaction without an answer is sent again; its first copy may be
//! carried out seconds later, after newer ones of the same leader, and must not undo them.

use crate::wire::Change;
use std::collections::BTreeMap;

#[derive(Default)]
pub struct KeyVersions {
    /// What the state service has told, by key.
    observed: BTreeMap<String, u64>,
    /// What this process wrote and the watch has yet to tell: since which revision, and whether the key
    /// is there since.
    unconfirmed: BTreeMap<String, (u64, bool)>,
}

impl KeyVersions {
    /// 0: the key is not there.
    pub fn of(&self, key: &str) -> u64 {
        match self.unconfirmed.get(key) {
            Some((revision, there)) => revision * u64::from(*there),
            None => self.observed.get(key).copied().unwrap_or(0),
        }
    }

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

    /// This process wrote it, which its copy, of this revision, may not show yet.
    pub fn record_write(&mut self, changes: &[Change], revision: u64, copy: u64) {
        for change in changes.iter().filter(|_| revision > copy) {
            let there = matches!(change, Change::Put { .. });
            self.unconfirmed
                .insert(change.key().into(), (revision, there));
        }
    }

    /// The copy has come as far as this revision.
    pub fn drop_confirmed(&mut self, revision: u64) {
        self.unconfirmed.retain(|_, (at, _)| *at > revision);
    }

    /// Keys of which versions are kept.
    #[cfg(test)]
    pub fn known(&self) -> usize {
        self.observed.len() + self.unconfirmed.len()
    }

    /// Another list of all there is takes the place of what was told.
    pub fn clear_observed(&mut self) {
        self.observed.clear();
    }
}
