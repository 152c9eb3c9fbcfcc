//! Tasks on machines whose jobs are in no controller's copy: they are adopted when their job becomes known.

use super::{HeldTask, Rebuild};
use crate::core::Core;
use crate::core::leadership::state::LeaderState;
use crate::core::machines::placement::StopReason;
use crate::job::{JobId, MachineId, Resources, TaskId};
use std::collections::BTreeSet;

impl LeaderState {
    /// Returns whether a task may be of an accepted job that the store has lost; `known` tells whether its job is
    /// known.
    pub(in crate::core) fn may_belong_to_lost_job(&self, known: bool) -> bool {
        !known && self.rebuild.as_ref().is_some_and(|r| !r.settled)
    }
}

impl Core {
    /// Adopts the held tasks and results of a job, if it has become known.
    pub(in crate::core) fn adopt_job(&mut self, id: &JobId) {
        if !self.store_cache.is_known_job(id) {
            return;
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(rebuild) = &mut leader.rebuild else {
            return;
        };
        let held = rebuild.held_tasks.remove(id).unwrap_or_default();
        let done = rebuild.held_results.remove(id).unwrap_or_default();
        if held.is_empty() && done.is_empty() {
            return;
        }
        rebuild.adopted_jobs += 1;
        leader.scheduler.request_plan();
        tracing::warn!(job = %id, held = held.len(), done = done.len(), "job adopted");
        for (task, machine) in self.adopt_held_tasks(id, held) {
            self.stop_duplicates(&task, &machine);
        }
        for index in done {
            let job = id.clone();
            self.task_completed(&TaskId { job, index }, None);
        }
    }

    /// Assigns to the job those held tasks that it still needs, and stops the others. Returns the assigned ones.
    fn adopt_held_tasks(
        &mut self,
        id: &JobId,
        held: BTreeSet<HeldTask>,
    ) -> Vec<(TaskId, MachineId)> {
        let Some(leader) = &mut self.leader else {
            return Vec::new();
        };
        let job = self.store_cache.jobs.get(id);
        let mut adopted = Vec::new();
        for HeldTask { index, machine } in held {
            let key = TaskId {
                job: id.clone(),
                index,
            };
            let Some(task_machine) = leader.machines.get_mut(&machine) else {
                continue;
            };
            let Some(task) = task_machine.tasks.get_mut(&key) else {
                continue;
            };
            match (job, leader.job_runs.get_mut(id)) {
                (Some(job), Some(run))
                    if index < job.spec.tasks
                        && run.ending.is_none()
                        && !job.done.contains(index) =>
                {
                    task.resources = job.spec.resources;
                    task.team = self.settings.team_index(&job.spec.team);
                    run.tasks.assign(index, &machine);
                    adopted.push((key, machine));
                }
                _ => {
                    task.stop(StopReason::Obsolete, self.now.mono);
                    task_machine.needs_push = true;
                }
            }
        }
        adopted
    }

    /// Returns the resources of held tasks, which count towards every team's limit, as their team is not known. Their
    /// needs are not known either, so the whole capacity of their machines is counted.
    pub(in crate::core) fn held_resources(&self, leader: &LeaderState) -> Resources {
        let mut total = Resources::default();
        let machines = leader.rebuild.iter().flat_map(Rebuild::held_machines);
        for m in machines.filter_map(|id| leader.machines.get(id)) {
            if let Some(t) = self.type_of(&m.machine_type) {
                total.add(&t.capacity());
            }
        }
        total
    }
}
