//! Scheduling by the leader: snapshots for the pure planning, and its decisions carried out.
//!
//! - `queue`: which jobs wait, in which order, and what the policy is evaluated with.
//! - `quotas`: what teams use, and which jobs lie within their guaranteed quotas.
//! - `run_times`: how long tasks take, from estimates and experience.
//! - `snapshot`: the cluster snapshot kept current.
//! - `placement`: the scheduling plan carried out.
//! - `gangs`: gangs that have lost a task.
//! - `scaling`: machines added and removed.
//! - `bidding`, `bidding_state`: markets, what is expected of them, and bids.
//! - `deferred_responses`: responses that wait for the next plan.
//! - `state`: what planning and scaling carry over from one step to the next.
//! - `summary`: a line for the log.

mod bidding;
pub mod bidding_state;
mod deferred_responses;
mod gangs;
mod placement;
mod queue;
mod quotas;
mod run_times;
mod scaling;
mod snapshot;
pub mod state;
mod summary;

use crate::core::{Core, Work};
use std::time::Duration;

/// Plans are this far apart at least, so that a flood of small changes is planned together.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(60);
/// Without any change, waiting still changes what is best.
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(1000);
/// Scaling is considered this often.
const SCALING_INTERVAL: Duration = Duration::from_millis(1000);

impl Core {
    /// Plans placements and scaling where they are due; called in every step of an acting leader.
    pub(in crate::core) fn schedule(&mut self) {
        if self.is_plan_due() {
            self.stats.count(Work::Plan, 1);
            self.restart_broken_gangs();
            self.place_tasks();
        }
        if self.is_scaling_due() {
            self.scale_machines();
        }
        self.log_summary();
    }

    fn is_plan_due(&self) -> bool {
        let Some(leader) = &self.leader else {
            return false;
        };
        let Some(last_plan) = leader.scheduler.last_plan else {
            return true;
        };
        let elapsed = self.now.mono.saturating_duration_since(last_plan);
        let has_changes = leader.scheduler.plan_again;
        (has_changes && elapsed >= MIN_PLAN_INTERVAL) || elapsed >= MAX_PLAN_INTERVAL
    }

    fn is_scaling_due(&self) -> bool {
        let Some(leader) = &self.leader else {
            return false;
        };
        let last_scaling = leader.scheduler.last_scaling;
        last_scaling.is_none_or(|last| self.now.mono >= last + SCALING_INTERVAL)
    }
}
