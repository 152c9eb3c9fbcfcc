//! Records of the workers: which task ran where, and how each run ended. Violations are detected as the events
//! are recorded.

use hdrhistogram::Histogram;
use roaring::RoaringBitmap;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Sets of the indices of a job's tasks, filled by the workers only.
#[derive(Default)]
struct TaskSets {
    /// Tasks that are running.
    running: RoaringBitmap,
    /// Tasks that have started at least once.
    started: RoaringBitmap,
    /// Tasks that have completed.
    completed: RoaringBitmap,
}

/// Records of all tasks that workers run.
#[derive(Default)]
pub struct Records {
    jobs: BTreeMap<String, TaskSets>,
    /// Descriptions of violations, such as a task that runs on two machines.
    pub violations: Vec<String>,
    /// Number of task starts.
    pub starts: u64,
    /// Number of starts of tasks that had started before, for example because their machine was lost.
    pub restarts: u64,
    /// Number of runs that ended without a result.
    pub lost_runs: u64,
    /// CPU seconds of completed runs, by zone.
    pub work: BTreeMap<String, f64>,
    /// Time from submission to the first start of a task, by class, in milliseconds.
    pub waits: BTreeMap<String, Histogram<u64>>,
    /// Class and submission time of each job.
    submitted: BTreeMap<String, (String, Instant)>,
}

/// Returns an empty histogram of times up to one hour, in milliseconds, with three significant digits.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(3_600_000, 3).expect("bounds are valid")
}

/// Summary of a distribution of times.
#[derive(Serialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50_ms: u64,
    /// 95th percentile.
    pub p95_ms: u64,
    /// Maximum.
    pub max_ms: u64,
}

/// Returns the quantiles of a histogram of milliseconds.
pub fn quantiles(h: &Histogram<u64>) -> Quantiles {
    Quantiles {
        count: h.len(),
        p50_ms: h.value_at_quantile(0.5),
        p95_ms: h.value_at_quantile(0.95),
        max_ms: h.max(),
    }
}

impl Records {
    /// Records that a user submits a job of this class.
    pub fn record_submission(&mut self, job: &str, class: &str) {
        self.submitted
            .insert(job.into(), (class.into(), Instant::now()));
    }

    /// Records that a task, with its image fetched, starts to run on a machine.
    pub fn record_start(&mut self, job: &str, task: u32, machine: &str) {
        let Some((class, at)) = self.submitted.get(job) else {
            self.violations
                .push(format!("{job}/{task} started on {machine}: no such job"));
            return;
        };
        let tasks = self.jobs.entry(job.into()).or_default();
        if !tasks.running.insert(task) {
            self.violations.push(format!(
                "{job}/{task} started on {machine} while on another machine"
            ));
        }
        if tasks.completed.contains(task) {
            // Permitted, but counted: if a machine is lost before it has reported the end of a task, the task is
            // started again.
            self.restarts += 1;
        } else if !tasks.started.insert(task) {
            self.restarts += 1;
        } else {
            let waited = at.elapsed().as_millis() as u64;
            let h = self.waits.entry(class.clone()).or_insert_with(histogram);
            h.saturating_record(waited);
        }
        self.starts += 1;
    }

    /// Records that a task no longer runs; `completed` has its run time and CPUs, or is `None` for a run without
    /// a result.
    pub fn record_end(
        &mut self,
        job: &str,
        task: u32,
        zone: &str,
        completed: Option<(Duration, f64)>,
    ) {
        let tasks = self.jobs.entry(job.into()).or_default();
        tasks.running.remove(task);
        match completed {
            Some((ran, cpus)) => {
                tasks.completed.insert(task);
                *self.work.entry(zone.into()).or_default() += ran.as_secs_f64() * cpus;
            }
            None => self.lost_runs += 1,
        }
    }

    /// Returns the number of running tasks.
    pub fn running_tasks(&self) -> u64 {
        self.jobs.values().map(|tasks| tasks.running.len()).sum()
    }

    /// Returns the number of tasks of a job that have completed.
    pub fn completed_tasks(&self, job: &str) -> u64 {
        self.jobs.get(job).map_or(0, |tasks| tasks.completed.len())
    }
}

#[cfg(test)]
mod tests;
