//! A full list of the store. Most keys of a store with a history are those of ended jobs; of these, the list keeps the
//! newest, within a limit on their memory, in a compact form.

use super::stored::{JobValue, ResidualTasks, is_ended};
use crate::core::store::keys::{JOB_PREFIX, StoreKey, job_key};
use crate::job::{JobId, JobOutcome};
use crate::store_client::ListedKeys;
use crate::wire::{Item, RawItem, to_json_value};
use serde::Deserialize;
use std::borrow::Cow;
use std::collections::BTreeSet;

/// Estimated memory of a listed end beside the characters of the job's id, in bytes.
const ENTRY_BYTES: usize = 80;
/// Estimated memory of the residual tasks of a cancelled job, in bytes.
const RESIDUAL_TASKS_BYTES: usize = 128;

/// The keys of the store with their values: all but those of the ends that did not fit into the limit.
#[derive(Clone, Debug)]
pub struct StoreList {
    /// Keys other than those of ended jobs, and those of a form that this version does not know, ordered by key.
    items: Vec<Item>,
    /// Ended jobs, ordered by id.
    ended: Vec<ListedEnd>,
    /// Jobs with keys of done ranges, which precede the keys of jobs.
    jobs_with_ranges: BTreeSet<JobId>,
    /// Estimated memory of `ended`, in bytes.
    ended_bytes: usize,
    max_ended_bytes: usize,
    /// Number of ends that were dropped.
    dropped: u64,
    /// Newest version of an end that was dropped; 0 if there is none.
    dropped_up_to: u64,
    /// Key of a job that was written last, and its version.
    newest_job_change: Option<(String, u64)>,
}

/// The key of an ended job, with its value.
#[derive(Clone, Debug)]
pub(super) struct ListedEnd {
    pub id: JobId,
    pub version: u64,
    pub outcome: JobOutcome,
    pub residual_tasks: Option<Box<ResidualTasks>>,
    /// Whether the store holds done ranges of the job, which are deleted because its end is known.
    has_ranges: bool,
}

/// Value of an ended job's key, with no other fields than this version knows.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct EndedValue {
    end: JobOutcome,
    #[serde(rename = "left", default)]
    residual_tasks: Option<ResidualTasks>,
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

/// Returns the id of the job whose key this is, if the key is attached to no lease.
fn job_of(key: &str, lease: Option<u64>) -> Option<&str> {
    match (StoreKey::parse(key), lease) {
        (Some(StoreKey::Job(id)), None) => Some(id),
        _ => None,
    }
}

impl ListedEnd {
    fn new(id: &str, version: u64, value: EndedValue) -> ListedEnd {
        ListedEnd {
            id: id.into(),
            version,
            outcome: value.end,
            residual_tasks: value.residual_tasks.map(Box::new),
            has_ranges: false,
        }
    }

    /// Returns the ended job that an item stores, if the item can be restored from it in full.
    fn from_item(item: &Item) -> Option<ListedEnd> {
        let id = job_of(&item.key, item.lease)?;
        let value = EndedValue::deserialize(&item.value).ok()?;
        Some(ListedEnd::new(id, item.version, value))
    }

    /// Returns the ended job that an unparsed item stores, if the item can be restored from it in full.
    fn from_raw_item(item: &RawItem<'_>) -> Option<ListedEnd> {
        let id = job_of(&item.key, item.lease)?;
        let value = serde_json::from_str(item.value.get()).ok()?;
        Some(ListedEnd::new(id, item.version, value))
    }

    /// Returns the estimated memory of the entry.
    fn bytes(&self) -> usize {
        let residual = self
            .residual_tasks
            .as_ref()
            .map_or(0, |_| RESIDUAL_TASKS_BYTES);
        ENTRY_BYTES + self.id.len() + residual
    }

    pub(super) fn value(&self) -> JobValue {
        JobValue::Ended {
            end: self.outcome,
            residual_tasks: self.residual_tasks.as_deref().cloned(),
        }
    }

    fn to_item(&self) -> Item {
        Item {
            key: job_key(&self.id),
            value: to_json_value(&self.value()),
            version: self.version,
            lease: None,
        }
    }
}

impl Default for StoreList {
    fn default() -> StoreList {
        StoreList::with_limit(usize::MAX)
    }
}

impl StoreList {
    /// Creates an empty list whose ends may take up to `max_ended_bytes` bytes of memory once it is complete, and a
    /// quarter more before.
    pub fn with_limit(max_ended_bytes: usize) -> StoreList {
        StoreList {
            items: Vec::new(),
            ended: Vec::new(),
            jobs_with_ranges: BTreeSet::new(),
            ended_bytes: 0,
            max_ended_bytes,
            dropped: 0,
            dropped_up_to: 0,
            newest_job_change: None,
        }
    }

    fn find_item(&self, key: &str) -> Option<&Item> {
        let index = self
            .items
            .binary_search_by(|item| item.key.as_str().cmp(key));
        index.ok().map(|index| &self.items[index])
    }

    fn find_ended(&self, id: &str) -> Option<&ListedEnd> {
        let index = self.ended.binary_search_by(|ended| (*ended.id).cmp(id));
        index.ok().map(|index| &self.ended[index])
    }

    fn find_ended_by_key(&self, key: &str) -> Option<&ListedEnd> {
        self.find_ended(key.strip_prefix(JOB_PREFIX)?)
    }

    /// Returns the item with this key, unless it was dropped.
    pub fn find(&self, key: &str) -> Option<Cow<'_, Item>> {
        if let Some(ended) = self.find_ended_by_key(key) {
            return Some(Cow::Owned(ended.to_item()));
        }
        self.find_item(key).map(Cow::Borrowed)
    }

    /// Returns the version of a key, unless it was dropped.
    pub fn version_of(&self, key: &str) -> Option<u64> {
        let ended = self.find_ended_by_key(key).map(|ended| ended.version);
        ended.or_else(|| self.find_item(key).map(|item| item.version))
    }

    /// Returns the state of a job; that of a job whose end was dropped is `Absent`.
    pub fn job(&self, id: &str) -> ListedJob {
        if self.find_ended(id).is_some() {
            return ListedJob::Ended;
        }
        match self.find_item(&job_key(id)) {
            None => ListedJob::Absent,
            Some(item) if is_ended(&item.value) => ListedJob::Ended,
            Some(_) => ListedJob::Live,
        }
    }

    /// Returns whether the list may lack an end that the store holds with this version.
    pub fn may_lack_end(&self, version: u64) -> bool {
        version <= self.dropped_up_to
    }

    /// Returns whether the list may lack the end of a job that has ended after this revision of the store.
    pub fn may_lack_end_after(&self, revision: u64) -> bool {
        revision < self.dropped_up_to
    }

    /// Returns the number of ends that were dropped, and the newest version among them.
    pub(super) fn dropped(&self) -> (u64, u64) {
        (self.dropped, self.dropped_up_to)
    }

    /// Returns the job's key that was written last, and its version.
    pub(super) fn newest_job_change(&self) -> Option<&(String, u64)> {
        self.newest_job_change.as_ref()
    }

    /// Returns the ended jobs by id, and the other items by key.
    pub(super) fn into_parts(self) -> (Vec<ListedEnd>, Vec<Item>) {
        (self.ended, self.items)
    }

    fn add_item(&mut self, item: Item) {
        if item.key.starts_with(JOB_PREFIX) && self.is_newest_change(item.version) {
            self.newest_job_change = Some((item.key.clone(), item.version));
        }
        if let Some(StoreKey::DoneRange { job, .. }) = StoreKey::parse(&item.key) {
            self.jobs_with_ranges.insert(job.into());
        }
        self.items.push(item);
    }

    fn add_ended(&mut self, mut ended: ListedEnd) {
        ended.has_ranges = self.jobs_with_ranges.contains(&ended.id);
        if self.may_lack_end(ended.version) && !ended.has_ranges {
            self.dropped += 1;
            return;
        }
        if self.is_newest_change(ended.version) {
            self.newest_job_change = Some((job_key(&ended.id), ended.version));
        }
        self.ended_bytes += ended.bytes();
        self.ended.push(ended);
        if self.ended_bytes
            > self
                .max_ended_bytes
                .saturating_add(self.max_ended_bytes / 4)
        {
            self.drop_oldest_ends();
        }
    }

    /// Returns whether a job's key with this version was written later than those listed so far.
    fn is_newest_change(&self, version: u64) -> bool {
        let newest = self.newest_job_change.as_ref();
        newest.is_none_or(|(_, newest)| *newest <= version)
    }

    /// Drops the oldest ends, so that the others fit into the limit.
    fn drop_oldest_ends(&mut self) {
        let droppable = self.ended.iter().filter(|ended| !ended.has_ranges);
        let mut by_version: Vec<(u64, usize)> = droppable
            .map(|ended| (ended.version, ended.bytes()))
            .collect();
        by_version.sort_unstable();
        let mut bytes = self.ended_bytes;
        let mut dropped_up_to = 0;
        for (version, entry_bytes) in by_version {
            // Ends that were written by one transaction have the same version, and are dropped together.
            if bytes <= self.max_ended_bytes && version > dropped_up_to {
                break;
            }
            bytes -= entry_bytes;
            dropped_up_to = version;
        }
        let before = self.ended.len();
        self.ended
            .retain(|ended| ended.has_ranges || ended.version > dropped_up_to);
        self.dropped += (before - self.ended.len()) as u64;
        self.dropped_up_to = self.dropped_up_to.max(dropped_up_to);
        self.ended_bytes = bytes;
    }
}

impl ListedKeys for StoreList {
    fn add_page(&mut self, items: &[RawItem<'_>]) {
        for item in items {
            match ListedEnd::from_raw_item(item) {
                Some(ended) => self.add_ended(ended),
                None => match item.parse() {
                    Ok(item) => self.add_item(item),
                    Err(error) => {
                        tracing::error!(key = %item.key, %error, "unreadable value in the store");
                    }
                },
            }
        }
    }
}

impl FromIterator<Item> for StoreList {
    /// Builds a list from items that are ordered by key.
    fn from_iter<I: IntoIterator<Item = Item>>(items: I) -> StoreList {
        let mut list = StoreList::default();
        list.extend(items);
        list
    }
}

impl Extend<Item> for StoreList {
    /// Adds items that are ordered by key and follow those of the list.
    fn extend<I: IntoIterator<Item = Item>>(&mut self, items: I) {
        for item in items {
            match ListedEnd::from_item(&item) {
                Some(ended) => self.add_ended(ended),
                None => self.add_item(item),
            }
        }
    }
}

#[cfg(test)]
mod tests;
