//! All machines that the leader knows, and which of them changed.

use crate::core::machines::machine::Machine;
use crate::job::MachineId;
use std::collections::{BTreeMap, BTreeSet};

/// All machines by id. Mutable access goes through this registry, which records the change, so that planning and
/// the sending of commands look only at the machines that changed.
#[derive(Default)]
pub struct Machines {
    all: BTreeMap<MachineId, Machine>,
    /// Machines that changed since `take_changed`, each once, or are gone.
    changed: Vec<MachineId>,
    /// Machines with commands that should not wait for a heartbeat; some may have none any more.
    to_push: BTreeSet<MachineId>,
}

impl Machines {
    /// The machine of this id.
    pub fn get(&self, id: &MachineId) -> Option<&Machine> {
        self.all.get(id)
    }

    /// The machine of this id, to be changed.
    pub fn get_mut(&mut self, id: &MachineId) -> Option<&mut Machine> {
        let machine = self.all.get_mut(id)?;
        Some(machine.mark_changed(&mut self.changed))
    }

    /// For what neither planning nor commands depend on: that a heartbeat came, and when.
    pub(in crate::core) fn get_mut_untracked(&mut self, id: &MachineId) -> Option<&mut Machine> {
        self.all.get_mut(id)
    }

    /// The machine of this id, made first if there is none.
    pub fn get_or_add(&mut self, id: &MachineId, make: impl FnOnce() -> Machine) -> &mut Machine {
        let machine = self.all.entry(id.clone()).or_insert_with(make);
        machine.mark_changed(&mut self.changed)
    }

    /// Removes the machine of this id.
    pub fn remove(&mut self, id: &MachineId) -> Option<Machine> {
        self.changed.push(id.clone());
        self.to_push.remove(id);
        self.all.remove(id)
    }

    /// All machines in the order of their ids.
    pub fn values(&self) -> impl Iterator<Item = &Machine> {
        self.all.values()
    }

    /// Machines with commands that should not wait for a heartbeat, in the order of their ids.
    pub(in crate::core) fn with_pending_push(&mut self) -> impl Iterator<Item = &Machine> {
        let all = &self.all;
        self.to_push
            .retain(|id| all.get(id).is_some_and(|m| m.needs_push));
        self.to_push.iter().filter_map(|id| all.get(id))
    }

    /// Notes whether planning takes the machine as open for tasks; no change of the machine itself.
    pub fn set_schedulable(&mut self, id: &MachineId, open: bool) {
        if let Some(machine) = self.all.get_mut(id) {
            machine.schedulable = open;
        }
    }

    /// The types of machines changed, and with them what each is good for.
    pub fn mark_all_changed(&mut self) {
        for machine in self.all.values_mut() {
            machine.mark_changed(&mut self.changed);
        }
    }

    /// Those that changed since the last call, or are gone. The ones with commands that should not wait are
    /// from now on among `with_pending_push`.
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
