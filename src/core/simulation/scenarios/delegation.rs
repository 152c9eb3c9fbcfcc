//! Followers that serve workers for the leader (delegates): which heartbeats they answer alone, when a
//! delegation is revoked, and what happens when a delegate is cut off, crashes, or runs an older version.
//! The simulation checks at every tick that no task runs on two machines.

use super::unlimited_job;
use crate::core::simulation::{Simulation, failure_without};
use crate::core::{Command, Effect, Now, Work};
use crate::fault_injection::Safeguard;
use crate::job::{JobKind, MachineId};
use crate::policy::Policy;
use std::collections::BTreeMap;
use std::time::Duration;

/// Returns the built-in policy with the delegation of workers to followers enabled or disabled.
pub fn policy(delegate: bool) -> Policy {
    Policy::parse("delegation", &format!("delegate = {delegate}")).unwrap()
}

/// Returns a cluster of three controllers with delegation enabled and `machines` machines that have sent
/// heartbeats, and its leader; no further machines can be provisioned.
fn delegating_cluster(seed: u64, machines: usize) -> (Simulation, usize) {
    crate::core::simulation::enable_log();
    let mut simulation = Simulation::with_policy(seed, policy(true));
    simulation.capacity.clear();
    simulation.add_machines("small", machines);
    let leader = simulation.run_until_leader(4.0);
    (simulation, leader)
}

/// Returns the number of workers that send heartbeats to each node.
fn workers_per_node(simulation: &Simulation) -> BTreeMap<usize, usize> {
    let mut counts = BTreeMap::new();
    for m in simulation.workers.values() {
        *counts.entry(m.node).or_default() += 1;
    }
    counts
}

fn move_workers_to(simulation: &mut Simulation, node: usize) {
    simulation.workers.values_mut().for_each(|m| m.node = node);
}

/// Returns the number of heartbeats that followers answered alone, as counted by the leader.
fn delegated_responses(simulation: &Simulation, leader: usize) -> u64 {
    (simulation.nodes[leader].core.leader.as_ref()).map_or(0, |l| l.delegates.delegated_answers)
}

#[test]
fn followers_answer_unchanged_and_relay_changed_heartbeats() {
    let (mut simulation, leader) = delegating_cluster(501, 60);
    simulation.run(5.0);
    let before = (
        delegated_responses(&simulation, leader),
        simulation.counters.heartbeats,
    );
    simulation.run(10.0);
    let answered_by_others = delegated_responses(&simulation, leader) - before.0;
    let all = u64::from(simulation.counters.heartbeats - before.1);
    assert!(
        answered_by_others * 2 > all,
        "{answered_by_others} of {all} heartbeats were answered by followers"
    );
    // No worker is lost, and tasks are started through all controllers.
    assert_eq!(simulation.workers.len(), 60);
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-1", 40, 1.0, 3)),
        201
    );
    simulation.run_until_done("wk-1", 20.0);
    assert_eq!(simulation.counters.starts, 40);
    simulation.run(5.0);
    assert_eq!(simulation.counters.tasks_forgotten, 40);
}

/// Guards against heartbeats that report a completed task and are answered before the next planning
/// round, so that each start of a task takes a direct call.
#[test]
fn start_sent_in_response_to_completion_heartbeat() {
    let (mut simulation, leader) = delegating_cluster(503, 20);
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-1", 300, 4.0, 2)),
        201
    );
    simulation.run_until_done("wk-1", 90.0);
    let stats = &simulation.nodes[leader].core.stats;
    let (in_responses, called) = (
        stats.total(Work::StartInResponse),
        stats.total(Work::StartByCall),
    );
    assert_eq!(simulation.counters.starts, 300);
    assert!(
        in_responses > 250 && called < 50,
        "{in_responses} in responses, {called} by direct calls"
    );
}

#[test]
fn workers_spread_evenly_and_stay() {
    let (mut simulation, leader) = delegating_cluster(502, 200);
    move_workers_to(&mut simulation, leader);
    simulation.run(30.0);
    let even = workers_per_node(&simulation);
    let (own, others): (Vec<_>, Vec<_>) = even.iter().partition(|(n, _)| **n == leader);
    assert!(own.iter().all(|(_, n)| **n < 50), "{even:?}");
    assert!(others.iter().all(|(_, n)| **n > 60), "{even:?}");
    simulation.run(20.0);
    assert_eq!(
        workers_per_node(&simulation),
        even,
        "workers move although they are spread evenly"
    );
    assert_eq!(simulation.workers.len(), 200);
}

/// Guards against a takeover after which every worker searches for the new leader, and the leader has to
/// query every machine.
#[test]
fn takeover_keeps_workers_in_place_and_known() {
    let (mut simulation, leader) = delegating_cluster(503, 300);
    simulation.submit(leader, &unlimited_job("wk-1", 100, 1.0, 300));
    simulation.run(12.0);
    let workers_of = |simulation: &Simulation, n: usize| -> Vec<MachineId> {
        let workers = simulation.workers.iter().filter(|(_, m)| m.node == n);
        workers.map(|(id, _)| id.clone()).collect()
    };
    let others: Vec<(usize, Vec<MachineId>)> = (0..3)
        .filter(|n| *n != leader)
        .map(|n| (n, workers_of(&simulation, n)))
        .collect();
    let starts = simulation.counters.starts;
    simulation.kill(leader, Duration::from_secs(30));
    let next = simulation.run_until_other_leader(leader, 5.0);
    simulation.run_until(1.0, "all machines known", |simulation| {
        (simulation.nodes[next].core.leader.as_ref()).is_some_and(|l| l.recovery.is_complete())
    });
    simulation.run(5.0);
    for (n, before) in others {
        let remaining = before
            .iter()
            .filter(|id| simulation.workers[*id].node == n)
            .count();
        assert!(
            remaining * 10 >= before.len() * 9,
            "{remaining} of {} workers stay with {n}",
            before.len()
        );
    }
    assert_eq!(
        simulation.counters.starts, starts,
        "no task is started again"
    );
}

/// After a restart of all controllers no controller knows any worker. Guards against a new leader that
/// queries all workers alone.
#[test]
fn restarted_controllers_share_worker_polling() {
    let (mut simulation, _) = delegating_cluster(510, 600);
    simulation.run(6.0);
    // Workers send no heartbeats for a while, so that the leader learns of them only by querying them.
    let later = simulation.now + Duration::from_secs(8);
    for n in 0..3 {
        simulation.kill(n, Duration::from_secs(2));
    }
    simulation
        .workers
        .values_mut()
        .for_each(|m| m.next_heartbeat = later);
    simulation.run_until(8.0, "a leader", |simulation| simulation.leader().is_some());
    let leader = simulation.leader().unwrap();
    simulation.run_until(3.0, "all machines known", |simulation| {
        (simulation.nodes[leader].core.leader.as_ref()).is_some_and(|l| l.recovery.is_complete())
    });
    for n in 0..3 {
        assert!(
            simulation.nodes[n].direct_calls > 80,
            "{n}: {}",
            simulation.nodes[n].direct_calls
        );
    }
}

/// Guards against a submission that is forwarded to a paused leader and waits until that call times out.
#[test]
fn submission_not_forwarded_to_unresponsive_leader() {
    let (mut simulation, leader) = delegating_cluster(511, 30);
    simulation.nodes[leader].paused = true;
    simulation.run(1.0);
    let before = simulation.now;
    let other = (leader + 1) % 3;
    assert_eq!(
        simulation.submit(other, &unlimited_job("wk-1", 4, 1.0, 3)),
        201
    );
    assert!(simulation.now - before < Duration::from_millis(300));
    simulation.run(1.0);
    simulation.nodes[leader].paused = false;
    simulation.run_until_done("wk-1", 20.0);
    assert_eq!(
        (simulation.workers.len(), simulation.counters.starts),
        (30, 4)
    );
}

/// Returns a cluster of three controllers with four machines, each with a replica of the service `wk-1`; its leader; and
/// the follower that serves all four workers.
fn follower_with_replicas(seed: u64) -> (Simulation, usize, usize) {
    let (mut simulation, leader) = delegating_cluster(seed, 4);
    let follower = (leader + 1) % 3;
    let mut service = unlimited_job("wk-1", 4, 2.0, 0);
    service.job_kind = JobKind::Service;
    simulation.submit(leader, &service);
    simulation.run_until(5.0, "replicas", |simulation| {
        simulation.placements("wk-1").len() == 4
    });
    move_workers_to(&mut simulation, follower);
    simulation.run(5.0);
    (simulation, leader, follower)
}

/// A follower that is cut off from the leader answers heartbeats until its grant expires. Guards against a
/// leader that expires the workers' leases too early, by the last heartbeats that it has received itself.
#[test]
fn possibly_renewed_lease_not_expired() {
    for answered_after in [1.4, 1.7, 2.0, 2.3, 2.6] {
        let (mut simulation, leader, other) = follower_with_replicas(504);
        assert!(delegated_responses(&simulation, leader) > 0);
        // The leader and the follower lose contact just after the follower's grant was renewed, on a
        // leadership lease that was itself just renewed. The leader cannot delete the machines either.
        let grant = |simulation: &Simulation| {
            simulation.nodes[other]
                .core
                .relay
                .grant()
                .map(|g| g.expires_at)
        };
        simulation.run_until(3.0, "a fresh grant", |simulation| {
            grant(simulation).is_some_and(|t| t > simulation.now + Duration::from_millis(2500))
        });
        simulation.faults.cloud_down = true;
        simulation.nodes[other].peers_reachable = false;
        // Each worker sends one more heartbeat and then runs on without reaching any controller.
        let at = simulation.now + Duration::from_secs_f64(answered_after);
        simulation
            .workers
            .values_mut()
            .for_each(|m| m.next_heartbeat = at);
        simulation.run(answered_after + 0.1);
        simulation
            .workers
            .values_mut()
            .for_each(|m| m.partitioned_from.extend(0..3));
        // Other machines have capacity for their tasks.
        for _ in 0..4 {
            simulation.add_machine("small", "a");
        }
        simulation.run(40.0);
        assert_eq!(simulation.placements("wk-1").len(), 4);
    }
}

/// A follower answers workers while its batches to the leader are lost, and the workers reach no controller afterwards.
fn workers_answered_before_a_lost_batch() {
    for answered_after in [2.0, 2.2, 2.4, 2.6] {
        let (mut simulation, leader, other) = follower_with_replicas(505);
        let delay_next_heartbeat = |simulation: &mut Simulation, seconds: f64| {
            let at = simulation.now + Duration::from_secs_f64(seconds);
            let workers = simulation.workers.values_mut();
            workers.for_each(|m| m.next_heartbeat = at);
        };
        // All workers are answered at the same time, and once more just before they reach no controller.
        delay_next_heartbeat(&mut simulation, 0.0);
        simulation.run(0.5);
        assert!(delegated_responses(&simulation, leader) > 0);
        delay_next_heartbeat(&mut simulation, answered_after - 0.5);
        simulation.run(answered_after - 1.0);
        simulation.faults.cloud_down = true;
        simulation.nodes[other].peers_reachable = false;
        simulation.run(0.7);
        let workers = simulation.workers.values_mut();
        workers.for_each(|m| m.partitioned_from.extend(0..3));
        simulation.nodes[other].peers_reachable = true;
        // Other machines have capacity for their tasks.
        for _ in 0..4 {
            simulation.add_machine("small", "a");
        }
        simulation.run(40.0);
        assert_eq!(simulation.placements("wk-1").len(), 4);
    }
}

/// Guards against tasks that run twice: the follower forgot which workers it had answered when the batch that said so
/// got no response, and the leader took their leases for expired. The follower's repeated report suffices, without the
/// leader's precaution against followers of earlier versions.
#[test]
fn answers_in_a_lost_batch_renew_leases() {
    workers_answered_before_a_lost_batch();
    let failure = failure_without(
        Safeguard::MissingBatchRenewal,
        workers_answered_before_a_lost_batch,
    );
    assert_eq!(failure, None);
}

/// Workers of a paused controller wait 4 s for a response before they switch to another controller. Guards
/// against a leader that declares them dead meanwhile, because other machines in their zones are heard.
#[test]
fn paused_controller_workers_not_declared_dead() {
    let (mut simulation, leader) = delegating_cluster(512, 60);
    simulation.run(10.0);
    let other = (leader + 1) % 3;
    assert!(workers_per_node(&simulation)[&other] > 10);
    simulation.nodes[other].paused = true;
    simulation.run(12.0);
    assert_eq!(simulation.workers.len(), 60);
    simulation.nodes[other].paused = false;
    simulation.run(5.0);
    assert_eq!(simulation.workers.len(), 60);
}

/// When a grant has expired, the leader considers none of its workers delegated any more. Guards against a
/// follower that keeps its delegations until it gets another grant: it would answer workers alone of which
/// the leader then never learns.
#[test]
fn expired_grant_drops_delegations() {
    let (mut simulation, leader) = delegating_cluster(513, 60);
    simulation.run(10.0);
    let other = (leader + 1) % 3;
    let workers: Vec<MachineId> = (simulation.workers.iter())
        .filter(|(_, m)| m.node == other)
        .map(|(id, _)| id.clone())
        .collect();
    assert!(workers.len() > 10);
    // Long enough for its workers to switch to other controllers before they come back.
    simulation.nodes[other].peers_reachable = false;
    simulation.run(8.0);
    simulation.nodes[other].peers_reachable = true;
    for id in &workers {
        simulation.workers.get_mut(id).unwrap().node = other;
    }
    simulation.run(12.0);
    assert_eq!(simulation.workers.len(), 60);
}

/// Guards against relayed heartbeats that, with short heartbeat intervals, arrive 0.4 s late and make each
/// zone seem cut off again and again, so that no dead machine is ever deleted.
#[test]
fn dead_machine_deleted_despite_delegated_heartbeats() {
    let (mut simulation, leader) = delegating_cluster(514, 60);
    simulation.run(10.0);
    simulation.submit(leader, &unlimited_job("wk-1", 30, 2.0, 20));
    simulation.run(2.0);
    let dead = simulation.placements("wk-1")[0].0.clone();
    simulation.workers.get_mut(&dead).unwrap().hung = true;
    simulation.run_until(6.0, "the machine is deleted", |simulation| {
        !simulation.workers.contains_key(&dead)
    });
    simulation.run_until_done("wk-1", 40.0);
}

#[test]
fn pending_commands_revoke_delegation() {
    let (mut simulation, leader) = delegating_cluster(505, 12);
    simulation.run(6.0);
    let delegated = |simulation: &Simulation| {
        let lead = simulation.nodes[leader].core.leader.as_ref().unwrap();
        lead.machines
            .values()
            .filter(|m| m.delegated_to.is_some())
            .count()
    };
    assert!(delegated(&simulation) > 4);
    // Direct commands are held back, so tasks are started in responses to heartbeats. Only the leader can
    // give such responses.
    simulation.faults.hold_commands = true;
    simulation.submit(leader, &unlimited_job("wk-1", 48, 1.0, 4));
    simulation.run(1.2);
    assert_eq!(delegated(&simulation), 0);
    simulation.run_until_done("wk-1", 30.0);
    simulation.faults.hold_commands = false;
    simulation.release_held();
    simulation.run(8.0);
    assert!(delegated(&simulation) > 4);
    assert_eq!(simulation.counters.starts, 48);
}

#[test]
fn leader_unreachable_by_workers_steps_down() {
    let (mut simulation, leader) = delegating_cluster(506, 40);
    for m in simulation.workers.values_mut() {
        m.partitioned_from.insert(leader);
    }
    simulation.run(5.0);
    // The leader notices that the workers do not reach it only when it has commands for them.
    simulation.submit(leader, &unlimited_job("wk-1", 120, 1.0, 3));
    simulation.run_until_other_leader(leader, 12.0);
    simulation.run_until_done("wk-1", 30.0);
    assert_eq!(simulation.workers.len(), 40);
}

#[test]
fn controller_failure_loses_no_machine() {
    for partitioned in [false, true] {
        let (mut simulation, leader) = delegating_cluster(507, 30);
        let other = (leader + 1) % 3;
        move_workers_to(&mut simulation, other);
        simulation.submit(leader, &unlimited_job("wk-1", 30, 2.0, 25));
        simulation.run(4.0);
        if partitioned {
            simulation.nodes[other].peers_reachable = false;
        } else {
            simulation.kill(other, Duration::from_secs(20));
        }
        simulation.run_until_done("wk-1", 60.0);
        assert_eq!(
            (simulation.workers.len(), simulation.counters.starts),
            (30, 30),
            "partitioned: {partitioned}"
        );
    }
}

/// Guards against delayed messages from before a delegate's restart that are taken for current ones after
/// it.
#[test]
fn restarted_controller_has_no_delegations() {
    let (mut simulation, leader) = delegating_cluster(508, 30);
    let other = (leader + 1) % 3;
    move_workers_to(&mut simulation, other);
    simulation.submit(leader, &unlimited_job("wk-1", 30, 2.0, 30));
    simulation.run(5.0);
    simulation.kill(other, Duration::from_millis(300));
    simulation.run(0.6);
    move_workers_to(&mut simulation, other);
    simulation.run(10.0);
    simulation.run_until_done("wk-1", 60.0);
    assert_eq!(
        (simulation.workers.len(), simulation.counters.starts),
        (30, 30)
    );
}

/// Controllers without delegation, by version or by setting, drop or refuse its messages. Controllers of
/// both kinds may become leader in turn.
#[test]
fn delegating_and_non_delegating_controllers_interoperate() {
    for leader_delegates in [true, false] {
        let mut simulation = Simulation::with_policy(509, policy(leader_delegates));
        simulation.policy = policy(!leader_delegates).into();
        simulation.add_machines("small", 4);
        // Two of the three controllers are restarted with the other setting.
        simulation.kill(1, Duration::from_millis(200));
        simulation.kill(2, Duration::from_millis(200));
        let first = simulation.run_until_leader(4.0);
        simulation.submit(first, &unlimited_job("wk-1", 8, 2.0, 5));
        simulation.run_until_done("wk-1", 30.0);
        for n in 0..3 {
            simulation.kill(n, Duration::from_secs(4));
            simulation.run(3.0);
            let id = format!("wk-2{n}");
            simulation.run_until(10.0, "a leader", |simulation| simulation.leader().is_some());
            let leader = simulation.leader().unwrap();
            simulation.submit(leader, &unlimited_job(&id, 8, 2.0, 5));
            simulation.run_until_done(&id, 40.0);
        }
        assert_eq!(
            (simulation.workers.len(), simulation.counters.starts),
            (4, 32)
        );
    }
}

#[test]
fn metrics_show_workers_per_controller() {
    let (mut simulation, leader) = delegating_cluster(515, 90);
    simulation.run(20.0);
    for node in 0..3 {
        let now = Now {
            mono: simulation.now,
            wall: std::time::SystemTime::UNIX_EPOCH + Duration::from_secs(1_700_000_000),
        };
        let command = Command::Metrics {
            ticket: u64::MAX,
            queue_lengths: [1, 2, 3],
        };
        let effects = simulation.nodes[node].core.step(now, vec![command]);
        let body = effects.into_iter().find_map(|e| match e {
            Effect::Response { ticket, response } if ticket == u64::MAX => Some(response.body),
            _ => None,
        });
        let text = String::from_utf8(body.unwrap()).unwrap();
        let value = |name: &str| -> f64 {
            let line = text.lines().find_map(|l| l.strip_prefix(name));
            let line = line.unwrap_or_else(|| panic!("{name} is not in\n{text}"));
            line.trim().parse().unwrap()
        };
        let leads = f64::from(u8::from(node == leader));
        assert_eq!(value("burlusher_leads "), leads);
        assert_eq!(value("burlusher_queue{lane=\"reports\"} "), 3.0);
        assert!(text.ends_with("# EOF\n"));
        if node == leader {
            let served: f64 = (0..3)
                .map(|n| value(&format!("burlusher_workers{{node=\"n{n}\"}} ")))
                .sum();
            assert_eq!(served, 90.0);
            assert!(value("burlusher_reports_answered_by_others_total ") > 100.0);
            assert_eq!(
                value(&format!(
                    "burlusher_members{{node=\"n{}\"}} ",
                    (leader + 1) % 3
                )),
                2.0
            );
        } else {
            assert!(value("burlusher_grant_seconds ") > 1.0);
        }
    }
}
