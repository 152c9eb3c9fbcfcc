//! Application of the store's changes to the copy, with a method for each kind of key.

use super::stored::is_ended;
use super::{
    DoneValue, IdentityValue, JobRecord, JobValue, LeaderValue, MachineValue, PageValue,
    ResidualTasks, StoreCache, TaskSet, TermValue,
};
use crate::core::store::keys::{PartGeneration, StoreKey, done_key};
use crate::core::store::large_jobs::{MultipartHeader, PartValue};
use crate::fault_injection::{Safeguard, is_enabled};
use crate::job::{JobId, JobOutcome, JobSpec, MachineId};
use crate::store_client::PREFIX;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

impl StoreCache {
    /// Applies a key's value in the store to the copy. An unreadable value is logged and ignored.
    pub(super) fn put(&mut self, key: &str, value: Value, version: u64) {
        if !key.starts_with(PREFIX) {
            return;
        }
        let kind = StoreKey::parse(key);
        let ended = matches!(kind, Some(StoreKey::Job(_))) && is_ended(&value);
        self.update_version(key, ended, version);
        let Some(kind) = kind else {
            return;
        };
        if let Err(error) = self.put_value(kind, key, value, version) {
            tracing::error!(key, %error, "unreadable value in the store");
        }
    }

    /// Records the version of a key; `ended` tells whether it is the key of an ended job. That key is never written
    /// again, so its version is not needed.
    pub(super) fn update_version(&mut self, key: &str, ended: bool, version: u64) {
        if ended && is_enabled(Safeguard::VersionPruning) {
            self.versions.forget(key);
        } else {
            self.versions.put(key, version);
        }
    }

    fn put_value(
        &mut self,
        kind: StoreKey,
        key: &str,
        value: Value,
        version: u64,
    ) -> Result<(), serde_json::Error> {
        match kind {
            StoreKey::Leader => self.put_leader(serde_json::from_value(value)?, version),
            StoreKey::Term => self.put_term(serde_json::from_value(value)?, version),
            StoreKey::MachineTypes => self.machine_types = serde_json::from_value(value)?,
            StoreKey::Rebuilding => {
                self.rebuilding = Some((serde_json::from_value(value)?, version));
            }
            StoreKey::Job(id) => self.put_stored_job(id, serde_json::from_value(value)?, version),
            StoreKey::DoneRange { job, base } => {
                let value: DoneValue = serde_json::from_value(value)?;
                self.put_done_range(JobId::from(job), base, value.tasks);
            }
            StoreKey::JobPart {
                job,
                generation,
                number,
            } => {
                let value: PartValue = serde_json::from_value(value)?;
                self.put_part(key, &JobId::from(job), generation, number, value.text);
            }
            StoreKey::MachinePage(n) => {
                let value: PageValue = serde_json::from_value(value)?;
                self.put_page(n, value.machines);
            }
            StoreKey::Machine(id) => {
                let id = MachineId::from(id);
                self.machines
                    .insert(id.clone(), serde_json::from_value(value)?);
                self.single_key_machines.insert(id);
            }
            StoreKey::Identity(id) => self.put_identity(id, value, version),
        }
        Ok(())
    }

    fn put_leader(&mut self, value: LeaderValue, version: u64) {
        if self.leader.as_ref().is_none_or(|(_, old)| *old < version) {
            self.leader = Some((value, version));
        }
    }

    /// Applies the store's term. `term` never decreases, so that no term is used again after the store has lost data.
    fn put_term(&mut self, value: TermValue, version: u64) {
        if version > self.term_version {
            self.term = self.term.max(value.term);
            self.stored_term = value.term;
            self.term_version = version;
        }
    }

    /// Applies the store's identity. A new identity is a sign of a loss, unless this process has detected the loss
    /// itself.
    fn put_identity(&mut self, id: &str, value: Value, version: u64) {
        let known = self.identity.as_ref();
        let same = known.is_some_and(|(known, _)| known == id);
        if known.is_some() && !same && !self.expects_new_identity {
            self.identity_changed = true;
            return;
        }
        if same && known.is_some_and(|(_, known)| *known >= version) {
            return;
        }
        let read = serde_json::from_value::<IdentityValue>(value);
        self.first_term = read.ok().and_then(|v| v.first_term);
        self.expects_new_identity &= same;
        self.identity = Some((id.to_string(), version));
    }

    fn put_part(
        &mut self,
        key: &str,
        id: &JobId,
        generation: PartGeneration,
        number: u32,
        text: String,
    ) {
        self.parts.put(id, generation, number, text);
        if self.ended_jobs.contains(id) {
            self.add_garbage_key(id, key.into());
        }
        self.assemble_parts(id);
    }

    /// Adds a job that is stored in parts, once all parts have been read.
    fn assemble_parts(&mut self, id: &JobId) {
        if let Some((head, spec)) = self.parts.take_complete(id) {
            let value = JobValue::live(Box::new(spec), head.submitted_ms);
            self.put_job(id, value, head.version);
        }
    }

    /// Applies the value of a job's key from a list or an event of the watch.
    pub(super) fn put_stored_job(&mut self, id: &str, value: JobValue, version: u64) {
        let ended = matches!(value, JobValue::Ended { .. });
        self.update_missing_from_store(&JobId::from(id), ended, version);
        self.put_job(id, value, version);
        if self.has_lost_parts(id) {
            self.missing_from_store.insert(id.into());
        }
    }

    /// Returns whether the store lacks parts of a live job that this copy has.
    pub(super) fn has_lost_parts(&self, id: &str) -> bool {
        self.jobs.contains_key(id) && self.parts.lacks_parts(&id.into())
    }

    /// Applies the value of a job's key from the response to a single call. The response may be older than what the
    /// watch has delivered since, so it adds jobs and ends, but does not show what the store lacks.
    pub fn put_job_from_response(&mut self, id: &str, value: JobValue, version: u64) {
        if matches!(value, JobValue::Ended { .. }) {
            self.put_job(id, value, version);
            self.drop_oldest_ends();
        } else if !self.is_known_job(id) && !self.may_have_ended_since(version) {
            self.put_job(id, value, version);
        }
    }

    /// Returns whether an unknown job that had not ended at this version of its key may have ended since, and its end
    /// been dropped from the copy.
    fn may_have_ended_since(&self, version: u64) -> bool {
        self.loaded && self.ended_jobs.may_lack(version)
    }

    /// Drops the ends of jobs that were received first, so that the others fit into the limit on their memory.
    pub(super) fn drop_oldest_ends(&mut self) {
        let missing = &self.missing_from_store;
        let is_unstored = |id: &JobId| missing.contains(id);
        self.ended_jobs.drop_oldest(self.revision, is_unstored);
    }

    /// Queues the deletion of a key of an ended job, whose end is kept for it.
    fn add_garbage_key(&mut self, job: &JobId, key: String) {
        self.garbage_keys.insert(key);
        self.ended_jobs.touch(job);
    }

    /// Applies the value of a job's key. Version 0 means that the value comes from another controller's copy or a
    /// snapshot, not from the store.
    pub(super) fn put_job(&mut self, id: &str, value: JobValue, version: u64) {
        let id = JobId::from(id);
        self.changed_jobs.insert(id.clone());
        self.unresolved_jobs.remove(&id);
        match value {
            JobValue::Multipart {
                parts: count,
                generation,
                submitted_ms,
            } => {
                let head = MultipartHeader {
                    generation,
                    count,
                    submitted_ms,
                    version,
                };
                self.put_parted_job(&id, head);
            }
            JobValue::Ended {
                end,
                residual_tasks,
            } => {
                if version > self.revision {
                    self.unconfirmed_ends.insert(id.clone(), version);
                }
                self.put_ended_job(id, end, residual_tasks, version);
            }
            JobValue::Live { spec, submitted_ms }
            | JobValue::WithDependencies {
                dependent: spec,
                submitted_ms,
            } => self.put_live_job(id, *spec, submitted_ms, version),
        }
    }

    /// Updates whether the store lacks the state of a job that this copy has; `ended` tells whether the store held the
    /// job as ended at this version of the job's key.
    fn update_missing_from_store(&mut self, id: &JobId, ended: bool, version: u64) {
        let end_is_newer = |end: &u64| *end > version;
        if ended || !self.ended_jobs.contains(id) {
            self.missing_from_store.remove(id);
        } else if !self.unconfirmed_ends.get(id).is_some_and(end_is_newer) {
            // The job has ended in this copy but not in the store. So the store has lost data, unless the watch has
            // not delivered the end yet.
            self.missing_from_store.insert(id.clone());
        }
    }

    /// Returns whether the copy already has the job or its end. Events of the watch may repeat what a newer list
    /// contained.
    pub(super) fn is_cached(&self, id: &JobId) -> bool {
        self.ended_jobs.contains(id) || self.jobs.contains_key(id)
    }

    /// Applies the key of a job that is stored in parts. Also for a job that the copy has, the parts must be known to
    /// belong to it: those that no job refers to are deleted.
    fn put_parted_job(&mut self, id: &JobId, header: MultipartHeader) {
        if !self.ended_jobs.contains(id) {
            self.parts
                .put_header(id, header, self.jobs.contains_key(id));
            self.assemble_parts(id);
        }
    }

    fn put_ended_job(
        &mut self,
        id: JobId,
        end: JobOutcome,
        residual: Option<ResidualTasks>,
        version: u64,
    ) {
        let expired_before = self.residual_expired_before_ms;
        if let Some(residual) = residual.filter(|r| r.cancelled_ms >= expired_before) {
            self.residual_tasks.insert(id.clone(), residual);
        }
        let job = self.jobs.remove(&id);
        let dependencies = job.as_ref().map_or(&[][..], |j| &j.spec.dependencies);
        // The job's dependencies no longer inherit its urgency.
        self.changed_jobs.extend(dependencies.iter().cloned());
        let dependents = self.dependencies.remove_job(&id, dependencies, end);
        self.changed_jobs.extend(dependents);
        let stored_ranges = job.map(|j| j.stored_ranges).unwrap_or_default();
        let orphaned = self.take_orphaned_ranges(&id).into_iter();
        let bases = stored_ranges
            .into_keys()
            .chain(orphaned.map(|(base, _)| base));
        let mut garbage: Vec<String> = bases.map(|base| done_key(&id, base)).collect();
        garbage.extend(self.parts.remove_job(&id));
        self.ended_jobs.insert(&id, end, version);
        for key in garbage {
            self.add_garbage_key(&id, key);
        }
    }

    fn put_live_job(&mut self, id: JobId, spec: JobSpec, submitted_ms: u64, version: u64) {
        if self.is_cached(&id) {
            return;
        }
        let mut done = TaskSet::default();
        let mut stored_ranges = BTreeMap::new();
        for (base, ranges) in self.take_orphaned_ranges(&id) {
            stored_ranges.insert(base, done.add_ranges(base, &ranges, spec.tasks));
        }
        self.add_dependencies(&id, &spec.dependencies);
        let record = JobRecord {
            submitted: SystemTime::UNIX_EPOCH + Duration::from_millis(submitted_ms),
            spec: Arc::new(spec),
            version,
            done,
            stored_ranges,
        };
        self.jobs.insert(id, record);
    }

    pub(super) fn take_orphaned_ranges(&mut self, id: &JobId) -> Vec<(u32, String)> {
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
            // The machine may have moved to another page, whose change may have been delivered first.
            if !self.single_key_machines.contains(&id)
                && !self.pages.values().any(|p| p.contains(&id))
            {
                self.machines.remove(&id);
            }
        }
    }

    fn put_done_range(&mut self, id: JobId, base: u32, ranges: String) {
        if let Some(job) = self.jobs.get_mut(&id) {
            let end = job.done.add_ranges(base, &ranges, job.spec.tasks);
            job.stored_ranges.insert(base, end);
            self.changed_jobs.insert(id);
        } else if self.ended_jobs.contains(&id) {
            let key = done_key(&id, base);
            self.add_garbage_key(&id, key);
        } else {
            self.orphaned_ranges.insert((id, base), ranges);
        }
    }

    /// Applies the deletion of a key at `version`.
    pub(super) fn delete(&mut self, key: &str, version: u64) {
        if !key.starts_with(PREFIX) {
            return;
        }
        if self.versions.of(key) <= version {
            self.versions.forget(key);
        }
        match StoreKey::parse(key) {
            Some(StoreKey::Leader) if self.leader.as_ref().is_some_and(|(_, v)| *v < version) => {
                self.leader = None;
            }
            Some(StoreKey::Rebuilding) => self.delete_incomplete_mark(),
            Some(StoreKey::DoneRange { job, base }) => {
                self.garbage_keys.remove(key);
                self.orphaned_ranges.remove(&(JobId::from(job), base));
            }
            Some(StoreKey::JobPart {
                job,
                generation,
                number,
            }) => {
                self.garbage_keys.remove(key);
                self.parts.delete(&JobId::from(job), generation, number);
                if self.has_lost_parts(job) {
                    // A leader of an earlier version deletes parts whose job it has lost track of.
                    self.missing_from_store.insert(job.into());
                }
            }
            Some(StoreKey::MachinePage(n)) => self.put_page(n, BTreeMap::new()),
            Some(StoreKey::Machine(id)) => {
                self.single_key_machines.remove(id);
                if !self.pages.values().any(|p| p.contains(id)) {
                    self.machines.remove(id);
                }
            }
            _ => {}
        }
    }

    /// Applies the deletion of the mark: the store is complete, so machines that it does not list are dropped.
    fn delete_incomplete_mark(&mut self) {
        self.rebuilding = None;
        let pages = self.pages.values().flatten();
        let listed: BTreeSet<&MachineId> = pages.chain(&self.single_key_machines).collect();
        self.machines.retain(|id, _| listed.contains(id));
    }
}
