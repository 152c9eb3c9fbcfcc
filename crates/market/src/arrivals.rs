//! What will arrive soon, from what has arrived: jobs of a class a second, and how large they are.

use std::time::{Duration, Instant};

/// Older arrivals fade: the baseline rate is that of some minutes, the recent one of seconds.
const BASELINE_DECAY_S: f64 = 150.0;
const RECENT_DECAY_S: f64 = 12.0;
/// So many standard deviations above the baseline count as chance.
const SURGE_DEVIATIONS: f64 = 1.0;
/// How much the sizes seen so far count when another job arrives.
const SIZE_DECAY: f64 = 0.95;

/// Arrivals of one class of jobs.
#[derive(Clone, Debug)]
pub struct ArrivalEstimate {
    updated: Instant,
    baseline: DecayingRate,
    recent: DecayingRate,
    /// Mean number of a job's tasks.
    mean_tasks: f64,
    /// Mean run time of a task, in seconds.
    mean_runtime_s: f64,
    /// Decaying number of jobs that the means are of.
    weight: f64,
}

/// Jobs against time, both decaying.
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
    /// An estimate that begins now, with no arrivals.
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

    /// A job has arrived, with so many tasks of about this run time.
    pub fn record(&mut self, now: Instant, tasks: u32, runtime: Duration) {
        self.advance(now);
        self.baseline.jobs += 1.0;
        self.recent.jobs += 1.0;
        self.weight = self.weight * SIZE_DECAY + 1.0;
        self.mean_tasks += (f64::from(tasks) - self.mean_tasks) / self.weight;
        self.mean_runtime_s += (runtime.as_secs_f64() - self.mean_runtime_s) / self.weight;
    }

    /// Jobs a second beyond the baseline, as far as chance alone would hardly bring them. The
    /// baseline is served by the machines there are, or waits and bids for itself.
    pub fn surge(&mut self, now: Instant) -> f64 {
        self.advance(now);
        // Too short a past says nothing of the baseline.
        if self.baseline.seconds < 2.0 * RECENT_DECAY_S {
            return 0.0;
        }
        let baseline = self.baseline.per_second();
        let span = self.recent.seconds.max(1.0);
        let noise = SURGE_DEVIATIONS * (baseline * span).sqrt() / span;
        (self.recent.per_second() - baseline - noise).max(0.0)
    }

    /// Mean number of a job's tasks, and a task's mean run time.
    pub fn mean_size(&self) -> (f64, Duration) {
        let runtime = Duration::from_secs_f64(self.mean_runtime_s.max(0.0));
        (self.mean_tasks, runtime)
    }
}

#[cfg(test)]
mod tests;
