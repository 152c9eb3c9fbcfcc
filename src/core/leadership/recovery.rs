//! How a new leader finds out which tasks its predecessors started, and where.
//!
//! Every machine that may hold a task is recorded in the store before it gets one. A task of an old job that no
//! heartbeat has shown yet is started only when each of those machines has shown all that it has, or can have nothing
//! any more.

use crate::core::Core;
use crate::core::leadership::lease::LEASE_TTL;
use crate::core::machines::machine::Machine;
use crate::core::store::cache::MachineValue;
use crate::job::{MachineId, TaskId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Machines that send heartbeats to other controllers are probed after this: their batches come first, and they probe
/// the machines themselves.
const DELEGATED_PROBE_DELAY: Duration = Duration::from_millis(400);

/// A machine as an earlier leader recorded it, of which nothing else is known yet.
fn recorded_machine(id: &MachineId, value: &MachineValue, now: Instant) -> Machine {
    let (machine_type, zone) = (&value.machine_type, &value.zone);
    let mut machine = Machine::new(id.clone(), machine_type, zone, value.spot, now);
    machine.addr = value.addr.clone();
    // The predecessor stopped answering heartbeats before our key could be created, so the machine's lease runs from
    // now at the latest; or, if the predecessor resigned, from when its last grant to a delegate expired.
    machine.lease_renewed = now + LEASE_TTL;
    machine.unresolved = true;
    machine
}

/// The recorded machines in the order in which they are popped to be probed. Zones take turns, so that one that is
/// cut off does not hold up the others.
fn probe_order(machines: &BTreeMap<MachineId, MachineValue>) -> Vec<MachineId> {
    let mut zones: BTreeMap<&str, Vec<&MachineId>> = BTreeMap::new();
    for (id, value) in machines {
        zones.entry(&value.zone).or_default().push(id);
    }
    let mut order = Vec::with_capacity(machines.len());
    while zones.values().any(|zone| !zone.is_empty()) {
        let turn = zones.values_mut().filter_map(Vec::pop);
        order.extend(turn.cloned());
    }
    order.reverse();
    order
}

impl Core {
    /// Begins to find out what all recorded machines have.
    pub(in crate::core) fn start_recovery(&mut self) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        for (id, value) in &self.store_cache.machines {
            let mut machine = recorded_machine(id, value, now);
            // Not recorded, but remembered only, if the store has lost data.
            machine.recorded = leader.writes.records.is_recorded(id);
            leader.machines.get_or_add(id, || machine);
            leader.recovery.add_unresolved();
        }
        let mut to_probe = probe_order(&self.store_cache.machines);
        if !to_probe.is_empty() {
            let machines = to_probe.len();
            tracing::info!(term = leader.term, machines, "recovery started");
        }
        let mut later = BTreeSet::new();
        let reports_here = |id: &MachineId| self.relay.serves(id, now);
        if self.delegating && to_probe.iter().any(reports_here) {
            let others = to_probe.extract_if(.., |id| !reports_here(id));
            later.extend(others.map(|id| (now + DELEGATED_PROBE_DELAY, id)));
        }
        leader.recovery.begin(to_probe, later);
        self.probe_machines();
    }

    /// A machine has shown all that it has, or can have none any more. `how` states which, for the log.
    pub(in crate::core) fn resolve_machine(&mut self, id: &MachineId, how: &str) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(machine) = leader.machines.get_mut(id) else {
            return;
        };
        machine.lease_renewed = machine.lease_renewed.max(machine.incarnation_since);
        if !std::mem::take(&mut machine.unresolved) {
            return;
        }
        leader.recovery.remove_unresolved();
        leader.scheduler.request_plan();
        tracing::debug!(term = leader.term, machine = %id, how, "machine resolved");
        self.stop_duplicates_on(id);
        self.log_recovery_progress();
    }

    fn log_recovery_progress(&mut self) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let term = leader.term;
        let after_ms = (self.now.mono - leader.since).as_millis() as u64;
        if let Some(machines) = leader.recovery.take_nearly_complete() {
            tracing::info!(term, machines, after_ms, "recovery 99 % complete");
        }
        if leader.recovery.is_complete() {
            tracing::info!(term, after_ms, "recovery complete");
        }
    }

    /// Stops what this machine has and another one has as well.
    fn stop_duplicates_on(&mut self, id: &MachineId) {
        let Some(leader) = &self.leader else { return };
        let Some(machine) = leader.machines.get(id) else {
            return;
        };
        let is_elsewhere = |task: &&TaskId| {
            let run = leader.job_runs.get(&task.job);
            run.is_some_and(|r| !r.tasks.duplicates(task.index).is_empty())
        };
        let duplicates: Vec<TaskId> = machine.tasks.keys().filter(is_elsewhere).cloned().collect();
        for task in duplicates {
            self.stop_duplicates(&task, id);
        }
    }
}
