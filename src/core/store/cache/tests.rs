use super::*;
use crate::core::store::keys::{job_key, page_key};
use crate::job::{Resources, sample};
use crate::wire::Item;
use serde::Deserialize;

/// During a rolling upgrade, a controller of an earlier version must not become leader once machines are recorded in a
/// form that it does not know. It would if it could read the term that a newer version has written.
#[test]
fn a_term_of_an_earlier_version_is_readable_but_not_vice_versa() {
    #[derive(Deserialize)]
    struct EarlierTermValue {
        #[allow(dead_code)]
        term: u64,
    }
    let stored = serde_json::to_value(TermValue { term: 7 }).unwrap();
    assert!(serde_json::from_value::<EarlierTermValue>(stored.clone()).is_err());
    let read = |v| serde_json::from_value::<TermValue>(v).unwrap().term;
    assert_eq!(read(stored), 7);
    assert_eq!(read(serde_json::json!({"term": 6})), 6);
}

#[test]
fn a_task_set_round_trips_through_ranges_of_any_size() {
    let mut tasks = TaskSet::default();
    for t in [0, 1, 2, 3, 63, 64, 65, 127, 200, 5000] {
        assert!(tasks.insert(t));
        assert!(!tasks.insert(t));
    }
    assert_eq!(tasks.ranges(0, 128), "0-3,63-65,127");
    for size in [1, 64, 100, 6000] {
        let mut back = TaskSet::default();
        for base in (0..6000).step_by(size) {
            back.add_ranges(base, &tasks.ranges(base, size as u32), 6000);
        }
        assert_eq!(back, tasks);
    }
    let mut malformed = TaskSet::default();
    malformed.add_ranges(0, "x,3-1,,2-9999999999,4000000000,7-8", 8);
    assert!(malformed.contains(7) && malformed.len() == 1);
    let mut alternate = TaskSet::default();
    (0..2048).step_by(2).for_each(|t| {
        alternate.insert(t);
    });
    assert!(alternate.ranges(0, 2048).len() < 6 * 1024);
}

/// The residual tasks of a cancelled job count towards its team's limit, so only the passing of time may drop them:
/// neither the number of cancelled jobs nor a new list of the store does.
#[test]
fn residual_tasks_of_cancelled_jobs_are_kept_until_they_expire() {
    let cancelled = |at_ms: u64| JobValue::Ended {
        end: JobOutcome::Cancelled,
        residual_tasks: Some(ResidualTasks {
            team: "t".into(),
            resources: Resources::default(),
            tasks: 1,
            cancelled_ms: at_ms,
        }),
    };
    let mut store_cache = StoreCache::default();
    store_cache.expire_residual_tasks(10_000);
    for n in 0..8000 {
        store_cache.put_job(&format!("wk-{n:06}"), cancelled(9000 + n), n + 1);
    }
    assert_eq!(
        store_cache.residual_tasks.len(),
        7000,
        "1,000 jobs were cancelled before the expiry time"
    );
    store_cache.reset(StoreList::default(), 9000);
    store_cache.put_job("wk-100000", cancelled(9999), 9001);
    assert_eq!(
        store_cache.residual_tasks.len(),
        7000,
        "a full list of the store keeps residual tasks"
    );
    store_cache.expire_residual_tasks(16_500);
    assert_eq!(store_cache.residual_tasks.len(), 500);
}

fn ended(end: JobOutcome) -> JobValue {
    JobValue::Ended {
        end,
        residual_tasks: None,
    }
}

fn live(id: &str) -> JobValue {
    JobValue::live(Box::new(sample(id, 1, 1.0, 1)), 7)
}

/// Guards against repeated conflicts: a list that was begun before the end of a job was written, and before
/// another one was accepted, was merged as if the store had lost both.
#[test]
fn a_merge_with_an_older_list_keeps_newer_writes() {
    let item = |id: &str, version| Item {
        key: job_key(id),
        value: serde_json::to_value(live(id)).unwrap(),
        version,
        lease: None,
    };
    let mut store_cache = StoreCache::default();
    store_cache.reset(StoreList::from_iter([item("wk-1", 3)]), 4);
    store_cache.put_job("wk-2", live("wk-2"), 0);
    store_cache.missing_from_store.insert("wk-2".into());
    let change = Change::put(job_key("wk-1"), serde_json::Value::Null);
    store_cache.record_write(&[change], 6);
    store_cache.record_job_end(&"wk-1".into(), JobOutcome::Done, None, 6);
    store_cache.put_job_from_response("wk-3", live("wk-3"), 7);
    store_cache.merge_list(StoreList::from_iter([item("wk-1", 3)]), 5);
    let missing: Vec<&str> = store_cache
        .missing_from_store
        .iter()
        .map(|id| &**id)
        .collect();
    assert_eq!(missing, ["wk-2"]);
    assert_eq!(store_cache.versions.of(&job_key("wk-1")), 6);
    assert_eq!(store_cache.jobs["wk-3"].version, 7);
    // A list from after these writes must contain them.
    store_cache.merge_list(StoreList::from_iter([item("wk-1", 3)]), 7);
    assert_eq!(store_cache.missing_from_store.len(), 3);
}

/// Guards against the loss of a job whose stored parts are gone: a copy that had only the job's key ignored the whole
/// job in another controller's copy.
#[test]
fn a_job_without_parts_is_merged_from_another_copy() {
    let header = serde_json::json!({"parts": 2, "stem": 9, "submitted_ms": 7});
    let item = Item {
        key: job_key("wk-1"),
        value: header,
        version: 3,
        lease: None,
    };
    let mut store_cache = StoreCache::default();
    store_cache.reset(StoreList::from_iter([item]), 4);
    assert!(store_cache.is_known_job("wk-1") && store_cache.jobs.is_empty());
    let whole = serde_json::to_value(live("wk-1")).unwrap();
    store_cache.merge_items(vec![(job_key("wk-1"), whole)]);
    assert!(store_cache.jobs.contains_key("wk-1"));
    assert!(store_cache.missing_from_store.contains("wk-1"));
}

/// Guards against a false loss of data: a controller read the end of a job before the watch had delivered it, and a list
/// or an event from before that end seemed to have forgotten it.
#[test]
fn older_list_and_event_do_not_contradict_an_end_that_was_read() {
    let live_event = || WatchEvent {
        put: Some(job_key("wk-1")),
        value: serde_json::to_value(live("wk-1")).unwrap(),
        version: 3,
        delete: None,
        lease: None,
    };
    let mut store_cache = StoreCache::default();
    store_cache.reset(StoreList::default(), 2);
    store_cache.put_job_from_response("wk-1", ended(JobOutcome::Done), 5);
    store_cache.apply(vec![live_event()], 3);
    assert!(store_cache.missing_from_store.is_empty());
    let list = || {
        StoreList::from_iter([live_event()].map(|event| Item {
            key: event.put.unwrap(),
            value: event.value,
            version: event.version,
            lease: None,
        }))
    };
    assert_eq!(store_cache.find_contradiction(&list(), 4), None);
    // A list from after the end must contain it.
    assert!(store_cache.find_contradiction(&list(), 5).is_some());
    // A response from before the end, which arrives after the watch has delivered it.
    store_cache.advance_revision(6);
    store_cache.put_job_from_response("wk-1", live("wk-1"), 3);
    assert!(store_cache.missing_from_store.is_empty());
}

/// Guards against a machine that nobody knows: a rollback that later changes made up for lost the newest page of machines,
/// and a list showed an older one.
#[test]
fn a_list_with_an_older_version_of_a_key_contradicts_the_copy() {
    let page = |version| Item {
        key: page_key(0),
        value: serde_json::json!({"machines": {}}),
        version,
        lease: None,
    };
    let mut store_cache = StoreCache::default();
    store_cache.reset(StoreList::from_iter([page(5)]), 6);
    let contradiction = |copy: &StoreCache, items: Vec<Item>, revision| {
        copy.find_contradiction(&StoreList::from_iter(items), revision)
    };
    assert!(contradiction(&store_cache, vec![page(4)], 7).is_some());
    for items in [vec![page(5)], vec![page(7)], Vec::new()] {
        assert_eq!(contradiction(&store_cache, items, 7), None);
    }
    // A list from before this process's own write may lack it.
    store_cache.record_write(&[Change::put(page_key(0), serde_json::Value::Null)], 8);
    assert_eq!(contradiction(&store_cache, vec![page(5)], 7), None);
    assert!(contradiction(&store_cache, vec![page(5)], 8).is_some());
}

/// Guards against needless full reads, and against a rollback that is not noticed: what is compared begins with the newest
/// change in a list, without what the watch repeats and what was known before.
#[test]
fn recent_job_changes_begin_with_the_newest_one_of_a_list() {
    let item = |id: &str, version| Item {
        key: job_key(id),
        value: serde_json::to_value(live(id)).unwrap(),
        version,
        lease: None,
    };
    let compared = |copy: &StoreCache| -> Vec<(String, u64)> {
        let changes = copy.recent_job_changes.conditions().into_iter();
        changes.map(|change| (change.key, change.version)).collect()
    };
    let mut store_cache = StoreCache::default();
    store_cache.reset(StoreList::from_iter([item("wk-1", 3), item("wk-2", 5)]), 6);
    assert_eq!(compared(&store_cache), [(job_key("wk-2"), 5)]);
    let repeated = item("wk-1", 3);
    let event = WatchEvent {
        put: Some(repeated.key),
        value: repeated.value,
        version: repeated.version,
        delete: None,
        lease: None,
    };
    store_cache.apply(vec![event], 6);
    assert_eq!(compared(&store_cache), [(job_key("wk-2"), 5)]);
    store_cache.merge_after_loss(StoreList::from_iter([item("wk-1", 2)]), 4);
    assert_eq!(compared(&store_cache), [(job_key("wk-1"), 2)]);
}
