//! This node's copy of what the state service holds, kept current by the watch.
//!
//! Keys: `leader` (on the leader's lease), `term`, `types`, `j/<job>`, `d/<job>/<row>` (ranges of
//! done tasks, counted from that row), `s/<job>/<stem>/<n>` (parts of large jobs), `p/<n>` (pages of
//! machines that may hold a task), `m/<machine>` (such machines one by one, from earlier versions),
//! `i/<identity>` (which store this is) and `rebuilding` (it has lost data that is being brought back).
//!
//! When the store has lost data, the copy outlives it: `merge_after_loss` keeps what is remembered and notes
//! what of it the store does not hold. What others remember joins by the same rules (`remember`), which
//! do not depend on order: ends are final, done rows unite, a machine once known is known.

use crate::core::jobs::dependencies::DependencyGraph;
use crate::core::store::keys::{LEADER, REBUILDING, TERM, TYPES, done_key};
use crate::core::store::large_jobs::{self, LargeJobParts, PartValue, PartedJob};
use crate::core::store::versions::KeyVersions;
use crate::fault_injection::{Safeguard, is_enabled};
use crate::job::{JobId, JobOutcome, JobSpec, MachineId};
use crate::store_client::PREFIX;
use crate::wire::{Change, Item, MachineType, WatchEvent};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

mod loss;
mod memory;
mod row_set;
mod stored;

pub use row_set::RowSet;
use stored::is_over;
pub use stored::{
    DoneValue, IdentityValue, JobValue, LeaderValue, MachineValue, PageValue, RebuildingValue,
    ResidualTasks, TermValue,
};

#[derive(Clone, Debug)]
pub struct JobRecord {
    pub spec: Arc<JobSpec>,
    pub submitted: SystemTime,
    pub version: u64,
    pub done: RowSet,
    /// The pieces in which `done` is stored: their first rows, and the row after the last one
    /// that each of them tells. An earlier version's pieces may reach further than ours.
    pub stored_ranges: BTreeMap<u32, u32>,
}

impl JobRecord {
    /// First rows of the pieces of this size that are to be written for these rows to be on
    /// record: theirs, and all that a stored piece under one of these keys reaches over.
    pub fn ranges_to_write(&self, rows: &BTreeSet<u32>, piece: u32) -> BTreeSet<u32> {
        let mut bases: BTreeSet<u32> = rows.iter().map(|r| r / piece * piece).collect();
        let mut look: Vec<u32> = bases.iter().copied().collect();
        while let Some(base) = look.pop() {
            let end = self.stored_ranges.get(&base).copied().unwrap_or(0);
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

#[derive(Default)]
pub struct StoreCache {
    /// False until the first full list has been read.
    pub loaded: bool,
    pub revision: u64,
    pub leader: Option<(LeaderValue, u64)>,
    /// The newest that is known of.
    pub term: u64,
    /// The one that the store has, and the version of its key.
    pub stored_term: u64,
    pub term_version: u64,
    pub machine_types: Vec<MachineType>,
    pub jobs: BTreeMap<JobId, JobRecord>,
    /// Finished jobs stay for ever, as little more than their ids.
    pub finished: BTreeMap<JobId, JobOutcome>,
    pub machines: BTreeMap<MachineId, MachineValue>,
    /// Who awaits whom among the live jobs.
    pub dependencies: DependencyGraph,
    /// Which of them are on which page.
    pub pages: BTreeMap<usize, BTreeSet<MachineId>>,
    /// Those under keys of their own.
    pub single_key_machines: BTreeSet<MachineId>,
    /// Jobs that changed since the leader last took them in.
    pub changed: BTreeSet<JobId>,
    /// Ranges that were read before their job.
    orphaned_ranges: BTreeMap<(JobId, u32), String>,
    /// Keys of pieces and parts of jobs that are over: the leader clears them when there is room.
    pub garbage_keys: BTreeSet<String>,
    /// Jobs too large for one value.
    pub parts: LargeJobParts,
    /// Which store this is a copy of, and the version of the key that says so.
    pub identity: Option<(String, u64)>,
    /// Its first term, if it was taken for new: a worker that has seen an earlier one proves it was not.
    pub first_term: Option<u64>,
    /// It goes by another name now, which a store is given only when it has lost data.
    pub identity_changed: bool,
    /// This process has noticed the loss itself, and the next name is expected.
    expects_new_identity: bool,
    pub rebuilding: Option<(RebuildingValue, u64)>,
    /// Jobs whose key is remembered here and not, or not so, in the store.
    pub missing_from_store: BTreeSet<JobId>,
    /// Ends that this process wrote and the watch has not told yet, with their revisions: a list
    /// begun before them does not contradict them.
    unconfirmed_ends: BTreeMap<JobId, u64>,
    /// On which a leader's changes depend.
    pub versions: KeyVersions,
    /// What may be left of jobs that were cancelled lately.
    pub residual_tasks: BTreeMap<JobId, ResidualTasks>,
    /// What was cancelled before (milliseconds since 1970) is on no machine any more.
    nothing_left_before_ms: u64,
}

impl StoreCache {
    /// Replaces everything, except that what is final stays final. A list may have been begun before
    /// what this process wrote since, and does not know what it has yet to write: jobs newer than the
    /// list stay, and so does what was done of all.
    pub fn reset(&mut self, items: Vec<Item>, revision: u64) {
        let finished = std::mem::take(&mut self.finished);
        let before = std::mem::take(&mut self.jobs);
        let ahead = std::mem::take(&mut self.unconfirmed_ends);
        let mut versions = std::mem::take(&mut self.versions);
        versions.clear_observed();
        let left = std::mem::take(&mut self.residual_tasks);
        *self = StoreCache {
            finished,
            unconfirmed_ends: ahead,
            versions,
            residual_tasks: left,
            nothing_left_before_ms: self.nothing_left_before_ms,
            changed: before.keys().cloned().collect(),
            loaded: true,
            revision,
            ..StoreCache::default()
        };
        for item in items {
            self.put(&item.key, item.value, item.version);
        }
        for (id, job) in before {
            if let Some(known) = self.jobs.get_mut(&id) {
                known.done.join(&job.done);
            } else if job.version > revision && !self.finished.contains_key(&id) {
                let doomed = self
                    .dependencies
                    .begin(&id, &job.spec.dependencies, &self.finished);
                self.changed.extend(doomed);
                self.jobs.insert(id, job);
            }
        }
    }

    /// This process wrote how a job ended.
    pub fn end_written(
        &mut self,
        id: &JobId,
        end: JobOutcome,
        left: Option<ResidualTasks>,
        revision: u64,
    ) {
        if revision > self.revision {
            self.unconfirmed_ends.insert(id.clone(), revision);
        }
        self.put_job(id, JobValue::Over { end, left }, revision);
    }

    /// What of a job may be on machines, if it is cancelled now.
    pub fn residual_of(&self, id: &JobId, now: SystemTime) -> Option<ResidualTasks> {
        let job = self.jobs.get(id)?;
        let at = now.duration_since(SystemTime::UNIX_EPOCH);
        Some(ResidualTasks {
            team: job.spec.team.clone(),
            resources: job.spec.resources,
            tasks: job.spec.tasks.saturating_sub(job.done.len()),
            cancelled_ms: at.unwrap_or_default().as_millis() as u64,
        })
    }

    /// What was cancelled before this moment is on no machine any more.
    pub fn expire_residual_tasks(&mut self, at_ms: u64) {
        self.nothing_left_before_ms = at_ms;
        self.residual_tasks.retain(|_, l| l.cancelled_ms >= at_ms);
    }

    pub fn apply(&mut self, events: Vec<WatchEvent>, revision: u64) {
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
        self.unconfirmed_ends.retain(|_, at| *at > revision);
        self.versions.drop_confirmed(revision);
    }

    /// This process wrote this.
    pub fn record_write(&mut self, changes: &[Change], revision: u64) {
        self.versions.record_write(changes, revision, self.revision);
    }

    fn put(&mut self, key: &str, value: serde_json::Value, version: u64) {
        let Some(name) = key.strip_prefix(PREFIX) else {
            return;
        };
        // How a job ended is never written again.
        if name.starts_with("j/") && is_over(&value) && is_enabled(Safeguard::VersionPruning) {
            self.versions.forget(key);
        } else {
            self.versions.put(key, version);
        }
        let read = match name.split_once('/') {
            None => self.put_singleton(name, value, version),
            Some(("j", id)) => serde_json::from_value(value).map(|v| self.put_job(id, v, version)),
            Some(("m", id)) => serde_json::from_value(value).map(|v| {
                self.machines.insert(MachineId::from(id), v);
                self.single_key_machines.insert(MachineId::from(id));
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
                    self.put_done_ranges(JobId::from(id), base, v.tasks);
                }
            }),
            Some(("s", rest)) => serde_json::from_value(value).map(|v: PartValue| {
                if let Some((id, stem, n)) = large_jobs::parse(rest) {
                    self.parts.put(&id, stem, n, v.text);
                    if self.finished.contains_key(&id) {
                        self.garbage_keys.insert(key.into());
                    }
                    self.join_parts(&id);
                }
            }),
            Some(("i", id)) => {
                match &self.identity {
                    Some((known, _)) if known != id && !self.expects_new_identity => {
                        self.identity_changed = true
                    }
                    Some((known, v)) if known == id && *v >= version => {}
                    _ => {
                        let read = serde_json::from_value::<IdentityValue>(value);
                        self.first_term = read.ok().and_then(|v| v.first_term);
                        self.expects_new_identity &=
                            self.identity.as_ref().is_some_and(|(k, _)| k == id);
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

    fn put_singleton(
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
            TYPES => self.machine_types = serde_json::from_value(value)?,
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
            if !self.unconfirmed_ends.contains_key(&id) {
                self.missing_from_store.insert(id.clone());
            }
        } else if version > 0 {
            self.missing_from_store.remove(&id);
        }
        match value {
            JobValue::Parted {
                parts: count,
                stem,
                submitted_ms,
            } => {
                if !self.finished.contains_key(&id) && !self.jobs.contains_key(&id) {
                    let head = PartedJob {
                        generation: stem,
                        count,
                        submitted_ms,
                        version,
                    };
                    self.parts.expect(&id, head);
                    self.join_parts(&id);
                }
            }
            JobValue::Over { end, left } => {
                if let Some(left) = left.filter(|l| l.cancelled_ms >= self.nothing_left_before_ms) {
                    self.residual_tasks.insert(id.clone(), left);
                }
                let job = self.jobs.remove(&id);
                let dependencies = job.as_ref().map_or(&[][..], |j| &j.spec.dependencies);
                // What it needs owes it nothing any more.
                self.changed.extend(dependencies.iter().cloned());
                self.changed
                    .extend(self.dependencies.end(&id, dependencies, end));
                let pieces = job.map(|j| j.stored_ranges).unwrap_or_default();
                let early = self
                    .take_orphaned_ranges(&id)
                    .into_iter()
                    .map(|(base, _)| base);
                let bases = pieces.into_keys().chain(early);
                self.garbage_keys
                    .extend(bases.map(|base| done_key(&id, base)));
                self.garbage_keys.extend(self.parts.end(&id));
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
                for (base, rows) in self.take_orphaned_ranges(&id) {
                    pieces.insert(base, done.add_ranges(base, &rows, spec.tasks));
                }
                let doomed = self
                    .dependencies
                    .begin(&id, &spec.dependencies, &self.finished);
                self.changed.extend(doomed);
                self.jobs.insert(
                    id,
                    JobRecord {
                        submitted: SystemTime::UNIX_EPOCH + Duration::from_millis(submitted_ms),
                        spec: Arc::new(*spec),
                        version,
                        done,
                        stored_ranges: pieces,
                    },
                );
            }
        }
    }

    /// How a job has ended, as far as that is durable: by its own end, or by that of a job that
    /// it needs.
    pub fn outcome_of(&self, id: &str) -> Option<JobOutcome> {
        let own = self.finished.get(id).copied();
        own.or_else(|| {
            self.dependencies
                .cancelled_dependency(id)
                .map(|_| JobOutcome::Cancelled)
        })
    }

    /// Whether a job with this id was ever accepted, as far as is known here.
    pub fn knows(&self, id: &str) -> bool {
        self.jobs.contains_key(id) || self.finished.contains_key(id) || self.parts.awaited_parts(id)
    }

    /// Whether nothing that a live job awaits keeps it from starting.
    pub fn ready(&self, id: &JobId) -> bool {
        self.dependencies.unfinished_dependencies(id) == 0
            && self.dependencies.cancelled_dependency(id).is_none()
    }

    fn take_orphaned_ranges(&mut self, id: &JobId) -> Vec<(u32, String)> {
        let all = (id.clone(), 0)..=(id.clone(), u32::MAX);
        let bases: Vec<u32> = self
            .orphaned_ranges
            .range(all)
            .map(|((_, base), _)| *base)
            .collect();
        let take = |base| Some((base, self.orphaned_ranges.remove(&(id.clone(), base))?));
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
            if !self.single_key_machines.contains(&id)
                && !self.pages.values().any(|p| p.contains(&id))
            {
                self.machines.remove(&id);
            }
        }
    }

    fn put_done_ranges(&mut self, id: JobId, base: u32, rows: String) {
        if let Some(job) = self.jobs.get_mut(&id) {
            let end = job.done.add_ranges(base, &rows, job.spec.tasks);
            job.stored_ranges.insert(base, end);
            self.changed.insert(id);
        } else if self.finished.contains_key(&id) {
            self.garbage_keys.insert(done_key(&id, base));
        } else {
            self.orphaned_ranges.insert((id, base), rows);
        }
    }

    fn delete(&mut self, key: &str, version: u64) {
        let Some(name) = key.strip_prefix(PREFIX) else {
            return;
        };
        if self.versions.of(key) <= version {
            self.versions.forget(key);
        }
        if let Some((id, stem, n)) = name.strip_prefix("s/").and_then(large_jobs::parse) {
            self.garbage_keys.remove(key);
            self.parts.delete(&id, stem, n);
        }
        if name == REBUILDING {
            self.rebuilding = None;
            // Whatever the store lists of machines is all there is again.
            let listed = self
                .pages
                .values()
                .flatten()
                .chain(&self.single_key_machines);
            let listed: BTreeSet<MachineId> = listed.cloned().collect();
            self.machines.retain(|id, _| listed.contains(id));
        } else if name == LEADER && self.leader.as_ref().is_some_and(|(_, v)| *v < version) {
            self.leader = None;
        } else if let Some(id) = name.strip_prefix("m/") {
            self.single_key_machines.remove(id);
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
            self.garbage_keys.remove(key);
            self.orphaned_ranges.remove(&(JobId::from(id), base));
        }
    }
}

#[cfg(test)]
mod tests;
