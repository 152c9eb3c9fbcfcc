//! Ends of jobs that the copy of the store holds.
//!
//! The store keeps the end of every job that was ever accepted. The copy keeps those that it has received last, as news
//! or by a read, within a limit on their memory; any other end is read from the store when it is needed.

use crate::job::{JobId, JobOutcome};
use crate::settings::Settings;
use std::collections::BTreeMap;
use std::ops::Bound;

/// Estimated memory of an end beside the characters of the job's id: the entries of both maps and the allocation of
/// the id, in bytes.
const ENTRY_BYTES: usize = 160;
/// Share of the configured memory that the ends of jobs may take in the copy. A list of the store that is being read may
/// take as much again.
const MEMORY_SHARE: f64 = 0.05;

/// Returns how much memory the ends of jobs may take in the copy of the store, in bytes.
pub fn max_ended_job_bytes(settings: &Settings) -> usize {
    (settings.memory_mb * 1e6 * MEMORY_SHARE) as usize
}

/// Ends of jobs, within a limit on their memory.
#[derive(Debug)]
pub struct EndedJobs {
    jobs: BTreeMap<JobId, EndedJob>,
    /// Jobs whose end may be dropped, in the order in which the ends were received.
    by_sequence: BTreeMap<u64, JobId>,
    next_sequence: u64,
    /// Estimated memory of the ends.
    bytes: usize,
    max_bytes: usize,
    /// Number of ends that the store holds and this copy has dropped.
    dropped: u64,
    /// Every end that the store holds with a newer version than this is in the copy; 0 if no end was dropped.
    dropped_up_to: u64,
}

/// End of a job.
#[derive(Clone, Copy, Debug)]
struct EndedJob {
    outcome: JobOutcome,
    /// Version of the job's key with this end; 0 if the store is not known to hold the end, which is not dropped then.
    version: u64,
    /// Place in the order in which the ends were received last.
    sequence: u64,
}

impl Default for EndedJobs {
    fn default() -> EndedJobs {
        EndedJobs::with_limit(usize::MAX)
    }
}

impl EndedJobs {
    /// Creates an empty set whose ends may take up to `max_bytes` bytes of memory.
    pub fn with_limit(max_bytes: usize) -> EndedJobs {
        EndedJobs {
            jobs: BTreeMap::new(),
            by_sequence: BTreeMap::new(),
            next_sequence: 0,
            bytes: 0,
            max_bytes,
            dropped: 0,
            dropped_up_to: 0,
        }
    }

    /// Sets the limit on the memory of the ends, which applies from the next change of the copy on.
    #[cfg(test)]
    pub fn set_limit(&mut self, max_bytes: usize) {
        self.max_bytes = max_bytes;
    }

    /// Returns the outcome of a job, if its end is in the copy.
    pub fn outcome(&self, id: &str) -> Option<JobOutcome> {
        self.jobs.get(id).map(|job| job.outcome)
    }

    /// Returns whether the end of a job is in the copy.
    pub fn contains(&self, id: &str) -> bool {
        self.jobs.contains_key(id)
    }

    /// Returns whether the copy holds no end.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the number of ends in the copy.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the number of ended jobs, including those whose end was dropped.
    pub fn total(&self) -> u64 {
        self.jobs.len() as u64 + self.dropped
    }

    /// Returns the ids of the jobs whose end is in the copy.
    pub fn ids(&self) -> impl Iterator<Item = &JobId> {
        self.jobs.keys()
    }

    /// Returns the ids within these bounds of the jobs whose end is in the copy.
    pub fn ids_between<'a>(
        &'a self,
        from: Bound<&str>,
        to: Bound<&str>,
    ) -> impl Iterator<Item = &'a JobId> {
        let jobs = self.jobs.range::<str, _>((from, to));
        jobs.map(|(id, _)| id)
    }

    /// Returns the version of an ended job's key; 0 if the store is not known to hold the end.
    pub fn version(&self, id: &str) -> u64 {
        self.jobs.get(id).map_or(0, |job| job.version)
    }

    /// Returns whether the ends take more memory than the limit, as the store does not hold all of them yet.
    pub fn is_over_limit(&self) -> bool {
        self.bytes > self.max_bytes
    }

    /// Returns whether the copy may lack ends that the store holds.
    pub fn is_partial(&self) -> bool {
        self.dropped_up_to > 0
    }

    /// Returns whether the copy may lack an end that the store holds with this version.
    pub fn may_lack(&self, version: u64) -> bool {
        version <= self.dropped_up_to
    }

    /// Records the end of a job. `version` is that of the job's key, or 0 if the store does not hold the end.
    pub fn insert(&mut self, id: &JobId, outcome: JobOutcome, version: u64) {
        let known = self.remove(id);
        if known.is_none() && version > 0 && self.may_lack(version) {
            self.dropped = self.dropped.saturating_sub(1);
        }
        match known {
            Some(known) if version == 0 => self.add(id.clone(), outcome, known.version),
            _ => self.add(id.clone(), outcome, version),
        }
    }

    /// Moves the end of a job to the end of the order, so that it is dropped later.
    pub fn touch(&mut self, id: &JobId) {
        if let Some(ended) = self.remove(id) {
            self.add(id.clone(), ended.outcome, ended.version);
        }
    }

    /// Records that the store does not hold the end of a job, which is kept until it has been written again.
    pub fn mark_unstored(&mut self, id: &JobId) {
        if let Some(ended) = self.remove(id) {
            self.add(id.clone(), ended.outcome, 0);
        }
    }

    /// Records which ends a full list of the store may lack, before its ends are inserted: `dropped` of them, none with a
    /// newer version than `dropped_up_to`.
    pub fn begin_list(&mut self, dropped: u64, dropped_up_to: u64) {
        self.dropped = dropped;
        self.dropped_up_to = dropped_up_to;
    }

    /// Drops the ends that were received first until the others fit into the limit. Ends that are newer than
    /// `revision`, that of the copy, are kept, and those that `is_unstored` selects until they have been written.
    pub fn drop_oldest(&mut self, revision: u64, is_unstored: impl Fn(&JobId) -> bool) {
        while self.bytes > self.max_bytes {
            let Some(id) = self.by_sequence.values().next().cloned() else {
                return;
            };
            if is_unstored(&id) {
                self.mark_unstored(&id);
                continue;
            }
            let version = self.version(&id);
            if version > revision {
                return;
            }
            self.remove(&id);
            self.dropped += 1;
            self.dropped_up_to = self.dropped_up_to.max(version);
        }
    }

    fn add(&mut self, id: JobId, outcome: JobOutcome, version: u64) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.bytes += entry_bytes(&id);
        if version > 0 {
            self.by_sequence.insert(sequence, id.clone());
        }
        let ended = EndedJob {
            outcome,
            version,
            sequence,
        };
        self.jobs.insert(id, ended);
    }

    fn remove(&mut self, id: &JobId) -> Option<EndedJob> {
        let ended = self.jobs.remove(id)?;
        self.bytes -= entry_bytes(id);
        self.by_sequence.remove(&ended.sequence);
        Some(ended)
    }
}

/// Returns the estimated memory of an end.
fn entry_bytes(id: &str) -> usize {
    ENTRY_BYTES + id.len()
}

#[cfg(test)]
mod tests;
