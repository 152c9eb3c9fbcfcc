//! This node's copy of what the state service holds, kept current by the watch.
//!
//! Keys: `leader` (on the leader's lease), `term`, `types`, `j/<job>`, `d/<job>/<row>` (ranges of
//! done tasks, counted from that row), `s/<job>/<stem>/<n>` (parts of large jobs), `p/<n>` (pages of
//! machines that may hold a task), `m/<machine>` (such machines one by one, from earlier versions),
//! `i/<identity>` (which store this is) and `rebuilding` (it has lost data that is being brought back).
//!
//! When the store has lost data, the copy outlives it: `rejoin` keeps what is remembered and notes
//! what of it the store does not hold. What others remember joins by the same rules (`remember`), which
//! do not depend on order: ends are final, done rows unite, a machine once known is known.

use super::keys::{
    LEADER, REBUILDING, Stem, TERM, TYPES, done_key, identity_key, job_key, key as stored_key,
    page_key,
};
use super::parts::{self, Head, PartValue, Parts};
use super::pipelines::Pipelines;
use super::versions::Versions;
use crate::guard::{Guard, stands};
use crate::job::{Final, JobId, JobSpec, MachineId, Resources};
use crate::state::PREFIX;
use crate::wire::{Change, Event, Item, MachineType, to_json};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderValue {
    pub name: String,
    pub nonce: u64,
    pub lease: u64,
}

/// What a store is told of itself, once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct IdentityValue {
    /// Of the forms in which keys and values are written.
    pub format: u32,
    /// The store that it continues, where that one lost data.
    pub of: Option<String>,
    /// Its first term, if it was empty and taken for new.
    #[serde(default)]
    pub first: Option<u64>,
}

/// While this is in the store, what is absent from it may yet have been accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RebuildingValue {
    /// The store that lost data, as far as anybody knew it.
    pub of: Option<String>,
    /// When that was noticed, in milliseconds since 1970.
    pub since_ms: u64,
    pub why: String,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct TermValue {
    /// Earlier versions call it `term` and cannot read this: having seen it, they cannot raise
    /// the term, so none of them leads again that would not know of the pages of machines.
    #[serde(rename = "era", alias = "term")]
    pub term: u64,
}

/// A job's stored form: all of it while it lives, how it ended afterwards.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(untagged)]
pub enum JobValue {
    Live {
        spec: Box<JobSpec>,
        submitted_ms: u64,
    },
    /// A live job that awaits others. Versions that do not know of this must not start it, and
    /// cannot: they read no job from it, and answer questions about it with 503, not with 404.
    Awaiting {
        dependent: Box<JobSpec>,
        submitted_ms: u64,
    },
    /// A live job, as long as that many parts under keys of their own.
    Parted {
        parts: u32,
        stem: Stem,
        submitted_ms: u64,
    },
    Over {
        end: Final,
        /// Earlier versions neither write nor read this.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        left: Option<Left>,
    },
}

/// What of a cancelled job may still be on machines: it counts towards its team's limit until their leases
/// have run out, also for a leader that never knew the job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Left {
    pub team: String,
    pub needs: Resources,
    /// Those that were not done when its end was written, and when that was (milliseconds since 1970).
    pub tasks: u32,
    pub at_ms: u64,
}

/// So many jobs are known for what is left of them, the latest.
const MOST_LEFT: usize = 2048;

/// Whether a job's stored form says how it ended; only that of one that is over has an end.
fn is_over(value: &serde_json::Value) -> bool {
    Final::deserialize(&value["end"]).is_ok()
}

impl JobValue {
    pub fn live(spec: Box<JobSpec>, submitted_ms: u64) -> JobValue {
        if spec.awaits.is_empty() {
            JobValue::Live { spec, submitted_ms }
        } else {
            JobValue::Awaiting {
                dependent: spec,
                submitted_ms,
            }
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineValue {
    pub addr: String,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PageValue {
    pub machines: BTreeMap<MachineId, MachineValue>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DoneValue {
    pub rows: String,
}

#[derive(Clone, Debug)]
pub struct Job {
    pub spec: Arc<JobSpec>,
    pub submitted: SystemTime,
    pub version: u64,
    pub done: RowSet,
    /// The pieces in which `done` is stored: their first rows, and the row after the last one
    /// that each of them tells. An earlier version's pieces may reach further than ours.
    pub pieces: BTreeMap<u32, u32>,
}

impl Job {
    /// First rows of the pieces of this size that are to be written for these rows to be on
    /// record: theirs, and all that a stored piece under one of these keys reaches over.
    pub fn pieces_to_write(&self, rows: &BTreeSet<u32>, piece: u32) -> BTreeSet<u32> {
        let mut bases: BTreeSet<u32> = rows.iter().map(|r| r / piece * piece).collect();
        let mut look: Vec<u32> = bases.iter().copied().collect();
        while let Some(base) = look.pop() {
            let end = self.pieces.get(&base).copied().unwrap_or(0);
            let mut next = base.saturating_add(piece);
            while next < end {
                if bases.insert(next) {
                    look.push(next);
                }
                next = next.saturating_add(piece);
            }
        }
        bases
    }
}

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

/// A set of a job's rows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RowSet {
    bits: Vec<u64>,
    count: u32,
}

impl RowSet {
    pub fn contains(&self, row: u32) -> bool {
        let (w, b) = (row as usize / 64, row % 64);
        self.bits.get(w).is_some_and(|x| x >> b & 1 == 1)
    }

    pub fn insert(&mut self, row: u32) -> bool {
        let (w, b) = (row as usize / 64, row % 64);
        if self.contains(row) {
            return false;
        }
        if self.bits.len() <= w {
            self.bits.resize(w + 1, 0);
        }
        self.bits[w] |= 1 << b;
        self.count += 1;
        true
    }

    /// Adds all rows of another set.
    pub fn join(&mut self, other: &RowSet) {
        if self.bits.len() < other.bits.len() {
            self.bits.resize(other.bits.len(), 0);
        }
        for (mine, theirs) in self.bits.iter_mut().zip(&other.bits) {
            *mine |= theirs;
        }
        self.count = self.bits.iter().map(|b| b.count_ones()).sum();
    }

    pub fn len(&self) -> u32 {
        self.count
    }

    /// The ranges within `base..base + size`, counted from `base`: "0-4,7".
    pub fn ranges(&self, base: u32, size: u32) -> String {
        let mut out = String::new();
        let mut row = base;
        let end = base.saturating_add(size).min(self.bits.len() as u32 * 64);
        while row < end {
            if !self.contains(row) {
                row += 1;
                continue;
            }
            let first = row;
            while row < end && self.contains(row) {
                row += 1;
            }
            if !out.is_empty() {
                out.push(',');
            }
            out.push_str(&(first - base).to_string());
            if row - first > 1 {
                out.push_str(&format!("-{}", row - 1 - base));
            }
        }
        out
    }

    /// Adds what `ranges` wrote, and says where it ends; rows from `limit` on and unreadable parts
    /// are passed over.
    pub fn add_ranges(&mut self, base: u32, text: &str, limit: u32) -> u32 {
        let mut end = base;
        for part in text.split(',') {
            let (first, last) = part.split_once('-').unwrap_or((part, part));
            if let (Ok(a), Ok(b)) = (first.parse::<u32>(), last.parse::<u32>()) {
                for row in a..=b.min(limit) {
                    if let Some(row) = base.checked_add(row).filter(|r| *r < limit) {
                        self.insert(row);
                        end = end.max(row + 1);
                    }
                }
            }
        }
        end
    }
}

#[derive(Default)]
pub struct Mirror {
    /// False until the first full list has been read.
    pub loaded: bool,
    pub revision: u64,
    pub leader: Option<(LeaderValue, u64)>,
    /// The newest that is known of.
    pub term: u64,
    /// The one that the store has, and the version of its key.
    pub stored_term: u64,
    pub term_version: u64,
    pub types: Vec<MachineType>,
    pub jobs: BTreeMap<JobId, Job>,
    /// Finished jobs stay for ever, as little more than their ids.
    pub finished: BTreeMap<JobId, Final>,
    pub machines: BTreeMap<MachineId, MachineValue>,
    /// Who awaits whom among the live jobs.
    pub pipelines: Pipelines,
    /// Which of them are on which page.
    pub pages: BTreeMap<usize, BTreeSet<MachineId>>,
    /// Those under keys of their own.
    pub alone: BTreeSet<MachineId>,
    /// Jobs that changed since the leader last took them in.
    pub changed: BTreeSet<JobId>,
    /// Ranges that were read before their job.
    orphans: BTreeMap<(JobId, u32), String>,
    /// Keys of pieces and parts of jobs that are over: the leader clears them when there is room.
    pub litter: BTreeSet<String>,
    /// Jobs too large for one value.
    pub parts: Parts,
    /// Which store this is a copy of, and the version of the key that says so.
    pub identity: Option<(String, u64)>,
    /// Its first term, if it was taken for new: a worker that has seen an earlier one proves it was not.
    pub first: Option<u64>,
    /// It goes by another name now, which a store is given only when it has lost data.
    pub renamed: bool,
    /// This process has noticed the loss itself, and the next name is expected.
    expects_name: bool,
    pub rebuilding: Option<(RebuildingValue, u64)>,
    /// Jobs whose key is remembered here and not, or not so, in the store.
    pub owed: BTreeSet<JobId>,
    /// Ends that this process wrote and the watch has not told yet, with their revisions: a list
    /// begun before them does not contradict them.
    ahead: BTreeMap<JobId, u64>,
    /// On which a leader's changes depend.
    pub versions: Versions,
    /// What may be left of jobs that were cancelled lately.
    pub left: BTreeMap<JobId, Left>,
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

impl Mirror {
    /// Replaces everything, except that what is final stays final. A list may have been begun before
    /// what this process wrote since, and does not know what it has yet to write: jobs newer than the
    /// list stay, and so does what was done of all.
    pub fn reset(&mut self, items: Vec<Item>, revision: u64) {
        let finished = std::mem::take(&mut self.finished);
        let before = std::mem::take(&mut self.jobs);
        let ahead = std::mem::take(&mut self.ahead);
        let mut versions = std::mem::take(&mut self.versions);
        versions.begin_again();
        let left = std::mem::take(&mut self.left);
        *self = Mirror {
            finished,
            ahead,
            versions,
            left,
            changed: before.keys().cloned().collect(),
            loaded: true,
            revision,
            ..Mirror::default()
        };
        for item in items {
            self.put(&item.key, item.value, item.version);
        }
        for (id, job) in before {
            if let Some(known) = self.jobs.get_mut(&id) {
                known.done.join(&job.done);
            } else if job.version > revision && !self.finished.contains_key(&id) {
                let doomed = self.pipelines.begin(&id, &job.spec.awaits, &self.finished);
                self.changed.extend(doomed);
                self.jobs.insert(id, job);
            }
        }
    }

    /// Why what is stored cannot be what this copy was made of, if so. A list that was begun before
    /// this process's own newest writes does not hold them, and is no contradiction.
    pub fn contradicted(&self, items: &[Item], revision: u64) -> Option<String> {
        if revision < self.revision {
            let before = self.revision;
            return Some(format!(
                "its revision went back from {before} to {revision}"
            ));
        }
        let find = |key: &str| {
            // Lists come ordered by key.
            let at = items.binary_search_by(|i| i.key.as_str().cmp(key));
            at.ok().map(|n| &items[n])
        };
        if let Some((id, version)) = &self.identity
            && find(&identity_key(id)).is_none_or(|i| i.version != *version)
        {
            return Some(format!("it is not the store {id} any more"));
        }
        if self.term_version > 0
            && find(&stored_key(TERM)).is_none_or(|i| i.version < self.term_version)
        {
            return Some(format!("it has forgotten term {}", self.term));
        }
        let absent = |id: &JobId| find(&job_key(id)).is_none();
        let newer = |id: &JobId, at: u64| at > revision || self.owed.contains(id);
        if let Some((id, _)) =
            (self.jobs.iter()).find(|(id, j)| !newer(id, j.version) && absent(id))
        {
            return Some(format!("it has forgotten job {id}"));
        }
        let ahead = |id: &JobId| self.ahead.get(id).copied().unwrap_or(0);
        let undone = |id: &&JobId| {
            !newer(id, ahead(id)) && find(&job_key(id)).is_none_or(|item| !is_over(&item.value))
        };
        let undone = self.finished.keys().find(undone)?;
        Some(format!("it has forgotten how job {undone} ended"))
    }

    /// How jobs' keys, from after one and up to another, do not say what the copy does; the copy is as
    /// new as they are.
    pub fn differs(&self, items: &[Item], after: &str, last: Option<&str>) -> Option<String> {
        let prefix = stored_key("j/");
        let name = |key: &str| JobId::from(key.strip_prefix(&prefix).unwrap_or(""));
        for i in items {
            let id = name(&i.key);
            if !self.knows(&id) {
                return Some(format!("it has job {id}, of which the watch has not told"));
            }
            if !is_over(&i.value)
                && self.finished.contains_key(&id)
                && !self.ahead.contains_key(&id)
            {
                return Some(format!("it has forgotten how job {id} ended"));
            }
        }
        let stored: BTreeSet<JobId> = items.iter().map(|i| name(&i.key)).collect();
        let end = last.map_or(Bound::Unbounded, |l| Bound::Included(name(l)));
        let range = (Bound::Excluded(name(after)), end);
        let live = self.jobs.range::<JobId, _>(range.clone()).map(|(id, _)| id);
        let ended = self.finished.range::<JobId, _>(range).map(|(id, _)| id);
        let known = |id: &&JobId| !stored.contains(*id) && !self.owed.contains(*id);
        let gone = live.chain(ended).find(known)?;
        Some(format!("it has forgotten job {gone}"))
    }

    /// The store has lost data: what is remembered stays, what is stored joins it, and what of the
    /// first is not among the second is owed to the store. Versions begin anew.
    pub fn rejoin(&mut self, items: Vec<Item>, revision: u64) {
        let prefix = stored_key("j/");
        let stored: BTreeMap<JobId, bool> = (items.iter())
            .filter_map(|i| Some((JobId::from(i.key.strip_prefix(&prefix)?), is_over(&i.value))))
            .collect();
        for job in self.jobs.values_mut() {
            // Older than whatever leads from now on: its tasks may be anywhere.
            job.version = 0;
            job.pieces.clear();
        }
        (self.identity, self.first, self.expects_name) = (None, None, false);
        (self.leader, self.rebuilding, self.renamed) = (None, None, false);
        (self.revision, self.term_version) = (revision, 0);
        (self.pages, self.alone) = Default::default();
        (self.orphans, self.litter, self.ahead) = Default::default();
        self.parts = Parts::default();
        self.versions = Versions::default();
        for item in items {
            self.put(&item.key, item.value, item.version);
        }
        let live = self.jobs.keys().filter(|id| !stored.contains_key(*id));
        let ended = self
            .finished
            .keys()
            .filter(|id| stored.get(*id) != Some(&true));
        self.owed = live.chain(ended).cloned().collect();
        self.changed.extend(self.jobs.keys().cloned());
        self.changed.extend(self.owed.iter().cloned());
        self.loaded = true;
    }

    /// The store has lost data and goes by a name all the same: it gets another one, so that no write
    /// that was meant for what is lost can come to be applied.
    pub fn expect_name(&mut self) {
        self.expects_name = self.identity.is_some();
    }

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
                None if name == TYPES && self.types.is_empty() => {
                    serde_json::from_value(value).map(|v| self.types = v)
                }
                Some(("j", id)) => serde_json::from_value(value).map(|v| {
                    new.jobs += usize::from(self.remember_job(id, v));
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
                        rows.add_ranges(base, &v.rows, job.spec.tasks);
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
    fn remember_job(&mut self, id: &str, value: JobValue) -> bool {
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
        self.owed.insert(job);
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
                if !page.add(done_key(id, 0), &DoneValue { rows }) {
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
        if !self.types.is_empty() {
            page.add(stored_key(TYPES), &self.types);
        }
        true
    }

    /// What the job's key holds, or would hold.
    pub fn job_value(&self, id: &JobId) -> Option<JobValue> {
        if let Some(end) = self.finished.get(id) {
            let left = self.left.get(id).cloned();
            return Some(JobValue::Over { end: *end, left });
        }
        let job = self.jobs.get(id)?;
        let since = job.submitted.duration_since(SystemTime::UNIX_EPOCH);
        let ms = since.unwrap_or_default().as_millis() as u64;
        Some(JobValue::live(Box::new((*job.spec).clone()), ms))
    }

    /// This process wrote how a job ended.
    pub fn end_written(&mut self, id: &JobId, end: Final, left: Option<Left>, revision: u64) {
        if revision > self.revision {
            self.ahead.insert(id.clone(), revision);
        }
        self.put_job(id, JobValue::Over { end, left }, revision);
    }

    /// What of a job may be on machines, if it is cancelled now.
    pub fn left_of(&self, id: &JobId, now: SystemTime) -> Option<Left> {
        let job = self.jobs.get(id)?;
        let at = now.duration_since(SystemTime::UNIX_EPOCH);
        Some(Left {
            team: job.spec.team.clone(),
            needs: job.spec.needs,
            tasks: job.spec.tasks.saturating_sub(job.done.len()),
            at_ms: at.unwrap_or_default().as_millis() as u64,
        })
    }

    /// What was cancelled before this moment is on no machine any more.
    pub fn nothing_left_before(&mut self, at_ms: u64) {
        self.left.retain(|_, l| l.at_ms >= at_ms);
    }

    pub fn apply(&mut self, events: Vec<Event>, revision: u64) {
        for e in events {
            if let Some(key) = e.put {
                self.put(&key, e.value, e.version);
            } else if let Some(key) = e.delete {
                self.delete(&key, e.version);
            }
        }
        self.heed_revision(revision);
    }

    /// The copy is as new as this.
    pub fn heed_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
        let revision = self.revision;
        self.ahead.retain(|_, at| *at > revision);
        self.versions.caught_up(revision);
    }

    /// This process wrote this.
    pub fn wrote(&mut self, changes: &[Change], revision: u64) {
        self.versions.wrote(changes, revision, self.revision);
    }

    fn put(&mut self, key: &str, value: serde_json::Value, version: u64) {
        let Some(name) = key.strip_prefix(PREFIX) else {
            return;
        };
        // How a job ended is never written again.
        if name.starts_with("j/") && is_over(&value) && stands(Guard::Forget) {
            self.versions.forget(key);
        } else {
            self.versions.put(key, version);
        }
        let read = match name.split_once('/') {
            None => self.put_single(name, value, version),
            Some(("j", id)) => serde_json::from_value(value).map(|v| self.put_job(id, v, version)),
            Some(("m", id)) => serde_json::from_value(value).map(|v| {
                self.machines.insert(MachineId::from(id), v);
                self.alone.insert(MachineId::from(id));
            }),
            Some(("p", n)) => serde_json::from_value(value).map(|v: PageValue| {
                if let Ok(n) = n.parse() {
                    self.put_page(n, v.machines);
                }
            }),
            Some(("d", rest)) => serde_json::from_value(value).map(|v: DoneValue| {
                if let Some((id, base)) = rest.split_once('/')
                    && let Ok(base) = base.parse()
                {
                    self.put_done(JobId::from(id), base, v.rows);
                }
            }),
            Some(("s", rest)) => serde_json::from_value(value).map(|v: PartValue| {
                if let Some((id, stem, n)) = parts::parse(rest) {
                    self.parts.put(&id, stem, n, v.text);
                    if self.finished.contains_key(&id) {
                        self.litter.insert(key.into());
                    }
                    self.join_parts(&id);
                }
            }),
            Some(("i", id)) => {
                match &self.identity {
                    Some((known, _)) if known != id && !self.expects_name => self.renamed = true,
                    Some((known, v)) if known == id && *v >= version => {}
                    _ => {
                        let read = serde_json::from_value::<IdentityValue>(value);
                        self.first = read.ok().and_then(|v| v.first);
                        self.expects_name &= self.identity.as_ref().is_some_and(|(k, _)| k == id);
                        self.identity = Some((id.to_string(), version));
                    }
                }
                Ok(())
            }
            Some(_) => Ok(()),
        };
        if let Err(e) = read {
            tracing::error!("state service: unreadable value of {key}: {e}");
        }
    }

    fn put_single(
        &mut self,
        name: &str,
        value: serde_json::Value,
        version: u64,
    ) -> Result<(), serde_json::Error> {
        match name {
            LEADER => {
                let v = serde_json::from_value(value)?;
                if self.leader.as_ref().is_none_or(|(_, old)| *old < version) {
                    self.leader = Some((v, version));
                }
            }
            TERM if version > self.term_version => {
                // A store that has lost its terms does not bring back one that was used.
                let stored = serde_json::from_value::<TermValue>(value)?.term;
                self.term = self.term.max(stored);
                (self.stored_term, self.term_version) = (stored, version);
            }
            TYPES => self.types = serde_json::from_value(value)?,
            REBUILDING => self.rebuilding = Some((serde_json::from_value(value)?, version)),
            _ => {}
        }
        Ok(())
    }

    /// Reads a job whose last part has come.
    fn join_parts(&mut self, id: &JobId) {
        if let Some((head, spec)) = self.parts.complete(id) {
            let value = JobValue::live(Box::new(spec), head.submitted_ms);
            self.put_job(id, value, head.version);
        }
    }

    pub fn put_job(&mut self, id: &str, value: JobValue, version: u64) {
        let id = JobId::from(id);
        self.changed.insert(id.clone());
        let over = matches!(value, JobValue::Over { .. });
        if version > 0 && !over && self.finished.contains_key(&id) {
            // Stored as live, and remembered as over: a store that has lost data, unless the end has
            // been written since by this process.
            if !self.ahead.contains_key(&id) {
                self.owed.insert(id.clone());
            }
        } else if version > 0 {
            self.owed.remove(&id);
        }
        match value {
            JobValue::Parted {
                parts: count,
                stem,
                submitted_ms,
            } => {
                if !self.finished.contains_key(&id) && !self.jobs.contains_key(&id) {
                    let head = Head {
                        stem,
                        count,
                        submitted_ms,
                        version,
                    };
                    self.parts.expect(&id, head);
                    self.join_parts(&id);
                }
            }
            JobValue::Over { end, left } => {
                if let Some(left) = left {
                    self.left.insert(id.clone(), left);
                    if self.left.len() > MOST_LEFT
                        && let Some(oldest) = self.left.iter().min_by_key(|(_, l)| l.at_ms)
                    {
                        let oldest = oldest.0.clone();
                        self.left.remove(&oldest);
                    }
                }
                let job = self.jobs.remove(&id);
                let awaits = job.as_ref().map_or(&[][..], |j| &j.spec.awaits);
                // What it needs owes it nothing any more.
                self.changed.extend(awaits.iter().cloned());
                self.changed.extend(self.pipelines.end(&id, awaits, end));
                let pieces = job.map(|j| j.pieces).unwrap_or_default();
                let early = self.take_orphans(&id).into_iter().map(|(base, _)| base);
                let bases = pieces.into_keys().chain(early);
                self.litter.extend(bases.map(|base| done_key(&id, base)));
                self.litter.extend(self.parts.end(&id));
                self.finished.insert(id, end);
            }
            JobValue::Live { spec, submitted_ms }
            | JobValue::Awaiting {
                dependent: spec,
                submitted_ms,
            } => {
                // An event may repeat what a newer list has told already.
                if self.finished.contains_key(&id) || self.jobs.contains_key(&id) {
                    return;
                }
                let mut done = RowSet::default();
                let mut pieces = BTreeMap::new();
                for (base, rows) in self.take_orphans(&id) {
                    pieces.insert(base, done.add_ranges(base, &rows, spec.tasks));
                }
                let doomed = self.pipelines.begin(&id, &spec.awaits, &self.finished);
                self.changed.extend(doomed);
                self.jobs.insert(
                    id,
                    Job {
                        submitted: SystemTime::UNIX_EPOCH + Duration::from_millis(submitted_ms),
                        spec: Arc::new(*spec),
                        version,
                        done,
                        pieces,
                    },
                );
            }
        }
    }

    /// How a job has ended, as far as that is durable: by its own end, or by that of a job that
    /// it needs.
    pub fn end_of(&self, id: &str) -> Option<Final> {
        let own = self.finished.get(id).copied();
        own.or_else(|| self.pipelines.doomed(id).map(|_| Final::Cancelled))
    }

    /// Whether a job with this id was ever accepted, as far as is known here.
    pub fn knows(&self, id: &str) -> bool {
        self.jobs.contains_key(id) || self.finished.contains_key(id) || self.parts.awaited_parts(id)
    }

    /// Whether nothing that a live job awaits keeps it from starting.
    pub fn ready(&self, id: &JobId) -> bool {
        self.pipelines.missing(id) == 0 && self.pipelines.doomed(id).is_none()
    }

    fn take_orphans(&mut self, id: &JobId) -> Vec<(u32, String)> {
        let all = (id.clone(), 0)..=(id.clone(), u32::MAX);
        let bases: Vec<u32> = self
            .orphans
            .range(all)
            .map(|((_, base), _)| *base)
            .collect();
        let take = |base| Some((base, self.orphans.remove(&(id.clone(), base))?));
        bases.into_iter().filter_map(take).collect()
    }

    fn put_page(&mut self, n: usize, machines: BTreeMap<MachineId, MachineValue>) {
        let now: BTreeSet<MachineId> = machines.keys().cloned().collect();
        let before = if now.is_empty() {
            self.pages.remove(&n)
        } else {
            self.pages.insert(n, now)
        };
        self.machines.extend(machines);
        for id in before.unwrap_or_default() {
            // It may have moved to another page, whichever of the two was told first.
            if !self.alone.contains(&id) && !self.pages.values().any(|p| p.contains(&id)) {
                self.machines.remove(&id);
            }
        }
    }

    fn put_done(&mut self, id: JobId, base: u32, rows: String) {
        if let Some(job) = self.jobs.get_mut(&id) {
            let end = job.done.add_ranges(base, &rows, job.spec.tasks);
            job.pieces.insert(base, end);
            self.changed.insert(id);
        } else if self.finished.contains_key(&id) {
            self.litter.insert(done_key(&id, base));
        } else {
            self.orphans.insert((id, base), rows);
        }
    }

    fn delete(&mut self, key: &str, version: u64) {
        let Some(name) = key.strip_prefix(PREFIX) else {
            return;
        };
        if self.versions.of(key) <= version {
            self.versions.forget(key);
        }
        if let Some((id, stem, n)) = name.strip_prefix("s/").and_then(parts::parse) {
            self.litter.remove(key);
            self.parts.delete(&id, stem, n);
        }
        if name == REBUILDING {
            self.rebuilding = None;
            // Whatever the store lists of machines is all there is again.
            let listed = self.pages.values().flatten().chain(&self.alone);
            let listed: BTreeSet<MachineId> = listed.cloned().collect();
            self.machines.retain(|id, _| listed.contains(id));
        } else if name == LEADER && self.leader.as_ref().is_some_and(|(_, v)| *v < version) {
            self.leader = None;
        } else if let Some(id) = name.strip_prefix("m/") {
            self.alone.remove(id);
            if !self.pages.values().any(|p| p.contains(id)) {
                self.machines.remove(id);
            }
        } else if let Some(Ok(n)) = name.strip_prefix("p/").map(str::parse) {
            self.put_page(n, BTreeMap::new());
        } else if let Some((id, Ok(base))) = name
            .strip_prefix("d/")
            .and_then(|rest| rest.split_once('/'))
            .map(|(id, base)| (id, base.parse()))
        {
            self.litter.remove(key);
            self.orphans.remove(&(JobId::from(id), base));
        }
    }
}

#[cfg(test)]
mod tests;
