//! Placement with backfilling: from the cluster snapshot and the queue to starts and preemptions.
//!
//! This is the thesis's LOS with its Max-Slowdown weight (sections 3.2 to 3.5): the head of the
//! queue starts if it fits, else it gets a reservation at its shadow time, and a dynamic program
//! picks the set of later entries that fills the free room best without delaying that
//! reservation. Where that takes too long, work of lower priority is preempted for the head.

mod knapsack;
mod lookahead;
mod node_search;
mod preemption;
mod queue;
mod reservation;

pub use knapsack::{KnapsackItem, KnapsackTables, select_items};
pub use lookahead::LOOKAHEAD;
pub use queue::{QueuedJob, TeamUsage};

use crate::job::{Resources, TaskId};
use crate::planning::cluster_snapshot::ClusterSnapshot;
use node_search::{NodeFinder, any_node, place_all};
use reservation::Reservation;
use std::time::{Duration, Instant};

/// A task to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The job's index in the queue.
    pub job_index: usize,
    /// The task's index in its job.
    pub task_index: u32,
    /// The node's index in the snapshot.
    pub node_index: usize,
}

/// A task to stop, so that its room can be used by others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Preemption {
    /// The node's index in the snapshot.
    pub node_index: usize,
    /// The task.
    pub task: TaskId,
}

/// The job at the head of the queue, which has to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueHead {
    /// The job's index in the queue.
    pub job_index: usize,
    /// In how long it may start, if that can be foreseen.
    pub starts_in: Option<Duration>,
}

/// What one scheduling step decides.
#[derive(Clone, Debug, Default)]
pub struct SchedulingPlan {
    /// Tasks to start.
    pub starts: Vec<Assignment>,
    /// Tasks to stop.
    pub preemptions: Vec<Preemption>,
    /// The head of the queue, if it has to wait.
    pub head: Option<QueueHead>,
}

/// What one scheduling step works on.
struct StepContext<'a> {
    snapshot: &'a mut ClusterSnapshot,
    teams: &'a mut [TeamUsage],
    now: Instant,
}

/// One scheduling step. The snapshot's free room shows afterwards what the plan has allocated;
/// the caller that carries the plan out updates the changed nodes.
pub fn plan(
    snapshot: &mut ClusterSnapshot,
    queue: &mut [QueuedJob],
    teams: &mut [TeamUsage],
    now: Instant,
    tables: &mut KnapsackTables,
) -> SchedulingPlan {
    let mut plan = SchedulingPlan::default();
    let Some(smallest) = smallest_request(queue) else {
        return plan;
    };
    // Nodes without room for even the smallest task need no further inspection.
    let available: Vec<usize> = snapshot.available().collect();
    let nodes: Vec<usize> = available
        .into_iter()
        .filter(|n| smallest.fits(&snapshot.node(*n).free))
        .collect();
    let mut step = StepContext {
        snapshot,
        teams,
        now,
    };
    let Some(head) = start_in_queue_order(&mut step, &nodes, queue, &mut plan.starts) else {
        return plan;
    };
    let reservation = Reservation::find(&step, &nodes, &queue[head]);
    plan.head = Some(QueueHead {
        job_index: head,
        starts_in: reservation.as_ref().map(|r| r.starts_in),
    });
    let backfilled =
        lookahead::backfill(&mut step, &nodes, queue, head, reservation.as_ref(), tables);
    plan.starts.extend(backfilled);
    let started = plan.starts.iter().filter(|s| s.job_index == head).count();
    let startable = queue[head].startable_tasks(now).count();
    plan.preemptions = preemption::preempt(
        &mut step,
        &mut queue[head],
        startable.saturating_sub(started),
        reservation.as_ref(),
    );
    plan
}

/// The least that any queued task needs of each resource; `None` if the queue is empty.
fn smallest_request(queue: &[QueuedJob]) -> Option<Resources> {
    let requests = queue.iter().map(|job| job.spec.resources);
    requests.reduce(|a, b| Resources {
        cpus: a.cpus.min(b.cpus),
        gpus: a.gpus.min(b.gpus),
        ram: a.ram.min(b.ram),
    })
}

/// Starts jobs one after the other as long as first-fit places them. Returns the index of the
/// first one that lacks room: the head.
fn start_in_queue_order(
    step: &mut StepContext,
    nodes: &[usize],
    queue: &mut [QueuedJob],
    starts: &mut Vec<Assignment>,
) -> Option<usize> {
    for (job_index, job) in queue.iter_mut().enumerate() {
        let outcome = if job.all_or_nothing {
            start_gang(step, nodes, job_index, job, starts)
        } else {
            start_tasks(step, nodes, job_index, job, starts)
        };
        if outcome == PlacementOutcome::InsufficientCapacity {
            return Some(job_index);
        }
    }
    None
}

/// Whether a job's tasks were placed.
#[derive(PartialEq, Eq)]
enum PlacementOutcome {
    /// All that the team's limits allow. A team at its limit waits for itself, not for room, so
    /// its jobs do not become the head.
    Complete,
    InsufficientCapacity,
}

fn start_gang(
    step: &mut StepContext,
    nodes: &[usize],
    job_index: usize,
    job: &mut QueuedJob,
    starts: &mut Vec<Assignment>,
) -> PlacementOutcome {
    if !step.teams[job.team].allows(&job.spec.resources, job.tasks_per_entry()) {
        return PlacementOutcome::Complete;
    }
    match place_all(step, nodes, job_index, job, &any_node) {
        Some(assignments) => {
            starts.extend(assignments);
            PlacementOutcome::Complete
        }
        None => PlacementOutcome::InsufficientCapacity,
    }
}

fn start_tasks(
    step: &mut StepContext,
    nodes: &[usize],
    job_index: usize,
    job: &mut QueuedJob,
    starts: &mut Vec<Assignment>,
) -> PlacementOutcome {
    let mut finder = None;
    for task_index in job.startable_tasks(step.now) {
        if !step.teams[job.team].allows(&job.spec.resources, 1) {
            break;
        }
        let finder = finder.get_or_insert_with(|| NodeFinder::new(step.snapshot, nodes, job));
        let Some(allocation) = finder.place(step, job, &any_node) else {
            return PlacementOutcome::InsufficientCapacity;
        };
        starts.push(Assignment {
            job_index,
            task_index,
            node_index: allocation.node_index,
        });
    }
    PlacementOutcome::Complete
}

#[cfg(test)]
mod tests;
