//! Keys, versions and values, and changes to them. Values are JSON text that is not parsed here.

use std::collections::BTreeMap;

/// Version and value of one key in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Revision at which the key was put.
    pub version: u64,
    /// Value as JSON text.
    pub value: String,
}

/// Change of one key, as reported by a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Key that changed.
    pub key: String,
    /// New entry of the key; `None` for a deletion.
    pub entry: Option<Entry>,
}

/// Content of the store at a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Image {
    /// Revision of the store.
    pub revision: u64,
    /// All keys with their entries.
    pub items: BTreeMap<String, Entry>,
}

impl Image {
    /// Applies changes in the order in which the service reports them. An entry older than the present
    /// one is ignored, as a watch may repeat changes that the listing already contained.
    pub fn apply(&mut self, changes: Vec<Change>, revision: u64) {
        for Change { key, entry } in changes {
            match entry {
                Some(entry) => {
                    let known = self.items.get(&key);
                    if known.is_none_or(|known| known.version <= entry.version) {
                        self.items.insert(key, entry);
                    }
                }
                None => {
                    self.items.remove(&key);
                }
            }
        }
        self.revision = self.revision.max(revision);
    }

    /// Returns the total size of all keys and values, in bytes.
    pub fn size_bytes(&self) -> usize {
        let sizes = self
            .items
            .iter()
            .map(|(key, entry)| key.len() + entry.value.len());
        sizes.sum()
    }
}
