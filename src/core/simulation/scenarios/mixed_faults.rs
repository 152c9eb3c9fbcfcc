//! Faults of every kind at random, with the rules checked at every tick.

use super::bidding::bidding_cluster;
use super::delegation::policy;
use super::four_machines;
use crate::core::simulation::{Link, NEXT_LIMITS, Simulation};
use crate::job::{TaskId, sample};
use crate::wire::JobState;
use std::time::Duration;

/// Injects faults of every kind, alone and together, while jobs come and are cancelled; then heals
/// the cluster, in which everything that was accepted has to end.
pub fn inject_mixed_faults(simulation: &mut Simulation, seed: u64) {
    let mut ids: Vec<String> = Vec::new();
    let mut cancelled: Vec<String> = Vec::new();
    for round in 0..40 {
        if round == 20 {
            simulation.limit(NEXT_LIMITS);
        }
        match simulation.random(14) {
            0 => {
                let i = simulation.random(3);
                simulation.kill(i, Duration::from_millis(500 + 1000 * round % 5000));
            }
            1 => (0..3).for_each(|i| simulation.kill(i, Duration::from_secs(2))),
            2 | 3 => {
                let i = simulation.random(3);
                let links = [
                    Link::Refused,
                    Link::AnswersLost,
                    Link::Held,
                    Link::WritesHeld,
                    Link::Good,
                ];
                simulation.nodes[i].state = links[simulation.random(5)];
            }
            4 => {
                let link = [Link::Refused, Link::AnswersLost][simulation.random(2)];
                simulation.set_store_links(link);
            }
            5 | 6 => {
                let n = simulation.workers.len().max(1);
                let i = simulation.random(n);
                if let Some(m) = simulation.workers.values_mut().nth(i) {
                    m.hung = !m.hung;
                }
            }
            7 => {
                let (n, node) = (simulation.random(3), simulation.random(3));
                for m in simulation.workers.values_mut().skip(n) {
                    m.partitioned_from.insert(node);
                }
            }
            8 => simulation.faults.hold_commands = !simulation.faults.hold_commands,
            9 => simulation.faults.cloud_down = !simulation.faults.cloud_down,
            10 => {
                let n = simulation.workers.len().max(1);
                let i = simulation.random(n);
                let id = simulation.workers.keys().nth(i).cloned();
                if let Some(m) = id.and_then(|id| simulation.workers.remove(&id)) {
                    *simulation.capacity.entry((m.kind, m.spot)).or_default() += 1;
                }
            }
            11 => {
                let i = simulation.random(3);
                simulation.nodes[i].peers_reachable = !simulation.nodes[i].peers_reachable;
            }
            _ => {
                simulation.set_store_links(Link::Good);
                simulation.workers.values_mut().for_each(|m| {
                    m.partitioned_from.clear();
                    m.hung = false;
                });
                simulation.release();
            }
        }
        let id = format!("wk-{seed}{round:03}");
        let mut spec = sample(
            &id,
            1 + simulation.random(6) as u32,
            1.0 + simulation.random(4) as f64,
            3,
        );
        spec.estimate = Duration::from_secs(1 + simulation.random(12) as u64);
        spec.spot = simulation.random(2) == 0;
        spec.zone = (simulation.random(5) == 0).then(|| "b".into());
        spec.team = ["t", "t", "u"][simulation.random(3)].into();
        if !ids.is_empty() && simulation.random(3) == 0 {
            let named = [simulation.random(ids.len()), simulation.random(ids.len())];
            spec.dependencies = named.iter().map(|i| ids[*i].as_str().into()).collect();
            spec.dependencies.sort();
            spec.dependencies.dedup();
        }
        let node = simulation.random(3);
        if matches!(simulation.submit(node, &spec), 200 | 201) {
            ids.push(id);
        }
        if !ids.is_empty() && simulation.random(4) == 0 {
            let (i, node) = (simulation.random(ids.len()), simulation.random(3));
            let id = ids[i].clone();
            if simulation.cancel(node, &id).1 == Some(JobState::Cancelled) {
                cancelled.push(id);
            }
        }
        if !ids.is_empty() {
            let (i, node) = (simulation.random(ids.len()), simulation.random(3));
            let id = ids[i].clone();
            assert_ne!(simulation.show(node, &id).0, 404);
        }
        let pause = simulation.random(30) as f64 * 0.1;
        simulation.run(pause);
    }
    // Peace: everything that was accepted ends.
    simulation.faults.cloud_down = false;
    simulation.faults.hold_commands = false;
    simulation.heal_controllers();
    for m in simulation.workers.values_mut() {
        m.partitioned_from.clear();
        m.hung = false;
    }
    simulation.release();
    simulation.run(15.0);
    for id in &ids {
        let node = simulation.random(3);
        if cancelled.contains(id) {
            assert_eq!(simulation.show(node, id).1, Some(JobState::Cancelled));
        } else if simulation.show(node, id).1 != Some(JobState::Cancelled) {
            // An end asked for without an answer may have been carried out.
            simulation.until_done(id, 400.0);
        }
    }
    assert_eq!(simulation.over_the_limit(), 0);
    let key = |t: &TaskId| ids.iter().any(|i| **i == *t.job);
    assert!(simulation.checker.completed.iter().any(key));
}

#[test]
fn mixed_faults_break_no_rule() {
    for seed in 100..140 {
        let (mut simulation, _) = four_machines(seed);
        inject_mixed_faults(&mut simulation, seed);
    }
}

/// The same with a leader that bids.
#[test]
fn mixed_faults_with_bidding_break_no_rule() {
    for seed in 400..412 {
        let entries = "foresight = 20\ntolerance = 0.2";
        let (mut simulation, _) = bidding_cluster(seed, entries);
        simulation.add_machines("small", 4);
        simulation.run(2.0);
        inject_mixed_faults(&mut simulation, seed);
    }
}

/// The same with controllers that serve workers for the leader.
#[test]
fn mixed_faults_with_delegation_break_no_rule() {
    for seed in 600..630 {
        let mut simulation = Simulation::with_policy(seed, policy(true));
        simulation.add_machines("small", 4);
        simulation.until(10.0, "a leader", |simulation| simulation.leader().is_some());
        simulation.run(2.0);
        inject_mixed_faults(&mut simulation, seed);
    }
}
