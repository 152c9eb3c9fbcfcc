//! Cancellations while leadership or workers pass from one controller to another.

use super::{eight_machines, unlimited_job};
use crate::core::simulation::{Link, Setup, Simulation, fails_without};
use crate::fault_injection::Safeguard;
use crate::job::sample;
use crate::policy::Policy;
use crate::wire::DirectCommands;
use std::time::Duration;

/// Every team is at its limit or uses all the capacity there is when jobs are cancelled, with one machine
/// partitioned and one hung. The leader is killed `killed_after_ms` after the cancellations, or before
/// them if that is negative.
fn check_limits_across_leader_change(killed_after_ms: i64) {
    let (mut simulation, leader) = eight_machines(1300);
    let leaderships = simulation.leadership_count();
    bring_teams_to_limits(&mut simulation, leader);
    let machine_of = |simulation: &Simulation, id: &str| simulation.placements(id)[0].0.clone();
    let partitioned = machine_of(&simulation, "wk-000001");
    let hung = machine_of(&simulation, "wk-000002");
    simulation.faults.cloud_down = true;
    simulation.partition_worker(&partitioned);
    simulation.workers.get_mut(&hung).unwrap().hung = true;
    if killed_after_ms < 0 {
        simulation.kill(leader, Duration::from_secs(1));
        simulation.run(-killed_after_ms as f64 / 1000.0);
    }
    cancel_until_confirmed(&mut simulation);
    simulation.run(killed_after_ms.max(0) as f64 / 1000.0);
    if killed_after_ms >= 0 {
        simulation.kill(leader, Duration::from_secs(1));
    }
    simulation.run_until(15.0, "a new leadership", |simulation| {
        simulation.leader().is_some() && simulation.leadership_count() > leaderships
    });
    submit_to_next_leader(&mut simulation);
    assert_eq!(
        simulation.placements("wk-000001").len(),
        1,
        "the task on the partitioned machine still runs"
    );
    simulation.run(3.0);
    simulation.workers.get_mut(&hung).unwrap().hung = false;
    simulation.run(4.0);
    let partitioned = simulation.workers.get_mut(&partitioned).unwrap();
    partitioned.partitioned_from.clear();
    simulation.faults.cloud_down = false;
    for n in 11..=17 {
        simulation.run_until_done(&format!("wk-{n:06}"), 120.0);
    }
}

/// Submits jobs until both teams use all that they may, with further tasks queued.
fn bring_teams_to_limits(simulation: &mut Simulation, leader: usize) {
    let mut submit = |spec| assert_eq!(simulation.submit(leader, &spec), 201);
    for n in 1..=6 {
        submit(sample(&format!("wk-{n:06}"), 1, 4.0, 100));
    }
    for n in 7..=8 {
        submit(unlimited_job(&format!("wk-{n:06}"), 1, 4.0, 100));
    }
    simulation.run(3.0);
    let mut submit = |spec| assert_eq!(simulation.submit(leader, &spec), 201);
    submit(sample("wk-000011", 1, 4.0, 5));
    submit(unlimited_job("wk-000017", 2, 4.0, 5));
    simulation.run(1.0);
    assert!(
        simulation.placements("wk-000011").is_empty(),
        "team t is at its limit"
    );
}

/// Cancels four jobs, and repeats the requests until each cancellation is confirmed.
fn cancel_until_confirmed(simulation: &mut Simulation) {
    let cancelled = ["wk-000001", "wk-000002", "wk-000003", "wk-000007"];
    let mut attempts = 0;
    while cancelled
        .iter()
        .any(|id| simulation.reported_final_state(id).is_none())
    {
        for id in cancelled {
            if simulation.reported_final_state(id).is_none() {
                let node = simulation.leader().unwrap_or(0);
                simulation.cancel_without_waiting(node, id);
            }
        }
        simulation.run(0.1);
        attempts += 1;
        assert!(attempts < 200, "not all jobs can be cancelled");
    }
}

/// Submits jobs that the former leader has not seen, so that it cannot have started any of their tasks.
fn submit_to_next_leader(simulation: &mut Simulation) {
    let next_leader = simulation.leader().unwrap();
    for n in 12..=16 {
        let id = format!("wk-{n:06}");
        let mut attempts = 0;
        while !matches!(
            simulation.submit(next_leader, &sample(&id, 1, 4.0, 5)),
            200 | 201
        ) {
            attempts += 1;
            assert!(attempts < 20, "{id} is not accepted");
        }
    }
}

#[test]
fn residual_tasks_count_towards_limit_after_leader_change() {
    for killed_after_ms in [-4000, -3000, 0, 100, 500, 2000] {
        check_limits_across_leader_change(killed_after_ms);
    }
    fails_without(Safeguard::ResidualUsage, "team t uses", || {
        check_limits_across_leader_change(0)
    });
}

/// Ways in which other controllers take over the work of a controller that serves workers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Handover {
    /// Its process is killed and restarted later.
    Killed,
    /// Its process is paused.
    Paused,
    /// It is cut off from the state service and the other controllers, but not from its workers and users.
    Isolated,
    /// Its workers switch to another controller.
    WorkersMoved,
    /// It is the leader and releases its lease.
    Resigns,
    /// It is the leader, and the state service refuses its requests.
    Refused,
}

impl Handover {
    /// Returns whether the handover concerns the leader rather than a follower.
    fn affects_leader(self) -> bool {
        matches!(self, Handover::Resigns | Handover::Refused)
    }

    /// Starts the handover of the work of the controller `node`.
    fn inject(self, simulation: &mut Simulation, node: usize) {
        match self {
            Handover::Killed => simulation.kill(node, Duration::from_secs(20)),
            Handover::Paused => simulation.nodes[node].paused = true,
            Handover::Isolated => {
                simulation.nodes[node].store_link = Link::Held;
                simulation.nodes[node].peers_reachable = false;
                for worker in simulation.workers.values_mut() {
                    worker.partitioned_from = (0..3).filter(|n| *n != node).collect();
                }
                simulation.faults.hold_commands = true;
            }
            Handover::WorkersMoved => {
                for worker in simulation.workers.values_mut() {
                    worker.node = (node + 1) % 3;
                }
            }
            Handover::Resigns => simulation.nodes[node].core.resign("another one is to lead"),
            Handover::Refused => simulation.nodes[node].store_link = Link::Refused,
        }
    }
}

const HANDOVER_JOBS: u32 = 12;

fn job_id(number: u32) -> String {
    format!("wk-{number:06}")
}

/// Cancels jobs one after the other around a handover, each through a random controller. Returns the
/// number of cancellations that were confirmed after the handover began while tasks of the job still ran.
fn cancel_around_handover(handover: Handover, delegate: bool) -> u32 {
    let (mut simulation, from) = cluster_before_handover(handover, delegate);
    let started_at = simulation.now;
    let mut confirmed_early = 0;
    let mut handover_injected = false;
    for tick in 0..160 {
        let elapsed = simulation.now - started_at;
        if elapsed >= Duration::from_secs(1) && !handover_injected {
            handover_injected = true;
            handover.inject(&mut simulation, from);
        }
        cancel_due_jobs(&mut simulation, tick, elapsed);
        let confirmed = simulation.checker.cancelled_at.len();
        simulation.tick();
        if simulation.checker.cancelled_at.len() > confirmed && handover_injected {
            confirmed_early += confirmed_now_with_tasks(&simulation);
        }
    }
    // By the end of this time every confirmed cancellation has to be carried out; the simulation checks it.
    simulation.run(14.0);
    heal_after_handover(&mut simulation, from);
    cancel_remaining_jobs(&mut simulation);
    simulation.run(14.0);
    assert_eq!(
        simulation.counters.late_starts, 0,
        "started after the cancellation was confirmed"
    );
    confirmed_early
}

/// Returns a cluster in which all jobs run, and the controller that all workers send heartbeats to.
fn cluster_before_handover(handover: Handover, delegate: bool) -> (Simulation, usize) {
    let policy = format!("delegate = {delegate}\nidle_keep = 600");
    let setup = Setup {
        nodes: 3,
        // A worker's lease, the time for which a leader may act on its last lease renewal, and a margin.
        cancellation_limit: Duration::from_millis(13_700),
    };
    let policy = Policy::parse("handover", &policy).unwrap();
    let mut simulation = Simulation::with_setup(1310, policy, setup);
    simulation.capacity.clear();
    simulation.add_machines("small", 12);
    let leader = simulation.run_until_leader(4.0);
    for n in 0..HANDOVER_JOBS {
        let spec = unlimited_job(&job_id(n), 1, 4.0, 200);
        assert_eq!(simulation.submit(leader, &spec), 201);
    }
    let from = if handover.affects_leader() {
        leader
    } else {
        (leader + 1) % 3
    };
    simulation.workers.values_mut().for_each(|m| m.node = from);
    simulation.run(3.0);
    (simulation, from)
}

/// Cancels each job that is due, one job every 400 ms, and repeats the request every fourth tick until
/// the cancellation is confirmed.
fn cancel_due_jobs(simulation: &mut Simulation, tick: u32, elapsed: Duration) {
    for n in 0..HANDOVER_JOBS {
        let is_due = elapsed >= Duration::from_millis(400 * u64::from(n)) && tick % 4 == n % 4;
        if is_due && simulation.reported_final_state(&job_id(n)).is_none() {
            let node = simulation.random(3);
            simulation.cancel_without_waiting(node, &job_id(n));
        }
    }
}

/// Returns the number of jobs whose cancellation was confirmed in this tick and whose tasks still run.
fn confirmed_now_with_tasks(simulation: &Simulation) -> u32 {
    let confirmed_at = &simulation.checker.cancelled_at;
    let confirmed_now = (0..HANDOVER_JOBS)
        .map(job_id)
        .filter(|id| confirmed_at.get(id) == Some(&simulation.now));
    let running = confirmed_now.filter(|id| !simulation.placements(id).is_empty());
    running.count() as u32
}

fn heal_after_handover(simulation: &mut Simulation, node: usize) {
    simulation.nodes[node].paused = false;
    simulation.nodes[node].store_link = Link::Good;
    simulation.nodes[node].peers_reachable = true;
    simulation.heal_worker_partitions();
    simulation.faults.hold_commands = false;
    simulation.release_held();
}

fn cancel_remaining_jobs(simulation: &mut Simulation) {
    for id in (0..HANDOVER_JOBS).map(job_id) {
        let mut attempts = 0;
        while simulation.reported_final_state(&id).is_none() {
            simulation.cancel(attempts % 3, &id);
            attempts += 1;
            assert!(attempts < 60, "{id} cannot be cancelled");
        }
    }
}

#[test]
fn cancellations_around_handover_finish_in_time() {
    use Handover::{Isolated, Killed, Paused, Refused, Resigns, WorkersMoved};
    let mut confirmed_early = 0;
    for handover in [Killed, Paused, Isolated, WorkersMoved, Resigns, Refused] {
        for delegate in [true, false] {
            confirmed_early += cancel_around_handover(handover, delegate);
        }
    }
    assert!(
        confirmed_early > 10,
        "only {confirmed_early} cancellations were confirmed while tasks still ran"
    );
    for (safeguard, handover) in [
        (Safeguard::StopEndedJobs, WorkersMoved),
        (Safeguard::GrantExpiry, Isolated),
    ] {
        fails_without(safeguard, "of a cancelled job is on", || {
            cancel_around_handover(handover, true);
        });
    }
}

/// The leader is cut off from the state service and the other controllers, but not from its workers and
/// users; the job is cancelled through the next leader.
#[test]
fn cancellation_by_next_leader_reaches_old_workers() {
    for commands_held in [false, true] {
        let (mut simulation, old_leader) = eight_machines(960);
        assert_eq!(
            simulation.submit(old_leader, &unlimited_job("wk-000001", 8, 4.0, 200)),
            201
        );
        simulation.run(3.0);
        simulation.workers.values_mut().for_each(|m| {
            m.node = old_leader;
            m.partitioned_from = (0..3).filter(|n| *n != old_leader).collect();
        });
        simulation.faults.hold_commands = commands_held;
        (
            simulation.nodes[old_leader].store_link,
            simulation.nodes[old_leader].peers_reachable,
        ) = (Link::Held, false);
        let mut attempts = 0;
        while simulation.reported_final_state("wk-000001").is_none() {
            assert!(attempts < 40, "no controller confirms the cancellation");
            // The old leader is not asked: it would stop the tasks at once, without being able to confirm.
            for node in (0..3).filter(|n| *n != old_leader) {
                simulation.cancel_without_waiting(node, "wk-000001");
            }
            simulation.run(0.5);
            attempts += 1;
        }
        assert_eq!(
            simulation.placements("wk-000001").len(),
            8,
            "all tasks still run when the cancellation is confirmed"
        );
        assert_ne!(simulation.leader(), Some(old_leader));
        // The simulation fails if the old leader reports another state to its users.
        for _ in 0..10 {
            simulation.show(old_leader, "wk-000001");
            simulation.run(1.0);
        }
        simulation.run(10.0);
        assert!(simulation.placements("wk-000001").is_empty());
    }
}

/// Guards against a team that exceeds its limit after a job was cancelled on unreachable machines and
/// all controllers were restarted, because the tasks left on those machines are not counted.
#[test]
fn possible_residual_tasks_count_towards_limit() {
    let (mut simulation, leader) = eight_machines(86);
    // The job's team has a limit of 24 CPUs.
    assert_eq!(
        simulation.submit(leader, &sample("wk-000001", 5, 4.0, 60)),
        201
    );
    simulation.run(3.0);
    let set_partitioned = |simulation: &mut Simulation, on: bool| {
        for m in simulation
            .workers
            .values_mut()
            .filter(|m| !(on && m.tasks.is_empty()))
        {
            m.partitioned_from = (0..3).filter(|_| on).collect();
        }
    };
    set_partitioned(&mut simulation, true);
    simulation.faults.cloud_down = true;
    assert_eq!(simulation.cancel(leader, "wk-000001").0, 200);
    (0..3).for_each(|n| simulation.kill(n, Duration::from_millis(300)));
    simulation.run_until(8.0, "another leader", |simulation| {
        simulation.leader().is_some()
    });
    let next_leader = simulation.leader().unwrap();
    assert_eq!(
        simulation.submit(next_leader, &sample("wk-000002", 6, 4.0, 3)),
        201
    );
    simulation.run(1.0);
    // The simulation checks the limit; a task that is certain to fit within it starts at once.
    assert_eq!(
        simulation.placements("wk-000001").len(),
        5,
        "the tasks of the cancelled job still run"
    );
    assert_eq!(simulation.placements("wk-000002").len(), 1);
    // The leader receives heartbeats that show tasks of a job which it does not know; no commands reach
    // the machines.
    let token = simulation.nodes[next_leader]
        .core
        .leader
        .as_ref()
        .unwrap()
        .term
        << 20;
    for (id, _) in simulation.placements("wk-000001") {
        let body = DirectCommands {
            fencing_token: token,
            incarnation: simulation.workers[&id].incarnation,
            commands: Vec::new(),
        };
        simulation.execute_direct(&id, &body);
        simulation.workers.get_mut(&id).unwrap().inbound_partitioned = true;
    }
    set_partitioned(&mut simulation, false);
    simulation.run(3.0);
    simulation
        .workers
        .values_mut()
        .for_each(|m| m.inbound_partitioned = false);
    simulation.run_until_done("wk-000002", 40.0);
}
