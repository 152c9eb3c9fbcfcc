//! Responses to users with the state of a job, as far as this controller knows it.

use crate::core::jobs::job_run::JobRun;
use crate::core::{Core, Ticket};
use crate::http::Response;
use crate::job::{JobOutcome, MachineId, TaskId};
use crate::wire::{JobState, JobStatus, to_json};

/// Returns the body of a response with a job's state.
pub(in crate::core) fn state_body(
    id: &str,
    state: JobState,
    done: Option<u32>,
    running: Option<u32>,
) -> Vec<u8> {
    to_json(&JobStatus {
        id: id.to_string(),
        state,
        done,
        running,
    })
}

/// Returns the state of a job that ended with this outcome.
pub(in crate::core) fn final_state(outcome: JobOutcome) -> JobState {
    match outcome {
        JobOutcome::Done => JobState::Done,
        JobOutcome::Cancelled => JobState::Cancelled,
    }
}

/// Returns the response while the state of jobs is withheld, see [`Core::must_withhold_state`].
pub(in crate::core) fn rebuilding_answer() -> Response {
    Response::busy("the state service has lost data and is being rebuilt", 1)
}

/// Returns the response while the ends of jobs that a job depends on are read from the store.
pub(in crate::core) fn unresolved_answer() -> Response {
    Response::busy("the jobs that it depends on are being read", 1)
}

impl Core {
    /// Returns the response with the state of a job, if the job has ended.
    pub(in crate::core) fn final_answer(&self, id: &str) -> Option<Response> {
        let outcome = self.store_cache.outcome_of(id)?;
        let body = state_body(id, final_state(outcome), None, None);
        Some(Response::new(200, body))
    }

    /// Returns whether states that are not final must be withheld: the store has lost data, and
    /// another controller may have cached more than this one.
    pub(in crate::core) fn must_withhold_state(&self) -> bool {
        self.store_is_incomplete() && !self.may_report_state()
    }

    /// Returns the response with the state of a live job. Only an acting leader may answer from its
    /// own state, and only while neither the end of the job nor the cancellation of a job that it
    /// depends on is being written: that write may be committed already, and another node may have
    /// answered the user accordingly.
    pub(in crate::core) fn live_answer(&self, id: &str) -> Option<Response> {
        if !self.is_active_leader() || self.must_withhold_state() {
            return None;
        }
        let job = self.store_cache.jobs.get(id)?;
        let leader = self.leader.as_ref()?;
        let run = leader.job_runs.get(id)?;
        if run.ending.is_some() || leader.cancellation_pending.contains(id) {
            return None;
        }
        if self.has_unresolved_dependencies(id) {
            return None;
        }
        let running = self.running_tasks(id, run);
        let state = if running > 0 {
            JobState::Running
        } else {
            JobState::Queued
        };
        let body = state_body(id, state, Some(job.done.len()), Some(running));
        Some(Response::new(200, body).until(self.leadership_valid_until()))
    }

    /// Returns how many of a job's tasks run, by the last heartbeats of their machines.
    pub(in crate::core) fn running_tasks(&self, id: &str, run: &JobRun) -> u32 {
        let Some(leader) = &self.leader else { return 0 };
        let runs = |(index, machine): &(&u32, &MachineId)| {
            let task = TaskId {
                job: Self::job_id(id),
                index: **index,
            };
            let machine = leader.machines.get(machine);
            let task = machine.and_then(|m| m.tasks.get(&task));
            task.is_some_and(|t| t.runs())
        };
        run.tasks.assigned().iter().filter(runs).count() as u32
    }

    /// Answers from data that was read after the request arrived, so that no earlier response can
    /// have shown a newer state.
    pub(in crate::core) fn show_fresh(&mut self, ticket: Ticket, id: &str) {
        let answer = self.fresh_answer(id);
        self.answer(ticket, answer);
    }

    /// Returns the response with a job's state from the store cache, which was brought up to date for it.
    pub(in crate::core) fn fresh_answer(&self, id: &str) -> Response {
        let known = self.final_answer(id).or_else(|| self.live_answer(id));
        known.unwrap_or_else(|| self.stored_answer(id))
    }

    /// Returns whether a live job may be cancelled with one that it depends on, directly or not, whose end has to be read
    /// from the store.
    pub(super) fn has_unresolved_dependencies(&self, id: &str) -> bool {
        let job = self.store_cache.jobs.get(id);
        let has_dependencies = job.is_some_and(|job| !job.spec.dependencies.is_empty());
        has_dependencies && !self.store_cache.unresolved_jobs.is_empty()
    }

    /// Returns the response with a live job's state from its durable data alone.
    fn stored_answer(&self, id: &str) -> Response {
        let Some(job) = self.store_cache.jobs.get(id) else {
            return Response::busy("the state cannot be read now", 1);
        };
        if self.must_withhold_state() {
            return rebuilding_answer();
        }
        if self.has_unresolved_dependencies(id) {
            return unresolved_answer();
        }
        let done = job.done.len();
        let state = if done > 0 {
            JobState::Running
        } else {
            JobState::Queued
        };
        Response::new(200, state_body(id, state, Some(done), None))
    }
}
