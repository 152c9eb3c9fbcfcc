//! Acceptance of submitted jobs: any controller accepts a job by creating its key in the state
//! service, and answers its user once the key is durable.

use crate::core::command::{PendingCall, ReadPurpose};
use crate::core::jobs::answers::{final_state, rebuilding_answer, state_body, unresolved_answer};
use crate::core::jobs::creation::{Creation, Submission, create_transaction, initial_value};
use crate::core::jobs::large_submissions::TOO_LARGE;
use crate::core::store::barrier_request::BarrierRequest;
use crate::core::store::cache::JobValue;
use crate::core::{Core, record};
use crate::fault_injection::{Safeguard, is_enabled};
use crate::http::Response;
use crate::job::{JobId, JobSpec};
use crate::settings::Settings;
use crate::store_client::{StoreOutcome, StoreRequest};
use crate::wire::{JobState, to_json};
use std::time::{Duration, SystemTime};

/// Interval at which unanswered creations are checked. The state service responds within some ten
/// milliseconds; a creation without a response for longer than this is settled as soon as this
/// process's store cache contains the job.
const CREATION_CHECK_INTERVAL: Duration = Duration::from_millis(60);
/// Maximum number of retries of a creation without a response.
const MAX_RETRIES_UNKNOWN: u32 = 2;
/// Time after the arrival of a submission within which the jobs that it depends on are read.
const DEPENDENCY_READ_WINDOW: Duration = Duration::from_secs(3);
/// Time after the arrival of a submission within which a creation without a response is retried.
const CREATION_RETRY_WINDOW: Duration = Duration::from_secs(3);
/// Maximum number of retries of a creation that the state service refused.
const MAX_RETRIES_REFUSED: u32 = 1;
/// Share of the configured memory that unfinished jobs may use.
const JOBS_MEMORY_SHARE: f64 = 0.25;
/// Bytes of memory for each task of an unfinished job: an entry in the sets of the job, and a little more
/// while the task is placed.
const BYTES_PER_TASK: f64 = 32.0;

/// Returns the maximum number of tasks of all unfinished jobs.
pub fn max_unfinished_tasks(settings: &Settings) -> u64 {
    (settings.memory_mb * 1e6 * JOBS_MEMORY_SHARE / BYTES_PER_TASK) as u64
}

impl Core {
    /// Accepts a submission. `cache_is_current` states that this node's store cache contains every job
    /// that was accepted before the submission arrived.
    pub(in crate::core) fn accept(&mut self, mut submission: Submission, cache_is_current: bool) {
        let ticket = submission.ticket;
        // Another controller may have cached that the job has ended: accepted again, it would be shown as queued.
        if self.must_withhold_state() {
            return self.answer(ticket, rebuilding_answer());
        }
        if let Err(answer) = self.validate(&submission.spec) {
            if answer.status == 503 {
                return self.answer(ticket, answer);
            }
            return self.reject(&submission, answer);
        }
        if let Some(dependency) = self.unknown_dependency(&submission.spec) {
            // This node's cache lags slightly behind what other nodes accept, and users submit a job
            // as soon as its dependencies are accepted.
            if !cache_is_current {
                return self.queue_barrier_request(BarrierRequest::Submit(submission));
            }
            if self.store_cache.ended_jobs.is_partial() {
                let id = dependency.to_string();
                return self.read_job_key(id, ReadPurpose::FindDependency(submission));
            }
            return self.reject_for_dependency(&submission);
        }
        if self.exceeds_task_limit(&submission.spec) {
            let answer = Response::busy("too many unfinished tasks", 30);
            if self.store_cache.ended_jobs.is_partial() {
                return self.reject(&submission, answer);
            }
            return self.answer(ticket, answer);
        }
        self.retain_known_machine_types(&mut submission.spec);
        if self.fits_one_value(&submission.spec) {
            self.create(Creation {
                submission,
                retries: 0,
                parts: None,
            });
        } else {
            self.accept_large(submission);
        }
    }

    /// Rejects a submission that depends on a job which was never accepted.
    fn reject_for_dependency(&mut self, submission: &Submission) {
        let answer = self.rejection_reason(&submission.spec);
        let reason = String::from_utf8_lossy(&answer.body);
        tracing::info!(job = %submission.spec.id, %reason, "job rejected");
        self.reject(submission, answer);
    }

    /// Continues with a submission after the read of the key of a job that it depends on, whose end may have been dropped
    /// from the cache.
    pub(in crate::core) fn dependency_read(
        &mut self,
        submission: Submission,
        dependency: &str,
        outcome: StoreOutcome,
    ) {
        let in_time = self.time_since_received(&submission) < DEPENDENCY_READ_WINDOW;
        let is_read = match outcome {
            StoreOutcome::Missing { .. } if !self.job_existence_is_uncertain() => {
                return self.reject_for_dependency(&submission);
            }
            StoreOutcome::Found(item) => self.put_job_item(dependency, item),
            _ => false,
        };
        if is_read && in_time {
            return self.accept(submission, true);
        }
        let answer = Response::busy("the jobs that it depends on cannot be read now", 1);
        self.answer(submission.ticket, answer);
    }

    /// Rejects a submission, unless a read shows that its job exists.
    pub(super) fn reject(&mut self, submission: &Submission, answer: Response) {
        let id = submission.spec.id.to_string();
        self.read_job_key(id, ReadPurpose::Reject(submission.ticket, answer));
    }

    /// Returns whether this job would give the unfinished jobs more tasks than the memory allows.
    /// Running out of memory would end the process, and with it the service to every other job. A job
    /// is always accepted while there is no other.
    fn exceeds_task_limit(&self, spec: &JobSpec) -> bool {
        let jobs = &self.store_cache.jobs;
        let unfinished: u64 = jobs.values().map(|job| u64::from(job.spec.tasks)).sum();
        let limit = max_unfinished_tasks(&self.settings);
        !jobs.is_empty() && unfinished + u64::from(spec.tasks) > limit
    }

    /// Removes machine types that the cloud does not have: they allow no machine and are not stored.
    fn retain_known_machine_types(&self, spec: &mut JobSpec) {
        if let Some(names) = &mut spec.machine_types {
            names.retain(|name| self.machine_types.iter().any(|t| t.name == *name));
        }
    }

    /// Returns whether the job can be stored under its own key alone.
    fn fits_one_value(&self, spec: &JobSpec) -> bool {
        let value = JobValue::live(Box::new(spec.clone()), u64::MAX);
        to_json(&value).len() <= self.settings.usable_value_bytes()
    }

    /// Returns how long ago a submission arrived here.
    pub(super) fn time_since_received(&self, submission: &Submission) -> Duration {
        self.now.mono.saturating_duration_since(submission.received)
    }

    /// Returns when a submission arrived here, in milliseconds since 1970.
    fn submitted_ms(&self, submission: &Submission) -> u64 {
        let now = self.now.wall.duration_since(SystemTime::UNIX_EPOCH);
        let submitted = now
            .unwrap_or_default()
            .saturating_sub(self.time_since_received(submission));
        submitted.as_millis() as u64
    }

    /// Writes the key that accepts a job, unless the store has lost data since the submission arrived.
    pub(super) fn create(&mut self, creation: Creation) {
        let submission = &creation.submission;
        if self.must_withhold_state() {
            return self.answer(submission.ticket, rebuilding_answer());
        }
        let submitted_ms = self.submitted_ms(submission);
        let transaction =
            create_transaction(&submission.spec, submitted_ms, creation.parts.as_deref());
        let pending = PendingCall::CreateJob(creation);
        let call = self.call_store(pending, StoreRequest::CompareAndSwap(transaction));
        let check_at = self.now.mono + CREATION_CHECK_INTERVAL;
        self.unanswered_creations.push_back((check_at, call));
    }

    /// Settles creations without a response whose job is in the store cache: the job is accepted,
    /// whichever node wrote it, and a fresh read shows its state.
    pub(in crate::core) fn resolve_creations(&mut self) {
        let now = self.now.mono;
        while let Some((_, call)) = self.unanswered_creations.pop_front_if(|(at, _)| *at <= now) {
            let Some(PendingCall::CreateJob(creation)) = self.pending.get(&call) else {
                continue;
            };
            let submission = &creation.submission;
            if !self.store_cache.is_known_job(&submission.spec.id) {
                let check_at = now + CREATION_CHECK_INTERVAL;
                self.unanswered_creations.push_back((check_at, call));
                continue;
            }
            let (ticket, id) = (submission.ticket, submission.spec.id.to_string());
            tracing::info!(job = %id, "unanswered creation found in the store");
            self.pending.remove(&call);
            self.read_job_key(id, ReadPurpose::ConfirmCreation(ticket));
        }
    }

    /// Answers a submission or retries its creation, by the outcome of the write of its job key.
    pub(in crate::core) fn creation_outcome(&mut self, creation: Creation, outcome: StoreOutcome) {
        let submission = &creation.submission;
        let id = &submission.spec.id;
        let ticket = submission.ticket;
        let may_retry_unknown = creation.retries < MAX_RETRIES_UNKNOWN
            && self.time_since_received(submission) < CREATION_RETRY_WINDOW;
        match outcome {
            StoreOutcome::Committed { revision } => self.job_accepted(creation, revision),
            StoreOutcome::Conflict { .. } if is_enabled(Safeguard::ConflictDetection) => {
                self.read_job_key(id.to_string(), ReadPurpose::Show(ticket));
            }
            StoreOutcome::Conflict { .. } => {
                self.answer(ticket, created_response(id, JobState::Queued))
            }
            StoreOutcome::Unknown(_) if !is_enabled(Safeguard::DurableAcceptance) => {
                self.answer(ticket, created_response(id, JobState::Queued));
            }
            StoreOutcome::Unknown(error) if may_retry_unknown => {
                tracing::info!(job = %id, %error, "job creation unanswered");
                self.create(creation.retried());
            }
            StoreOutcome::Refused(error) if creation.retries < MAX_RETRIES_REFUSED => {
                tracing::debug!(job = %id, %error, "job creation refused");
                self.create(creation.retried());
            }
            StoreOutcome::Invalid(error) => {
                tracing::error!(job = %id, %error, "job creation invalid for the state service");
                self.answer(ticket, Response::error(422, TOO_LARGE));
            }
            _ => self.answer(ticket, Response::busy("the job cannot be kept now", 1)),
        }
    }

    /// Handles the write of a job's key: adds the job to the store cache and answers its user.
    fn job_accepted(&mut self, creation: Creation, revision: u64) {
        let Creation {
            submission, parts, ..
        } = creation;
        let waited = self.time_since_received(&submission);
        let submitted_ms = self.submitted_ms(&submission);
        let Submission { ticket, spec, .. } = submission;
        let id = spec.id.clone();
        tracing::info!(
            job = %id, class = %spec.class, team = %spec.team, tasks = spec.tasks,
            "job accepted"
        );
        record(&mut self.stats.accept, waited.as_millis());
        // The store cache reads a large job from its parts, which were written before.
        let value = initial_value(spec, submitted_ms, parts.as_deref());
        self.store_cache.put_job_from_response(&id, value, revision);
        self.sync_job_runs();
        // Until the other controllers have the job, it would be forgotten if the store lost data again. The user retries.
        if self.must_withhold_state() {
            return self.answer(ticket, rebuilding_answer());
        }
        // The end of a dependency has been dropped again since it was read. The user retries.
        if self.has_unresolved_dependencies(&id) {
            return self.answer(ticket, unresolved_answer());
        }
        // A job with a cancelled dependency is accepted too, and is cancelled itself.
        let outcome = self.store_cache.outcome_of(&id);
        let state = outcome.map_or(JobState::Queued, final_state);
        self.answer(ticket, created_response(&id, state));
    }
}

/// Returns the response to an accepted submission.
fn created_response(id: &JobId, state: JobState) -> Response {
    Response::new(201, state_body(id, state, None, None))
}
