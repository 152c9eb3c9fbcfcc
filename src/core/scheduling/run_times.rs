//! Expected run times of tasks: users' estimates, corrected by the recorded run times of earlier tasks.

use crate::core::Core;
use crate::core::jobs::job_run::JobRun;
use crate::core::jobs::statistics::RuntimeRatio;
use crate::core::leadership::state::LeaderState;
use crate::core::machines::machine::Machine;
use crate::core::machines::placement::Placement;
use crate::core::store::cache::JobRecord;
use crate::job::{MachineId, TaskId};
use crate::planning::cluster_snapshot::fetch_seconds;
use std::time::Duration;

/// Expected time to the end of a task that is being stopped.
const STOPPING_TIME: Duration = Duration::from_secs(1);
/// Minimum run time in comparisons, in seconds, to which shorter ones are raised.
const MIN_COMPARED_RUNTIME_S: f64 = 0.1;

impl Core {
    /// Returns the expected run time of a job's tasks: the user's estimate, corrected by the ratio of actual run times
    /// to estimates in the job's class.
    pub(super) fn expected_runtime(&self, leader: &LeaderState, job: &JobRecord) -> Duration {
        let ratio = leader.scheduler.runtime_ratios.get(&job.spec.class);
        let factor = ratio.map_or(1.0, RuntimeRatio::factor);
        job.spec.estimate.mul_f64(factor)
    }

    /// Returns the expected time to a task's end, or `None` for services and for tasks that have exceeded their
    /// expected run time.
    pub(super) fn time_to_end(
        &self,
        leader: &LeaderState,
        machine: &Machine,
        task: &TaskId,
        placement: &Placement,
    ) -> Option<Duration> {
        if placement.stopping.is_some() {
            return Some(STOPPING_TIME);
        }
        let now = self.now.mono;
        let job = self.store_cache.jobs.get(&task.job)?;
        if job.spec.estimate.is_zero() {
            return None;
        }
        let runtime = self.expected_runtime(leader, job);
        if let Some(since) = placement.running_since {
            return runtime.checked_sub(now.saturating_duration_since(since));
        }
        let machine_type = self.type_of(&machine.machine_type);
        let fetch_rate = machine_type.map_or(1.0, |t| t.fetch_gb_per_s);
        let fetch_s = fetch_seconds(job.spec.image_gb, fetch_rate);
        let waited = now.saturating_duration_since(placement.since);
        Some(runtime + Duration::from_secs_f64(fetch_s).saturating_sub(waited))
    }

    /// Records the run time of a task that has run to its end on a machine.
    pub(in crate::core) fn record_run_time(
        &mut self,
        machine: &MachineId,
        task: &TaskId,
        ran: Option<Duration>,
    ) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let (Some(job), Some(ran)) = (self.store_cache.jobs.get(&task.job), ran) else {
            return;
        };
        let estimate_s = job.spec.estimate.as_secs_f64();
        if estimate_s <= 0.0 {
            return;
        }
        let ran_s = ran.as_secs_f64();
        let class = job.spec.class.clone();
        let ratio = leader.scheduler.runtime_ratios.entry(class).or_default();
        ratio.record(ran_s, estimate_s);
        let Some(run) = leader.job_runs.get_mut(&task.job) else {
            return;
        };
        let deviation = record_log_run_time(run, ran_s);
        if let (Some(m), Some(deviation)) = (leader.machines.get_mut(machine), deviation) {
            m.fault_history.slowness.record(deviation);
        }
    }
}

/// Adds a run time to those of its job. Returns the deviation of its logarithm from the job's previous average, once
/// there is one. A single deviation says little about the machine, as the tasks of a job differ among themselves; only
/// the average of many does.
fn record_log_run_time(run: &mut JobRun, ran_s: f64) -> Option<f64> {
    let log_run_time = ran_s.max(MIN_COMPARED_RUNTIME_S).ln();
    let average = run.run_times.mean();
    run.run_times.add(log_run_time);
    average.map(|average| log_run_time - average)
}
