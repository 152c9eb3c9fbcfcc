//! Token probes: calls that show a new leader's fencing token to the workers that send heartbeats here. The
//! workers then refuse whatever earlier leaders sent, and the leader learns which tasks each of them has.

use crate::core::command::PendingCall;
use crate::core::machines::machine::TOKEN_EPOCH_BITS;
use crate::core::workers::commands::MAX_DIRECT_CALLS;
use crate::core::workers::heartbeat_queue::QueuedHeartbeat;
use crate::core::{Core, Effect};
use crate::job::MachineId;
use crate::peer::heartbeat_batch;
use crate::wire::DirectCommands;
use crate::worker_client::{DirectOutcome, DirectRequest};

/// A worker that is to be shown a new fencing token.
pub(super) struct TokenProbe {
    pub machine: MachineId,
    /// The worker's incarnation; 0 if it is not known because the worker never reported here.
    pub incarnation: u64,
    pub addr: String,
}

/// Probes that show workers the fencing token of a new term.
#[derive(Default)]
pub(super) struct TokenProbes {
    pub pending: Vec<TokenProbe>,
    pub in_flight: usize,
    /// Workers that did not respond, and that are still to be reported to the leader.
    pub unanswered: Vec<MachineId>,
}

impl TokenProbes {
    /// Takes as many of the workers that did not respond as fit into the next frame.
    pub fn take_unanswered_for_frame(&mut self) -> Vec<MachineId> {
        let count = heartbeat_batch::count_fitting_names(&self.unanswered);
        self.unanswered.drain(..count).collect()
    }
}

impl Core {
    /// Begins the probes for the leader of a new term, after its first grant. `answered` are the heartbeats that
    /// the leader responded to with that grant.
    pub(super) fn begin_token_probes(&mut self, term: u64, answered: &[QueuedHeartbeat]) {
        let now = self.now.mono;
        let token = term << TOKEN_EPOCH_BITS;
        let recent = self.recent_heartbeat_age();
        self.relay.plan_token_probes(token, answered, recent, now);
        tracing::info!(
            term,
            workers = self.relay.workers.len(),
            probes = self.relay.probes.pending.len(),
            "probing workers with the new fencing token"
        );
    }

    /// Adds probes that the leader assigned to this controller.
    pub(super) fn add_token_probes(&mut self, machines: Vec<(MachineId, String)>) {
        for (machine, addr) in machines {
            let worker = self.relay.workers.get(&machine);
            let incarnation = worker.map_or(0, |w| w.incarnation);
            self.relay.probes.pending.push(TokenProbe {
                machine,
                incarnation,
                addr,
            });
        }
    }

    /// Sends pending probes while the grant is valid, with at most `MAX_DIRECT_CALLS` in flight.
    pub(super) fn send_token_probes(&mut self) {
        let now = self.now.mono;
        let Some(grant) = self.relay.grant().filter(|g| now < g.expires_at) else {
            self.relay.probes.pending.clear();
            self.relay.probes.unanswered.clear();
            return;
        };
        let token = grant.term << TOKEN_EPOCH_BITS;
        while self.relay.probes.in_flight < MAX_DIRECT_CALLS
            && let Some(probe) = self.relay.probes.pending.pop()
        {
            let worker = self.relay.workers.get(&probe.machine);
            if worker.is_some_and(|w| w.fencing_token >= token) {
                continue;
            }
            let Ok(addr) = probe.addr.parse() else {
                continue;
            };
            let call = self.register_call(PendingCall::TokenProbe(probe.machine));
            self.relay.probes.in_flight += 1;
            self.effects.push(Effect::DirectCall {
                call,
                addr,
                request: probe_request(token, probe.incarnation),
                not_after: grant.expires_at,
            });
        }
    }

    /// Processes the outcome of a probe. A worker's response is relayed as a heartbeat. Without a response, the
    /// leader is informed and probes the worker once more.
    pub(in crate::core) fn token_probe_answered(&mut self, id: &MachineId, outcome: DirectOutcome) {
        let probes = &mut self.relay.probes;
        probes.in_flight = probes.in_flight.saturating_sub(1);
        let DirectOutcome::Heartbeat { heartbeat, .. } = outcome else {
            probes.unanswered.push(id.clone());
            return;
        };
        if heartbeat.machine != *id || !self.relay.queue.has_room(&self.settings) {
            return;
        }
        if let Some(worker) = self.relay.workers.get_mut(id)
            && heartbeat.incarnation == worker.incarnation
        {
            worker.sequence = worker.sequence.max(heartbeat.sequence);
            worker.fencing_token = worker.fencing_token.max(heartbeat.fencing_token);
        }
        self.relay.queue.push(QueuedHeartbeat {
            ticket: None,
            heartbeat,
            received: self.now.mono,
        });
    }
}

/// Returns the request that shows a worker the token: an empty list of commands, or a status request if the
/// worker never reported here, as its incarnation is not known then (0).
fn probe_request(token: u64, incarnation: u64) -> DirectRequest {
    if incarnation == 0 {
        return DirectRequest::Status { token };
    }
    DirectRequest::Commands(DirectCommands {
        fencing_token: token,
        incarnation,
        commands: Vec::new(),
    })
}
