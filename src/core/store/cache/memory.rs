//! What is remembered of a store, handed over in pages, and what others remember taken in. The rules do not depend on
//! order: ends are final, done rows unite, a machine once known is known.

use super::{DoneValue, JobValue, PageValue, RowSet, StoreCache, TermValue};
use crate::core::store::keys::{TERM, TYPES, done_key, job_key, key as stored_key, page_key};
use crate::job::{JobId, MachineId};
use crate::store_client::PREFIX;
use crate::wire::to_json;
use serde::Serialize;
use std::ops::Bound;
use std::time::SystemTime;

/// Machines in one page of a memory handed over.
const MEMORY_PAGE: usize = 100;

/// A page of a memory in the making.
struct Page {
    items: Vec<(String, serde_json::Value)>,
    bytes: usize,
    most_bytes: usize,
}

impl Page {
    /// Says whether there is room for more.
    fn add<T: Serialize>(&mut self, key: String, value: &T) -> bool {
        let text = to_json(value);
        self.bytes += key.len() + text.len() + 8;
        let value = serde_json::from_slice(&text).unwrap_or(serde_json::Value::Null);
        self.items.push((key, value));
        self.bytes < self.most_bytes
    }
}

/// What another controller, or a snapshot, remembers.
#[derive(Debug, Default)]
pub struct Remembered {
    /// Done rows of live jobs, which the leader counts as it does those that machines report.
    pub done: Vec<(JobId, Vec<u32>)>,
    /// Machines that were not known here.
    pub machines: Vec<MachineId>,
    /// Jobs that were not known here, or not their ends.
    pub jobs: usize,
}

impl StoreCache {
    /// Takes in what others remember, as far as it is not known here.
    pub fn remember(&mut self, items: Vec<(String, serde_json::Value)>) -> Remembered {
        let mut new = Remembered::default();
        for (key, value) in items {
            let Some(name) = key.strip_prefix(PREFIX) else {
                continue;
            };
            let read = match name.split_once('/') {
                None if name == TERM => serde_json::from_value(value)
                    .map(|v: TermValue| self.term = self.term.max(v.term)),
                None if name == TYPES && self.machine_types.is_empty() => {
                    serde_json::from_value(value).map(|v| self.machine_types = v)
                }
                Some(("j", id)) => serde_json::from_value(value).map(|v| {
                    new.jobs += usize::from(self.merge_job(id, v));
                }),
                Some(("p", _)) => serde_json::from_value(value).map(|v: PageValue| {
                    for (id, m) in v.machines {
                        if !self.machines.contains_key(&id) {
                            self.machines.insert(id.clone(), m);
                            new.machines.push(id);
                        }
                    }
                }),
                Some(("d", rest)) => serde_json::from_value(value).map(|v: DoneValue| {
                    if let Some((id, base)) = rest.split_once('/')
                        && let Ok(base) = base.parse()
                        && let Some(job) = self.jobs.get(id)
                    {
                        let mut rows = RowSet::default();
                        rows.add_ranges(base, &v.tasks, job.spec.tasks);
                        let rows = (0..job.spec.tasks).filter(|r| rows.contains(*r));
                        let rows: Vec<u32> = rows.filter(|r| !job.done.contains(*r)).collect();
                        if !rows.is_empty() {
                            new.done.push((JobId::from(id), rows));
                        }
                    }
                }),
                _ => Ok(()),
            };
            if let Err(e) = read {
                tracing::error!("another's memory: unreadable value of {key}: {e}");
            }
        }
        new
    }

    /// Says whether anything of it was new.
    fn merge_job(&mut self, id: &str, value: JobValue) -> bool {
        let job = JobId::from(id);
        let known = match &value {
            JobValue::Over { .. } => self.finished.contains_key(&job),
            JobValue::Parted { .. } => true,
            _ => self.knows(id),
        };
        if known {
            return false;
        }
        self.put_job(id, value, 0);
        self.missing_from_store.insert(job);
        true
    }

    /// What this copy holds, as keys and values of the store in a fixed order, from after a key on
    /// and up to so many bytes; with whether there is more.
    pub fn memory(
        &self,
        after: &str,
        most_bytes: usize,
    ) -> (Vec<(String, serde_json::Value)>, bool) {
        let after = after.strip_prefix(PREFIX).unwrap_or("");
        let (stage, last) = after.split_once('/').unwrap_or(("j", ""));
        let mut page = Page {
            items: Vec::new(),
            bytes: 0,
            most_bytes,
        };
        let more = !self.fill(stage, last, &mut page);
        (page.items, more)
    }

    /// Jobs come before their done rows, as these say nothing without them. False: the page is full.
    fn fill(&self, stage: &str, last: &str, page: &mut Page) -> bool {
        if stage == "j" {
            let from = (Bound::Excluded(last), Bound::Unbounded);
            let mut ended = self
                .finished
                .range::<str, _>(from)
                .map(|(id, _)| id)
                .peekable();
            let mut live = self.jobs.range::<str, _>(from).map(|(id, _)| id).peekable();
            loop {
                let next = match (ended.peek(), live.peek()) {
                    (Some(a), Some(b)) if a <= b => ended.next(),
                    (_, Some(_)) => live.next(),
                    (_, None) => ended.next(),
                };
                let Some(id) = next else { break };
                if let Some(value) = self.job_value(id)
                    && !page.add(job_key(id), &value)
                {
                    return false;
                }
            }
        }
        if stage != "p" {
            let last = last.split_once('/').map_or("", |(id, _)| id);
            let last = if stage == "d" { last } else { "" };
            let from = (Bound::Excluded(last), Bound::Unbounded);
            for (id, job) in self
                .jobs
                .range::<str, _>(from)
                .filter(|(_, j)| j.done.len() > 0)
            {
                let rows = job.done.ranges(0, job.spec.tasks);
                if !page.add(done_key(id, 0), &DoneValue { tasks: rows }) {
                    return false;
                }
            }
        }
        let done = if stage == "p" {
            last.parse().ok()
        } else {
            None
        };
        let machines: Vec<_> = self.machines.iter().collect();
        let pages = machines.chunks(MEMORY_PAGE).enumerate();
        for (n, some) in pages.skip(done.map_or(0, |n: usize| n + 1)) {
            let machines = some.iter().map(|(id, m)| ((*id).clone(), (*m).clone()));
            let machines = machines.collect();
            if !page.add(page_key(n), &PageValue { machines }) {
                return false;
            }
        }
        page.add(stored_key(TERM), &TermValue { term: self.term });
        if !self.machine_types.is_empty() {
            page.add(stored_key(TYPES), &self.machine_types);
        }
        true
    }

    /// What the job's key holds, or would hold.
    pub fn job_value(&self, id: &JobId) -> Option<JobValue> {
        if let Some(end) = self.finished.get(id) {
            let left = self.residual_tasks.get(id).cloned();
            return Some(JobValue::Over { end: *end, left });
        }
        let job = self.jobs.get(id)?;
        let since = job.submitted.duration_since(SystemTime::UNIX_EPOCH);
        let ms = since.unwrap_or_default().as_millis() as u64;
        Some(JobValue::live(Box::new((*job.spec).clone()), ms))
    }
}
