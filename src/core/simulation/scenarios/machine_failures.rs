//! Machines that hang, die or fail their tasks.

use super::{four_machines, unlimited_job};
use crate::core::simulation::{Simulation, fails_without};
use crate::fault_injection::Safeguard;
use crate::job::sample;
use crate::policy::Policy;

#[test]
fn resumed_machine_runs_nothing_moved_elsewhere() {
    let (mut simulation, leader) = four_machines(10);
    simulation.faults.cloud_down = true; // The hung machine cannot be deleted.
    simulation.submit(leader, &sample("wk-1", 8, 2.0, 8));
    simulation.run(2.0);
    let id = simulation.placements("wk-1")[0].0.clone();
    simulation.workers.get_mut(&id).unwrap().hung = true;
    simulation.run(7.0);
    // Until its lease expires, none of its tasks is started elsewhere, and it continues with them.
    simulation.workers.get_mut(&id).unwrap().hung = false;
    simulation.release_held();
    simulation.run_until_done("wk-1", 40.0);
    assert_eq!(simulation.counters.starts, 8);

    simulation.submit(leader, &sample("wk-2", 8, 2.0, 20));
    simulation.run(2.0);
    let id = simulation.placements("wk-2")[0].0.clone();
    simulation.workers.get_mut(&id).unwrap().hung = true;
    simulation.run(16.0);
    simulation.workers.get_mut(&id).unwrap().hung = false;
    simulation.release_held();
    simulation.run_until_done("wk-2", 80.0);
}

#[test]
fn silent_machine_deleted_and_tasks_restarted() {
    let (mut simulation, leader) = four_machines(11);
    simulation.submit(leader, &sample("wk-1", 8, 2.0, 30));
    simulation.run(2.0);
    let id = simulation.placements("wk-1")[0].0.clone();
    simulation.workers.get_mut(&id).unwrap().hung = true;
    simulation.run(5.0);
    // The machine is deleted before its lease of 10 s expires.
    assert!(!simulation.workers.contains_key(&id));
    simulation.run_until_done("wk-1", 60.0);
}

#[test]
fn faulty_machine_replaced_but_not_for_broken_job() {
    let (mut simulation, leader) = four_machines(18);
    simulation.broken_jobs.insert("wk-1".into());
    simulation.submit(leader, &sample("wk-1", 8, 2.0, 5));
    let all: Vec<_> = simulation.workers.keys().cloned().collect();
    simulation.run(20.0);
    // Tasks of the broken job are retried at longer and longer intervals.
    let starts = simulation.counters.starts;
    simulation.run(15.0);
    assert!(
        simulation.counters.starts - starts <= 2,
        "{} starts",
        simulation.counters.starts - starts
    );
    assert!(all.iter().all(|id| simulation.workers.contains_key(id)));
    simulation.cancel(leader, "wk-1");

    let id = all[0].clone();
    simulation.workers.get_mut(&id).unwrap().failing = true;
    for n in 2..8 {
        simulation.submit(leader, &sample(&format!("wk-{n}"), 6, 2.0, 4));
        simulation.run(4.0);
    }
    for n in 2..8 {
        simulation.run_until_done(&format!("wk-{n}"), 60.0);
    }
    assert!(!simulation.workers.contains_key(&id));
}

/// A machine on which a task failed is not the first choice for the retry, even if it has the image cached.
#[test]
fn failed_task_retried_on_another_machine() {
    let (mut simulation, leader) = four_machines(29);
    simulation.capacity.clear();
    simulation.submit(leader, &sample("wk-1", 1, 2.0, 3));
    simulation.run(0.5);
    let id = simulation.placements("wk-1")[0].0.clone();
    simulation.run_until_done("wk-1", 20.0);
    // Only this machine has the image cached, so the next job would be placed there too.
    simulation.workers.get_mut(&id).unwrap().failing = true;
    simulation.submit(leader, &sample("wk-2", 1, 2.0, 3));
    simulation.run(30.0);
    simulation.run_until_done("wk-2", 20.0);
    let attempts =
        |m: &crate::core::simulation::Worker| m.tasks.keys().filter(|k| &*k.job == "wk-2").count();
    assert!(simulation.workers.contains_key(&id) && attempts(&simulation.workers[&id]) <= 1);
    assert_eq!(simulation.counters.starts, 3);
}

/// The only machine that fits has failed tasks of a job that fails everywhere. A sound job that is submitted later must
/// not wait for the machine for 90 s.
fn only_machine_has_failed() {
    let policy = Policy::parse("avoided", "idle_keep = 600").unwrap();
    let mut simulation = Simulation::with_policy(1350, policy);
    simulation.capacity.clear();
    simulation.add_machine("small", "a");
    let leader = simulation.run_until_leader(4.0);
    simulation.broken_jobs.insert("wk-000001".into());
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-000001", 1, 4.0, 5)),
        201
    );
    simulation.run_until(
        200.0,
        "the job's task has been started five times",
        |simulation| simulation.counters.starts >= 5,
    );
    simulation.run(1.5);
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-000002", 1, 4.0, 3)),
        201
    );
    simulation.run_until_done("wk-000002", 120.0);
}

#[test]
fn failed_machine_avoided_only_briefly() {
    only_machine_has_failed();
    fails_without(
        Safeguard::AvoidanceLimit,
        "waits for 90 s while",
        only_machine_has_failed,
    );
}
