//! What a later start costs: the users' aims as a curve of money over time.

use std::time::Duration;

/// An aim that can still be met: the task has to start by then, or the loss is there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceLevelObjective {
    pub by: Duration,
    /// How far off that may be, as nobody knows how long a task runs; zero for aims on starting.
    pub unsure: Duration,
    /// Units of money for each task that misses it.
    pub loss: f64,
}

/// What starting one task after some delay costs its owner.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DelayCost {
    aims: Vec<ServiceLevelObjective>,
    /// Units of money for each second, whatever the aims.
    time_value: f64,
}

/// A forecast of a start is off by this part of it, and by this much in any case: so an aim is
/// missed more and more likely from a little before its time to a little after it.
const RELATIVE_UNCERTAINTY: f64 = 0.25;
const MIN_UNCERTAINTY_S: f64 = 2.0;

impl DelayCost {
    /// Aims that cannot be met any more should be left out: nothing is to be had for them, and
    /// `time_value` alone speaks for work that is late already.
    pub fn new(mut aims: Vec<ServiceLevelObjective>, time_value: f64) -> DelayCost {
        aims.retain(|a| a.loss > 0.0);
        aims.sort_by(|a, b| a.by.cmp(&b.by).then(a.loss.total_cmp(&b.loss)));
        let time_value = if time_value.is_finite() {
            time_value.max(0.0)
        } else {
            0.0
        };
        DelayCost { aims, time_value }
    }

    /// Nothing is lost by any delay.
    pub fn is_zero(&self) -> bool {
        self.aims.is_empty() && self.time_value == 0.0
    }

    /// The expected loss of a start after `delay`. It never falls as the delay grows.
    pub fn loss(&self, delay: Duration) -> f64 {
        let delay = delay.as_secs_f64();
        let missed = |a: &ServiceLevelObjective| {
            let by = a.by.as_secs_f64();
            let unsure = a.unsure.as_secs_f64();
            let blur = (by * RELATIVE_UNCERTAINTY)
                .max(MIN_UNCERTAINTY_S)
                .max(unsure);
            let late = ((delay - (by - blur)) / (2.0 * blur)).clamp(0.0, 1.0);
            a.loss * late
        };
        self.aims.iter().map(missed).sum::<f64>() + self.time_value * delay
    }

    /// What starting after `sooner` instead of `later` saves.
    pub fn gain(&self, later: Duration, sooner: Duration) -> f64 {
        (self.loss(later) - self.loss(sooner)).max(0.0)
    }
}

/// What one missed task of an aim weighs: a share of 0.975 allows one miss in forty, so each is
/// worth forty tasks; a share of all, or of none, is no rate of exchange.
pub fn weight(share: f64) -> f64 {
    const MOST: f64 = 200.0;
    if !(0.0..=1.0).contains(&share) || share == 0.0 {
        return 1.0;
    }
    (1.0 / (1.0 - share).max(1.0 / MOST)).max(1.0)
}

#[cfg(test)]
mod tests;
