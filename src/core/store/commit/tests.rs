use super::{committed_in_events, committed_in_list};
use crate::core::StoreList;
use crate::wire::{Change, CompareAndSwap, Condition, Item, WatchEvent};
use serde_json::{Value, json};

fn put_event(key: &str, value: Value, version: u64) -> WatchEvent {
    WatchEvent {
        put: Some(key.into()),
        delete: None,
        value,
        version,
        lease: None,
    }
}

fn delete_event(key: &str, version: u64) -> WatchEvent {
    WatchEvent {
        put: None,
        delete: Some(key.into()),
        value: Value::Null,
        version,
        lease: None,
    }
}

/// Returns an item that is not attached to a lease.
pub(in crate::core::store) fn item(key: &str, value: Value, version: u64) -> Item {
    Item {
        key: key.into(),
        value,
        version,
        lease: None,
    }
}

/// Returns a transaction that overwrites `a` of version 3, creates `b`, and deletes `c` and `d`, which does not exist.
fn txn() -> CompareAndSwap {
    let conditions = [("leader", 2), ("a", 3), ("b", 0), ("c", 4), ("d", 0)];
    let condition = |(key, version): (&str, u64)| Condition {
        key: key.into(),
        version,
    };
    let delete = |key: &str| Change::Delete { key: key.into() };
    CompareAndSwap {
        conditions: conditions.map(condition).into(),
        changes: vec![
            Change::put("a".into(), json!({"rows": "1-4", "n": 2})),
            Change::put("b".into(), json!([1.5])),
            delete("c"),
            delete("d"),
        ],
    }
}

fn commit_events(version: u64) -> Vec<WatchEvent> {
    vec![
        put_event("a", json!({"n": 2.0, "rows": "1-4"}), version),
        put_event("b", json!([1.5]), version),
        delete_event("c", version),
    ]
}

#[test]
fn a_revision_with_exactly_the_changes_is_the_commit() {
    let mut events = vec![put_event("a", json!(0), 8)];
    events.extend(commit_events(9));
    events.push(delete_event("leader", 10));
    assert_eq!(committed_in_events(&txn(), &events), Some(9));
}

#[test]
fn a_revision_with_other_changes_is_not_the_commit() {
    let committed_after = |edit: &dyn Fn(&mut Vec<WatchEvent>)| {
        let mut events = commit_events(9);
        edit(&mut events);
        committed_in_events(&txn(), &events)
    };
    assert_eq!(committed_after(&|_| {}), Some(9));
    assert_eq!(
        committed_after(&|e| e[0].value = json!({"rows": "1-5", "n": 2})),
        None
    );
    assert_eq!(committed_after(&|e| e[1].value = json!([1.5, 2])), None);
    assert_eq!(committed_after(&|e| drop(e.remove(2))), None);
    assert_eq!(committed_after(&|e| e[0].version = 8), None);
    assert_eq!(
        committed_after(&|e| e.push(put_event("x", json!(1), 9))),
        None
    );
    assert_eq!(committed_after(&|e| e[1] = delete_event("b", 9)), None);
    assert_eq!(committed_after(&|e| e.clear()), None);
}

#[test]
fn a_transaction_without_effect_is_never_found_committed() {
    let mut no_op = txn();
    no_op.changes.drain(..3);
    assert_eq!(committed_in_events(&no_op, &commit_events(9)), None);
    assert_eq!(committed_in_list(&no_op, &StoreList::default()), None);
}

#[test]
fn a_list_shows_a_commit_by_equal_values_of_one_version() {
    let committed_after = |edit: &dyn Fn(&mut Vec<Item>)| {
        let mut items = vec![
            item("a", json!({"rows": "1-4", "n": 2}), 9),
            item("b", json!([1.5]), 9),
            item("leader", json!("n0"), 2),
        ];
        edit(&mut items);
        committed_in_list(&txn(), &StoreList::from_iter(items))
    };
    assert_eq!(committed_after(&|_| {}), Some(9));
    assert_eq!(committed_after(&|i| i[1].version = 10), None);
    assert_eq!(
        committed_after(&|i| i[0].value = json!({"rows": "1-5", "n": 2})),
        None
    );
    assert_eq!(committed_after(&|i| drop(i.remove(1))), None);
    assert_eq!(
        committed_after(&|i| i.insert(2, item("c", json!(1), 4))),
        None
    );
    // Equal values that still have the versions of the conditions were there before the transaction.
    assert_eq!(
        committed_after(&|i| (i[0].version, i[1].version) = (3, 3)),
        None
    );
}
