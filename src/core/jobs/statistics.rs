//! Running statistics of jobs: the ratio of run times to estimates, and the arrival rate.

use crate::core::Now;
use crate::core::store::cache::JobRecord;
use std::time::{Duration, Instant};

/// Both the run time and the estimate that a class starts with, in seconds, so that a few run times have
/// little effect.
const PRIOR_S: f64 = 60.0;
/// Bounds of the factor by which estimates are multiplied.
const MIN_RUNTIME_FACTOR: f64 = 0.2;
const MAX_RUNTIME_FACTOR: f64 = 5.0;
/// Factor by which the weight of earlier run times decreases with each new one.
const RUNTIME_DECAY: f64 = 0.98;
/// Maximum age of the jobs from which a new leader estimates the arrival rate.
const RECENT: Duration = Duration::from_secs(30);
/// Time after which the weight of an arrival has decreased to 1/e, in seconds.
const ARRIVAL_DECAY_S: f64 = 180.0;
/// Lower bound of the number of arrivals in the mean time between them, which keeps it finite.
const MIN_JOBS: f64 = 1e-3;

/// Ratio of a class's run times to its estimates.
#[derive(Clone, Copy, Debug, Default)]
pub struct RuntimeRatio {
    /// Run times of tasks, in seconds, decayed.
    actual: f64,
    /// Estimated run times of the same tasks, in seconds, decayed.
    estimated: f64,
}

impl RuntimeRatio {
    /// Returns the factor by which an estimate is to be multiplied; a few run times have little effect.
    pub fn factor(&self) -> f64 {
        let ratio = (self.actual + PRIOR_S) / (self.estimated + PRIOR_S);
        ratio.clamp(MIN_RUNTIME_FACTOR, MAX_RUNTIME_FACTOR)
    }

    /// Adds a task's run time and its estimate, in seconds; earlier ones lose some of their weight.
    pub fn record(&mut self, actual: f64, estimated: f64) {
        self.actual = self.actual * RUNTIME_DECAY + actual;
        self.estimated = self.estimated * RUNTIME_DECAY + estimated;
    }
}

/// Rate at which jobs arrive; older arrivals have less weight.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalRate {
    /// When the rate was last updated.
    updated: Instant,
    /// Observed time, in seconds, decayed.
    seconds: f64,
    /// Number of jobs that arrived in that time, decayed.
    jobs: f64,
}

impl ArrivalRate {
    /// Creates the estimate of a new leader: the rate of those live jobs that were submitted in the last
    /// half minute, plus one job in two minutes. Without the recent jobs, a new leader would treat idle
    /// machines as if hardly any jobs arrived.
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

    /// Adds the jobs that arrived now; with 0, only the observed time advances.
    pub fn record(&mut self, now: Instant, jobs: u32) {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        let kept = (-passed / ARRIVAL_DECAY_S).exp();
        self.updated = now;
        self.seconds = self.seconds * kept + passed;
        self.jobs = self.jobs * kept + f64::from(jobs);
    }

    /// Returns the mean time between the arrivals of two jobs, in seconds.
    pub fn mean_interarrival_s(&self) -> f64 {
        self.seconds / self.jobs.max(MIN_JOBS)
    }
}
