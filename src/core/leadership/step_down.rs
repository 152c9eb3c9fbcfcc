//! End of a leadership.

use crate::core::leadership::state::LeaderState;
use crate::core::{Core, Effect, Ticket};
use crate::http::Response;

impl Core {
    /// Ends this process's leadership, if it has one: answers requests that wait for the leader's decisions and drops
    /// the leader's calls in flight, whose outcomes are then ignored. Keeps the lease.
    pub(in crate::core) fn step_down(&mut self, reason: &str) {
        let Some(mut leader) = self.leader.take() else {
            return;
        };
        self.effects.push(Effect::LeadershipProof(None));
        tracing::warn!(term = leader.term, reason, "stepped down");
        self.relay.adopt_workers(&leader);
        self.candidacy.leadership_ended(self.now.mono);
        self.answer_waiting(&mut leader);
        self.pending.retain(|_, call| call.survives_step_down());
    }

    /// Answers all requests that wait for a decision of this leader: heartbeats are redirected, batches refused, and
    /// users who cancel jobs are told to retry.
    fn answer_waiting(&mut self, leader: &mut LeaderState) {
        let responses = leader.scheduler.take_deferred_responses();
        for (ticket, _) in responses.heartbeats {
            self.redirect(ticket);
        }
        for batch in responses.batches {
            self.refuse_batch(batch.ticket, batch.number);
        }
        let runs = leader.job_runs.values_mut();
        let cancellations: Vec<Ticket> = runs
            .flat_map(|run| std::mem::take(&mut run.cancel_waiters))
            .collect();
        for ticket in cancellations {
            self.answer(ticket, Response::busy("the leader changed", 1));
        }
    }

    /// Steps down and revokes the lease, so that another controller can take over at once.
    pub(in crate::core) fn resign(&mut self, reason: &str) {
        self.step_down(reason);
        self.candidacy.resigned(self.now.mono);
        self.release_lease();
    }
}
