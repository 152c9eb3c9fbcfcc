//! Users' requests: answered from final outcomes, by an acting leader from its own state, or by a
//! read that starts after the request arrived; otherwise they are forwarded to the leader.

use crate::core::Core;
use crate::core::command::ReadPurpose;
use crate::core::jobs::creation::Submission;
use crate::core::jobs::requests::{UserAction, UserRequest};
use crate::fault_injection::{Safeguard, is_enabled};
use crate::http::Response;

impl Core {
    /// Answers a user's request, or starts the calls that its answer needs.
    pub(in crate::core) fn serve_user(&mut self, request: UserRequest) {
        // A final outcome never changes, so any node may answer with it at any time.
        if let Some(answer) = self.final_answer(request.action.job_id()) {
            return self.answer(request.ticket, answer);
        }
        if self.is_active_leader() {
            return self.serve_as_leader(request);
        }
        if let (UserAction::Show(id), false) = (&request.action, is_enabled(Safeguard::FreshRead)) {
            return match self.store_cache.jobs.contains_key(id.as_str()) {
                true => self.show_fresh(request.ticket, id),
                false => self.answer(request.ticket, Response::error(404, "no such job")),
            };
        }
        if request.forwarded {
            // Forwarded by a node that cannot reach the leader or the state service: a request that
            // needs no leader is served here if possible.
            if self.store_is_stale() {
                return self.answer(request.ticket, Response::busy("not the leader", 1));
            }
            return self.serve_without_leader(request);
        }
        if let UserAction::Malformed(id, answer) = request.action {
            return self.read_job_key(id, ReadPurpose::Reject(request.ticket, answer));
        }
        if let UserAction::Show(id) = &request.action
            && self.may_read_dropped_end(id)
        {
            return self.serve_from_store(request);
        }
        self.forward_request(request);
    }

    /// Returns whether the job is unknown here because it may have ended long ago, so that a read of its key, for which
    /// there is budget, is likely to answer a query.
    fn may_read_dropped_end(&mut self, id: &str) -> bool {
        self.store_cache.ended_jobs.is_partial()
            && !self.store_cache.is_known_job(id)
            && !self.store_is_stale()
            && self.read_budget.available(self.now.mono) >= 1.0
    }

    fn serve_as_leader(&mut self, request: UserRequest) {
        let ticket = request.ticket;
        let id = request.action.job_id();
        let is_known = self.store_cache.jobs.contains_key(id);
        if let UserAction::Cancel(id) = request.action {
            return match is_known {
                true => self.cancel(ticket, &id),
                false => self.read_job_key(id, ReadPurpose::Cancel(ticket)),
            };
        }
        // A leader that may be about to lose its lease lets another node accept the job.
        let is_submission = matches!(request.action, UserAction::Submit(_));
        if is_submission && !request.forwarded && self.store_is_stale() && !is_known {
            return self.forward_request(request);
        }
        match self.live_answer(request.action.job_id()) {
            Some(answer) => self.answer(ticket, answer),
            None => self.serve_from_store(request),
        }
    }

    /// Serves a request while the leader cannot be reached: jobs are accepted and read directly in the
    /// state service. No job is cancelled here, since the leader would not learn of it in time.
    pub(in crate::core) fn serve_without_leader(&mut self, request: UserRequest) {
        // No other controller is left to ask, and the state service does not respond either: a request
        // queued for it would be answered long after its user had gone.
        if self.store_is_stale() {
            let answer = Response::busy("the state service is not reached", 1);
            return self.answer(request.ticket, answer);
        }
        self.serve_from_store(request);
    }

    /// Serves a request that needs no leader by calls to the state service.
    fn serve_from_store(&mut self, request: UserRequest) {
        let UserRequest {
            ticket,
            action,
            received,
            ..
        } = request;
        match action {
            UserAction::Submit(spec) => {
                let submission = Submission {
                    ticket,
                    spec,
                    received,
                };
                self.accept(submission, false);
            }
            UserAction::Show(id) => self.read_for_query(id, ticket),
            UserAction::Malformed(id, answer) => {
                self.read_job_key(id, ReadPurpose::Reject(ticket, answer));
            }
            UserAction::Cancel(_) => self.answer(ticket, Response::busy("no leader", 1)),
        }
    }
}
