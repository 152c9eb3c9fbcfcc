//! State that planning and scaling keep between steps. This module holds data only.

use crate::core::jobs::statistics::{ArrivalRate, RuntimeRatio};
use crate::core::scheduling::bidding_state::BiddingState;
use crate::core::workers::pending_responses::DeferredResponses;
use crate::job::JobId;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// State that planning and scaling keep between steps.
pub struct SchedulerState {
    /// Number of the last task attempt that this leader started, within its term.
    pub(in crate::core::scheduling) attempts: u64,
    /// Time of the last plan.
    pub(in crate::core::scheduling) last_plan: Option<Instant>,
    /// Whether something that planning depends on has changed since the last plan.
    pub(in crate::core::scheduling) plan_again: bool,
    /// Whether the set of jobs within their teams' guaranteed quotas has to be determined again.
    pub(in crate::core::scheduling) guarantees_changed: bool,
    /// Whether the queue contained startable jobs at the last plan.
    pub(in crate::core::scheduling) had_startable_jobs: bool,
    /// Responses to heartbeats of machines with newly freed capacity. They wait for the next plan, so that they can
    /// carry the commands to start the tasks that it places there.
    pub(in crate::core::scheduling) deferred_responses: DeferredResponses,
    /// Time of the last scaling decision.
    pub(in crate::core::scheduling) last_scaling: Option<Instant>,
    /// Time at which the cluster summary was last logged.
    pub(in crate::core::scheduling) last_summary_log: Option<Instant>,
    /// Job at the head of the queue and the expected time until it starts, for the status view.
    pub queue_head: Option<(JobId, Option<Duration>)>,
    /// Ratios of actual run times to estimates, by job class.
    pub runtime_ratios: BTreeMap<String, RuntimeRatio>,
    /// Rate at which jobs arrive.
    pub arrivals: ArrivalRate,
    /// State of bidding for machines.
    pub bidding: BiddingState,
}

impl SchedulerState {
    /// Creates the state of a leader whose term begins now.
    pub(in crate::core) fn new(arrivals: ArrivalRate) -> SchedulerState {
        SchedulerState {
            attempts: 0,
            last_plan: None,
            plan_again: true,
            guarantees_changed: true,
            had_startable_jobs: false,
            deferred_responses: DeferredResponses::default(),
            last_scaling: None,
            last_summary_log: None,
            queue_head: None,
            runtime_ratios: BTreeMap::new(),
            arrivals,
            bidding: BiddingState::default(),
        }
    }

    /// Requests a plan, as something that planning depends on has changed.
    pub(in crate::core) fn request_plan(&mut self) {
        self.plan_again = true;
    }

    /// Makes the next step plan, regardless of the time of the last plan.
    #[cfg(test)]
    pub(in crate::core) fn plan_at_once(&mut self) {
        self.plan_again = true;
        self.last_plan = None;
    }

    /// Makes the next step decide on scaling again.
    pub(in crate::core) fn scale_at_once(&mut self) {
        self.last_scaling = None;
    }

    /// Requests that the jobs within their teams' guaranteed quotas are determined again.
    pub(in crate::core) fn invalidate_guarantees(&mut self) {
        self.guarantees_changed = true;
    }

    /// Takes the responses that wait for the next plan, for when this leader makes no more plans.
    pub(in crate::core) fn take_deferred_responses(&mut self) -> DeferredResponses {
        std::mem::take(&mut self.deferred_responses)
    }
}
