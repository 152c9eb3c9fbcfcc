//! What follows for a task that a machine shows as live or exited, that is completed, that is lost with its
//! machine, or that is on several machines.

use crate::core::machines::machine::Machine;
use crate::core::machines::placement::{Phase, Placement, StopReason};
use crate::core::{Core, record};
use crate::job::{JobKind, MachineId, Resources, TaskId};
use crate::planning::cluster_snapshot::image_hash;
use crate::wire::{ExitCause, TaskStatus};
use std::time::{Duration, Instant};

/// Before a task is started again that its machine had no room for: the next heartbeat shows in what its
/// account of the machine and ours differ.
const NO_ROOM_BACKOFF: Duration = Duration::from_secs(1);
/// Before a task is started again that its machine was too busy to start.
const BUSY_BACKOFF: Duration = Duration::from_secs(2);
/// Before a task is started again that its machine did not understand.
const UNKNOWN_TASK_BACKOFF: Duration = Duration::from_secs(3);
/// Before a task is started again that ended for another reason, as those of a gang do when one is missing.
const OTHER_BACKOFF: Duration = Duration::from_millis(500);

impl Machine {
    /// Removes a task that is not on the machine any more.
    fn remove_task(&mut self, key: &TaskId, now: Instant) -> Option<Placement> {
        let task = self.tasks.remove(key)?;
        if self.tasks.is_empty() {
            self.idle_since = now;
        }
        Some(task)
    }

    /// Stops a task that has no use any more, if it is here; by a direct command, if need be.
    fn stop_obsolete(&mut self, key: &TaskId, now: Instant) {
        if let Some(task) = self.tasks.get_mut(key) {
            task.stop(StopReason::Obsolete, now);
            self.needs_push = true;
        }
    }
}

impl Core {
    /// A heartbeat shows the task on the machine.
    pub(super) fn task_live(&mut self, id: &MachineId, key: &TaskId, status: &TaskStatus) {
        let machine = self.leader.as_ref().and_then(|l| l.machines.get(id));
        if machine.is_some_and(|m| !m.tasks.contains_key(key)) {
            self.add_found_task(id, key, status.attempt);
            self.stop_duplicates(key, id);
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        let machine = leader.machines.get_mut(id);
        let Some(task) = machine.and_then(|m| m.tasks.get_mut(key)) else {
            return;
        };
        if task.attempt != status.attempt {
            // Not expected: a worker refuses a second attempt of a task it has.
            tracing::error!(
                task = %key, machine = %id, attempt = status.attempt, expected = task.attempt,
                "unexpected attempt of a task"
            );
            task.attempt = status.attempt;
        }
        task.phase = Phase::of(status.state);
        if task.phase == Phase::Running && task.running_since.is_none() {
            task.running_since = Some(self.now.mono);
            tracing::debug!(task = %key, machine = %id, attempt = task.attempt, "task running");
            self.job_started(key);
        }
    }

    /// Adds a task that a machine shows and that was not known to be there.
    fn add_found_task(&mut self, id: &MachineId, key: &TaskId, attempt: u64) {
        let now = self.now.mono;
        let Some((resources, team)) = self.resources_of_found(id, key) else {
            return;
        };
        let may_be_wanted = self.hold_if_job_unknown(id, key);
        let is_wanted = self.assign_if_wanted(id, key, attempt) || may_be_wanted;
        let mut task = Placement {
            attempt,
            phase: Phase::Unseen,
            since: now,
            running_since: None,
            stopping: None,
            resources,
            team,
        };
        let Some(machine) = self.machine_mut(id) else {
            return;
        };
        if !is_wanted {
            task.stop(StopReason::Obsolete, now);
            machine.needs_push = true;
        }
        machine.tasks.insert(key.clone(), task);
    }

    /// What a task found on a machine takes, and the team that it counts for. The machine is noted to have the
    /// image of its job.
    fn resources_of_found(
        &mut self,
        id: &MachineId,
        key: &TaskId,
    ) -> Option<(Resources, Option<usize>)> {
        let machine = self.leader.as_mut()?.machines.get_mut(id)?;
        let mut machine_types = self.machine_types.iter();
        let machine_type = machine_types.find(|t| t.name == machine.machine_type);
        let (resources, team) = if let Some(job) = self.store_cache.jobs.get(&key.job) {
            let spec = &job.spec;
            let cache_gb = machine_type.map_or(0.0, |t| t.cache_gb);
            machine.use_image(image_hash(&spec.image), spec.image_gb, cache_gb);
            (spec.resources, Some(spec.team.as_str()))
        } else if let Some(residual) = self.store_cache.residual_tasks.get(&key.job) {
            (residual.resources, Some(residual.team.as_str()))
        } else {
            // A task of which nothing is known any more may take all there is.
            let all = machine_type.map_or(Resources::default(), |t| t.room());
            (all, None)
        };
        let team = team.and_then(|t| self.settings.team_index(t));
        Some((resources, team))
    }

    /// While the store is rebuilt: no controller remembers the job, and it may have been accepted all the same, so its
    /// task is kept until that is known.
    fn hold_if_job_unknown(&mut self, id: &MachineId, key: &TaskId) -> bool {
        let Some(leader) = &mut self.leader else {
            return false;
        };
        if !leader.may_be_of_lost_job(self.store_cache.knows(&key.job)) {
            return false;
        }
        if let Some(rebuild) = &mut leader.rebuild {
            rebuild.hold(key, id);
            tracing::warn!(task = %key, machine = %id, "task of unknown job held");
        }
        true
    }

    /// Assigns a task found on a machine to it, unless it is done or its job is ending or over.
    fn assign_if_wanted(&mut self, id: &MachineId, key: &TaskId, attempt: u64) -> bool {
        let Some(leader) = &mut self.leader else {
            return false;
        };
        let job = self.store_cache.jobs.get(&key.job);
        let (Some(job), Some(run)) = (job, leader.job_runs.get_mut(&key.job)) else {
            return false;
        };
        if let Some(other) = run.tasks.assigned().get(&key.index).filter(|m| *m != id) {
            tracing::warn!(task = %key, machine = %id, other = %other, "task is or was on another machine");
        }
        let is_wanted = run.ending.is_none() && !job.done.contains(key.index);
        if is_wanted {
            run.tasks.assign(key.index, id);
            tracing::debug!(task = %key, machine = %id, attempt, "task found");
        }
        is_wanted
    }

    /// A task runs: if it is the first of its job, the job's wait has ended.
    fn job_started(&mut self, key: &TaskId) {
        let leader = self.leader.as_mut();
        let Some(run) = leader.and_then(|l| l.job_runs.get_mut(&key.job)) else {
            return;
        };
        if run.started.is_some() {
            return;
        }
        run.started = Some(self.now.mono);
        if let Some(job) = self.store_cache.jobs.get(&key.job)
            && let Ok(waited) = self.now.wall.duration_since(job.submitted)
        {
            record(&mut self.stats.start, waited.as_millis());
        }
    }

    /// A heartbeat shows the task as exited.
    pub(super) fn task_exited(&mut self, id: &MachineId, key: &TaskId, status: &TaskStatus) {
        let now = self.now.mono;
        let cause = status.cause.unwrap_or(ExitCause::Other);
        self.record_exit_of_unknown_job(id, key, cause);
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(machine) = leader.machines.get_mut(id) else {
            return;
        };
        let known = machine.tasks.get(key);
        if known.is_none_or(|task| task.attempt != status.attempt) {
            // Seen before, or started by an earlier leader. A completed task stays completed.
            if cause == ExitCause::Done {
                self.task_completed(key, None);
            }
            return;
        }
        let Some(task) = machine.remove_task(key, now) else {
            return;
        };
        machine.capacity_freed = true;
        leader.scheduler.request_plan();
        tracing::debug!(task = %key, machine = %id, attempt = task.attempt, ?cause, "task exited");
        if cause == ExitCause::Done {
            machine.fault_history.record_success();
            let ran = (task.running_since).map(|since| now.saturating_duration_since(since));
            self.record_run_time(id, key, ran);
            self.task_completed(key, Some(id));
            return;
        }
        let backoff = self.backoff_after(id, key, cause);
        let leader = self.leader.as_mut();
        if let Some(run) = leader.and_then(|l| l.job_runs.get_mut(&key.job)) {
            if let Some(backoff) = backoff {
                run.backoff_until.insert(key.index, now + backoff);
            }
            run.tasks.unassign(key.index, id);
        }
    }

    /// While the store is rebuilt, the results of tasks count whose job is not known.
    fn record_exit_of_unknown_job(&mut self, id: &MachineId, key: &TaskId, cause: ExitCause) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        if leader.machines.get(id).is_none()
            || !leader.may_be_of_lost_job(self.store_cache.knows(&key.job))
        {
            return;
        }
        if let Some(rebuild) = &mut leader.rebuild {
            rebuild.remove_held(key, id);
            if cause == ExitCause::Done {
                rebuild.record_result(key);
            }
        }
    }

    /// How long a task that exited without a result is not started again. A failure of its program is noted.
    fn backoff_after(
        &mut self,
        id: &MachineId,
        key: &TaskId,
        cause: ExitCause,
    ) -> Option<Duration> {
        match cause {
            ExitCause::Error => {
                self.record_task_failure(id, key);
                Some(self.retry_delay(&key.job))
            }
            ExitCause::NoRoom => {
                let resume_at = self.now.mono + NO_ROOM_BACKOFF;
                if let Some(machine) = self.machine_mut(id) {
                    machine.direct_calls.retry_not_before = resume_at;
                }
                Some(NO_ROOM_BACKOFF)
            }
            ExitCause::Busy => Some(BUSY_BACKOFF),
            ExitCause::Unknown => Some(UNKNOWN_TASK_BACKOFF),
            ExitCause::Other => Some(OTHER_BACKOFF),
            ExitCause::Done | ExitCause::Stopped => None,
        }
    }

    /// Stops a task that is on several machines on all of them but one. Which of them have it is certain
    /// when all of them have shown this term's token; for `newest` that is about to be certain.
    pub(in crate::core) fn stop_duplicates(&mut self, key: &TaskId, newest: &MachineId) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(run) = leader.job_runs.get(&key.job) else {
            return;
        };
        let holders = run.tasks.duplicates(key.index);
        let machines = &mut leader.machines;
        let is_unresolved = |id: &&MachineId| machines.get(id).is_some_and(|m| m.unresolved);
        if holders.len() < 2 || holders.iter().any(is_unresolved) {
            return;
        }
        let kept = holders.iter().position(|id| *id != newest).unwrap_or(0);
        tracing::error!(
            task = %key, machine = %newest, kept = %holders[kept],
            "task on several machines, duplicates stopped"
        );
        for (index, id) in holders.into_iter().enumerate() {
            if index != kept
                && let Some(machine) = machines.get_mut(id)
            {
                machine.stop_obsolete(key, now);
            }
        }
    }

    /// A task has completed, on this machine if it was known to be there. A replica of a service that ends is
    /// started again.
    pub(in crate::core) fn task_completed(&mut self, key: &TaskId, machine: Option<&MachineId>) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let (Some(job), Some(run)) = (
            self.store_cache.jobs.get_mut(&key.job),
            leader.job_runs.get_mut(&key.job),
        ) else {
            return;
        };
        if key.index >= job.spec.tasks {
            return;
        }
        run.succeeded = true;
        if job.spec.job_kind == JobKind::Service {
            if let Some(id) = machine {
                run.tasks.unassign(key.index, id);
            }
            return;
        }
        if job.done.insert(key.index) {
            run.unpersisted_done.insert(key.index);
            leader.writes.progress.entry(key.job.clone()).or_insert(now);
        }
        run.backoff_until.remove(&key.index);
        for id in run.tasks.release(key.index) {
            if let Some(machine) = leader.machines.get_mut(&id) {
                machine.stop_obsolete(key, now);
            }
        }
        self.end_if_complete(&key.job);
    }

    /// These tasks are not on the machine any more, without a result.
    pub(in crate::core) fn tasks_lost(&mut self, id: &MachineId, tasks: Vec<TaskId>, reason: &str) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        for key in tasks {
            let Some(machine) = leader.machines.get_mut(id) else {
                return;
            };
            let Some(task) = machine.remove_task(&key, now) else {
                continue;
            };
            leader.scheduler.request_plan();
            if let Some(rebuild) = &mut leader.rebuild {
                rebuild.remove_held(&key, id);
            }
            if let Some(run) = leader.job_runs.get_mut(&key.job)
                && run.tasks.unassign(key.index, id)
            {
                tracing::debug!(task = %key, machine = %id, attempt = task.attempt, reason, "task lost");
            }
        }
    }
}
