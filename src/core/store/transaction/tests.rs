use super::*;
use crate::core::simulation::Simulation;
use crate::core::store::keys::part_key;
use crate::core::store::transaction::batch::MAX_TRANSACTION_BYTES;
use crate::job::MachineId;
use serde_json::json;

/// Returns a batch with room for this many bytes.
fn batch_with_room(bytes: usize) -> Batch {
    let mut batch = Batch::new(10);
    let filler = |length: usize| Change::put(key("filler"), json!("x".repeat(length)));
    let overhead = batch::transaction_bytes(&filler(0));
    assert!(batch.add(vec![filler(MAX_TRANSACTION_BYTES - overhead - bytes)]));
    batch
}

/// Guards against keys that stay in the store for ever: a deletion that did not fit into a transaction was dropped from its
/// queue.
#[test]
fn deletions_that_do_not_fit_stay_queued() {
    let mut simulation = Simulation::new(1520);
    simulation.add_machines("small", 1);
    let node = simulation.run_until_leader(3.0);
    let part = part_key("wk-1", 7, 0);
    simulation.external_put(&part, json!({"text": "{"}));
    simulation.run(0.5);
    let now = simulation.nodes[node].core.now;
    let core = &mut simulation.nodes[node].core;
    let leader = core.leader.as_mut().unwrap();
    let machine = MachineId::from("i-000099");
    leader.writes.records.delete_single_key(machine.clone());
    core.store_cache.garbage_keys.insert(part.clone());
    let mut builder = TransactionBuilder {
        leader,
        store_cache: &mut core.store_cache,
        settings: &core.settings,
        machine_types: &core.machine_types,
        now,
        batch: batch_with_room(20),
    };
    builder.add_stale_machines();
    builder.add_garbage_deletions();
    assert_eq!(builder.batch.changes.len(), 1);
    assert!(builder.store_cache.garbage_keys.contains(&part));
    builder.batch = batch_with_room(1000);
    builder.add_stale_machines();
    builder.add_garbage_deletions();
    let deleted: Vec<&str> = builder.batch.changes[1..].iter().map(Change::key).collect();
    assert_eq!(deleted, [machine_key(&machine), part]);
}
