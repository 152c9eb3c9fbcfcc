//! Delayed, duplicated and forged heartbeats, and heartbeats of an earlier incarnation of a machine.

use super::{eight_machines, four_machines, machines_in_zone, unlimited_job};
use crate::core::simulation::{Simulation, fails_without};
use crate::fault_injection::Safeguard;
use crate::job::{MachineId, sample};
use crate::wire::{Heartbeat, JobState};
use std::time::Duration;

/// Delivers heartbeats from before a job's tasks started to every controller when a new leader takes over, before
/// the leader's first response and before it is in contact with the machines. Such heartbeats do not prove that the
/// tasks are gone, so the new leader must not start the tasks again.
fn replay_old_heartbeats_at_takeover() {
    let (mut simulation, leader) = eight_machines(1200);
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-000001", 3, 4.0, 40)),
        201
    );
    simulation.run(3.0);
    // Heartbeats of idle machines, whose incarnations continue.
    let idle: Vec<MachineId> = (simulation
        .workers
        .iter()
        .filter(|(_, m)| m.tasks.is_empty()))
    .map(|(id, _)| id.clone())
    .collect();
    assert_eq!(idle.len(), 5);
    // The heartbeats announce that the provider reclaims the machines, so no task is started on these machines.
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
    // From now on these machines' heartbeats are lost, and the machines can be neither probed nor deleted.
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
        "no old heartbeat was delivered"
    );
    assert_eq!(
        simulation.counters.starts, 8,
        "a task was started again although nothing proves that the first attempt is gone"
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

/// Six changes of leader: half of each round's heartbeats are replayed at the next takeover, machines restart in
/// between, and a follower answers heartbeats under a grant from the leader.
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
            "round {n}: no heartbeat was replayed"
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
    // Copies are delivered 3 to 30 s late, which is up to three leases, to any controller.
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
    // By then all duplicates have been delivered, and none of them caused a start.
    let starts = simulation.counters.starts;
    simulation.run(40.0);
    assert_eq!(simulation.counters.starts, starts);
}

/// Guards against an old heartbeat of a deleted machine that reaches a leader without a record of the machine: the
/// leader used to register the machine again, and stopped the machine's former tasks where they ran by then.
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
    simulation.run_until(40.0, "the task starts on another machine", |simulation| {
        simulation.placements("wk-000001").len() == 1
    });
    simulation.run(20.0);
    simulation.kill(leader, Duration::from_secs(3));
    simulation.run_until(10.0, "another leader", |simulation| {
        simulation.leader().is_some()
    });
    let new_leader = simulation.leader().unwrap();
    // The old heartbeat arrives before the next one of the machine that now runs the task.
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

/// Guards against a restarted machine whose heartbeats, without tasks and possibly with the incarnation counted from
/// one again, were mistaken for old ones until the leader gave the machine up.
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
            "the machine's task starts again exactly once"
        );
        simulation.run_until_done("wk-000001", 30.0);
        assert_eq!(
            machines_in_zone(&simulation, "a").len() + machines_in_zone(&simulation, "b").len(),
            8
        );
    }
}

/// Guards against an old heartbeat that is the first one a new leader receives and that shows a task on its former
/// machine: when this machine then reported no tasks, the task was started a third time and stopped where it ran.
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
    assert_eq!(
        simulation.counters.starts, 2,
        "the task was started a third time"
    );
}

/// Guards against a heartbeat with a fencing token that no leader issued: it was taken as evidence that the store had
/// lost data, so the leader stepped down and the store was rebuilt.
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

/// Guards against a late heartbeat of a machine's previous process, when the restarted machine counts incarnations
/// from one again: the late heartbeat was taken for the newer one, so tasks started since the restart counted as lost
/// and were started on other machines while they still ran.
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

/// Guards against a fault found by randomized schedules. A machine that received nothing from a new leader began
/// another incarnation, which holds a full lease. Once probed, the machine's lease was counted from the last
/// response to the earlier incarnation: tasks then started on the machine were given up at once, and started on other
/// machines while they still ran.
#[test]
fn new_incarnation_has_lease_from_its_start() {
    let (mut simulation, leader) = eight_machines(85);
    let id = simulation.workers.keys().next().unwrap().clone();
    // The partition affects the whole zone, because single unreachable machines are given up.
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
    // The machine restarts shortly before the lease expires that the last response may have granted.
    let leader_state = simulation.nodes[new_leader].core.leader.as_ref().unwrap();
    let last_renewal = leader_state.machines.get(&id).unwrap().lease_renewed;
    simulation.run_until(15.0, "the end of the lease", |simulation| {
        simulation.now > last_renewal + Duration::from_secs(11)
    });
    simulation.reboot(&id, false);
    let m = simulation.workers.get_mut(&id).unwrap();
    // The machine receives again and is probed; it sends no heartbeat of its own for a while.
    (m.inbound_partitioned, m.next_heartbeat) = (false, simulation.now + Duration::from_secs(5));
    let leader_state = simulation.nodes[new_leader].core.leader.as_mut().unwrap();
    assert!(
        leader_state.machines.get(&id).unwrap().unresolved,
        "the machine was resolved before the probe"
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

/// Guards against a fault seen in a recorded day: heartbeats delayed by a partition arrived after the machines' leases
/// had expired, and tasks since started on other machines were assumed to run on the first machines still.
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
