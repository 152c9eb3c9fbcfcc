//! Creation of a submitted job in the state service: the data of the requests in flight, and the
//! transaction that creates the job.

use crate::core::Ticket;
use crate::core::store::cache::JobValue;
use crate::core::store::keys::{job_key, part_key};
use crate::core::store::large_jobs::PartWrite;
use crate::job::JobSpec;
use crate::wire::{Change, CompareAndSwap, Condition, to_json_value};
use std::time::Instant;

/// A job that a user submits and that has not been accepted yet.
#[derive(Debug)]
pub struct Submission {
    /// Request to answer.
    pub ticket: Ticket,
    /// Job as submitted.
    pub spec: Box<JobSpec>,
    /// When the request arrived at this controller.
    pub received: Instant,
}

/// A submission whose job key is being written.
#[derive(Debug)]
pub struct Creation {
    /// Submission to accept.
    pub submission: Submission,
    /// Number of retries so far.
    pub retries: u32,
    /// Stored parts of a job that does not fit into one value.
    pub parts: Option<Box<PartWrite>>,
}

impl Creation {
    /// Returns the same creation with one more retry.
    pub fn retried(self) -> Creation {
        Creation {
            retries: self.retries + 1,
            ..self
        }
    }
}

/// A submission too large for one value, whose parts are being written before its job key.
#[derive(Debug)]
pub struct PartsCreation {
    /// Submission to accept.
    pub submission: Submission,
    /// Parts, and the versions of those that are stored.
    pub parts: Box<PartWrite>,
    /// Number of parts in the transaction that is in flight.
    pub in_flight: usize,
}

/// Returns the value of a job's key at acceptance: the job itself, or a reference to its parts.
pub(in crate::core) fn initial_value(
    spec: Box<JobSpec>,
    submitted_ms: u64,
    parts: Option<&PartWrite>,
) -> JobValue {
    match parts {
        None => JobValue::live(spec, submitted_ms),
        Some(write) => JobValue::Multipart {
            parts: write.parts.len() as u32,
            generation: write.generation,
            submitted_ms,
        },
    }
}

/// Returns the transaction that accepts a job.
///
/// It is create-only: even if it is executed late, or twice, or is sent by two nodes, it creates the
/// one job that its user asked for. It requires that a large job's parts exist, because a leader
/// deletes parts that no job has referred to for some time.
pub(in crate::core) fn create_transaction(
    spec: &JobSpec,
    submitted_ms: u64,
    parts: Option<&PartWrite>,
) -> CompareAndSwap {
    let key = job_key(&spec.id);
    let mut conditions = vec![Condition {
        key: key.clone(),
        version: 0,
    }];
    if let Some(write) = parts {
        let versions = write.versions.iter().enumerate();
        conditions.extend(versions.map(|(number, version)| Condition {
            key: part_key(&spec.id, write.generation, number as u32),
            version: *version,
        }));
    }
    let value = initial_value(Box::new(spec.clone()), submitted_ms, parts);
    CompareAndSwap {
        conditions,
        changes: vec![Change::Put {
            key,
            value: to_json_value(&value),
            lease: None,
        }],
    }
}
