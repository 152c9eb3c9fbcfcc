//! Restart of gangs that have lost a task.

use crate::core::Core;
use crate::core::machines::placement::StopReason;
use crate::job::JobKind;

impl Core {
    /// Stops the remaining tasks of gangs that have lost a task, so that each gang restarts as a whole.
    pub(super) fn restart_broken_gangs(&mut self) {
        let now = self.now.mono;
        let leader = self.leader.as_ref();
        if leader.is_some_and(|leader| !self.may_start_tasks(leader)) {
            return;
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        for (id, job) in &self.store_cache.jobs {
            if job.spec.job_kind != JobKind::Gang || Self::blocked_by_recovery(leader, job) {
                continue;
            }
            let Some(run) = leader.job_runs.get(id) else {
                continue;
            };
            if run.tasks.queued().is_empty() || run.ending.is_some() {
                continue;
            }
            run.stop_assigned(id, &mut leader.machines, StopReason::GangRestart, now);
        }
    }
}
