//! Removal of a machine: its lease expires, it is deleted as unresponsive, or it is certain to be gone. Its
//! tasks are then counted as lost.

use crate::core::Core;
use crate::core::machines::machine::{DeletionReason, lease_expiry};
use crate::job::{MachineId, TaskId};

impl Core {
    /// The worker's lease has run out: its tasks were killed.
    pub(in crate::core) fn expire_machine_lease(&mut self, id: &MachineId) {
        let now = self.now.mono;
        let lease_expiry = lease_expiry(self.settings.worker_lease);
        let Some(leader) = &mut self.leader else {
            return;
        };
        let term = leader.term;
        let Some(machine) = leader.machines.get_mut(id) else {
            return;
        };
        // Whatever incarnation an earlier leader could know of is over; one that began since may run, and
        // holds nothing of an earlier leader's.
        if machine.unresolved && now <= machine.incarnation_since + lease_expiry {
            machine.require_token_proof(term);
        } else {
            machine.lease_expired = true;
        }
        let tasks: Vec<TaskId> = machine.tasks.keys().cloned().collect();
        tracing::warn!(machine = %id, tasks = tasks.len(), "worker lease expired, tasks lost");
        self.tasks_lost(id, tasks, "lease expired");
        self.resolve_machine(id, "lease expired");
    }

    /// The machine is to be deleted; until that is confirmed, its tasks stay where they are.
    pub(in crate::core) fn schedule_deletion(&mut self, id: &MachineId, reason: DeletionReason) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(machine) = leader.machines.get_mut(id) else {
            return;
        };
        if machine.deleting.is_some() {
            return;
        }
        tracing::info!(
            machine = %id, machine_type = machine.machine_type, zone = machine.zone, spot = machine.spot,
            %reason, "machine given up"
        );
        machine.deleting = Some(reason);
        leader.cloud.deletions.insert(id.clone(), now);
        leader.scheduler.request_plan();
    }

    /// It is certain that the machine and everything on it is gone.
    pub(in crate::core) fn remove_machine(&mut self, id: &MachineId, cause: &str) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(machine) = leader.machines.get(id) else {
            return;
        };
        tracing::info!(machine = %id, cause, "machine gone");
        let tasks: Vec<TaskId> = machine.tasks.keys().cloned().collect();
        self.tasks_lost(id, tasks, "machine gone");
        self.resolve_machine(id, cause);
        let Some(leader) = &mut self.leader else {
            return;
        };
        leader.machines.remove(id);
        leader.deleted_machines.insert(id.clone());
        leader.cloud.deletions.remove(id);
        leader.writes.records.remove(id, now);
        leader.scheduler.request_plan();
    }
}
