//! Changes of leader: which work continues through them, and when a leader steps down.

use super::{eight_machines, follower, four_machines, thousand_machines, unlimited_job};
use crate::job::{JobSpec, sample};
use crate::wire::JobState;
use std::time::Duration;

#[test]
fn full_restart_loses_and_repeats_no_work() {
    let (mut simulation, leader) = four_machines(15);
    simulation.submit(leader, &sample("wk-1", 8, 2.0, 9));
    simulation.submit(leader, &sample("wk-2", 4, 2.0, 3));
    simulation.run_until_done("wk-2", 40.0);
    for i in 0..3 {
        simulation.kill(i, Duration::from_secs(2));
    }
    simulation.run_until(12.0, "a leader", |simulation| simulation.leader().is_some());
    simulation.run_until_done("wk-1", 40.0);
    assert_eq!(simulation.show(0, "wk-2").1, Some(JobState::Done));
    assert_eq!(simulation.counters.starts, 12);
}

#[test]
fn new_leader_waits_for_silent_machine_lease() {
    let (mut simulation, leader) = four_machines(16);
    simulation.faults.cloud_down = true;
    simulation.submit(leader, &sample("wk-1", 7, 2.0, 40));
    simulation.run(2.0);
    let id = simulation.placements("wk-1")[0].0.clone();
    // The machine keeps its tasks but cannot reach the remaining controllers.
    simulation.partition_worker(&id);
    simulation.kill(leader, Duration::from_secs(100));
    simulation.run_until(8.0, "a new leader", |simulation| {
        simulation.leader().is_some()
    });
    let new_leader = simulation.leader().unwrap();
    assert_eq!(
        simulation.submit(new_leader, &sample("wk-2", 1, 2.0, 2)),
        201
    );
    simulation.run(3.0);
    // The old job's tasks stay where they are, and the new job does not wait for the silent machine.
    assert_eq!(simulation.placements("wk-1").len(), 7);
    assert_eq!(simulation.counters.starts, 8);
    assert_eq!(simulation.show(new_leader, "wk-2").1, Some(JobState::Done));
    // The silent machine's tasks are started again once its lease has expired, and not before.
    simulation.run_until_done("wk-1", 120.0);
}

#[test]
fn leader_without_workers_steps_down() {
    let (mut simulation, leader) = four_machines(17);
    simulation.submit(leader, &sample("wk-1", 4, 2.0, 3));
    for m in simulation.workers.values_mut() {
        m.partitioned_from.insert(leader);
    }
    let machines = simulation.workers.len();
    simulation.run_until_other_leader(leader, 15.0);
    // If all machines are silent, the leader is partitioned from them; it must not delete them as lost.
    assert_eq!(simulation.workers.len(), machines);
    simulation.run_until_done("wk-1", 40.0);
}

/// A leader that was partitioned from all workers deleted a third of the machines one by one for missing heartbeats
/// before it noticed that all were silent, and stepped down much later still.
#[test]
fn leader_losing_all_workers_steps_down_soon() {
    let (mut simulation, leader) = thousand_machines(25, "small");
    simulation.run(4.0);
    simulation.submit(leader, &sample("wk-1", 4, 2.0, 3));
    for m in simulation.workers.values_mut() {
        m.partitioned_from.insert(leader);
    }
    simulation.run_until_other_leader(leader, 3.0);
    simulation.run_until_done("wk-1", 20.0);
    assert_eq!(simulation.workers.len(), 1000);
}

/// A machine that failed together with the leader held up all earlier tasks that no heartbeat had shown, for longer
/// than the machine's heartbeat interval.
#[test]
fn machine_dead_with_leader_delays_no_other() {
    let (mut simulation, leader) = four_machines(27);
    simulation.capacity.clear();
    simulation.submit(leader, &sample("wk-1", 8, 2.0, 60));
    simulation.submit(leader, &sample("wk-2", 4, 1.0, 60));
    simulation.run(2.0);
    let id = simulation.placements("wk-1")[0].0.clone();
    let mut others: Vec<_> = simulation.workers.keys().cloned().collect();
    others.retain(|other| *other != id);
    simulation.workers.get_mut(&id).unwrap().hung = true;
    simulation.kill(leader, Duration::from_secs(60));
    simulation.run_until(8.0, "a new leader", |simulation| {
        simulation.leader().is_some()
    });
    simulation.run_until(4.0, "the dead machine's deletion", |simulation| {
        !simulation.workers.contains_key(&id)
    });
    // The other machines, which responded, all still exist.
    assert!(others.iter().all(|id| simulation.workers.contains_key(id)));
}

/// Found by the tests with mixed faults: all machines were gone, and each leader in turn stepped down before it could
/// discover that.
#[test]
fn no_resignation_loop_without_machines() {
    let (mut simulation, leader) = four_machines(22);
    simulation.submit(leader, &sample("wk-1", 4, 2.0, 5));
    simulation.run(1.0);
    simulation.faults.cloud_down = true;
    simulation.workers.clear();
    simulation.run(20.0);
    simulation.faults.cloud_down = false;
    simulation.run_until_done("wk-1", 120.0);
}

/// All controllers are down for longer than a lease, while jobs are waiting, running or just cancelled.
#[test]
fn outage_of_all_controllers_beyond_lease_resumes_all_jobs() {
    let (mut simulation, leader) = eight_machines(970);
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-000001", 12, 4.0, 12)),
        201
    );
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-000002", 6, 4.0, 300)),
        201
    );
    simulation.run(3.0);
    simulation.cancel_without_waiting(leader, "wk-000002");
    simulation.run(0.2);
    (0..3).for_each(|n| simulation.kill(n, Duration::from_secs(14 + n as u64)));
    simulation.run(13.5);
    assert!(simulation.leader().is_none());
    assert!(
        simulation.placements("wk-000001").is_empty(),
        "a task runs although the lease of its worker has expired"
    );
    simulation.run_until_done("wk-000001", 60.0);
    let mut tries = 0;
    while simulation.cancel(1, "wk-000002").1 != Some(JobState::Cancelled) {
        tries += 1;
        assert!(tries < 10);
    }
}

/// Ten leaders are killed in two minutes, one after the other, and more during an outage of the state service. Some
/// jobs have two or three tasks that end far apart, and some are cancelled meanwhile.
#[test]
fn ten_leaders_lose_no_job_and_run_none_twice() {
    let (mut simulation, _) = eight_machines(980);
    // Three tasks one after the other, on the only machine of the zone that has capacity for them.
    let mut staggered: JobSpec = unlimited_job("wk-000001", 3, 4.0, 25);
    staggered.zone = Some("b".into());
    let mut kills = 0;
    let mut accepted = Vec::new();
    for n in 0..10u64 {
        simulation.run_until(15.0, "a leader", |simulation| simulation.leader().is_some());
        let leader = simulation.leader().unwrap();
        if n == 0 {
            assert_eq!(simulation.submit(leader, &staggered), 201);
        }
        let id = format!("wk-{:06}", n + 2);
        if simulation.submit(leader, &unlimited_job(&id, 2, 1.0, 6 + n)) == 201 {
            accepted.push(id.clone());
        }
        simulation.run(2.0);
        if n % 3 == 2 {
            simulation.cancel_without_waiting(leader, &id);
        }
        let leader = simulation.leader().unwrap_or(leader);
        simulation.kill(
            leader,
            Duration::from_millis(if n % 2 == 0 { 200 } else { 5000 }),
        );
        kills += 1;
        if n == 5 {
            simulation.set_store_outage(true);
            for k in 0..3 {
                simulation.kill((leader + k) % 3, Duration::from_millis(400));
                simulation.run(1.0);
            }
            simulation.set_store_outage(false);
        }
        simulation.run(6.0);
    }
    assert_eq!(kills, 10);
    simulation.run(5.0);
    for id in accepted.iter().chain([&"wk-000001".to_string()]) {
        let (status, state) = simulation.show(0, id);
        assert_eq!(status, 200, "{id}");
        if !matches!(state, Some(JobState::Cancelled | JobState::Done)) {
            simulation.run_until_done(id, 120.0);
        }
    }
}

/// A leader restarts so quickly that the key and lease of its previous process still exist, and frames of that process
/// are in flight.
#[test]
fn quick_restart_ignores_previous_process() {
    let (mut simulation, leader) = eight_machines(68);
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-000001", 8, 4.0, 12)),
        201
    );
    simulation.run(3.0);
    let starts = simulation.counters.starts;
    for _ in 0..3 {
        simulation.kill(leader, Duration::from_millis(50));
        simulation.run(0.3);
    }
    // The key of the killed process delays the next leader by no more than the lease of 3 s.
    simulation.run_until(4.0, "a leader", |simulation| simulation.leader().is_some());
    (0..3).for_each(|n| simulation.kill(n, Duration::from_millis(100)));
    simulation.run_until(4.5, "a leader", |simulation| simulation.leader().is_some());
    simulation.run_until_done("wk-000001", 40.0);
    assert_eq!(simulation.counters.starts, starts);
}

/// Guards against a cluster that stays without a leader: two followers without contact to the leader looked up its lease,
/// and each look-up renewed the lease, so that the leader key of the killed process never expired.
#[test]
fn lookups_do_not_keep_lease_of_dead_leader_alive() {
    let (mut simulation, leader) = eight_machines(1510);
    let (first, second) = (follower(leader), follower(leader + 1));
    assert_eq!(simulation.submit(leader, &sample("wk-1", 2, 1.0, 60)), 201);
    simulation.nodes[first].peers_reachable = false;
    simulation.run(2.0);
    simulation.nodes[second].peers_reachable = false;
    simulation.run(9.0);
    simulation.kill(leader, Duration::from_secs(5));
    simulation.run(1.0);
    simulation.set_peers_reachable(true);
    simulation.run_until(15.0, "a leader", |simulation| simulation.leader().is_some());
    assert_eq!(simulation.submit(first, &sample("wk-2", 2, 1.0, 2)), 201);
    simulation.run_until_done("wk-2", 30.0);
    simulation.run_until_done("wk-1", 90.0);
    assert_eq!(simulation.counters.starts, 4);
}
