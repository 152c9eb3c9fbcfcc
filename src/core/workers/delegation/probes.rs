//! Distribution of the probes of workers after a failover among all live controllers.

use crate::core::Core;
use crate::core::leadership::state::LeaderState;
use crate::core::workers::commands::MAX_DIRECT_CALLS;
use crate::job::MachineId;
use crate::wire::Heartbeat;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time for which the probe of a machine is left to another controller before the leader sends the
/// probe itself.
const PROBE_CLAIM: Duration = Duration::from_millis(1500);
/// Maximum number of machines assigned to another controller to probe: as many as it probes at the
/// same time, and half as many again to keep it busy until its next frame.
pub(super) const MAX_PROBES_PER_DELEGATE: usize = 3 * MAX_DIRECT_CALLS / 2;

impl LeaderState {
    /// Returns machines, with their addresses, for another controller to probe with the fencing token.
    /// `already_pending` is the number of probes that it already has. All live controllers share the
    /// probes of a failover, whichever of them the workers reported to.
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
            // The leader probes the machine itself if the other controller's probe has no result.
            self.recovery.probe_at(claimed_until, id.clone());
            assigned.push((id, m.addr.clone()));
        }
        assigned
    }

    /// Leaves the probes of these machines to another controller, which serves them.
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

    /// Schedules probes from the leader for machines that did not answer another controller's probe.
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
