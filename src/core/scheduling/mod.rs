//! Scheduling by the leader: builds the snapshots that the side-effect-free planning works on, and carries out its
//! decisions.
//!
//! - `queue`: the waiting jobs in their order, and the facts that the policy is evaluated with.
//! - `quotas`: the teams' resource usage, and the jobs within their guaranteed quotas.
//! - `run_times`: expected run times of tasks, from estimates and earlier run times.
//! - `snapshot`: updates of the cluster snapshot.
//! - `placement`: execution of the scheduling plan.
//! - `gangs`: restart of gangs that have lost a task.
//! - `scaling`: scale-out for pending demand, and removal of idle machines.
//! - `bidding`, `bidding_state`: bids for machines, and the estimates of markets and demand behind them.
//! - `deferred_responses`: responses that wait for the next plan.
//! - `state`: state that planning and scaling keep between steps.
//! - `summary`: the cluster summary in the log.

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

/// Minimum interval between plans, so that a burst of small changes is handled by one plan.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(60);
/// Maximum interval between plans. Even without any other change, the best plan changes as jobs wait.
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(1000);
/// Interval between scaling decisions.
const SCALING_INTERVAL: Duration = Duration::from_millis(1000);

impl Core {
    /// Plans placements and scaling if they are due. Called in every step of an acting leader.
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
