//! Random faults of every kind, with the invariants checked at every tick.

use super::bidding::bidding_cluster;
use super::delegation::policy;
use super::four_machines;
use crate::core::simulation::{Link, NEXT_STORE_LIMITS, Simulation};
use crate::job::{TaskId, sample};
use crate::wire::JobState;
use std::time::Duration;

/// Jobs of users that were accepted, and those of them whose cancellation was confirmed.
#[derive(Default)]
struct UserJobs {
    accepted: Vec<String>,
    cancelled: Vec<String>,
}

/// Injects faults of every kind, alone and together, while jobs are submitted and cancelled. Then heals the cluster,
/// and checks that every accepted job ends.
pub fn inject_mixed_faults(simulation: &mut Simulation, seed: u64) {
    let mut jobs = UserJobs::default();
    for round in 0..40 {
        if round == 20 {
            simulation.set_store_limits(NEXT_STORE_LIMITS);
        }
        inject_random_fault(simulation, round);
        submit_random_job(simulation, &mut jobs, format!("wk-{seed}{round:03}"));
        if !jobs.accepted.is_empty() {
            cancel_some_job(simulation, &mut jobs);
            let (id, node) = random_job_and_node(simulation, &jobs);
            assert_ne!(simulation.show(node, &id).0, 404);
        }
        let pause = simulation.random(30) as f64 * 0.1;
        simulation.run(pause);
    }
    heal(simulation);
    check_all_jobs_end(simulation, &jobs);
}

fn inject_random_fault(simulation: &mut Simulation, round: u64) {
    match simulation.random(14) {
        0 => {
            let node = simulation.random(3);
            simulation.kill(node, Duration::from_millis(500 + 1000 * round % 5000));
        }
        1 => (0..3).for_each(|node| simulation.kill(node, Duration::from_secs(2))),
        2 | 3 => {
            let node = simulation.random(3);
            let links = [
                Link::Refused,
                Link::ResponsesLost,
                Link::Held,
                Link::WritesHeld,
                Link::Good,
            ];
            simulation.nodes[node].store_link = links[simulation.random(5)];
        }
        4 => {
            let link = [Link::Refused, Link::ResponsesLost][simulation.random(2)];
            simulation.set_store_links(link);
        }
        5 | 6 => {
            let index = random_worker_index(simulation);
            if let Some(worker) = simulation.workers.values_mut().nth(index) {
                worker.hung = !worker.hung;
            }
        }
        7 => {
            let (unaffected, node) = (simulation.random(3), simulation.random(3));
            for worker in simulation.workers.values_mut().skip(unaffected) {
                worker.partitioned_from.insert(node);
            }
        }
        8 => simulation.faults.hold_commands = !simulation.faults.hold_commands,
        9 => simulation.faults.cloud_down = !simulation.faults.cloud_down,
        10 => {
            let index = random_worker_index(simulation);
            let id = simulation.workers.keys().nth(index).cloned();
            if let Some(worker) = id.and_then(|id| simulation.workers.remove(&id)) {
                let key = (worker.machine_type, worker.spot);
                *simulation.capacity.entry(key).or_default() += 1;
            }
        }
        11 => {
            let node = simulation.random(3);
            simulation.nodes[node].peers_reachable = !simulation.nodes[node].peers_reachable;
        }
        _ => {
            simulation.set_store_links(Link::Good);
            heal_workers(simulation);
            simulation.release_held();
        }
    }
}

/// Returns the index of a random worker, or 0 if there are no workers.
fn random_worker_index(simulation: &mut Simulation) -> usize {
    let workers = simulation.workers.len().max(1);
    simulation.random(workers)
}

fn submit_random_job(simulation: &mut Simulation, jobs: &mut UserJobs, id: String) {
    let tasks = 1 + simulation.random(6) as u32;
    let cpus = 1.0 + simulation.random(4) as f64;
    let mut spec = sample(&id, tasks, cpus, 3);
    spec.estimate = Duration::from_secs(1 + simulation.random(12) as u64);
    spec.spot = simulation.random(2) == 0;
    spec.zone = (simulation.random(5) == 0).then(|| "b".into());
    spec.team = ["t", "t", "u"][simulation.random(3)].into();
    let accepted = &mut jobs.accepted;
    if !accepted.is_empty() && simulation.random(3) == 0 {
        let first = simulation.random(accepted.len());
        let second = simulation.random(accepted.len());
        let dependencies = [first, second].into_iter();
        spec.dependencies = dependencies.map(|i| accepted[i].as_str().into()).collect();
        spec.dependencies.sort();
        spec.dependencies.dedup();
    }
    let node = simulation.random(3);
    if matches!(simulation.submit(node, &spec), 200 | 201) {
        accepted.push(id);
    }
}

fn random_job_and_node(simulation: &mut Simulation, jobs: &UserJobs) -> (String, usize) {
    let job = simulation.random(jobs.accepted.len());
    let node = simulation.random(3);
    (jobs.accepted[job].clone(), node)
}

/// Cancels a random job with a probability of one in four.
fn cancel_some_job(simulation: &mut Simulation, jobs: &mut UserJobs) {
    if simulation.random(4) != 0 {
        return;
    }
    let (id, node) = random_job_and_node(simulation, jobs);
    if simulation.cancel(node, &id).1 == Some(JobState::Cancelled) {
        jobs.cancelled.push(id);
    }
}

fn heal_workers(simulation: &mut Simulation) {
    for worker in simulation.workers.values_mut() {
        worker.partitioned_from.clear();
        worker.hung = false;
    }
}

fn heal(simulation: &mut Simulation) {
    simulation.faults.cloud_down = false;
    simulation.faults.hold_commands = false;
    simulation.heal_controllers();
    heal_workers(simulation);
    simulation.release_held();
    simulation.run(15.0);
}

fn check_all_jobs_end(simulation: &mut Simulation, jobs: &UserJobs) {
    for id in &jobs.accepted {
        let node = simulation.random(3);
        if jobs.cancelled.contains(id) {
            assert_eq!(simulation.show(node, id).1, Some(JobState::Cancelled));
        } else if simulation.show(node, id).1 != Some(JobState::Cancelled) {
            // A job may also be cancelled by a cancellation whose response was lost.
            simulation.run_until_done(id, 400.0);
        }
    }
    assert_eq!(simulation.transactions_over_limit(), 0);
    let is_accepted = |t: &TaskId| jobs.accepted.iter().any(|id| **id == *t.job);
    assert!(simulation.checker.completed.iter().any(is_accepted));
}

#[test]
fn mixed_faults_violate_no_invariant() {
    for seed in 100..140 {
        let (mut simulation, _) = four_machines(seed);
        inject_mixed_faults(&mut simulation, seed);
    }
}

/// Runs the mixed faults with a leader that bids.
#[test]
fn mixed_faults_with_bidding_violate_no_invariant() {
    for seed in 400..412 {
        let entries = "foresight = 20\ntolerance = 0.2";
        let (mut simulation, _) = bidding_cluster(seed, entries);
        simulation.add_machines("small", 4);
        simulation.run(2.0);
        inject_mixed_faults(&mut simulation, seed);
    }
}

/// Runs the mixed faults with controllers that serve workers for the leader.
#[test]
fn mixed_faults_with_delegation_violate_no_invariant() {
    for seed in 600..630 {
        let mut simulation = Simulation::with_policy(seed, policy(true));
        simulation.add_machines("small", 4);
        simulation.run_until(10.0, "a leader", |simulation| simulation.leader().is_some());
        simulation.run(2.0);
        inject_mixed_faults(&mut simulation, seed);
    }
}
