//! Partitions between controllers and workers, in one direction or both.

use super::{eight_machines, four_machines, machines_in_zone, unlimited_job};
use crate::core::simulation::{LEASE, Link, Simulation, fails_without};
use crate::fault_injection::Safeguard;
use crate::job::{MachineId, Priority, sample};
use crate::wire::JobState;
use std::time::Duration;

fn partition_inbound(simulation: &mut Simulation, zone: &str, partitioned: bool) {
    let workers = simulation.workers.values_mut().filter(|m| m.zone == zone);
    workers.for_each(|m| m.inbound_partitioned = partitioned);
}

/// Guards against tasks being placed on machines that receive nothing but whose heartbeats make them look idle: this
/// happened again in each of the machines' incarnations.
#[test]
fn inbound_partitioned_zone_gets_no_work() {
    let (mut simulation, leader) = eight_machines(61);
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-000001", 8, 4.0, 14)),
        201
    );
    simulation.run(2.0);
    partition_inbound(&mut simulation, "b", true);
    let before = simulation.counters.starts;
    // Tasks in the zone end when the machines' leases expire, and only then start on other machines.
    simulation.run(9.0);
    assert_eq!(simulation.counters.starts, before);
    simulation.run(4.0);
    let leader_state = simulation.nodes[leader].core.leader.as_ref().unwrap();
    let unconfirmed = |id: &MachineId| {
        leader_state
            .machines
            .get(id)
            .unwrap()
            .unconfirmed_token
            .is_some()
    };
    assert!(
        machines_in_zone(&simulation, "b").iter().all(unconfirmed),
        "a machine that receives nothing counts as having confirmed its fencing token"
    );
    simulation.run_until_done("wk-000001", 40.0);
    // New jobs cause only a few direct calls to the partitioned machines.
    let calls: u32 = simulation.nodes.iter().map(|n| n.direct_calls).sum();
    for n in 2..8 {
        let id = format!("wk-{n:06}");
        assert_eq!(
            simulation.submit(leader, &unlimited_job(&id, 4, 2.0, 2)),
            201
        );
        simulation.run_until_done(&id, 9.0);
    }
    let calls = simulation.nodes.iter().map(|n| n.direct_calls).sum::<u32>() - calls;
    assert!(calls < 150, "{calls} calls");
    assert_eq!(
        machines_in_zone(&simulation, "b").len(),
        4,
        "a machine was given up because of the partition"
    );
    partition_inbound(&mut simulation, "b", false);
    simulation.run(15.0);
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-000009", 8, 4.0, 6)),
        201
    );
    simulation.run(3.0);
    let placements = simulation.placements("wk-000009");
    let used = placements
        .iter()
        .filter(|(m, _)| simulation.workers[m].zone == "b");
    assert_eq!(used.count(), 4, "zone b is not used fully again");
}

/// Guards against tasks that were placed on machines which receive nothing, and that waited a whole lease for the
/// machines' next incarnation.
#[test]
fn unconfirmed_starts_revoked_before_lease_end() {
    let (mut simulation, leader) = eight_machines(70);
    partition_inbound(&mut simulation, "b", true);
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-000001", 8, 4.0, 1)),
        201
    );
    simulation.run_until_done("wk-000001", 8.0);
    assert_eq!(simulation.counters.starts, 8);
}

/// Guards against a new leader that waited without end for its fencing token in the heartbeats of machines that receive
/// nothing: tasks of the former leader that no heartbeat showed were never started again.
#[test]
fn inbound_partition_does_not_block_new_leader() {
    let (mut simulation, leader) = eight_machines(62);
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-000001", 12, 4.0, 6)),
        201
    );
    simulation.run(2.0);
    partition_inbound(&mut simulation, "b", true);
    simulation.kill(leader, Duration::from_secs(30));
    simulation.run_until(10.0, "another leader", |simulation| {
        simulation.leader().is_some()
    });
    // A job reported as cancelled during the partition stays cancelled.
    let new_leader = simulation.leader().unwrap();
    assert_eq!(
        simulation.submit(new_leader, &unlimited_job("wk-000002", 4, 4.0, 60)),
        201
    );
    simulation.run(1.0);
    let response = simulation.cancel(new_leader, "wk-000002");
    assert_eq!(response, (200, Some(JobState::Cancelled)));
    simulation.run_until_done("wk-000001", 50.0);
    assert!(
        machines_in_zone(&simulation, "b").len() >= 4,
        "machines of the zone were given up because of the partition"
    );
}

/// A controller, the leader or a follower, reaches its workers but neither the state service nor the other
/// controllers. Its workers must move to another controller before their tasks are lost.
#[test]
fn isolated_controller_releases_workers_in_time() {
    for is_leader in [true, false] {
        let (mut simulation, leader) = eight_machines(67);
        let isolated = if is_leader { leader } else { (leader + 1) % 3 };
        simulation
            .workers
            .values_mut()
            .for_each(|m| m.node = isolated);
        assert_eq!(
            simulation.submit(leader, &unlimited_job("wk-000001", 8, 4.0, 25)),
            201
        );
        simulation.run(3.0);
        let starts = simulation.counters.starts;
        (
            simulation.nodes[isolated].store_link,
            simulation.nodes[isolated].peers_reachable,
        ) = (Link::Held, false);
        simulation.run(1.5);
        // The isolated controller responds to its users without delay.
        let submitted_at = simulation.now;
        assert_eq!(
            simulation.submit(isolated, &unlimited_job("wk-000002", 1, 1.0, 1)),
            503
        );
        assert!(simulation.now - submitted_at < Duration::from_millis(500));
        simulation.run_until(
            10.0,
            "another leader, and no worker at the isolated controller",
            |simulation| {
                simulation.leader().is_some_and(|l| l != isolated)
                    && simulation.workers.values().all(|m| m.node != isolated)
            },
        );
        simulation.run(5.0);
        (
            simulation.nodes[isolated].store_link,
            simulation.nodes[isolated].peers_reachable,
        ) = (Link::Good, true);
        simulation.release_held();
        simulation.run_until_done("wk-000001", 40.0);
        assert_eq!(
            simulation.counters.starts, starts,
            "a task was started again"
        );
    }
}

fn partition_outbound(simulation: &mut Simulation, every: usize, on: bool) -> Vec<MachineId> {
    let workers = simulation.workers.iter_mut().step_by(every);
    workers
        .map(|(id, m)| {
            m.outbound_partitioned = on;
            id.clone()
        })
        .collect()
}

/// Direct commands reach machines that cannot reach any controller. The machines' tasks are not started elsewhere
/// before the machines' leases expire, no new task is placed where it would end with the lease, and cancelled tasks
/// are stopped by a direct call at once.
fn outbound_partition() {
    let (mut simulation, leader) = eight_machines(940);
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-000001", 4, 4.0, 60)),
        201
    );
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-000002", 4, 2.0, 60)),
        201
    );
    simulation.run(3.0);
    let silent = partition_outbound(&mut simulation, 2, true);
    simulation.faults.cloud_down = true;
    let calls = simulation.nodes[leader].direct_calls;
    // The leader sends the machines a direct command now and then, and they respond.
    for n in 3..7 {
        let id = format!("wk-{n:06}");
        assert_eq!(
            simulation.submit(leader, &unlimited_job(&id, 1, 1.0, 60)),
            201
        );
        simulation.run(0.7);
    }
    simulation.run(1.0);
    assert_eq!(simulation.cancel(leader, "wk-000002").0, 200);
    simulation.run(0.5);
    assert!(
        simulation.placements("wk-000002").is_empty(),
        "cancelled tasks were not stopped by a direct call"
    );
    assert!(simulation.nodes[leader].direct_calls > calls);
    let placed_on_silent = |simulation: &Simulation, id: &str| {
        let placements = simulation.placements(id);
        placements
            .iter()
            .filter(|(m, _)| silent.contains(m))
            .count()
    };
    let placed_early: usize = (3..7)
        .map(|n| placed_on_silent(&simulation, &format!("wk-{n:06}")))
        .sum();
    let starts = simulation.counters.starts;
    simulation.run(2.0);
    // After two heartbeat intervals the machines get no task, although they responded to a recent command.
    for n in 7..11 {
        let id = format!("wk-{n:06}");
        assert_eq!(
            simulation.submit(leader, &unlimited_job(&id, 1, 1.0, 60)),
            201
        );
        simulation.run(0.3);
        assert_eq!(
            placed_on_silent(&simulation, &id),
            0,
            "{id} is placed on a machine whose lease is not renewed"
        );
        simulation.cancel(leader, &id);
        simulation.run(0.7);
    }
    assert!(simulation.counters.starts > starts && placed_early < 5);
    simulation.run(20.0);
    partition_outbound(&mut simulation, 2, false);
    simulation.faults.cloud_down = false;
    simulation.run_until_done("wk-000001", 150.0);
}

#[test]
fn outbound_partitioned_machines_get_no_new_work() {
    outbound_partition();
}

/// A zone with workers and one controller, which may have been the leader, is partitioned for longer than a lease,
/// and a job is cancelled outside meanwhile. After the partition the zone follows what was decided outside.
#[test]
fn partitioned_zone_adopts_outside_decisions() {
    for is_leader in [true, false] {
        let (mut simulation, leader) = eight_machines(950);
        let inside_controller = if is_leader { leader } else { (leader + 1) % 3 };
        assert_eq!(
            simulation.submit(leader, &unlimited_job("wk-000001", 8, 4.0, 40)),
            201
        );
        assert_eq!(
            simulation.submit(leader, &unlimited_job("wk-000002", 4, 1.0, 200)),
            201
        );
        simulation.run(3.0);
        (
            simulation.nodes[inside_controller].store_link,
            simulation.nodes[inside_controller].peers_reachable,
        ) = (Link::Held, false);
        for m in simulation.workers.values_mut() {
            let in_b = m.zone == "b";
            m.partitioned_from = (0..3)
                .filter(|n| (*n == inside_controller) != in_b)
                .collect();
            m.node = if in_b {
                inside_controller
            } else {
                (inside_controller + 1) % 3
            };
        }
        let new_leader = simulation.run_until_other_leader(inside_controller, 10.0);
        while simulation.cancel(new_leader, "wk-000002").1 != Some(JobState::Cancelled) {
            simulation.run(0.5);
        }
        let tasks_in_zone_b = |simulation: &Simulation| {
            let placements = simulation.placements("wk-000001");
            placements
                .iter()
                .filter(|(m, _)| simulation.workers[m].zone == "b")
                .count()
        };
        assert!(
            tasks_in_zone_b(&simulation) > 0,
            "no task runs in the partitioned zone"
        );
        simulation.run(LEASE.as_secs_f64() + 4.0);
        assert_eq!(
            tasks_in_zone_b(&simulation),
            0,
            "tasks still run after the leases of their machines expired"
        );
        (
            simulation.nodes[inside_controller].store_link,
            simulation.nodes[inside_controller].peers_reachable,
        ) = (Link::Good, true);
        simulation.heal_worker_partitions();
        simulation.release_held();
        simulation.run_until_done("wk-000001", 120.0);
        for node in 0..3 {
            assert_eq!(
                simulation.show(node, "wk-000002").1,
                Some(JobState::Cancelled)
            );
        }
    }
}

/// Machines that reach no controller keep answering direct commands. No new tasks are placed on them, as these would
/// end with the machines' leases.
fn submit_while_machines_send_no_heartbeats() {
    let (mut simulation, leader) = eight_machines(1340);
    simulation.run(2.0);
    simulation.faults.cloud_down = true;
    let silent: Vec<MachineId> = simulation.workers.keys().step_by(2).cloned().collect();
    for id in &silent {
        simulation.workers.get_mut(id).unwrap().outbound_partitioned = true;
    }
    // Jobs are started and cancelled on all machines continuously, so that each machine answers commands.
    let mut late_starts = 0;
    for n in 0..24u32 {
        let id = format!("wk-{n:06}");
        let mut spec = unlimited_job(&id, 16, 1.0, 60);
        spec.priority = Priority::High;
        assert_eq!(simulation.submit(leader, &spec), 201);
        simulation.run(0.2);
        let started = simulation
            .placements(&id)
            .iter()
            .filter(|(m, _)| silent.contains(m))
            .count();
        if n > 14 {
            late_starts += started;
        }
        simulation.cancel(leader, &id);
        simulation.run(0.1);
    }
    assert_eq!(late_starts, 0, "tasks start on machines without heartbeats");
}

#[test]
fn machines_without_heartbeats_get_no_work() {
    submit_while_machines_send_no_heartbeats();
    fails_without(
        Safeguard::HeartbeatRequired,
        "tasks start on machines without heartbeats",
        submit_while_machines_send_no_heartbeats,
    );
}

#[test]
fn old_leader_with_own_workers_starts_nothing_twice() {
    let (mut simulation, leader) = four_machines(6);
    simulation.submit(leader, &sample("wk-1", 12, 2.0, 12));
    simulation.run(2.0);
    // Two machines can reach only the old leader, which has lost its connection to the state service; the other
    // two can reach only the other controllers.
    let ids: Vec<_> = simulation.workers.keys().cloned().collect();
    for (i, id) in ids.iter().enumerate() {
        let partitioned_from = (0..3).filter(|n| (*n == leader) != (i < 2));
        simulation.workers.get_mut(id).unwrap().partitioned_from = partitioned_from.collect();
    }
    simulation.nodes[leader].store_link = Link::Refused;
    simulation.nodes[leader].peers_reachable = false;
    simulation.run(9.0);
    for id in &ids {
        if let Some(m) = simulation.workers.get_mut(id) {
            m.partitioned_from.clear();
        }
    }
    simulation.nodes[leader].store_link = Link::Good;
    simulation.nodes[leader].peers_reachable = true;
    simulation.release_held();
    simulation.run_until_done("wk-1", 90.0);
}

/// Guards against the deletion of live machines in a one-way partition: a new leader's calls fail while the workers'
/// heartbeats arrive. Machines that had sent heartbeats, but had not yet shown the leader's fencing token, were deleted
/// as dead.
#[test]
fn heartbeating_machines_not_deleted_when_calls_fail() {
    let (mut simulation, leader) = four_machines(29);
    simulation.submit(leader, &sample("wk-1", 8, 2.0, 20));
    simulation.run(3.0);
    simulation.faults.hold_commands = true;
    simulation.kill(leader, Duration::from_secs(30));
    simulation.run_until_other_leader(leader, 10.0);
    simulation.run(6.0);
    assert_eq!(simulation.workers.len(), 4);
    simulation.faults.hold_commands = false;
    simulation.run_until_done("wk-1", 40.0);
    assert_eq!(simulation.counters.starts, 8);
}
