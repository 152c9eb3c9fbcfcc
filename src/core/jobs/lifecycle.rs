//! How jobs progress and end: cancellations, and the leader's runs in line with what is durable.

use crate::core::jobs::job_run::{JobRun, RuntimeRatio};
use crate::core::jobs::queries::{rebuilding_answer, state_body};
use crate::core::machines::machine::StopReason;
use crate::core::{Core, Effect, Ticket};
use crate::fault_injection::{Safeguard, is_enabled};
use crate::http::Answer;
use crate::job::{JobId, JobKind, JobOutcome};
use crate::wire::JobState;

impl Core {
    /// Cancels a live job. Its end is durable before anybody is told.
    pub(in crate::core) fn cancel(&mut self, ticket: Ticket, id: &str) {
        if self.must_withhold_state() {
            return self.answer(ticket, rebuilding_answer());
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(run) = leader.job_runs.get_mut(id) else {
            return self.answer(ticket, Answer::busy("not ready", 1));
        };
        if is_enabled(Safeguard::Cancelled) {
            run.cancel_waiters.push(ticket);
        } else {
            let body = state_body(id, JobState::Cancelled, None, None);
            self.effects.push(Effect::Answer {
                ticket,
                answer: Answer::new(200, body),
            });
        }
        if run.ending.is_none() {
            tracing::info!(job = %id, "job {id}: cancelled by its user");
            run.ending = Some(JobOutcome::Cancelled);
            // What they do from now on is of no use to anybody, and what was still to start would start after
            // its user was told. Should the end never be written, a later leader starts them again.
            if is_enabled(Safeguard::Early) && is_enabled(Safeguard::Stopped) {
                let id = Self::job_id(id);
                run.stop_assigned(&id, &mut leader.machines, StopReason::Over, self.now.mono);
            }
            leader.writes.ends.insert(id.into(), JobOutcome::Cancelled);
            let with_it = self
                .store_cache
                .dependencies
                .all_dependents(&Self::job_id(id));
            leader.cancellation_pending.extend(with_it);
        }
    }

    /// Brings the leader's runs in line with the mirror: new jobs begin, finished ones end.
    pub(in crate::core) fn sync_job_runs(&mut self) {
        let changed = std::mem::take(&mut self.store_cache.changed);
        for id in changed {
            self.sync_job_run(&id);
        }
    }

    fn sync_job_run(&mut self, id: &JobId) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(job) = self.store_cache.jobs.get(id) else {
            return self.finish_job(id);
        };
        if let Some(root) = self.store_cache.dependencies.cancelled_dependency(id) {
            // Nothing of it can have started, as not all that it needs is done.
            if leader.writes.followers.insert(id.clone()) {
                tracing::info!(job = %id, "job {id}: cancelled with {root}, which it needs");
            }
        }
        if !leader.job_runs.contains_key(id) {
            let queued = (0..job.spec.tasks).filter(|r| !job.done.contains(*r));
            let run = JobRun {
                team: self.settings.team_index(&job.spec.team),
                queued: queued.collect(),
                succeeded: job.done.len() > 0,
                ..JobRun::default()
            };
            leader.job_runs.insert(id.clone(), run);
            leader.scheduler.guarantees_changed = true;
            if job.version > leader.key_version {
                leader.scheduler.arrivals.note(self.now.mono, 1);
                let pace = leader
                    .scheduler
                    .runtime_ratios
                    .get(&job.spec.class)
                    .map_or(1.0, RuntimeRatio::factor);
                let (rank, run) = (job.spec.priority, job.spec.estimate.mul_f64(pace));
                leader
                    .scheduler
                    .bidding
                    .record_arrival(self.now.mono, &job.spec, rank, run);
            }
            // Accepted while a cancellation of what it needs is being written.
            let doubtful = |a: &JobId| {
                let ending = leader.job_runs.get(a).and_then(|r| r.ending);
                leader.cancellation_pending.contains(a) || ending == Some(JobOutcome::Cancelled)
            };
            if job.spec.dependencies.iter().any(doubtful) {
                leader.cancellation_pending.insert(id.clone());
                let with_it = self.store_cache.dependencies.all_dependents(id);
                leader.cancellation_pending.extend(with_it);
            }
            leader.scheduler.plan_again = true;
        }
        if !job.spec.dependencies.is_empty() && self.store_cache.ready(id) {
            let Some(run) = leader.job_runs.get_mut(id) else {
                return;
            };
            if run.ready.is_none() {
                run.ready = Some(self.now);
                leader.scheduler.guarantees_changed = true;
                leader.scheduler.plan_again = true;
                tracing::info!(job = %id, "job {id}: all that it awaits is done");
            }
        }
        self.adopt_job(id);
        let Some(job) = self.store_cache.jobs.get(id) else {
            return;
        };
        let before = job.spec.dependencies.clone();
        for a in before.iter().chain([id]) {
            self.propagate_urgency(a);
        }
        self.end_if_complete(id);
    }

    /// A job's end is durable: its user may know, and whatever is left of it is stopped.
    fn finish_job(&mut self, id: &JobId) {
        let now = self.now.mono;
        self.adopt_job(id);
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(run) = leader.job_runs.remove(id) else {
            return;
        };
        leader.writes.ends.remove(id);
        leader.writes.followers.remove(id);
        leader.writes.progress.remove(id);
        leader.cancellation_pending.remove(id);
        leader.inherited_urgency.remove(id);
        leader.scheduler.guarantees_changed = true;
        leader.scheduler.plan_again = true;
        if let Some(end) = self.store_cache.finished.get(id) {
            tracing::info!(job = %id, "job {id} is over: {end:?}");
        }
        if is_enabled(Safeguard::Stopped) {
            run.stop_assigned(id, &mut leader.machines, StopReason::Over, now);
        }
        if let Some(answer) = self.final_answer(id) {
            for ticket in run.cancel_waiters {
                self.answer(ticket, answer.clone());
            }
        }
    }

    /// Ends an array whose tasks are all done.
    pub(in crate::core) fn end_if_complete(&mut self, id: &str) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let (Some(run), Some(job)) = (leader.job_runs.get_mut(id), self.store_cache.jobs.get(id))
        else {
            return;
        };
        let missing = job.spec.tasks.saturating_sub(job.done.len());
        let all = missing == 0 || missing == 1 && !is_enabled(Safeguard::AllDone);
        let all = job.spec.job_kind != JobKind::Service && all;
        if all && run.ending.is_none() {
            run.ending = Some(JobOutcome::Done);
            leader.writes.ends.insert(id.into(), JobOutcome::Done);
        }
    }
}
