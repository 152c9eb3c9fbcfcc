//! Search for the best nodes for the tasks of one job.

use crate::planning::backfill::queue::QueuedJob;
use crate::planning::backfill::{Assignment, StepContext};
use crate::planning::cluster_snapshot::{ClusterSnapshot, MachineClass, NodeUsage};
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// Penalty, in seconds, for placing a job that may use spot machines on an on-demand machine. It
/// leaves on-demand machines to jobs that need them and lets them become idle, as they cost a multiple
/// of spot machines.
const ON_DEMAND_PENALTY_S: f64 = 15.0;
/// Penalty, in seconds, for the largest machine relative to a tiny one: a machine is paid for until
/// its last task ends.
const MACHINE_SIZE_PENALTY_S: f64 = 2.0;
/// Penalty, in seconds, for an empty machine relative to a full one, so that tasks are packed and
/// other machines become idle.
const FREE_CAPACITY_PENALTY_S: f64 = 0.5;
/// Penalty, in seconds, for a node on which tasks of the job have failed.
const FAILED_NODE_PENALTY_S: f64 = 1000.0;
/// Reference run time, in seconds. For longer tasks a machine's size weighs more and the time to
/// fetch the image less.
const REFERENCE_RUNTIME_S: f64 = 15.0;

/// Predicate that decides, before each placement on a node, whether the node may be used.
pub(super) type NodeFilter<'a> = dyn Fn(&ClusterSnapshot, usize) -> bool + 'a;

/// Accepts every node.
pub(super) fn any_node(_: &ClusterSnapshot, _: usize) -> bool {
    true
}

/// Scoring of nodes for one job: the parts of the score that all machines of a class share. Scores
/// are in seconds of delay, and the lowest is best.
struct NodeScoring {
    /// Penalty of each class; `None` if the job may not use the class.
    class_penalties_s: Vec<Option<f64>>,
    /// Penalty of each class for fetching the image.
    fetch_s: Vec<f64>,
}

impl NodeScoring {
    fn new(snapshot: &ClusterSnapshot, job: &QueuedJob) -> NodeScoring {
        let largest = snapshot.largest_capacity();
        let relative_runtime = job.expected_runtime.as_secs_f64().max(1.0) / REFERENCE_RUNTIME_S;
        let penalty = |class: &MachineClass| {
            let could_use_spot = job.spec.spot && !class.offer.spot;
            let on_demand = if could_use_spot {
                ON_DEMAND_PENALTY_S
            } else {
                0.0
            };
            let size = MACHINE_SIZE_PENALTY_S * class.capacity.dominant_share(&largest).min(1.0);
            job.accepts(class)
                .then(|| on_demand + size * relative_runtime.clamp(0.5, 4.0))
        };
        let fetch = |class: &MachineClass| {
            class.fetch_seconds(job.spec.image_gb) / relative_runtime.clamp(1.0, 4.0)
        };
        NodeScoring {
            class_penalties_s: snapshot.classes().iter().map(penalty).collect(),
            fetch_s: snapshot.classes().iter().map(fetch).collect(),
        }
    }

    /// Returns the score of a node for one more task; `None` if the task may not be placed there or
    /// does not fit. Nodes that have the image are preferred, then spot machines for jobs that may use
    /// them, then the fullest machine, so that others become idle and can be removed.
    fn score(&self, snapshot: &ClusterSnapshot, job: &QueuedJob, node_index: usize) -> Option<f64> {
        let node = snapshot.node(node_index);
        let mut score = self.class_penalties_s[node.class]?;
        if node.usage != NodeUsage::Schedulable || !job.spec.resources.fits(&node.free) {
            return None;
        }
        let class = snapshot.class_of(node_index);
        if !job.allows_in_zone(&class.offer.zone) {
            return None;
        }
        if !node.images.contains(&job.image) {
            score += self.fetch_s[node.class] * (1.0 + node.active_fetches as f64);
        }
        if job.avoided_nodes.contains(&node_index) {
            score += FAILED_NODE_PENALTY_S;
        }
        let free_share = node.free.dominant_share(&class.capacity).min(1.0);
        Some(score + node.fault_penalty_s + FREE_CAPACITY_PENALTY_S * free_share)
    }
}

/// Node with its score. The greatest node in this order has the lowest score and, among equal scores,
/// the lowest index, as `BinaryHeap` is a max-heap.
#[derive(PartialEq)]
struct ScoredNode {
    score: f64,
    node_index: usize,
}

impl Eq for ScoredNode {}

impl Ord for ScoredNode {
    fn cmp(&self, other: &ScoredNode) -> Ordering {
        let by_score = other.score.total_cmp(&self.score);
        by_score.then(other.node_index.cmp(&self.node_index))
    }
}

impl PartialOrd for ScoredNode {
    fn partial_cmp(&self, other: &ScoredNode) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Resources allocated for one task on a node.
pub(super) struct Allocation {
    pub node_index: usize,
    /// Whether the node has to fetch the image for the task.
    needs_fetch: bool,
}

/// Search for nodes for the tasks of one job, one after the other. Each node is scored once, and again
/// after a task has been placed on it.
pub(super) struct NodeFinder {
    scoring: NodeScoring,
    candidates: BinaryHeap<ScoredNode>,
}

impl NodeFinder {
    /// Creates a search among these nodes.
    pub fn new(snapshot: &ClusterSnapshot, nodes: &[usize], job: &QueuedJob) -> NodeFinder {
        let scoring = NodeScoring::new(snapshot, job);
        snapshot.count_inspected(nodes.len());
        let scored = |&node_index: &usize| {
            let score = scoring.score(snapshot, job, node_index)?;
            Some(ScoredNode { score, node_index })
        };
        let candidates = nodes.iter().filter_map(scored).collect();
        NodeFinder {
            scoring,
            candidates,
        }
    }

    /// Places one more task: allocates its resources in the snapshot and counts it for the job's zones
    /// and team. Returns `None` if no node is left that fits.
    pub fn place(
        &mut self,
        step: &mut StepContext,
        job: &mut QueuedJob,
        allowed: &NodeFilter,
    ) -> Option<Allocation> {
        while let Some(candidate) = self.candidates.pop() {
            let node_index = candidate.node_index;
            // The job's limit for the zone may have been reached since the node was scored.
            if !job.allows_in_zone(step.snapshot.zone_of(node_index))
                || !allowed(step.snapshot, node_index)
            {
                continue;
            }
            let needs_fetch = allocate(step, job, node_index);
            if let Some(score) = self.scoring.score(step.snapshot, job, node_index) {
                self.candidates.push(ScoredNode { score, node_index });
            }
            return Some(Allocation {
                node_index,
                needs_fetch,
            });
        }
        None
    }
}

/// Allocates one task on a node. Returns whether the node has to fetch the image.
fn allocate(step: &mut StepContext, job: &mut QueuedJob, node_index: usize) -> bool {
    let resources = job.spec.resources;
    let needs_fetch = step.snapshot.allocate(node_index, &resources, job.image);
    job.count_in_zone(step.snapshot.zone_of(node_index));
    step.teams[job.team].add(&resources, 1.0);
    needs_fetch
}

/// Places all of a job's startable tasks, or none of them.
pub(super) fn place_all(
    step: &mut StepContext,
    nodes: &[usize],
    job_index: usize,
    job: &mut QueuedJob,
    allowed: &NodeFilter,
) -> Option<Vec<Assignment>> {
    let saved_zones = job.tasks_per_zone.clone();
    let saved_teams = step.teams.to_vec();
    let mut allocations: Vec<Allocation> = Vec::new();
    let mut assignments = Vec::new();
    let mut finder = NodeFinder::new(step.snapshot, nodes, job);
    for task_index in job.startable_tasks(step.now) {
        let Some(allocation) = finder.place(step, job, allowed) else {
            for allocation in allocations.into_iter().rev() {
                let resources = &job.spec.resources;
                step.snapshot.undo_allocation(
                    allocation.node_index,
                    resources,
                    allocation.needs_fetch,
                );
            }
            job.tasks_per_zone = saved_zones;
            step.teams.clone_from_slice(&saved_teams);
            return None;
        };
        assignments.push(Assignment {
            job_index,
            task_index,
            node_index: allocation.node_index,
        });
        allocations.push(allocation);
    }
    Some(assignments)
}
