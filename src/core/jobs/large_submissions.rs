//! Acceptance of submitted jobs that do not fit into one value: their parts are written before the job's key.

use crate::core::Core;
use crate::core::command::{PendingCall, ReadPurpose};
use crate::core::jobs::creation::{Creation, PartsCreation, Submission};
use crate::core::store::keys::{PartGeneration, part_key};
use crate::core::store::large_jobs::{self, PartValue, PartWrite};
use crate::core::store::transaction::batch::MAX_TRANSACTION_BYTES;
use crate::http::Response;
use crate::store_client::{StoreOutcome, StoreRequest};
use crate::wire::{Change, CompareAndSwap, to_json, to_json_value};
use std::time::Duration;

/// Time after the arrival of a submission within which an unanswered write of its parts is retried. A
/// submission takes at most 5 s.
const PARTS_RETRY_WINDOW: Duration = Duration::from_millis(2500);
/// Error text for a job beyond the limits of the state service.
pub(super) const TOO_LARGE: &str = "the job is too large to be stored";

impl Core {
    /// Accepts a job that has to be stored in parts.
    pub(super) fn accept_large(&mut self, submission: Submission) {
        let id = submission.spec.id.to_string();
        if self.store_cache.is_known_job(&id) {
            return self.read_job_key(id, ReadPurpose::Show(submission.ticket));
        }
        let text = String::from_utf8(to_json(&submission.spec)).unwrap_or_default();
        let parts = large_jobs::split_text(&text, self.settings.usable_value_bytes());
        // Each part needs a condition in the transaction that writes the job's key.
        if parts.len() > self.settings.max_transaction_changes * 4 - 1 {
            return self.reject(&submission, Response::error(422, TOO_LARGE));
        }
        let parts = Box::new(PartWrite {
            generation: self.next_part_generation(),
            parts,
            versions: Vec::new(),
        });
        self.write_parts(submission, parts);
    }

    /// Returns a new generation, which differs from those of other processes and later calls.
    fn next_part_generation(&self) -> PartGeneration {
        self.nonce.wrapping_add(self.next_call) >> 1
    }

    /// Writes the next parts of a large job.
    fn write_parts(&mut self, submission: Submission, parts: Box<PartWrite>) {
        let stored = parts.versions.len();
        let by_bytes = MAX_TRANSACTION_BYTES / self.settings.max_value_bytes.max(1);
        let max_parts = self.settings.max_transaction_changes.min(by_bytes).max(1);
        let next = parts.parts.iter().enumerate().skip(stored).take(max_parts);
        let put = |(number, text): (usize, &String)| Change::Put {
            key: part_key(&submission.spec.id, parts.generation, number as u32),
            value: to_json_value(&PartValue { text: text.clone() }),
            lease: None,
        };
        let changes: Vec<Change> = next.map(put).collect();
        let in_flight = changes.len();
        let transaction = CompareAndSwap {
            conditions: Vec::new(),
            changes,
        };
        let pending = PendingCall::CreateJobParts(PartsCreation {
            submission,
            parts,
            in_flight,
        });
        self.call_store(pending, StoreRequest::CompareAndSwap(transaction));
    }

    /// Continues a large job's creation with the outcome of the write of some of its parts.
    pub(in crate::core) fn parts_outcome(
        &mut self,
        creation: PartsCreation,
        outcome: StoreOutcome,
    ) {
        let PartsCreation {
            submission,
            mut parts,
            in_flight,
        } = creation;
        let id = &submission.spec.id;
        match outcome {
            StoreOutcome::Committed { revision } => {
                let versions = std::iter::repeat_n(revision, in_flight);
                parts.versions.extend(versions);
                if parts.versions.len() < parts.parts.len() {
                    self.write_parts(submission, parts);
                } else {
                    self.create(Creation {
                        submission,
                        retries: 0,
                        parts: Some(parts),
                    });
                }
            }
            // The write may still be executed: all parts are written again under other keys.
            StoreOutcome::Unknown(error)
                if self.time_since_received(&submission) < PARTS_RETRY_WINDOW =>
            {
                tracing::info!(job = %id, %error, "job parts write unanswered");
                parts.generation = self.next_part_generation();
                parts.versions.clear();
                self.write_parts(submission, parts);
            }
            // Parts that were stored are deleted by a leader, once no job has referred to them for some time.
            other => {
                tracing::info!(job = %id, outcome = ?other, "job parts not stored");
                let answer = Response::busy("the job cannot be kept now", 1);
                self.answer(submission.ticket, answer);
            }
        }
    }
}
