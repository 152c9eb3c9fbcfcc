//! The reservation of the queue's head: when it can start, and where (thesis, section 3.2.1).

use crate::job::Resources;
use crate::planning::backfill::StepContext;
use crate::planning::backfill::queue::QueuedJob;
use crate::planning::cluster_snapshot::{ClusterSnapshot, NodeUsage};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// When the head can start, and the room kept for its tasks.
#[derive(Default)]
pub(super) struct Reservation {
    /// The shadow time, from now on.
    pub starts_in: Duration,
    /// Room that tasks ending by then free, by node.
    freed: BTreeMap<usize, Resources>,
    reserved: BTreeMap<usize, Resources>,
}

impl Reservation {
    /// Walks the running tasks by expected end, adding their room until first-fit places the
    /// head. Fitting is checked against nodes, not against sums, which hide fragmentation.
    /// `None` if nothing that runs frees enough room.
    pub fn find(step: &StepContext, nodes: &[usize], job: &QueuedJob) -> Option<Reservation> {
        let snapshot = &*step.snapshot;
        let tasks = job.tasks_per_entry();
        let resources = &job.spec.resources;
        let accepted: Vec<bool> = snapshot.classes().iter().map(|c| job.accepts(c)).collect();
        let is_usable = |node_index: usize| {
            let node = snapshot.node(node_index);
            node.usage == NodeUsage::Schedulable && accepted[node.class]
        };
        // How many of its tasks fit where; only nodes with room for one are of interest.
        let mut task_capacity: BTreeMap<usize, u32> = BTreeMap::new();
        if tasks > 1 {
            for &node_index in nodes.iter().filter(|n| is_usable(**n)) {
                let fit = resources.count_in(&snapshot.node(node_index).free);
                task_capacity.insert(node_index, fit);
            }
        }
        let mut reservation = Reservation::default();
        for (end, node_index, ending) in snapshot.expected_ends(step.now) {
            if !is_usable(node_index) {
                continue;
            }
            let freed = reservation.freed.entry(node_index).or_default();
            freed.add(&ending.resources);
            let fit = resources.count_in(&reservation.remaining(snapshot, node_index));
            if fit == 0 || fit == task_capacity.insert(node_index, fit).unwrap_or(0) {
                continue;
            }
            if let Some(distribution) = distribute(snapshot, job, &task_capacity, tasks) {
                reservation.starts_in = end.saturating_duration_since(step.now);
                for (node_index, count) in distribution {
                    let required = resources.times(f64::from(count));
                    reservation.reserved.insert(node_index, required);
                }
                return Some(reservation);
            }
        }
        None
    }

    /// What a node will have left at the shadow time beside the head's tasks.
    pub fn remaining(&self, snapshot: &ClusterSnapshot, node_index: usize) -> Resources {
        let mut free = snapshot.node(node_index).free;
        if let Some(freed) = self.freed.get(&node_index) {
            free.add(freed);
        }
        if let Some(reserved) = self.reserved.get(&node_index) {
            free.sub(reserved);
        }
        free
    }

    /// Room that is freed by the shadow time, by node.
    pub fn freed(&self) -> impl Iterator<Item = (usize, &Resources)> {
        self.freed
            .iter()
            .map(|(node_index, freed)| (*node_index, freed))
    }
}

/// How many tasks go to each of some nodes.
type Distribution = Vec<(usize, u32)>;

/// How `tasks` tasks of a job go to nodes that can take so many each, if they do.
fn distribute(
    snapshot: &ClusterSnapshot,
    job: &QueuedJob,
    task_capacity: &BTreeMap<usize, u32>,
    tasks: u32,
) -> Option<Distribution> {
    if !job.spec.one_zone {
        let allowed = |zone: &str| job.allows_in_zone(zone);
        return distribute_within(snapshot, job, task_capacity, tasks, &allowed);
    }
    let zones: BTreeSet<&str> = task_capacity.keys().map(|n| snapshot.zone_of(*n)).collect();
    let mut allowed_zones = zones.into_iter().filter(|zone| job.allows_in_zone(zone));
    allowed_zones.find_map(|only| {
        distribute_within(snapshot, job, task_capacity, tasks, &|zone| zone == only)
    })
}

/// The same in the allowed zones.
fn distribute_within(
    snapshot: &ClusterSnapshot,
    job: &QueuedJob,
    task_capacity: &BTreeMap<usize, u32>,
    tasks: u32,
    allowed: &dyn Fn(&str) -> bool,
) -> Option<Distribution> {
    let mut remaining = tasks;
    let mut tasks_per_zone = job.tasks_per_zone.clone();
    let mut distribution = Vec::new();
    for (&node_index, &fit) in task_capacity {
        let zone = snapshot.zone_of(node_index);
        if !allowed(zone) {
            continue;
        }
        let mut count = fit.min(remaining);
        if job.has_zone_constraint() {
            let placed = tasks_per_zone.entry(zone.to_string()).or_default();
            count = count.min(job.spec.max_tasks_per_zone().saturating_sub(*placed));
            *placed += count;
        }
        if count > 0 {
            distribution.push((node_index, count));
            remaining -= count;
        }
        if remaining == 0 {
            return Some(distribution);
        }
    }
    None
}
