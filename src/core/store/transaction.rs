//! Builds the leader's next transaction from all pending changes.
//!
//! Changes are taken in order of importance until the transaction is full: ends of jobs, new machines, jobs that
//! the store has lost, done tasks, dependents cancelled with their dependency, stale machine pages, machine types,
//! the end of a rebuild, and finally the deletion of obsolete keys.

pub(in crate::core) mod batch;

use self::batch::Batch;
use crate::core::leadership::state::LeaderState;
use crate::core::machines::cancellation_bound::cancellation_bound;
use crate::core::store::cache::{DoneValue, JobValue, StoreCache};
use crate::core::store::garbage::Deletion;
use crate::core::store::keys::{
    LEADER, REBUILDING, TYPES, done_key, job_key, key, machine_key, part_key,
};
use crate::core::store::large_jobs::{self, PartValue};
use crate::core::store::pending_writes::WriteOp;
use crate::core::{Core, Now};
use crate::fault_injection::{Safeguard, is_enabled};
use crate::job::{JobId, JobOutcome, JobSpec};
use crate::settings::Settings;
use crate::wire::{Change, CompareAndSwap, Condition, MachineType, to_json, to_json_value};
use std::time::{Duration, Instant};

/// Age at which parts that no job refers to are deleted. A submission takes at most 5 s.
const UNCLAIMED_PARTS_TTL: Duration = Duration::from_secs(60);
/// Delay before done tasks are written, so that more of them share a write. Users may see them up to 3 s late.
const PROGRESS_DELAY: Duration = Duration::from_millis(2000);

/// A transaction, and its effects on the leader's state once it is committed.
pub(super) struct Transaction {
    /// Request to the store.
    pub(super) request: CompareAndSwap,
    /// Effects of the commit, in the order of the changes.
    pub(super) ops: Vec<WriteOp>,
}

/// Collects pending changes. Each `add` method stops when the transaction is full.
struct TransactionBuilder<'a> {
    leader: &'a mut LeaderState,
    store_cache: &'a mut StoreCache,
    settings: &'a Settings,
    machine_types: &'a [MachineType],
    now: Now,
    batch: Batch,
}

impl TransactionBuilder<'_> {
    fn build(mut self) -> Option<Transaction> {
        let now = self.now.mono;
        let quarantined = &mut self.leader.writes.quarantined_keys;
        quarantined.retain(|_, until| now < *until);
        self.add_job_ends();
        self.add_new_machines();
        self.add_missing_jobs();
        self.add_progress();
        self.add_cancelled_dependents();
        self.add_stale_machines();
        self.add_machine_types();
        self.add_rebuild_completion();
        self.add_garbage_deletions();
        (!self.batch.changes.is_empty()).then(|| self.into_transaction())
    }

    fn is_quarantined(&self, key: &str) -> bool {
        self.leader.writes.quarantined_keys.contains_key(key)
    }

    fn add_job_ends(&mut self) {
        for (id, &end) in &self.leader.writes.ends {
            let key = job_key(id);
            if self.is_quarantined(&key) || self.cancellation_must_wait(id, end) {
                continue;
            }
            let cancelled = end == JobOutcome::Cancelled;
            let residual = self.store_cache.residual_tasks_of(id, self.now.wall);
            let residual_tasks = residual.filter(|_| cancelled);
            let op = WriteOp::End(id.clone(), end, residual_tasks.clone());
            let value = to_json_value(&JobValue::Ended {
                end,
                residual_tasks,
            });
            if !self.batch.add_op(vec![Change::put(key, value)], op) {
                break;
            }
        }
    }

    /// Returns whether a cancellation is written only after the job's tasks are gone. Tasks must be gone within
    /// `cancel_s` after the user is told of the cancellation. If a worker's lease may take longer than that to
    /// expire, they have to be gone before.
    fn cancellation_must_wait(&self, id: &JobId, end: JobOutcome) -> bool {
        let settings = self.settings;
        let in_time = cancellation_bound(settings.worker_lease) <= settings.cancellation_deadline;
        if end != JobOutcome::Cancelled || in_time || !is_enabled(Safeguard::CancellationBound) {
            return false;
        }
        let run = self.leader.job_runs.get(id);
        let job = self.store_cache.jobs.get(id);
        run.is_some_and(|run| !run.tasks.assigned().is_empty())
            || job.is_some_and(|job| Core::blocked_by_recovery(self.leader, job))
    }

    /// Adds pages with new machines: no task starts on a machine before the machine is recorded.
    fn add_new_machines(&mut self) {
        self.add_machine_pages(true);
    }

    /// Adds pages that still list removed machines, and deletions of the keys of single ones.
    fn add_stale_machines(&mut self) {
        self.add_machine_pages(false);
    }

    fn add_machine_pages(&mut self, only_new: bool) {
        let (records, batch) = (&mut self.leader.writes.records, &mut self.batch);
        while batch.remaining_changes() > 0
            && let Some(write) =
                records.next_write(self.now.mono, only_new, batch.remaining_changes())
        {
            if !batch.add(write.changes) {
                return records.requeue(write.pages);
            }
            batch.ops.push(WriteOp::Pages(write.pages, write.machines));
        }
        while !only_new
            && batch.remaining_changes() > 0
            && let Some(id) = records.next_single_key_deletion()
        {
            if !batch.add_deletion(machine_key(&id), None) {
                return records.delete_single_key(id);
            }
        }
    }

    /// Adds jobs that the store has lost, ended ones first: their outcomes are final, and users may know them.
    fn add_missing_jobs(&mut self) {
        let missing = &self.store_cache.missing_from_store;
        let ended = |id: &&JobId| self.store_cache.ended_jobs.contains(id);
        let live = missing.iter().filter(|id| !ended(id));
        for id in missing.iter().filter(ended).chain(live) {
            if self.is_quarantined(&job_key(id))
                || self.leader.writes.ends.contains_key(id)
                || self.store_cache.unresolved_jobs.contains(id)
            {
                continue;
            }
            let Some((changes, op)) = self.missing_job_changes(id) else {
                continue;
            };
            if !self.batch.add_op(changes, op) {
                return;
            }
        }
    }

    /// Returns the changes that restore one missing job: its key, or the next parts of a large job.
    fn missing_job_changes(&self, id: &JobId) -> Option<(Vec<Change>, WriteOp)> {
        let value = self.store_cache.job_value(id)?;
        let value_bytes = self.settings.usable_value_bytes();
        match &value {
            JobValue::Live { spec, submitted_ms }
            | JobValue::WithDependencies {
                dependent: spec,
                submitted_ms,
            } if to_json(&value).len() > value_bytes => {
                Some(self.large_job_changes(id, spec, *submitted_ms, value_bytes))
            }
            _ => Some(job_key_change(id, &value)),
        }
    }

    /// Returns the next unwritten parts of a large job or, if there are none, the key that refers to them.
    fn large_job_changes(
        &self,
        id: &JobId,
        spec: &JobSpec,
        submitted_ms: u64,
        value_bytes: usize,
    ) -> (Vec<Change>, WriteOp) {
        let text = String::from_utf8(to_json(spec)).unwrap_or_default();
        let texts = large_jobs::split_text(&text, value_bytes);
        // The term identifies the set of parts that this leadership writes.
        let generation = self.leader.term;
        let written = &self.leader.writes.missing_parts_written;
        let written = written.get(id).copied().unwrap_or(0);
        if written >= texts.len() {
            let value = JobValue::Multipart {
                parts: texts.len() as u32,
                generation,
                submitted_ms,
            };
            return job_key_change(id, &value);
        }
        let next = texts.into_iter().enumerate().skip(written);
        let part = |(n, text)| {
            let key = part_key(id, generation, n as u32);
            Change::put(key, to_json_value(&PartValue { text }))
        };
        let changes: Vec<Change> = next
            .take(self.batch.remaining_changes().max(1))
            .map(part)
            .collect();
        let written = written + changes.len();
        (changes, WriteOp::MissingJobParts(id.clone(), written))
    }

    /// Adds done tasks of live jobs, those that have waited longest first.
    fn add_progress(&mut self) {
        let writes = &self.leader.writes;
        let mut due: Vec<(Instant, JobId)> = (writes.progress.iter())
            .filter(|(_, since)| self.now.mono >= **since + PROGRESS_DELAY)
            .filter(|(id, _)| !writes.ends.contains_key(*id))
            .map(|(id, since)| (*since, id.clone()))
            .collect();
        due.sort();
        for (_, id) in due {
            if !self.add_done_ranges(&id) {
                return;
            }
        }
    }

    /// Adds the done ranges of one job, up to a quarantined key. Returns false if the transaction is full.
    fn add_done_ranges(&mut self, id: &JobId) -> bool {
        let run = self.leader.job_runs.get(id);
        let (Some(run), Some(job)) = (run, self.store_cache.jobs.get(id)) else {
            return true;
        };
        let size = done_range_size(self.settings);
        // From the last range down: an earlier version may have stored a longer range under the same key.
        // The tasks beyond the present range must be stored under their own key before that is overwritten.
        let bases = job.ranges_to_write(&run.unpersisted_done, size);
        for base in bases.into_iter().rev() {
            let key = done_key(id, base);
            if self.is_quarantined(&key) {
                return true;
            }
            let tasks = job.done.ranges(base, size);
            let end = base.saturating_add(size);
            let persisted = run.unpersisted_done.range(base..end).copied().collect();
            let op = WriteOp::Progress(id.clone(), persisted);
            let change = Change::put(key, to_json_value(&DoneValue { tasks }));
            if !self.batch.add_op(vec![change], op) {
                return false;
            }
        }
        true
    }

    /// Adds jobs that are cancelled with one that they depend on. None of their tasks can have started.
    fn add_cancelled_dependents(&mut self) {
        let end = JobOutcome::Cancelled;
        for id in &self.leader.writes.cancelled_dependents {
            let key = job_key(id);
            if self.is_quarantined(&key) || self.leader.writes.ends.contains_key(id) {
                continue;
            }
            let value = to_json_value(&JobValue::Ended {
                end,
                residual_tasks: None,
            });
            let op = WriteOp::End(id.clone(), end, None);
            if !self.batch.add_op(vec![Change::put(key, value)], op) {
                break;
            }
        }
    }

    /// Adds the machine types, unless the list is too long for a value: every controller also gets it from the cloud.
    fn add_machine_types(&mut self) {
        let key = key(TYPES);
        if !self.leader.writes.machine_types || self.is_quarantined(&key) {
            return;
        }
        if to_json(&self.machine_types).len() > self.settings.max_value_bytes {
            self.leader.writes.machine_types = false;
            return;
        }
        let change = Change::put(key, to_json_value(&self.machine_types));
        self.batch.add_op(vec![change], WriteOp::Types);
    }

    /// Adds the deletion of the marker of an incomplete store, alone and after everything else is written.
    fn add_rebuild_completion(&mut self) {
        if self.leader.writes.rebuild_complete && self.batch.changes.is_empty() {
            let key = key(REBUILDING);
            self.batch
                .add_op(vec![Change::Delete { key }], WriteOp::Rebuilt);
        }
    }

    /// Adds deletions of obsolete keys. Those that cannot be decided yet, or do not fit, stay queued.
    fn add_garbage_deletions(&mut self) {
        let mut undecided = Vec::new();
        while self.batch.remaining_changes() > 0
            && let Some(key) = self.store_cache.garbage_keys.pop_first()
        {
            match self.store_cache.deletion_of(&key) {
                Deletion::Allowed(condition) => {
                    if !self.batch.add_deletion(key.clone(), condition) {
                        undecided.push(key);
                        break;
                    }
                }
                Deletion::Undecided => undecided.push(key),
                Deletion::Unnecessary => {}
            }
        }
        self.store_cache.garbage_keys.extend(undecided);
    }

    fn into_transaction(self) -> Transaction {
        let Batch {
            changes,
            conditions: further_conditions,
            ops,
            ..
        } = self.batch;
        // Conditional on the leader key: a transaction that arrives after the end of this
        // leadership must change nothing.
        let mut conditions = vec![Condition {
            key: key(LEADER),
            version: self.leader.key_version,
        }];
        // Conditional on the store's identity: after a loss of data, another leader key may have the same version.
        conditions.extend(self.leader.identity_condition());
        // Conditional on each key's version: a transaction executed after newer ones of this leader must not
        // undo them.
        conditions.extend(changes.iter().map(|change| Condition {
            key: change.key().into(),
            version: self.store_cache.versions.of(change.key()),
        }));
        let is_changed = |c: &Condition| changes.iter().any(|change| change.key() == c.key);
        let further_conditions = further_conditions.into_iter();
        conditions.extend(further_conditions.filter(|c| !is_changed(c)));
        let request = CompareAndSwap {
            conditions,
            changes,
        };
        Transaction { request, ops }
    }
}

/// Returns the change that writes a missing job's key, which completes its restoration.
fn job_key_change(id: &JobId, value: &JobValue) -> (Vec<Change>, WriteOp) {
    let change = Change::put(job_key(id), to_json_value(value));
    (vec![change], WriteOp::MissingJob(id.clone()))
}

/// Returns the number of tasks per stored range. A range fits into one value even if every other task is done.
fn done_range_size(settings: &Settings) -> u32 {
    let tasks = (settings.max_value_bytes as u32 / 4).clamp(64, 2048);
    1 << tasks.ilog2()
}

impl Core {
    /// Builds the next transaction of this leader, if there are pending changes.
    pub(super) fn build_transaction(&mut self) -> Option<Transaction> {
        self.collect_garbage_keys();
        let configured = self.settings.max_transaction_changes.saturating_sub(1);
        let budget = self.write_budget.available(self.now.mono) as usize;
        let max_changes = configured.max(1).min(budget);
        let leader = self.leader.as_mut()?;
        let store_limit = leader.writes.max_changes.unwrap_or(max_changes);
        let builder = TransactionBuilder {
            leader,
            store_cache: &mut self.store_cache,
            settings: &self.settings,
            machine_types: &self.machine_types,
            now: self.now,
            batch: Batch::new(max_changes.min(store_limit)),
        };
        let transaction = builder.build()?;
        self.write_budget.spend(transaction.request.changes.len());
        Some(transaction)
    }

    /// Queues parts for deletion that no job has referred to for `UNCLAIMED_PARTS_TTL`: their submission failed. Parts
    /// that this leader writes to restore a job are not among them.
    fn collect_garbage_keys(&mut self) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let mut first_seen = std::mem::take(&mut leader.unclaimed_parts);
        let restored = &leader.writes.missing_parts_written;
        let is_restored = |id, generation| generation == leader.term && restored.contains_key(id);
        for (id, generation) in self.store_cache.parts.unclaimed() {
            if is_restored(id, *generation) {
                continue;
            }
            let part_set = (id.clone(), *generation);
            let since = first_seen.remove(&part_set).unwrap_or(now);
            if now >= since + UNCLAIMED_PARTS_TTL {
                let keys = self.store_cache.parts.keys(id, *generation);
                self.store_cache.garbage_keys.extend(keys);
            }
            leader.unclaimed_parts.insert(part_set, since);
        }
    }
}

#[cfg(test)]
mod tests;
