//! Registry of the machines that the leader knows, with change tracking.

use crate::core::machines::machine::Machine;
use crate::job::MachineId;
use std::collections::{BTreeMap, BTreeSet};

/// All machines by id. Mutable access goes through this registry, which records the machine as changed, so that
/// planning and the sending of commands look only at the machines that changed.
#[derive(Default)]
pub struct Machines {
    all: BTreeMap<MachineId, Machine>,
    /// Machines that changed or were removed since the last `take_changed`. Each changed machine is listed once.
    changed: Vec<MachineId>,
    /// Machines with commands that should not wait for a heartbeat; may include machines without such commands by now.
    to_push: BTreeSet<MachineId>,
}

impl Machines {
    /// Returns the machine with this id.
    pub fn get(&self, id: &MachineId) -> Option<&Machine> {
        self.all.get(id)
    }

    /// Returns the machine with this id for modification, and records it as changed.
    pub fn get_mut(&mut self, id: &MachineId) -> Option<&mut Machine> {
        let machine = self.all.get_mut(id)?;
        Some(machine.mark_changed(&mut self.changed))
    }

    /// Returns the machine with this id for modification without recording a change: for data on which neither
    /// planning nor commands depend, such as the time of the last heartbeat.
    pub(in crate::core) fn get_mut_untracked(&mut self, id: &MachineId) -> Option<&mut Machine> {
        self.all.get_mut(id)
    }

    /// Returns the machine with this id for modification, creating it if there is none.
    pub fn get_or_add(&mut self, id: &MachineId, make: impl FnOnce() -> Machine) -> &mut Machine {
        let machine = self.all.entry(id.clone()).or_insert_with(make);
        machine.mark_changed(&mut self.changed)
    }

    /// Removes the machine with this id.
    pub fn remove(&mut self, id: &MachineId) -> Option<Machine> {
        self.changed.push(id.clone());
        self.to_push.remove(id);
        self.all.remove(id)
    }

    /// Returns all machines in the order of their ids.
    pub fn values(&self) -> impl Iterator<Item = &Machine> {
        self.all.values()
    }

    /// Returns the machines with commands that should not wait for a heartbeat, in the order of their ids.
    pub(in crate::core) fn with_pending_push(&mut self) -> impl Iterator<Item = &Machine> {
        let all = &self.all;
        self.to_push
            .retain(|id| all.get(id).is_some_and(|m| m.needs_push));
        self.to_push.iter().filter_map(|id| all.get(id))
    }

    /// Sets whether the planning snapshot shows the machine as open for tasks; not recorded as a change of the machine.
    pub fn set_schedulable(&mut self, id: &MachineId, open: bool) {
        if let Some(machine) = self.all.get_mut(id) {
            machine.schedulable = open;
        }
    }

    /// Records all machines as changed, after a change of the machine types, on which their capacity depends.
    pub fn mark_all_changed(&mut self) {
        for machine in self.all.values_mut() {
            machine.mark_changed(&mut self.changed);
        }
    }

    /// Returns the machines that changed or were removed since the last call. Those with commands that should not wait
    /// are returned by `with_pending_push` from now on.
    pub fn take_changed(&mut self) -> Vec<MachineId> {
        let changed = std::mem::take(&mut self.changed);
        for id in &changed {
            if let Some(machine) = self.all.get_mut(id) {
                machine.clear_change_mark();
                if machine.needs_push {
                    self.to_push.insert(id.clone());
                }
            }
        }
        changed
    }
}
