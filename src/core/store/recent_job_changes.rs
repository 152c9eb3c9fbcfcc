//! The newest changes of jobs' keys that the copy contains, as conditions by which the store shows whether it still has
//! them.
//!
//! A store that is restored to an earlier state loses its newest changes. If other changes raise its revision before any
//! response shows the lower one, the watch continues without a sign of the loss, and a controller that has just started
//! cannot know of it. A copy that contains the lost changes finds the loss when it compares them with the store.

use crate::core::store::keys::JOB_PREFIX;
use crate::wire::Condition;
use std::collections::BTreeMap;

/// Maximum number of changes that are kept.
const MAX_CHANGES: usize = 128;

/// Newest changes of jobs' keys: one for each revision, as the changes of a revision are kept or lost together.
#[derive(Default)]
pub struct RecentJobChanges {
    /// Changed keys, by revision.
    keys: BTreeMap<u64, String>,
}

impl RecentJobChanges {
    /// Records that a key was written at this version; other keys than those of jobs are ignored.
    pub fn record(&mut self, key: &str, version: u64) {
        if !key.starts_with(JOB_PREFIX) {
            return;
        }
        // An earlier change of the key cannot be compared any more.
        self.keys.retain(|_, changed| changed != key);
        self.keys.insert(version, key.into());
        if self.keys.len() > MAX_CHANGES {
            self.remove_second_oldest();
        }
    }

    /// Removes the oldest change but one. The oldest is kept, as a store that lacks it lacks all later ones too.
    fn remove_second_oldest(&mut self) {
        let second = self.keys.keys().nth(1).copied();
        if let Some(version) = second {
            self.keys.remove(&version);
        }
    }

    /// Returns conditions that hold if the store has all of these changes.
    pub fn conditions(&self) -> Vec<Condition> {
        let condition = |(version, key): (&u64, &String)| Condition {
            key: key.clone(),
            version: *version,
        };
        self.keys.iter().map(condition).collect()
    }

    /// Forgets changes that the store has confirmed, except the newest one of all: a store that is restored to an earlier
    /// state loses that one first.
    pub fn confirm(&mut self, confirmed: &[Condition]) {
        let newest = self.keys.keys().next_back().copied();
        for condition in confirmed {
            if self.contains(condition) && Some(condition.version) != newest {
                self.keys.remove(&condition.version);
            }
        }
    }

    /// Returns whether this change is recorded, and is still the newest one of its key.
    pub fn contains(&self, change: &Condition) -> bool {
        self.keys.get(&change.version) == Some(&change.key)
    }
}

#[cfg(test)]
mod tests;
