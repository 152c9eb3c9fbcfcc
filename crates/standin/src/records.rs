//! The workers' own records: what started where and what came of it, checked as it happens.

use hdrhistogram::Histogram;
use roaring::RoaringBitmap;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// What is known of one job from the workers alone.
#[derive(Default)]
struct Rows {
    /// Rows that are on a machine now, that ever started, and that completed.
    present: RoaringBitmap,
    started: RoaringBitmap,
    done: RoaringBitmap,
}

#[derive(Default)]
pub struct Records {
    jobs: BTreeMap<String, Rows>,
    /// Rules broken, in words.
    pub broken: Vec<String>,
    pub starts: u64,
    /// Starts of rows that had started before, as their machine was lost or they were stopped.
    pub again: u64,
    pub lost: u64,
    /// CPU seconds of completed runs, by zone.
    pub work: BTreeMap<String, f64>,
    /// From submission to start, by class, in milliseconds.
    pub waits: BTreeMap<String, Histogram<u64>>,
    submitted: BTreeMap<String, (String, Instant)>,
}

pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(3_600_000, 3).expect("fixed bounds")
}

#[derive(Serialize)]
pub struct Quantiles {
    pub count: u64,
    pub p50_ms: u64,
    pub p95_ms: u64,
    pub max_ms: u64,
}

pub fn quantiles(h: &Histogram<u64>) -> Quantiles {
    Quantiles {
        count: h.len(),
        p50_ms: h.value_at_quantile(0.5),
        p95_ms: h.value_at_quantile(0.95),
        max_ms: h.max(),
    }
}

impl Records {
    pub fn submitted(&mut self, job: &str, class: &str) {
        self.submitted
            .insert(job.into(), (class.into(), Instant::now()));
    }

    /// A task holds its image and runs on this machine from now on.
    pub fn start(&mut self, job: &str, row: u32, machine: &str) {
        let Some((class, at)) = self.submitted.get(job) else {
            self.broken
                .push(format!("{job}/{row} started on {machine}: no such job"));
            return;
        };
        let rows = self.jobs.entry(job.into()).or_default();
        if !rows.present.insert(row) {
            self.broken.push(format!(
                "{job}/{row} started on {machine} while on another machine"
            ));
        }
        if rows.done.contains(row) {
            // Allowed: its end was not told before its machine was lost. It is counted.
            self.again += 1;
        } else if !rows.started.insert(row) {
            self.again += 1;
        } else {
            let waited = at.elapsed().as_millis() as u64;
            let h = self.waits.entry(class.clone()).or_insert_with(histogram);
            h.saturating_record(waited);
        }
        self.starts += 1;
    }

    /// It is not on the machine any more.
    pub fn leave(&mut self, job: &str, row: u32, zone: &str, done: Option<(Duration, f64)>) {
        let rows = self.jobs.entry(job.into()).or_default();
        rows.present.remove(row);
        match done {
            Some((ran, cpus)) => {
                rows.done.insert(row);
                *self.work.entry(zone.into()).or_default() += ran.as_secs_f64() * cpus;
            }
            None => self.lost += 1,
        }
    }

    /// Tasks that are on machines now.
    pub fn present(&self) -> u64 {
        self.jobs.values().map(|rows| rows.present.len()).sum()
    }

    /// Rows of a job that completed.
    pub fn done(&self, job: &str) -> u64 {
        self.jobs.get(job).map_or(0, |r| r.done.len())
    }
}

#[cfg(test)]
mod tests;
