//! Relays the heartbeats of this controller's workers to the leader while another controller leads.
//!
//! Heartbeats are sent to the leader in batches, and wait here for its responses. A heartbeat with
//! the same content as the last one is answered at once, if the leader has delegated the machine to
//! this controller (`delegation`) and its grant is valid.
//!
//! While there is no leader, heartbeats wait for the next one, but not for longer than a worker
//! waits for a response. If they were refused, all workers would connect to other controllers just
//! when a new leader has the most work. As they stay, the workers do not have to look for the new
//! leader, and this controller shows them its fencing token (`probes`).
//!
//! - `state`: the workers served here, the grant, and the batch in flight.
//! - `local_answers`: the heartbeats answered here, until the leader knows of them.
//! - `backoff`: retry delays for a leader that does not respond to batches.
//! - `probes`: showing workers the fencing token of a new term.

mod backoff;
mod local_answers;
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
use state::{BATCH_INTERVAL, BatchContent, BatchInFlight};
use std::collections::BTreeMap;
use std::time::Duration;

/// Time after which a queued heartbeat is refused. A worker waits 4 s for a response, counted from
/// when it sent the heartbeat.
const MAX_QUEUE_WAIT: Duration = Duration::from_millis(3000);
/// Time from the receipt of a heartbeat after which no response is sent, as its worker may have given up.
const MAX_RESPONSE_DELAY: Duration = Duration::from_millis(3400);

/// Returns the response to a heartbeat that was accepted.
fn accepted_response(fencing_token: u64, commands: Vec<TaskCommand>) -> Response {
    let response = HeartbeatResponse {
        fencing_token,
        commands,
    };
    Response::new(200, to_json(&response))
}

impl Core {
    /// Processes a heartbeat while this controller is not the leader: answers it under the leader's
    /// grant, queues it for the leader, or redirects the worker.
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

    /// Returns the response to an unchanged heartbeat of a machine that the leader has delegated to
    /// this controller. The response is not sent after the grant has expired.
    fn delegated_response(&mut self, heartbeat: &Heartbeat) -> Option<Response> {
        let now = self.now.mono;
        let grant = self.relay.grant()?;
        if !grant.is_valid(self.store_cache.term, now) && is_enabled(Safeguard::GrantExpiry) {
            return None;
        }
        let fencing_token = self.relay.cached_response_token(heartbeat)?;
        if let Some(to) = self.relay.next_reassignment(&heartbeat.machine) {
            return Some(redirect_to(&to));
        }
        self.relay.record_local_answer(heartbeat, now);
        let until = is_enabled(Safeguard::GrantExpiry).then_some(grant.expires_at);
        Some(accepted_response(fencing_token, Vec::new()).until(until))
    }

    /// Returns whether heartbeats should wait for the leader's response: if there is no leader, if it has
    /// not failed to respond, or if it issued a grant in this term and may since have died, so that a new
    /// leader is to be expected.
    fn may_wait_for_leader(&self) -> bool {
        let term = self.store_cache.term;
        self.leader_name().is_none()
            || self.relay.was_granted_recently_in_term(term, self.now.mono)
            || !self.relay.backoff.is_backing_off(term)
    }

    /// Processes the queued heartbeats here once this controller has become the leader. Returns those
    /// that were accepted and need a response.
    pub(in crate::core) fn drain_waiting_heartbeats(&mut self) -> Vec<(Ticket, MachineId)> {
        if !self.is_active_leader() || self.relay.queue.is_empty() {
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

    /// Advances the relay: refuses overdue heartbeats, sends token probes, and sends the next batch when it
    /// is due. Called at the end of each step of a controller that is not the leader.
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

    /// Refuses queued heartbeats whose workers are about to stop waiting for a response.
    fn reject_overdue_heartbeats(&mut self) {
        let now = self.now.mono;
        while let Some(overdue) = self.relay.queue.pop_overdue(now, MAX_QUEUE_WAIT) {
            if let Some(ticket) = overdue.ticket {
                self.answer(ticket, Response::busy("no leader yet", 1));
            }
        }
    }

    /// Returns the name of the leader, if it is another controller.
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

    /// Returns the maximum age of a worker's newest heartbeat at which the worker counts as reporting to
    /// this controller.
    fn recent_heartbeat_age(&self) -> Duration {
        self.settings.heartbeat_interval * 5 / 2
    }

    fn send_batch(&mut self, leader: String) {
        let now = self.now.mono;
        let recent = self.recent_heartbeat_age();
        let term = self.store_cache.term;
        let (batch, content) = self
            .relay
            .next_batch(&self.settings.name, term, recent, now);
        let number = batch.number;
        let frame = heartbeat_batch::encode_batch(&batch);
        self.relay.set_in_flight(BatchInFlight {
            number,
            sent_at: now,
            leader: leader.clone(),
            content,
        });
        self.effects.push(Effect::HeartbeatBatch {
            peer: leader,
            number,
            frame,
        });
    }

    /// Processes the leader's response to the batch with this number, or `None` if there was no response.
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
        tracing::debug!(
            leader = batch.leader,
            number = batch.number,
            heartbeats = batch.content.heartbeats.len(),
            answers = batch.content.answers.len(),
            "heartbeat batch not answered"
        );
        self.take_back(batch.content);
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
            return self.take_back(batch.content);
        }
        // The sender is not the leader, or its term is over.
        if response.grant.is_zero() || self.relay.is_superseded(response.term) {
            return self.take_back(batch.content);
        }
        let grant = HeldGrant::new(response.term, batch.sent_at, response.grant);
        self.update_members(&batch.leader, &response.members);
        let BatchContent {
            heartbeats,
            answers,
        } = batch.content;
        self.relay.confirm_answers(&answers);
        self.relay.apply_response(grant, &mut response, now);
        if self.relay.register_term(response.term) {
            self.begin_token_probes(response.term, &heartbeats);
        }
        self.add_token_probes(response.probes);
        self.deliver_responses(heartbeats, response.responses, grant);
    }

    /// Merges the leader's view of the other controllers, and records that the leader is alive.
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
                cacheable,
            } => {
                let cached_token = cacheable.then_some(fencing_token);
                self.relay.record_worker(queued, cached_token);
                // The response must be sent before the leader's leadership expires and before the worker stops
                // waiting.
                let until = grant.expires_at.min(queued.received + MAX_RESPONSE_DELAY);
                accepted_response(fencing_token, commands).until(Some(until))
            }
        };
        self.answer(ticket, answer);
    }

    /// Takes back the content of a failed batch: the answers given here are reported again, and the heartbeats are put
    /// back into the queue. If they should not wait for the leader, the workers of all queued heartbeats are redirected
    /// to it instead.
    fn take_back(&mut self, content: BatchContent) {
        self.relay.put_back_answers(content.answers);
        self.relay.queue.put_back(content.heartbeats);
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
