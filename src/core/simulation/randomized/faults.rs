//! Injection of the faults of a schedule, and their end.

use super::NODES;
use super::schedule::{NetworkFault, NodeFault, StoreFault, WorkerFault};
use crate::core::simulation::{Backup, Link, Simulation};
use std::time::Duration;

pub(super) fn seconds(ms: u64) -> f64 {
    ms as f64 / 1000.0
}

pub(super) fn fraction(percent: u32) -> f64 {
    f64::from(percent) / 100.0
}

pub(super) fn refuse_leader(simulation: &mut Simulation) {
    if let Some(leader) = simulation.leader() {
        simulation.nodes[leader].store_link = Link::Refused;
    }
}

pub(super) fn inject_node_fault(simulation: &mut Simulation, fault: &NodeFault) {
    match fault {
        NodeFault::Kill { node, downtime_ms } => {
            simulation.kill(*node, Duration::from_millis(*downtime_ms));
        }
        NodeFault::KillAll => {
            (0..NODES).for_each(|node| simulation.kill(node, Duration::from_secs(2)));
        }
        NodeFault::KillLeaders(count) => {
            for _ in 0..*count {
                if let Some(leader) = simulation.leader() {
                    simulation.kill(leader, Duration::from_millis(300));
                }
                simulation.run(4.5);
            }
        }
        NodeFault::TogglePause(node) => {
            simulation.nodes[*node].paused = !simulation.nodes[*node].paused;
        }
        NodeFault::TogglePeers(node) => {
            let node = &mut simulation.nodes[*node];
            node.peers_reachable = !node.peers_reachable;
        }
        NodeFault::Isolate(node) => {
            simulation.nodes[*node].store_link = Link::Refused;
            simulation.nodes[*node].peers_reachable = false;
        }
        NodeFault::ForceStepDown => {
            if let Some(leader) = simulation.leader() {
                simulation.force_step_down(leader);
            }
        }
        NodeFault::DelayWatch { node, ms } => {
            simulation.nodes[*node].watch_delayed = true;
            simulation.run(seconds(*ms));
            simulation.nodes[*node].watch_delayed = false;
        }
    }
}

pub(super) fn inject_store_fault(
    simulation: &mut Simulation,
    fault: &StoreFault,
    backup: Option<&Backup>,
) {
    match fault {
        StoreFault::Link(node, link) => simulation.nodes[*node].store_link = *link,
        StoreFault::RefuseAll => simulation.set_store_links(Link::Refused),
        StoreFault::ToggleOutage => simulation.set_store_outage(!simulation.faults.store_outage),
        StoreFault::RefusalThenOutage(ms) => {
            refuse_leader(simulation);
            simulation.run(seconds(*ms));
            simulation.set_store_outage(true);
        }
        StoreFault::Delay(ms) => simulation.faults.store_delay = Duration::from_millis(*ms),
        StoreFault::LoseData => {
            interrupt_store(simulation);
            simulation.lose_store();
        }
        StoreFault::RestoreBackup => {
            interrupt_store(simulation);
            if let Some(backup) = backup {
                simulation.restore_backup(backup);
            }
        }
        StoreFault::LateWrites(percent) => simulation.faults.late_write_share = fraction(*percent),
        StoreFault::LostResponses(percent) => {
            simulation.faults.lost_response_share = fraction(*percent)
        }
    }
}

/// Lets all running controllers cache everything in the store, and then refuses their requests for a
/// moment, as a service does that is being restored.
fn interrupt_store(simulation: &mut Simulation) {
    reconnect_controllers(simulation);
    simulation.release_held();
    simulation.run(0.5);
    simulation.set_store_links(Link::Refused);
    simulation.run(1.3);
    simulation.set_store_links(Link::Good);
}

/// Ends an outage of the state service, and all faults of controllers except kills.
fn reconnect_controllers(simulation: &mut Simulation) {
    if simulation.faults.store_outage {
        simulation.set_store_outage(false);
    }
    for node in &mut simulation.nodes {
        node.store_link = Link::Good;
        node.peers_reachable = true;
        node.paused = false;
    }
}

pub(super) fn inject_worker_fault(simulation: &mut Simulation, fault: &WorkerFault) {
    match fault {
        WorkerFault::ToggleHang(number) => {
            if let Some(worker) = simulation.workers.values_mut().nth(*number) {
                worker.hung = !worker.hung;
            }
        }
        WorkerFault::Remove(number) => {
            let id = simulation.workers.keys().nth(*number).cloned();
            if let Some(worker) = id.and_then(|id| simulation.workers.remove(&id)) {
                let kind = (worker.machine_type, worker.spot);
                *simulation.capacity.entry(kind).or_default() += 1;
            }
        }
        WorkerFault::Reboot {
            machine,
            reset_counters,
        } => {
            if let Some(id) = simulation.workers.keys().nth(*machine).cloned() {
                simulation.reboot(&id, *reset_counters);
            }
        }
        WorkerFault::MoveAll(node) => {
            simulation.workers.values_mut().for_each(|w| w.node = *node);
        }
        WorkerFault::Partition { node, stride } => {
            for worker in simulation.workers.values_mut().step_by(*stride) {
                worker.partitioned_from.insert(*node);
            }
        }
        WorkerFault::TogglePartitionInbound { stride } => {
            for worker in simulation.workers.values_mut().step_by(*stride) {
                worker.inbound_partitioned = !worker.inbound_partitioned;
            }
        }
        WorkerFault::TogglePartitionOutbound { stride } => {
            for worker in simulation.workers.values_mut().step_by(*stride) {
                worker.outbound_partitioned = !worker.outbound_partitioned;
            }
        }
    }
}

pub(super) fn inject_network_fault(simulation: &mut Simulation, fault: &NetworkFault) {
    let faults = &mut simulation.faults;
    match fault {
        NetworkFault::ToggleHoldCommands => faults.hold_commands = !faults.hold_commands,
        NetworkFault::Duplicates(s) => faults.duplicate_delay = Duration::from_secs(*s),
        NetworkFault::LateCommands(percent) => faults.late_command_share = fraction(*percent),
        NetworkFault::ReplayedHeartbeats(percent) => {
            faults.replayed_heartbeat_share = fraction(*percent);
        }
    }
}

pub(super) fn heal(simulation: &mut Simulation) {
    reconnect_controllers(simulation);
    for worker in simulation.workers.values_mut() {
        worker.partitioned_from.clear();
        worker.hung = false;
        worker.inbound_partitioned = false;
        worker.outbound_partitioned = false;
    }
    let faults = &mut simulation.faults;
    faults.store_delay = Duration::ZERO;
    faults.hold_commands = false;
    faults.cloud_down = false;
    faults.late_write_share = 0.0;
    faults.duplicate_delay = Duration::ZERO;
    faults.lost_response_share = 0.0;
    faults.late_command_share = 0.0;
    faults.replayed_heartbeat_share = 0.0;
    simulation.query_after_responses = false;
    simulation.release_held();
}
