//! A full list of the store. Most keys of a store with a history are those of ended jobs; these are kept in a compact
//! form, as a list is in memory beside the copy of the store while the two are compared.

use super::stored::{JobValue, ResidualTasks, is_ended};
use crate::core::store::keys::{JOB_PREFIX, StoreKey, job_key};
use crate::job::{JobId, JobOutcome};
use crate::store_client::ListedKeys;
use crate::wire::{Item, to_json_value};
use serde::Deserialize;
use serde_json::Value;
use std::borrow::Cow;
use std::cmp::Ordering;

/// All keys of the store with their values, ordered by key.
#[derive(Clone, Debug, Default)]
pub struct StoreList {
    entries: Vec<ListEntry>,
}

/// A key with its value.
#[derive(Clone, Debug)]
pub(super) enum ListEntry {
    /// Key of an ended job.
    EndedJob(EndedJob),
    /// Any other key, or one of a form that this version does not know.
    Item(Box<Item>),
}

/// The key of an ended job, with its value.
#[derive(Clone, Debug)]
pub(super) struct EndedJob {
    pub id: JobId,
    pub version: u64,
    pub outcome: JobOutcome,
    pub residual_tasks: Option<Box<ResidualTasks>>,
}

/// State of a job in a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedJob {
    /// The list does not contain the job.
    Absent,
    /// The job has not ended.
    Live,
    /// The job has ended.
    Ended,
}

impl EndedJob {
    /// Returns the ended job that an item stores, if the item can be restored from it in full.
    fn from_item(item: &Item) -> Option<EndedJob> {
        let Some(StoreKey::Job(id)) = StoreKey::parse(&item.key) else {
            return None;
        };
        if item.lease.is_some() || !is_ended(&item.value) {
            return None;
        }
        let Ok(JobValue::Ended {
            end,
            residual_tasks,
        }) = JobValue::deserialize(&item.value)
        else {
            return None;
        };
        let ended = EndedJob {
            id: id.into(),
            version: item.version,
            outcome: end,
            residual_tasks: residual_tasks.map(Box::new),
        };
        // An item with more fields than this version knows is kept as it is.
        (ended.stored_value() == item.value).then_some(ended)
    }

    pub(super) fn value(&self) -> JobValue {
        JobValue::Ended {
            end: self.outcome,
            residual_tasks: self.residual_tasks.as_deref().cloned(),
        }
    }

    fn stored_value(&self) -> Value {
        to_json_value(&self.value())
    }

    fn to_item(&self) -> Item {
        Item {
            key: job_key(&self.id),
            value: self.stored_value(),
            version: self.version,
            lease: None,
        }
    }
}

impl ListEntry {
    fn from_item(item: Item) -> ListEntry {
        match EndedJob::from_item(&item) {
            Some(ended) => ListEntry::EndedJob(ended),
            None => ListEntry::Item(Box::new(item)),
        }
    }

    fn compare_key(&self, key: &str) -> Ordering {
        match self {
            ListEntry::Item(item) => item.key.as_str().cmp(key),
            ListEntry::EndedJob(ended) => match key.strip_prefix(JOB_PREFIX) {
                Some(id) => (*ended.id).cmp(id),
                None => JOB_PREFIX.cmp(key),
            },
        }
    }

    fn key(&self) -> String {
        match self {
            ListEntry::Item(item) => item.key.clone(),
            ListEntry::EndedJob(ended) => job_key(&ended.id),
        }
    }

    fn is_job(&self) -> bool {
        match self {
            ListEntry::Item(item) => item.key.starts_with(JOB_PREFIX),
            ListEntry::EndedJob(_) => true,
        }
    }

    fn version(&self) -> u64 {
        match self {
            ListEntry::Item(item) => item.version,
            ListEntry::EndedJob(ended) => ended.version,
        }
    }

    /// Returns the state of the job whose key this is.
    fn job_state(&self) -> ListedJob {
        let ended = match self {
            ListEntry::EndedJob(_) => true,
            ListEntry::Item(item) => is_ended(&item.value),
        };
        if ended {
            ListedJob::Ended
        } else {
            ListedJob::Live
        }
    }
}

impl StoreList {
    fn find_entry(&self, key: &str) -> Option<&ListEntry> {
        let index = self
            .entries
            .binary_search_by(|entry| entry.compare_key(key));
        index.ok().map(|index| &self.entries[index])
    }

    /// Returns the item with this key.
    pub fn find(&self, key: &str) -> Option<Cow<'_, Item>> {
        match self.find_entry(key)? {
            ListEntry::Item(item) => Some(Cow::Borrowed(item)),
            ListEntry::EndedJob(ended) => Some(Cow::Owned(ended.to_item())),
        }
    }

    /// Returns the version of a key.
    pub fn version_of(&self, key: &str) -> Option<u64> {
        self.find_entry(key).map(ListEntry::version)
    }

    /// Returns the state of a job.
    pub fn job(&self, id: &str) -> ListedJob {
        let key = job_key(id);
        match self.find_entry(&key) {
            None => ListedJob::Absent,
            Some(entry) => entry.job_state(),
        }
    }

    /// Returns the job's key that was written last, and its version.
    pub(super) fn newest_job_change(&self) -> Option<(String, u64)> {
        let jobs = self.entries.iter().filter(|entry| entry.is_job());
        let newest = jobs.max_by_key(|entry| entry.version())?;
        Some((newest.key(), newest.version()))
    }

    pub(super) fn into_entries(self) -> impl Iterator<Item = ListEntry> {
        self.entries.into_iter()
    }
}

impl ListedKeys for StoreList {
    fn add_page(&mut self, items: Vec<Item>) {
        self.entries
            .extend(items.into_iter().map(ListEntry::from_item));
    }
}

impl FromIterator<Item> for StoreList {
    /// Builds a list from items that are ordered by key.
    fn from_iter<I: IntoIterator<Item = Item>>(items: I) -> StoreList {
        StoreList {
            entries: items.into_iter().map(ListEntry::from_item).collect(),
        }
    }
}

#[cfg(test)]
mod tests;
