//! Estimates the arrival rate and the size of jobs of one class from past arrivals.

use std::time::{Duration, Instant};

/// Time constants, in seconds, with which past arrivals decay: minutes for the baseline rate, seconds
/// for the recent rate.
const BASELINE_DECAY_S: f64 = 150.0;
const RECENT_DECAY_S: f64 = 12.0;
/// Number of standard deviations above the baseline that are attributed to chance.
const SURGE_DEVIATIONS: f64 = 1.0;
/// Factor by which the weight of earlier job sizes is reduced at each arrival.
const SIZE_DECAY: f64 = 0.95;

/// Estimate of the arrivals of one class of jobs.
#[derive(Clone, Debug)]
pub struct ArrivalEstimate {
    updated: Instant,
    baseline: DecayingRate,
    recent: DecayingRate,
    /// Mean number of tasks per job.
    mean_tasks: f64,
    /// Mean run time of a task, in seconds.
    mean_runtime_s: f64,
    /// Decayed number of jobs from which the means are computed.
    weight: f64,
}

/// Number of jobs and observed time, both with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingRate {
    jobs: f64,
    seconds: f64,
}

impl DecayingRate {
    fn advance(&mut self, seconds: f64, decay_s: f64) {
        let decay = (-seconds / decay_s).exp();
        self.jobs *= decay;
        self.seconds = self.seconds * decay + decay_s * (1.0 - decay);
    }

    fn per_second(&self) -> f64 {
        self.jobs / self.seconds.max(1.0)
    }
}

impl ArrivalEstimate {
    /// Creates an estimate without arrivals that starts at `now`.
    pub fn new(now: Instant) -> ArrivalEstimate {
        ArrivalEstimate {
            updated: now,
            baseline: DecayingRate::default(),
            recent: DecayingRate::default(),
            mean_tasks: 0.0,
            mean_runtime_s: 0.0,
            weight: 0.0,
        }
    }

    fn advance(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = now;
        self.baseline.advance(passed, BASELINE_DECAY_S);
        self.recent.advance(passed, RECENT_DECAY_S);
    }

    /// Records the arrival of a job with `tasks` tasks, each of about this run time.
    pub fn record(&mut self, now: Instant, tasks: u32, runtime: Duration) {
        self.advance(now);
        self.baseline.jobs += 1.0;
        self.recent.jobs += 1.0;
        self.weight = self.weight * SIZE_DECAY + 1.0;
        self.mean_tasks += (f64::from(tasks) - self.mean_tasks) / self.weight;
        self.mean_runtime_s += (runtime.as_secs_f64() - self.mean_runtime_s) / self.weight;
    }

    /// Returns the arrival rate in excess of the baseline, in jobs per second, less the excess that
    /// chance explains. Arrivals at the baseline rate are left out: the present machines serve them,
    /// or they wait and submit bids of their own.
    pub fn surge(&mut self, now: Instant) -> f64 {
        self.advance(now);
        // The baseline is unreliable until it covers enough time.
        if self.baseline.seconds < 2.0 * RECENT_DECAY_S {
            return 0.0;
        }
        let baseline = self.baseline.per_second();
        let span = self.recent.seconds.max(1.0);
        let noise = SURGE_DEVIATIONS * (baseline * span).sqrt() / span;
        (self.recent.per_second() - baseline - noise).max(0.0)
    }

    /// Returns the mean number of tasks per job and the mean run time of a task.
    pub fn mean_size(&self) -> (f64, Duration) {
        let runtime = Duration::from_secs_f64(self.mean_runtime_s.max(0.0));
        (self.mean_tasks, runtime)
    }
}

#[cfg(test)]
mod tests;
