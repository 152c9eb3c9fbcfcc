//! What will come soon, from what came: jobs of a class a second, and how large they are.

use std::time::{Duration, Instant};

/// Older arrivals fade: the usual rate is that of some minutes, the present one of seconds.
const BASELINE_DECAY_S: f64 = 150.0;
const RECENT_DECAY_S: f64 = 12.0;
/// So many standard deviations of what is usual count as chance.
const SURGE_DEVIATIONS: f64 = 1.0;

/// Arrivals of one class of jobs.
#[derive(Clone, Debug)]
pub struct ArrivalEstimate {
    at: Instant,
    baseline: DecayingRate,
    recent: DecayingRate,
    /// Mean size of a job, in tasks, and of a task, in seconds.
    tasks: f64,
    run_s: f64,
    seen: f64,
}

/// Jobs against time, both fading.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingRate {
    jobs: f64,
    seconds: f64,
}

impl DecayingRate {
    fn pass(&mut self, seconds: f64, fades: f64) {
        let kept = (-seconds / fades).exp();
        self.jobs *= kept;
        self.seconds = self.seconds * kept + fades * (1.0 - kept);
    }

    fn per_second(&self) -> f64 {
        self.jobs / self.seconds.max(1.0)
    }
}

impl ArrivalEstimate {
    pub fn new(now: Instant) -> ArrivalEstimate {
        ArrivalEstimate {
            at: now,
            baseline: DecayingRate::default(),
            recent: DecayingRate::default(),
            tasks: 0.0,
            run_s: 0.0,
            seen: 0.0,
        }
    }

    fn pass(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        self.baseline.pass(passed, BASELINE_DECAY_S);
        self.recent.pass(passed, RECENT_DECAY_S);
    }

    /// A job came.
    pub fn note(&mut self, now: Instant, tasks: u32, run: Duration) {
        const FADE: f64 = 0.95;
        self.pass(now);
        self.baseline.jobs += 1.0;
        self.recent.jobs += 1.0;
        self.seen = self.seen * FADE + 1.0;
        self.tasks += (f64::from(tasks) - self.tasks) / self.seen;
        self.run_s += (run.as_secs_f64() - self.run_s) / self.seen;
    }

    /// Jobs a second beyond the usual ones, as far as chance alone would hardly bring them. What is
    /// usual is served by what there is, or waits and bids for itself.
    pub fn surge(&mut self, now: Instant) -> f64 {
        self.pass(now);
        // Too short a past says nothing of what is usual.
        if self.baseline.seconds < 2.0 * RECENT_DECAY_S {
            return 0.0;
        }
        let baseline = self.baseline.per_second();
        let span = self.recent.seconds.max(1.0);
        let chance = SURGE_DEVIATIONS * (baseline * span).sqrt() / span;
        (self.recent.per_second() - baseline - chance).max(0.0)
    }

    /// Mean number of a job's tasks, and a task's mean run time.
    pub fn size(&self) -> (f64, Duration) {
        (self.tasks, Duration::from_secs_f64(self.run_s.max(0.0)))
    }
}

#[cfg(test)]
mod tests;
