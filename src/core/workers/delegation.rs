//! Delegation of heartbeat processing from the leader to the other controllers.
//!
//! Each of the other controllers may serve workers: it relays their heartbeats to the leader in
//! batches and passes the leader's responses on. A machine for which there are no commands is
//! delegated to the controller that receives its heartbeats. The delegate then answers heartbeats
//! itself as long as their content does not change. Its response is the one that the leader would
//! have given, so it can renew a worker's lease and do nothing else.
//!
//! - The grant expires before the leader's own leadership does; see `membership::grant`.
//! - The lease of a delegated machine may have been renewed without the leader's knowledge. The
//!   leader therefore treats its incarnation as ended only after the delegation has ended, that is,
//!   after the delegate has acknowledged the revocation or its grant has expired.
//! - Any change on a delegated machine revokes the delegation. Until the delegate learns of the
//!   revocation, it answers without commands and with a token that is still valid, which is
//!   harmless. The command itself goes to the worker in a direct call, or in the next response
//!   that comes from the leader.
//!
//! This module processes batches and responds to them. `delegations` begins, revokes and ends
//! delegations, `probes` distributes the probes after a failover, `rebalancing` moves workers
//! between controllers, `members` reports the state of the other controllers.

mod delegations;
mod members;
mod probes;
mod rebalancing;

use crate::core::leadership::state::LeaderState;
use crate::core::workers::delegates::Delegate;
use crate::core::workers::pending_responses::PendingBatch;
use crate::core::{Core, Ticket};
use crate::fault_injection::{Safeguard, is_enabled};
use crate::http::Response;
use crate::job::MachineId;
use crate::peer::heartbeat_batch::{
    self, HeartbeatBatch, HeartbeatBatchResponse, RelayedHeartbeat, RelayedOutcome, RelayedResponse,
};
use burlusher_membership::grant::{IssuedGrant, RequestOrder};
use burlusher_membership::view::Capabilities;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

/// Maximum size in bytes of the responses in one frame. A worker whose response does not fit is
/// told to retry.
const MAX_RESPONSE_BYTES: usize = 400 * 1024;

impl Core {
    /// Processes a batch from a controller that serves workers. Returns the batch for the response at
    /// the end of the step, or `None` if it was refused.
    pub(in crate::core) fn receive_batch(
        &mut self,
        ticket: Ticket,
        batch: HeartbeatBatch,
    ) -> Option<PendingBatch> {
        let now = self.now.mono;
        let capabilities = Capabilities(batch.capabilities);
        let is_member = self.members.record_contact(
            &batch.from,
            batch.incarnation,
            capabilities,
            batch.load,
            now,
        );
        if !self.delegating || !is_member || !self.is_active_leader() {
            self.refuse_batch(ticket, batch.number);
            return None;
        }
        let from: Arc<str> = batch.from.as_str().into();
        let leader = self.leader.as_mut()?;
        let follows_last = leader.follows_last_batch(&from, batch.number);
        match leader.accept_request(&from, batch.incarnation, batch.number, now) {
            // Delayed in transit: its sender has given up on it, and its heartbeats are outdated.
            RequestOrder::Stale => {
                self.refuse_batch(ticket, batch.number);
                return None;
            }
            // The process with cached responses has ended, and its successor has none.
            RequestOrder::NewIncarnation => {
                leader.reset_delegate(&from);
                leader.record_batch(&from, &batch, now);
            }
            RequestOrder::Next => {
                leader.record_batch(&from, &batch, now);
                if !follows_last && is_enabled(Safeguard::MissingBatchRenewal) {
                    leader.assume_renewed_leases(&from, now);
                }
                // The answers in this batch may have been given under a delegation that ends with it.
                leader.confirm_revocations(&from, batch.acknowledged);
            }
        }
        Some(PendingBatch {
            ticket,
            number: batch.number,
            probes_pending: batch.pending_probes as usize + batch.served.len(),
            heartbeats: self.accept_relayed_heartbeats(batch.heartbeats, &from),
            from,
        })
    }

    /// Processes the heartbeats of a batch. Returns the ids of those that need a response, each with the
    /// machine that sent it, or with the error response if the heartbeat was not accepted.
    fn accept_relayed_heartbeats(
        &mut self,
        heartbeats: Vec<RelayedHeartbeat>,
        from: &Arc<str>,
    ) -> Vec<(u64, Result<MachineId, Response>)> {
        let mut accepted = Vec::new();
        for RelayedHeartbeat { id, heartbeat } in heartbeats {
            if id == 0 {
                self.apply_probe_answer(*heartbeat);
            } else {
                accepted.push((id, self.accept_heartbeat(*heartbeat, Some(from))));
            }
        }
        accepted
    }

    /// Refuses a batch without a grant, because this controller is not the leader or does not
    /// delegate.
    pub(in crate::core) fn refuse_batch(&mut self, ticket: Ticket, number: u64) {
        let refusal = HeartbeatBatchResponse {
            number,
            refused: !self.delegating,
            ..HeartbeatBatchResponse::default()
        };
        let frame = heartbeat_batch::encode_batch_response(&refusal);
        self.answer(ticket, Response::new(200, frame));
    }

    /// Responds to a processed batch, with a grant that lasts as long as this controller is certain
    /// to remain the leader.
    pub(in crate::core) fn answer_batch(&mut self, batch: PendingBatch) {
        let now = self.now.mono;
        let Some(leader_until) = self.leadership_valid_until() else {
            return self.refuse_batch(batch.ticket, batch.number);
        };
        let responses = self.batch_responses(batch.heartbeats, &batch.from);
        let members = self.member_statuses(&batch.from);
        let Some(leader) = &mut self.leader else {
            return;
        };
        let probes = leader.assign_probes(batch.probes_pending, now);
        let term = leader.term;
        let Some(delegate) = leader.delegates.by_name.get_mut(&batch.from) else {
            return;
        };
        let response = HeartbeatBatchResponse {
            number: batch.number,
            term,
            grant: delegate.issued.extend(leader_until, now),
            refused: false,
            revoked: delegate.revocations_for_frame(batch.number),
            responses,
            probes,
            reassignments: std::mem::take(&mut delegate.reassignments),
            members,
        };
        let frame = heartbeat_batch::encode_batch_response(&response);
        let answer = Response::new(200, frame).until(Some(leader_until));
        self.answer(batch.ticket, answer);
    }

    /// Returns the responses to the heartbeats of a batch. Those that do not fit into the frame are
    /// replaced by a refusal.
    fn batch_responses(
        &mut self,
        heartbeats: Vec<(u64, Result<MachineId, Response>)>,
        from: &Arc<str>,
    ) -> Vec<RelayedResponse> {
        let mut responses = Vec::new();
        let mut size = 0;
        for (id, accepted) in heartbeats {
            let outcome =
                accepted.and_then(|machine| self.relayed_outcome(&machine, from, &mut size));
            let refused = |answer: Response| RelayedOutcome::Refused {
                status: answer.status,
                retry_after: answer.retry_after,
            };
            responses.push(RelayedResponse {
                id,
                outcome: outcome.unwrap_or_else(refused),
            });
        }
        responses
    }

    /// Returns the commands for a machine whose heartbeat was accepted, or an error response if the
    /// frame is full or the machine was deleted. Adds the size of the commands to `frame_bytes`.
    fn relayed_outcome(
        &mut self,
        machine: &MachineId,
        from: &Arc<str>,
        frame_bytes: &mut usize,
    ) -> Result<RelayedOutcome, Response> {
        if *frame_bytes > MAX_RESPONSE_BYTES {
            return Err(Response::busy("overloaded", 1));
        }
        let response = self
            .heartbeat_response(machine)
            .ok_or_else(|| Response::busy("this machine is gone", 30))?;
        *frame_bytes += heartbeat_batch::response_size(&response.commands);
        let cacheable = response.commands.is_empty()
            && (self.leader.as_mut()).is_some_and(|l| l.delegate_machine(machine, from));
        Ok(RelayedOutcome::Commands {
            fencing_token: response.fencing_token,
            commands: response.commands,
            cacheable,
        })
    }
}

impl LeaderState {
    /// Returns whether no batch of the controller is missing before the one with this number.
    fn follows_last_batch(&self, from: &Arc<str>, number: u64) -> bool {
        let delegate = self.delegates.by_name.get(from);
        delegate.is_none_or(|delegate| number == delegate.issued.last_number + 1)
    }

    /// Records the number of a batch, which also requests a grant, and returns how the batch is ordered
    /// relative to earlier ones. Adds the controller as a delegate if it is not known.
    fn accept_request(
        &mut self,
        from: &Arc<str>,
        incarnation: u64,
        number: u64,
        now: Instant,
    ) -> RequestOrder {
        let delegates = &mut self.delegates.by_name;
        let delegate = delegates.entry(from.clone()).or_insert_with(|| Delegate {
            issued: IssuedGrant::new(incarnation, 0, now),
            revocations: BTreeMap::new(),
            reassignments: Vec::new(),
            has_delegations: false,
        });
        delegate.issued.accept_request(incarnation, number, now)
    }

    /// Processes everything in a batch except the relayed heartbeats.
    fn record_batch(&mut self, from: &Arc<str>, batch: &HeartbeatBatch, now: Instant) {
        if !batch.answered.is_empty() || !batch.heartbeats.is_empty() {
            self.liveness.record_heartbeat(now);
        }
        self.delegates.relayed_heartbeats += batch.heartbeats.len() as u64;
        self.delegates.delegated_answers += batch.answered.len() as u64;
        // Heartbeats answered under an earlier leader's grant prove nothing in this term.
        if batch.term == self.term {
            for answered in &batch.answered {
                self.record_delegated_heartbeat(answered, from, now);
            }
        }
        self.claim_probes(&batch.served, from, now);
        self.retry_probes(&batch.unanswered_probes, now);
    }
}

#[cfg(test)]
mod tests;
