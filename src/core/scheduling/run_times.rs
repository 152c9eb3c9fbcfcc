//! How long tasks take: estimates corrected by experience, and experience recorded.

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

/// A task that has been asked to stop is expected to end after this.
const STOPPING_TIME: Duration = Duration::from_secs(1);
/// Shorter run times count as this long in comparisons, in seconds.
const MIN_COMPARED_RUNTIME_S: f64 = 0.1;

impl Core {
    /// Expected run time of a job's tasks: its user's estimate, corrected by how the class's
    /// estimates have held so far.
    pub(super) fn expected_runtime(&self, leader: &LeaderState, job: &JobRecord) -> Duration {
        let ratio = leader.scheduler.runtime_ratios.get(&job.spec.class);
        let factor = ratio.map_or(1.0, RuntimeRatio::factor);
        job.spec.estimate.mul_f64(factor)
    }

    /// Expected time to a task's end; `None` for services and overruns.
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

    /// Records that a task of a machine has run to its end.
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
        ratio.note(ran_s, estimate_s);
        let Some(run) = leader.job_runs.get_mut(&task.job) else {
            return;
        };
        let deviation = record_log_run_time(run, ran_s);
        if let (Some(m), Some(deviation)) = (leader.machines.get_mut(machine), deviation) {
            m.fault_history.slowness.record(deviation);
        }
    }
}

/// Adds a run time to those of its job. Returns by how much its logarithm deviates from their
/// average before: tasks of one job differ among themselves, so a machine is compared with its
/// peers only by the average of many.
fn record_log_run_time(run: &mut JobRun, ran_s: f64) -> Option<f64> {
    let log_run_time = ran_s.max(MIN_COMPARED_RUNTIME_S).ln();
    let average = run.run_times.mean();
    run.run_times.add(log_run_time);
    average.map(|average| log_run_time - average)
}
