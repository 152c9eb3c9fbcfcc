//! Determines from the contents of the state service whether a transaction was committed whose response was lost.
//!
//! All changes of a transaction share one revision, so the transaction was committed if exactly its changes
//! happened at one revision. The watch reports them like any other change; a full list contains the written
//! values, all with the same version.

use crate::core::store::cache::StoreList;
use crate::wire::{Change, CompareAndSwap, Condition, WatchEvent};
use serde_json::Value;

/// Returns the revision at which the transaction was committed, if these events contain its commit.
pub fn committed_in_events(txn: &CompareAndSwap, events: &[WatchEvent]) -> Option<u64> {
    let mut groups = events.chunk_by(|a, b| a.version == b.version);
    let group = groups.find(|group| is_commit(txn, group))?;
    Some(group.first()?.version)
}

/// Returns whether these events, all of one revision, are exactly the changes of the transaction.
fn is_commit(txn: &CompareAndSwap, group: &[WatchEvent]) -> bool {
    let shown = |change: &Change| group.iter().any(|event| same_change(change, event));
    let expected = txn.changes.iter().filter(|c| leaves_event(txn, c));
    let all_shown = expected.clone().all(shown);
    let nothing_else = group
        .iter()
        .all(|e| txn.changes.iter().any(|c| same_change(c, e)));
    expected.count() > 0 && all_shown && nothing_else
}

/// Returns whether the watch reports the change. The deletion of a key that does not exist produces no event.
fn leaves_event(txn: &CompareAndSwap, change: &Change) -> bool {
    let absent = |key: &str| {
        txn.conditions
            .iter()
            .any(|c| c.key == key && c.version == 0)
    };
    match change {
        Change::Put { .. } => true,
        Change::Delete { key } => !absent(key),
    }
}

fn same_change(change: &Change, event: &WatchEvent) -> bool {
    match change {
        Change::Put { key, value, .. } => {
            event.put.as_ref() == Some(key) && same_value(value, &event.value)
        }
        Change::Delete { key } => event.delete.as_ref() == Some(key),
    }
}

/// Returns the revision at which the transaction was committed, if a list contains its values.
pub fn committed_in_list(txn: &CompareAndSwap, list: &StoreList) -> Option<u64> {
    let mut revision = None;
    for change in &txn.changes {
        let item = list.find(change.key());
        let Change::Put { value, .. } = change else {
            if item.is_some() {
                return None;
            }
            continue;
        };
        let item = item.filter(|item| same_value(value, &item.value))?;
        if *revision.get_or_insert(item.version) != item.version {
            return None;
        }
    }
    // Not a commit if a key still has the version that a condition expects: it had the same value before.
    let unchanged = |c: &Condition| Some(c.version) == revision;
    revision.filter(|_| !txn.conditions.iter().any(unchanged))
}

/// Returns whether two values are equal. Numbers are compared by value, since the service may format them differently.
fn same_value(a: &Value, b: &Value) -> bool {
    match (a, b) {
        (Value::Number(a), Value::Number(b)) => a == b || a.as_f64() == b.as_f64(),
        (Value::Array(a), Value::Array(b)) => {
            a.len() == b.len() && a.iter().zip(b).all(|(a, b)| same_value(a, b))
        }
        (Value::Object(a), Value::Object(b)) => {
            let same = |(key, value)| b.get(key).is_some_and(|other| same_value(value, other));
            a.len() == b.len() && a.iter().all(same)
        }
        _ => a == b,
    }
}

#[cfg(test)]
pub(super) mod tests;
