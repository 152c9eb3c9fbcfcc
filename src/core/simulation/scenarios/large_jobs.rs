//! Jobs that are stored in parts, while answers of the state service are late or its data is lost. Parts that no job
//! refers to are deleted after a minute; those of an accepted job stay until it ends.

use super::eight_machines;
use crate::core::Ticket;
use crate::core::command::ReadPurpose;
use crate::core::simulation::Simulation;
use crate::core::store::keys::{job_key, part_key};
use crate::job::{JobSpec, sample};
use crate::store_client::StoreOutcome;
use crate::wire::{Change, CompareAndSwap, JobState};
use serde_json::json;
use std::time::Duration;

/// Characters of an image name that is too long for one value of the store.
const LONG_IMAGE_NAME: usize = 5000;
/// Simulated seconds after which unclaimed parts have been deleted.
const AFTER_PARTS_DELETION: f64 = 70.0;
const PARTS: &str = "burlusher/s/";

/// Returns a job that does not fit into one value.
fn large_job(id: &str, seconds: u64) -> JobSpec {
    let mut spec = sample(id, 2, 1.0, seconds);
    spec.image = "x".repeat(LONG_IMAGE_NAME);
    spec
}

/// Returns the keys of all stored parts.
fn stored_parts(simulation: &Simulation) -> Vec<String> {
    simulation.stored_values(PARTS).into_keys().collect()
}

/// Makes every controller read the whole store again, and checks that all of them still have the running job.
fn assert_kept_after_relisting(simulation: &mut Simulation, id: &str) {
    for node in 0..3 {
        simulation.force_relisting(node);
    }
    simulation.run(1.0);
    for node in 0..3 {
        assert_eq!(simulation.show(node, id), (200, Some(JobState::Running)));
    }
}

/// Guards against the loss of a large job that is accepted while its leader reads the store: the list had its parts and
/// not yet its key, so the parts seemed to belong to no job and were deleted.
#[test]
fn parts_of_job_accepted_during_listing_are_kept() {
    let (mut simulation, leader) = eight_machines(1500);
    let large = large_job("wk-1", 150);
    simulation.register_job(&large);
    simulation.faults.store_delay = Duration::from_millis(500);
    simulation.submit_without_waiting(leader, &large);
    simulation.run_until(2.0, "parts written", |simulation| {
        !simulation.stored_values(PARTS).is_empty()
    });
    simulation.tick();
    simulation.begin_listing(leader);
    assert!(simulation.stored_values("burlusher/j/").is_empty());
    simulation.run(1.5);
    simulation.faults.store_delay = Duration::ZERO;
    assert!(
        simulation.nodes[leader]
            .core
            .store_cache
            .jobs
            .contains_key("wk-1")
    );
    simulation.finish_listing(leader);
    let parts = stored_parts(&simulation);
    simulation.run(AFTER_PARTS_DELETION);
    assert_eq!(simulation.leader(), Some(leader));
    assert_eq!(stored_parts(&simulation), parts);
    assert_kept_after_relisting(&mut simulation, "wk-1");
    simulation.run_until_done("wk-1", 120.0);
    assert_eq!(simulation.counters.starts, 2);
}

/// Guards against the loss of large jobs after a late response about another job, which showed that job as unfinished when
/// its end was known: the leader assumed that the store had lost the end, and a merge forgot the owners of all parts.
#[test]
fn late_answer_about_ended_job_is_no_loss() {
    let (mut simulation, leader) = eight_machines(1501);
    assert_eq!(simulation.submit(leader, &large_job("wk-1", 150)), 201);
    assert_eq!(simulation.submit(leader, &sample("wk-2", 1, 1.0, 2)), 201);
    let mut items = simulation.store.items().into_iter();
    let live_item = items.find(|item| item.key == "burlusher/j/wk-2").unwrap();
    simulation.run_until_done("wk-2", 20.0);
    simulation.run(1.0);
    let core = &mut simulation.nodes[leader].core;
    let purpose = ReadPurpose::Show(Ticket::MAX);
    core.job_read_outcome("wk-2".into(), purpose, StoreOutcome::Found(live_item));
    assert!(core.store_cache.missing_from_store.is_empty());
    let (parts, leaderships) = (stored_parts(&simulation), simulation.leadership_count());
    simulation.run(AFTER_PARTS_DELETION);
    assert_eq!(stored_parts(&simulation), parts);
    assert_eq!(simulation.leadership_count(), leaderships);
    assert_kept_after_relisting(&mut simulation, "wk-1");
    simulation.run_until_done("wk-1", 120.0);
    assert_eq!(simulation.counters.starts, 3);
}

/// Guards against the loss of large jobs when the store has lost other data: a merge with the remaining data forgot
/// which parts belong to the jobs that stay.
#[test]
fn parts_are_kept_after_loss_of_other_data() {
    let (mut simulation, leader) = eight_machines(1502);
    assert_eq!(simulation.submit(leader, &large_job("wk-1", 150)), 201);
    assert_eq!(simulation.submit(leader, &sample("wk-2", 1, 1.0, 150)), 201);
    simulation.run(3.0);
    let parts = stored_parts(&simulation);
    simulation.lose_keys("burlusher/j/wk-2");
    simulation.run_until(20.0, "the loss is noticed", |simulation| {
        !simulation.is_store_complete()
    });
    simulation.run_until(60.0, "the store is complete", Simulation::is_store_complete);
    simulation.run(AFTER_PARTS_DELETION);
    assert_eq!(stored_parts(&simulation), parts);
    assert_kept_after_relisting(&mut simulation, "wk-1");
    simulation.run_until_done("wk-1", 120.0);
    assert_eq!(simulation.counters.starts, 3);
}

/// Guards against the deletion of an accepted job's parts by a leader whose copy lacks the job's key: the store refuses
/// it, as the key exists.
#[test]
fn store_refuses_deletion_of_parts_of_job_unknown_to_leader() {
    let (mut simulation, leader) = eight_machines(1503);
    let part = part_key("wk-1", 7, 0);
    simulation.external_put(&part, json!({"text": "{}"}));
    // The deletion is due a minute later.
    simulation.run(59.5);
    let header = json!({"parts": 1, "stem": 7, "submitted_ms": 7});
    simulation.insert_unseen(&job_key("wk-1"), header);
    simulation.run(2.0);
    assert_eq!(stored_parts(&simulation), [part]);
    assert_eq!(simulation.leader(), Some(leader));
}

/// Checks that the parts of a running job are written again, and that the job goes on.
fn assert_restored(simulation: &mut Simulation, id: &str, parts: usize) {
    simulation.run_until(10.0, "the parts are stored again", |simulation| {
        stored_parts(simulation).len() == parts
    });
    simulation.run(AFTER_PARTS_DELETION);
    assert_eq!(stored_parts(simulation).len(), parts);
    assert_kept_after_relisting(simulation, id);
    simulation.run_until_done(id, 120.0);
    assert_eq!(simulation.counters.starts, 2);
}

/// Guards against the loss of a job whose parts were deleted by a leader of an earlier version: the copies of the
/// controllers still have the job, so the next leader restores it.
#[test]
fn parts_deleted_by_earlier_version_are_restored() {
    let (mut simulation, leader) = eight_machines(1504);
    assert_eq!(simulation.submit(leader, &large_job("wk-1", 150)), 201);
    simulation.run(2.0);
    let parts = stored_parts(&simulation);
    let changes = parts.iter().map(|key| Change::Delete { key: key.clone() });
    simulation.store.txn(&CompareAndSwap {
        conditions: Vec::new(),
        changes: changes.collect(),
    });
    assert_restored(&mut simulation, "wk-1", parts.len());
}

/// Guards against the loss of a job whose key a list holds without its parts: each controller dropped the job, though
/// its copy had it.
#[test]
fn job_without_parts_in_listing_is_restored() {
    let (mut simulation, leader) = eight_machines(1505);
    assert_eq!(simulation.submit(leader, &large_job("wk-1", 150)), 201);
    simulation.run(2.0);
    let parts = stored_parts(&simulation).len();
    simulation.lose_keys(PARTS);
    for node in 0..3 {
        simulation.force_relisting(node);
    }
    assert_restored(&mut simulation, "wk-1", parts);
}

/// Guards against the deletion of parts that a leader writes to restore a job: no key refers to them until all are written,
/// which may take more than a minute. Others without a key are deleted.
#[test]
fn parts_of_job_being_restored_are_kept() {
    let (mut simulation, node) = eight_machines(1506);
    let leader = simulation.nodes[node].core.leader.as_mut().unwrap();
    let generation = leader.term;
    let written = &mut leader.writes.missing_parts_written;
    written.insert("wk-1".into(), 1);
    let restored = part_key("wk-1", generation, 0);
    let text = json!({"text": "{"});
    simulation.external_put(&restored, text.clone());
    simulation.external_put(&part_key("wk-2", generation, 0), text);
    simulation.run(AFTER_PARTS_DELETION);
    assert_eq!(simulation.leader(), Some(node));
    assert_eq!(stored_parts(&simulation), [restored]);
}
