//! Relaying the heartbeats of this controller's workers while another controller leads.
//!
//! Their heartbeats wait here until the leader's answer comes, many in a frame; one that says the
//! same as the last one is answered at once, under the leader's grant and as far as the leader has
//! delegated that machine (`delegation`). While there is no leader, heartbeats wait for the next
//! one, though not for longer than a worker does: workers that are turned away would all connect to
//! another controller, at the very moment at which a new leader has most to do. When it comes, the
//! workers need not look for it, and this controller shows them its fencing token (`probes`).
//!
//! - `state`: the workers served here, the grant, and the batch in flight.
//! - `backoff`: when a leader that gave no answer is asked again.
//! - `probes`: showing workers the fencing token of a new term.

mod backoff;
mod probes;
mod state;

pub use state::Relay;

use crate::core::workers::delegates::MAX_BATCH_INTERVAL;
use crate::core::workers::heartbeat_queue::QueuedHeartbeat;
use crate::core::workers::heartbeats::redirect_to;
use crate::core::{Core, Effect, Ticket};
use crate::fault_injection::{Safeguard, is_enabled};
use crate::http::Response;
use crate::job::MachineId;
use crate::peer::heartbeat_batch::{
    self, HeartbeatBatchResponse, MemberStatus, RelayedOutcome, RelayedResponse,
};
use crate::wire::{Heartbeat, HeartbeatResponse, TaskCommand, to_json};
use burlusher_membership::grant::HeldGrant;
use burlusher_membership::view::Capabilities;
use state::{BATCH_INTERVAL, BatchInFlight};
use std::collections::BTreeMap;
use std::time::Duration;

/// A worker waits 4 s for an answer, and its heartbeat was under way for a moment.
const MAX_QUEUE_WAIT: Duration = Duration::from_millis(3000);
const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(3400);

/// The answer to a heartbeat that the leader took in.
fn accepted_response(fencing_token: u64, commands: Vec<TaskCommand>) -> Response {
    let response = HeartbeatResponse {
        fencing_token,
        commands,
    };
    Response::new(200, to_json(&response))
}

impl Core {
    /// A worker sends a heartbeat here, and another controller leads, or none.
    pub(in crate::core) fn relay_heartbeat(&mut self, ticket: Ticket, heartbeat: Box<Heartbeat>) {
        self.observe_fencing_token(heartbeat.fencing_token);
        if !self.delegating {
            return self.redirect(ticket);
        }
        if let Some(answer) = self.delegated_response(&heartbeat) {
            return self.answer(ticket, answer);
        }
        if self.store_is_stale() || !self.may_wait_for_leader() {
            return self.redirect(ticket);
        }
        if !self.relay.queue.has_room(&self.settings) {
            return self.answer(ticket, Response::busy("overloaded", 1));
        }
        self.relay.queue.push(QueuedHeartbeat {
            ticket: Some(ticket),
            heartbeat,
            received: self.now.mono,
        });
    }

    /// The answer to a heartbeat that the leader has delegated to this controller and that says
    /// nothing new. It is void when the grant expires.
    fn delegated_response(&mut self, heartbeat: &Heartbeat) -> Option<Response> {
        let now = self.now.mono;
        let grant = self.relay.grant()?;
        if !grant.is_valid(self.store_cache.term, now) && is_enabled(Safeguard::GrantExpiry) {
            return None;
        }
        let fencing_token = self.relay.cached_response_token(heartbeat, now)?;
        if let Some(to) = self.relay.next_reassignment(&heartbeat.machine) {
            return Some(redirect_to(&to));
        }
        let until = is_enabled(Safeguard::GrantExpiry).then_some(grant.expires_at);
        Some(accepted_response(fencing_token, Vec::new()).until(until))
    }

    /// Whether it is useful to let heartbeats wait for the leader's answer: there is none, or one
    /// that has not failed to answer, or one that granted in this term and may be gone.
    fn may_wait_for_leader(&self) -> bool {
        let term = self.store_cache.term;
        self.leader_name().is_none()
            || self.relay.was_granted_recently_in_term(term, self.now.mono)
            || !self.relay.backoff.is_backing_off(term)
    }

    /// This controller has come to lead: heartbeats that waited for a leader are answered here.
    pub(in crate::core) fn drain_waiting_heartbeats(&mut self) -> Vec<(Ticket, MachineId)> {
        if !self.acting() || self.relay.queue.is_empty() {
            return Vec::new();
        }
        let mut accepted = Vec::new();
        for queued in self.relay.queue.take_all() {
            match queued.ticket {
                Some(ticket) => accepted.extend(self.receive_heartbeat(ticket, queued.heartbeat)),
                None => {
                    let id = queued.heartbeat.machine.clone();
                    self.apply_call_reply(&id, *queued.heartbeat);
                }
            }
        }
        accepted
    }

    /// Called at the end of each step of a controller that does not lead.
    pub(in crate::core) fn advance_relay(&mut self) {
        if !self.delegating {
            return;
        }
        let lease = self.settings.worker_lease;
        self.relay.drop_expired_workers(self.now.mono, lease);
        self.reject_overdue_heartbeats();
        self.relay.backoff.enter_term(self.store_cache.term);
        self.send_token_probes();
        if let Some(leader) = self.other_leader()
            && self.may_send_batch(&leader)
        {
            self.send_batch(leader);
        }
    }

    /// Answers heartbeats that have waited for as long as their workers do.
    fn reject_overdue_heartbeats(&mut self) {
        let now = self.now.mono;
        while let Some(overdue) = self.relay.queue.pop_overdue(now, MAX_QUEUE_WAIT) {
            if let Some(ticket) = overdue.ticket {
                self.answer(ticket, Response::busy("no leader yet", 1));
            }
        }
    }

    /// The leader, if it is another controller.
    fn other_leader(&self) -> Option<String> {
        let leader = self.leader_name()?;
        (leader != self.settings.name).then(|| leader.to_string())
    }

    fn may_send_batch(&self, leader: &str) -> bool {
        let queue = &self.relay.queue;
        let interval = if queue.is_empty() {
            MAX_BATCH_INTERVAL
        } else if queue.exceeds_a_frame() {
            Duration::ZERO
        } else {
            BATCH_INTERVAL
        };
        self.relay.may_send(interval, self.now.mono)
            && self.settings.peers.iter().any(|p| p.name == leader)
            && !self.store_is_stale()
    }

    /// The age up to which a worker's heartbeat counts it as reporting here.
    fn recent_heartbeat_age(&self) -> Duration {
        self.settings.heartbeat_interval * 5 / 2
    }

    fn send_batch(&mut self, leader: String) {
        let now = self.now.mono;
        let recent = self.recent_heartbeat_age();
        let term = self.store_cache.term;
        let (batch, heartbeats) = self
            .relay
            .next_batch(&self.settings.name, term, recent, now);
        let number = batch.number;
        let frame = heartbeat_batch::encode_batch(&batch);
        self.relay.set_in_flight(BatchInFlight {
            number,
            sent_at: now,
            leader: leader.clone(),
            heartbeats,
        });
        self.effects.push(Effect::HeartbeatBatch {
            peer: leader,
            number,
            frame,
        });
    }

    /// The leader's answer to our batch of this number, or that there is none.
    pub(in crate::core) fn batch_answered(
        &mut self,
        number: u64,
        response: Option<Box<HeartbeatBatchResponse>>,
    ) {
        let Some(batch) = self.relay.take_in_flight(number) else {
            return;
        };
        match response.filter(|r| r.number == number) {
            Some(response) => self.handle_batch_response(batch, *response),
            None => self.handle_batch_failure(batch),
        }
    }

    fn handle_batch_failure(&mut self, batch: BatchInFlight) {
        let now = self.now.mono;
        let granted_recently = self.relay.was_granted_recently(now);
        self.relay.backoff.record_failure(now, granted_recently);
        tracing::debug!(leader = batch.leader, "heartbeat batch not answered");
        self.requeue_heartbeats(batch.heartbeats);
    }

    fn handle_batch_response(
        &mut self,
        batch: BatchInFlight,
        mut response: HeartbeatBatchResponse,
    ) {
        let now = self.now.mono;
        self.relay.backoff.record_answer();
        self.peer_reachable_at = now;
        if response.refused {
            self.relay.backoff.record_refusal(now);
            return self.requeue_heartbeats(batch.heartbeats);
        }
        // It does not lead, or not yet, or not any more.
        if response.grant.is_zero() || self.relay.is_superseded(response.term) {
            return self.requeue_heartbeats(batch.heartbeats);
        }
        let grant = HeldGrant::new(response.term, batch.sent_at, response.grant);
        self.update_members(&batch.leader, &response.members);
        self.relay.apply_response(grant, &mut response, now);
        if self.relay.register_term(response.term) {
            self.begin_token_probes(response.term, &batch.heartbeats);
        }
        self.add_token_probes(response.probes);
        self.deliver_responses(batch.heartbeats, response.responses, grant);
    }

    /// Applies the leader's view of the other controllers, and records that the leader is alive.
    fn update_members(&mut self, leader: &str, members: &[MemberStatus]) {
        let now = self.now.mono;
        self.members
            .record_contact(leader, 0, Capabilities::SERVES_WORKERS, 0, now);
        for member in members {
            let contact = now.checked_sub(member.age).unwrap_or(now);
            let capabilities = Capabilities(member.capabilities);
            self.members
                .merge_report(&member.name, capabilities, member.load, contact);
        }
    }

    fn deliver_responses(
        &mut self,
        heartbeats: Vec<QueuedHeartbeat>,
        responses: Vec<RelayedResponse>,
        grant: HeldGrant,
    ) {
        let mut outcomes: BTreeMap<u64, RelayedOutcome> =
            responses.into_iter().map(|r| (r.id, r.outcome)).collect();
        for (index, queued) in heartbeats.into_iter().enumerate() {
            let Some(ticket) = queued.ticket else {
                continue;
            };
            match outcomes.remove(&(index as u64 + 1)) {
                Some(outcome) => self.deliver_response(ticket, &queued, outcome, grant),
                None => self.answer(ticket, Response::busy("no answer", 1)),
            }
        }
    }

    fn deliver_response(
        &mut self,
        ticket: Ticket,
        queued: &QueuedHeartbeat,
        outcome: RelayedOutcome,
        grant: HeldGrant,
    ) {
        let answer = match outcome {
            RelayedOutcome::Refused {
                status,
                retry_after,
            } => {
                self.relay.workers.remove(&queued.heartbeat.machine);
                let mut answer = Response::error(status, "see the status");
                answer.retry_after = retry_after;
                answer
            }
            RelayedOutcome::Commands {
                fencing_token,
                commands,
                steady,
            } => {
                let cached_token = steady.then_some(fencing_token);
                self.relay.record_worker(queued, cached_token);
                // Before the leader's leadership expires, and before the worker stops to wait.
                let until = grant.expires_at.min(queued.received + MAX_RESPONSE_DELAY);
                accepted_response(fencing_token, commands).until(Some(until))
            }
        };
        self.answer(ticket, answer);
    }

    /// Heartbeats whose batch came to nothing wait on, or their workers are redirected to the
    /// leader.
    fn requeue_heartbeats(&mut self, heartbeats: Vec<QueuedHeartbeat>) {
        self.relay.queue.put_back(heartbeats);
        if self.may_wait_for_leader() {
            return;
        }
        for queued in self.relay.queue.take_all() {
            if let Some(ticket) = queued.ticket {
                self.redirect(ticket);
            }
        }
    }
}
