//! A machine's fault history: failures of tasks on it, and run times longer than elsewhere.

use crate::job::JobId;
use std::collections::BTreeSet;
use std::time::Instant;

/// Failures of tasks on a machine, and how slow it is.
#[derive(Clone, Debug, Default)]
pub struct FaultHistory {
    /// Jobs of which tasks failed here since the last success.
    pub failed_jobs: BTreeSet<JobId>,
    /// Failures of tasks here since the last success.
    pub failures: u32,
    /// Because of its latest failures, it gets no tasks before this moment.
    pub avoid_until: Option<Instant>,
    /// Run times of tasks here against those elsewhere.
    pub slowness: Slowness,
}

impl FaultHistory {
    /// A task has completed: the failures before it do not count any more.
    pub fn record_success(&mut self) {
        self.failed_jobs.clear();
        self.failures = 0;
    }

    /// The failures of this job are its own fault.
    pub fn clear_failures_of(&mut self, job: &JobId) {
        self.failed_jobs.remove(job);
        if self.failed_jobs.is_empty() {
            self.failures = 0;
            self.avoid_until = None;
        }
    }
}

/// Run times on a machine against those of the same jobs everywhere.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slowness {
    sum: f64,
    weight: f64,
}

impl Slowness {
    /// Notes the logarithm of a run time's ratio to the usual one; older notes fade.
    pub fn record(&mut self, log_ratio: f64) {
        const DECAY: f64 = 0.95;
        self.sum = self.sum * DECAY + log_ratio;
        self.weight = self.weight * DECAY + 1.0;
    }

    fn mean(&self) -> f64 {
        /// Weight of a neutral prior, as a few observations prove little.
        const PRIOR_WEIGHT: f64 = 2.0;
        self.sum / (self.weight + PRIOR_WEIGHT)
    }

    /// Two and a half times the usual, over several tasks.
    pub fn is_faulty(&self) -> bool {
        const MIN_WEIGHT: f64 = 5.0;
        const MAX_LOG_RATIO: f64 = 0.9;
        self.weight >= MIN_WEIGHT && self.mean() > MAX_LOG_RATIO
    }

    /// Seconds that it is worth to avoid the machine.
    pub fn penalty_s(&self) -> f64 {
        const TOLERATED_LOG_RATIO: f64 = 0.3;
        const SECONDS_PER_LOG_RATIO: f64 = 20.0;
        (self.mean() - TOLERATED_LOG_RATIO).max(0.0) * SECONDS_PER_LOG_RATIO
    }
}
