//! Start, progress and end of jobs: cancellations, and the update of the leader's job runs from
//! durable state.

use crate::core::jobs::answers::{rebuilding_answer, state_body};
use crate::core::jobs::job_run::JobRun;
use crate::core::jobs::statistics::RuntimeRatio;
use crate::core::leadership::state::LeaderState;
use crate::core::machines::placement::StopReason;
use crate::core::store::cache::JobRecord;
use crate::core::{Core, Effect, Ticket};
use crate::fault_injection::{Safeguard, is_enabled};
use crate::http::Response;
use crate::job::{JobId, JobKind, JobOutcome};
use crate::wire::JobState;

impl Core {
    /// Cancels a live job. The cancellation is durable before any response shows it.
    pub(in crate::core) fn cancel(&mut self, ticket: Ticket, id: &str) {
        if self.must_withhold_state() {
            return self.answer(ticket, rebuilding_answer());
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(run) = leader.job_runs.get_mut(id) else {
            return self.answer(ticket, Response::busy("not ready", 1));
        };
        if is_enabled(Safeguard::DurableCancellation) {
            run.cancel_waiters.push(ticket);
        } else {
            let body = state_body(id, JobState::Cancelled, None, None);
            self.effects.push(Effect::Response {
                ticket,
                response: Response::new(200, body),
            });
        }
        if run.ending.is_none() {
            tracing::info!(job = %id, "job cancelled by user");
            self.begin_cancellation(&Self::job_id(id));
        }
    }

    /// Stops a job's tasks and queues the write of its cancellation.
    fn begin_cancellation(&mut self, id: &JobId) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(run) = leader.job_runs.get_mut(id) else {
            return;
        };
        run.ending = Some(JobOutcome::Cancelled);
        // The tasks do not wait for the write: further work would be wasted, and tasks still to start
        // would start after the user was answered. If the end is never written, a later leader starts
        // them again.
        if is_enabled(Safeguard::StopOnCancelRequest) && is_enabled(Safeguard::StopEndedJobs) {
            run.stop_assigned(
                id,
                &mut leader.machines,
                StopReason::Obsolete,
                self.now.mono,
            );
        }
        let ends = &mut leader.writes.ends;
        ends.insert(id.clone(), JobOutcome::Cancelled);
        let dependents = self.store_cache.dependencies.all_dependents(id);
        leader.cancellation_pending.extend(dependents);
    }

    /// Updates the leader's runs from the store cache: new jobs begin, finished ones end.
    pub(in crate::core) fn sync_job_runs(&mut self) {
        let changed = std::mem::take(&mut self.store_cache.changed_jobs);
        for id in changed {
            self.sync_job_run(&id);
        }
    }

    fn sync_job_run(&mut self, id: &JobId) {
        if self.leader.is_none() {
            return;
        }
        if !self.store_cache.jobs.contains_key(id) {
            return self.finish_job(id);
        }
        self.cancel_with_dependency(id);
        self.begin_run(id);
        self.check_readiness(id);
        self.adopt_job(id);
        self.propagate_job_urgency(id);
        self.end_if_complete(id);
    }

    /// Queues the cancellation of a job that depends on a cancelled one. None of its tasks can have
    /// started, since not all its dependencies are done.
    fn cancel_with_dependency(&mut self, id: &JobId) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(cancelled) = self.store_cache.dependencies.cancelled_dependency(id) else {
            return;
        };
        if leader.writes.cancelled_dependents.insert(id.clone()) {
            tracing::info!(job = %id, dependency = %cancelled, "job cancelled with its dependency");
        }
    }

    /// Creates the run of a job that the leader does not know yet.
    fn begin_run(&mut self, id: &JobId) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(job) = self.store_cache.jobs.get(id) else {
            return;
        };
        if leader.job_runs.contains_key(id) {
            return;
        }
        let team = self.settings.team_index(&job.spec.team);
        leader.job_runs.insert(id.clone(), JobRun::new(job, team));
        leader.scheduler.invalidate_guarantees();
        let is_new = job.version > leader.key_version;
        if is_new {
            leader.scheduler.arrivals.record(self.now.mono, 1);
            let runtime_factor = leader.runtime_factor(&job.spec.class);
            let expected = job.spec.estimate.mul_f64(runtime_factor);
            let bidding = &mut leader.scheduler.bidding;
            bidding.record_arrival(self.now.mono, &job.spec, job.spec.priority, expected);
        }
        if leader.may_be_cancelled_with_dependency(job) {
            leader.cancellation_pending.insert(id.clone());
            let dependents = self.store_cache.dependencies.all_dependents(id);
            leader.cancellation_pending.extend(dependents);
        }
        leader.scheduler.request_plan();
    }

    /// Records when all jobs that a job depends on are done.
    fn check_readiness(&mut self, id: &JobId) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(job) = self.store_cache.jobs.get(id) else {
            return;
        };
        if job.spec.dependencies.is_empty() || !self.store_cache.dependencies_met(id) {
            return;
        }
        let Some(run) = leader.job_runs.get_mut(id) else {
            return;
        };
        if run.ready.is_none() {
            run.ready = Some(self.now);
            leader.scheduler.invalidate_guarantees();
            leader.scheduler.request_plan();
            tracing::info!(job = %id, "job dependencies done");
        }
    }

    /// Finishes a job whose end is durable: answers its users and stops its remaining tasks.
    fn finish_job(&mut self, id: &JobId) {
        let now = self.now.mono;
        self.adopt_job(id);
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(run) = leader.job_runs.remove(id) else {
            return;
        };
        leader.forget_job(id);
        if let Some(outcome) = self.store_cache.ended_jobs.outcome(id) {
            tracing::info!(job = %id, ?outcome, "job finished");
        }
        if is_enabled(Safeguard::StopEndedJobs) {
            run.stop_assigned(id, &mut leader.machines, StopReason::Obsolete, now);
        }
        if let Some(answer) = self.final_answer(id) {
            for ticket in run.cancel_waiters {
                self.answer(ticket, answer.clone());
            }
        }
    }

    /// Ends a job whose tasks are all done, unless it is a service.
    pub(in crate::core) fn end_if_complete(&mut self, id: &str) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let (Some(run), Some(job)) = (leader.job_runs.get_mut(id), self.store_cache.jobs.get(id))
        else {
            return;
        };
        if is_complete(job) && run.ending.is_none() {
            run.ending = Some(JobOutcome::Done);
            leader.writes.ends.insert(id.into(), JobOutcome::Done);
        }
    }
}

/// Returns whether every task of a job is done; a service is never complete.
fn is_complete(job: &JobRecord) -> bool {
    let missing = job.spec.tasks.saturating_sub(job.done.len());
    let tolerated = u32::from(!is_enabled(Safeguard::ArrayCompletion));
    job.spec.job_kind != JobKind::Service && missing <= tolerated
}

impl LeaderState {
    /// Returns the factor by which estimates of a class are multiplied to get its usual run times.
    pub(in crate::core) fn runtime_factor(&self, class: &str) -> f64 {
        let ratio = self.scheduler.runtime_ratios.get(class);
        ratio.map_or(1.0, RuntimeRatio::factor)
    }

    /// Returns whether the cancellation of a job that this one depends on is being written.
    fn may_be_cancelled_with_dependency(&self, job: &JobRecord) -> bool {
        let may_be_cancelled = |id: &JobId| {
            let ending = self.job_runs.get(id).and_then(|run| run.ending);
            self.cancellation_pending.contains(id) || ending == Some(JobOutcome::Cancelled)
        };
        job.spec.dependencies.iter().any(may_be_cancelled)
    }

    /// Drops the data of a job that is kept outside its run, and requests a new plan.
    fn forget_job(&mut self, id: &JobId) {
        self.writes.ends.remove(id);
        self.writes.cancelled_dependents.remove(id);
        self.writes.progress.remove(id);
        self.cancellation_pending.remove(id);
        self.inherited_urgency.remove(id);
        self.scheduler.invalidate_guarantees();
        self.scheduler.request_plan();
    }
}
