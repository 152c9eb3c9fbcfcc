//! Moving tasks off machines whose reclamation the cloud has announced.

use crate::core::Core;
use crate::core::machines::placement::{Placement, StopReason};
use crate::core::store::cache::JobRecord;
use crate::job::{JobKind, MachineId, TaskId};
use std::time::{Duration, Instant};

/// Run time below which a task that cannot save its progress loses next to nothing when it is stopped.
const NEGLIGIBLE_RUN_TIME: Duration = Duration::from_secs(5);
/// A task is likely to end too late if its expected remaining run time exceeds the remaining time by this factor.
const LIKELY_LATE_FACTOR: f64 = 1.5;
/// A task that cannot save its progress, and has run for some time, is stopped only if its expected remaining run time
/// exceeds the remaining time by this factor.
const CERTAINLY_LATE_FACTOR: u32 = 3;

/// Returns whether stopping a task now, to save its progress or to restart it elsewhere, is better than leaving it on a
/// machine that is reclaimed after `remaining`.
fn should_move(task: &Placement, job: &JobRecord, remaining: Duration, now: Instant) -> bool {
    if task.stopping.is_some() {
        return false;
    }
    let ran =
        (task.running_since).map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
    let rest = job.spec.estimate.saturating_sub(ran);
    let is_likely_late =
        task.running_since.is_none() || rest > remaining.mul_f64(LIKELY_LATE_FACTOR);
    let keeps_progress =
        !job.spec.checkpoint_interval.is_zero() || job.spec.job_kind == JobKind::Service;
    // A task that cannot save its progress may end earlier than estimated. Stopping it pays only if it has hardly begun
    // or has no chance to end in time.
    let loses_little = ran < NEGLIGIBLE_RUN_TIME || rest > remaining * CERTAINLY_LATE_FACTOR;
    is_likely_late && (keeps_progress || loses_little)
}

impl Core {
    /// Stops the tasks that are unlikely to end before their machine is reclaimed.
    pub(super) fn move_tasks_off_reclaimed(&mut self) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let jobs = &self.store_cache.jobs;
        let mut moved: Vec<(MachineId, TaskId)> = Vec::new();
        for machine in leader.machines.values() {
            let Some(reclaim_at) = machine.reclaim_at else {
                continue;
            };
            let remaining = reclaim_at.saturating_duration_since(now);
            let tasks = machine.tasks.iter().filter(|(key, task)| {
                let job = jobs.get(&key.job);
                job.is_some_and(|job| should_move(task, job, remaining, now))
            });
            moved.extend(tasks.map(|(key, _)| (machine.id.clone(), key.clone())));
        }
        for (id, key) in moved {
            if let Some(machine) = leader.machines.get_mut(&id)
                && let Some(task) = machine.tasks.get_mut(&key)
            {
                task.stop(StopReason::Reclamation, now);
                machine.needs_push = true;
            }
        }
    }
}
