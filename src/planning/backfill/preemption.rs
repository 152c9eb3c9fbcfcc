//! Preemption: stops tasks so that the head of the queue can start.

use crate::job::Resources;
use crate::planning::backfill::queue::{QueuedJob, TeamUsage};
use crate::planning::backfill::reservation::Reservation;
use crate::planning::backfill::{Preemption, StepContext};
use crate::planning::cluster_snapshot::{ClusterSnapshot, Node, NodeUsage};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Longest wait for which the head waits for capacity to become free instead of preempting tasks.
const MIN_WAIT_TO_PREEMPT: Duration = Duration::from_secs(4);
/// Maximum number of tasks of the head's job for which tasks are stopped in one step; a larger gang is
/// not split.
const MAX_TASKS_PER_STEP: usize = 16;
/// Minimum ratio of the time by which preemption advances the head's start to the work it loses.
const MIN_GAIN_RATIO: u32 = 3;

/// Tasks that could be stopped on one node.
struct PreemptionCandidates {
    /// Resources that are free, or that tasks which are already stopping will release.
    free: Resources,
    /// Work lost by stopping each task, and the task's index on the node; the least loss first.
    tasks: Vec<(Duration, usize)>,
}

/// Option to place one more task on a node by stopping others; ordered by the work that is lost.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PreemptionOption {
    lost_work: Duration,
    node_index: usize,
    /// Number of tasks to stop, from the front of the node's candidates.
    stop_count: usize,
}

impl PreemptionCandidates {
    /// Returns the option to stop candidates, those with the least loss first, until the task fits;
    /// `None` if it does not fit even without all of them.
    fn least_loss_option(
        &self,
        node_index: usize,
        node: &Node,
        resources: &Resources,
    ) -> Option<PreemptionOption> {
        let mut free = self.free;
        let mut lost_work = Duration::ZERO;
        let mut stop_count = 0;
        for (lost, task_index) in &self.tasks {
            if resources.fits(&free) {
                break;
            }
            free.add(&node.tasks[*task_index].resources);
            lost_work += *lost;
            stop_count += 1;
        }
        resources.fits(&free).then_some(PreemptionOption {
            lost_work,
            node_index,
            stop_count,
        })
    }
}

/// Chooses the tasks to stop so that up to `waiting_tasks` tasks of the head's job can start. Tasks of
/// lower priority may be stopped, and tasks on borrowed resources if the head is within its team's
/// quota. For each task to start, the node on which the least work is lost is chosen.
pub(super) fn preempt(
    step: &mut StepContext,
    job: &mut QueuedJob,
    waiting_tasks: usize,
    reservation: Option<&Reservation>,
) -> Vec<Preemption> {
    if !job.may_preempt || reservation.is_some_and(|r| r.starts_in <= MIN_WAIT_TO_PREEMPT) {
        return Vec::new();
    }
    let may_reclaim = job.within_quota && step.teams.iter().any(TeamUsage::is_borrowing);
    // In most steps no task can be stopped; returning here avoids inspecting every node.
    if !may_reclaim && !step.snapshot.has_lower_priority_tasks(job.priority) {
        return Vec::new();
    }
    let borrowing = if may_reclaim {
        borrowing_tasks(step.snapshot, step.teams, step.now)
    } else {
        BTreeSet::new()
    };
    let mut candidates = candidates_by_node(step, job, &borrowing);
    let resources = job.spec.resources;
    let mut options: BTreeSet<PreemptionOption> = candidates
        .iter()
        .filter_map(|(&n, c)| c.least_loss_option(n, step.snapshot.node(n), &resources))
        .collect();
    let mut preemptions = Vec::new();
    let mut remaining = waiting_tasks.min(MAX_TASKS_PER_STEP.max(job.tasks_per_entry() as usize));
    while remaining > 0
        && step.teams[job.team].allows(&resources, 1)
        && let Some(option) = options.pop_first()
    {
        let node_index = option.node_index;
        if !job.allows_in_zone(step.snapshot.zone_of(node_index)) {
            continue;
        }
        // Preemption must gain considerably more time than the run time that it discards.
        let min_wait = option.lost_work * MIN_GAIN_RATIO + MIN_WAIT_TO_PREEMPT;
        if reservation.is_some_and(|r| r.starts_in < min_wait) {
            break;
        }
        let node = step.snapshot.node(node_index);
        let Some(candidates) = candidates.get_mut(&node_index) else {
            break;
        };
        for (_, task_index) in candidates.tasks.drain(..option.stop_count) {
            let task = &node.tasks[task_index];
            candidates.free.add(&task.resources);
            preemptions.push(Preemption {
                node_index,
                task: task.id.clone(),
            });
        }
        candidates.free.sub(&resources);
        step.teams[job.team].add(&resources, 1.0);
        job.count_in_zone(step.snapshot.zone_of(node_index));
        options.extend(candidates.least_loss_option(node_index, node, &resources));
        remaining -= 1;
    }
    preemptions
}

/// Task on a node: the index of the node, and that of the task on it.
type TaskPosition = (usize, usize);

/// Returns the tasks that could be stopped on each node that the head may use.
fn candidates_by_node(
    step: &StepContext,
    job: &QueuedJob,
    borrowing: &BTreeSet<TaskPosition>,
) -> BTreeMap<usize, PreemptionCandidates> {
    let mut by_node = BTreeMap::new();
    for (node_index, node) in step.snapshot.nodes() {
        let is_usable = node.usage == NodeUsage::Schedulable
            && job.accepts(&step.snapshot.classes()[node.class])
            && !job.avoided_nodes.contains(&node_index);
        if !is_usable {
            continue;
        }
        let mut candidates = PreemptionCandidates {
            free: node.free,
            tasks: Vec::new(),
        };
        for (task_index, task) in node.tasks.iter().enumerate() {
            let is_preemptible =
                task.priority > job.priority || borrowing.contains(&(node_index, task_index));
            if task.stopping {
                // Resources that stopping tasks will release go to the head first.
                candidates.free.add(&task.resources);
            } else if task.id.job != job.spec.id && is_preemptible {
                candidates
                    .tasks
                    .push((task.lost_work(step.now), task_index));
            }
        }
        candidates.tasks.sort();
        if job.spec.resources.fits(&candidates.free) || !candidates.tasks.is_empty() {
            by_node.insert(node_index, candidates);
        }
    }
    by_node
}

/// Returns the tasks that exceed their teams' quotas. The tasks with the least work to lose count as
/// the ones beyond the quota.
fn borrowing_tasks(
    snapshot: &ClusterSnapshot,
    teams: &[TeamUsage],
    now: Instant,
) -> BTreeSet<TaskPosition> {
    let mut tasks: Vec<(Duration, TaskPosition, usize)> = Vec::new();
    let schedulable = snapshot
        .nodes()
        .filter(|(_, node)| node.usage == NodeUsage::Schedulable);
    for (node_index, node) in schedulable {
        for (task_index, task) in node.tasks.iter().enumerate() {
            if let Some(team) = task.team {
                tasks.push((task.lost_work(now), (node_index, task_index), team));
            }
        }
    }
    tasks.sort_by_key(|(lost_work, _, _)| Reverse(*lost_work));
    let mut team_totals = vec![Resources::default(); teams.len()];
    let mut borrowing = BTreeSet::new();
    for (_, (node_index, task_index), team) in tasks {
        team_totals[team].add(&snapshot.node(node_index).tasks[task_index].resources);
        if teams[team].exceeds_quota(team_totals[team].cpus, team_totals[team].gpus) {
            borrowing.insert((node_index, task_index));
        }
    }
    borrowing
}
