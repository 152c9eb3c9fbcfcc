//! The leader's durable writes. Pending changes are batched into transactions, one of which is in flight at a time.
//! A transaction takes effect in the leader's state once it is known to be committed.

use crate::core::command::PendingCall;
use crate::core::leadership::state::LeaderState;
use crate::core::store::keys::{LEADER, key, machine_key};
use crate::core::store::pending_writes::{InFlightWrite, RefusedWrite, WriteOp};
use crate::core::store::transaction::Transaction;
use crate::core::{CallId, Core};
use crate::fault_injection::{Safeguard, is_enabled};
use crate::job::{JobId, MachineId};
use crate::store_client::{StoreOutcome, StoreRequest};
use crate::wire::{Change, CompareAndSwap};
use std::time::{Duration, Instant};

/// Share of the state service's rate of changes that the leader's own writes may use. The rest is
/// for accepting jobs, which must not wait behind them.
pub(in crate::core) const WRITE_SHARE: f64 = 0.7;
/// Number of consecutive conflicts with other writers' changes after which the whole store is read again.
const CONFLICTS_BEFORE_REREAD: u32 = 3;
/// Number of consecutive conflicts after which this leader steps down, so that another controller can lead.
const MAX_CONFLICTS: u32 = 6;
/// Time after which the whole store is read again if the watch has not shown the change that caused a conflict.
/// Normally the watch shows it within moments.
const CONFLICT_SETTLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a change that the service rejected on its own is written again.
const QUARANTINE_DURATION: Duration = Duration::from_secs(30);
/// Delay before a transaction that the service did not accept is sent again.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Delay before a transaction without a response is sent again.
const UNANSWERED_RETRY_DELAY: Duration = Duration::from_millis(50);

impl Core {
    /// Sends the next transaction if none is in flight. A change is sent at once when idle; changes
    /// that arrive while a transaction is in flight are batched in the next one.
    pub(in crate::core) fn send_writes(&mut self) {
        let now = self.now.mono;
        let Some(leader) = &self.leader else {
            return;
        };
        if leader.writes.in_flight.is_some() {
            return self.advance_in_flight_write();
        }
        if self.write_budget.available(now) < 1.0 {
            return;
        }
        let Some(Transaction { request, ops }) = self.build_transaction() else {
            return;
        };
        let store_request = StoreRequest::CompareAndSwap(request.clone());
        let call = self.call_store(PendingCall::Write, store_request);
        if let Some(leader) = &mut self.leader {
            leader.writes.in_flight = Some(InFlightWrite::new(request, ops, call, now));
        }
    }

    /// Sends the transaction in flight again when its retry is due, and reads the store again if the watch
    /// does not show why the transaction was refused.
    fn advance_in_flight_write(&mut self) {
        let now = self.now.mono;
        let Some(write) = self.in_flight_write() else {
            return;
        };
        if let Some(refused) = &mut write.refused {
            if now >= refused.since + CONFLICT_SETTLE_TIMEOUT {
                refused.since = now;
                self.suspect_data_loss(
                    "a write was refused, and the watch does not show the conflicting change",
                );
            }
            return;
        }
        if write.call.is_some() || now < write.retry_at {
            return;
        }
        // Without a response, or not accepted: an identical copy is sent. If the store executes both
        // copies, the second one finds other versions and changes nothing.
        let request = StoreRequest::CompareAndSwap(write.txn.clone());
        let call = self.call_store(PendingCall::Write, request);
        if let Some(write) = self.in_flight_write() {
            write.call = Some(call);
        }
    }

    /// Handles the outcome of a transaction's call; that of an earlier copy than the last is ignored.
    pub(in crate::core) fn write_outcome(&mut self, call: CallId, outcome: StoreOutcome) {
        if self.in_flight_write().is_none_or(|w| w.call != Some(call)) {
            return;
        }
        match outcome {
            StoreOutcome::Committed { revision } => self.write_committed(revision),
            StoreOutcome::Conflict { revision, .. }
                if !is_enabled(Safeguard::ConflictDetection) =>
            {
                self.write_committed(revision);
            }
            StoreOutcome::Conflict { failed, revision } => self.write_conflicted(failed, revision),
            StoreOutcome::Invalid(error) => self.write_rejected(&error),
            StoreOutcome::Refused(error) => {
                tracing::debug!(%error, "write refused");
                self.retry_write(REFUSED_RETRY_DELAY);
            }
            StoreOutcome::Unknown(error) => {
                tracing::info!(%error, "write without an answer");
                self.retry_write(UNANSWERED_RETRY_DELAY);
            }
            StoreOutcome::Found(_)
            | StoreOutcome::Missing { .. }
            | StoreOutcome::Page { .. }
            | StoreOutcome::LeaseEnded => self.retry_write(REFUSED_RETRY_DELAY),
        }
    }

    fn in_flight_write(&mut self) -> Option<&mut InFlightWrite> {
        self.leader.as_mut()?.writes.in_flight.as_mut()
    }

    /// Schedules an identical copy of the transaction to be sent after this delay.
    fn retry_write(&mut self, delay: Duration) {
        let now = self.now.mono;
        if let Some(write) = self.in_flight_write() {
            write.call = None;
            write.retry_at = now + delay;
        }
    }

    /// Handles a refusal because keys that the transaction depends on have other versions. If the leader key or
    /// the store's identity changed, this leadership is over; otherwise the cache has to show first whose change
    /// it was.
    fn write_conflicted(&mut self, conflicting_keys: Vec<String>, revision: u64) {
        let identity_lost = self.contains_identity_key(&conflicting_keys);
        if identity_lost {
            self.suspect_data_loss("its identity is gone");
        }
        if identity_lost || conflicting_keys.contains(&key(LEADER)) {
            let keys = conflicting_keys.join(", ");
            return self.step_down(&format!("a write was refused: {keys} changed"));
        }
        let since = self.now.mono;
        if let Some(write) = self.in_flight_write() {
            write.refused = Some(RefusedWrite {
                conflicting_keys,
                revision,
                since,
            });
        }
        self.resolve_write();
    }

    /// Handles a rejection of the transaction as invalid. It was not executed, and every retry would be rejected:
    /// the store's limits are lower than the settings say. The next transactions have fewer changes, down to
    /// one; a change that is rejected on its own is quarantined, so that the others do not wait for it.
    fn write_rejected(&mut self, error: &str) {
        let quarantined_until = self.now.mono + QUARANTINE_DURATION;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let writes = &mut leader.writes;
        let Some(InFlightWrite { txn, ops, .. }) = writes.in_flight.take() else {
            return;
        };
        let keys: Vec<&str> = txn.changes.iter().map(Change::key).collect();
        if writes.max_changes.is_none() {
            tracing::error!(changes = keys.len(), error, "transaction rejected");
        }
        writes.max_changes = Some((keys.len() / 2).max(1));
        if let [key] = keys[..] {
            tracing::error!(key, error, "write quarantined");
            let quarantined = &mut writes.quarantined_keys;
            quarantined.insert(key.to_string(), quarantined_until);
        }
        let single_op = ops.len() == 1;
        for op in ops {
            if let WriteOp::Pages(pages, _) = op {
                match pages[..] {
                    [page] if single_op => writes.records.defer(page, quarantined_until),
                    _ => writes.records.requeue(pages),
                }
            }
        }
        self.requeue_deletions(&txn);
    }

    /// Records the commit of the transaction in flight, if `committed` finds it in what the state service reports.
    pub(in crate::core) fn observe_commit(
        &mut self,
        committed: impl Fn(&CompareAndSwap) -> Option<u64>,
    ) {
        if let Some(write) = self.in_flight_write()
            && write.committed.is_none()
        {
            write.committed = committed(&write.txn);
        }
    }

    /// Settles the transaction in flight once the store cache shows its outcome. It was committed if the cache
    /// has received exactly its changes, whether the response said so, was lost, or was a refusal of its second
    /// copy. Otherwise it was refused because of another writer's change.
    pub(in crate::core) fn resolve_write(&mut self) {
        let revision = self.store_cache.revision;
        let Some(write) = self.in_flight_write() else {
            return;
        };
        if let Some(at) = write
            .committed
            .filter(|_| is_enabled(Safeguard::OwnWriteDetection))
        {
            return self.write_committed(at);
        }
        let reached = |r: &&RefusedWrite| revision >= r.revision;
        let Some(refused) = write.refused.as_ref().filter(reached) else {
            return;
        };
        let conflicting_keys = refused.conflicting_keys.clone();
        let keys = conflicting_keys.join(", ");
        self.discard_refused_write();
        if self.read_conflicting_ends(&conflicting_keys) {
            tracing::info!(
                keys,
                "write conflict with ends of jobs that are not in memory"
            );
            return;
        }
        let conflicts = self.count_conflict();
        if conflicts >= MAX_CONFLICTS {
            self.resign(&format!(
                "writes are refused again and again: {keys} changed"
            ));
        } else if conflicts >= CONFLICTS_BEFORE_REREAD {
            self.suspect_data_loss("its versions of some keys differ from the cached ones");
        } else {
            tracing::info!(keys, conflicts, "write conflict, transaction built again");
        }
    }

    /// Applies the effects of the transaction in flight, which was committed at this revision.
    fn write_committed(&mut self, revision: u64) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        leader.writes.conflicts = 0;
        let Some(write) = leader.writes.in_flight.take() else {
            return;
        };
        self.store_cache.record_write(&write.txn.changes, revision);
        for op in write.ops {
            self.apply_committed(op, revision);
        }
    }

    /// Discards the transaction in flight, as another writer changed one of its keys. None of its changes counts
    /// as written; the pending changes are computed again from the cache, which has reached the revision of the
    /// refusal.
    fn discard_refused_write(&mut self) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let writes = &mut leader.writes;
        let Some(InFlightWrite { txn, ops, .. }) = writes.in_flight.take() else {
            return;
        };
        for op in ops {
            if let WriteOp::Pages(pages, _) = op {
                writes.records.requeue(pages);
            }
        }
        self.requeue_deletions(&txn);
    }

    /// Counts a conflict with another writer's change. Returns the number of consecutive conflicts.
    fn count_conflict(&mut self) -> u32 {
        let Some(leader) = &mut self.leader else {
            return 0;
        };
        leader.writes.conflicts += 1;
        leader.writes.conflicts
    }

    /// Queues the transaction's deletions again, except those of machine pages.
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
            WriteOp::End(id, end, residual_tasks) => {
                leader.writes.ends.remove(&id);
                leader.writes.cancelled_dependents.remove(&id);
                self.store_cache
                    .record_job_end(&id, end, residual_tasks, revision);
                self.sync_job_runs();
            }
            WriteOp::Progress(id, tasks) => {
                let now = self.now.mono;
                leader.progress_persisted(id, &tasks, now);
            }
            WriteOp::Pages(_, machines) => leader.machines_recorded(&machines),
            WriteOp::Types => leader.writes.machine_types = false,
            WriteOp::MissingJob(id) => {
                leader.writes.missing_parts_written.remove(&id);
                self.store_cache.missing_from_store.remove(&id);
            }
            WriteOp::MissingJobParts(id, count) => {
                leader.writes.missing_parts_written.insert(id, count);
            }
            WriteOp::Rebuilt => leader.writes.rebuild_complete = false,
        }
    }
}

impl LeaderState {
    /// Records that these done tasks of a job are durable.
    fn progress_persisted(&mut self, id: JobId, tasks: &[u32], now: Instant) {
        let Some(run) = self.job_runs.get_mut(&id) else {
            self.writes.progress.remove(&id);
            return;
        };
        for task in tasks {
            run.unpersisted_done.remove(task);
        }
        if run.unpersisted_done.is_empty() {
            self.writes.progress.remove(&id);
        } else {
            self.writes.progress.insert(id, now);
        }
    }

    /// Marks these machines as recorded: tasks may start on them.
    fn machines_recorded(&mut self, ids: &[MachineId]) {
        for id in ids {
            if self.machines.get(id).is_some_and(|m| !m.recorded)
                && let Some(machine) = self.machines.get_mut(id)
            {
                machine.recorded = true;
                self.scheduler.request_plan();
            }
        }
    }
}
