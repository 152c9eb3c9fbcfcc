use super::{committed_in_events, committed_in_list};
use crate::wire::{Change, CompareAndSwap, Condition, Item, WatchEvent};
use serde_json::{Value, json};

fn put(key: &str, value: Value, version: u64) -> WatchEvent {
    WatchEvent {
        put: Some(key.into()),
        delete: None,
        value,
        version,
        lease: None,
    }
}

fn dropped(key: &str, version: u64) -> WatchEvent {
    WatchEvent {
        put: None,
        delete: Some(key.into()),
        value: Value::Null,
        version,
        lease: None,
    }
}

fn item(key: &str, value: Value, version: u64) -> Item {
    Item {
        key: key.into(),
        value,
        version,
        lease: None,
    }
}

/// Writes `a`, which was of version 3, and `b`, and deletes `c` and `d`, of which `d` is not there.
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

fn its_events(version: u64) -> Vec<WatchEvent> {
    vec![
        put("a", json!({"n": 2.0, "rows": "1-4"}), version),
        put("b", json!([1.5]), version),
        dropped("c", version),
    ]
}

#[test]
fn a_revision_with_exactly_its_changes_is_its_commit() {
    let mut events = vec![put("a", json!(0), 8)];
    events.extend(its_events(9));
    events.push(dropped("leader", 10));
    assert_eq!(committed_in_events(&txn(), &events), Some(9));
}

#[test]
fn a_revision_with_other_changes_is_somebody_elses() {
    let of = |edit: &dyn Fn(&mut Vec<WatchEvent>)| {
        let mut events = its_events(9);
        edit(&mut events);
        committed_in_events(&txn(), &events)
    };
    assert_eq!(of(&|_| {}), Some(9));
    assert_eq!(of(&|e| e[0].value = json!({"rows": "1-5", "n": 2})), None);
    assert_eq!(of(&|e| e[1].value = json!([1.5, 2])), None);
    assert_eq!(of(&|e| drop(e.remove(2))), None);
    assert_eq!(of(&|e| e[0].version = 8), None);
    assert_eq!(of(&|e| e.push(put("x", json!(1), 9))), None);
    assert_eq!(of(&|e| e[1] = dropped("b", 9)), None);
    assert_eq!(of(&|e| e.clear()), None);
}

#[test]
fn a_transaction_that_changes_nothing_leaves_no_trace() {
    let mut nothing = txn();
    nothing.changes.drain(..3);
    assert_eq!(committed_in_events(&nothing, &its_events(9)), None);
    assert_eq!(committed_in_list(&nothing, &[]), None);
}

#[test]
fn a_list_shows_it_by_values_of_one_version() {
    let of = |edit: &dyn Fn(&mut Vec<Item>)| {
        let mut items = vec![
            item("a", json!({"rows": "1-4", "n": 2}), 9),
            item("b", json!([1.5]), 9),
            item("leader", json!("n0"), 2),
        ];
        edit(&mut items);
        committed_in_list(&txn(), &items)
    };
    assert_eq!(of(&|_| {}), Some(9));
    assert_eq!(of(&|i| i[1].version = 10), None);
    assert_eq!(of(&|i| i[0].value = json!({"rows": "1-5", "n": 2})), None);
    assert_eq!(of(&|i| drop(i.remove(1))), None);
    assert_eq!(of(&|i| i.insert(2, item("c", json!(1), 4))), None);
    // As it was before: the same values, of the versions that the transaction depends on.
    assert_eq!(of(&|i| (i[0].version, i[1].version) = (3, 3)), None);
}
