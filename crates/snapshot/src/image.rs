//! Keys, versions and values, and changes to them. Values are JSON text that nothing here reads.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub version: u64,
    pub value: String,
}

/// One change, as a watch tells it. A deletion has no entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    pub key: String,
    pub entry: Option<Entry>,
}

/// What the store held at a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Image {
    pub revision: u64,
    pub items: BTreeMap<String, Entry>,
}

impl Image {
    /// Changes are applied in the order in which the service tells them. One that comes again (a watch
    /// repeats what a list told already) does not bring back an older version.
    pub fn apply(&mut self, changes: Vec<Change>, revision: u64) {
        for c in changes {
            match c.entry {
                Some(entry) => {
                    let known = self.items.get(&c.key);
                    if known.is_none_or(|e| e.version <= entry.version) {
                        self.items.insert(c.key, entry);
                    }
                }
                None => {
                    self.items.remove(&c.key);
                }
            }
        }
        self.revision = self.revision.max(revision);
    }

    /// Bytes of keys and values.
    pub fn bytes(&self) -> usize {
        let sizes = self.items.iter().map(|(k, e)| k.len() + e.value.len());
        sizes.sum()
    }
}
