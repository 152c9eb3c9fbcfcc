//! Tasks moved off machines that the cloud has given notice to reclaim.

use crate::core::Core;
use crate::core::machines::placement::{Placement, StopReason};
use crate::core::store::cache::JobRecord;
use crate::job::{JobKind, MachineId, TaskId};
use std::time::{Duration, Instant};

/// A task that cannot save its progress and has run for less than this loses next to nothing by a stop.
const NEGLIGIBLE_RUN_TIME: Duration = Duration::from_secs(5);
/// A task is expected not to end in time if it needs this many times what is left.
const LIKELY_LATE_FACTOR: f64 = 1.5;
/// A task that cannot save its progress is stopped only if it needs this many times what is left.
const CERTAINLY_LATE_FACTOR: u32 = 3;

/// Whether a task is better stopped now, to save its progress or to restart elsewhere, than left on a
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
    // What cannot save its progress may be lucky and end in time; stopping it early only pays where it
    // has hardly begun.
    let loses_little = ran < NEGLIGIBLE_RUN_TIME || rest > remaining * CERTAINLY_LATE_FACTOR;
    is_likely_late && (keeps_progress || loses_little)
}

impl Core {
    /// Stops work that will not end before its machine is reclaimed.
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
