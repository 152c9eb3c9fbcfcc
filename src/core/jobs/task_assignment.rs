//! Assignment of a job's tasks to machines, and the queue of those that wait for one.

use crate::job::MachineId;
use std::collections::{BTreeMap, BTreeSet};

/// Assignment of a job's tasks, by their index.
///
/// A task is either queued, or assigned to one or several machines, or neither, which means that it
/// is done.
#[derive(Default)]
pub struct TaskAssignment {
    queued: BTreeSet<u32>,
    assigned: BTreeMap<u32, MachineId>,
    /// Further machines on which an assigned task is or may be. A heartbeat of unknown age shows that
    /// the task may be on its machine, even if the task is known to be on another one.
    other_machines: BTreeMap<u32, Vec<MachineId>>,
}

impl TaskAssignment {
    /// Creates an assignment in which all of these tasks are queued.
    pub fn new(queued: impl Iterator<Item = u32>) -> TaskAssignment {
        TaskAssignment {
            queued: queued.collect(),
            ..TaskAssignment::default()
        }
    }

    /// Returns the tasks that wait for a machine.
    pub fn queued(&self) -> &BTreeSet<u32> {
        &self.queued
    }

    /// Returns the tasks that are or may be on a machine, each with the first such machine.
    pub fn assigned(&self) -> &BTreeMap<u32, MachineId> {
        &self.assigned
    }

    /// Returns each assigned task with every further machine on which it is or may be.
    pub fn other_machines(&self) -> impl Iterator<Item = (u32, &MachineId)> {
        let all = self.other_machines.iter();
        all.flat_map(|(task, machines)| machines.iter().map(|machine| (*task, machine)))
    }

    /// Returns the machines on which a task is or may be, if there are several.
    pub fn duplicates(&self, task: u32) -> Vec<&MachineId> {
        let Some(others) = self.other_machines.get(&task) else {
            return Vec::new();
        };
        self.assigned.get(&task).into_iter().chain(others).collect()
    }

    /// Assigns a queued task to the machine on which it is to start. Returns whether it was queued; if
    /// not, nothing changes.
    pub fn start(&mut self, task: u32, machine: &MachineId) -> bool {
        let was_queued = self.queued.remove(&task);
        if was_queued {
            self.assigned.insert(task, machine.clone());
        }
        was_queued
    }

    /// Records that the task is or may be on this machine.
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

    /// Records that the task is no longer on this machine, and queues it again if it is on no other one.
    /// Returns whether it was queued again.
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

    /// Removes a task that no longer has to run. Returns the machines on which it is or may be.
    pub fn release(&mut self, task: u32) -> Vec<MachineId> {
        self.queued.remove(&task);
        let others = self.other_machines.remove(&task).unwrap_or_default();
        let first = self.assigned.remove(&task);
        first.into_iter().chain(others).collect()
    }
}
