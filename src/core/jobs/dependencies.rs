//! The dependency graph of live jobs. No task of a job starts before all jobs that it depends on are
//! done, and the job is cancelled with any of them.
//!
//! The graph follows from two durable facts: the dependencies that a job was submitted with, and the
//! outcomes of these. So every node can derive it, also after a takeover and for jobs submitted later,
//! and it is not stored itself. A change costs time in proportion to the jobs downstream of it: a
//! reverse index leads to them, and each job has a count of its unfinished dependencies.

use crate::job::{JobId, JobOutcome};
use std::collections::{BTreeMap, BTreeSet};

/// Dependencies between live jobs, and the cancellations that follow from them.
#[derive(Default)]
pub struct DependencyGraph {
    /// Live dependents of each job that has not ended.
    dependents: BTreeMap<JobId, BTreeSet<JobId>>,
    /// Number of dependencies of each live job that are not done. A job without any has no entry.
    unfinished: BTreeMap<JobId, usize>,
    /// Live jobs that depend on a cancelled job, directly or transitively, each with the cancelled job.
    cancelled: BTreeMap<JobId, JobId>,
}

impl DependencyGraph {
    /// Adds a live job; `outcome_of` returns the outcome of a job that has ended. If one of its dependencies is cancelled,
    /// directly or with another job, returns the job and those of its dependents that are newly cancelled with it.
    pub fn add_job(
        &mut self,
        id: &JobId,
        dependencies: &[JobId],
        outcome_of: impl Fn(&JobId) -> Option<JobOutcome>,
    ) -> Vec<JobId> {
        let mut cancelled_with = None;
        for dependency in dependencies {
            match outcome_of(dependency) {
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

    /// Adds an unfinished dependency of a live job. It is counted once, even if the job names it repeatedly.
    fn add_unfinished(&mut self, id: &JobId, dependency: &JobId) {
        let dependents = self.dependents.entry(dependency.clone()).or_default();
        if dependents.insert(id.clone()) {
            *self.unfinished.entry(id.clone()).or_default() += 1;
        }
    }

    /// Removes an ended job. Returns the jobs that may start now or are cancelled with it.
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
        // Removed, so that a repeated report of the same end has no effect.
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

    /// Counts one dependency of a live job as done. Returns whether it was the last one.
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

    /// Marks a job and all its dependents as cancelled with another job. Returns those newly marked.
    /// Does not recurse, since chains of dependencies may be long.
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

    /// Returns all live jobs that depend on a job, directly or transitively.
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

    /// Returns the live jobs that depend directly on this one.
    pub fn dependents(&self, id: &JobId) -> impl Iterator<Item = &JobId> {
        self.dependents.get(id).into_iter().flatten()
    }

    /// Returns whether a live job waits for this dependency to be done.
    pub fn waits_for(&self, id: &JobId, dependency: &JobId) -> bool {
        let dependents = self.dependents.get(dependency);
        dependents.is_some_and(|dependents| dependents.contains(id))
    }

    /// Returns how many dependencies of a live job are not done.
    pub fn unfinished_dependencies(&self, id: &JobId) -> usize {
        self.unfinished.get(id).copied().unwrap_or(0)
    }

    /// Returns the cancelled job with which a live job is cancelled.
    pub fn cancelled_dependency(&self, id: &str) -> Option<&JobId> {
        self.cancelled.get(id)
    }
}

#[cfg(test)]
mod tests;
