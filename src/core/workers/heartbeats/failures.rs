//! Failures of tasks: held against the job while it has never succeeded, and otherwise against the machine.

use crate::core::Core;
use crate::core::leadership::state::LeaderState;
use crate::core::machines::machine::Machine;
use crate::fault_injection::{Safeguard, is_enabled};
use crate::job::{JobId, MachineId, TaskId};
use std::time::Duration;

/// A machine on which a task failed gets no task for twice this, doubled with each consecutive failure up to
/// `MAX_AVOIDANCE_DOUBLINGS` times, so that work waits for it no longer than a minute and a half.
const INITIAL_AVOIDANCE: Duration = Duration::from_secs(5);
const MAX_AVOIDANCE_DOUBLINGS: u32 = 3;
/// The bound on doublings where `MAX_AVOIDANCE_DOUBLINGS` is switched off for a test.
const MAX_DOUBLINGS_WITHOUT_SAFEGUARD: u32 = 10;
/// A failed task waits this long before it starts again, doubled with each failure of its job.
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
    /// How long a failed task of this job waits before it starts again: ever longer, while no task of the job
    /// has succeeded.
    pub(in crate::core) fn retry_delay(&self, job: &JobId) -> Duration {
        let run = (self.leader.as_ref()).and_then(|leader| leader.job_runs.get(job));
        let failures: u32 = run
            .filter(|run| !run.succeeded)
            .map_or(0, |run| run.failures.values().sum());
        Duration::from_millis(INITIAL_RETRY_DELAY_MS << failures.min(MAX_RETRY_DOUBLINGS))
    }

    /// The task's program has failed on the machine.
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
        // A job that has failed on several machines and succeeded on none is itself the likely cause: the machines
        // it was tried on are cleared of its failures.
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

    /// Whether a machine is to be replaced: work of several jobs failed on it with no success in between, or
    /// repeatedly where one of those jobs succeeded elsewhere, or its tasks are much too slow.
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
