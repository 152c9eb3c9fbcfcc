//! Reads of a job's key from the state service for users' requests, and the responses that follow.

use crate::core::command::{PendingCall, ReadPurpose};
use crate::core::jobs::answers::state_body;
use crate::core::store::barrier_request::BarrierRequest;
use crate::core::store::cache::JobValue;
use crate::core::store::keys::job_key;
use crate::core::{Core, Ticket};
use crate::fault_injection::{Safeguard, is_enabled};
use crate::http::Response;
use crate::store_client::{StoreOutcome, StoreRequest};
use crate::wire::{Item, JobState};

impl ReadPurpose {
    /// Returns the request to answer.
    fn ticket(&self) -> Ticket {
        match self {
            ReadPurpose::Show(ticket)
            | ReadPurpose::ConfirmCreation(ticket)
            | ReadPurpose::Cancel(ticket)
            | ReadPurpose::Reject(ticket, _) => *ticket,
            ReadPurpose::FindDependency(submission) => submission.ticket,
        }
    }
}

impl Core {
    /// Reads a job's key for a user's query, within the budget for such reads. Without a leader every
    /// query needs a read. Before there was a budget, queries queued up behind the state service's
    /// rate limit and kept it busy for many seconds after their users had gone, while submissions
    /// waited behind them.
    pub(in crate::core) fn read_for_query(&mut self, id: String, ticket: Ticket) {
        if self.read_budget.try_take(self.now.mono) {
            self.read_job_key(id, ReadPurpose::Show(ticket));
        } else {
            self.answer(ticket, Response::busy("too many queries at the moment", 1));
        }
    }

    /// Reads a job's key.
    pub(in crate::core) fn read_job_key(&mut self, id: String, purpose: ReadPurpose) {
        let key = job_key(&id);
        self.call_store(PendingCall::ReadJob { id, purpose }, StoreRequest::Get(key));
    }

    /// Continues the request for which a job's key was read.
    pub(in crate::core) fn job_read_outcome(
        &mut self,
        id: String,
        purpose: ReadPurpose,
        outcome: StoreOutcome,
    ) {
        if let ReadPurpose::FindDependency(submission) = purpose {
            return self.dependency_read(submission, &id, outcome);
        }
        match outcome {
            StoreOutcome::Missing { revision } => self.job_key_missing(id, purpose, revision),
            StoreOutcome::Found(item) => self.job_key_found(id, purpose, item),
            other => {
                tracing::debug!(job = %id, outcome = ?other, "job key not read");
                let answer = Response::busy("the state cannot be read now", 1);
                self.answer(purpose.ticket(), answer);
            }
        }
    }

    /// Continues the request if there was no such key at this revision of the store.
    fn job_key_missing(&mut self, id: String, purpose: ReadPurpose, revision: u64) {
        let ticket = purpose.ticket();
        if let Some(answer) = self.final_answer(&id) {
            return self.answer(ticket, answer);
        }
        if self.store_cache.is_known_job(&id) {
            return self.known_job_key_missing(id, purpose, revision);
        }
        if self.job_existence_is_uncertain() {
            // The job may have been accepted even so.
            let answer = Response::busy("whether it was accepted cannot be told yet", 3);
            return self.answer(ticket, answer);
        }
        let answer = match purpose {
            ReadPurpose::Reject(_, answer) => answer,
            _ if is_enabled(Safeguard::UnknownJob) => Response::error(404, "no such job"),
            _ => Response::new(200, state_body(&id, JobState::Queued, None, None)),
        };
        self.answer(ticket, answer);
    }

    /// Handles a request for a job that this controller knows and whose key did not exist at this revision of the
    /// store: either the job was created after that, or the store has lost it.
    fn known_job_key_missing(&mut self, id: String, purpose: ReadPurpose, revision: u64) {
        let ticket = purpose.ticket();
        let is_newer = self.store_cache.is_created_after(&id, revision);
        if is_newer && !self.may_have_lost_data() {
            return match purpose {
                ReadPurpose::Cancel(_) => self.cancel_as_leader(ticket, &id),
                _ => self.queue_barrier_request(BarrierRequest::Show(ticket, id)),
            };
        }
        if !self.store_is_incomplete() {
            if !is_newer {
                self.suspect_data_loss("a known job is missing from it");
            }
            let answer = Response::busy("the state service may have lost data", 1);
            return self.answer(ticket, answer);
        }
        // The job is cached here and has not been written back yet.
        match purpose {
            ReadPurpose::Cancel(_) => self.cancel_as_leader(ticket, &id),
            _ => self.show_fresh(ticket, &id),
        }
    }

    /// Applies the item of a job's key from the response to a read. Returns whether its value is readable.
    pub(in crate::core) fn put_job_item(&mut self, id: &str, item: Item) -> bool {
        let value: JobValue = match serde_json::from_value(item.value) {
            Ok(value) => value,
            Err(error) => {
                tracing::error!(job = %id, %error, "job value unreadable");
                return false;
            }
        };
        self.store_cache
            .put_job_from_response(id, value, item.version);
        self.sync_job_runs();
        true
    }

    fn job_key_found(&mut self, id: String, purpose: ReadPurpose, item: Item) {
        let ticket = purpose.ticket();
        if !self.put_job_item(&id, item) {
            return self.answer(ticket, Response::busy("unreadable", 5));
        }
        let final_answer = self.final_answer(&id);
        let accepted = matches!(purpose, ReadPurpose::ConfirmCreation(_));
        if accepted && (final_answer.is_some() || self.own_key_determines_state(&id)) {
            let mut answer = self.fresh_answer(&id);
            if answer.status == 200 {
                answer.status = 201;
            }
            self.answer(ticket, answer);
        } else if let Some(answer) = final_answer {
            self.answer(ticket, answer);
        } else if matches!(purpose, ReadPurpose::Cancel(_)) {
            self.cancel_as_leader(ticket, &id);
        } else if self.own_key_determines_state(&id) {
            self.show_fresh(ticket, &id);
        } else {
            self.queue_barrier_request(BarrierRequest::Show(ticket, id));
        }
    }

    /// Cancels a job whose key was read, if this controller still leads.
    fn cancel_as_leader(&mut self, ticket: Ticket, id: &str) {
        if self.is_active_leader() {
            self.cancel(ticket, id);
        } else {
            self.answer(ticket, Response::busy("the leader changed", 1));
        }
    }

    /// Returns whether a live job's own key determines its state. The key of a job with dependencies
    /// does not, since it does not contain their outcomes.
    fn own_key_determines_state(&self, id: &str) -> bool {
        let job = self.store_cache.jobs.get(id);
        job.is_some_and(|job| job.spec.dependencies.is_empty())
    }
}
