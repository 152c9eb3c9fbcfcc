//! Cancellations before and in an outage: the state service refuses the leader alone, another
//! controller confirms cancellations, and then nobody is served for longer than a cancellation may
//! take, while the workers send heartbeats to the old leader. `docs/design.md` has the time line as arithmetic.
//! The simulation checks at every tick that nothing of a cancelled job is on a machine longer than
//! that after its user was answered.

use super::unlimited_job;
use crate::core::leadership::lease::LEASE_TTL;
use crate::core::simulation::{LEASE, Link, Setup, Simulation, failure_without};
use crate::fault_injection::Safeguard;
use crate::policy::Policy;
use std::time::{Duration, Instant};

/// The controllers that the workers send heartbeats to when the leader is refused.
#[derive(Clone, Copy, Debug, PartialEq)]
enum HeartbeatTarget {
    Leader,
    Follower,
    All,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    nodes: usize,
    delegate: bool,
    target: HeartbeatTarget,
    /// Seconds after the refusal at which nobody is served any more.
    outage_after: f64,
    /// Seconds for which the leader is refused.
    refused: f64,
    /// The old leader is paused until shortly after the outage began.
    paused: bool,
    rounds: u32,
    hold_commands: bool,
    /// The controller that the workers send heartbeats to loses the state service and the other controllers.
    isolated: bool,
}

const DEFAULT_CASE: Case = Case {
    nodes: 3,
    delegate: true,
    target: HeartbeatTarget::Leader,
    outage_after: 4.0,
    refused: 14.0,
    paused: false,
    rounds: 1,
    hold_commands: true,
    isolated: false,
};

/// A lease of the workers, the time for which a leader may act on its last proof, and a moment.
const CANCELLATION_LIMIT: Duration = Duration::from_millis(13_700);

const JOBS: usize = 12;
/// Seconds between the first cancellation and the refusal.
const REFUSAL_DELAY: f64 = 0.5;
/// Seconds between the first cancellations of two jobs.
const CANCEL_INTERVAL: f64 = 0.45;

/// One refusal of the leader, and the outage after it.
struct Round {
    case: Case,
    number: usize,
    old_leader: usize,
    /// The controller that all workers send heartbeats to, if it is one.
    heartbeat_target: Option<usize>,
    started_at: Instant,
}

impl Round {
    /// Starts a round's jobs, and lets the workers send heartbeats to where the case has them.
    fn start(simulation: &mut Simulation, case: Case, number: usize) -> Round {
        simulation.run_until(40.0, "a leader", |simulation| simulation.leader().is_some());
        let old_leader = simulation.leader().unwrap();
        let heartbeat_target = match case.target {
            HeartbeatTarget::Leader => Some(old_leader),
            HeartbeatTarget::Follower => Some((old_leader + 1) % case.nodes),
            HeartbeatTarget::All => None,
        };
        let mut round = Round {
            case,
            number,
            old_leader,
            heartbeat_target,
            started_at: simulation.now,
        };
        round.start_jobs(simulation);
        if let Some(node) = heartbeat_target {
            simulation.workers.values_mut().for_each(|m| m.node = node);
        }
        simulation.run(2.5);
        simulation.faults.hold_commands = case.hold_commands;
        round.started_at = simulation.now;
        round
    }

    fn job_id(&self, job: usize) -> String {
        format!("wk-{:06}", self.number * JOBS + job + 1)
    }

    fn start_jobs(&self, simulation: &mut Simulation) {
        for job in 0..JOBS {
            let spec = unlimited_job(&self.job_id(job), 1, 4.0, 200);
            while !matches!(simulation.submit(self.old_leader, &spec), 200 | 201) {
                simulation.run(1.0);
            }
        }
        simulation.run_until(40.0, "all run", |simulation| {
            (0..JOBS).all(|job| !simulation.placements(&self.job_id(job)).is_empty())
        });
    }

    /// The time so many seconds after the beginning.
    fn time_after(&self, seconds: f64) -> Instant {
        self.started_at + Duration::from_secs_f64(seconds)
    }

    /// Cancels jobs, refuses the leader and begins the outage, each at its time. Returns how many users
    /// were answered by another controller than the old leader, between the refusal and the outage, while
    /// tasks of theirs were still on machines.
    fn run(&self, simulation: &mut Simulation) -> u32 {
        let mut confirmed_early = 0;
        let mut ticks = 0;
        let outage = CANCELLATION_LIMIT.as_secs_f64() + 6.0;
        while simulation.now < self.time_after(self.case.outage_after + outage) {
            self.cancel_due_jobs(simulation, ticks);
            self.set_faults(simulation);
            let confirmed = simulation.checker.cancelled_at.len();
            simulation.tick();
            let another_leads = simulation.leader().is_some_and(|l| l != self.old_leader);
            if simulation.checker.cancelled_at.len() > confirmed
                && another_leads
                && !simulation.faults.store_outage
            {
                confirmed_early += self.confirmed_now_with_tasks(simulation);
            }
            ticks += 1;
        }
        confirmed_early
    }

    /// From shortly before the refusal on, one job after the other is cancelled, at any controller.
    fn cancel_due_jobs(&self, simulation: &mut Simulation, ticks: usize) {
        for job in 0..JOBS {
            let cancel_at = self.time_after(job as f64 * CANCEL_INTERVAL);
            let is_due = simulation.now >= cancel_at && ticks % 4 == job % 4;
            let id = self.job_id(job);
            if is_due && simulation.reported_final_state(&id).is_none() {
                let node = simulation.random(self.case.nodes);
                simulation.cancel_without_waiting(node, &id);
            }
        }
    }

    fn set_faults(&self, simulation: &mut Simulation) {
        let now = simulation.now;
        let refused = now >= self.time_after(REFUSAL_DELAY)
            && now < self.time_after(REFUSAL_DELAY + self.case.refused);
        let link = |fault: Link| if refused { fault } else { Link::Good };
        simulation.nodes[self.old_leader].store_link = link(Link::Refused);
        if let Some(node) = self.heartbeat_target.filter(|_| self.case.isolated) {
            simulation.nodes[node].peers_reachable = !refused;
            if node != self.old_leader {
                simulation.nodes[node].store_link = link(Link::Held);
            }
            // Its workers find no other one.
            for worker in simulation.workers.values_mut() {
                let others = (0..self.case.nodes).filter(|n| *n != node && refused);
                worker.partitioned_from = others.collect();
            }
        }
        let outage_at = REFUSAL_DELAY + self.case.outage_after;
        let paused = self.case.paused && refused && now < self.time_after(outage_at + 1.0);
        simulation.nodes[self.old_leader].paused = paused;
        if now >= self.time_after(outage_at) && !simulation.faults.store_outage {
            simulation.set_store_outage(true);
        }
    }

    /// The number of jobs whose cancellation was confirmed in this tick and whose tasks are still there.
    fn confirmed_now_with_tasks(&self, simulation: &Simulation) -> u32 {
        let confirmed_at = &simulation.checker.cancelled_at;
        let confirmed_now = (0..JOBS)
            .map(|job| self.job_id(job))
            .filter(|id| confirmed_at.get(id) == Some(&simulation.now));
        let running = confirmed_now.filter(|id| !simulation.placements(id).is_empty());
        running.count() as u32
    }

    /// Whatever was confirmed is gone by now, though the state service is away all the time.
    fn check_confirmed_jobs_stopped(&self, simulation: &Simulation) {
        assert!(simulation.faults.store_outage);
        for id in (0..JOBS).map(|job| self.job_id(job)) {
            let confirmed = simulation.checker.cancelled_at.contains_key(&id);
            assert!(
                !confirmed || simulation.placements(&id).is_empty(),
                "{id} is there"
            );
        }
    }

    fn heal(&self, simulation: &mut Simulation) {
        simulation.set_store_outage(false);
        simulation.nodes[self.old_leader].paused = false;
        simulation.heal_controllers();
        simulation.heal_worker_partitions();
        simulation.faults.hold_commands = false;
        simulation.network.held_commands.clear();
        simulation.run(LEASE.as_secs_f64() + 3.0);
    }

    fn cancel_remaining_jobs(&self, simulation: &mut Simulation) {
        for id in (0..JOBS).map(|job| self.job_id(job)) {
            let mut attempts = 0;
            while simulation.reported_final_state(&id).is_none() {
                let node = simulation.random(self.case.nodes);
                simulation.cancel(node, &id);
                simulation.run(0.3);
                attempts += 1;
                assert!(attempts < 60, "{id} cannot be cancelled");
            }
        }
    }
}

/// Plays a case. Returns how many users were answered by another controller than the old leader, between
/// the refusal and the outage, while tasks of theirs were still on machines.
fn run_case(case: Case, seed: u64) -> u32 {
    let policy = format!("delegate = {}\nidle_keep = 600", case.delegate);
    let setup = Setup {
        nodes: case.nodes,
        cancellation_limit: CANCELLATION_LIMIT,
    };
    let policy = Policy::parse("outage", &policy).unwrap();
    let mut simulation = Simulation::with_setup(seed, policy, setup);
    simulation.capacity.clear();
    simulation.add_machines("small", JOBS);
    simulation.run_until(10.0, "a leader", |simulation| simulation.leader().is_some());
    simulation.run(4.0);
    let mut confirmed_early = 0;
    for number in 0..case.rounds {
        let round = Round::start(&mut simulation, case, number as usize);
        confirmed_early += round.run(&mut simulation);
        round.check_confirmed_jobs_stopped(&simulation);
        round.heal(&mut simulation);
        round.cancel_remaining_jobs(&mut simulation);
        simulation.run(3.0);
    }
    simulation.run(CANCELLATION_LIMIT.as_secs_f64());
    assert_eq!(
        simulation.counters.late_starts, 0,
        "started after its user was told"
    );
    confirmed_early
}

fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for delegate in [true, false] {
        for outage_after in [0.2, 1.0, 2.5, 3.4, 4.0, 5.0] {
            for (target, refused) in [
                (HeartbeatTarget::Leader, 14.0),
                (HeartbeatTarget::Follower, 14.0),
                // The refusal ends inside the outage, or before a lease could end, or not before the outage does.
                (HeartbeatTarget::All, outage_after + 1.0),
                (HeartbeatTarget::Leader, 60.0),
            ] {
                cases.push(Case {
                    delegate,
                    outage_after,
                    target,
                    refused,
                    ..DEFAULT_CASE
                });
            }
        }
        for hold_commands in [true, false] {
            let case = Case {
                delegate,
                hold_commands,
                ..DEFAULT_CASE
            };
            let paused = true;
            for target in [HeartbeatTarget::Leader, HeartbeatTarget::Follower] {
                let isolated = true;
                cases.push(Case {
                    target,
                    isolated,
                    ..case
                });
            }
            cases.push(Case { nodes: 5, ..case });
            cases.push(Case { rounds: 2, ..case });
            cases.push(Case { paused, ..case });
            cases.push(Case {
                nodes: 5,
                target: HeartbeatTarget::Follower,
                paused,
                rounds: 2,
                ..case
            });
        }
    }
    cases
}

#[test]
fn cancelled_tasks_stop_in_time_despite_outage() {
    crate::core::simulation::enable_log();
    let mut effective_cases = 0;
    for (n, case) in cases().into_iter().enumerate() {
        let confirmed_early = run_case(case, 700 + n as u64);
        effective_cases += u32::from(confirmed_early > 0);
        // While the old lease runs, nobody else can confirm anything.
        let old_runs = case.outage_after < LEASE_TTL.as_secs_f64();
        assert!(!old_runs || confirmed_early == 0, "{case:?}");
    }
    assert!(
        effective_cases >= 10,
        "the gap came about in {effective_cases} rows only"
    );
}

/// Each safeguard that keeps it, taken out by itself, is found by the rule.
#[test]
fn checker_detects_disabled_safeguards_in_outage() {
    for safeguard in [
        Safeguard::LeaseValidity,
        Safeguard::GrantExpiry,
        Safeguard::StopEndedJobs,
    ] {
        let violating_case = cases().into_iter().enumerate().find_map(|(n, case)| {
            let message = failure_without(safeguard, || {
                run_case(case, 700 + n as u64);
            })?;
            message.contains("of a cancelled job is on").then_some(case)
        });
        assert!(
            violating_case.is_some(),
            "{safeguard:?} is out, and nothing is found"
        );
    }
}
