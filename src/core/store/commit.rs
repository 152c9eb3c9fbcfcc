//! Finds out whether a transaction was committed from what the state service holds, where its answer was lost.
//!
//! All changes of a transaction share one revision, so it was committed at the revision at which exactly its
//! changes happened. The watch shows them like any other change; a list shows them as values that are equal
//! and share a version.

use crate::wire::{Change, CompareAndSwap, Condition, Item, WatchEvent};
use serde_json::Value;

/// The revision at which these events show the transaction to have been committed.
pub fn committed_in_events(txn: &CompareAndSwap, events: &[WatchEvent]) -> Option<u64> {
    let mut groups = events.chunk_by(|a, b| a.version == b.version);
    let group = groups.find(|group| is_commit(txn, group))?;
    Some(group.first()?.version)
}

/// Whether these events, of one revision, are the changes of the transaction.
fn is_commit(txn: &CompareAndSwap, group: &[WatchEvent]) -> bool {
    let shown = |change: &Change| group.iter().any(|event| same_change(change, event));
    let expected = txn.changes.iter().filter(|c| leaves_event(txn, c));
    let all_shown = expected.clone().all(shown);
    let nothing_else = group
        .iter()
        .all(|e| txn.changes.iter().any(|c| same_change(c, e)));
    expected.count() > 0 && all_shown && nothing_else
}

/// The deletion of a key that is not there changes nothing, and the watch shows nothing of it.
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

/// The revision at which a list, ordered by key, shows the transaction to have been committed.
pub fn committed_in_list(txn: &CompareAndSwap, items: &[Item]) -> Option<u64> {
    let find = |key: &str| {
        let at = items.binary_search_by(|item| item.key.as_str().cmp(key));
        at.ok().map(|n| &items[n])
    };
    let mut revision = None;
    for change in &txn.changes {
        let item = find(change.key());
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
    // A key that had this value before, and still has the version that the transaction depends on.
    let unchanged = |c: &Condition| Some(c.version) == revision;
    revision.filter(|_| !txn.conditions.iter().any(unchanged))
}

/// Whether two values are equal; numbers are compared by amount, as the service may write them differently.
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
mod tests;
