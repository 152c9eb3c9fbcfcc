//! Heartbeats that are old, repeated or of an earlier incarnation of their machine.

use super::{eight_machines, four_machines, machines_in_zone, unlimited_job};
use crate::core::simulation::{Simulation, fails_without};
use crate::fault_injection::Safeguard;
use crate::job::{MachineId, sample};
use crate::wire::{Heartbeat, JobState};
use std::time::Duration;

/// Heartbeats made before tasks were started reach every controller as the next leader begins, before its first
/// answer, and before the machines themselves are in contact: they prove nothing about what is there.
fn replay_old_heartbeats_at_takeover() {
    let (mut simulation, leader) = eight_machines(1200);
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-000001", 3, 4.0, 40)),
        201
    );
    simulation.run(3.0);
    // Heartbeats of idle machines, with incarnations that go on.
    let idle: Vec<MachineId> = (simulation
        .workers
        .iter()
        .filter(|(_, m)| m.tasks.is_empty()))
    .map(|(id, _)| id.clone())
    .collect();
    assert_eq!(idle.len(), 5);
    // They say that their machines are to be taken: nothing new is started on these.
    let old_heartbeats = idle.iter().map(|id| Heartbeat {
        reclaim_in_s: Some(60.0),
        ..simulation.heartbeat_of(id)
    });
    let old_heartbeats = old_heartbeats.collect();
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-000002", 5, 4.0, 40)),
        201
    );
    simulation.run(0.3);
    assert_eq!(simulation.placements("wk-000002").len(), 5);
    // Their heartbeats do not arrive from now on, and they can't be asked or deleted.
    simulation.faults.cloud_down = true;
    for id in &idle {
        simulation.partition_worker(id);
    }
    simulation.kill(leader, Duration::from_secs(30));
    simulation.replay_at_next_leadership(old_heartbeats);
    let leaderships = simulation.leadership_count();
    simulation.run_until(8.0, "another leader", |simulation| {
        simulation.leadership_count() > leaderships
    });
    simulation.add_machine("small", "a");
    simulation.add_machine("small", "b");
    simulation.run(7.0);
    assert!(
        simulation.counters.heartbeats_replayed >= 10,
        "none was delivered"
    );
    assert_eq!(
        simulation.counters.starts, 8,
        "started elsewhere though nothing proves that it is gone"
    );
    simulation.heal_worker_partitions();
    simulation.faults.cloud_down = false;
    simulation.run_until_done("wk-000002", 120.0);
}

#[test]
fn old_heartbeats_at_takeover_do_not_prove_tasks_gone() {
    replay_old_heartbeats_at_takeover();
    fails_without(
        Safeguard::TokenProof,
        " and on ",
        replay_old_heartbeats_at_takeover,
    );
}

/// The same through six changes of leader, with every heartbeat of some seconds kept for the next, machines that
/// begin anew in between, and a follower that answers under a grant.
#[test]
fn repeated_takeovers_with_old_heartbeats_start_no_task_twice() {
    let (mut simulation, _) = eight_machines(1210);
    let mut replayed_before = 0;
    for n in 0..6u32 {
        simulation.run_until(15.0, "a leader", |simulation| simulation.leader().is_some());
        let leader = simulation.leader().unwrap();
        simulation.faults.replayed_heartbeat_share = 0.5;
        let id = format!("wk-{:06}", n + 1);
        simulation.submit_until_accepted(leader, &unlimited_job(&id, 5, 2.0, 6), 0.5);
        simulation
            .workers
            .values_mut()
            .for_each(|m| m.node = (leader + 1) % 3);
        simulation.run(2.0);
        let machine = simulation.workers.keys().nth(n as usize).unwrap().clone();
        simulation.reboot(&machine, n % 2 == 0);
        simulation.run(1.5);
        simulation.faults.replayed_heartbeat_share = 0.0;
        simulation.kill(
            leader,
            Duration::from_millis(if n % 2 == 0 { 300 } else { 6000 }),
        );
        simulation.run(6.0);
        assert!(
            simulation.counters.heartbeats_replayed > replayed_before,
            "round {n}: none was kept"
        );
        replayed_before = simulation.counters.heartbeats_replayed;
    }
    for n in 0..6 {
        simulation.run_until_done(&format!("wk-{:06}", n + 1), 90.0);
    }
}

#[test]
fn late_duplicates_change_nothing() {
    let (mut simulation, leader) = eight_machines(63);
    // From a tenth of a second to three leases late, to any controller.
    simulation.faults.duplicate_delay = Duration::from_secs(30);
    let mut accepted = Vec::new();
    for n in 0..8 {
        let id = format!("wk-{n:06}");
        let node = simulation.leader().unwrap_or(leader);
        if simulation.submit(node, &unlimited_job(&id, 5, 2.0, 3)) == 201 {
            accepted.push(id.clone());
        }
        if n == 3 {
            simulation.cancel(node, &id);
        }
        if n == 5 {
            simulation.kill(node, Duration::from_millis(400));
        }
        simulation.run(4.0);
    }
    for id in &accepted {
        let (status, state) = simulation.show(0, id);
        assert_eq!(status, 200);
        if state != Some(JobState::Cancelled) {
            simulation.run_until_done(id, 60.0);
        }
    }
    // All of them have come, and nothing is started for them.
    let starts = simulation.counters.starts;
    simulation.run(40.0);
    assert_eq!(simulation.counters.starts, starts);
}

/// A machine was returned, and the next leader does not know its name: a heartbeat of it that comes now made
/// it a machine again, and stopped what it once held wherever that runs now.
#[test]
fn old_heartbeat_does_not_revive_deleted_machine() {
    let (mut simulation, leader) = eight_machines(64);
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-000001", 1, 4.0, 60)),
        201
    );
    simulation.run(3.0);
    let (id, _) = simulation.placements("wk-000001")[0].clone();
    let old_heartbeat = simulation.heartbeat_of(&id);
    simulation.workers.remove(&id);
    simulation.run_until(40.0, "it starts elsewhere", |simulation| {
        simulation.placements("wk-000001").len() == 1
    });
    simulation.run(20.0);
    simulation.kill(leader, Duration::from_secs(3));
    simulation.run_until(10.0, "another leader", |simulation| {
        simulation.leader().is_some()
    });
    let new_leader = simulation.leader().unwrap();
    // It comes before the next heartbeat of the machine that has the task now.
    simulation.deliver_heartbeat(new_leader, old_heartbeat.clone());
    simulation.run(0.2);
    let leader_state = simulation.nodes[new_leader].core.leader.as_ref().unwrap();
    assert!(leader_state.machines.get(&id).is_none());
    simulation.run(5.0);
    simulation.deliver_heartbeat(new_leader, old_heartbeat);
    simulation.run(5.0);
    let leader_state = simulation.nodes[new_leader].core.leader.as_ref().unwrap();
    assert!(leader_state.machines.get(&id).is_none());
    assert_eq!(simulation.counters.starts, 2);
    simulation.run_until_done("wk-000001", 70.0);
}

/// Empty and counting from one, its heartbeats were taken for old ones until it was given up.
#[test]
fn restarted_machine_distinguished_from_old_heartbeat() {
    for from_one in [true, false] {
        let (mut simulation, leader) = eight_machines(66);
        assert_eq!(
            simulation.submit(leader, &unlimited_job("wk-000001", 8, 4.0, 8)),
            201
        );
        simulation.run(3.0);
        let (id, _) = simulation.placements("wk-000001")[0].clone();
        let old_heartbeat = simulation.heartbeat_of(&id);
        simulation.reboot(&id, from_one);
        simulation.deliver_heartbeat(leader, old_heartbeat);
        let before = simulation.counters.starts;
        simulation.run(6.0);
        assert_eq!(
            simulation.counters.starts,
            before + 1,
            "its task starts again, once"
        );
        simulation.run_until_done("wk-000001", 30.0);
        assert_eq!(
            machines_in_zone(&simulation, "a").len() + machines_in_zone(&simulation, "b").len(),
            8
        );
    }
}

/// A new leader receives an old copy first: the task was there once. When that machine showed that it has
/// nothing, the task was started a third time, and stopped where it ran.
#[test]
fn old_heartbeat_at_new_leader_moves_no_task() {
    let (mut simulation, leader) = eight_machines(84);
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-000001", 1, 4.0, 30)),
        201
    );
    simulation.run(3.0);
    let (first, _) = simulation.placements("wk-000001")[0].clone();
    let old_heartbeat = simulation.heartbeat_of(&first);
    simulation.reboot(&first, false);
    simulation.run(3.0);
    let (second, _) = simulation.placements("wk-000001")[0].clone();
    assert_ne!(first, second);
    simulation.faults.cloud_down = true;
    simulation.partition_worker(&first);
    simulation.partition_worker(&second);
    simulation.kill(leader, Duration::from_secs(30));
    simulation.run_until(8.0, "another leader", |simulation| {
        simulation.leader().is_some()
    });
    let new_leader = simulation.leader().unwrap();
    simulation.deliver_heartbeat(new_leader, old_heartbeat);
    simulation.run(0.5);
    simulation
        .workers
        .get_mut(&second)
        .unwrap()
        .partitioned_from
        .clear();
    simulation.run(1.5);
    simulation
        .workers
        .get_mut(&first)
        .unwrap()
        .partitioned_from
        .clear();
    simulation.run_until_done("wk-000001", 60.0);
    assert_eq!(simulation.counters.starts, 2, "started once more");
}

/// A token that nobody gave passed for the sign of a store that has lost data: the leader gave up, and all
/// was rebuilt.
#[test]
fn forged_heartbeat_changes_nothing() {
    let (mut simulation, leader) = eight_machines(87);
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-000001", 4, 4.0, 6)),
        201
    );
    simulation.run(1.0);
    let id = simulation.workers.keys().next().unwrap().clone();
    for node in 0..3 {
        let mut heartbeat = simulation.heartbeat_of(&id);
        (heartbeat.fencing_token, heartbeat.incarnation) = (u64::MAX, 1_000_000);
        heartbeat.tasks.clear();
        simulation.deliver_heartbeat(node, heartbeat);
        simulation.run(0.5);
    }
    let leader_state = simulation.nodes[leader].core.leader.as_ref().unwrap();
    assert_eq!(leader_state.machines.get(&id).unwrap().incarnation, 1);
    assert!(
        simulation
            .nodes
            .iter()
            .all(|n| !n.core.store_is_incomplete())
    );
    simulation.run_until_done("wk-000001", 12.0);
    assert_eq!(
        (simulation.leader(), simulation.counters.starts),
        (Some(leader), 4)
    );
}

/// A machine that had begun anew, and counted from one, was taken for older than a late copy of its
/// previous process: what was given to it since counted as lost, and was started elsewhere while it ran.
#[test]
fn old_heartbeat_from_earlier_incarnation_ignored() {
    let (mut simulation, leader) = eight_machines(88);
    let id = simulation.workers.keys().next().unwrap().clone();
    let earlier_incarnation = {
        simulation.reboot(&id, false);
        simulation.run(3.0);
        simulation.heartbeat_of(&id)
    };
    let same_incarnation = Heartbeat {
        incarnation: 1,
        sequence: 1000,
        ..simulation.heartbeat_of(&id)
    };
    simulation.reboot(&id, true);
    simulation.run(6.0);
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-000001", 7, 4.0, 20)),
        201
    );
    simulation.run(2.0);
    assert!(
        simulation
            .placements("wk-000001")
            .iter()
            .any(|(m, _)| *m == id)
    );
    for old_heartbeat in [same_incarnation, earlier_incarnation] {
        simulation.deliver_heartbeat(leader, old_heartbeat);
        simulation.run(2.0);
    }
    simulation.run_until_done("wk-000001", 40.0);
    assert_eq!(simulation.counters.starts, 7);
}

/// Found by randomized schedules: a machine that received nothing of a new leader began another
/// incarnation, which has a whole lease. When it was asked and known at last, its lease was counted from the last answer
/// to an earlier one; what was then started on it was given up at once, and started elsewhere while it ran.
#[test]
fn new_incarnation_has_lease_from_its_start() {
    let (mut simulation, leader) = eight_machines(85);
    let id = simulation.workers.keys().next().unwrap().clone();
    // With its whole zone, as single ones are given up.
    let zone = simulation.workers[&id].zone.clone();
    let in_zone = simulation.workers.values_mut().filter(|m| m.zone == zone);
    in_zone.for_each(|m| m.inbound_partitioned = true);
    simulation.faults.cloud_down = true;
    simulation.kill(leader, Duration::from_secs(60));
    simulation.run_until(8.0, "another leader", |simulation| {
        simulation.leader().is_some()
    });
    let new_leader = simulation.leader().unwrap();
    simulation.run(7.0);
    // Shortly before the lease has run out that its last answer may have given it, it begins anew.
    let leader_state = simulation.nodes[new_leader].core.leader.as_ref().unwrap();
    let last_renewal = leader_state.machines.get(&id).unwrap().lease_renewed;
    simulation.run_until(15.0, "its lease", |simulation| {
        simulation.now > last_renewal + Duration::from_secs(11)
    });
    simulation.reboot(&id, false);
    let m = simulation.workers.get_mut(&id).unwrap();
    // It receives again, and is asked; its own heartbeats do not come through for a while.
    (m.inbound_partitioned, m.next_heartbeat) = (false, simulation.now + Duration::from_secs(5));
    let leader_state = simulation.nodes[new_leader].core.leader.as_mut().unwrap();
    assert!(
        leader_state.machines.get(&id).unwrap().unresolved,
        "too late"
    );
    leader_state.recovery.probe_next(id.clone());
    simulation.run(0.1);
    assert_eq!(
        simulation.submit(new_leader, &unlimited_job("wk-000001", 5, 4.0, 20)),
        201
    );
    simulation.run(0.2);
    assert!(
        simulation
            .placements("wk-000001")
            .iter()
            .any(|(m, _)| *m == id)
    );
    simulation.add_machine("small", "b");
    simulation.run(7.0);
    simulation.run_until_done("wk-000001", 40.0);
    assert_eq!(simulation.counters.starts, 5);
}

/// Seen in a recorded day: heartbeats that a partition had held came when the machines' leases had run out, and
/// tasks that had been started elsewhere meanwhile were taken for being there still.
#[test]
fn heartbeat_after_incarnation_end_ignored() {
    let (mut simulation, leader) = four_machines(48);
    simulation.faults.cloud_down = true;
    simulation.submit(leader, &sample("wk-1", 6, 2.0, 60));
    simulation.run(2.0);
    let id = simulation.placements("wk-1")[0].0.clone();
    simulation.workers.get_mut(&id).unwrap().hung = true;
    simulation.run(1.0);
    let delayed_heartbeat = simulation.heartbeat_of(&id);
    let task_count = delayed_heartbeat.tasks.len();
    simulation.run(12.5);
    let assigned = |simulation: &Simulation| {
        let leader_state = simulation.nodes[leader].core.leader.as_ref().unwrap();
        leader_state.machines.get(&id).map_or(0, |m| m.tasks.len())
    };
    assert!(task_count > 0 && assigned(&simulation) == 0);
    simulation.deliver_heartbeat(leader, delayed_heartbeat);
    simulation.run(0.2);
    assert_eq!(assigned(&simulation), 0);
}
