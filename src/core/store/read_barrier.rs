//! Linearizable reads of what one key cannot answer. The state of a job with dependencies depends on how those
//! have ended, and whether a job that a submission names was ever accepted, on all keys there are.
//!
//! A read begun after the request came shows the state service's revision; once this node's copy
//! has reached that revision, it holds everything that any answer before the request can have
//! shown. Requests of one step share the read.

use crate::core::Core;
use crate::core::command::Pending;
use crate::core::store::barrier_request::BarrierRequest;
use crate::core::store::keys::{NEVER_WRITTEN, key};
use crate::http::Response;
use crate::store_client::{StoreOutcome, StoreRequest};
use std::time::{Duration, Instant};

/// The watch brings changes within some ten milliseconds; a user waits 2 s for a poll.
const BARRIER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Requests for which the store's revision is being read, or which wait until the copy has come as far.
#[derive(Default)]
pub struct ReadBarriers {
    /// Received in this step.
    queued: Vec<BarrierRequest>,
    waiting: Vec<WaitingGroup>,
}

/// Requests that wait for the copy.
struct WaitingGroup {
    /// The revision that the copy has to reach.
    revision: u64,
    deadline: Instant,
    requests: Vec<BarrierRequest>,
}

impl Core {
    /// The request is answered after a read that begins at the end of this step.
    pub(in crate::core) fn queue_barrier_request(&mut self, request: BarrierRequest) {
        self.barriers.queued.push(request);
    }

    /// Begins the read for the requests of this step; called at its end.
    pub(in crate::core) fn send_barrier(&mut self) {
        let new = std::mem::take(&mut self.barriers.queued);
        if !new.is_empty() {
            self.call_store(
                Pending::ReadBarrier(new),
                StoreRequest::Get(key(NEVER_WRITTEN)),
            );
        }
    }

    /// The read has shown the store's revision, or has failed.
    pub(in crate::core) fn barrier_outcome(
        &mut self,
        requests: Vec<BarrierRequest>,
        outcome: StoreOutcome,
    ) {
        let StoreOutcome::Missing { revision } = outcome else {
            tracing::debug!(?outcome, "read barrier failed");
            return self.answer_unavailable(requests);
        };
        self.barriers.waiting.push(WaitingGroup {
            revision,
            deadline: self.now.mono + BARRIER_TIMEOUT,
            requests,
        });
        self.answer_barriers();
    }

    /// The users are asked to try again.
    fn answer_unavailable(&mut self, requests: Vec<BarrierRequest>) {
        for request in requests {
            let ticket = match request {
                BarrierRequest::Show(ticket, _) => ticket,
                BarrierRequest::Submit(submission) => submission.ticket,
            };
            self.answer(ticket, Response::busy("the state cannot be read now", 1));
        }
    }

    /// Answers what the copy is new enough for; what has waited for too long is put off.
    pub(in crate::core) fn answer_barriers(&mut self) {
        let (now, revision) = (self.now.mono, self.store_cache.revision);
        for group in std::mem::take(&mut self.barriers.waiting) {
            if self.store_cache.loaded && revision >= group.revision {
                self.answer_requests(group.requests);
            } else if now >= group.deadline {
                self.answer_unavailable(group.requests);
            } else {
                self.barriers.waiting.push(group);
            }
        }
    }

    fn answer_requests(&mut self, requests: Vec<BarrierRequest>) {
        for request in requests {
            match request {
                BarrierRequest::Show(ticket, id) => self.show_fresh(ticket, &id),
                BarrierRequest::Submit(submission) => self.accept(submission, true),
            }
        }
    }
}
