//! What a later start costs: the users' objectives as a curve of money over time.

use std::time::Duration;

/// A forecast of a start is off by this part of it, and by this much in any case: so an objective
/// is missed more and more likely from a little before its time to a little after it.
const RELATIVE_UNCERTAINTY: f64 = 0.25;
const MIN_UNCERTAINTY_S: f64 = 2.0;
/// The most that one missed task weighs.
const MAX_OBJECTIVE_WEIGHT: f64 = 200.0;

/// An objective that can still be met: the task has to start in time, or the loss is there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceLevelObjective {
    /// When the task has to start, from now on.
    pub start_within: Duration,
    /// How far off that may be, as nobody knows how long a task runs; zero for objectives on
    /// starting.
    pub uncertainty: Duration,
    /// Units of money for each task that misses it.
    pub miss_cost: f64,
}

impl ServiceLevelObjective {
    /// The expected loss of a start after so many seconds.
    fn expected_loss(&self, delay_s: f64) -> f64 {
        let start_within = self.start_within.as_secs_f64();
        let uncertainty = (start_within * RELATIVE_UNCERTAINTY)
            .max(MIN_UNCERTAINTY_S)
            .max(self.uncertainty.as_secs_f64());
        let earliest_miss = start_within - uncertainty;
        let miss_chance = ((delay_s - earliest_miss) / (2.0 * uncertainty)).clamp(0.0, 1.0);
        self.miss_cost * miss_chance
    }
}

/// What starting one task after some delay costs its owner.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DelayCost {
    objectives: Vec<ServiceLevelObjective>,
    /// Units of money for each second, whatever the objectives.
    time_value: f64,
}

impl DelayCost {
    /// Objectives that cannot be met any more should be left out: nothing can be had for them,
    /// and `time_value` alone speaks for work that is late already.
    pub fn new(mut objectives: Vec<ServiceLevelObjective>, time_value: f64) -> DelayCost {
        objectives.retain(|o| o.miss_cost > 0.0);
        objectives.sort_by(|a, b| {
            let by_time = a.start_within.cmp(&b.start_within);
            by_time.then(a.miss_cost.total_cmp(&b.miss_cost))
        });
        let time_value = if time_value.is_finite() {
            time_value.max(0.0)
        } else {
            0.0
        };
        DelayCost {
            objectives,
            time_value,
        }
    }

    /// Nothing is lost by any delay.
    pub fn is_zero(&self) -> bool {
        self.objectives.is_empty() && self.time_value == 0.0
    }

    /// The expected loss of a start after `delay`. It never falls as the delay grows.
    pub fn loss(&self, delay: Duration) -> f64 {
        let delay_s = delay.as_secs_f64();
        let losses = self.objectives.iter().map(|o| o.expected_loss(delay_s));
        losses.sum::<f64>() + self.time_value * delay_s
    }

    /// What starting after `sooner` instead of `later` saves.
    pub fn gain(&self, later: Duration, sooner: Duration) -> f64 {
        (self.loss(later) - self.loss(sooner)).max(0.0)
    }
}

/// What one missed task of an objective weighs: a share of 0.975 allows one miss in forty, so each
/// is worth forty tasks; a share of all, or of none, is no rate of exchange.
pub fn objective_weight(share: f64) -> f64 {
    if !(0.0..=1.0).contains(&share) || share == 0.0 {
        return 1.0;
    }
    (1.0 / (1.0 - share).max(1.0 / MAX_OBJECTIVE_WEIGHT)).max(1.0)
}

/// What missing an objective of this share costs a task, where a task costs `nominal_cost` at
/// least and the operators let the objective's weight count `factor` times.
pub fn missed_objective_cost(nominal_cost: f64, share: f64, factor: f64) -> f64 {
    let factor = if factor.is_finite() {
        factor.max(0.0)
    } else {
        0.0
    };
    nominal_cost * objective_weight(share) * factor
}

#[cfg(test)]
mod tests;
