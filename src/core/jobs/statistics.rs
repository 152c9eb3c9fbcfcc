//! Running statistics of jobs: how run times compare with estimates, and how often jobs arrive.

use crate::core::Now;
use crate::core::store::cache::JobRecord;
use std::time::{Duration, Instant};

/// A class begins as if it had run, and been estimated to run, for this long, in seconds.
const PRIOR_S: f64 = 60.0;
/// Bounds of the factor for estimates.
const MIN_RUNTIME_FACTOR: f64 = 0.2;
const MAX_RUNTIME_FACTOR: f64 = 5.0;
/// With each run time the ones before it count for this part of what they did.
const RUNTIME_DECAY: f64 = 0.98;
/// Jobs submitted this short a while ago tell a new leader how often they come.
const RECENT: Duration = Duration::from_secs(30);
/// Arrivals count for a fraction of 1/e after this time, in seconds.
const ARRIVAL_DECAY_S: f64 = 180.0;
/// Fewer jobs than this count as none.
const MIN_JOBS: f64 = 1e-3;

/// How a class's run times compare with its estimates.
#[derive(Clone, Copy, Debug, Default)]
pub struct RuntimeRatio {
    /// Seconds that tasks ran.
    actual: f64,
    /// Seconds that they were estimated to run.
    estimated: f64,
}

impl RuntimeRatio {
    /// By what an estimate is to be multiplied; a few run times count little.
    pub fn factor(&self) -> f64 {
        let ratio = (self.actual + PRIOR_S) / (self.estimated + PRIOR_S);
        ratio.clamp(MIN_RUNTIME_FACTOR, MAX_RUNTIME_FACTOR)
    }

    /// Adds a task's run time and its estimate, in seconds; those before it count a little less.
    pub fn record(&mut self, actual: f64, estimated: f64) {
        self.actual = self.actual * RUNTIME_DECAY + actual;
        self.estimated = self.estimated * RUNTIME_DECAY + estimated;
    }
}

/// How often jobs arrive; older arrivals count less.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalRate {
    /// When jobs last arrived.
    updated: Instant,
    /// The time observed, decayed.
    seconds: f64,
    /// The jobs that arrived in it, decayed.
    jobs: f64,
}

impl ArrivalRate {
    /// What a new leader expects: as many as came in the last half minute and are not over yet,
    /// and one in two minutes beside them. Without those, each takeover would keep idle machines
    /// as if hardly any job came.
    pub fn new<'a>(now: Now, jobs: impl Iterator<Item = &'a JobRecord>) -> ArrivalRate {
        let is_recent = |job: &&JobRecord| {
            let age = now.wall.duration_since(job.submitted);
            age.unwrap_or_default() < RECENT
        };
        ArrivalRate {
            updated: now.mono,
            seconds: RECENT.as_secs_f64() * 2.0,
            jobs: jobs.filter(is_recent).count() as f64 * 2.0 + 0.5,
        }
    }

    /// Adds jobs that arrived now.
    pub fn record(&mut self, now: Instant, jobs: u32) {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        let kept = (-passed / ARRIVAL_DECAY_S).exp();
        self.updated = now;
        self.seconds = self.seconds * kept + passed;
        self.jobs = self.jobs * kept + f64::from(jobs);
    }

    /// Mean time between two jobs, in seconds.
    pub fn mean_interarrival_s(&self) -> f64 {
        self.seconds / self.jobs.max(MIN_JOBS)
    }
}
