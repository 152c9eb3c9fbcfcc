//! Reads of ends of jobs that may have been dropped from the copy of the store and are needed: those of jobs that a live
//! job depends on, and those that a refused write of the leader may contradict.

use crate::core::Core;
use crate::core::command::PendingCall;
use crate::core::store::cache::is_ended;
use crate::core::store::keys::{StoreKey, job_key};
use crate::job::JobId;
use crate::store_client::{StoreOutcome, StoreRequest};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Maximum number of reads in flight.
const MAX_IN_FLIGHT: usize = 4;
/// Delay before the next reads after one that failed.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Reads of ends in flight.
#[derive(Default)]
pub struct EndReads {
    in_flight: BTreeSet<JobId>,
    retry_at: Option<Instant>,
}

impl Core {
    /// Reads the keys of jobs whose end is needed and may have been dropped.
    pub(in crate::core) fn read_unresolved_jobs(&mut self) {
        let now = self.now.mono;
        if self.store_cache.unresolved_jobs.is_empty()
            || self.end_reads.retry_at.is_some_and(|at| now < at)
        {
            return;
        }
        let room = MAX_IN_FLIGHT.saturating_sub(self.end_reads.in_flight.len());
        let in_flight = &self.end_reads.in_flight;
        let jobs = self.store_cache.unresolved_jobs.iter();
        let due = jobs.filter(|id| !in_flight.contains(*id)).take(room);
        for job in due.cloned().collect::<Vec<_>>() {
            self.end_reads.in_flight.insert(job.clone());
            let request = StoreRequest::Get(job_key(&job));
            let losses = self.store_integrity.losses;
            self.call_store(PendingCall::ReadEnd { job, losses }, request);
        }
    }

    /// Handles the outcome of a read that was sent after this number of losses of data. A job without a key stays unknown.
    pub(in crate::core) fn end_read_outcome(
        &mut self,
        job: JobId,
        losses: u64,
        outcome: StoreOutcome,
    ) {
        self.end_reads.in_flight.remove(&job);
        if losses != self.store_integrity.losses {
            return;
        }
        match outcome {
            StoreOutcome::Found(item) => {
                if is_ended(&item.value) {
                    self.store_cache.missing_from_store.remove(&job);
                }
                self.put_job_item(&job, item);
            }
            StoreOutcome::Missing { .. } => {}
            _ => {
                self.end_reads.retry_at = Some(self.now.mono + RETRY_DELAY);
                return;
            }
        }
        self.store_cache.unresolved_jobs.remove(&job);
    }

    /// Reads the keys of a refused write that may hold ends which were dropped from the copy; writes that depend on them
    /// wait until they have been read. Returns whether these keys alone can have caused the refusal.
    pub(super) fn read_conflicting_ends(&mut self, conflicting_keys: &[String]) -> bool {
        let keys = conflicting_keys.iter();
        let jobs = keys.filter_map(|key| self.job_with_dropped_end(key));
        let jobs: Vec<JobId> = jobs.collect();
        let all_explained = !jobs.is_empty() && jobs.len() == conflicting_keys.len();
        self.store_cache.unresolved_jobs.extend(jobs);
        all_explained
    }

    /// Returns the job whose key this is, if the store may hold an end under it that the copy does not show.
    fn job_with_dropped_end(&self, key: &str) -> Option<JobId> {
        let cache = &self.store_cache;
        let Some(StoreKey::Job(id)) = StoreKey::parse(key) else {
            return None;
        };
        let is_hidden = cache.ended_jobs.is_partial()
            && cache.versions.of(key) == 0
            && (!cache.is_known_job(id) || cache.missing_from_store.contains(id));
        is_hidden.then(|| JobId::from(id))
    }
}
