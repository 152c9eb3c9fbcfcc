use super::*;
use crate::core::store::cache::StoreCache;
use crate::core::store::commit::tests::item;
use crate::job::Resources;
use serde_json::json;

fn cancelled_with_residual_tasks() -> Value {
    to_json_value(&JobValue::Ended {
        end: JobOutcome::Cancelled,
        residual_tasks: Some(ResidualTasks {
            team: "t".into(),
            resources: Resources::default(),
            tasks: 3,
            cancelled_ms: 77,
        }),
    })
}

#[test]
fn a_list_returns_the_items_that_were_added() {
    let items = vec![
        item("burlusher/i/x", json!({"format": 1}), 1),
        item("burlusher/j/wk-1", json!({"end": "Done"}), 2),
        item("burlusher/j/wk-2", cancelled_with_residual_tasks(), 3),
        item("burlusher/j/wk-3", json!({"spec": "unreadable"}), 4),
        item("burlusher/j/wk-4", json!({"end": "Done", "later": 1}), 5),
        item("burlusher/j/wk-5", json!({"end": "unknown"}), 6),
        item("burlusher/leader", json!({"name": "n0"}), 7),
    ];
    let list = StoreList::from_iter(items.clone());
    for expected in &items {
        let found = list.find(&expected.key).unwrap();
        assert_eq!(found.value, expected.value, "{}", expected.key);
        assert_eq!(found.version, expected.version);
        assert_eq!(list.version_of(&expected.key), Some(expected.version));
    }
    for absent in ["burlusher/a", "burlusher/j/", "burlusher/j/wk-6", "z"] {
        assert!(list.find(absent).is_none(), "{absent}");
    }
    let states = ["wk-1", "wk-2", "wk-3", "wk-4", "wk-5", "wk-6"].map(|id| list.job(id));
    let (ended, live) = (ListedJob::Ended, ListedJob::Live);
    assert_eq!(states, [ended, ended, live, ended, live, ListedJob::Absent]);
    let mut cache = StoreCache::default();
    cache.reset(list, 7);
    assert_eq!(cache.finished["wk-2"], JobOutcome::Cancelled);
    assert_eq!(cache.residual_tasks["wk-2"].tasks, 3);
}

/// Guards against controllers that are ended for memory when they read a store with a long history: as JSON values, the
/// ended jobs of a list took about 1 KB each.
#[test]
fn a_listed_ended_job_takes_little_memory() {
    const MAX_ENTRY_BYTES: usize = 48;
    let entry = |value| ListEntry::from_item(item("burlusher/j/wk-1", value, 2));
    for value in [json!({"end": "Done"}), cancelled_with_residual_tasks()] {
        assert!(matches!(entry(value), ListEntry::EndedJob(_)));
    }
    assert!(size_of::<ListEntry>() <= MAX_ENTRY_BYTES);
}
