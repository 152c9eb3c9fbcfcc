//! Jobs that are stored in parts, when a list or another controller's copy is merged into the copy.

use super::*;
use crate::core::store::garbage::Deletion;
use crate::core::store::keys::{done_key, job_key, part_key};
use crate::job::sample;
use crate::wire::Item;
use serde_json::{Value, json};

const ID: &str = "wk-1";
const GENERATION: u64 = 7;
const PART_COUNT: u32 = 2;

fn item(key: String, value: Value, version: u64) -> Item {
    Item {
        key,
        value,
        version,
        lease: None,
    }
}

fn header(version: u64) -> Item {
    let value = json!({"parts": PART_COUNT, "stem": GENERATION, "submitted_ms": 1});
    item(job_key(ID), value, version)
}

/// Returns the parts of the job, as they were written at this version.
fn parts(version: u64) -> Vec<Item> {
    let text = serde_json::to_string(&sample(ID, 4, 1.0, 1)).unwrap();
    let (first, second) = text.split_at(text.len() / 2);
    let part = |(number, text): (u32, &str)| {
        let key = part_key(ID, GENERATION, number);
        item(key, json!({"text": text}), version)
    };
    (0..PART_COUNT).zip([first, second]).map(part).collect()
}

fn events(items: Vec<Item>) -> Vec<WatchEvent> {
    let event = |item: Item| WatchEvent {
        put: Some(item.key),
        value: item.value,
        version: item.version,
        delete: None,
        lease: None,
    };
    items.into_iter().map(event).collect()
}

/// Returns a copy that has read the job from its parts, as of revision 7: the parts were written at 5, the key at 7.
fn copy_with_job() -> StoreCache {
    let mut copy = StoreCache::default();
    copy.reset(StoreList::default(), 4);
    copy.apply(events(parts(5)), 5);
    copy.apply(events(vec![header(7)]), 7);
    assert!(copy.jobs.contains_key(ID));
    copy
}

fn assert_parts_are_kept(copy: &StoreCache) {
    assert!(copy.jobs.contains_key(ID));
    assert_eq!(copy.parts.unclaimed().count(), 0);
    for number in 0..PART_COUNT {
        let key = part_key(ID, GENERATION, number);
        assert_eq!(copy.deletion_of(&key), Deletion::Unnecessary);
    }
}

/// Guards against the deletion of an accepted job's parts: a list from before the key was written has only the parts, and
/// they seemed to belong to no job until the watch showed the key again.
#[test]
fn an_older_list_does_not_hide_whose_the_parts_are() {
    let mut replaced = copy_with_job();
    replaced.reset(StoreList::from_iter(parts(5)), 6);
    assert_parts_are_kept(&replaced);
    let mut merged = copy_with_job();
    merged.merge_list(StoreList::from_iter(parts(5)), 6);
    assert_parts_are_kept(&merged);
}

/// Guards against the deletion of an accepted job's parts by a leader whose store has lost the job's key.
#[test]
fn a_loss_of_the_key_does_not_hide_whose_the_parts_are() {
    let mut copy = copy_with_job();
    copy.merge_after_loss(StoreList::from_iter(parts(5)), 9);
    assert_parts_are_kept(&copy);
    assert!(copy.missing_from_store.contains(ID));
}

/// Guards against the deletion of an accepted job's parts: the event with the job's key was ignored if the copy had the
/// job from another controller.
#[test]
fn the_key_of_a_known_job_shows_whose_the_parts_are() {
    let mut copy = StoreCache::default();
    copy.reset(StoreList::default(), 4);
    let live = JobValue::live(Box::new(sample(ID, 4, 1.0, 1)), 1);
    copy.merge_items(vec![(job_key(ID), serde_json::to_value(live).unwrap())]);
    copy.apply(events(parts(5)), 5);
    copy.apply(events(vec![header(7)]), 7);
    assert_parts_are_kept(&copy);
}

/// Guards against tasks that run a second time: the done tasks in a list that has the job's key without its parts.
#[test]
fn a_job_without_parts_keeps_the_done_tasks_of_the_list() {
    let mut copy = copy_with_job();
    let done = item(done_key(ID, 0), json!({"rows": "0-2"}), 8);
    copy.reset(StoreList::from_iter([done, header(7)]), 9);
    assert!(copy.missing_from_store.contains(ID));
    assert_eq!(copy.jobs[ID].done.len(), 3);
}

/// Guards against the loss of a job whose parts are gone: while other data was missing too, a list did not show it.
#[test]
fn a_job_without_parts_in_a_merged_list_is_missing_from_the_store() {
    let mut copy = copy_with_job();
    copy.merge_list(StoreList::from_iter([header(7)]), 9);
    assert!(copy.missing_from_store.contains(ID));
}

/// Guards against memory that is held for as long as a job's parts are incomplete: the texts of parts are not needed if the
/// copy has the job.
#[test]
fn texts_of_parts_of_a_known_job_are_dropped() {
    let first_part = || parts(8).into_iter().take(1);
    let mut merged = StoreCache::default();
    merged.reset(StoreList::from_iter([header(7)]), 7);
    let live = JobValue::live(Box::new(sample(ID, 4, 1.0, 1)), 1);
    merged.merge_items(vec![(job_key(ID), serde_json::to_value(live).unwrap())]);
    merged.apply(events(first_part().collect()), 8);
    assert_eq!(merged.parts.text_bytes(), 0);
    let mut replaced = copy_with_job();
    let list = [header(7)].into_iter().chain(first_part());
    replaced.reset(StoreList::from_iter(list), 9);
    assert_eq!(replaced.parts.text_bytes(), 0);
}

/// Guards against refused writes: a version that this process wrote before a list counted as newer than the one in the list.
#[test]
fn a_list_replaces_the_versions_of_earlier_writes() {
    let mut copy = copy_with_job();
    let key = job_key("wk-2");
    copy.record_write(&[Change::put(key.clone(), Value::Null)], 8);
    assert_eq!(copy.versions.of(&key), 8);
    let rewritten = item(key.clone(), json!({"of a later version": 1}), 9);
    copy.reset(StoreList::from_iter([header(7), rewritten]), 9);
    assert_eq!(copy.versions.of(&key), 9);
}
