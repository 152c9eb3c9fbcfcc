//! A state service that loses data. The simulation checks at every tick that no task runs twice, and at every response
//! that no accepted job is forgotten and no earlier response is contradicted.

use crate::core::command::{PendingCall, ReadPurpose};
use crate::core::jobs::creation::{Creation, PartsCreation, Submission};
use crate::core::simulation::{Link, Simulation, fails_without};
use crate::core::store::large_jobs::PartWrite;
use crate::core::{Core, Effect, Ticket};
use crate::fault_injection::Safeguard;
use crate::job::{JobSpec, sample};
use crate::policy::Policy;
use crate::store_client::StoreOutcome;
use crate::wire::{Item, JobState, WatchEvent};
use serde_json::json;
use std::time::Duration;

/// Returns a cluster of three controllers, which serve workers for one another, and six machines; and its leader.
fn six_machines(seed: u64) -> (Simulation, usize) {
    six_machines_with(seed, "delegate = true")
}

/// Returns a cluster of three controllers with this policy and six machines; and its leader.
fn six_machines_with(seed: u64, policy: &str) -> (Simulation, usize) {
    crate::core::simulation::enable_log();
    let mut simulation = Simulation::with_policy(seed, Policy::parse("losses", policy).unwrap());
    simulation.add_machines("small", 6);
    let leader = simulation.run_until_leader(3.0);
    (simulation, leader)
}

/// Returns a job that runs longer than any rebuild of the store takes.
fn long_job(id: &str) -> JobSpec {
    sample(id, 4, 2.0, 60)
}

/// Restarts all controllers on an empty store. They learn from the workers' fencing tokens that the store has lost
/// data. Returns the controller that leads then.
fn restart_all_on_empty_store(simulation: &mut Simulation) -> usize {
    for n in 0..3 {
        simulation.kill(n, Duration::from_secs(1));
    }
    simulation.lose_store();
    simulation.run_until(15.0, "a leader again", |simulation| {
        simulation.leader().is_some()
            && !simulation.stored_values("burlusher/rebuilding").is_empty()
    });
    simulation.run(8.0);
    simulation.leader().unwrap()
}

/// Waits until the store has every job again, and checks that no task was started a second time.
fn assert_rebuilt(simulation: &mut Simulation, starts: u32) {
    simulation.run_until(60.0, "the store is complete", Simulation::is_store_complete);
    assert_eq!(
        simulation.counters.starts, starts,
        "tasks were started again"
    );
}

#[test]
fn wiped_store_rebuilt_from_controllers() {
    let (mut simulation, leader) = six_machines(900);
    assert_eq!(simulation.submit(leader, &long_job("wk-1")), 201);
    assert_eq!(simulation.submit(0, &sample("wk-2", 2, 2.0, 1)), 201);
    assert_eq!(simulation.submit(1, &long_job("wk-3")), 201);
    simulation.run_until_done("wk-2", 20.0);
    assert_eq!(simulation.cancel(1, "wk-3").1, Some(JobState::Cancelled));
    simulation.run(3.0);
    let (starts, before) = (
        simulation.counters.starts,
        simulation.stored_values("burlusher/i/"),
    );
    simulation.lose_store();
    let lost = simulation.now;
    simulation.run_until(12.0, "a leader again", |simulation| {
        simulation.leader().is_some() && !simulation.stored_values("burlusher/i/").is_empty()
    });
    assert!(
        simulation.now > lost + crate::core::LEASE_TTL,
        "a controller leads before the leases of the lost store have expired"
    );
    assert_ne!(
        simulation.stored_values("burlusher/i/"),
        before,
        "the store still has the identity of the lost one"
    );
    assert_rebuilt(&mut simulation, starts);
    for node in 0..3 {
        assert_eq!(simulation.show(node, "wk-2"), (200, Some(JobState::Done)));
        assert_eq!(
            simulation.show(node, "wk-3"),
            (200, Some(JobState::Cancelled))
        );
        assert_eq!(simulation.show(node, "wk-1").1, Some(JobState::Running));
        assert_eq!(simulation.show(node, "wk-999").0, 404);
    }
    assert_eq!(simulation.stored_values("burlusher/j/").len(), 3);
    simulation.run_until_done("wk-1", 90.0);
    assert_eq!(simulation.counters.starts, starts);
}

/// In an empty store terms would begin at 1 again, and every worker would drop the commands of such a term as those of
/// a former leader.
#[test]
fn terms_and_scale_out_names_never_reused() {
    let (mut simulation, leader) = six_machines(901);
    simulation.kill(leader, Duration::from_secs(1));
    simulation.run(10.0);
    let newest = simulation
        .workers
        .values()
        .map(|m| m.fencing_token)
        .max()
        .unwrap()
        >> 20;
    simulation.lose_store();
    simulation.run_until(20.0, "a leader again", |simulation| {
        simulation.leader().is_some() && !simulation.stored_values("burlusher/term").is_empty()
    });
    let term = simulation
        .stored_values("burlusher/term")
        .values()
        .next()
        .unwrap()["era"]
        .as_u64();
    assert!(term > Some(newest), "{term:?} after {newest}");
    // A job that is submitted then runs.
    simulation.run(3.0);
    assert_eq!(simulation.submit(0, &sample("wk-1", 4, 2.0, 2)), 201);
    simulation.run_until_done("wk-1", 60.0);
}

#[test]
fn rolled_back_store_regains_later_jobs() {
    let (mut simulation, leader) = six_machines(902);
    simulation.submit(leader, &long_job("wk-1"));
    simulation.run(3.0);
    let backup = simulation.backup();
    assert_eq!(simulation.submit(0, &long_job("wk-2")), 201);
    assert_eq!(simulation.submit(0, &sample("wk-3", 2, 2.0, 1)), 201);
    simulation.run_until_done("wk-3", 20.0);
    assert_eq!(
        simulation.cancel(leader, "wk-1").1,
        Some(JobState::Cancelled)
    );
    simulation.run(3.0);
    let starts = simulation.counters.starts;
    simulation.restore_backup(&backup);
    simulation.run(1.0);
    assert_rebuilt(&mut simulation, starts);
    assert_eq!(simulation.show(0, "wk-1"), (200, Some(JobState::Cancelled)));
    assert_eq!(simulation.show(1, "wk-3"), (200, Some(JobState::Done)));
    assert_eq!(simulation.show(2, "wk-2").1, Some(JobState::Running));
    simulation.run_until_done("wk-2", 90.0);
}

/// A delayed write of the lost store's leader would put back pages of machine records that do not list all machines.
/// The version of the leader key does not prevent this: the new leader's key may well have the same version.
#[test]
fn delayed_write_not_applied_to_new_store() {
    let (mut simulation, leader) = six_machines(903);
    simulation.submit(leader, &long_job("wk-1"));
    simulation.run(3.0);
    simulation.nodes[leader].store_link = Link::WritesHeld;
    let other = (leader + 1) % 3;
    simulation.cancel_without_waiting(leader, "wk-1");
    simulation.run(1.0);
    simulation.lose_store();
    simulation.nodes[leader].store_link = Link::Good;
    simulation.run(6.0);
    simulation.run_until(60.0, "the store is complete", Simulation::is_store_complete);
    // The held write ends the job, but no user has received a response that says so.
    let held = simulation.network.held_transactions.len();
    assert!(held > 0);
    let before = simulation.stored_values("burlusher/j/");
    simulation.release_held();
    assert_eq!(simulation.stored_values("burlusher/j/"), before);
    assert_eq!(simulation.show(other, "wk-1").1, Some(JobState::Running));
}

/// The leader that accepted the jobs is killed as the store loses its data, and restarts without its cached copy. A
/// follower that has the jobs in its cached copy takes over.
#[test]
fn followers_rebuild_after_loss_with_leader() {
    let (mut simulation, leader) = six_machines(904);
    simulation.submit(leader, &long_job("wk-1"));
    simulation.submit(leader, &sample("wk-2", 2, 2.0, 1));
    simulation.run_until_done("wk-2", 20.0);
    simulation.run(2.0);
    let starts = simulation.counters.starts;
    simulation.lose_store();
    simulation.kill(leader, Duration::from_secs(15));
    simulation.run_until(10.0, "a leader again", |simulation| {
        simulation.leader().is_some()
    });
    simulation.run(3.0);
    // The killed controller may have more jobs cached: for now, queries for unknown jobs get 503, and no new job is
    // accepted.
    let other = simulation.leader().unwrap();
    assert_eq!(simulation.show(other, "wk-999").0, 503);
    assert_eq!(simulation.submit(other, &sample("wk-4", 1, 2.0, 1)), 503);
    assert_eq!(simulation.show(other, "wk-2"), (200, Some(JobState::Done)));
    assert_rebuilt(&mut simulation, starts);
    assert_eq!(simulation.show(other, "wk-999").0, 404);
    assert_eq!(simulation.submit(other, &sample("wk-4", 1, 2.0, 1)), 201);
    simulation.run_until_done("wk-1", 90.0);
}

/// While one controller stays away, queries for unknown jobs get 503. Queries for known jobs are answered, and new jobs
/// are accepted, once the workers' leases have expired.
#[test]
fn absent_controller_does_not_block_service() {
    let (mut simulation, leader) = six_machines(905);
    simulation.submit(leader, &long_job("wk-1"));
    simulation.run(2.0);
    simulation.lose_store();
    simulation.kill(leader, Duration::from_secs(500));
    simulation.run_until(10.0, "a leader again", |simulation| {
        simulation.leader().is_some()
    });
    simulation.run(13.0);
    let other = simulation.leader().unwrap();
    assert_eq!(simulation.show(other, "wk-1").1, Some(JobState::Running));
    assert_eq!(simulation.submit(other, &sample("wk-2", 1, 2.0, 1)), 201);
    simulation.run_until(20.0, "wk-2 runs", |simulation| {
        simulation.counters.starts >= 5
    });
    assert_eq!(simulation.show(other, "wk-999").0, 503);
    // An operator who knows that the controller will not come back settles the rebuild.
    assert_eq!(
        simulation.settle_rebuild((other + 1) % 3),
        409,
        "a controller that does not lead settled the rebuild"
    );
    assert_eq!(simulation.settle_rebuild(other), 200);
    simulation.run_until(20.0, "the store is complete", Simulation::is_store_complete);
    assert_eq!(simulation.show(other, "wk-999").0, 404);
}

/// All controllers restart on an empty store, and only the workers have seen a term. The old jobs must not be reported
/// as unknown, and no task on the machines may be stopped or started again.
#[test]
fn tasks_of_unknown_jobs_held_and_adopted() {
    let (mut simulation, leader) = six_machines(906);
    simulation.submit(leader, &long_job("wk-1"));
    simulation.submit(leader, &sample("wk-2", 2, 2.0, 3));
    simulation.run(2.5);
    let starts = simulation.counters.starts;
    assert_eq!(starts, 6);
    let backup = simulation.backup();
    let identities = simulation.stored_values("burlusher/i/");
    let store_id = identities
        .keys()
        .next()
        .unwrap()
        .rsplit('/')
        .next()
        .unwrap()
        .to_string();
    let leader = restart_all_on_empty_store(&mut simulation);
    assert_eq!(simulation.show(leader, "wk-1").0, 503);
    assert_eq!(simulation.show((leader + 1) % 3, "wk-2").0, 503);
    let view = simulation.status(leader);
    assert_eq!(view["rebuild"]["held_tasks"], 4, "{view}");
    assert_eq!(view["rebuild"]["held_results"], 2, "{view}");
    // The next leader learns the same from the workers, because results are not cleared.
    simulation.kill(leader, Duration::from_secs(1));
    simulation.run_until(10.0, "the next leader", |simulation| {
        simulation.leader().is_some()
    });
    simulation.run(3.0);
    let leader = simulation.leader().unwrap();
    let view = simulation.status(leader);
    assert_eq!(view["rebuild"]["held_results"], 2, "{view}");
    // Other jobs are accepted once no unreported task can be left, and do not affect the held tasks.
    simulation.run(12.0);
    assert_eq!(simulation.submit(leader, &sample("wk-3", 2, 2.0, 2)), 201);
    simulation.run(6.0);
    assert_eq!(simulation.counters.starts, starts + 2);
    // The user of wk-1 submits it again, and wk-2 is restored from a snapshot.
    assert_eq!(simulation.submit(leader, &long_job("wk-1")), 201);
    simulation.run(2.0);
    assert_eq!(simulation.show(leader, "wk-1").1, Some(JobState::Running));
    assert_eq!(simulation.offer_snapshot(leader, &store_id, &backup), 200);
    simulation.run(3.0);
    assert_eq!(simulation.show(leader, "wk-2"), (200, Some(JobState::Done)));
    simulation.run_until(30.0, "the store is complete", Simulation::is_store_complete);
    simulation.run_until_done("wk-1", 90.0);
    assert_eq!(
        simulation.counters.starts,
        starts + 2,
        "tasks of wk-1 or wk-2 were started again"
    );
    assert_eq!(simulation.show(leader, "wk-999").0, 404);
}

/// When an operator settles the rebuild, the tasks of unknown jobs are stopped, and the jobs can be submitted again.
#[test]
fn operator_gives_up_unknown_tasks() {
    let (mut simulation, leader) = six_machines(907);
    simulation.submit(leader, &long_job("wk-1"));
    simulation.run(2.5);
    let leader = restart_all_on_empty_store(&mut simulation);
    assert_eq!(simulation.placements("wk-1").len(), 4);
    assert_eq!(simulation.settle_rebuild(leader), 200);
    simulation.run_until(20.0, "the tasks are stopped", |simulation| {
        simulation.placements("wk-1").is_empty()
    });
    simulation.run_until(30.0, "the store is complete", Simulation::is_store_complete);
}

/// A machine is recorded just before the loss, by a leader that is killed, so no remaining controller knows of the
/// machine. It runs tasks of a job that all controllers have cached, and does not respond for a while. If the cloud is
/// down, its tasks may start again only when the workers' lease has expired; otherwise the cloud lists the machine, and
/// the leader queries it.
#[test]
fn nothing_starts_while_unrecorded_machine_may_run_it() {
    for (cloud_up, restart_s) in [(false, 300), (true, 1)] {
        unrecorded_machine_holds_tasks(cloud_up, restart_s);
    }
}

fn unrecorded_machine_holds_tasks(cloud_up: bool, restart_s: u64) {
    let (mut simulation, leader) = six_machines_with(908, "delegate = false");
    let removed: Vec<_> = simulation.workers.keys().skip(1).cloned().collect();
    removed
        .iter()
        .for_each(|id| drop(simulation.workers.remove(id)));
    simulation.capacity.clear();
    simulation.run(8.0);
    simulation.submit(leader, &sample("wk-1", 6, 1.0, 60));
    simulation.run_until(5.0, "four tasks run", |simulation| {
        simulation.counters.starts == 4
    });
    simulation.run(1.0);
    for n in (0..3).filter(|n| *n != leader) {
        simulation.nodes[n].watch_delayed = true;
    }
    let id = simulation.add_machine("small", "a");
    simulation.run_until(
        5.0,
        "the other two tasks run on the new machine",
        |simulation| simulation.workers[&id].tasks.len() == 2,
    );
    simulation.faults.cloud_down = !cloud_up;
    simulation.lose_store();
    simulation.kill(leader, Duration::from_secs(restart_s));
    for n in 0..3 {
        simulation.nodes[n].watch_delayed = false;
    }
    simulation.workers.get_mut(&id).unwrap().hung = true;
    // Another machine has capacity for the two tasks.
    simulation.add_machine("small", "b");
    simulation.run_until(12.0, "a leader again", |simulation| {
        simulation.leader().is_some()
    });
    simulation.run(5.0);
    simulation.faults.cloud_down = false;
    // The machine may have been deleted meanwhile, because it did not respond.
    if let Some(m) = simulation.workers.get_mut(&id) {
        m.hung = false;
    }
    simulation.run(70.0);
    let new_leader = simulation.leader().unwrap();
    assert_eq!(simulation.show(new_leader, "wk-1").1, Some(JobState::Done));
}

/// The store loses its data again during the rebuild, and is rolled back during the next one.
#[test]
fn two_losses_in_a_row_rebuilt() {
    let (mut simulation, leader) = six_machines(909);
    simulation.submit(leader, &long_job("wk-1"));
    simulation.submit(leader, &sample("wk-2", 2, 2.0, 1));
    simulation.run_until_done("wk-2", 20.0);
    simulation.run(2.0);
    let starts = simulation.counters.starts;
    simulation.lose_store();
    simulation.run(4.0);
    let backup = simulation.backup();
    simulation.lose_store();
    simulation.run(4.5);
    simulation.restore_backup(&backup);
    simulation.run(1.0);
    assert_rebuilt(&mut simulation, starts);
    assert_eq!(simulation.show(0, "wk-2"), (200, Some(JobState::Done)));
    simulation.run_until_done("wk-1", 90.0);
}

/// The second loss comes while the controllers are still detecting the first or have just begun to rebuild the store.
#[test]
fn second_loss_soon_after_first_rebuilt() {
    for pause in [0.1, 0.55, 0.9, 2.0, 3.3] {
        let (mut simulation, leader) = six_machines(913);
        simulation.submit(leader, &long_job("wk-1"));
        simulation.run(2.0);
        let starts = simulation.counters.starts;
        simulation.lose_store();
        simulation.run(pause);
        simulation.lose_store();
        simulation.run(6.0);
        assert_rebuilt(&mut simulation, starts);
        simulation.run_until_done("wk-1", 90.0);
    }
}

/// After the loss, the state service issues the ID of the leader's lease to another process, which renews the lease.
/// The leader took these renewals for its own, and continued to act at the same time as the next leader.
#[test]
fn reissued_lease_id_keeps_no_leader() {
    let (mut simulation, leader) = six_machines(912);
    simulation.submit(leader, &long_job("wk-1"));
    simulation.run(2.0);
    let starts = simulation.counters.starts;
    // Nothing else shows the loss to the leader: its watch lags, and its writes are held.
    simulation.nodes[leader].watch_delayed = true;
    simulation.nodes[leader].store_link = Link::WritesHeld;
    simulation.lose_store();
    simulation.reissue_lease_id(leader);
    simulation.run_until_other_leader(leader, 12.0);
    simulation.run(3.0);
    simulation.nodes[leader].watch_delayed = false;
    simulation.nodes[leader].store_link = Link::Good;
    assert_rebuilt(&mut simulation, starts);
    simulation.run_until_done("wk-1", 90.0);
}

/// The leader is cut off from the state service at the loss and acts until its leadership proof expires. The other
/// controllers notice the loss much sooner, and must not lead before that.
#[test]
fn next_leader_waits_for_isolated_leader_lease() {
    let (mut simulation, leader) = six_machines(914);
    simulation.submit(leader, &long_job("wk-1"));
    simulation.run(2.0);
    let starts = simulation.counters.starts;
    simulation.lose_store();
    simulation.nodes[leader].store_link = Link::Refused;
    // The simulation fails if two leaders act at the same time.
    simulation.run_until_other_leader(leader, 12.0);
    simulation.nodes[leader].store_link = Link::Good;
    assert_rebuilt(&mut simulation, starts);
}

/// A restored leader key was attached to a lease whose ID the state service had issued to another process in the
/// meantime. Since that process renewed the lease, the key stayed, and no controller could lead.
#[test]
fn leader_key_on_foreign_lease_removed() {
    let (mut simulation, leader) = six_machines(915);
    let backup = simulation.backup();
    simulation.kill(leader, Duration::from_millis(300));
    simulation.run(0.6);
    simulation.lose_store();
    // All controllers acquire new leases, whose IDs begin at the first one again.
    simulation.run(1.0);
    simulation.restore_backup(&backup);
    simulation.run_until(20.0, "a leader again", |simulation| {
        simulation.leader().is_some()
    });
    simulation.run_until(60.0, "the store is complete", Simulation::is_store_complete);
}

/// Two controllers restart on the empty store, reach no controller that has the old data cached, and take the store for
/// new. The controller that has it cached sees that another one leads, and marks the store as being rebuilt.
#[test]
fn store_taken_for_new_marked_by_survivor() {
    let (mut simulation, leader) = six_machines(917);
    simulation.workers.clear();
    simulation.capacity.clear();
    simulation.submit(leader, &long_job("wk-1"));
    simulation.run(2.0);
    let third = (leader + 1) % 3;
    for n in (0..3).filter(|n| *n != third) {
        simulation.kill(n, Duration::from_secs(1));
    }
    simulation.nodes[third].watch_delayed = true;
    simulation.nodes[third].peers_reachable = false;
    simulation.lose_store();
    simulation.run_until_other_leader(third, 15.0);
    simulation.nodes[third].watch_delayed = false;
    simulation.nodes[third].peers_reachable = true;
    simulation.run(6.0);
    simulation.run_until(60.0, "the store is complete", Simulation::is_store_complete);
    assert_eq!(simulation.stored_values("burlusher/j/").len(), 1);
    assert_eq!(simulation.show(leader, "wk-1").0, 200);
}

/// None of these events is a loss of data: an outage, a watch that lags so far that it needs a full read, and restarts
/// of the controllers one after the other.
#[test]
fn outage_relisting_and_restarts_are_no_loss() {
    let (mut simulation, leader) = six_machines(910);
    simulation.submit(leader, &long_job("wk-1"));
    simulation.run(3.0);
    let identity = simulation.stored_values("burlusher/i/");
    simulation.pause_leases(true);
    simulation.set_store_links(Link::Refused);
    simulation.run(8.0);
    simulation.set_store_links(Link::Good);
    simulation.pause_leases(false);
    simulation.run(4.0);
    (0..3).for_each(|n| simulation.force_relisting(n));
    simulation.run(4.0);
    for n in 0..3 {
        simulation.kill(n, Duration::from_secs(1));
        simulation.run(6.0);
    }
    assert_eq!(simulation.stored_values("burlusher/i/"), identity);
    assert!(simulation.stored_values("burlusher/rebuilding").is_empty());
    let losses: u64 = (0..3)
        .map(|n| simulation.nodes[n].core.store_integrity.losses)
        .sum();
    assert_eq!(losses, 0);
}

/// Single keys are lost or revert to older values, and no watch event shows it. The leader detects this because it
/// compares some jobs with its cached copy every few seconds.
#[test]
fn audit_finds_lost_and_reverted_jobs() {
    let (mut simulation, leader) = six_machines(916);
    simulation.submit(leader, &long_job("wk-1"));
    simulation.submit(leader, &sample("wk-2", 2, 2.0, 1));
    let live_value = simulation
        .stored_values("burlusher/j/wk-2")
        .into_values()
        .next()
        .unwrap();
    simulation.run_until_done("wk-2", 20.0);
    simulation.run(3.0);
    let starts = simulation.counters.starts;
    simulation.lose_keys("burlusher/j/wk-1");
    simulation.run(12.0);
    assert_rebuilt(&mut simulation, starts);
    assert_eq!(simulation.stored_values("burlusher/j/wk-1").len(), 1);
    // An old value of wk-2 comes back, without a watch event.
    simulation.overwrite_value("burlusher/j/wk-2", live_value);
    simulation.run(12.0);
    assert_rebuilt(&mut simulation, starts);
    assert!(
        simulation
            .stored_values("burlusher/j/wk-2")
            .values()
            .all(|v| v.get("end").is_some())
    );
    assert_eq!(simulation.show(0, "wk-2"), (200, Some(JobState::Done)));
}

/// All keys with one prefix are lost. A full read of the store that is made for another reason shows the loss.
#[test]
fn lost_prefix_noticed_with_next_listing() {
    let (mut simulation, leader) = six_machines(911);
    simulation.submit(leader, &long_job("wk-1"));
    simulation.run(3.0);
    let starts = simulation.counters.starts;
    simulation.lose_keys("burlusher/j/");
    simulation.force_relisting(leader);
    simulation.run(8.0);
    assert_rebuilt(&mut simulation, starts);
    assert_eq!(simulation.stored_values("burlusher/j/").len(), 1);
}

/// The leader key came back with a restored store and its lease did not. The key stayed for ever, and no controller led
/// until an operator deleted it.
#[test]
fn leader_key_without_lease_removed() {
    let (mut simulation, leader) = six_machines(33);
    assert_eq!(simulation.submit(leader, &long_job("wk-1")), 201);
    simulation.run(3.0);
    let starts = simulation.counters.starts;
    simulation.kill(leader, Duration::from_secs(60));
    simulation.drop_leases();
    simulation.run(8.0);
    assert_eq!(simulation.leader(), None);
    simulation.run_until(30.0, "a leader", |simulation| simulation.leader().is_some());
    simulation.run_until_done("wk-1", 120.0);
    assert_eq!(simulation.counters.starts, starts);
}

/// A leader reads the whole store again after a sign of data loss, and accepts a job while the read is in flight, so
/// the response is older than the job. The leader dropped the job while its tasks ran on, and started them again when
/// the watch delivered the job. Completed tasks of other jobs that were not yet stored were never counted.
#[test]
fn stale_listing_restarts_and_forgets_nothing() {
    let (mut simulation, leader) = six_machines(31);
    assert_eq!(
        simulation.submit(leader, &sample("wk-000001", 6, 1.0, 2)),
        201
    );
    simulation.run(1.5);
    simulation.begin_listing(leader);
    assert_eq!(
        simulation.submit(leader, &sample("wk-000002", 6, 1.0, 5)),
        201
    );
    simulation.run(1.0);
    assert_eq!(simulation.placements("wk-000002").len(), 6);
    let (done, starts) = (
        simulation.checker.completed.len(),
        simulation.counters.starts,
    );
    assert!((1..=6).contains(&done), "{done}");
    simulation.finish_listing(leader);
    simulation.run(2.0);
    assert_eq!(
        simulation.counters.starts, starts,
        "tasks were started again"
    );
    simulation.run_until_done("wk-000001", 10.0);
    simulation.run_until_done("wk-000002", 20.0);
    assert_eq!(simulation.counters.starts, starts);
}

/// Guards against full reads that never end: the read of a large store took longer than the time to the next sign of a
/// loss, which started another read in its place.
#[test]
fn recurring_signs_of_loss_do_not_replace_a_read_in_progress() {
    let (mut simulation, leader) = six_machines(32);
    let (items, revision) = (simulation.store.items(), simulation.store.revision);
    let core = &mut simulation.nodes[leader].core;
    core.effects.clear();
    let rereads = |core: &mut Core| {
        let effects = core.effects.drain(..);
        let reread = |effect: &Effect| matches!(effect, Effect::RereadStore);
        effects.filter(reread).count()
    };
    core.suspect_data_loss("a sign");
    assert_eq!(rereads(core), 1);
    for _ in 0..5 {
        core.now.mono += Duration::from_secs(2);
        core.suspect_data_loss("another sign");
        core.check_store_integrity();
        assert_eq!(rereads(core), 0);
    }
    // The signs since the read was started are followed up by one more read.
    core.store_listed(items.into_iter().collect(), revision);
    core.check_store_integrity();
    assert_eq!(rereads(core), 1);
    // A read without a result does not prevent others for ever.
    core.now.mono += Duration::from_secs(61);
    core.suspect_data_loss("a later sign");
    assert_eq!(rereads(core), 1);
}

/// Returns whether a step has requested a full read of the store so far.
fn rereads_store(core: &Core) -> bool {
    let mut effects = core.effects.iter();
    effects.any(|effect| matches!(effect, Effect::RereadStore))
}

/// A page of an audit was read before a job ended, and reached the leader after that. The difference is no sign of a
/// loss: taken for one, it made leaders read the whole store again several times a day.
#[test]
fn audit_difference_confirmed_before_loss_suspected() {
    let (mut simulation, leader) = six_machines(32);
    assert_eq!(simulation.submit(leader, &sample("wk-1", 2, 1.0, 2)), 201);
    let stored = simulation.stored_values("burlusher/j/");
    let page = |revision| StoreOutcome::Page {
        items: (stored.iter())
            .map(|(key, value)| Item {
                key: key.clone(),
                value: value.clone(),
                version: 1,
                lease: None,
            })
            .collect(),
        more: false,
        revision,
    };
    simulation.run_until_done("wk-1", 10.0);
    let core = &mut simulation.nodes[leader].core;
    core.effects.clear();
    core.jobs_audited(String::new(), None, page(1));
    let suspicion = core.pending.values().find_map(|p| match p {
        PendingCall::AuditJobs { suspicion, .. } => suspicion.clone(),
        _ => None,
    });
    assert!(suspicion.is_some(), "the page is not read again");
    assert!(!rereads_store(core));
    // The same difference in a second read, begun after the first comparison, is a loss.
    core.jobs_audited(String::new(), suspicion, page(1));
    assert!(rereads_store(core));
}

/// A store that lacks a job's change may be ahead of the copy. Guards against a full read whenever a job changes while
/// the newest changes are compared.
#[test]
fn absent_job_change_is_no_sign_until_copy_has_caught_up() {
    let (mut simulation, leader) = six_machines(35);
    assert_eq!(simulation.submit(leader, &long_job("wk-1")), 201);
    simulation.run(1.0);
    let core = &mut simulation.nodes[leader].core;
    core.effects.clear();
    let changes = core.store_cache.recent_job_changes.conditions();
    assert_eq!(changes.len(), 1);
    let conflict = |revision| StoreOutcome::Conflict {
        failed: vec![changes[0].key.clone()],
        revision,
    };
    let revision = core.store_cache.revision + 1;
    core.job_changes_compared(changes.clone(), conflict(revision));
    assert!(!rereads_store(core));
    let end = WatchEvent {
        put: Some(changes[0].key.clone()),
        value: json!({"end": "done"}),
        version: revision,
        delete: None,
        lease: None,
    };
    core.store_cache.apply(vec![end], revision);
    core.check_store_integrity();
    assert!(!rereads_store(core));
    let newest = core.store_cache.recent_job_changes.conditions();
    core.job_changes_compared(newest, conflict(revision));
    assert!(rereads_store(core));
}

/// Returns the statuses of the responses to users that a step has produced so far.
fn response_statuses(core: &Core) -> Vec<u16> {
    let effects = core.effects.iter();
    let statuses = effects.filter_map(|effect| match effect {
        Effect::Response { response, .. } => Some(response.status),
        _ => None,
    });
    statuses.collect()
}

/// Guards against a job that is accepted although its controller knows that the store has lost data: the submission had
/// passed the check before. Neither the response to the write of its key nor its last part may go on.
#[test]
fn submission_under_way_is_not_accepted_after_a_loss() {
    let (mut simulation, leader) = six_machines(37);
    let received = simulation.now;
    let submission = || Submission {
        ticket: Ticket::MAX,
        spec: Box::new(long_job("wk-1")),
        received,
    };
    let core = &mut simulation.nodes[(leader + 1) % 3].core;
    let mark = json!({"of": null, "since_ms": 1, "why": "test"});
    core.store_cache.rebuilding = Some((serde_json::from_value(mark).unwrap(), 1));
    let committed = || StoreOutcome::Committed { revision: 99 };
    core.effects.clear();
    let creation = Creation {
        submission: submission(),
        retries: 0,
        parts: None,
    };
    core.creation_outcome(creation, committed());
    assert_eq!(response_statuses(core), [503]);
    core.effects.clear();
    let parts = PartWrite {
        generation: 7,
        parts: vec!["{}".into()],
        versions: Vec::new(),
    };
    let creation = PartsCreation {
        submission: submission(),
        parts: Box::new(parts),
        in_flight: 1,
    };
    core.parts_outcome(creation, committed());
    assert_eq!(response_statuses(core), [503]);
    let is_call = |effect: &Effect| matches!(effect, Effect::StoreCall { .. });
    assert!(!core.effects.iter().any(is_call));
}

/// While the store is read again after a sign of a loss, a job that was created after a response may be among what it has
/// lost: its state is not reported before the list has come.
#[test]
fn late_answer_during_a_reread_is_not_followed_by_a_state() {
    let (mut simulation, leader) = six_machines(36);
    let revision = simulation.store.revision;
    assert_eq!(simulation.submit(leader, &long_job("wk-1")), 201);
    let core = &mut simulation.nodes[leader].core;
    core.suspect_data_loss("test");
    core.effects.clear();
    let purpose = ReadPurpose::Show(Ticket::MAX);
    core.job_read_outcome("wk-1".into(), purpose, StoreOutcome::Missing { revision });
    assert_eq!(response_statuses(core), [503]);
}

/// Guards against needless full reads: a user asked about a job just before it was submitted, and the slow answer that it
/// did not exist arrived when the job was known. It was taken for a loss of data; once the job had ended, the user
/// even got a 404.
#[test]
fn late_answer_that_job_does_not_exist_is_no_loss() {
    let (mut simulation, leader) = six_machines(34);
    let revision = simulation.store.revision;
    let missing = |core: &mut Core, revision| {
        core.effects.clear();
        let purpose = ReadPurpose::Show(Ticket::MAX);
        core.job_read_outcome("wk-1".into(), purpose, StoreOutcome::Missing { revision });
    };
    assert_eq!(simulation.submit(leader, &sample("wk-1", 1, 1.0, 2)), 201);
    let core = &mut simulation.nodes[leader].core;
    missing(core, revision);
    assert!(!rereads_store(core));
    assert_eq!(
        response_statuses(core),
        [0; 0],
        "the present state is read first"
    );
    simulation.run_until_done("wk-1", 10.0);
    let core = &mut simulation.nodes[leader].core;
    missing(core, revision);
    assert_eq!(response_statuses(core), [200]);
    // A live job that is missing at a later revision is a sign of a loss.
    assert_eq!(simulation.submit(leader, &long_job("wk-2")), 201);
    simulation.run(1.0);
    let revision = simulation.store.revision;
    let core = &mut simulation.nodes[leader].core;
    core.effects.clear();
    let purpose = ReadPurpose::Show(Ticket::MAX);
    core.job_read_outcome("wk-2".into(), purpose, StoreOutcome::Missing { revision });
    assert!(rereads_store(core));
    assert_eq!(response_statuses(core), [503]);
}

/// Found in code review: a controller that had just started on a store which was rolled back a moment before answered
/// 404 and 422 for jobs accepted since the backup, until the other controllers had noticed the rollback.
fn restart_on_rolled_back_store() {
    let (mut simulation, leader) = six_machines(1400);
    simulation.run(8.0);
    let other = (leader + 1) % 3;
    let backup = simulation.backup();
    simulation.run(1.0);
    let spec = sample("wk-000001", 2, 1.0, 30);
    assert_eq!(simulation.submit(leader, &spec), 201);
    simulation.kill(other, Duration::from_millis(300));
    simulation.run(0.2);
    simulation.restore_backup(&backup);
    // The other controllers have not noticed the rollback, and the restarted one cannot reach them.
    for node in (0..3).filter(|n| *n != other) {
        (
            simulation.nodes[node].store_link,
            simulation.nodes[node].peers_reachable,
        ) = (Link::Refused, false);
    }
    simulation.run(0.4);
    let mut repeated = spec.clone();
    repeated.team = "nobody".into();
    for _ in 0..4 {
        let (status, _) = simulation.show(other, "wk-000001");
        assert_eq!(status, 503, "the state of an accepted job is not known");
        let status = simulation.submit(other, &repeated);
        assert_eq!(status, 503, "the job may have been accepted before");
    }
    simulation.heal_controllers();
    simulation.run_until(60.0, "the store is complete", Simulation::is_store_complete);
    simulation.run_until_done("wk-000001", 90.0);
}

#[test]
fn restarted_controller_calls_no_job_unknown() {
    restart_on_rolled_back_store();
    fails_without(
        Safeguard::StartupUncertainty,
        "was forgotten",
        restart_on_rolled_back_store,
    );
}
