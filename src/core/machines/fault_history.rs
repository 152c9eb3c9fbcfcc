//! Fault history of a machine: failures of tasks on the machine, and run times longer than elsewhere.

use crate::job::JobId;
use std::collections::BTreeSet;
use std::time::Instant;

/// Failures of tasks on a machine, and the machine's slowness.
#[derive(Clone, Debug, Default)]
pub struct FaultHistory {
    /// Jobs whose tasks have failed on the machine since the last success.
    pub failed_jobs: BTreeSet<JobId>,
    /// Number of failures of tasks on the machine since the last success.
    pub failures: u32,
    /// Time before which the machine gets no tasks because of its latest failures.
    pub avoid_until: Option<Instant>,
    /// Run times of tasks on the machine, compared with those on other machines.
    pub slowness: Slowness,
}

impl FaultHistory {
    /// Records that a task has completed: earlier failures do not count any more.
    pub fn record_success(&mut self) {
        self.failed_jobs.clear();
        self.failures = 0;
    }

    /// Clears the failures of a job whose failures are its own fault.
    pub fn clear_failures_of(&mut self, job: &JobId) {
        self.failed_jobs.remove(job);
        if self.failed_jobs.is_empty() {
            self.failures = 0;
            self.avoid_until = None;
        }
    }
}

/// Run times on a machine, compared with those of the same jobs on all machines: a decayed mean of logarithms of
/// ratios.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slowness {
    sum: f64,
    weight: f64,
}

impl Slowness {
    /// Records the logarithm of a run time's ratio to the usual run time; the weight of earlier records decays.
    pub fn record(&mut self, log_ratio: f64) {
        const DECAY: f64 = 0.95;
        self.sum = self.sum * DECAY + log_ratio;
        self.weight = self.weight * DECAY + 1.0;
    }

    fn mean(&self) -> f64 {
        /// Weight of a neutral prior, as a few run times prove little.
        const PRIOR_WEIGHT: f64 = 2.0;
        self.sum / (self.weight + PRIOR_WEIGHT)
    }

    /// Returns whether run times over several tasks are more than about two and a half times (e^0.9) the usual.
    pub fn is_faulty(&self) -> bool {
        const MIN_WEIGHT: f64 = 5.0;
        const MAX_LOG_RATIO: f64 = 0.9;
        self.weight >= MIN_WEIGHT && self.mean() > MAX_LOG_RATIO
    }

    /// Returns the delay, in seconds, that is worth accepting to avoid the machine.
    pub fn penalty_s(&self) -> f64 {
        const TOLERATED_LOG_RATIO: f64 = 0.3;
        const SECONDS_PER_LOG_RATIO: f64 = 20.0;
        (self.mean() - TOLERATED_LOG_RATIO).max(0.0) * SECONDS_PER_LOG_RATIO
    }
}
