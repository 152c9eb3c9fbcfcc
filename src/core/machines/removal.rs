//! Removal of machines: expiry of the worker's lease, scheduled deletion, and removal of machines that are certainly
//! gone. The tasks of a machine count as lost when its lease expires or when it is gone.

use crate::core::Core;
use crate::core::machines::machine::{DeletionReason, lease_expiry};
use crate::job::{MachineId, TaskId};

impl Core {
    /// Handles the expiry of a worker's lease: the worker has killed its tasks.
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
        // Every incarnation that an earlier leader may have known is over. An incarnation that began since then may be
        // running, but holds no tasks of an earlier leader.
        if machine.unresolved && now <= machine.incarnation_since + lease_expiry {
            machine.require_token_proof(term);
        } else {
            machine.lease_expired = true;
        }
        let tasks: Vec<TaskId> = machine.tasks.keys().cloned().collect();
        let renewed_ms_ago = now
            .saturating_duration_since(machine.lease_renewed)
            .as_millis() as u64;
        tracing::warn!(
            machine = %id,
            tasks = tasks.len(),
            renewed_ms_ago,
            via = machine.via.as_deref(),
            "worker lease expired, tasks lost"
        );
        self.tasks_lost(id, tasks, "lease expired");
        self.resolve_machine(id, "lease expired");
    }

    /// Schedules a machine's deletion. Its tasks count as running there until the cloud confirms the deletion.
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

    /// Removes a machine that is certainly gone, and counts its tasks as lost.
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
