//! Who awaits whom. A job that names others starts nothing before all of them are done, and is
//! cancelled with any of them.
//!
//! All of it follows from two durable facts: what a job was submitted with, and how the jobs that
//! it names have ended. So every node knows it, after any takeover and for what is submitted
//! later, without anything more being written. A change costs what is downstream of it: a reverse
//! index leads there, and each job has a count of what it still waits for.

use crate::job::{JobId, JobOutcome};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Default)]
pub struct DependencyGraph {
    /// Live jobs, by each job that they await and that is not over.
    dependents: BTreeMap<JobId, BTreeSet<JobId>>,
    /// How many of the jobs that a live job awaits are not done. Not listed: none.
    unfinished: BTreeMap<JobId, usize>,
    /// Live jobs that need a cancelled one, directly or through others, and which.
    cancelled: BTreeMap<JobId, JobId>,
}

impl DependencyGraph {
    /// A job is live; returns the jobs that need it and are cancelled with it, itself included.
    pub fn begin(
        &mut self,
        id: &JobId,
        dependencies: &[JobId],
        finished: &BTreeMap<JobId, JobOutcome>,
    ) -> Vec<JobId> {
        let mut root = None;
        for a in dependencies {
            match finished.get(a) {
                Some(JobOutcome::Done) => {}
                Some(JobOutcome::Cancelled) => root = Some(a.clone()),
                None => {
                    if let Some(r) = self.cancelled.get(a) {
                        root = Some(r.clone());
                    }
                    if self
                        .dependents
                        .entry(a.clone())
                        .or_default()
                        .insert(id.clone())
                    {
                        *self.unfinished.entry(id.clone()).or_default() += 1;
                    }
                }
            }
        }
        match root {
            Some(root) => self.cancel_downstream(id, &root),
            None => Vec::new(),
        }
    }

    /// A job is over; returns the jobs that may start now, or are cancelled with it.
    pub fn end(&mut self, id: &JobId, dependencies: &[JobId], end: JobOutcome) -> Vec<JobId> {
        self.unfinished.remove(id);
        self.cancelled.remove(id);
        for a in dependencies {
            if let Some(jobs) = self.dependents.get_mut(a) {
                jobs.remove(id);
                if jobs.is_empty() {
                    self.dependents.remove(a);
                }
            }
        }
        // Taken out: being told of the end once more counts nothing twice.
        let jobs = self.dependents.remove(id).unwrap_or_default();
        let mut changed = Vec::new();
        for job in jobs {
            match end {
                JobOutcome::Cancelled => changed.extend(self.cancel_downstream(&job, id)),
                JobOutcome::Done => {
                    if let Some(n) = self.unfinished.get_mut(&job) {
                        *n -= 1;
                        if *n == 0 {
                            self.unfinished.remove(&job);
                            changed.push(job);
                        }
                    }
                }
            }
        }
        changed
    }

    /// A job and all that needs it are cancelled with `root`. Chains may be long: no recursion.
    fn cancel_downstream(&mut self, id: &JobId, root: &JobId) -> Vec<JobId> {
        let mut changed = Vec::new();
        let mut next = vec![id.clone()];
        while let Some(job) = next.pop() {
            if self.cancelled.contains_key(&job) {
                continue;
            }
            self.cancelled.insert(job.clone(), root.clone());
            next.extend(self.dependents(&job).cloned());
            changed.push(job);
        }
        changed
    }

    /// All that needs a job, directly or through others.
    pub fn all_dependents(&self, id: &JobId) -> BTreeSet<JobId> {
        let mut found = BTreeSet::new();
        let mut next: Vec<&JobId> = self.dependents(id).collect();
        while let Some(job) = next.pop() {
            if found.insert(job.clone()) {
                next.extend(self.dependents(job));
            }
        }
        found
    }

    /// Live jobs that name this one.
    pub fn dependents(&self, id: &JobId) -> impl Iterator<Item = &JobId> {
        self.dependents.get(id).into_iter().flatten()
    }

    /// How many of the jobs that a live job awaits are not done.
    pub fn unfinished_dependencies(&self, id: &JobId) -> usize {
        self.unfinished.get(id).copied().unwrap_or(0)
    }

    /// The cancelled job with which a live one is cancelled.
    pub fn cancelled_dependency(&self, id: &str) -> Option<&JobId> {
        self.cancelled.get(id)
    }
}

#[cfg(test)]
mod tests;
