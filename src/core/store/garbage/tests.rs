use super::*;
use crate::core::store::cache::{JobValue, StoreList};
use crate::core::store::keys::{done_key, part_key};
use crate::job::{JobOutcome, sample};
use crate::wire::{Item, to_json_value};
use serde_json::json;

fn item(key: String, value: serde_json::Value, version: u64) -> Item {
    Item {
        key,
        value,
        version,
        lease: None,
    }
}

fn part(job: &str, generation: PartGeneration) -> Item {
    item(part_key(job, generation, 0), json!({"text": "{"}), 4)
}

/// Returns the copy of a store with these items, which are ordered by key.
fn copy_of(items: Vec<Item>) -> StoreCache {
    let mut store_cache = StoreCache::default();
    store_cache.reset(StoreList::from_iter(items), 10);
    store_cache
}

fn allowed_if_version(job: &str, version: u64) -> Deletion {
    let key = job_key(job);
    Deletion::Allowed(Some(Condition { key, version }))
}

#[test]
fn a_part_without_a_job_is_deleted_only_if_the_job_has_no_key() {
    let copy = copy_of(vec![part("wk-1", 7)]);
    assert_eq!(
        copy.deletion_of(&part_key("wk-1", 7, 0)),
        allowed_if_version("wk-1", 0)
    );
    let absent = part_key("wk-1", 8, 0);
    assert_eq!(copy.deletion_of(&absent), Deletion::Unnecessary);
}

#[test]
fn a_part_of_another_set_is_deleted_only_if_the_key_is_unchanged() {
    let header = json!({"parts": 2, "stem": 8, "submitted_ms": 1});
    let key = item(job_key("wk-1"), header, 6);
    let copy = copy_of(vec![key, part("wk-1", 7), part("wk-1", 8)]);
    assert_eq!(
        copy.deletion_of(&part_key("wk-1", 7, 0)),
        allowed_if_version("wk-1", 6)
    );
    let referred_to = part_key("wk-1", 8, 0);
    assert_eq!(copy.deletion_of(&referred_to), Deletion::Unnecessary);
}

#[test]
fn keys_of_a_live_job_are_not_deleted() {
    let spec = sample("wk-1", 4, 1.0, 1);
    let value = to_json_value(&JobValue::live(Box::new(spec), 1));
    let range = item(done_key("wk-1", 0), json!({"rows": "0"}), 5);
    let copy = copy_of(vec![
        range,
        item(job_key("wk-1"), value, 3),
        part("wk-1", 7),
    ]);
    assert_eq!(
        copy.deletion_of(&done_key("wk-1", 0)),
        Deletion::Unnecessary
    );
    assert_eq!(
        copy.deletion_of(&part_key("wk-1", 7, 0)),
        Deletion::Undecided
    );
}

#[test]
fn keys_of_an_ended_job_are_deleted_once_its_end_is_stored() {
    let range = item(done_key("wk-1", 0), json!({"rows": "0"}), 5);
    let ended = to_json_value(&JobValue::Ended {
        end: JobOutcome::Done,
        residual_tasks: None,
    });
    let key = item(job_key("wk-1"), ended, 6);
    let mut copy = copy_of(vec![range, key, part("wk-1", 7)]);
    for key in [done_key("wk-1", 0), part_key("wk-1", 7, 0)] {
        assert_eq!(copy.deletion_of(&key), Deletion::Allowed(None));
    }
    copy.missing_from_store.insert("wk-1".into());
    for key in [done_key("wk-1", 0), part_key("wk-1", 7, 0)] {
        assert_eq!(copy.deletion_of(&key), Deletion::Undecided);
    }
}
