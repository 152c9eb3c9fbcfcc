//! Faults of every kind at random, with the rules checked at every tick.

use super::bidding::bidding_cluster;
use super::delegation::policy;
use super::four_machines;
use crate::core::simulation::{Link, NEXT_LIMITS, World};
use crate::job::{TaskKey, sample};
use crate::wire::JobState;
use std::time::Duration;

/// Troubles of every kind, alone and together, with the rules watched at every tick.
pub fn chaos(w: &mut World, seed: u64) {
    let mut ids: Vec<String> = Vec::new();
    let mut cancelled: Vec<String> = Vec::new();
    for round in 0..40 {
        if round == 20 {
            w.limit(NEXT_LIMITS);
        }
        match w.random(14) {
            0 => {
                let i = w.random(3);
                w.kill(i, Duration::from_millis(500 + 1000 * round % 5000));
            }
            1 => (0..3).for_each(|i| w.kill(i, Duration::from_secs(2))),
            2 | 3 => {
                let i = w.random(3);
                let links = [
                    Link::Refused,
                    Link::AnswersLost,
                    Link::Held,
                    Link::WritesHeld,
                    Link::Good,
                ];
                w.nodes[i].state = links[w.random(5)];
            }
            4 => {
                let link = [Link::Refused, Link::AnswersLost][w.random(2)];
                w.nodes.iter_mut().for_each(|n| n.state = link);
            }
            5 | 6 => {
                let n = w.workers.len().max(1);
                let i = w.random(n);
                if let Some(m) = w.workers.values_mut().nth(i) {
                    m.hung = !m.hung;
                }
            }
            7 => {
                let (n, node) = (w.random(3), w.random(3));
                for m in w.workers.values_mut().skip(n) {
                    m.cut.insert(node);
                }
            }
            8 => w.hold_commands = !w.hold_commands,
            9 => w.cloud_down = !w.cloud_down,
            10 => {
                let n = w.workers.len().max(1);
                let i = w.random(n);
                let id = w.workers.keys().nth(i).cloned();
                if let Some(m) = id.and_then(|id| w.workers.remove(&id)) {
                    *w.capacity.entry((m.kind, m.spot)).or_default() += 1;
                }
            }
            11 => {
                let i = w.random(3);
                w.nodes[i].peers = !w.nodes[i].peers;
            }
            _ => {
                w.nodes.iter_mut().for_each(|n| n.state = Link::Good);
                w.workers.values_mut().for_each(|m| {
                    m.cut.clear();
                    m.hung = false;
                });
                w.release();
            }
        }
        let id = format!("wk-{seed}{round:03}");
        let mut spec = sample(&id, 1 + w.random(6) as u32, 1.0 + w.random(4) as f64, 3);
        spec.estimate = Duration::from_secs(1 + w.random(12) as u64);
        spec.spot = w.random(2) == 0;
        spec.zone = (w.random(5) == 0).then(|| "b".into());
        spec.team = ["t", "t", "u"][w.random(3)].into();
        if !ids.is_empty() && w.random(3) == 0 {
            let named = [w.random(ids.len()), w.random(ids.len())];
            spec.awaits = named.iter().map(|i| ids[*i].as_str().into()).collect();
            spec.awaits.sort();
            spec.awaits.dedup();
        }
        let node = w.random(3);
        if matches!(w.submit(node, &spec), 200 | 201) {
            ids.push(id);
        }
        if !ids.is_empty() && w.random(4) == 0 {
            let (i, node) = (w.random(ids.len()), w.random(3));
            let id = ids[i].clone();
            if w.cancel(node, &id).1 == Some(JobState::Cancelled) {
                cancelled.push(id);
            }
        }
        if !ids.is_empty() {
            let (i, node) = (w.random(ids.len()), w.random(3));
            let id = ids[i].clone();
            assert_ne!(w.show(node, &id).0, 404);
        }
        let pause = w.random(30) as f64 * 0.1;
        w.run(pause);
    }
    // Peace: everything that was accepted ends.
    w.cloud_down = false;
    w.hold_commands = false;
    for n in &mut w.nodes {
        n.state = Link::Good;
        n.peers = true;
    }
    for m in w.workers.values_mut() {
        m.cut.clear();
        m.hung = false;
    }
    w.release();
    w.run(15.0);
    for id in &ids {
        let node = w.random(3);
        if cancelled.contains(id) {
            assert_eq!(w.show(node, id).1, Some(JobState::Cancelled));
        } else if w.show(node, id).1 != Some(JobState::Cancelled) {
            // An end asked for without an answer may have been carried out.
            w.until_done(id, 400.0);
        }
    }
    assert_eq!(w.over_the_limit(), 0);
    let key = |t: &TaskKey| ids.iter().any(|i| **i == *t.job);
    assert!(w.completed.iter().any(key));
}

#[test]
fn the_rules_hold_under_any_mixture_of_troubles() {
    for seed in 100..140 {
        let (mut w, _) = four_machines(seed);
        chaos(&mut w, seed);
    }
}

/// The mixture of troubles again, with a leader that bids.
#[test]
fn the_rules_hold_for_those_who_bid_under_any_mixture_of_troubles() {
    for seed in 400..412 {
        let entries = "foresight = 20\ntolerance = 0.2";
        let (mut w, _) = bidding_cluster(seed, entries);
        for zone in ["a", "b", "a", "b"] {
            w.add_machine("small", zone);
        }
        w.run(2.0);
        chaos(&mut w, seed);
    }
}

/// The mixture of troubles again.
#[test]
fn the_rules_hold_for_delegated_reports_under_any_mixture_of_troubles() {
    for seed in 600..630 {
        let mut w = World::with_policy(seed, policy(true));
        for zone in ["a", "b", "a", "b"] {
            w.add_machine("small", zone);
        }
        w.until(10.0, "a leader", |w| w.leader().is_some());
        w.run(2.0);
        chaos(&mut w, seed);
    }
}
