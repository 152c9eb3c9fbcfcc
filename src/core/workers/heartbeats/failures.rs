//! Failures of tasks. They are attributed to the job if it has failed on several machines and never succeeded, and
//! otherwise to the machine.

use crate::core::Core;
use crate::core::leadership::state::LeaderState;
use crate::core::machines::machine::Machine;
use crate::fault_injection::{Safeguard, is_enabled};
use crate::job::{JobId, MachineId, TaskId};
use std::time::Duration;

/// Basis of the time for which a machine gets no tasks after a failure. It is doubled with each consecutive failure,
/// including the first.
const INITIAL_AVOIDANCE: Duration = Duration::from_secs(5);
/// Maximum number of times that `INITIAL_AVOIDANCE` is doubled, so that work waits no longer than a minute and a half
/// for the machine.
const MAX_AVOIDANCE_DOUBLINGS: u32 = 3;
/// Replacement for `MAX_AVOIDANCE_DOUBLINGS` in tests that disable `Safeguard::AvoidanceLimit`.
const MAX_DOUBLINGS_WITHOUT_SAFEGUARD: u32 = 10;
/// Basis of the delay in milliseconds before a failed task is started again, doubled with each failure of its job.
const INITIAL_RETRY_DELAY_MS: u64 = 250;
const MAX_RETRY_DOUBLINGS: u32 = 7;

impl LeaderState {
    fn is_suspect(&self, job: &JobId) -> bool {
        self.job_runs.get(job).is_some_and(|run| run.is_suspect())
    }

    fn has_succeeded(&self, job: &JobId) -> bool {
        self.job_runs.get(job).is_some_and(|run| run.succeeded)
    }
}

impl Core {
    /// Returns the delay before a failed task of this job is started again. It grows with each failure as long as no
    /// task of the job has succeeded.
    pub(in crate::core) fn retry_delay(&self, job: &JobId) -> Duration {
        let run = (self.leader.as_ref()).and_then(|leader| leader.job_runs.get(job));
        let failures: u32 = run
            .filter(|run| !run.succeeded)
            .map_or(0, |run| run.failures.values().sum());
        Duration::from_millis(INITIAL_RETRY_DELAY_MS << failures.min(MAX_RETRY_DOUBLINGS))
    }

    /// Records that the task's program failed on the machine.
    pub(super) fn record_task_failure(&mut self, id: &MachineId, key: &TaskId) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(run) = leader.job_runs.get_mut(&key.job) else {
            return;
        };
        *run.failures.entry(id.clone()).or_default() += 1;
        tracing::warn!(task = %key, machine = %id, "task failed");
        run.record_retry_failure(now);
        // A job that has failed on several machines and succeeded on none is probably faulty itself. Its failures no
        // longer count against these machines.
        if run.is_suspect() {
            for id in run.failures.keys() {
                if let Some(machine) = leader.machines.get_mut(id) {
                    machine.fault_history.clear_failures_of(&key.job);
                }
            }
            return;
        }
        let Some(machine) = leader.machines.get_mut(id) else {
            return;
        };
        let history = &mut machine.fault_history;
        history.failures += 1;
        history.failed_jobs.insert(key.job.clone());
        let max_doublings = if is_enabled(Safeguard::AvoidanceLimit) {
            MAX_AVOIDANCE_DOUBLINGS
        } else {
            MAX_DOUBLINGS_WITHOUT_SAFEGUARD
        };
        let avoidance = INITIAL_AVOIDANCE * 2u32.pow(history.failures.min(max_doublings));
        history.avoid_until = Some(now + avoidance);
    }

    /// Returns whether a machine should be replaced: tasks of several jobs that are not suspect failed on it with no
    /// success in between, or tasks failed on it at least three times and one of their jobs has succeeded elsewhere,
    /// or its tasks run much too slowly.
    pub(in crate::core) fn is_faulty(&self, machine: &Machine) -> bool {
        let Some(leader) = &self.leader else {
            return false;
        };
        let history = &machine.fault_history;
        let jobs = &history.failed_jobs;
        let credible_jobs = jobs.iter().filter(|job| !leader.is_suspect(job)).count();
        let failed_several_jobs = credible_jobs >= 2 && history.failures >= 2;
        let failed_proven_job = credible_jobs >= 1
            && history.failures >= 3
            && jobs.iter().any(|job| leader.has_succeeded(job));
        failed_several_jobs || failed_proven_job || history.slowness.is_faulty()
    }
}
