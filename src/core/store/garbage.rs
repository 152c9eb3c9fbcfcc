//! Decides whether a key that seems to be obsolete may be deleted: a done range or a part whose job has ended, or a part
//! that no job refers to.
//!
//! The copy may lack what the store holds, for example a job's key that has just been written. A deletion is therefore
//! conditional on the job's key, unless the job has ended, which is final.

use crate::core::store::cache::StoreCache;
use crate::core::store::keys::{PartGeneration, StoreKey, job_key};
use crate::wire::Condition;

/// Whether an obsolete key may be deleted.
#[derive(Clone, Debug, PartialEq)]
pub enum Deletion {
    /// It may be deleted, if the condition holds in the store.
    Allowed(Option<Condition>),
    /// It cannot be decided yet.
    Undecided,
    /// The store does not hold the key, or a job refers to it.
    Unnecessary,
}

impl StoreCache {
    /// Returns whether a key that was found to be obsolete may be deleted now.
    pub fn deletion_of(&self, key: &str) -> Deletion {
        if self.versions.of(key) == 0 {
            return Deletion::Unnecessary;
        }
        match StoreKey::parse(key) {
            Some(StoreKey::DoneRange { job, .. }) if self.ended_jobs.contains(job) => {
                self.deletion_after_end(job)
            }
            Some(StoreKey::JobPart {
                job, generation, ..
            }) => self.deletion_of_part(job, generation),
            _ => Deletion::Unnecessary,
        }
    }

    /// The store may still hold the job as live until its end is written again.
    fn deletion_after_end(&self, job: &str) -> Deletion {
        if self.missing_from_store.contains(job) {
            Deletion::Undecided
        } else {
            Deletion::Allowed(None)
        }
    }

    fn deletion_of_part(&self, job: &str, generation: PartGeneration) -> Deletion {
        if self.ended_jobs.contains(job) {
            return self.deletion_after_end(job);
        }
        if self.parts.refers_to(job, generation) {
            return Deletion::Unnecessary;
        }
        // The job's key is being read, as its end may have been dropped from the copy.
        if self.unresolved_jobs.contains(job) {
            return Deletion::Undecided;
        }
        // If it is not known what the key of a live job refers to, its parts stay until it ends.
        if self.jobs.contains_key(job) && !self.parts.has_header(job) {
            return Deletion::Undecided;
        }
        let key = job_key(job);
        let version = self.versions.of(&key);
        Deletion::Allowed(Some(Condition { key, version }))
    }
}

#[cfg(test)]
mod tests;
