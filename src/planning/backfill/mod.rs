//! Placement with backfilling: derives starts and preemptions from the cluster snapshot and the
//! queue.
//!
//! The algorithm is LOS with its Max-Slowdown weight, from E. Shmueli's thesis "Backfilling with
//! Lookahead to Optimize the Performance of Parallel Job Scheduling" (University of Haifa, 2003).
//! Section, table and figure numbers in this module refer to it (here sections 3.2 to 3.5).
//! The head of the queue starts if it fits. Otherwise it gets a reservation at its shadow time, the
//! earliest time at which it fits by the expected ends of the running tasks, and a dynamic program
//! selects the set of later queue entries that fills the free capacity best without delaying the
//! reservation. If the shadow time is too far off, tasks of lower priority are preempted for the head.

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

/// Start of a task on a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Index of the job in the queue.
    pub job_index: usize,
    /// Index of the task in its job.
    pub task_index: u32,
    /// Index of the node in the snapshot.
    pub node_index: usize,
}

/// Stop of a task, so that other tasks can use its resources.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Preemption {
    /// Index of the node in the snapshot.
    pub node_index: usize,
    /// Task to stop.
    pub task: TaskId,
}

/// Job at the head of the queue that has to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueHead {
    /// Index of the job in the queue.
    pub job_index: usize,
    /// Time from now until the job can start; `None` if the expected ends of running tasks do not
    /// release enough capacity.
    pub starts_in: Option<Duration>,
}

/// Decisions of one scheduling step.
#[derive(Clone, Debug, Default)]
pub struct SchedulingPlan {
    /// Tasks to start.
    pub starts: Vec<Assignment>,
    /// Tasks to stop.
    pub preemptions: Vec<Preemption>,
    /// Head of the queue, if it has to wait.
    pub head: Option<QueueHead>,
}

/// State that the functions of one scheduling step share.
struct StepContext<'a> {
    snapshot: &'a mut ClusterSnapshot,
    teams: &'a mut [TeamUsage],
    now: Instant,
}

/// Computes one scheduling step. Afterwards the snapshot's free resources are reduced by the plan's
/// allocations; the caller carries out the plan and then updates the changed nodes.
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
    // Nodes on which not even the smallest task fits need no further inspection.
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

/// Returns the least that any queued task needs of each resource; `None` if the queue is empty.
fn smallest_request(queue: &[QueuedJob]) -> Option<Resources> {
    let requests = queue.iter().map(|job| job.spec.resources);
    requests.reduce(|a, b| Resources {
        cpus: a.cpus.min(b.cpus),
        gpus: a.gpus.min(b.gpus),
        ram: a.ram.min(b.ram),
    })
}

/// Starts jobs in queue order as long as capacity lasts. Returns the index of the first job for which
/// capacity is insufficient: the head.
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

/// Result of placing a job's tasks.
#[derive(PartialEq, Eq)]
enum PlacementOutcome {
    /// All tasks that the team's limits allow were placed. A job of a team at its limit waits for that
    /// team's own tasks rather than for capacity, so it does not become the head.
    Complete,
    /// At least one task that may start did not fit anywhere.
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
