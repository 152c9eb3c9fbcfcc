//! Changes of one transaction with their conditions and effects, within the limits of the store.

use crate::core::store::pending_writes::WriteOp;
use crate::wire::{Change, Condition, to_json};

/// Maximum size of a transaction's changes and conditions, in bytes. The store's limit
/// of 64 KiB includes the frame of the request.
pub(in crate::core) const MAX_TRANSACTION_BYTES: usize = 56 * 1024;
/// Bytes of a condition without its key.
const CONDITION_BYTES: usize = 48;
/// Bytes of the separator after a change.
const SEPARATOR_BYTES: usize = 2;

/// Changes and their effects, within the limits of a transaction.
pub(super) struct Batch {
    max_changes: usize,
    bytes: usize,
    /// Changes, in the order in which they were added.
    pub(super) changes: Vec<Change>,
    /// Conditions beyond those on the versions of the changed keys.
    pub(super) conditions: Vec<Condition>,
    /// Effects of the commit, in the order of the changes.
    pub(super) ops: Vec<WriteOp>,
}

impl Batch {
    /// Creates an empty batch for at most this many changes.
    pub(super) fn new(max_changes: usize) -> Batch {
        Batch {
            max_changes,
            bytes: 0,
            changes: Vec::new(),
            conditions: Vec::new(),
            ops: Vec::new(),
        }
    }

    /// Returns how many more changes the batch may have.
    pub(super) fn remaining_changes(&self) -> usize {
        self.max_changes.saturating_sub(self.changes.len())
    }

    /// Adds changes that belong together, if all of them fit; returns whether they did.
    pub(super) fn add(&mut self, mut changes: Vec<Change>) -> bool {
        let bytes: usize = changes.iter().map(transaction_bytes).sum();
        if changes.len() > self.remaining_changes() || self.bytes + bytes > MAX_TRANSACTION_BYTES {
            return false;
        }
        self.bytes += bytes;
        self.changes.append(&mut changes);
        true
    }

    /// Adds the deletion of a key, on a condition if one is given, if both fit; returns whether they did.
    pub(super) fn add_deletion(&mut self, key: String, condition: Option<Condition>) -> bool {
        let condition = condition.filter(|c| !self.conditions.contains(c));
        let bytes = condition.as_ref().map_or(0, |c| condition_bytes(&c.key));
        self.bytes += bytes;
        let added = self.add(vec![Change::Delete { key }]);
        if added {
            self.conditions.extend(condition);
        } else {
            self.bytes -= bytes;
        }
        added
    }

    /// Adds changes that belong together and their effect, if they fit; returns whether they did.
    pub(super) fn add_op(&mut self, changes: Vec<Change>, op: WriteOp) -> bool {
        let added = self.add(changes);
        if added {
            self.ops.push(op);
        }
        added
    }
}

/// Returns the bytes that a condition takes of a transaction.
fn condition_bytes(key: &str) -> usize {
    key.len() + CONDITION_BYTES
}

/// Returns the bytes that a change and the condition on its key take of a transaction.
pub(super) fn transaction_bytes(change: &Change) -> usize {
    to_json(change).len() + SEPARATOR_BYTES + condition_bytes(change.key())
}
