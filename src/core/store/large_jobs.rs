//! Jobs that do not fit into one value of the state service, such as jobs with hundreds of
//! dependencies. Their JSON is stored in parts under separate keys. The job's key, whose presence
//! alone means that the job is accepted, is written last, on the condition that every part is still
//! as it was written. Parts that no job refers to can therefore be deleted at any time.

use crate::core::store::keys::{PartGeneration, part_key};
use crate::job::{JobId, JobSpec};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Stored value of a part.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PartValue {
    /// Fragment of the job's JSON.
    pub text: String,
}

/// Splits JSON text into parts that each fit into a value of `value_bytes` bytes, whichever characters are escaped.
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

/// Parts of a job that are being written, and the versions of those already stored.
#[derive(Clone, Debug)]
pub struct PartWrite {
    /// Set that the parts belong to.
    pub generation: PartGeneration,
    /// Texts of all parts.
    pub parts: Vec<String>,
    /// Versions of the stored parts, from the first part on.
    pub versions: Vec<u64>,
}

/// Content of the key of an accepted large job, some of whose parts have not been read yet.
#[derive(Clone, Copy, Debug)]
pub struct MultipartHeader {
    /// Set of parts that the job's key refers to.
    pub generation: PartGeneration,
    /// Number of parts.
    pub count: u32,
    /// Time of submission, in milliseconds since 1970.
    pub submitted_ms: u64,
    /// Version of the job's key.
    pub version: u64,
}

/// An accepted large job that has not ended.
#[derive(Clone, Copy, Debug)]
struct LargeJob {
    /// Newest known content of the job's key.
    header: MultipartHeader,
    /// Whether the job has been read from its parts.
    is_read: bool,
}

/// Parts of large jobs that the store holds, and the accepted jobs that refer to them.
#[derive(Default)]
pub struct LargeJobParts {
    /// Stored parts, by job and set. Texts are cleared once their job has been read.
    texts: BTreeMap<(JobId, PartGeneration), BTreeMap<u32, String>>,
    /// Accepted large jobs that have not ended. An entry lasts as long as its job, since parts without one are deleted.
    jobs: BTreeMap<JobId, LargeJob>,
}

impl LargeJobParts {
    /// Adds a part that the store holds.
    pub fn put(&mut self, id: &JobId, generation: PartGeneration, n: u32, text: String) {
        let is_read = self.is_read_from(id, generation);
        let text = if is_read { String::new() } else { text };
        let parts = self.texts.entry((id.clone(), generation)).or_default();
        parts.insert(n, text);
    }

    /// Removes a part that the store no longer holds.
    pub fn delete(&mut self, id: &JobId, generation: PartGeneration, n: u32) {
        let key = (id.clone(), generation);
        if let Some(parts) = self.texts.get_mut(&key) {
            parts.remove(&n);
            if parts.is_empty() {
                self.texts.remove(&key);
            }
        }
    }

    /// Records the content of an accepted job's key; its parts may be read before or after it. `is_read` states that
    /// the job is known already, so that its parts need not be read.
    pub fn put_header(&mut self, id: &JobId, header: MultipartHeader, is_read: bool) {
        let was_read = self.is_read_from(id, header.generation);
        let is_read = is_read || was_read;
        self.jobs.insert(id.clone(), LargeJob { header, is_read });
        if is_read {
            self.clear_texts(id, header.generation);
        }
    }

    /// Returns whether the content of this accepted job's key is known.
    pub fn has_header(&self, id: &str) -> bool {
        self.jobs.contains_key(id)
    }

    /// Returns the version of this accepted job's key, if its content is known.
    pub fn header_version(&self, id: &str) -> Option<u64> {
        let job = self.jobs.get(id);
        job.map(|job| job.header.version)
    }

    /// Returns the job if it is accepted and all its parts have been read, and clears their texts.
    pub fn take_complete(&mut self, id: &JobId) -> Option<(MultipartHeader, JobSpec)> {
        let job = self.jobs.get(id).filter(|job| !job.is_read)?;
        let header = job.header;
        let parts = self.texts.get(&(id.clone(), header.generation))?;
        let all = (0..header.count).map(|n| parts.get(&n).map(String::as_str));
        let text: String = all.collect::<Option<Vec<_>>>()?.concat();
        self.put_header(id, header, true);
        match serde_json::from_str(&text) {
            Ok(spec) => Some((header, spec)),
            Err(e) => {
                tracing::error!(job = %id, error = %e, "unreadable parts of a job");
                None
            }
        }
    }

    /// Returns whether the job refers to this set of parts and has been read.
    fn is_read_from(&self, id: &JobId, generation: PartGeneration) -> bool {
        let job = self.jobs.get(id);
        job.is_some_and(|job| job.is_read && job.header.generation == generation)
    }

    fn clear_texts(&mut self, id: &JobId, generation: PartGeneration) {
        let parts = self.texts.get_mut(&(id.clone(), generation));
        let texts = parts.into_iter().flat_map(BTreeMap::values_mut);
        texts.for_each(|text| *text = String::new());
    }

    /// Removes an ended job. Returns the keys of its stored parts, which can be deleted.
    pub fn remove_job(&mut self, id: &JobId) -> Vec<String> {
        self.jobs.remove(id);
        let all = (id.clone(), 0)..=(id.clone(), PartGeneration::MAX);
        let stored = self
            .texts
            .range(all)
            .map(|((_, generation), _)| *generation);
        stored.flat_map(|g| self.keys(id, g)).collect()
    }

    /// Forgets which parts are stored, before a full list shows them. The headers that `is_kept` selects stay: those of
    /// jobs that the list may lack.
    pub fn begin_list(&mut self, is_kept: impl Fn(&JobId, &MultipartHeader) -> bool) {
        self.texts.clear();
        self.jobs.retain(|id, job| is_kept(id, &job.header));
    }

    /// Returns whether the job's key, as far as it is known, refers to this set of parts.
    pub fn refers_to(&self, id: &str, generation: PartGeneration) -> bool {
        let job = self.jobs.get(id);
        job.is_some_and(|job| job.header.generation == generation)
    }

    /// Returns whether the store lacks some of the parts that the job's key refers to.
    pub fn lacks_parts(&self, id: &JobId) -> bool {
        let Some(LargeJob { header, .. }) = self.jobs.get(id) else {
            return false;
        };
        let parts = self.texts.get(&(id.clone(), header.generation));
        let is_stored = |n: u32| parts.is_some_and(|parts| parts.contains_key(&n));
        !(0..header.count).all(is_stored)
    }

    /// Returns the accepted large jobs.
    pub fn accepted_jobs(&self) -> impl Iterator<Item = &JobId> {
        self.jobs.keys()
    }

    /// Records that the copy has the job, so that its parts need not be read.
    pub fn mark_read(&mut self, id: &JobId) {
        let header = self.jobs.get(id).map(|job| job.header);
        if let Some(header) = header {
            self.put_header(id, header, true);
        }
    }

    /// Returns the sets of parts that no accepted job refers to.
    pub fn unclaimed(&self) -> impl Iterator<Item = &(JobId, PartGeneration)> {
        let sets = self.texts.keys();
        sets.filter(|(id, generation)| !self.refers_to(id, *generation))
    }

    /// Returns the size of the texts that are kept, in bytes.
    #[cfg(test)]
    pub fn text_bytes(&self) -> usize {
        let texts = self.texts.values().flat_map(BTreeMap::values);
        texts.map(String::len).sum()
    }

    /// Returns the keys of the stored parts of one set.
    pub fn keys(&self, id: &JobId, generation: PartGeneration) -> Vec<String> {
        let parts = self.texts.get(&(id.clone(), generation));
        let numbers = parts.into_iter().flat_map(|p| p.keys());
        numbers.map(|n| part_key(id, generation, *n)).collect()
    }
}

#[cfg(test)]
mod tests;
