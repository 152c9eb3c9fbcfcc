//! State transitions of tasks that a machine reports as live or exited, that have completed, that were lost with
//! their machine, or that are on several machines.

use crate::core::machines::machine::Machine;
use crate::core::machines::placement::{Phase, Placement, StopReason};
use crate::core::{Core, record};
use crate::job::{JobKind, MachineId, Resources, TaskId};
use crate::planning::cluster_snapshot::image_hash;
use crate::wire::{ExitCause, TaskStatus};
use std::time::{Duration, Instant};

/// Delay before a task is started again after `ExitCause::NoRoom`. The next heartbeat shows how the worker's view of
/// the machine's free resources differs from the leader's.
const NO_ROOM_BACKOFF: Duration = Duration::from_secs(1);
/// Delay before a task is started again after `ExitCause::Busy`.
const BUSY_BACKOFF: Duration = Duration::from_secs(2);
/// Delay before a task is started again after `ExitCause::Unknown`.
const UNKNOWN_TASK_BACKOFF: Duration = Duration::from_secs(3);
/// Delay before a task is started again that ended for another reason, such as the tasks of a gang that lacks one of
/// its tasks.
const OTHER_BACKOFF: Duration = Duration::from_millis(500);

impl Machine {
    /// Removes a task that is no longer on the machine, and returns it.
    fn remove_task(&mut self, key: &TaskId, now: Instant) -> Option<Placement> {
        let task = self.tasks.remove(key)?;
        if self.tasks.is_empty() {
            self.idle_since = now;
        }
        Some(task)
    }

    /// Stops a task that is no longer needed, if it is on this machine. The stop does not wait for the next heartbeat.
    fn stop_obsolete(&mut self, key: &TaskId, now: Instant) {
        if let Some(task) = self.tasks.get_mut(key) {
            task.stop(StopReason::Obsolete, now);
            self.needs_push = true;
        }
    }
}

impl Core {
    /// Applies the status of a task that a heartbeat reports as live.
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
            // This should not happen, as a worker refuses a second attempt of a task that it has.
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

    /// Adds a task that a machine reports and that was not known to be there. It is stopped if it is not needed.
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

    /// Returns the resources of a task found on a machine, and the team whose limit it counts towards. Records that
    /// the machine has the image of the task's job.
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
            // An unknown task may use all of the machine's resources.
            let all = machine_type.map_or(Resources::default(), |t| t.capacity());
            (all, None)
        };
        let team = team.and_then(|t| self.settings.team_index(t));
        Some((resources, team))
    }

    /// Holds a task whose job is not known to any controller while the store is rebuilt. The job may have been accepted
    /// before the store lost data, so the task is kept until that is known. Returns whether the task is held.
    fn hold_if_job_unknown(&mut self, id: &MachineId, key: &TaskId) -> bool {
        let Some(leader) = &mut self.leader else {
            return false;
        };
        if !leader.may_belong_to_lost_job(self.store_cache.is_known_job(&key.job)) {
            return false;
        }
        if let Some(rebuild) = &mut leader.rebuild {
            rebuild.hold_task(key, id);
            tracing::warn!(task = %key, machine = %id, "task of unknown job held");
        }
        true
    }

    /// Assigns a task found on a machine to that machine, unless the task is done, or its job is ending or is not live.
    /// Returns whether it was assigned.
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

    /// Records that a task of a job runs. If it is the job's first, the job's waiting time ends.
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

    /// Applies the status of a task that a heartbeat reports as exited.
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
            // The exit was processed before, or an earlier leader started this attempt. A completion still counts.
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

    /// Records the exit of a task whose job is unknown while the store is rebuilt, and its result if it completed.
    fn record_exit_of_unknown_job(&mut self, id: &MachineId, key: &TaskId, cause: ExitCause) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        if leader.machines.get(id).is_none()
            || !leader.may_belong_to_lost_job(self.store_cache.is_known_job(&key.job))
        {
            return;
        }
        if let Some(rebuild) = &mut leader.rebuild {
            rebuild.remove_held_task(key, id);
            if cause == ExitCause::Done {
                rebuild.record_held_result(key);
            }
        }
    }

    /// Returns the delay before a task that exited without a result may be started again, if any. Records a failure of
    /// the task's program.
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

    /// Stops a task that is on several machines on all of them but one, once each of these machines has shown this
    /// term's token: before that, it is not certain which of them have the task. The first machine other than `newest`
    /// keeps the task.
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

    /// Records that a task has completed. `machine` is the machine that had it, if it was known to be there. A replica
    /// of a service that ends is started again.
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

    /// Removes tasks that are no longer on the machine and ended without a result.
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
                rebuild.remove_held_task(&key, id);
            }
            if let Some(run) = leader.job_runs.get_mut(&key.job)
                && run.tasks.unassign(key.index, id)
            {
                tracing::debug!(task = %key, machine = %id, attempt = task.attempt, reason, "task lost");
            }
        }
    }
}
