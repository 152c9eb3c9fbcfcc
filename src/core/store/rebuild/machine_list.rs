//! Machines that are in no record of this store, but in the cloud's machine list or another controller's copy.

use crate::core::Core;
use crate::core::leadership::state::LeaderState;
use crate::core::machines::machine::Machine;
use crate::core::store::cache::MachineValue;
use crate::job::MachineId;
use std::time::{Duration, Instant};

/// Time added to twice the lag of the cloud's machine list.
const LIST_MARGIN: Duration = Duration::from_millis(200);

impl Core {
    /// Returns whether the start of tasks waits for a machine list of the cloud that can be requested now. The last
    /// request may have been too early.
    pub(in crate::core) fn machine_list_due(
        &self,
        leader: &LeaderState,
        last_request: Option<Instant>,
    ) -> bool {
        let from = leader.since + self.settings.machine_list_lag * 2 + LIST_MARGIN;
        let waits = leader
            .rebuild
            .as_ref()
            .is_some_and(|r| !r.machine_list_complete);
        waits && self.now.mono >= from && last_request.is_none_or(|t| t < from)
    }

    /// Processes a machine list of the cloud during a rebuild: every unrecorded machine in the list may have tasks.
    pub(in crate::core) fn observe_machine_list(
        &mut self,
        sent: Instant,
        unknown: Vec<(MachineId, MachineValue)>,
        booting: Vec<MachineId>,
    ) {
        let now = self.now.mono;
        // The list is at most twice its lag old, and every machine that the store may have recorded before the loss was
        // created before this leadership began.
        let after = self.settings.machine_list_lag * 2 + LIST_MARGIN;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let since = leader.since;
        let Some(rebuild) = &mut leader.rebuild else {
            return;
        };
        let first = !rebuild.machine_list_complete;
        rebuild.machine_list_complete |= sent >= since + after;
        if first {
            rebuild.booting_machines.extend(booting);
            for (id, value) in unknown {
                leader.add_unresolved_machine(&id, &value, now);
            }
        }
    }
}

impl LeaderState {
    /// Adds a machine that may have tasks and is in no record of this store, and schedules a probe of it unless it has
    /// reported already.
    pub(super) fn add_unresolved_machine(
        &mut self,
        id: &MachineId,
        value: &MachineValue,
        now: Instant,
    ) {
        let since = self.since;
        let machine = self.machines.get_or_add(id, || {
            let mut machine = Machine::new(
                id.clone(),
                &value.machine_type,
                &value.zone,
                value.spot,
                now,
            );
            machine.addr = value.addr.clone();
            machine
        });
        if machine.incarnation > 0 {
            return;
        }
        // No controller but this leader has renewed the worker's lease since then.
        machine.lease_renewed = since;
        let was_unresolved = std::mem::replace(&mut machine.unresolved, true);
        if !was_unresolved {
            self.recovery.add_unresolved();
        }
        self.recovery.probe_next(id.clone());
    }
}
