//! Measurements of takeovers and data losses against the size of the cluster. They take minutes and are
//! ignored in an ordinary test run.
//!
//!     cargo test --release --lib takeovers_against_size -- --ignored --nocapture
//!
//! measures the duration of a takeover and the computing time of the new leader with 300 to 10,000
//! machines, and prints the table in `docs/takeover.csv`, which `cargo run --example plot_takeover` plots.
//!
//!     cargo test --release --lib losses_against_size -- --ignored --nocapture
//!
//! prints the table in `docs/rebuild.csv`: the rebuild after a loss of all data, with the leader killed
//! at the same time or not.

use crate::core::simulation::Simulation;
use crate::job::{JobSpec, sample};
use crate::policy::Policy;
use std::time::{Duration, Instant};

/// Measured takeover. Times count from the moment at which the new leader is found.
struct Measurement {
    /// Time until at most 1 % of the machines are unresolved.
    known_ms: u128,
    /// Time until a task of a newly submitted job starts.
    start_ms: u128,
    /// Time until all tasks run, including those restarted from the hung machine.
    restart_ms: u128,
    /// Time that the new leader had computed by `known_ms`.
    leader_ms: u128,
    /// Number of changes of keys in the store.
    changes: usize,
}

/// Returns a long job of the team without a limit.
fn job_of_unlimited_team(id: &str, tasks: u32) -> JobSpec {
    let mut spec = sample(id, tasks, 1.0, 100_000);
    spec.team = "u".into();
    spec
}

/// Returns a cluster of this many machines, in which no further machine can be provisioned, and its
/// leader.
fn cluster_with_leader(seed: u64, policy: &str, machines: usize) -> (Simulation, usize) {
    let mut simulation = Simulation::with_policy(seed, Policy::parse("scale", policy).unwrap());
    simulation.capacity.clear();
    simulation.add_machines("small", machines);
    let leader = simulation.run_until_leader(5.0);
    (simulation, leader)
}

/// Measures the takeover after the leader is killed and one machine hangs at the same time.
fn measure_takeover(machines: usize, tasks_per_machine: usize, delegate: bool) -> Measurement {
    let policy = format!("delegate = {delegate}");
    let (mut simulation, leader) = cluster_with_leader(7, &policy, machines);
    let total_tasks = machines * tasks_per_machine;
    for n in 0..total_tasks.div_ceil(500) {
        let tasks = 500.min(total_tasks - n * 500) as u32;
        assert_eq!(
            simulation.submit(leader, &job_of_unlimited_team(&format!("wk-{n:06}"), tasks)),
            201
        );
    }
    simulation.run_until(120.0, "all tasks run", |simulation| {
        simulation
            .workers
            .values()
            .map(|m| m.tasks.len())
            .sum::<usize>()
            == total_tasks
    });
    simulation.run(10.0);
    let hung_machine = simulation
        .workers
        .keys()
        .nth(machines / 2)
        .cloned()
        .unwrap();
    simulation.workers.get_mut(&hung_machine).unwrap().hung = true;
    simulation.kill(leader, Duration::from_secs(600));
    let next = simulation.run_until_other_leader(leader, 10.0);
    let (start, changes) = (simulation.now, simulation.change_count());
    simulation.nodes[next].step_time = Duration::ZERO;
    let new_job = job_of_unlimited_team("wk-999999", 4);
    simulation.register_job(&new_job);
    simulation.send_request(next, crate::core::UserAction::Submit(Box::new(new_job)));
    let mut measurement = Measurement {
        known_ms: 0,
        start_ms: 0,
        restart_ms: 0,
        leader_ms: 0,
        changes: 0,
    };
    let end = simulation.now + Duration::from_secs(120);
    while measurement.known_ms * measurement.start_ms * measurement.restart_ms == 0 {
        assert!(simulation.now < end, "{machines} machines take too long");
        simulation.tick();
        let elapsed_ms = (simulation.now - start).as_millis().max(1);
        let unresolved = (simulation.nodes[next].core.leader.as_ref())
            .map_or(usize::MAX, |l| l.recovery.unresolved());
        if measurement.known_ms == 0 && unresolved * 100 <= machines {
            measurement.known_ms = elapsed_ms;
            measurement.leader_ms = simulation.nodes[next].step_time.as_millis();
        }
        if measurement.start_ms == 0 && !simulation.placements("wk-999999").is_empty() {
            measurement.start_ms = elapsed_ms;
        }
        let running = || -> usize {
            let live = simulation
                .workers
                .iter()
                .filter(|(id, _)| **id != hung_machine);
            live.map(|(_, m)| m.tasks.len()).sum()
        };
        if measurement.restart_ms == 0 && measurement.start_ms > 0 && running() >= total_tasks + 4 {
            measurement.restart_ms = elapsed_ms;
        }
    }
    measurement.changes = simulation.change_count() - changes;
    measurement
}

#[test]
#[ignore = "takes minutes, and prints figures without checking them"]
fn takeovers_against_size() {
    println!("machines,tasks,delegate,known_ms,first_start_ms,restart_ms,leader_ms,state_changes");
    let started = Instant::now();
    for (machines, tasks_per_machine) in [(300, 3), (1000, 3), (3000, 3), (10_000, 1), (10_000, 3)]
    {
        for delegate in [false, true] {
            let measurement = measure_takeover(machines, tasks_per_machine, delegate);
            println!(
                "{machines},{},{delegate},{},{},{},{},{}",
                machines * tasks_per_machine,
                measurement.known_ms,
                measurement.start_ms,
                measurement.restart_ms,
                measurement.leader_ms,
                measurement.changes
            );
        }
    }
    eprintln!("ran for {:?}", started.elapsed());
}

/// Measures the rebuild after the store loses all data, with the leader killed at the same time or not.
/// Returns the columns of the table from `leads_ms` on: milliseconds until a leader has marked the store
/// as incomplete, until all copies are merged or starts are allowed, until a new job starts, and until
/// all data is written back; then the computing time of the leader up to the second of these times, and
/// the number of restarted tasks.
fn measure_data_loss(machines: usize, jobs: usize, leader_lives: bool, seed: u64) -> [u128; 6] {
    let (mut simulation, leader) = cluster_with_leader(seed, "delegate = true", machines);
    for n in 0..jobs {
        let spec = job_of_unlimited_team(&format!("wk-{n:06}"), 2);
        simulation.register_job(&spec);
        simulation.send_request(leader, crate::core::UserAction::Submit(Box::new(spec)));
        if n % 50 == 49 {
            simulation.tick();
        }
    }
    let running = |simulation: &Simulation| {
        simulation
            .workers
            .values()
            .map(|m| m.tasks.len())
            .sum::<usize>()
    };
    simulation.run_until(120.0, "all tasks run", |simulation| {
        running(simulation) == (2 * jobs).min(4 * machines)
    });
    simulation.run(10.0);
    let starts_before = simulation.counters.starts;
    simulation.lose_store();
    if !leader_lives {
        simulation.kill(leader, Duration::from_secs(600));
    }
    let start = simulation.now;
    let elapsed_ms = |simulation: &Simulation| (simulation.now - start).as_millis();
    simulation.run_until(15.0, "a leader after the data loss", |simulation| {
        simulation.leader().is_some()
            && !simulation.stored_values("burlusher/rebuilding").is_empty()
    });
    let led_ms = elapsed_ms(&simulation);
    let next = simulation.leader().unwrap();
    simulation.nodes[next].step_time = Duration::ZERO;
    let mut known_ms = 0;
    let mut start_ms = 0;
    let mut written_ms = 0;
    let mut leader_ms = 0;
    let mut spec = job_of_unlimited_team("wk-900000", 1);
    spec.resources.cpus = 0.1;
    spec.resources.ram = 0.1;
    simulation.register_job(&spec);
    let end = simulation.now + Duration::from_secs(1200);
    while known_ms * start_ms * written_ms == 0 {
        assert!(simulation.now < end, "{machines} machines take too long");
        if start_ms == 0 && simulation.placements("wk-900000").is_empty() {
            simulation.send_request(
                next,
                crate::core::UserAction::Submit(Box::new(spec.clone())),
            );
        }
        simulation.run(0.2);
        let leader_state = simulation.nodes[next].core.leader.as_ref();
        let rebuild = leader_state.and_then(|l| l.rebuild.as_ref());
        if known_ms == 0
            && rebuild.is_some_and(|r| r.complete_at.is_some() || r.starts_allowed_at.is_some())
        {
            known_ms = elapsed_ms(&simulation);
            leader_ms = simulation.nodes[next].step_time.as_millis();
        }
        if start_ms == 0 && !simulation.placements("wk-900000").is_empty() {
            start_ms = elapsed_ms(&simulation);
        }
        if written_ms == 0
            && simulation.nodes[next]
                .core
                .store_cache
                .missing_from_store
                .is_empty()
        {
            written_ms = elapsed_ms(&simulation);
        }
    }
    let restarts = u128::from(simulation.counters.starts - starts_before) - 1;
    [led_ms, known_ms, start_ms, written_ms, leader_ms, restarts]
}

#[test]
#[ignore = "takes minutes, and prints figures without checking them"]
fn losses_against_size() {
    println!(
        "machines,jobs,leader_lives,seed,leads_ms,known_ms,first_start_ms,written_ms,leader_ms,restarts"
    );
    for (machines, jobs) in [(300, 500), (1000, 1500), (3000, 4500), (10_000, 15_000)] {
        for leader_lives in [true, false] {
            for seed in 1..=3 {
                let figures =
                    measure_data_loss(machines, jobs, leader_lives, seed).map(|n| n.to_string());
                println!(
                    "{machines},{jobs},{leader_lives},{seed},{}",
                    figures.join(",")
                );
            }
        }
    }
}
