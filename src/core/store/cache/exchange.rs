//! Export of the copy in pages, and merging of other controllers' copies and of snapshots. The result does not depend
//! on the order of merging: the end of a job is final, sets of done tasks are united, and a known machine stays known.

use super::{DoneValue, JobValue, MachineValue, PageValue, StoreCache, TaskSet, TermValue};
use crate::core::store::keys::{
    StoreKey, TERM, TYPES, done_key, job_key, key as stored_key, page_key,
};
use crate::job::{JobId, MachineId};
use crate::wire::to_json;
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::SystemTime;

/// Number of machines in one exported item.
const MACHINES_PER_PAGE: usize = 100;
/// Bytes of a page for each item's separators and quotes.
const ITEM_OVERHEAD_BYTES: usize = 8;

/// Builder of one page of the exported copy.
struct PageBuilder {
    items: Vec<(String, Value)>,
    bytes: usize,
    max_bytes: usize,
}

impl PageBuilder {
    /// Adds an item. Returns whether the page has room for more.
    fn add<T: Serialize>(&mut self, key: String, value: &T) -> bool {
        let text = to_json(value);
        self.bytes += key.len() + text.len() + ITEM_OVERHEAD_BYTES;
        let value = serde_json::from_slice(&text).unwrap_or(Value::Null);
        self.items.push((key, value));
        self.bytes < self.max_bytes
    }
}

/// Data that merging another controller's copy, or a snapshot, has added or found to be new.
#[derive(Debug, Default)]
pub struct MergeResult {
    /// Done tasks of live jobs. They are not merged: the leader processes them like results in heartbeats.
    pub done: Vec<(JobId, Vec<u32>)>,
    /// Machines that this copy lacked.
    pub machines: Vec<MachineId>,
    /// Number of jobs, or ends of jobs, that this copy lacked.
    pub jobs: usize,
}

impl StoreCache {
    /// Merges items of another controller's copy, or of a snapshot. Unreadable items are logged and ignored.
    pub fn merge_items(&mut self, items: Vec<(String, Value)>) -> MergeResult {
        let mut new = MergeResult::default();
        for (key, value) in items {
            if let Err(error) = self.merge_item(&key, value, &mut new) {
                tracing::error!(key, %error, "unreadable value in another's memory");
            }
        }
        new
    }

    fn merge_item(
        &mut self,
        key: &str,
        value: Value,
        new: &mut MergeResult,
    ) -> Result<(), serde_json::Error> {
        match StoreKey::parse(key) {
            Some(StoreKey::Term) => {
                let value: TermValue = serde_json::from_value(value)?;
                self.term = self.term.max(value.term);
            }
            Some(StoreKey::MachineTypes) if self.machine_types.is_empty() => {
                self.machine_types = serde_json::from_value(value)?;
            }
            Some(StoreKey::Job(id)) => {
                let is_new = self.merge_job(id, serde_json::from_value(value)?);
                new.jobs += usize::from(is_new);
            }
            Some(StoreKey::MachinePage(_)) => {
                let value: PageValue = serde_json::from_value(value)?;
                new.machines.extend(self.merge_machines(value.machines));
            }
            Some(StoreKey::DoneRange { job, base }) => {
                let value: DoneValue = serde_json::from_value(value)?;
                new.done
                    .extend(self.new_done_tasks(job, base, &value.tasks));
            }
            _ => {}
        }
        Ok(())
    }

    /// Merges a job. Returns whether the job, or its end, was new.
    fn merge_job(&mut self, id: &str, value: JobValue) -> bool {
        let job = JobId::from(id);
        let known = match &value {
            JobValue::Ended { .. } => self.ended_jobs.contains(&job),
            JobValue::Multipart { .. } => true,
            JobValue::Live { .. } | JobValue::WithDependencies { .. } => self.is_cached(&job),
        };
        if known {
            return false;
        }
        self.put_job(id, value, 0);
        self.parts.mark_read(&job);
        self.missing_from_store.insert(job);
        true
    }

    /// Merges machines. Returns those that were new.
    fn merge_machines(&mut self, machines: BTreeMap<MachineId, MachineValue>) -> Vec<MachineId> {
        let mut new = Vec::new();
        for (id, machine) in machines {
            if !self.machines.contains_key(&id) {
                self.machines.insert(id.clone(), machine);
                new.push(id);
            }
        }
        new
    }

    /// Returns the tasks of a live job that are done according to `ranges` but not in this copy.
    fn new_done_tasks(&self, id: &str, base: u32, ranges: &str) -> Option<(JobId, Vec<u32>)> {
        let job = self.jobs.get(id)?;
        let mut done = TaskSet::default();
        done.add_ranges(base, ranges, job.spec.tasks);
        let is_new = |task: &u32| done.contains(*task) && !job.done.contains(*task);
        let tasks: Vec<u32> = (0..job.spec.tasks).filter(is_new).collect();
        (!tasks.is_empty()).then(|| (JobId::from(id), tasks))
    }

    /// Exports a page of this copy, as keys and values of the store in a fixed order: those after the key `after`,
    /// until the page has `max_bytes`. Also returns whether more follow.
    pub fn export_page(&self, after: &str, max_bytes: usize) -> (Vec<(String, Value)>, bool) {
        let mut page = PageBuilder {
            items: Vec::new(),
            bytes: 0,
            max_bytes,
        };
        let complete = self.fill(after, &mut page);
        (page.items, !complete)
    }

    /// Fills a page. Returns false once the page is full. Jobs come before done tasks, which cannot be merged without
    /// their job.
    fn fill(&self, after: &str, page: &mut PageBuilder) -> bool {
        let filled = match StoreKey::parse(after) {
            Some(StoreKey::MachinePage(n)) => self.fill_machines(n.saturating_add(1), page),
            Some(StoreKey::DoneRange { job, .. }) => {
                self.fill_done(job, page) && self.fill_machines(0, page)
            }
            Some(StoreKey::Job(id)) => self.fill_from_jobs(id, page),
            _ => self.fill_from_jobs("", page),
        };
        if filled {
            page.add(stored_key(TERM), &TermValue { term: self.term });
            if !self.machine_types.is_empty() {
                page.add(stored_key(TYPES), &self.machine_types);
            }
        }
        filled
    }

    fn fill_from_jobs(&self, after: &str, page: &mut PageBuilder) -> bool {
        self.fill_jobs(after, page) && self.fill_done("", page) && self.fill_machines(0, page)
    }

    /// Adds live and ended jobs, by id. Returns false once the page is full.
    fn fill_jobs(&self, after: &str, page: &mut PageBuilder) -> bool {
        let from = (Bound::Excluded(after), Bound::Unbounded);
        let live = self.jobs.range::<str, _>(from);
        let ended = self.ended_jobs.ids_between(from.0, from.1);
        let mut ended = ended.peekable();
        let mut live = live.map(|(id, _)| id).peekable();
        loop {
            let next = match (ended.peek(), live.peek()) {
                (Some(a), Some(b)) if a <= b => ended.next(),
                (_, Some(_)) => live.next(),
                (_, None) => ended.next(),
            };
            let Some(id) = next else {
                return true;
            };
            if let Some(value) = self.job_value(id)
                && !page.add(job_key(id), &value)
            {
                return false;
            }
        }
    }

    /// Adds the done tasks of live jobs. Returns false once the page is full.
    fn fill_done(&self, after: &str, page: &mut PageBuilder) -> bool {
        let from = (Bound::Excluded(after), Bound::Unbounded);
        let jobs = self.jobs.range::<str, _>(from);
        for (id, job) in jobs.filter(|(_, job)| job.done.len() > 0) {
            let tasks = job.done.ranges(0, job.spec.tasks);
            if !page.add(done_key(id, 0), &DoneValue { tasks }) {
                return false;
            }
        }
        true
    }

    /// Adds machines, in pages numbered independently of the store's. Returns false once the page is full.
    fn fill_machines(&self, first_page: usize, page: &mut PageBuilder) -> bool {
        let machines: Vec<_> = self.machines.iter().collect();
        let pages = machines.chunks(MACHINES_PER_PAGE).enumerate();
        for (n, machines) in pages.skip(first_page) {
            let machines = machines.iter().map(|(id, m)| ((*id).clone(), (*m).clone()));
            let machines = machines.collect();
            if !page.add(page_key(n), &PageValue { machines }) {
                return false;
            }
        }
        true
    }

    /// Returns the value that a job's key in the store has, or should have. Jobs stored in parts are returned whole.
    pub fn job_value(&self, id: &JobId) -> Option<JobValue> {
        if let Some(end) = self.ended_jobs.outcome(id) {
            let residual_tasks = self.residual_tasks.get(id).cloned();
            return Some(JobValue::Ended {
                end,
                residual_tasks,
            });
        }
        let job = self.jobs.get(id)?;
        let since = job.submitted.duration_since(SystemTime::UNIX_EPOCH);
        let submitted_ms = since.unwrap_or_default().as_millis() as u64;
        let spec = Box::new((*job.spec).clone());
        Some(JobValue::live(spec, submitted_ms))
    }
}
