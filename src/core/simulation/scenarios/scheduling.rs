//! Order, placement and start times of jobs.

use super::{eight_machines, four_machines, thousand_machines, unlimited_job};
use crate::core::simulation::{Simulation, fails_without};
use crate::fault_injection::Safeguard;
use crate::job::{JobKind, MachineId, Priority, sample};
use crate::policy::Policy;
use std::time::Duration;

#[test]
fn service_keeps_replicas_until_cancelled() {
    let (mut simulation, leader) = four_machines(20);
    let mut spec = sample("wk-1", 3, 2.0, 0);
    spec.job_kind = JobKind::Service;
    spec.spread = true;
    simulation.submit(leader, &spec);
    simulation.run(4.0);
    assert_eq!(simulation.placements("wk-1").len(), 3);
    let id = simulation.placements("wk-1")[0].0.clone();
    simulation.workers.get_mut(&id).unwrap().hung = true;
    simulation.run(14.0);
    assert_eq!(simulation.placements("wk-1").len(), 3);
    assert_eq!(simulation.cancel(leader, "wk-1").0, 200);
    simulation.run(5.0);
    assert!(simulation.placements("wk-1").is_empty());
}

#[test]
fn gang_starts_and_restarts_as_a_whole() {
    let (mut simulation, leader) = four_machines(24);
    simulation.submit(leader, &sample("wk-9", 1, 4.0, 6));
    simulation.run(1.0);
    simulation.capacity.clear();
    let mut gang = sample("wk-1", 4, 4.0, 15);
    gang.job_kind = JobKind::Gang;
    assert_eq!(simulation.submit(leader, &gang), 201);
    simulation.run(2.0);
    // Three machines are free, but four are needed.
    assert!(simulation.placements("wk-1").is_empty());
    simulation.run_until(10.0, "all four start", |simulation| {
        simulation.placements("wk-1").len() == 4
    });
    let attempts: std::collections::BTreeSet<u64> = simulation
        .workers
        .values()
        .flat_map(|m| &m.tasks)
        .filter(|(k, _)| &*k.job == "wk-1")
        .map(|(_, t)| t.attempt)
        .collect();
    assert_eq!(attempts.len(), 1);
    simulation.run(2.0);
    let id = simulation.placements("wk-1")[0].0.clone();
    simulation.workers.remove(&id);
    simulation.run(15.0);
    assert!(simulation.placements("wk-1").is_empty());
    simulation.add_machine("small", "a");
    simulation.run_until_done("wk-1", 60.0);
}

#[test]
fn large_guaranteed_and_low_priority_jobs_all_run() {
    let (mut simulation, leader) = four_machines(21);
    simulation.capacity.clear();
    // Small jobs arrive continuously; they must not starve a task that needs a whole machine.
    let mut n = 100;
    let mut submit_small_job = |simulation: &mut Simulation, team: &str, tasks: u32| {
        n += 1;
        let mut spec = sample(&format!("wk-{n}"), tasks, 1.0, 4);
        spec.team = team.into();
        simulation.submit(leader, &spec);
    };
    for _ in 0..4 {
        submit_small_job(&mut simulation, "t", 8);
    }
    simulation.submit(leader, &sample("wk-1", 1, 4.0, 4));
    let mut low = sample("wk-2", 1, 1.0, 4);
    low.priority = Priority::Low;
    simulation.submit(leader, &low);
    let mut guaranteed = sample("wk-3", 2, 4.0, 4);
    guaranteed.team = "u".into();
    let submitted_at = simulation.now;
    simulation.submit(leader, &guaranteed);
    simulation.run_until_done("wk-3", 25.0);
    assert!(simulation.now - submitted_at < Duration::from_secs(15));
    for _ in 0..6 {
        submit_small_job(&mut simulation, "t", 4);
        simulation.run(2.0);
    }
    simulation.run_until_done("wk-1", 60.0);
    // No further jobs arrive, so the low-priority job gets capacity.
    simulation.run_until_done("wk-2", 60.0);
}

/// Guards against a fault found in the first larger runs: each step rebuilt the leader's data on every machine and
/// task, which took most of the leader's time.
#[test]
fn step_cost_with_thousand_machines_follows_changes() {
    let (mut simulation, leader) = thousand_machines(25, "large");
    let inspected = |simulation: &Simulation| {
        let leader_state = simulation.nodes[leader].core.leader.as_ref().unwrap();
        leader_state.cluster_snapshot.inspected()
    };
    let long_job = |id: &str, tasks, seconds| {
        let mut spec = sample(id, tasks, 4.0, seconds);
        spec.team = "u".into();
        spec
    };
    // Tasks that outlast this scenario take all but one of two thousand slots.
    simulation.submit(leader, &long_job("wk-1", 1999, 600));
    simulation.run(6.0);
    assert_eq!(simulation.placements("wk-1").len(), 1999);

    // At least one planning and one provisioning step a second run without anything to do: machines whose
    // heartbeats show no change are not inspected.
    let (inspected_before, heartbeats) = (inspected(&simulation), simulation.counters.heartbeats);
    simulation.run(3.0);
    assert!(simulation.counters.heartbeats - heartbeats > 2000);
    let inspections = inspected(&simulation) - inspected_before;
    assert!(
        inspections < 100,
        "{inspections} inspections for unchanged heartbeats"
    );

    // One more task gets the one free slot without a search through all machines.
    let inspected_before = inspected(&simulation);
    simulation.submit(leader, &long_job("wk-2", 1, 600));
    simulation.run(1.0);
    assert_eq!(simulation.placements("wk-2").len(), 1);
    let inspections = inspected(&simulation) - inspected_before;
    assert!(inspections < 100, "{inspections} inspections for one task");

    // A queue of hundreds of tasks that fit nowhere: only task ends within the tasks' `patience` are inspected,
    // of which there are none, and no machine is inspected.
    simulation.submit(leader, &long_job("wk-3", 500, 600));
    simulation.run(1.0);
    let inspected_before = inspected(&simulation);
    simulation.run(3.0);
    let inspections = inspected(&simulation) - inspected_before;
    assert!(
        inspections < 200,
        "{inspections} inspections for a queue that must wait"
    );
}

/// Guards against a fault found in the first larger runs: each of a thousand machines was recorded by a change of its
/// own in the state service, and meanwhile no jobs could be accepted.
#[test]
fn thousand_machines_recorded_in_few_changes() {
    let (mut simulation, leader) = thousand_machines(26, "small");
    let leader_state = simulation.nodes[leader].core.leader.as_ref().unwrap();
    assert!(leader_state.machines.values().all(|m| m.recorded));
    assert!(
        simulation.change_count() < 100,
        "{} changes",
        simulation.change_count()
    );
    // The next leader knows all machines, and receives heartbeats of all of them.
    simulation.kill(leader, Duration::from_secs(60));
    simulation.run_until(10.0, "another leader", |simulation| {
        simulation.leader().is_some()
    });
    let leader = simulation.leader().unwrap();
    let leader_state = simulation.nodes[leader].core.leader.as_ref().unwrap();
    assert_eq!(leader_state.machines.values().count(), 1000);
    simulation.run_until(5.0, "all machines known", |simulation| {
        let leader_state = simulation.nodes[leader].core.leader.as_ref();
        leader_state.is_some_and(|l| l.recovery.is_complete())
    });
}

/// Jobs that are bound to a zone, spread over two zones or kept in one zone lose machines, with or without a failure
/// of the leader; some of the machines fail and others are only partitioned. The simulation checks each start
/// against the zones of the job's other tasks.
#[test]
fn zone_bound_jobs_restart_where_allowed() {
    for leader_fails in [true, false] {
        let (mut simulation, leader) = eight_machines(990);
        let spec = |n: u32, tasks| unlimited_job(&format!("wk-{n:06}"), tasks, 2.0, 25);
        let mut bound = spec(1, 4);
        bound.zone = Some("b".into());
        let mut one_zone = spec(2, 4);
        one_zone.one_zone = true;
        let mut spread = spec(3, 5);
        spread.spread = true;
        for spec in [&bound, &one_zone, &spread] {
            assert_eq!(simulation.submit(leader, spec), 201);
        }
        simulation.run(3.0);
        let affected: Vec<MachineId> = (1..4)
            .filter_map(|n| {
                Some(
                    simulation
                        .placements(&format!("wk-{n:06}"))
                        .first()?
                        .0
                        .clone(),
                )
            })
            .collect();
        assert!(!affected.is_empty());
        for (n, id) in affected.iter().enumerate() {
            match n {
                0 => {
                    simulation.workers.remove(id);
                }
                _ => {
                    if let Some(m) = simulation.workers.get_mut(id) {
                        m.partitioned_from = (0..3).collect();
                    }
                }
            }
        }
        simulation.faults.cloud_down = leader_fails;
        if leader_fails {
            simulation.kill(leader, Duration::from_secs(3));
        }
        simulation.run(14.0);
        simulation.faults.cloud_down = false;
        simulation.heal_worker_partitions();
        for n in 1..4 {
            simulation.run_until_done(&format!("wk-{n:06}"), 120.0);
        }
    }
}

/// Submits more high-priority jobs than there is capacity for. Low-priority jobs, on machine types that are expensive
/// for them, still get free capacity that fits: no job waits for 90 s while a machine has capacity for it.
fn overload_with_high_priority_jobs() {
    crate::core::simulation::enable_log();
    let policy = "delegate = true\nidle_keep = 600";
    let mut simulation = Simulation::with_policy(1001, Policy::parse("room", policy).unwrap());
    simulation.capacity.clear();
    simulation.add_machines("small", 3);
    // 2.5 times the price for twice the capacity: expensive for jobs without a deadline or start goal.
    simulation.machine_types[1].price = 9.0;
    simulation.add_machine("large", "a");
    let leader = simulation.run_until_leader(4.0);
    let mut wide = unlimited_job("wk-900001", 2, 4.0, 20);
    (wide.priority, wide.machine_types) = (Priority::Low, Some(vec!["large".into()]));
    let mut low = unlimited_job("wk-900002", 30, 4.0, 20);
    low.priority = Priority::Low;
    let mut n = 0;
    for round in 0..70 {
        n += 1;
        let mut high = unlimited_job(&format!("wk-{n:06}"), 3, 4.0, 4);
        high.priority = Priority::High;
        high.machine_types = Some(vec!["small".into()]);
        simulation.submit(leader, &high);
        if round == 3 {
            assert_eq!(simulation.submit(leader, &wide), 201);
            assert_eq!(simulation.submit(leader, &low), 201);
        }
        simulation.run(1.8);
    }
    assert!(
        !simulation.placements("wk-900002").is_empty()
            || simulation.any_task_completed("wk-900002")
    );
}

#[test]
fn no_job_starves_while_machine_has_capacity() {
    overload_with_high_priority_jobs();
    fails_without(
        Safeguard::OverdueFirst,
        "waits for 90 s while",
        overload_with_high_priority_jobs,
    );
}

/// Runs a one-zone job of which a task may be on either of two machines. The zones of both machines count for the
/// placement of the job's other tasks.
fn one_zone_job_with_uncertain_task() {
    let policy = Policy::parse("zones", "idle_keep = 600").unwrap();
    let mut simulation = Simulation::with_policy(1360, policy);
    simulation.capacity.clear();
    let first = simulation.add_machine("small", "b");
    let leader = simulation.run_until_leader(4.0);
    let mut spec = unlimited_job("wk-000001", 2, 4.0, 12);
    spec.one_zone = true;
    assert_eq!(simulation.submit(leader, &spec), 201);
    simulation.run(1.0);
    assert_eq!(simulation.placements("wk-000001")[0].0, first);
    let other = simulation.add_machine("small", "a");
    simulation.run(2.0);
    assert_eq!(
        simulation.placements("wk-000001").len(),
        1,
        "the job's zone has no capacity for the second task"
    );
    // As after an old heartbeat: the task is recorded on that heartbeat's machine as well as where it really runs.
    let leader_state = simulation.nodes[leader].core.leader.as_mut().unwrap();
    let run = leader_state.job_runs.get_mut("wk-000001").unwrap();
    let index = *run.tasks.assigned().keys().next().unwrap();
    run.tasks.release(index);
    run.tasks.assign(index, &other);
    run.tasks.assign(index, &first);
    leader_state.scheduler.plan_at_once();
    simulation.run(0.3);
    simulation.run_until_done("wk-000001", 60.0);
}

#[test]
fn possible_task_zone_counts_for_one_zone_job() {
    one_zone_job_with_uncertain_task();
    fails_without(
        Safeguard::PossibleTaskZones,
        "apart from",
        one_zone_job_with_uncertain_task,
    );
}

/// Submits high-priority jobs without end, more than their team's limit allows. A low-priority job of the same team
/// starts within four minutes.
fn low_priority_job_behind_full_team_limit() {
    let (mut simulation, leader) = eight_machines(1370);
    let mut low = sample("wk-900001", 4, 4.0, 5);
    low.priority = Priority::Low;
    let mut submitted = None;
    for n in 0..560u32 {
        let mut high = sample(&format!("wk-{n:06}"), 1, 4.0, 8);
        high.priority = Priority::High;
        simulation.submit_without_waiting(leader, &high);
        simulation.register_job(&high);
        simulation.run(0.6);
        if n == 117 {
            assert_eq!(simulation.submit(leader, &low), 201);
            submitted = Some(simulation.now);
        }
        let started = !simulation.placements("wk-900001").is_empty()
            || simulation.any_task_completed("wk-900001");
        if let Some(at) = submitted {
            let waited = simulation.now - at;
            assert!(
                started || waited < Duration::from_secs(240),
                "the low-priority job has not started"
            );
        }
    }
}

#[test]
fn low_priority_job_starts_behind_full_team_limit() {
    low_priority_job_behind_full_team_limit();
    fails_without(
        Safeguard::LongestWaitingFirst,
        "the low-priority job has not started",
        low_priority_job_behind_full_team_limit,
    );
}

/// A job with many large tasks and low priority starts although high-priority jobs keep arriving.
#[test]
fn large_low_priority_job_eventually_starts() {
    let (mut simulation, leader) = eight_machines(69);
    let mut large = unlimited_job("wk-000001", 40, 4.0, 3);
    large.priority = Priority::Low;
    let submitted_at = simulation.now;
    for n in 0..110 {
        let mut small = unlimited_job(&format!("wk-{:06}", n + 2), 8, 4.0, 3);
        small.priority = Priority::High;
        assert_eq!(simulation.submit(leader, &small), 201);
        if n == 3 {
            assert_eq!(simulation.submit(leader, &large), 201);
        }
        simulation.run(2.0);
        if !simulation.placements("wk-000001").is_empty() {
            break;
        }
    }
    let waited = (simulation.now - submitted_at).as_secs();
    assert!(
        waited > 60,
        "the job starts before jobs of higher priority: after {waited} s"
    );
    assert!(waited < 160, "the job starts only after {waited} s");
}
