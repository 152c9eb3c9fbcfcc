//! Responses to heartbeats that wait for the next plan.
//!
//! If a task has just ended on a machine, the response to its heartbeat can then carry the commands to start the tasks
//! that the plan places there, which saves a direct call to the machine. Responses wait for at most the minimum
//! interval between plans.

use crate::core::Core;
use crate::core::scheduling::MIN_PLAN_INTERVAL;
use crate::core::workers::pending_responses::{DeferredResponses, PendingBatch};
use crate::job::MachineId;
use std::time::Duration;

impl Core {
    /// Moves the responses that should wait for the next plan out of `due`, or adds those that have waited to `due` if
    /// there is no more reason to wait.
    pub(in crate::core) fn defer_responses(&mut self, due: &mut DeferredResponses) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let waiting = std::mem::take(&mut leader.scheduler.deferred_responses);
        let scheduler = &leader.scheduler;
        let planned = scheduler.last_plan == Some(self.now.mono) || !scheduler.plan_again;
        // During recovery, the responses show the machines the new fencing token, which must not be delayed.
        let is_recovering = !leader.recovery.is_complete();
        if planned || !scheduler.had_startable_jobs || is_recovering {
            due.heartbeats.extend(waiting.heartbeats);
            due.batches.extend(waiting.batches);
            return;
        }
        let machines = &leader.machines;
        let has_freed_capacity =
            |id: &MachineId| machines.get(id).is_some_and(|m| m.capacity_freed);
        let is_deferred = |batch: &mut PendingBatch| batch.machines().any(has_freed_capacity);
        let mut deferred = waiting;
        let heartbeats = due
            .heartbeats
            .extract_if(.., |(_, id)| has_freed_capacity(id));
        deferred.heartbeats.extend(heartbeats);
        deferred
            .batches
            .extend(due.batches.extract_if(.., is_deferred));
        leader.scheduler.deferred_responses = deferred;
    }

    /// Returns the time until the next plan, if responses wait for it.
    pub(in crate::core) fn until_next_plan(&self) -> Option<Duration> {
        let scheduler = &self.leader.as_ref()?.scheduler;
        let deferred = &scheduler.deferred_responses;
        let none_deferred = deferred.heartbeats.is_empty() && deferred.batches.is_empty();
        let next_plan = scheduler.last_plan? + MIN_PLAN_INTERVAL;
        (!none_deferred).then(|| next_plan.saturating_duration_since(self.now.mono))
    }
}
