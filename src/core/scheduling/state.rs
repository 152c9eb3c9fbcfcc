//! What planning and scaling carry over from one step to the next. Data.

use crate::core::jobs::statistics::{ArrivalRate, RuntimeRatio};
use crate::core::scheduling::bidding_state::BiddingState;
use crate::core::workers::pending_responses::DeferredResponses;
use crate::job::JobId;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// What planning and scaling carry over from one step to the next.
pub struct SchedulerState {
    /// How many task attempts this leadership has started.
    pub(in crate::core::scheduling) attempts: u64,
    /// When the last planning round was.
    pub(in crate::core::scheduling) last_plan: Option<Instant>,
    /// Something has changed since then.
    pub(in crate::core::scheduling) plan_again: bool,
    /// Which jobs lie within their team's guarantee is to be determined again.
    pub(in crate::core::scheduling) guarantees_changed: bool,
    /// Tasks were left without a machine by the last planning round.
    pub(in crate::core::scheduling) had_startable_jobs: bool,
    /// Responses to machines that were freed wait for the next planning round, so that they carry the commands to
    /// start what it places there.
    pub(in crate::core::scheduling) deferred_responses: DeferredResponses,
    /// When the number of machines was last decided on.
    pub(in crate::core::scheduling) last_scaling: Option<Instant>,
    /// When the status was last logged.
    pub(in crate::core::scheduling) last_summary_log: Option<Instant>,
    /// The head of the queue and when it may start, for the status view.
    pub queue_head: Option<(JobId, Option<Duration>)>,
    /// How actual run times compare with estimates, by class.
    pub runtime_ratios: BTreeMap<String, RuntimeRatio>,
    /// How often jobs arrive.
    pub arrivals: ArrivalRate,
    /// What is believed of the machine market, and bid there.
    pub bidding: BiddingState,
}

impl SchedulerState {
    /// Of a leadership that begins now.
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

    /// Something has changed that planning depends on.
    pub(in crate::core) fn request_plan(&mut self) {
        self.plan_again = true;
    }

    /// Has the next step plan, however short ago the last planning round was.
    #[cfg(test)]
    pub(in crate::core) fn plan_at_once(&mut self) {
        self.plan_again = true;
        self.last_plan = None;
    }

    /// Has the next step decide again on the number of machines.
    pub(in crate::core) fn scale_at_once(&mut self) {
        self.last_scaling = None;
    }

    /// Something has changed that teams' guarantees depend on.
    pub(in crate::core) fn invalidate_guarantees(&mut self) {
        self.guarantees_changed = true;
    }

    /// Takes the responses that wait for a planning round, of which there will be none.
    pub(in crate::core) fn take_deferred_responses(&mut self) -> DeferredResponses {
        std::mem::take(&mut self.deferred_responses)
    }
}
