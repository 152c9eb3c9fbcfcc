//! Updates of the cluster snapshot from the leader's state.

use crate::core::Core;
use crate::core::leadership::state::LeaderState;
use crate::core::machines::machine::Machine;
use crate::core::machines::placement::Placement;
use crate::job::{Priority, TaskId};
use crate::planning::cluster_snapshot::{ClusterSnapshot, Node, NodeUsage, Offer, RunningTask};
use crate::wire::MachineType;

/// Approximate ratio of actual boot times to those that the machine types announce.
const BOOT_FACTOR: f64 = 1.1;
/// Delay, in seconds, that is worth accepting to avoid a machine, per task that failed on the machine.
const FAILURE_PENALTY_S: f64 = 4.0;

impl Core {
    /// Applies the changes of machines to the cluster snapshot.
    pub(in crate::core) fn refresh_snapshot(&mut self) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let changed = leader.machines.take_changed();
        leader.revoke_changed(&changed);
        let mut snapshot = std::mem::take(&mut leader.cluster_snapshot);
        let mut updated = Vec::with_capacity(changed.len());
        if let Some(leader) = &self.leader {
            for id in changed {
                let machine = leader.machines.get(&id);
                match machine.and_then(|m| self.node_of(&mut snapshot, leader, m)) {
                    Some(node) => {
                        updated.push((id, node.usage == NodeUsage::Schedulable));
                        snapshot.put(node);
                    }
                    None => snapshot.remove(&id),
                }
            }
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        for (id, is_open) in updated {
            leader.machines.set_schedulable(&id, is_open);
        }
        leader.cluster_snapshot = snapshot;
    }

    /// Returns the node for a machine, or `None` while the machine's type is unknown.
    fn node_of(
        &self,
        snapshot: &mut ClusterSnapshot,
        leader: &LeaderState,
        machine: &Machine,
    ) -> Option<Node> {
        let machine_type = self.type_of(&machine.machine_type)?;
        let capacity = machine_type.capacity();
        let mut free = capacity;
        for placement in machine.tasks.values() {
            free.sub(&placement.resources);
        }
        let usage = self.node_usage(leader, machine, machine_type);
        let offer = Offer::new(&machine.machine_type, &machine.zone, machine.spot);
        let faults = &machine.fault_history;
        let failure_penalty_s = f64::from(faults.failures) * FAILURE_PENALTY_S;
        let tasks = machine.tasks.iter();
        Some(Node {
            id: machine.id.clone(),
            class: snapshot.class_index(&offer, capacity, machine_type.fetch_gb_per_s),
            free,
            usage,
            images: machine.images.iter().map(|image| image.tag).collect(),
            active_fetches: usize::from(machine.tasks.values().any(|t| !t.runs())),
            fault_penalty_s: faults.slowness.penalty_s() + failure_penalty_s,
            idle_since: is_idle(machine, usage).then_some(machine.idle_since),
            tasks: tasks
                .map(|(task, placement)| self.running_task(leader, machine, task, placement))
                .collect(),
        })
    }

    fn node_usage(
        &self,
        leader: &LeaderState,
        machine: &Machine,
        machine_type: &MachineType,
    ) -> NodeUsage {
        let heartbeat_interval = self.settings.heartbeat_interval;
        let is_leaving =
            machine.deleting.is_some() || machine.reclaim_at.is_some() || machine.lease_expired;
        let has_never_reported = machine.incarnation == 0 && !machine.unresolved;
        if leader.accepts_tasks(machine, self.now.mono, heartbeat_interval) {
            NodeUsage::Schedulable
        } else if is_leaving {
            NodeUsage::Removing
        } else if has_never_reported || !machine.recorded {
            let boot_time = machine_type.boot_time().mul_f64(BOOT_FACTOR);
            let remaining = boot_time.saturating_sub(machine.age);
            NodeUsage::Booting(machine.known_since + remaining)
        } else {
            NodeUsage::Unschedulable
        }
    }

    fn running_task(
        &self,
        leader: &LeaderState,
        machine: &Machine,
        task: &TaskId,
        placement: &Placement,
    ) -> RunningTask {
        let job = self.store_cache.jobs.get(&task.job);
        let time_to_end = self.time_to_end(leader, machine, task, placement);
        RunningTask {
            id: task.clone(),
            resources: placement.resources,
            expected_end: time_to_end.map(|time| self.now.mono + time),
            running_since: placement.running_since,
            checkpoint_duration: job
                .filter(|job| !job.spec.checkpoint_interval.is_zero())
                .map(|job| job.spec.checkpoint_duration),
            priority: job.map_or(Priority::Low, |job| {
                leader.urgency_of(&task.job, job).priority
            }),
            team: placement.team,
            stopping: placement.stopping.is_some(),
        }
    }
}

/// Returns whether a machine holds no tasks, and no commands to it can still arrive.
fn is_idle(machine: &Machine, usage: NodeUsage) -> bool {
    machine.tasks.is_empty()
        && machine.incarnation > 0
        && machine.direct_calls.in_flight.is_none()
        && machine.in_doubt_until_token.is_none()
        && usage != NodeUsage::Removing
        && !machine.unresolved
}
