//! Random fault schedules for three controllers that serve workers for one another, with the invariants
//! checked at every tick. `proptest` generates the schedules from a fixed seed, so that the result is
//! always the same, and shrinks a schedule that violates an invariant to the fewest steps. Each shrunk
//! schedule becomes a test of its own in `found`. To run more schedules, or others:
//!
//! ```text
//! HISTORIES=10000 cargo test --lib randomized
//! HISTORY_SEED=1 cargo test --lib randomized
//! ```
//!
//! - `schedule`: steps, and their generation.
//! - `run`, `faults`: a running schedule, and the injection of faults.
//! - `command_copies`: schedules with copies of all direct commands.
//! - `dropped_ends`: schedules in which controllers have memory for the ends of few jobs.

mod command_copies;
mod dropped_ends;
mod faults;
pub(in crate::core::simulation) mod found;
mod run;
mod schedule;

use self::run::{JobMix, ScheduleRun};
use self::schedule::{Step, any_step};
use crate::core::simulation::failure_without;
use crate::fault_injection::Safeguard;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const NODES: usize = 3;

fn run_schedule(seed: u64, steps: &[Step]) {
    run_schedule_with(seed, steps, JobMix::Small);
}

fn run_schedule_with(seed: u64, steps: &[Step], job_mix: JobMix) {
    let mut run = ScheduleRun::new(seed, job_mix);
    for (number, step) in steps.iter().enumerate() {
        run.run_step(number, step);
    }
    run.check_recovery();
}

#[test]
fn random_schedules_violate_no_invariant() {
    run_random_schedules(150, JobMix::Small, any_schedule());
}

/// Every other job is stored in parts.
#[test]
fn random_schedules_with_large_jobs_violate_no_invariant() {
    run_random_schedules(60, JobMix::EveryOtherLarge, any_schedule());
}

/// Generates schedules with any faults, each with a seed.
fn any_schedule() -> impl Strategy<Value = (u64, Vec<Step>)> {
    (any::<u64>(), proptest::collection::vec(any_step(), 1..14))
}

/// Runs schedules, as many as the environment says or `default_cases`.
fn run_random_schedules(
    default_cases: u32,
    job_mix: JobMix,
    schedules: impl Strategy<Value = (u64, Vec<Step>)>,
) {
    let cases = std::env::var("HISTORIES").ok().and_then(|n| n.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(default_cases),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    };
    let mut seed = [0; 32];
    let chosen_seed = std::env::var("HISTORY_SEED")
        .ok()
        .and_then(|n| n.parse().ok());
    seed[..8].copy_from_slice(&chosen_seed.unwrap_or(0u64).to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let outcome = runner.run(&schedules, |(seed, steps)| {
        run_schedule_with(seed, &steps, job_mix);
        Ok(())
    });
    if let Err(e) = outcome {
        panic!("{e}");
    }
}

/// With a safeguard disabled, some random schedule must violate the invariant that it upholds.
#[test]
fn checker_detects_each_disabled_safeguard() {
    const CASES: [(Safeguard, &str, u8); 10] = [
        (Safeguard::RecoveryWait, " and on ", 0),
        (Safeguard::TeamLimit, "team t uses", 0),
        (Safeguard::SpotEligibility, "is on a spot machine", 0),
        (Safeguard::StopEndedJobs, "of a cancelled job is on", 0),
        (Safeguard::DurableAcceptance, "was forgotten", 6),
        (Safeguard::UnknownJob, "was never submitted", 0),
        (Safeguard::ArrayCompletion, "is not done", 0),
        (Safeguard::DurableCancellation, "said to be", 6),
        (Safeguard::UniqueTerm, "two leaderships have term", 0),
        (Safeguard::FreshRead, "was forgotten", 0),
    ];
    for (safeguard, expected, seed) in CASES {
        // The seed of each case leads to a violation after few schedules.
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
        let mut runner = TestRunner::new_with_rng(Config::default(), rng);
        let schedules = (any::<u64>(), proptest::collection::vec(any_step(), 1..24));
        let found = (0..3000).find_map(|n| {
            let (seed, steps) = schedules.new_tree(&mut runner).ok()?.current();
            let message = failure_without(safeguard, || run_schedule(seed, &steps))?;
            message.contains(expected).then_some((n, message))
        });
        let (n, message) = found.unwrap_or_else(|| {
            panic!("{safeguard:?} is disabled, and no schedule failed with: {expected}")
        });
        println!("{safeguard:?}: schedule {n}: {message}");
    }
}
