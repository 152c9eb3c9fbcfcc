//! Recovery: how a new leader finds out which tasks earlier leaders started, and on which machines.
//!
//! Every machine that may hold a task is recorded in the store before it is given one. A task of an older job that no
//! heartbeat has reported yet is started only after each recorded machine has reported all its tasks or can no longer
//! have any; until then the machine is unresolved.

use crate::core::Core;
use crate::core::leadership::lease::LEASE_TTL;
use crate::core::machines::machine::Machine;
use crate::core::store::cache::MachineValue;
use crate::job::{MachineId, TaskId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Delay before probing machines that send heartbeats to other controllers. Batches from these controllers usually
/// arrive earlier, and the controllers probe the machines themselves.
const DELEGATED_PROBE_DELAY: Duration = Duration::from_millis(400);

/// Creates an unresolved machine from what an earlier leader recorded about it.
fn recorded_machine(id: &MachineId, value: &MachineValue, now: Instant) -> Machine {
    let (machine_type, zone) = (&value.machine_type, &value.zone);
    let mut machine = Machine::new(id.clone(), machine_type, zone, value.spot, now);
    machine.addr = value.addr.clone();
    // The earlier leader stopped answering heartbeats before this leader's key could be written, so it last renewed
    // the machine's lease before now. If the earlier leader resigned, one of its delegates may have renewed the lease
    // until its grant expired, which takes at most one lease duration.
    machine.lease_renewed = now + LEASE_TTL;
    machine.unresolved = true;
    machine
}

/// Returns the recorded machines in probe order, the first one last. Zones alternate, so that an unreachable zone does
/// not delay the others.
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
    /// Marks all recorded machines as unresolved and begins to probe them.
    pub(in crate::core) fn start_recovery(&mut self) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        for (id, value) in &self.store_cache.machines {
            let mut machine = recorded_machine(id, value, now);
            // After a data loss in the store, a machine may be known only from the cached copy of the store.
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

    /// Marks a machine as resolved: it has reported all its tasks, or can no longer have any. `how` states which, for
    /// the log.
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

    /// Stops duplicates of tasks that run on this machine and on another one.
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
