//! Cancellations before and in an outage: the state service refuses the leader alone, another controller confirms cancellations, and then
//! nobody is served for longer than a cancellation may take, while the workers report to the old leader.
//! `docs/design.md` has the time line as arithmetic. The simulation checks at every tick that nothing of a
//! cancelled job is on a machine longer than that after its user was told.

use super::unlimited_job;
use crate::core::leadership::lease::LEASE_TTL;
use crate::core::simulation::{LEASE, Link, Setup, Simulation, failure_without};
use crate::fault_injection::Safeguard;
use crate::policy::Policy;
use std::time::Duration;

/// To whom the workers report when the leader is refused.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ReportTarget {
    Leader,
    Follower,
    All,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    nodes: usize,
    delegate: bool,
    to: ReportTarget,
    /// Seconds after the refusal at which nobody is served any more.
    outage_after: f64,
    /// How long the leader is refused.
    refused: f64,
    /// The old leader stands still until shortly after the outage began.
    stands_still: bool,
    times: u32,
    /// Direct commands are held up.
    held: bool,
    /// The controller that the workers report to loses the state service and the other controllers.
    alone: bool,
}

const USUAL_CASE: Case = Case {
    nodes: 3,
    delegate: true,
    to: ReportTarget::Leader,
    outage_after: 4.0,
    refused: 14.0,
    stands_still: false,
    times: 1,
    held: true,
    alone: false,
};

/// A lease of the workers, what a leader's word may last, and a moment.
const CANCELLATION_LIMIT: Duration = Duration::from_millis(13_700);

const JOBS: usize = 12;

/// Plays it, and says how many users were told by another controller than the old leader, between the
/// refusal and the outage, while tasks of theirs were still on machines.
fn play(case: Case, seed: u64) -> u32 {
    let text = format!("delegate = {}\nidle_keep = 600", case.delegate);
    let setup = Setup {
        nodes: case.nodes,
        cancel: CANCELLATION_LIMIT,
    };
    let mut simulation = Simulation::with_setup(seed, Policy::with("gap", &text).unwrap(), setup);
    simulation.capacity.clear();
    simulation.add_machines("small", JOBS);
    simulation.until(10.0, "a leader", |simulation| simulation.leader().is_some());
    simulation.run(4.0);
    let mut met = 0;
    for round in 0..case.times {
        simulation.until(40.0, "a leader", |simulation| simulation.leader().is_some());
        let old = simulation.leader().unwrap();
        let id = |n: usize| format!("wk-{:06}", round as usize * JOBS + n + 1);
        for n in 0..JOBS {
            while !matches!(
                simulation.submit(old, &unlimited_job(&id(n), 1, 4.0, 200)),
                200 | 201
            ) {
                simulation.run(1.0);
            }
        }
        let placed =
            |simulation: &Simulation| (0..JOBS).all(|n| !simulation.places(&id(n)).is_empty());
        simulation.until(40.0, "all run", placed);
        let node = match case.to {
            ReportTarget::Leader => Some(old),
            ReportTarget::Follower => Some((old + 1) % case.nodes),
            ReportTarget::All => None,
        };
        if let Some(node) = node {
            simulation.workers.values_mut().for_each(|m| m.node = node);
        }
        simulation.run(2.5);
        simulation.faults.hold_commands = case.held;
        let begun = simulation.now;
        let after = |s: f64| begun + Duration::from_secs_f64(s);
        let mut ticks = 0;
        let long = CANCELLATION_LIMIT.as_secs_f64() + 6.0;
        while simulation.now < after(case.outage_after + long) {
            // From shortly before the refusal on, one job after the other is cancelled, at any controller.
            for n in 0..JOBS {
                let due = simulation.now >= after(n as f64 * 0.45) && ticks % 4 == n % 4;
                if due && simulation.final_answer(&id(n)).is_none() {
                    let at = simulation.random(case.nodes);
                    simulation.cancel_without_waiting(at, &id(n));
                }
            }
            let refused =
                simulation.now >= after(0.5) && simulation.now < after(0.5 + case.refused);
            simulation.nodes[old].state = if refused { Link::Refused } else { Link::Good };
            if let Some(node) = node.filter(|_| case.alone) {
                simulation.nodes[node].peers_reachable = !refused;
                if node != old {
                    simulation.nodes[node].state = if refused { Link::Held } else { Link::Good };
                }
                // They find nobody else.
                let cut = || (0..case.nodes).filter(|n| *n != node && refused);
                simulation
                    .workers
                    .values_mut()
                    .for_each(|m| m.partitioned_from = cut().collect());
            }
            let still = refused && simulation.now < after(0.5 + case.outage_after + 1.0);
            simulation.nodes[old].paused = case.stands_still && still;
            if simulation.now >= after(0.5 + case.outage_after) && !simulation.faults.store_outage {
                simulation.set_store_outage(true);
            }
            let told = simulation.checker.cancelled_at.len();
            simulation.tick();
            let another = simulation.leader().is_some_and(|l| l != old);
            if simulation.checker.cancelled_at.len() > told
                && another
                && !simulation.faults.store_outage
            {
                let new = (0..JOBS).filter(|n| {
                    simulation.checker.cancelled_at.get(&id(*n)) == Some(&simulation.now)
                });
                met += new
                    .filter(|n| !simulation.places(&id(*n)).is_empty())
                    .count() as u32;
            }
            ticks += 1;
        }
        // Whatever was confirmed is gone by now, though the state service is away all the time.
        assert!(simulation.faults.store_outage);
        for n in 0..JOBS {
            let told = simulation.checker.cancelled_at.contains_key(&id(n));
            assert!(
                !told || simulation.places(&id(n)).is_empty(),
                "{} is there",
                id(n)
            );
        }
        simulation.set_store_outage(false);
        simulation.nodes[old].paused = false;
        simulation.heal_controllers();
        simulation.heal_worker_partitions();
        simulation.faults.hold_commands = false;
        simulation.network.held_commands.clear();
        simulation.run(LEASE.as_secs_f64() + 3.0);
        for n in 0..JOBS {
            let mut tries = 0;
            while simulation.final_answer(&id(n)).is_none() {
                let at = simulation.random(case.nodes);
                simulation.cancel(at, &id(n));
                simulation.run(0.3);
                tries += 1;
                assert!(tries < 60, "{} cannot be cancelled", id(n));
            }
        }
        simulation.run(3.0);
    }
    simulation.run(CANCELLATION_LIMIT.as_secs_f64());
    assert_eq!(
        simulation.counters.late_starts, 0,
        "started after its user was told"
    );
    met
}

fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for delegate in [true, false] {
        for outage_after in [0.2, 1.0, 2.5, 3.4, 4.0, 5.0] {
            for (to, refused) in [
                (ReportTarget::Leader, 14.0),
                (ReportTarget::Follower, 14.0),
                // The refusal ends inside the outage, or before a lease could end, or not before the outage does.
                (ReportTarget::All, outage_after + 1.0),
                (ReportTarget::Leader, 60.0),
            ] {
                cases.push(Case {
                    delegate,
                    outage_after,
                    to,
                    refused,
                    ..USUAL_CASE
                });
            }
        }
        for held in [true, false] {
            let case = Case {
                delegate,
                held,
                ..USUAL_CASE
            };
            let stands_still = true;
            for to in [ReportTarget::Leader, ReportTarget::Follower] {
                let alone = true;
                cases.push(Case { to, alone, ..case });
            }
            cases.push(Case { nodes: 5, ..case });
            cases.push(Case { times: 2, ..case });
            cases.push(Case {
                stands_still,
                ..case
            });
            cases.push(Case {
                nodes: 5,
                to: ReportTarget::Follower,
                stands_still,
                times: 2,
                ..case
            });
        }
    }
    cases
}

#[test]
fn cancelled_tasks_stop_in_time_despite_outage() {
    crate::core::simulation::enable_log();
    let mut met = 0;
    for (n, case) in cases().into_iter().enumerate() {
        let here = play(case, 700 + n as u64);
        met += u32::from(here > 0);
        // While the old lease runs, nobody else can confirm anything.
        let old_runs = case.outage_after < LEASE_TTL.as_secs_f64();
        assert!(!old_runs || here == 0, "{case:?}");
    }
    assert!(met >= 10, "the gap came about in {met} rows only");
}

/// Each guard that keeps it, taken out by itself, is found by the rule.
#[test]
fn checker_detects_disabled_guards_in_outage() {
    for guard in [
        Safeguard::LeaseValidity,
        Safeguard::GrantExpiry,
        Safeguard::StopEndedJobs,
    ] {
        let found = cases().into_iter().enumerate().find_map(|(n, case)| {
            let said = failure_without(guard, || {
                play(case, 700 + n as u64);
            })?;
            said.contains("of a cancelled job is on").then_some(case)
        });
        assert!(found.is_some(), "{guard:?} is out, and nothing is found");
    }
}
