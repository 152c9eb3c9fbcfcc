//! Which machines the tasks of a job are assigned to, and which tasks wait for one.

use crate::job::MachineId;
use std::collections::{BTreeMap, BTreeSet};

/// Where the tasks of a job are, by their index.
///
/// A task is queued, or assigned to one or several machines, or neither: it is done. It is never
/// queued while it is assigned.
#[derive(Default)]
pub struct TaskAssignment {
    queued: BTreeSet<u32>,
    assigned: BTreeMap<u32, MachineId>,
    /// Further machines on which an assigned task is or may be: a heartbeat of unknown age proves
    /// that it may be there, and that it is elsewhere proves nothing.
    other_machines: BTreeMap<u32, Vec<MachineId>>,
}

impl TaskAssignment {
    /// All of these tasks are queued.
    pub fn new(queued: impl Iterator<Item = u32>) -> TaskAssignment {
        TaskAssignment {
            queued: queued.collect(),
            ..TaskAssignment::default()
        }
    }

    /// Tasks that wait for a machine.
    pub fn queued(&self) -> &BTreeSet<u32> {
        &self.queued
    }

    /// Tasks that are on a machine, or may be, each with the first machine of which that is known.
    pub fn assigned(&self) -> &BTreeMap<u32, MachineId> {
        &self.assigned
    }

    /// Each assigned task with each machine on which it is or may be beside the first one.
    pub fn other_machines(&self) -> impl Iterator<Item = (u32, &MachineId)> {
        let all = self.other_machines.iter();
        all.flat_map(|(task, machines)| machines.iter().map(|machine| (*task, machine)))
    }

    /// The machines on which a task is or may be, if that is more than one.
    pub fn duplicates(&self, task: u32) -> Vec<&MachineId> {
        let Some(others) = self.other_machines.get(&task) else {
            return Vec::new();
        };
        self.assigned.get(&task).into_iter().chain(others).collect()
    }

    /// A queued task is to start on this machine. Returns whether it was queued; if not, nothing
    /// changes.
    pub fn start(&mut self, task: u32, machine: &MachineId) -> bool {
        let was_queued = self.queued.remove(&task);
        if was_queued {
            self.assigned.insert(task, machine.clone());
        }
        was_queued
    }

    /// The task is, or may be, on this machine.
    pub fn assign(&mut self, task: u32, machine: &MachineId) {
        self.queued.remove(&task);
        match self.assigned.get(&task) {
            None => {
                self.assigned.insert(task, machine.clone());
            }
            Some(first) if first == machine => {}
            Some(_) => {
                let others = self.other_machines.entry(task).or_default();
                if !others.contains(machine) {
                    others.push(machine.clone());
                }
            }
        }
    }

    /// The task is not on this machine any more; it is queued again when it is on no other one.
    /// Returns whether it was queued.
    pub fn unassign(&mut self, task: u32, machine: &MachineId) -> bool {
        let mut others = self.other_machines.remove(&task).unwrap_or_default();
        let was_first = self.assigned.get(&task) == Some(machine);
        others.retain(|other| other != machine);
        let next = if was_first { others.pop() } else { None };
        if !others.is_empty() {
            self.other_machines.insert(task, others);
        }
        match next {
            Some(next) => {
                self.assigned.insert(task, next);
                false
            }
            None => was_first && self.requeue(task),
        }
    }

    fn requeue(&mut self, task: u32) -> bool {
        self.assigned.remove(&task);
        self.queued.insert(task);
        true
    }

    /// The task needs to be nowhere any more; returns where it is or may be.
    pub fn release(&mut self, task: u32) -> Vec<MachineId> {
        self.queued.remove(&task);
        let others = self.other_machines.remove(&task).unwrap_or_default();
        let first = self.assigned.remove(&task);
        first.into_iter().chain(others).collect()
    }
}
