//! Cancellations before and during an outage of the state service. The state service first refuses only
//! the leader's requests; another controller takes over and confirms cancellations; then the state
//! service serves no controller for longer than a cancellation may take, while the workers still send
//! heartbeats to the old leader. `docs/design.md` calculates the time line. The simulation checks at every
//! tick that no task of a job runs longer than the cancellation limit after its cancellation was confirmed.

use super::unlimited_job;
use crate::core::leadership::lease::LEASE_TTL;
use crate::core::simulation::{LEASE, Link, Setup, Simulation, failure_without};
use crate::fault_injection::Safeguard;
use crate::policy::Policy;
use std::time::{Duration, Instant};

/// Controllers that receive the workers' heartbeats when the state service refuses the leader.
#[derive(Clone, Copy, Debug, PartialEq)]
enum HeartbeatTarget {
    Leader,
    Follower,
    All,
}

#[derive(Clone, Copy, Debug)]
struct Case {
    /// Number of controllers.
    nodes: usize,
    delegate: bool,
    target: HeartbeatTarget,
    /// Seconds from the start of the refusal to the start of the outage.
    outage_after: f64,
    /// Seconds for which the state service refuses the leader.
    refused: f64,
    /// Whether the old leader is paused from the start of the refusal until shortly after the start of the outage.
    paused: bool,
    rounds: u32,
    /// Whether the network holds direct commands.
    hold_commands: bool,
    /// Whether the controller that receives the heartbeats is cut off from the state service and the other
    /// controllers.
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

/// Sum of a worker's lease, the time for which a leader may act on its last lease renewal, and a margin.
const CANCELLATION_LIMIT: Duration = Duration::from_millis(13_700);

/// Number of jobs in a round.
const JOBS: usize = 12;
/// Seconds from the first cancellation to the start of the refusal.
const REFUSAL_DELAY: f64 = 0.5;
/// Seconds between the first cancellations of two jobs.
const CANCEL_INTERVAL: f64 = 0.45;

/// A refusal of the leader and the outage that follows.
struct Round {
    case: Case,
    number: usize,
    old_leader: usize,
    /// The controller that receives all heartbeats; `None` if all controllers receive some.
    heartbeat_target: Option<usize>,
    started_at: Instant,
}

impl Round {
    /// Starts a round's jobs, and directs the workers' heartbeats to the controllers that the case names.
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
        simulation.run_until(40.0, "all jobs run", |simulation| {
            (0..JOBS).all(|job| !simulation.placements(&self.job_id(job)).is_empty())
        });
    }

    /// Returns the time `seconds` after the start of the round.
    fn time_after(&self, seconds: f64) -> Instant {
        self.started_at + Duration::from_secs_f64(seconds)
    }

    /// Cancels jobs, refuses the leader and begins the outage, each at its time. Returns the number of
    /// cancellations that were confirmed under a new leader before the outage while tasks of the job
    /// still ran.
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

    /// Cancels the jobs that are due, each through a random controller. The first one is due shortly before
    /// the refusal, and the others follow at intervals of `CANCEL_INTERVAL`.
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

    /// Injects the faults of the case that are due, and ends those that are over.
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
            // The workers of the isolated controller reach no other controller.
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

    /// Returns the number of jobs whose cancellation was confirmed in this tick and whose tasks still run.
    fn confirmed_now_with_tasks(&self, simulation: &Simulation) -> u32 {
        let confirmed_at = &simulation.checker.cancelled_at;
        let confirmed_now = (0..JOBS)
            .map(|job| self.job_id(job))
            .filter(|id| confirmed_at.get(id) == Some(&simulation.now));
        let running = confirmed_now.filter(|id| !simulation.placements(id).is_empty());
        running.count() as u32
    }

    /// Checks that no task of a job with a confirmed cancellation runs, although the outage still lasts.
    fn check_confirmed_jobs_stopped(&self, simulation: &Simulation) {
        assert!(simulation.faults.store_outage);
        for id in (0..JOBS).map(|job| self.job_id(job)) {
            let confirmed = simulation.checker.cancelled_at.contains_key(&id);
            assert!(
                !confirmed || simulation.placements(&id).is_empty(),
                "{id} is cancelled and still runs"
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

/// Runs the rounds of a case. Returns the number of cancellations that were confirmed under a new leader
/// between the refusal and the outage while tasks of the job still ran.
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
        "started after the cancellation was confirmed"
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
                // The refusal ends during the outage; with a short delay of the outage, that is before the
                // leader's lease could expire.
                (HeartbeatTarget::All, outage_after + 1.0),
                // The refusal lasts longer than the outage.
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
        // No other controller can confirm a cancellation before the old leader's lease has expired.
        let old_lease_valid = case.outage_after < LEASE_TTL.as_secs_f64();
        assert!(!old_lease_valid || confirmed_early == 0, "{case:?}");
    }
    assert!(
        effective_cases >= 10,
        "cancellations were confirmed before tasks had stopped in {effective_cases} cases only"
    );
}

/// Disables each safeguard that makes tasks stop in time: the checker detects a violation in some case.
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
            "{safeguard:?} is disabled, and the checker reports no violation"
        );
    }
}
