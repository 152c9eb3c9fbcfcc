//! Reservation for the head of the queue: when and where it can start (thesis, section 3.2.1).

use crate::job::Resources;
use crate::planning::backfill::StepContext;
use crate::planning::backfill::queue::QueuedJob;
use crate::planning::cluster_snapshot::{ClusterSnapshot, NodeUsage};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time at which the head can start, and the resources reserved for its tasks.
#[derive(Default)]
pub(super) struct Reservation {
    /// Time from now until the shadow time.
    pub starts_in: Duration,
    /// Resources that tasks ending by the shadow time release, by node.
    freed: BTreeMap<usize, Resources>,
    /// Resources reserved for the head's tasks, by node.
    reserved: BTreeMap<usize, Resources>,
}

impl Reservation {
    /// Finds the reservation of a job: releases the running tasks' resources in the order of their
    /// expected ends until first-fit places the job. The check is made per node, as the sum over all
    /// nodes hides fragmentation. Returns `None` if the expected ends do not release enough.
    pub fn find(step: &StepContext, nodes: &[usize], job: &QueuedJob) -> Option<Reservation> {
        let snapshot = &*step.snapshot;
        let tasks = job.tasks_per_entry();
        let resources = &job.spec.resources;
        let accepted: Vec<bool> = snapshot.classes().iter().map(|c| job.accepts(c)).collect();
        let is_usable = |node_index: usize| {
            let node = snapshot.node(node_index);
            node.usage == NodeUsage::Schedulable && accepted[node.class]
        };
        // Number of the job's tasks that fit on each node. For a single task the map starts empty: the
        // task cannot be placed now, so only nodes on which tasks end matter.
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

    /// Returns the free resources of a node at the shadow time, less those reserved for the head.
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

    /// Returns the resources that are released by the shadow time, by node.
    pub fn freed(&self) -> impl Iterator<Item = (usize, &Resources)> {
        self.freed
            .iter()
            .map(|(node_index, freed)| (*node_index, freed))
    }
}

/// Number of tasks that are placed on each node.
type Distribution = Vec<(usize, u32)>;

/// Distributes `tasks` tasks of a job over the nodes, given the number that fits on each; `None` if
/// they do not all fit.
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

/// Distributes the tasks as [`distribute`] does, over nodes in the allowed zones only.
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
