//! What will come soon, from what came: jobs of a class a second, and how large they are.

use std::time::{Duration, Instant};

/// Older arrivals fade: the usual rate is that of some minutes, the present one of seconds.
const USUAL_S: f64 = 150.0;
const PRESENT_S: f64 = 12.0;
/// So many standard deviations of what is usual count as chance.
const UNLIKELY: f64 = 1.0;

/// Arrivals of one class of jobs.
#[derive(Clone, Debug)]
pub struct Demand {
    at: Instant,
    usual: Rate,
    present: Rate,
    /// Mean size of a job, in tasks, and of a task, in seconds.
    tasks: f64,
    run_s: f64,
    seen: f64,
}

/// Jobs against time, both fading.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    jobs: f64,
    seconds: f64,
}

impl Rate {
    fn pass(&mut self, seconds: f64, fades: f64) {
        let kept = (-seconds / fades).exp();
        self.jobs *= kept;
        self.seconds = self.seconds * kept + fades * (1.0 - kept);
    }

    fn a_second(&self) -> f64 {
        self.jobs / self.seconds.max(1.0)
    }
}

impl Demand {
    pub fn new(now: Instant) -> Demand {
        Demand {
            at: now,
            usual: Rate::default(),
            present: Rate::default(),
            tasks: 0.0,
            run_s: 0.0,
            seen: 0.0,
        }
    }

    fn pass(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        self.usual.pass(passed, USUAL_S);
        self.present.pass(passed, PRESENT_S);
    }

    /// A job came.
    pub fn note(&mut self, now: Instant, tasks: u32, run: Duration) {
        const FADE: f64 = 0.95;
        self.pass(now);
        self.usual.jobs += 1.0;
        self.present.jobs += 1.0;
        self.seen = self.seen * FADE + 1.0;
        self.tasks += (f64::from(tasks) - self.tasks) / self.seen;
        self.run_s += (run.as_secs_f64() - self.run_s) / self.seen;
    }

    /// Jobs a second beyond the usual ones, as far as chance alone would hardly bring them. What is
    /// usual is served by what there is, or waits and bids for itself.
    pub fn surge(&mut self, now: Instant) -> f64 {
        self.pass(now);
        // Too short a past says nothing of what is usual.
        if self.usual.seconds < 2.0 * PRESENT_S {
            return 0.0;
        }
        let usual = self.usual.a_second();
        let span = self.present.seconds.max(1.0);
        let chance = UNLIKELY * (usual * span).sqrt() / span;
        (self.present.a_second() - usual - chance).max(0.0)
    }

    /// Mean number of a job's tasks, and a task's mean run time.
    pub fn size(&self) -> (f64, Duration) {
        (self.tasks, Duration::from_secs_f64(self.run_s.max(0.0)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_burst_is_seen_within_seconds_and_forgotten_soon_after() {
        let t0 = Instant::now();
        let at = |s: f64| t0 + Duration::from_secs_f64(s);
        let mut d = Demand::new(t0);
        assert_eq!(d.surge(at(0.0)), 0.0);
        for i in 0..120 {
            d.note(at(f64::from(i) * 2.0), 100, Duration::from_secs(10));
        }
        assert_eq!(d.surge(at(240.0)), 0.0, "as many as ever");
        for i in 0..30 {
            d.note(at(240.0 + f64::from(i) * 0.5), 100, Duration::from_secs(10));
        }
        // Four times as many for a quarter of a minute: most of what is beyond the usual is seen.
        let burst = d.surge(at(255.0));
        assert!((0.5..1.5).contains(&burst), "{burst}");
        assert_eq!(d.surge(at(300.0)), 0.0);
        assert_eq!(d.size(), (100.0, Duration::from_secs(10)));
    }
}
