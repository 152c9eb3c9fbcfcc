//! Probes: direct calls that present the leader's fencing token to a machine and ask for its tasks. During recovery all
//! unresolved machines are probed, later those that may have restarted.

use crate::core::command::PendingCall;
use crate::core::leadership::state::LeaderState;
use crate::core::workers::commands::MAX_DIRECT_CALLS;
use crate::core::{Core, Effect};
use crate::job::MachineId;
use crate::worker_client::DirectRequest;
use std::time::{Duration, Instant};

/// Minimum interval between two probes of a machine that sends outdated heartbeats.
const RESTART_PROBE_INTERVAL: Duration = Duration::from_secs(2);

impl LeaderState {
    /// Takes the next unresolved machine that has no call in flight and that no delegate is about to probe.
    pub(in crate::core) fn next_probe(&mut self, now: Instant) -> Option<MachineId> {
        loop {
            let id = self.recovery.take_next(now)?;
            let machine = self.machines.get(&id);
            let Some(machine) = machine.filter(|m| m.unresolved) else {
                continue;
            };
            if let Some(later) = machine.claimed_until.filter(|t| now < *t) {
                self.recovery.probe_at(later, id);
            } else if machine.direct_calls.in_flight.is_none() {
                return Some(id);
            }
        }
    }
}

impl Core {
    /// Probes as many unresolved machines as the limit on direct calls allows.
    pub(in crate::core) fn probe_machines(&mut self) {
        let now = self.now.mono;
        while let Some(leader) = &mut self.leader
            && leader.direct_calls_in_flight < MAX_DIRECT_CALLS
            && let Some(id) = leader.next_probe(now)
        {
            self.probe_machine(&id, false);
        }
    }

    /// Probes a machine after a heartbeat or a reply with an old sequence number. Either the heartbeat is a delayed duplicate, or
    /// the machine has restarted and numbers its heartbeats from one again; the answer to the probe tells which.
    pub(in crate::core) fn probe_for_restart(&mut self, id: &MachineId) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let call_available = leader.direct_calls_in_flight < MAX_DIRECT_CALLS;
        let Some(m) = leader.machines.get_mut_untracked(id) else {
            return;
        };
        if !call_available
            || m.direct_calls.in_flight.is_some()
            || m.incarnation == 0
            || now < m.direct_calls.retry_not_before
        {
            return;
        }
        m.direct_calls.retry_not_before = now + RESTART_PROBE_INTERVAL;
        // The probe carries the new token, so the machine refuses all commands that were sent before its restart.
        m.token_epoch += 1;
        self.probe_machine(id, true);
    }

    /// Handles a restart of the machine, which has lost its tasks and numbers its heartbeats from one again.
    /// `seen_token` is the highest fencing token that it has seen since.
    pub(in crate::core) fn machine_restarted(&mut self, id: &MachineId, seen_token: u64) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let term = leader.term;
        let Some(m) = leader.machines.get_mut(id) else {
            return;
        };
        tracing::warn!(term, machine = %id, "machine restarted");
        m.incarnation = 0;
        m.sequence = 0;
        m.highest_token = seen_token;
        m.in_doubt_until_token = None;
        m.start_unconfirmed = false;
        m.lease_expired = false;
        m.exited.clear();
        m.images.clear();
        m.require_token_proof(term);
        let tasks = m.tasks.keys().cloned().collect();
        self.tasks_lost(id, tasks, "the machine restarted");
    }

    /// Sends a probe to a machine, unless the leadership is not valid, or the machine is unknown or has no valid
    /// address.
    fn probe_machine(&mut self, id: &MachineId, raises_token: bool) {
        let Some(not_after) = self.leadership_valid_until() else {
            return;
        };
        let leader = self.leader.as_ref();
        let machine = leader.and_then(|leader| leader.machines.get(id));
        let Some(addr) = machine.and_then(|machine| machine.addr.parse().ok()) else {
            return;
        };
        let call = self.register_call(PendingCall::DirectCall(id.clone()));
        let Some(leader) = &mut self.leader else {
            return;
        };
        let term = leader.term;
        let Some(machine) = leader.machines.get_mut(id) else {
            return;
        };
        machine.record_direct_call(call, raises_token);
        let token = machine.token(term);
        leader.direct_calls_in_flight += 1;
        self.effects.push(Effect::DirectCall {
            call,
            addr,
            request: DirectRequest::Status { token },
            not_after,
        });
    }
}
