//! Execution of the scheduling plan: placement and preemption of tasks.

use crate::core::Core;
use crate::core::leadership::state::LeaderState;
use crate::core::machines::placement::{Phase, Placement, StopReason};
use crate::job::{JobKind, JobSpec, TaskId};
use crate::planning::backfill::{self, Assignment, Preemption, SchedulingPlan};
use crate::planning::cluster_snapshot::image_hash;
use crate::wire::MachineType;
use std::sync::Arc;
use std::time::Instant;

/// Position of the term in an attempt number, which is `term << TERM_SHIFT | count`, so that no number is ever reused.
const TERM_SHIFT: u32 = 32;

/// Attributes of a job in the planned queue that are needed to place its tasks.
struct PlannedJob {
    spec: Arc<JobSpec>,
    /// Index of the job's team in the settings.
    team: usize,
}

impl Core {
    /// Makes a scheduling plan and carries it out.
    pub(super) fn place_tasks(&mut self) {
        self.update_quotas();
        self.refresh_snapshot();
        let (plan, jobs) = self.make_plan();
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let scheduler = &mut leader.scheduler;
        scheduler.last_plan = Some(now);
        // As long as plans start tasks, the next plan follows after the minimum interval.
        scheduler.plan_again = !plan.starts.is_empty();
        scheduler.had_startable_jobs = !jobs.is_empty();
        scheduler.queue_head = plan.head.map(|head| {
            let id = jobs[head.job_index].spec.id.clone();
            (id, head.starts_in)
        });
        leader.start_planned(&plan.starts, &jobs, &self.machine_types, now);
        leader.preempt_planned(plan.preemptions, now);
    }

    /// Makes a scheduling plan. Afterwards the snapshot includes what the plan has allocated.
    fn make_plan(&mut self) -> (SchedulingPlan, Vec<PlannedJob>) {
        let Some(leader) = &mut self.leader else {
            return Default::default();
        };
        let mut snapshot = std::mem::take(&mut leader.cluster_snapshot);
        let mut tables = std::mem::take(&mut self.knapsack_tables);
        let mut planned = Default::default();
        if let Some(leader) = &self.leader {
            let now = self.now.mono;
            let mut queue = self.startable_jobs(leader, &snapshot);
            let mut teams = self.team_usage(leader, &snapshot);
            let plan = backfill::plan(&mut snapshot, &mut queue, &mut teams, now, &mut tables);
            let jobs = queue.into_iter().map(|job| PlannedJob {
                spec: job.spec,
                team: job.team,
            });
            planned = (plan, jobs.collect());
        }
        self.knapsack_tables = tables;
        if let Some(leader) = &mut self.leader {
            leader.cluster_snapshot = snapshot;
        }
        planned
    }
}

impl LeaderState {
    /// Places the tasks that the plan starts.
    fn start_planned(
        &mut self,
        starts: &[Assignment],
        jobs: &[PlannedJob],
        machine_types: &[MachineType],
        now: Instant,
    ) {
        let mut last_gang = None;
        for start in starts {
            let job = &jobs[start.job_index];
            let is_gang = job.spec.job_kind == JobKind::Gang;
            // The tasks of a gang have the same attempt number, by which they find each other.
            let shares_attempt = is_gang && last_gang == Some(start.job_index);
            if self.start_task(start, job, shares_attempt, machine_types, now) {
                last_gang = is_gang.then_some(start.job_index);
            }
        }
    }

    /// Places one task, unless it has been placed already. Returns whether the task was placed.
    fn start_task(
        &mut self,
        start: &Assignment,
        job: &PlannedJob,
        shares_attempt: bool,
        machine_types: &[MachineType],
        now: Instant,
    ) -> bool {
        let spec = &job.spec;
        let id = self.cluster_snapshot.node(start.node_index).id.clone();
        let run = self.job_runs.get_mut(&spec.id);
        let (Some(run), Some(machine)) = (run, self.machines.get_mut(&id)) else {
            return false;
        };
        let task = TaskId {
            job: spec.id.clone(),
            index: start.task_index,
        };
        if machine.tasks.contains_key(&task) || !run.tasks.start(task.index, &machine.id) {
            return false;
        }
        run.backoff_until.remove(&task.index);
        if !shares_attempt {
            self.scheduler.attempts += 1;
        }
        let attempt = (self.term << TERM_SHIFT) | self.scheduler.attempts;
        tracing::debug!(task = %task, machine = %id, attempt, "task placed");
        let mut types = machine_types.iter();
        let machine_type = types.find(|t| t.name == machine.machine_type);
        let cache_gb = machine_type.map_or(0.0, |t| t.cache_gb);
        machine.use_image(image_hash(&spec.image), spec.image_gb, cache_gb);
        let placement = Placement {
            attempt,
            phase: Phase::Unseen,
            since: now,
            running_since: None,
            stopping: None,
            resources: spec.resources,
            team: Some(job.team),
        };
        machine.tasks.insert(task, placement);
        machine.needs_push = true;
        true
    }

    /// Stops the tasks that the plan preempts.
    fn preempt_planned(&mut self, preemptions: Vec<Preemption>, now: Instant) {
        for Preemption { node_index, task } in preemptions {
            let id = self.cluster_snapshot.node(node_index).id.clone();
            if let Some(machine) = self.machines.get_mut(&id)
                && let Some(placement) = machine.tasks.get_mut(&task)
            {
                tracing::info!(task = %task, machine = %id, "task preempted");
                placement.stop(StopReason::Preempted, now);
                machine.needs_push = true;
            }
        }
    }
}
