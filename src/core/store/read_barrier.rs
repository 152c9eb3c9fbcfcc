//! Linearizable reads that need more than one key. The state of a job with dependencies depends on their outcomes,
//! and whether a dependency named by a submission was ever accepted can depend on any key.
//!
//! A read that starts after the request arrived returns the state service's revision. Once this node's
//! cache has reached that revision, it contains everything that any response before the request can
//! have shown. Requests of one step share the read.

use crate::core::Core;
use crate::core::command::PendingCall;
use crate::core::store::barrier_request::BarrierRequest;
use crate::core::store::keys::{NEVER_WRITTEN, key};
use crate::http::Response;
use crate::store_client::{StoreOutcome, StoreRequest};
use std::time::{Duration, Instant};

/// Maximum time that a request waits for the cache. The watch delivers changes within some ten milliseconds, and
/// a user waits 2 s for the response to a poll.
const BARRIER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Requests that wait until the store's revision is read, or until the cache has reached it.
#[derive(Default)]
pub struct ReadBarriers {
    /// Requests received in this step.
    queued: Vec<BarrierRequest>,
    waiting: Vec<WaitingGroup>,
}

/// Requests that wait for the cache to reach the same revision.
struct WaitingGroup {
    /// Revision that the cache has to reach.
    revision: u64,
    deadline: Instant,
    requests: Vec<BarrierRequest>,
}

impl Core {
    /// Queues a request, to be answered after a read that starts at the end of this step.
    pub(in crate::core) fn queue_barrier_request(&mut self, request: BarrierRequest) {
        self.barriers.queued.push(request);
    }

    /// Starts the read for the requests of this step; called at the end of the step.
    pub(in crate::core) fn send_barrier(&mut self) {
        let new = std::mem::take(&mut self.barriers.queued);
        if !new.is_empty() {
            self.call_store(
                PendingCall::ReadBarrier(new),
                StoreRequest::Get(key(NEVER_WRITTEN)),
            );
        }
    }

    /// Handles the outcome of the read: the store's revision, or a failure.
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

    /// Answers with status 503, so that the users try again.
    fn answer_unavailable(&mut self, requests: Vec<BarrierRequest>) {
        for request in requests {
            let ticket = match request {
                BarrierRequest::Show(ticket, _) => ticket,
                BarrierRequest::Submit(submission) => submission.ticket,
            };
            self.answer(ticket, Response::busy("the state cannot be read now", 1));
        }
    }

    /// Answers requests for which the cache is new enough, and with status 503 those past their deadline.
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
