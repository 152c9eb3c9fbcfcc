//! A state service that loses data. The simulation checks at every tick that nothing runs twice, and
//! at every answer that nothing is forgotten or contradicted.

use crate::core::command::PendingCall;
use crate::core::simulation::{Link, Simulation, fails_without};
use crate::core::{Core, Effect};
use crate::fault_injection::Safeguard;
use crate::job::{JobSpec, sample};
use crate::policy::Policy;
use crate::store_client::StoreOutcome;
use crate::wire::{Item, JobState};
use std::time::Duration;

/// Three controllers, six machines, and what they were given to do.
fn six_machines(seed: u64) -> (Simulation, usize) {
    six_machines_with(seed, "delegate = true")
}

fn six_machines_with(seed: u64, policy: &str) -> (Simulation, usize) {
    crate::core::simulation::enable_log();
    let mut simulation = Simulation::with_policy(seed, Policy::parse("losses", policy).unwrap());
    simulation.add_machines("small", 6);
    let leader = simulation.run_until_leader(3.0);
    (simulation, leader)
}

/// Long enough that they outlast any rebuilding.
fn long_job(id: &str) -> JobSpec {
    sample(id, 4, 2.0, 60)
}

/// All controllers begin anew in an empty store, and find out by the workers' tokens that it was not
/// always so; says who leads then.
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

/// Once whole, the store has every job, and nothing of it was started a second time.
fn assert_rebuilt(simulation: &mut Simulation, starts: u32) {
    simulation.run_until(60.0, "the store is whole", Simulation::is_store_complete);
    assert_eq!(simulation.counters.starts, starts, "needless restarts");
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
        "nobody leads before earlier words have run out"
    );
    assert_ne!(
        simulation.stored_values("burlusher/i/"),
        before,
        "it goes by another name"
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

/// The term begins at 1 again in an empty store, which every worker would drop.
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
    // What is submitted then runs.
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

/// A write of the lost store's leader, held up by the network, would put pages back that no longer
/// list all machines. The new leader's key may well have the same version.
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
    simulation.run_until(60.0, "the store is whole", Simulation::is_store_complete);
    // The held write ends the job: its user received no such answer.
    let held = simulation.network.held_transactions.len();
    assert!(held > 0);
    let before = simulation.stored_values("burlusher/j/");
    simulation.release_held();
    assert_eq!(simulation.stored_values("burlusher/j/"), before);
    assert_eq!(simulation.show(other, "wk-1").1, Some(JobState::Running));
}

/// The follower that remembers them takes over; the leader that had accepted them is gone for good.
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
    // One is missing that may remember more: unknown jobs are put off, and nothing new is taken.
    let other = simulation.leader().unwrap();
    assert_eq!(simulation.show(other, "wk-999").0, 503);
    assert_eq!(simulation.submit(other, &sample("wk-4", 1, 2.0, 1)), 503);
    assert_eq!(simulation.show(other, "wk-2"), (200, Some(JobState::Done)));
    assert_rebuilt(&mut simulation, starts);
    assert_eq!(simulation.show(other, "wk-999").0, 404);
    assert_eq!(simulation.submit(other, &sample("wk-4", 1, 2.0, 1)), 201);
    simulation.run_until_done("wk-1", 90.0);
}

/// With one controller that stays away, questions of what is unknown are put off for as long; but
/// what is known is answered, and new work is taken, once the workers' leases have run out.
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
    simulation.run_until(20.0, "it runs", |simulation| {
        simulation.counters.starts >= 5
    });
    assert_eq!(simulation.show(other, "wk-999").0, 503);
    // An operator who knows that it will not come back says so.
    assert_eq!(
        simulation.settle_rebuild((other + 1) % 3),
        409,
        "only the leader can"
    );
    assert_eq!(simulation.settle_rebuild(other), 200);
    simulation.run_until(20.0, "the store is whole", Simulation::is_store_complete);
    assert_eq!(simulation.show(other, "wk-999").0, 404);
}

/// All controllers begin anew in an empty store, and only the workers have seen a term: nothing of the
/// old jobs may be called unknown, and nothing on the machines is stopped or started again.
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
    // The next leader learns the same from the workers: results are not cleared.
    simulation.kill(leader, Duration::from_secs(1));
    simulation.run_until(10.0, "the next leader", |simulation| {
        simulation.leader().is_some()
    });
    simulation.run(3.0);
    let leader = simulation.leader().unwrap();
    let view = simulation.status(leader);
    assert_eq!(view["rebuild"]["held_results"], 2, "{view}");
    // Other work is taken once nothing unknown can be left, and does not disturb them.
    simulation.run(12.0);
    assert_eq!(simulation.submit(leader, &sample("wk-3", 2, 2.0, 2)), 201);
    simulation.run(6.0);
    assert_eq!(simulation.counters.starts, starts + 2);
    // The user of one submits it again; the other comes from a snapshot.
    assert_eq!(simulation.submit(leader, &long_job("wk-1")), 201);
    simulation.run(2.0);
    assert_eq!(simulation.show(leader, "wk-1").1, Some(JobState::Running));
    assert_eq!(simulation.offer_snapshot(leader, &store_id, &backup), 200);
    simulation.run(3.0);
    assert_eq!(simulation.show(leader, "wk-2"), (200, Some(JobState::Done)));
    simulation.run_until(30.0, "the store is whole", Simulation::is_store_complete);
    simulation.run_until_done("wk-1", 90.0);
    assert_eq!(
        simulation.counters.starts,
        starts + 2,
        "nothing of them was started again"
    );
    assert_eq!(simulation.show(leader, "wk-999").0, 404);
}

/// What an operator gives up is stopped, and can be submitted anew.
#[test]
fn operator_gives_up_unknown_tasks() {
    let (mut simulation, leader) = six_machines(907);
    simulation.submit(leader, &long_job("wk-1"));
    simulation.run(2.5);
    let leader = restart_all_on_empty_store(&mut simulation);
    assert_eq!(simulation.placements("wk-1").len(), 4);
    assert_eq!(simulation.settle_rebuild(leader), 200);
    simulation.run_until(20.0, "they are gone", |simulation| {
        simulation.placements("wk-1").is_empty()
    });
    simulation.run_until(30.0, "the store is whole", Simulation::is_store_complete);
}

/// A machine recorded just before the loss, by a leader that is gone, is on nobody's record; it has
/// tasks of a job that all remember, and says nothing for a while. Without a list of the cloud, only the
/// workers' lease tells; with one, it is asked for.
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
    simulation.run_until(5.0, "four of them run", |simulation| {
        simulation.counters.starts == 4
    });
    simulation.run(1.0);
    for n in (0..3).filter(|n| *n != leader) {
        simulation.nodes[n].watch_delayed = true;
    }
    let id = simulation.add_machine("small", "a");
    simulation.run_until(5.0, "the others run there", |simulation| {
        simulation.workers[&id].tasks.len() == 2
    });
    simulation.faults.cloud_down = !cloud_up;
    simulation.lose_store();
    simulation.kill(leader, Duration::from_secs(restart_s));
    for n in 0..3 {
        simulation.nodes[n].watch_delayed = false;
    }
    simulation.workers.get_mut(&id).unwrap().hung = true;
    // There is room for them elsewhere.
    simulation.add_machine("small", "b");
    simulation.run_until(12.0, "a leader again", |simulation| {
        simulation.leader().is_some()
    });
    simulation.run(5.0);
    simulation.faults.cloud_down = false;
    // Unless it was deleted meanwhile, as it does not answer.
    if let Some(m) = simulation.workers.get_mut(&id) {
        m.hung = false;
    }
    simulation.run(70.0);
    let new_leader = simulation.leader().unwrap();
    assert_eq!(simulation.show(new_leader, "wk-1").1, Some(JobState::Done));
}

/// Another loss in the midst of the rebuilding, and once more.
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

/// The second one comes while the first has just been noticed.
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

/// After the loss another process is given the number of the leader's lease, and renews it. The leader
/// took these renewals for its own, and acted on beside the next one.
#[test]
fn reissued_lease_id_keeps_no_leader() {
    let (mut simulation, leader) = six_machines(912);
    simulation.submit(leader, &long_job("wk-1"));
    simulation.run(2.0);
    let starts = simulation.counters.starts;
    // Nothing else tells it: its reads lag, and its writes are held up.
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

/// The leader receives nothing from the state service any more and acts until its leadership proof
/// expires; the others see the loss much sooner.
#[test]
fn next_leader_waits_for_isolated_leader_lease() {
    let (mut simulation, leader) = six_machines(914);
    simulation.submit(leader, &long_job("wk-1"));
    simulation.run(2.0);
    let starts = simulation.counters.starts;
    simulation.lose_store();
    simulation.nodes[leader].store_link = Link::Refused;
    // The simulation fails if two act at the same time.
    simulation.run_until_other_leader(leader, 12.0);
    simulation.nodes[leader].store_link = Link::Good;
    assert_rebuilt(&mut simulation, starts);
}

/// A restored leader key hung on a lease whose number the service had given again: as that one was
/// renewed, nobody led any more.
#[test]
fn leader_key_on_foreign_lease_removed() {
    let (mut simulation, leader) = six_machines(915);
    let backup = simulation.backup();
    simulation.kill(leader, Duration::from_millis(300));
    simulation.run(0.6);
    simulation.lose_store();
    // All take new leases, with numbers from the beginning.
    simulation.run(1.0);
    simulation.restore_backup(&backup);
    simulation.run_until(20.0, "a leader again", |simulation| {
        simulation.leader().is_some()
    });
    simulation.run_until(60.0, "the store is whole", Simulation::is_store_complete);
}

/// Two controllers begin anew in the empty store, reach nobody who remembers, and take it for new. The
/// one that remembers sees that another leads, and marks the store for it.
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
    simulation.run_until(60.0, "the store is whole", Simulation::is_store_complete);
    assert_eq!(simulation.stored_values("burlusher/j/").len(), 1);
    assert_eq!(simulation.show(leader, "wk-1").0, 200);
}

/// None of these is a loss: an outage, a lagging watch that has to list again, restarts in turn.
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

/// Single keys are lost or fall back, and nothing else says so: the leader compares some with what it
/// knows every few seconds.
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
    // An old value of the other comes back, without an event of the watch.
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

/// A prefix is lost, which a list read for another reason shows.
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

/// The leader key came back with a restored store and its lease did not: it stayed for ever, and nobody
/// led until an operator deleted it.
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

/// A leader reads the store afresh for a sign of a loss, and accepts a job meanwhile: the read is older
/// than the job. It dropped the job, whose tasks ran on, and started them anew when the watch delivered it
/// again; and what was done of others and not on record yet was never counted.
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
        "nothing is started again"
    );
    simulation.run_until_done("wk-000001", 10.0);
    simulation.run_until_done("wk-000002", 20.0);
    assert_eq!(simulation.counters.starts, starts);
}

/// A page of an audit was read before a job ended, and came to the leader after that: no sign of a loss.
/// Taken for one, it made leaders read all anew several times a day.
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
    assert!(suspicion.is_some(), "it is read once more");
    let rereads_store = |core: &Core| {
        core.effects
            .iter()
            .any(|e| matches!(e, Effect::RereadStore))
    };
    assert!(!rereads_store(core));
    // The same once more, though it was asked for after that: lost.
    core.jobs_audited(String::new(), suspicion, page(1));
    assert!(rereads_store(core));
}

/// Found by reading: a controller that had just begun on a store rolled back a moment before answered 404 and 422
/// about what was accepted since, until the others had noticed.
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
    // The others have not noticed yet, and nobody but this one can be asked.
    for node in (0..3).filter(|n| *n != other) {
        (
            simulation.nodes[node].store_link,
            simulation.nodes[node].peers_reachable,
        ) = (Link::Refused, false);
    }
    simulation.run(0.4);
    let mut repeated = spec.clone();
    repeated.team = "nobody".into();
    let mut answered = 0;
    for _ in 0..4 {
        let (status, _) = simulation.show(other, "wk-000001");
        assert_ne!(status, 404, "it is said to be unknown");
        let status = simulation.submit(other, &repeated);
        assert!(
            !matches!(status, 400 | 422),
            "refused as if it were unknown"
        );
        answered += 1;
    }
    assert_eq!(answered, 4);
    simulation.heal_controllers();
    simulation.run_until(60.0, "the store is whole", Simulation::is_store_complete);
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
