//! A submission in flight into the state service: the data of its requests, and the transaction
//! that creates the job.

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
    /// Whom to answer.
    pub ticket: Ticket,
    /// The job as submitted.
    pub spec: Box<JobSpec>,
    /// When the request arrived at this controller.
    pub received: Instant,
}

/// A submission whose job key is being written.
#[derive(Debug)]
pub struct Creation {
    /// What is to be accepted.
    pub submission: Submission,
    /// How often the write was repeated before.
    pub retries: u32,
    /// The stored parts of a job that does not fit into one value.
    pub parts: Option<Box<PartWrite>>,
}

impl Creation {
    /// The same creation, to be written once more.
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
    /// What is to be accepted.
    pub submission: Submission,
    /// The parts, and the versions of those that are stored.
    pub parts: Box<PartWrite>,
    /// How many parts the transaction in flight writes.
    pub in_flight: usize,
}

/// The value of a job's key when it is accepted: the job itself, or where its parts are.
pub(in crate::core) fn initial_value(
    spec: Box<JobSpec>,
    submitted_ms: u64,
    parts: Option<&PartWrite>,
) -> JobValue {
    match parts {
        None => JobValue::live(spec, submitted_ms),
        Some(write) => JobValue::Parted {
            parts: write.parts.len() as u32,
            generation: write.generation,
            submitted_ms,
        },
    }
}

/// The transaction that accepts a job.
///
/// It is create-only: an acceptance that is applied late, or twice, or by two nodes, is still the
/// one job that its user asked for. A large job's parts must be there: a leader clears those that
/// no job has referred to for long.
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
