//! Sharing the probes of workers after a failover among all live controllers.

use crate::core::Core;
use crate::core::leadership::state::LeaderState;
use crate::core::workers::commands::MAX_DIRECT_CALLS;
use crate::job::MachineId;
use crate::wire::Heartbeat;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Another controller probes the machines that it claims for this long; then they are probed from
/// here.
const PROBE_CLAIM: Duration = Duration::from_millis(1500);
/// Machines that another controller is given to probe at a time: as many as it probes at once, and
/// some until its next frame.
pub(super) const MAX_PROBES_PER_DELEGATE: usize = 3 * MAX_DIRECT_CALLS / 2;

impl LeaderState {
    /// Machines and their addresses for another controller to show the fencing token to, which has
    /// this many to probe already. All live controllers share the work of a failover, whichever of
    /// them the workers reported to.
    pub(super) fn assign_probes(
        &mut self,
        already_pending: usize,
        now: Instant,
    ) -> Vec<(MachineId, String)> {
        let claimed_until = now + PROBE_CLAIM;
        let mut assigned = Vec::new();
        while already_pending + assigned.len() < MAX_PROBES_PER_DELEGATE
            && let Some(id) = self.next_probe(now)
        {
            let Some(m) = self.machines.get_mut_untracked(&id) else {
                continue;
            };
            m.claimed_until = Some(claimed_until);
            // If nothing comes of it, it is probed from here.
            self.recovery.probe_at(claimed_until, id.clone());
            assigned.push((id, m.addr.clone()));
        }
        assigned
    }

    /// Another controller serves these machines and will probe them.
    pub(super) fn claim_probes(&mut self, served: &[MachineId], from: &Arc<str>, now: Instant) {
        for id in served {
            if let Some(m) = self.machines.get_mut_untracked(id)
                && m.unresolved
            {
                m.claimed_until = Some(now + PROBE_CLAIM);
                m.via = Some(from.clone());
            }
        }
    }

    /// These machines gave another controller no answer: they are probed from here.
    pub(super) fn retry_probes(&mut self, unanswered: &[MachineId], now: Instant) {
        for id in unanswered {
            if let Some(m) = self.machines.get_mut_untracked(id)
                && m.unresolved
            {
                m.direct_calls.failures += 1;
                m.claimed_until = None;
                self.recovery.probe_at(now, id.clone());
            }
        }
    }
}

impl Core {
    /// Applies a worker's answer to another controller's probe.
    pub(super) fn apply_probe_answer(&mut self, heartbeat: Heartbeat) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let id = heartbeat.machine.clone();
        if leader.machines.get(&id).is_some() {
            leader.recovery.mark_zone_reachable(&heartbeat.zone);
            self.apply_call_reply(&id, heartbeat);
        }
    }
}
