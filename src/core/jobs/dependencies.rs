//! The dependency graph of live jobs. A job that names others starts nothing before all of them
//! are done, and is cancelled with any of them.
//!
//! All of it follows from two durable facts: what a job was submitted with, and how the jobs that
//! it names have ended. So every node knows it, after any takeover and for what is submitted
//! later, without anything more being written. A change costs what is downstream of it: a reverse
//! index leads there, and each job has a count of what it still waits for.

use crate::job::{JobId, JobOutcome};
use std::collections::{BTreeMap, BTreeSet};

/// Which live jobs wait for which others, and which are cancelled with one.
#[derive(Default)]
pub struct DependencyGraph {
    /// Live jobs, by each job that they depend on and that is not over.
    dependents: BTreeMap<JobId, BTreeSet<JobId>>,
    /// How many dependencies of a live job are not done. Not listed: none.
    unfinished: BTreeMap<JobId, usize>,
    /// Live jobs that depend on a cancelled one, directly or through others, and on which.
    cancelled: BTreeMap<JobId, JobId>,
}

impl DependencyGraph {
    /// A job is live; returns the jobs that depend on it and are cancelled with it, itself included.
    pub fn add_job(
        &mut self,
        id: &JobId,
        dependencies: &[JobId],
        finished: &BTreeMap<JobId, JobOutcome>,
    ) -> Vec<JobId> {
        let mut cancelled_with = None;
        for dependency in dependencies {
            match finished.get(dependency) {
                Some(JobOutcome::Done) => {}
                Some(JobOutcome::Cancelled) => cancelled_with = Some(dependency.clone()),
                None => {
                    if let Some(cancelled) = self.cancelled.get(dependency) {
                        cancelled_with = Some(cancelled.clone());
                    }
                    self.add_unfinished(id, dependency);
                }
            }
        }
        match cancelled_with {
            Some(cancelled) => self.cancel_downstream(id, &cancelled),
            None => Vec::new(),
        }
    }

    /// A live job waits for another; counted once, however often it is named.
    fn add_unfinished(&mut self, id: &JobId, dependency: &JobId) {
        let dependents = self.dependents.entry(dependency.clone()).or_default();
        if dependents.insert(id.clone()) {
            *self.unfinished.entry(id.clone()).or_default() += 1;
        }
    }

    /// A job is over; returns the jobs that may start now, or are cancelled with it.
    pub fn remove_job(
        &mut self,
        id: &JobId,
        dependencies: &[JobId],
        outcome: JobOutcome,
    ) -> Vec<JobId> {
        self.unfinished.remove(id);
        self.cancelled.remove(id);
        for dependency in dependencies {
            self.remove_dependent(dependency, id);
        }
        // Taken out: the same end reported once more counts nothing twice.
        let dependents = self.dependents.remove(id).unwrap_or_default();
        let mut changed = Vec::new();
        for dependent in dependents {
            match outcome {
                JobOutcome::Cancelled => changed.extend(self.cancel_downstream(&dependent, id)),
                JobOutcome::Done => {
                    if self.dependency_done(&dependent) {
                        changed.push(dependent);
                    }
                }
            }
        }
        changed
    }

    fn remove_dependent(&mut self, dependency: &JobId, id: &JobId) {
        if let Some(dependents) = self.dependents.get_mut(dependency) {
            dependents.remove(id);
            if dependents.is_empty() {
                self.dependents.remove(dependency);
            }
        }
    }

    /// One dependency of a live job is done; says whether it was the last one.
    fn dependency_done(&mut self, id: &JobId) -> bool {
        let Some(unfinished) = self.unfinished.get_mut(id) else {
            return false;
        };
        *unfinished -= 1;
        if *unfinished > 0 {
            return false;
        }
        self.unfinished.remove(id);
        true
    }

    /// A job and all that depends on it are cancelled with another one; returns those that were not
    /// before. Chains may be long: no recursion.
    fn cancel_downstream(&mut self, id: &JobId, cancelled_with: &JobId) -> Vec<JobId> {
        let mut changed = Vec::new();
        let mut next = vec![id.clone()];
        while let Some(job) = next.pop() {
            if self.cancelled.contains_key(&job) {
                continue;
            }
            self.cancelled.insert(job.clone(), cancelled_with.clone());
            next.extend(self.dependents(&job).cloned());
            changed.push(job);
        }
        changed
    }

    /// All that depends on a job, directly or through others.
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

    /// How many dependencies of a live job are not done.
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
