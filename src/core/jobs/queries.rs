//! Users' requests: answered from what is final, by an acting leader from memory, or by a read
//! that is begun after the request came; otherwise they are forwarded to the leader.

use crate::core::Core;
use crate::core::command::ReadPurpose;
use crate::core::jobs::creation::Submission;
use crate::core::jobs::requests::{UserAction, UserRequest};
use crate::fault_injection::{Safeguard, is_enabled};
use crate::http::Response;

impl Core {
    /// Answers a user's request, or starts what its answer takes.
    pub(in crate::core) fn serve_user(&mut self, request: UserRequest) {
        // What is final may always be repeated, by any node.
        if let Some(answer) = self.final_answer(request.action.job_id()) {
            return self.answer(request.ticket, answer);
        }
        if self.acting() {
            return self.serve_as_leader(request);
        }
        if let (UserAction::Show(id), false) = (&request.action, is_enabled(Safeguard::FreshRead)) {
            return match self.store_cache.jobs.contains_key(id.as_str()) {
                true => self.show_fresh(request.ticket, id),
                false => self.answer(request.ticket, Response::error(404, "no such job")),
            };
        }
        if request.forwarded {
            // From a node that cannot reach the leader, or the state service: what needs no
            // leader is done here, if it can be.
            if self.store_is_stale() {
                return self.answer(request.ticket, Response::busy("not the leader", 1));
            }
            return self.serve_without_leader(request);
        }
        if let UserAction::Malformed(id, answer) = request.action {
            return self.read_job_key(id, ReadPurpose::Reject(request.ticket, answer));
        }
        self.forward_request(request);
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
        // A leader that may just be losing its lease lets another node accept the job.
        let is_submission = matches!(request.action, UserAction::Submit(_));
        if is_submission && !request.forwarded && self.store_is_stale() && !is_known {
            return self.forward_request(request);
        }
        match self.live_answer(request.action.job_id()) {
            Some(answer) => self.answer(ticket, answer),
            None => self.serve_from_store(request),
        }
    }

    /// The leader cannot be reached: jobs are accepted and read directly on the state service.
    /// Nothing is cancelled here, since the leader would not know it in time.
    pub(in crate::core) fn serve_without_leader(&mut self, request: UserRequest) {
        // No other controller is left to ask, and the state service would not answer either: queued for
        // it, the request would be answered when its user has long gone.
        if self.store_is_stale() {
            let answer = Response::busy("the state service is not reached", 1);
            return self.answer(request.ticket, answer);
        }
        self.serve_from_store(request);
    }

    /// Serves on the state service what takes no leader.
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
