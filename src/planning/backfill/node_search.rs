//! Finding nodes for the tasks of one job.

use crate::planning::backfill::queue::QueuedJob;
use crate::planning::backfill::{Assignment, StepContext};
use crate::planning::cluster_snapshot::{ClusterSnapshot, MachineClass, NodeUsage};
use std::cmp::Ordering;
use std::collections::BinaryHeap;

/// What it is worth, in seconds, to leave on-demand machines to work that needs them, and to let
/// them empty, since they cost a multiple of spot ones.
const ON_DEMAND_PENALTY_S: f64 = 15.0;
/// What it is worth to leave the largest machine empty instead of a tiny one: it is paid for until
/// its last task ends.
const MACHINE_SIZE_PENALTY_S: f64 = 2.0;
/// What it is worth to use a full machine instead of an empty one, so that others empty.
const FREE_CAPACITY_PENALTY_S: f64 = 0.5;
/// What it is worth to avoid a node on which the job's tasks have failed.
const FAILED_NODE_PENALTY_S: f64 = 1000.0;
/// For longer work than this, a machine's size weighs more and the wait for an image less.
const REFERENCE_RUNTIME_S: f64 = 15.0;

/// Whether a node may be used at all, asked before each placement on it.
pub(super) type NodeFilter<'a> = dyn Fn(&ClusterSnapshot, usize) -> bool + 'a;

/// The filter that lets every node pass.
pub(super) fn any_node(_: &ClusterSnapshot, _: usize) -> bool {
    true
}

/// How a job scores nodes: which classes it may use, and what each of their machines costs it
/// beside what that machine itself adds. Scores are in seconds of delay, and the lowest is best.
struct NodeScoring {
    /// By class: its penalty, or `None` where the job may not use it.
    class_penalties_s: Vec<Option<f64>>,
    /// By class: what fetching the image costs.
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

    /// The score of a node for one more task; `None` where the task may not or cannot go. Warm
    /// images come first, then spot machines for work that may use them, then the fullest
    /// machine, so that others empty and can be removed.
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

/// A node with its score; the greatest in this order has the lowest score, and among equals the
/// lowest index.
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

/// Room allocated for one task.
pub(super) struct Allocation {
    pub node_index: usize,
    /// The node has to fetch the image for it.
    needs_fetch: bool,
}

/// Finds nodes for the tasks of one job, one after the other. Each node is inspected once, and
/// again after it was given a task.
pub(super) struct NodeFinder {
    scoring: NodeScoring,
    candidates: BinaryHeap<ScoredNode>,
}

impl NodeFinder {
    /// A search among these nodes.
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

    /// Places one more task: its room is allocated in the snapshot and counted for the job's
    /// zones and its team.
    pub fn place(
        &mut self,
        step: &mut StepContext,
        job: &mut QueuedJob,
        allowed: &NodeFilter,
    ) -> Option<Allocation> {
        while let Some(candidate) = self.candidates.pop() {
            let node_index = candidate.node_index;
            // Its zone may have become full since the node was inspected.
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

fn allocate(step: &mut StepContext, job: &mut QueuedJob, node_index: usize) -> bool {
    let resources = job.spec.resources;
    let needs_fetch = step.snapshot.allocate(node_index, &resources, job.image);
    job.count_in_zone(step.snapshot.zone_of(node_index));
    step.teams[job.team].add(&resources, 1.0);
    needs_fetch
}

/// Places all of a job's startable tasks, or none.
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
