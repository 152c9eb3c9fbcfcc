//! Jobs that do not fit into one value of the state service, such as those that await hundreds of
//! others: their text is kept in parts under keys of their own. The job's key, which alone means
//! that it is accepted, is written last, on the condition that every part is still as it was
//! written. So parts that no job refers to may be cleared at any time.

use crate::core::store::keys::{PartGeneration, part_key};
use crate::job::{JobId, JobSpec};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A part as it is stored.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PartValue {
    /// A piece of the job's JSON.
    pub text: String,
}

/// Cuts a text so that each part fits into a value of so many bytes, whatever has to be escaped.
pub fn split_text(text: &str, value_bytes: usize) -> Vec<String> {
    let max_bytes = value_bytes.saturating_sub(32).max(16) / 2;
    let mut parts = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let mut end = max_bytes.min(rest.len());
        while !rest.is_char_boundary(end) {
            end -= 1;
        }
        let (part, remaining) = rest.split_at(end);
        parts.push(part.to_string());
        rest = remaining;
    }
    parts
}

/// Parts in flight, and which of them are stored at which version.
#[derive(Clone, Debug)]
pub struct PartWrite {
    /// The writing that they belong to.
    pub generation: PartGeneration,
    /// The texts of all parts.
    pub parts: Vec<String>,
    /// The versions of those that are stored, from the first one on.
    pub versions: Vec<u64>,
}

/// An accepted job, some parts of which have not been read yet.
#[derive(Clone, Copy, Debug)]
pub struct MultipartHeader {
    /// The writing of parts that its key refers to.
    pub generation: PartGeneration,
    /// How many parts it has.
    pub count: u32,
    /// When it was accepted, in milliseconds since 1970.
    pub submitted_ms: u64,
    /// The version of its key.
    pub version: u64,
}

/// Parts of large jobs, as far as they are read.
#[derive(Default)]
pub struct LargeJobParts {
    /// What is stored, by job and writing. Texts are dropped once their job has been read.
    texts: BTreeMap<(JobId, PartGeneration), BTreeMap<u32, String>>,
    incomplete_jobs: BTreeMap<JobId, MultipartHeader>,
    /// Which writing a live job was read from.
    generation_read: BTreeMap<JobId, PartGeneration>,
}

impl LargeJobParts {
    /// The store holds this part.
    pub fn put(&mut self, id: &JobId, generation: PartGeneration, n: u32, text: String) {
        let read = self.generation_read.get(id) == Some(&generation);
        let text = if read { String::new() } else { text };
        let parts = self.texts.entry((id.clone(), generation)).or_default();
        parts.insert(n, text);
    }

    /// The store does not hold this part any more.
    pub fn delete(&mut self, id: &JobId, generation: PartGeneration, n: u32) {
        let key = (id.clone(), generation);
        if let Some(parts) = self.texts.get_mut(&key) {
            parts.remove(&n);
            if parts.is_empty() {
                self.texts.remove(&key);
            }
        }
    }

    /// A job is accepted; its parts may be read before or after this.
    pub fn add_header(&mut self, id: &JobId, header: MultipartHeader) {
        if !self.generation_read.contains_key(id) {
            self.incomplete_jobs.insert(id.clone(), header);
        }
    }

    /// The job, if it is accepted and all its parts are there.
    pub fn take_complete(&mut self, id: &JobId) -> Option<(MultipartHeader, JobSpec)> {
        let header = *self.incomplete_jobs.get(id)?;
        let parts = self.texts.get_mut(&(id.clone(), header.generation))?;
        let all = (0..header.count).map(|n| parts.get(&n).map(String::as_str));
        let text: String = all.collect::<Option<Vec<_>>>()?.concat();
        parts.values_mut().for_each(|text| *text = String::new());
        self.incomplete_jobs.remove(id);
        self.generation_read.insert(id.clone(), header.generation);
        match serde_json::from_str(&text) {
            Ok(spec) => Some((header, spec)),
            Err(e) => {
                tracing::error!(job = %id, error = %e, "unreadable parts of a job");
                None
            }
        }
    }

    /// A job is over. Returns the keys that are of no use any more.
    pub fn remove_job(&mut self, id: &JobId) -> Vec<String> {
        self.incomplete_jobs.remove(id);
        self.generation_read.remove(id);
        let all = (id.clone(), 0)..=(id.clone(), PartGeneration::MAX);
        let stored = self
            .texts
            .range(all)
            .map(|((_, generation), _)| *generation);
        stored.flat_map(|g| self.keys(id, g)).collect()
    }

    /// Writings that no accepted job refers to.
    pub fn unclaimed(&self) -> impl Iterator<Item = &(JobId, PartGeneration)> {
        self.texts.keys().filter(|(id, generation)| {
            self.generation_read.get(id) != Some(generation)
                && self.incomplete_jobs.get(id).map(|h| h.generation) != Some(*generation)
        })
    }

    /// The keys of one writing's parts.
    pub fn keys(&self, id: &JobId, generation: PartGeneration) -> Vec<String> {
        let parts = self.texts.get(&(id.clone(), generation));
        let numbers = parts.into_iter().flat_map(|p| p.keys());
        numbers.map(|n| part_key(id, generation, *n)).collect()
    }

    /// Whether the job is accepted, and some of its parts are not read yet.
    pub fn is_incomplete(&self, id: &str) -> bool {
        self.incomplete_jobs.contains_key(id)
    }
}

#[cfg(test)]
mod tests;
