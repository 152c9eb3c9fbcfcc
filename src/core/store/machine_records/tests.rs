use super::*;
use crate::core::store::keys::machine_key;
use crate::wire::{Item, WatchEvent};

fn value(i: usize) -> MachineValue {
    MachineValue {
        addr: format!("10.1.0.{}:9000", i % 250),
        machine_type: "betonniere".into(),
        zone: "saint-brieuc".into(),
        spot: i.is_multiple_of(2),
    }
}

fn apply_event(store_cache: &mut StoreCache, change: Change, version: u64) {
    let (put, delete, value) = match change {
        Change::Put { key, value, .. } => (Some(key), None, value),
        Change::Delete { key } => (None, Some(key), serde_json::Value::Null),
    };
    let event = WatchEvent {
        put,
        delete,
        value,
        version,
        lease: None,
    };
    store_cache.apply(vec![event], version);
}

/// Guards against machines that are lost between two leaders: the next leader must find every machine
/// that was written page by page, whether added alone or with others, and one under the key of an
/// earlier version.
#[test]
fn a_thousand_machines_are_recorded_in_few_pages_and_removed_again() {
    let mut store_cache = StoreCache::default();
    let old = Item {
        key: machine_key("i-old"),
        value: serde_json::to_value(value(0)).unwrap(),
        version: 1,
        lease: None,
    };
    store_cache.reset([old].into_iter().collect(), 1);
    let now = Instant::now();
    let mut records = MachineRecords::new(&store_cache, 8192);
    let ids: Vec<MachineId> = (0..1000).map(|i| format!("i-{i:06}").into()).collect();
    let (mut version, mut writes) = (1, 0);
    for (i, id) in ids.iter().enumerate() {
        records.add(id, value(i));
        if i % 100 == 99 {
            while let Some(write) = records.next_write(now, true, 9) {
                version += 1;
                for change in write.changes {
                    assert!(to_json(&change).len() < 8192);
                    writes += 1;
                    apply_event(&mut store_cache, change, version);
                }
            }
        }
    }
    assert!(writes < 40, "{writes} writes for a thousand machines");
    assert_eq!(store_cache.machines.len(), 1001);

    // The next leader reads the records and removes most machines.
    let mut records = MachineRecords::new(&store_cache, 8192);
    for id in ids.iter().skip(10) {
        records.remove(id, now);
    }
    records.remove(&"i-old".into(), now);
    assert!(records.next_write(now, false, 9).is_none());
    while let Some(write) = records.next_write(now + STALE_PAGE_DELAY, false, 9) {
        version += 1;
        for change in write.changes {
            apply_event(&mut store_cache, change, version);
        }
    }
    let id = records.next_single_key_deletion().unwrap();
    let key = machine_key(&id);
    apply_event(&mut store_cache, Change::Delete { key }, version + 1);
    let remaining: Vec<&MachineId> = store_cache.machines.keys().collect();
    assert_eq!(remaining, ids.iter().take(10).collect::<Vec<_>>());
}
