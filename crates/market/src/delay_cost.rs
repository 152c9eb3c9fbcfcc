//! Cost of a delayed start, derived from the users' service level objectives.

use std::time::Duration;

/// Uncertainty of a forecast start time, relative to the forecast and as a minimum in seconds. The
/// chance of missing an objective therefore rises gradually around its deadline.
const RELATIVE_UNCERTAINTY: f64 = 0.25;
const MIN_UNCERTAINTY_S: f64 = 2.0;
/// Maximum weight of one task that misses an objective.
const MAX_OBJECTIVE_WEIGHT: f64 = 200.0;

/// Objective that can still be met if the task starts in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceLevelObjective {
    /// Time from now within which the task has to start.
    pub start_within: Duration,
    /// Uncertainty of `start_within` that follows from the unknown run time of the task; zero for
    /// objectives on the start itself.
    pub uncertainty: Duration,
    /// Cost of each task that misses the objective, in units of money.
    pub miss_cost: f64,
}

impl ServiceLevelObjective {
    /// Returns the expected loss if the task starts after `delay_s` seconds.
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

/// Cost of a delayed start of one task.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DelayCost {
    objectives: Vec<ServiceLevelObjective>,
    /// Cost of each second of delay, independent of the objectives, in units of money.
    time_value: f64,
}

impl DelayCost {
    /// Creates the cost function of a task. The caller should leave out objectives that can no longer
    /// be met: an earlier start does not save their cost. For work that is already late, `time_value`
    /// alone gives the cost of further delay.
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

    /// Returns whether delay costs nothing.
    pub fn is_zero(&self) -> bool {
        self.objectives.is_empty() && self.time_value == 0.0
    }

    /// Returns the expected loss if the task starts after `delay`. The loss never falls as the delay grows.
    pub fn loss(&self, delay: Duration) -> f64 {
        let delay_s = delay.as_secs_f64();
        let losses = self.objectives.iter().map(|o| o.expected_loss(delay_s));
        losses.sum::<f64>() + self.time_value * delay_s
    }

    /// Returns the amount saved by a start after `sooner` instead of `later`.
    pub fn gain(&self, later: Duration, sooner: Duration) -> f64 {
        (self.loss(later) - self.loss(sooner)).max(0.0)
    }
}

/// Returns the weight of one task that misses an objective, where `share` is the fraction of tasks
/// that have to meet it. A share of 0.975 allows one miss in forty, so each miss weighs as much as
/// forty tasks. The weight is limited for a share of 1; it is 1 for a share of 0 and for values
/// outside the range from 0 to 1.
pub fn objective_weight(share: f64) -> f64 {
    if !(0.0..=1.0).contains(&share) || share == 0.0 {
        return 1.0;
    }
    (1.0 / (1.0 - share).max(1.0 / MAX_OBJECTIVE_WEIGHT)).max(1.0)
}

/// Returns the cost of one task that misses an objective of this share. `nominal_cost` is the
/// lowest cost of running the task, and `factor` is the operator's multiplier for the weight of the
/// objective.
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
