//! Keys, versions and values, and changes to them. Values are JSON text that nothing here reads.

use std::collections::BTreeMap;

/// What the store holds under one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The revision at which it was put.
    pub version: u64,
    /// JSON text.
    pub value: String,
}

/// One change, as a watch reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The key that changed.
    pub key: String,
    /// What is under it now; nothing after a deletion.
    pub entry: Option<Entry>,
}

/// What the store held at a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Image {
    /// The revision of the store.
    pub revision: u64,
    /// Every key and what is under it.
    pub items: BTreeMap<String, Entry>,
}

impl Image {
    /// Applies changes in the order in which the service reports them. One that comes again (a watch
    /// repeats what a list held already) does not bring back an older version.
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

    /// Bytes of keys and values.
    pub fn size_bytes(&self) -> usize {
        let sizes = self
            .items
            .iter()
            .map(|(key, entry)| key.len() + entry.value.len());
        sizes.sum()
    }
}
