//! The leader's durable writes: what waits to be written is gathered into transactions, one of which is on its way
//! at a time, and each takes effect here when it is known to be committed.

use crate::core::leadership::json;
use crate::core::leadership::state::{InFlightWrite, LeaderState, RefusedWrite, WriteOp};
use crate::core::machines::failure_detection::cancellation_bound;
use crate::core::store::cache::{DoneValue, JobValue};
use crate::core::store::keys::{LEADER, REBUILDING, TYPES, done_key, job_key, key, machine_key};
use crate::core::store::machine_records::MachineRecords;
use crate::core::{CallId, Core, Pending};
use crate::fault_injection::{Safeguard, is_enabled};
use crate::job::{JobId, JobOutcome};
use crate::store_client::{StoreOutcome, StoreRequest};
use crate::wire::{Change, CompareAndSwap, Condition, to_json};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// A submission takes 5 s at the most; its parts wait this long for their job.
const UNCLAIMED_PARTS_TTL: Duration = Duration::from_secs(60);
/// Done ranges may wait this long to be written together; users may be told 3 s late.
const PROGRESS_DELAY: Duration = Duration::from_millis(2000);
/// The part of the state service's changes that the leader's own writes may take; the rest is
/// for accepting jobs, which must not wait behind them.
pub(in crate::core) const WRITE_SHARE: f64 = 0.7;
/// A transaction may have 64 KiB; this leaves room for its frame.
pub(in crate::core) const MAX_TRANSACTION_BYTES: usize = 56 * 1024;
/// What a condition takes of that, beside its key.
const CONDITION_BYTES: usize = 48;
/// Writes in a row refused for what somebody else has changed, before all is read afresh; and before another
/// controller is let try.
const CONFLICTS_BEFORE_REREAD: u32 = 3;
const MAX_CONFLICTS: u32 = 6;
/// The watch tells within moments what a write was refused for; after this, all is read afresh.
const CONFLICT_SETTLE_TIMEOUT: Duration = Duration::from_secs(2);
/// What the service refuses by itself is tried again after this long.
const QUARANTINE: Duration = Duration::from_secs(30);

/// A transaction in the making.
#[derive(Default)]
struct Batch {
    /// Changes that it may have.
    most: usize,
    /// Bytes that a value may have.
    value_bytes: usize,
    bytes: usize,
    changes: Vec<Change>,
    ops: Vec<WriteOp>,
}

impl Batch {
    /// Adds changes that belong together, if there is room for all of them.
    fn add(&mut self, mut new: Vec<Change>) -> bool {
        let size = |c: &Change| to_json(c).len() + 2 + c.key().len() + CONDITION_BYTES;
        let size: usize = new.iter().map(size).sum();
        if self.changes.len() + new.len() > self.most || self.bytes + size > MAX_TRANSACTION_BYTES {
            return false;
        }
        self.bytes += size;
        self.changes.append(&mut new);
        true
    }

    /// Adds pages of machines: those with new ones, or also those that are merely out of date.
    fn pages(&mut self, records: &mut MachineRecords, now: Instant, only_new: bool) {
        while self.changes.len() < self.most
            && let Some(write) = records.next(now, only_new, self.most - self.changes.len())
        {
            if !self.add(write.changes) {
                return records.requeue(write.pages);
            }
            self.ops.push(WriteOp::Pages(write.pages, write.machines));
        }
        while !only_new
            && self.changes.len() < self.most
            && let Some(change) = records.next_single_key_deletion()
        {
            self.changes.push(change);
        }
    }
}

impl Core {
    /// Sends the next transaction when none is on its way: at once when idle, and what gathers
    /// meanwhile goes together in the one after it.
    pub(in crate::core) fn send_writes(&mut self) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        if let Some(sent) = &mut leader.writes.in_flight {
            if let Some(refused) = &mut sent.refused {
                if now >= refused.since + CONFLICT_SETTLE_TIMEOUT {
                    refused.since = now;
                    self.suspect_data_loss("a write was refused, and the watch does not tell why");
                }
                return;
            }
            if sent.call.is_some() || now < sent.retry_at {
                return;
            }
            // No answer, or refused: the very same again. Should the first copy be applied as well,
            // the second of the two finds other versions, and changes nothing.
            let txn = sent.txn.clone();
            let call = self.ask_state(Pending::Write, StoreRequest::CompareAndSwap(txn));
            if let Some(sent) = self
                .leader
                .as_mut()
                .and_then(|l| l.writes.in_flight.as_mut())
            {
                sent.call = Some(call);
            }
            return;
        }
        if self.store_cache.revision < leader.writes.minimum_revision
            || self.write_budget.left(now) < 1.0
        {
            return;
        }
        let Some((txn, ops)) = self.build_transaction() else {
            return;
        };
        let call = self.ask_state(Pending::Write, StoreRequest::CompareAndSwap(txn.clone()));
        if let Some(leader) = &mut self.leader {
            leader.writes.in_flight = Some(InFlightWrite::new(txn, ops, call, now));
        }
    }

    /// Parts that no job has referred to for long are of a submission that came to nothing.
    fn collect_garbage_keys(&mut self) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let mut since = std::mem::take(&mut leader.unclaimed_parts);
        for (id, stem) in self.store_cache.parts.unclaimed() {
            let name = (id.clone(), *stem);
            let first = since.remove(&name).unwrap_or(now);
            if now >= first + UNCLAIMED_PARTS_TTL {
                let keys = self.store_cache.parts.keys(id, *stem);
                self.store_cache.garbage_keys.extend(keys);
            }
            leader.unclaimed_parts.insert(name, first);
        }
    }

    fn build_transaction(&mut self) -> Option<(CompareAndSwap, Vec<WriteOp>)> {
        self.collect_garbage_keys();
        let now = self.now.mono;
        let piece = self.range_size();
        let most = self
            .settings
            .max_transaction_changes
            .saturating_sub(1)
            .max(1);
        let most = most.min(self.write_budget.left(now) as usize);
        // Told of a cancellation, a user counts on its tasks being gone in `cancel_s`. Where that is less than
        // what a lease takes to run out, they have to be gone before.
        let in_time =
            cancellation_bound(self.settings.worker_lease) <= self.settings.cancellation_deadline;
        let leader = self.leader.as_mut()?;
        let left_over: BTreeSet<JobId> = if in_time || !is_enabled(Safeguard::InTime) {
            BTreeSet::new()
        } else {
            let cancelled = leader
                .writes
                .ends
                .iter()
                .filter(|(_, end)| **end == JobOutcome::Cancelled);
            let jobs = &self.store_cache.jobs;
            let left = cancelled.filter(|(id, _)| {
                let placed = leader
                    .job_runs
                    .get(*id)
                    .is_some_and(|r| !r.tasks.assigned().is_empty());
                placed
                    || jobs
                        .get(*id)
                        .is_some_and(|j| Self::blocked_by_recovery(leader, j))
            });
            left.map(|(id, _)| id.clone()).collect()
        };
        let w = &mut leader.writes;
        w.quarantined_keys.retain(|_, until| now < *until);
        let mut batch = Batch {
            most: most.min(w.max_changes.unwrap_or(most)),
            value_bytes: self.settings.max_value_bytes,
            ..Batch::default()
        };
        let put = |key, value| Change::Put {
            key,
            value,
            lease: None,
        };
        for (id, end) in &w.ends {
            let key = job_key(id);
            if w.quarantined_keys.contains_key(&key) || left_over.contains(id) {
                continue;
            }
            let cancelled = *end == JobOutcome::Cancelled;
            let left = self
                .store_cache
                .residual_of(id, self.now.wall)
                .filter(|_| cancelled);
            let (end, told) = (*end, left.clone());
            if !batch.add(vec![put(key, json(&JobValue::Over { end, left }))]) {
                break;
            }
            batch.ops.push(WriteOp::End(id.clone(), end, told));
        }
        batch.pages(&mut w.records, now, true);
        let owed = std::mem::take(&mut self.store_cache.missing_from_store);
        self.add_missing_jobs(&mut batch, &owed);
        self.store_cache.missing_from_store = owed;
        let leader = self.leader.as_mut()?;
        let w = &mut leader.writes;
        let mut due: Vec<(Instant, &JobId)> = w.progress.iter().map(|(id, t)| (*t, id)).collect();
        due.retain(|(t, id)| now >= *t + PROGRESS_DELAY && !w.ends.contains_key(*id));
        due.sort();
        'jobs: for (_, id) in due {
            let (Some(run), Some(job)) = (leader.job_runs.get(id), self.store_cache.jobs.get(id))
            else {
                continue;
            };
            // From the last row down: a piece of an earlier version may reach further than ours
            // under the same key, and what it tells beyond is to be on record elsewhere first.
            for base in job
                .ranges_to_write(&run.unpersisted_done, piece)
                .into_iter()
                .rev()
            {
                let key = done_key(id, base);
                if w.quarantined_keys.contains_key(&key) {
                    continue 'jobs;
                }
                let value = DoneValue {
                    tasks: job.done.ranges(base, piece),
                };
                if !batch.add(vec![put(key, json(&value))]) {
                    break 'jobs;
                }
                let end = base.saturating_add(piece);
                let rows = run.unpersisted_done.range(base..end).copied().collect();
                batch.ops.push(WriteOp::Progress(id.clone(), rows));
            }
        }
        for id in &w.followers {
            let end = JobOutcome::Cancelled;
            let key = job_key(id);
            if w.quarantined_keys.contains_key(&key) || w.ends.contains_key(id) {
                continue;
            }
            // Nothing of it can have started.
            let left = None;
            if !batch.add(vec![put(key, json(&JobValue::Over { end, left }))]) {
                break;
            }
            batch.ops.push(WriteOp::End(id.clone(), end, None));
        }
        batch.pages(&mut w.records, now, false);
        // Every controller learns the types from the cloud as well; a list too long for a value
        // is not kept here.
        let types = put(key(TYPES), json(&self.machine_types));
        let small = to_json(&self.machine_types).len() <= batch.value_bytes;
        if w.machine_types
            && small
            && !w.quarantined_keys.contains_key(&key(TYPES))
            && batch.add(vec![types])
        {
            batch.ops.push(WriteOp::Types);
        }
        let whole = Change::Delete {
            key: key(REBUILDING),
        };
        if w.rebuild_complete && batch.changes.is_empty() && batch.add(vec![whole]) {
            batch.ops.push(WriteOp::Rebuilt);
        }
        while batch.changes.len() < batch.most
            && let Some(key) = self.store_cache.garbage_keys.pop_first()
        {
            if self.store_cache.versions.of(&key) > 0 {
                batch.add(vec![Change::Delete { key }]);
            }
        }
        let Batch { changes, ops, .. } = batch;
        if changes.is_empty() {
            w.machine_types = false;
            return None;
        }
        self.write_budget.spend(changes.len());
        // Conditional on the leader key: a transaction that arrives after the end of this
        // leadership must change nothing.
        let mut conditions = vec![Condition {
            key: key(LEADER),
            version: leader.key_version,
        }];
        // In a store that has lost data, another leader key may have the same version.
        conditions.extend(leader.named());
        // And one that is carried out after newer ones of this leader must not undo them.
        conditions.extend(changes.iter().map(|c| Condition {
            key: c.key().into(),
            version: self.store_cache.versions.of(c.key()),
        }));
        Some((
            CompareAndSwap {
                conditions,
                changes,
            },
            ops,
        ))
    }

    /// What the store has lost, ends of jobs first: these are final, and some user was told of them.
    fn add_missing_jobs(&self, batch: &mut Batch, owed: &BTreeSet<JobId>) {
        let Some(leader) = &self.leader else { return };
        let w = &leader.writes;
        let over = |id: &&JobId| self.store_cache.finished.contains_key(*id);
        let ended = owed.iter().filter(over);
        let live = owed.iter().filter(|id| !over(id));
        for id in ended.chain(live) {
            if w.quarantined_keys.contains_key(&job_key(id)) || w.ends.contains_key(id) {
                continue;
            }
            let room = batch.most.saturating_sub(batch.changes.len());
            let Some((changes, op)) = self.missing_job_changes(id, room) else {
                continue;
            };
            if !batch.add(changes) {
                return;
            }
            batch.ops.push(op);
        }
    }

    /// Rows per stored piece, so that even every other row of a piece fits into one value.
    fn range_size(&self) -> u32 {
        let rows = (self.settings.max_value_bytes as u32 / 4).clamp(64, 2048);
        1 << rows.ilog2()
    }

    pub(in crate::core) fn write_outcome(&mut self, call: CallId, outcome: StoreOutcome) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let ours = |s: &InFlightWrite| s.call == Some(call);
        if !leader.writes.in_flight.as_ref().is_some_and(ours) {
            return;
        }
        let retry = |leader: &mut LeaderState, pause| {
            if let Some(sent) = &mut leader.writes.in_flight {
                sent.call = None;
                sent.retry_at = now + pause;
            }
        };
        match outcome {
            StoreOutcome::Committed { revision } => self.write_committed(revision),
            StoreOutcome::Conflict { revision, .. } if !is_enabled(Safeguard::Conflict) => {
                self.write_committed(revision);
            }
            StoreOutcome::Conflict { failed, revision } => {
                let renamed = self.contains_identity_key(&failed);
                if renamed {
                    self.suspect_data_loss("its identity is gone");
                }
                if renamed || failed.contains(&key(LEADER)) {
                    let failed = failed.join(", ");
                    return self.step_down(&format!("a write was refused: {failed} changed"));
                }
                if let Some(sent) = self
                    .leader
                    .as_mut()
                    .and_then(|l| l.writes.in_flight.as_mut())
                {
                    sent.refused = Some(RefusedWrite {
                        conflicting_keys: failed,
                        revision,
                        since: now,
                    });
                }
                self.resolve_write();
            }
            StoreOutcome::Invalid(e) => {
                // It was not executed, and would be refused for ever: its limits are lower than
                // the settings say. Fewer changes go together, down to one; a change that is
                // refused by itself is set aside, as the others must not wait for it.
                let w = &mut leader.writes;
                let Some(InFlightWrite { txn, ops, .. }) = w.in_flight.take() else {
                    return;
                };
                let keys: Vec<&str> = txn.changes.iter().map(Change::key).collect();
                if w.max_changes.is_none() {
                    tracing::error!("state service refuses {} changes: {e}", keys.len());
                }
                let alone = ops.len() == 1;
                w.max_changes = Some((keys.len() / 2).max(1));
                if let [key] = keys[..] {
                    tracing::error!("state service refuses {key}, set aside: {e}");
                    w.quarantined_keys.insert(key.to_string(), now + QUARANTINE);
                }
                for op in ops {
                    if let WriteOp::Pages(pages, _) = op {
                        match pages[..] {
                            [n] if alone => w.records.defer(n, now + QUARANTINE),
                            _ => w.records.requeue(pages),
                        }
                    }
                }
                self.requeue_deletions(&txn);
            }
            StoreOutcome::Refused(e) => {
                tracing::debug!("write refused: {e}");
                retry(leader, Duration::from_millis(250));
            }
            StoreOutcome::Unknown(e) => {
                tracing::info!("write without an answer: {e}");
                retry(leader, Duration::from_millis(50));
            }
            StoreOutcome::Found(_)
            | StoreOutcome::Missing { .. }
            | StoreOutcome::Page { .. }
            | StoreOutcome::Runs(_) => {
                retry(leader, Duration::from_millis(250));
            }
        }
    }

    /// Notes whether what the state service shows is the transaction that is on its way.
    pub(in crate::core) fn observe_commit(
        &mut self,
        committed: impl Fn(&CompareAndSwap) -> Option<u64>,
    ) {
        if let Some(sent) = self
            .leader
            .as_mut()
            .and_then(|l| l.writes.in_flight.as_mut())
            && sent.committed.is_none()
        {
            sent.committed = committed(&sent.txn);
        }
    }

    /// Settles the transaction on its way, once this process's copy of the store tells what became of it. It
    /// was committed where the copy shows exactly its changes, whether an answer has told so, was lost, or
    /// was a refusal of its second copy. Otherwise it was refused for a change of somebody else's.
    pub(in crate::core) fn resolve_write(&mut self) {
        let revision = self.store_cache.revision;
        let Some(sent) = self
            .leader
            .as_ref()
            .and_then(|l| l.writes.in_flight.as_ref())
        else {
            return;
        };
        if let Some(at) = sent.committed.filter(|_| is_enabled(Safeguard::OwnWrite)) {
            return self.write_committed(at);
        }
        let known = |r: &&RefusedWrite| revision >= r.revision;
        let Some(refused) = sent.refused.as_ref().filter(known) else {
            return;
        };
        let (failed, at) = (refused.conflicting_keys.join(", "), refused.revision);
        let conflicts = self.rebuild_write(at);
        if conflicts >= MAX_CONFLICTS {
            self.resign(&format!(
                "writes are refused again and again: {failed} changed"
            ));
        } else if conflicts >= CONFLICTS_BEFORE_REREAD {
            self.suspect_data_loss("it has other versions of what is known here");
        } else {
            tracing::info!("a write was refused, {failed} changed; it is made anew");
        }
    }

    /// The transaction on its way is in the store since this revision.
    fn write_committed(&mut self, revision: u64) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        leader.writes.conflicts = 0;
        let Some(sent) = leader.writes.in_flight.take() else {
            return;
        };
        self.store_cache.record_write(&sent.txn.changes, revision);
        for op in sent.ops {
            self.apply_committed(op, revision);
        }
    }

    /// A key that a transaction would change was changed by somebody else. Nothing counts as written; what is
    /// to be said is worked out anew when this copy shows what the service had then. Says how often in a
    /// row.
    fn rebuild_write(&mut self, revision: u64) -> u32 {
        let Some(leader) = &mut self.leader else {
            return 0;
        };
        let w = &mut leader.writes;
        let Some(InFlightWrite { txn, ops, .. }) = w.in_flight.take() else {
            return 0;
        };
        for op in ops {
            if let WriteOp::Pages(pages, _) = op {
                w.records.requeue(pages);
            }
        }
        (w.minimum_revision, w.conflicts) = (revision, w.conflicts + 1);
        let conflicts = w.conflicts;
        self.requeue_deletions(&txn);
        conflicts
    }

    /// Deletions that were not carried out, other than of whole pages.
    fn requeue_deletions(&mut self, txn: &CompareAndSwap) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        for change in &txn.changes {
            let Change::Delete { key: name } = change else {
                continue;
            };
            if let Some(id) = name.strip_prefix(&machine_key("")) {
                leader.writes.records.delete_single_key(id.into());
            } else if name.starts_with(&key("d/")) || name.starts_with(&key("s/")) {
                self.store_cache.garbage_keys.insert(name.clone());
            }
        }
    }

    fn apply_committed(&mut self, op: WriteOp, revision: u64) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        match op {
            WriteOp::End(id, end, left) => {
                leader.writes.ends.remove(&id);
                leader.writes.followers.remove(&id);
                self.store_cache.end_written(&id, end, left, revision);
                self.sync_job_runs();
            }
            WriteOp::Progress(id, rows) => {
                if let Some(run) = leader.job_runs.get_mut(&id) {
                    for row in rows {
                        run.unpersisted_done.remove(&row);
                    }
                    if run.unpersisted_done.is_empty() {
                        leader.writes.progress.remove(&id);
                    } else {
                        leader.writes.progress.insert(id, self.now.mono);
                    }
                } else {
                    leader.writes.progress.remove(&id);
                }
            }
            WriteOp::Pages(_, ids) => {
                for id in ids {
                    if leader.machines.get(&id).is_some_and(|m| !m.recorded)
                        && let Some(m) = leader.machines.get_mut(&id)
                    {
                        m.recorded = true;
                        leader.scheduler.plan_again = true;
                    }
                }
            }
            WriteOp::Types => leader.writes.machine_types = false,
            WriteOp::Owed(id) => {
                leader.writes.missing_parts_written.remove(&id);
                self.store_cache.missing_from_store.remove(&id);
            }
            WriteOp::OwedParts(id, upto) => {
                leader.writes.missing_parts_written.insert(id, upto);
            }
            WriteOp::Rebuilt => leader.writes.rebuild_complete = false,
        }
    }
}
