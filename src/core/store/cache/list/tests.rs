use super::*;
use crate::core::store::cache::StoreCache;
use crate::core::store::commit::tests::item;
use crate::job::Resources;
use serde_json::{Value, json};

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
    let mut paged = StoreList::default();
    add_page(&mut paged, &items);
    for (expected, list) in items
        .iter()
        .flat_map(|item| [(item, &list), (item, &paged)])
    {
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
    assert_eq!(
        cache.ended_jobs.outcome("wk-2"),
        Some(JobOutcome::Cancelled)
    );
    assert_eq!(cache.residual_tasks["wk-2"].tasks, 3);
}

/// Guards against controllers that are ended for memory when they read a store with a long history: as JSON values, the
/// ended jobs of a list took about 1 KB each.
#[test]
fn a_listed_ended_job_takes_little_memory() {
    const MAX_ENTRY_BYTES: usize = 48;
    let entry = |value| ListedEnd::from_item(&item("burlusher/j/wk-1", value, 2));
    for value in [json!({"end": "Done"}), cancelled_with_residual_tasks()] {
        assert!(entry(value).is_some());
    }
    assert!(size_of::<ListedEnd>() <= MAX_ENTRY_BYTES);
}

/// Adds a page of these items as the state service sends it.
fn add_page(list: &mut StoreList, items: &[Item]) {
    let text = serde_json::to_string(items).unwrap();
    list.add_page(&serde_json::from_str::<Vec<RawItem<'_>>>(&text).unwrap());
}

/// Guards against controllers that are ended for memory when they read a store with a long history (review/8): a list
/// held every job that had ever ended.
#[test]
fn a_list_keeps_the_newest_ends_that_fit_into_its_limit() {
    const JOBS: u64 = 5000;
    const KEPT: usize = 100;
    let mut list = StoreList::with_limit(KEPT * (ENTRY_BYTES + "wk-0000".len()));
    // The order of the ids is not that of the ends.
    let version = |n: u64| n * 1237 % JOBS + 1;
    let ended = |n| {
        item(
            &format!("burlusher/j/wk-{n:04}"),
            json!({"end": "Done"}),
            version(n),
        )
    };
    let range = item("burlusher/d/wk-0007/0", json!({"rows": "0"}), 3);
    add_page(&mut list, &[range]);
    let items: Vec<Item> = (0..JOBS).map(ended).collect();
    for page in items.chunks(60) {
        add_page(&mut list, page);
        assert!(list.ended.len() <= KEPT * 5 / 4 + 1);
    }
    let (dropped, dropped_up_to) = list.dropped();
    assert_eq!(list.ended.len() as u64 + dropped, JOBS);
    assert!(dropped_up_to <= JOBS - KEPT as u64);
    for n in 0..JOBS {
        let kept = version(n) > dropped_up_to || n == 7;
        let state = list.job(&format!("wk-{n:04}"));
        assert_eq!(state == ListedJob::Ended, kept, "{n}");
    }
    let newest = list.newest_job_change().unwrap().1;
    assert_eq!(newest, JOBS);
}
