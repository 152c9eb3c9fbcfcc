//! The workers' own records: what started where and what came of it, checked as it happens.

use hdrhistogram::Histogram;
use roaring::RoaringBitmap;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The tasks of one job, by index, from the workers alone.
#[derive(Default)]
struct TaskSets {
    /// On a machine now.
    running: RoaringBitmap,
    /// Ever started.
    started: RoaringBitmap,
    /// Completed.
    completed: RoaringBitmap,
}

/// What workers record of the tasks that they run.
#[derive(Default)]
pub struct Records {
    jobs: BTreeMap<String, TaskSets>,
    /// Rules broken, in words.
    pub violations: Vec<String>,
    /// Starts of tasks.
    pub starts: u64,
    /// Starts of tasks that had started before, as their machine was lost or they were stopped.
    pub restarts: u64,
    /// Runs that ended without a result.
    pub lost_runs: u64,
    /// CPU seconds of completed runs, by zone.
    pub work: BTreeMap<String, f64>,
    /// From submission to start, by class, in milliseconds.
    pub waits: BTreeMap<String, Histogram<u64>>,
    /// The class of each job, and when it was submitted.
    submitted: BTreeMap<String, (String, Instant)>,
}

/// Times up to an hour, in milliseconds, to three digits.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(3_600_000, 3).expect("fixed bounds")
}

/// A distribution of times, in short.
#[derive(Serialize)]
pub struct Quantiles {
    /// How many times there are.
    pub count: u64,
    /// The median.
    pub p50_ms: u64,
    /// The 95th percentile.
    pub p95_ms: u64,
    /// The longest.
    pub max_ms: u64,
}

/// The quantiles of a histogram of milliseconds.
pub fn quantiles(h: &Histogram<u64>) -> Quantiles {
    Quantiles {
        count: h.len(),
        p50_ms: h.value_at_quantile(0.5),
        p95_ms: h.value_at_quantile(0.95),
        max_ms: h.max(),
    }
}

impl Records {
    /// A user submits a job of this class.
    pub fn record_submission(&mut self, job: &str, class: &str) {
        self.submitted
            .insert(job.into(), (class.into(), Instant::now()));
    }

    /// A task holds its image and runs on this machine from now on.
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
            // Allowed: its end was not reported before its machine was lost. It is counted.
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

    /// It is not on the machine any more.
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

    /// Tasks that are on machines now.
    pub fn running_tasks(&self) -> u64 {
        self.jobs.values().map(|tasks| tasks.running.len()).sum()
    }

    /// How many tasks of a job completed.
    pub fn completed_tasks(&self, job: &str) -> u64 {
        self.jobs.get(job).map_or(0, |tasks| tasks.completed.len())
    }
}

#[cfg(test)]
mod tests;
