//! The leader's durable writes: what waits to be written is gathered into transactions, one of which is in flight
//! at a time, and each takes effect here when it is known to be committed.

use crate::core::command::Pending;
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

/// The part of the state service's changes that the leader's own writes may take; the rest is
/// for accepting jobs, which must not wait behind them.
pub(in crate::core) const WRITE_SHARE: f64 = 0.7;
/// Consecutive conflicts, each with another writer's change, before the whole store is read again, and before
/// this leader steps down so that another controller can lead.
const CONFLICTS_BEFORE_REREAD: u32 = 3;
const MAX_CONFLICTS: u32 = 6;
/// The watch shows within moments what a write was refused for; after this, the whole store is read again.
const CONFLICT_SETTLE_TIMEOUT: Duration = Duration::from_secs(2);
/// What the service refuses by itself is tried again after this long.
const QUARANTINE_DURATION: Duration = Duration::from_secs(30);
/// Before a transaction is sent again that the service did not take.
const REFUSED_RETRY_DELAY: Duration = Duration::from_millis(250);
/// Before a transaction is sent again to which there was no answer.
const UNANSWERED_RETRY_DELAY: Duration = Duration::from_millis(50);

impl Core {
    /// Sends the next transaction when none is in flight: at once when idle, and what gathers
    /// meanwhile goes together in the one after it.
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
        let call = self.call_store(Pending::Write, store_request);
        if let Some(leader) = &mut self.leader {
            leader.writes.in_flight = Some(InFlightWrite::new(request, ops, call, now));
        }
    }

    /// Sends the transaction in flight again when it is time, and reads the store again where the watch
    /// does not show why it was refused.
    fn advance_in_flight_write(&mut self) {
        let now = self.now.mono;
        let Some(write) = self.in_flight_write() else {
            return;
        };
        if let Some(refused) = &mut write.refused {
            if now >= refused.since + CONFLICT_SETTLE_TIMEOUT {
                refused.since = now;
                self.suspect_data_loss("a write was refused, and the watch does not tell why");
            }
            return;
        }
        if write.call.is_some() || now < write.retry_at {
            return;
        }
        // No answer, or refused: the very same again. Should the first copy be applied as well,
        // the second of the two finds other versions, and changes nothing.
        let request = StoreRequest::CompareAndSwap(write.txn.clone());
        let call = self.call_store(Pending::Write, request);
        if let Some(write) = self.in_flight_write() {
            write.call = Some(call);
        }
    }

    /// The answer to a transaction; one to an earlier copy than the last is passed over.
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
            | StoreOutcome::LeaseAlive(_) => self.retry_write(REFUSED_RETRY_DELAY),
        }
    }

    fn in_flight_write(&mut self) -> Option<&mut InFlightWrite> {
        self.leader.as_mut()?.writes.in_flight.as_mut()
    }

    /// The very same transaction is sent again after this delay.
    fn retry_write(&mut self, delay: Duration) {
        let now = self.now.mono;
        if let Some(write) = self.in_flight_write() {
            write.call = None;
            write.retry_at = now + delay;
        }
    }

    /// Keys that the transaction depends on have other versions. Without its leader key or its store this
    /// leadership is over; otherwise the copy of the store has to show first whose change it was.
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

    /// It was not executed, and every retry would be refused: the store's limits are lower than the settings
    /// say. Fewer changes go together, down to one; a change that is refused by itself is quarantined, as
    /// the others must not wait for it.
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

    /// Notes whether what the state service shows is the transaction that is in flight.
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

    /// Settles the transaction in flight, once this process's copy of the store shows what became of it. It
    /// was committed where the copy shows exactly its changes, whether an answer has said so, was lost, or
    /// was a refusal of its second copy. Otherwise it was refused because of another writer's change.
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
        let keys = refused.conflicting_keys.join(", ");
        let conflicts = self.discard_refused_write();
        if conflicts >= MAX_CONFLICTS {
            self.resign(&format!(
                "writes are refused again and again: {keys} changed"
            ));
        } else if conflicts >= CONFLICTS_BEFORE_REREAD {
            self.suspect_data_loss("it has other versions of what is known here");
        } else {
            tracing::info!(keys, conflicts, "write conflict, transaction built again");
        }
    }

    /// The transaction in flight is in the store since this revision.
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

    /// Another writer changed a key of the transaction. Nothing counts as written; the pending changes are
    /// computed again from this copy, which shows what the service held then. Returns the number of
    /// consecutive conflicts.
    fn discard_refused_write(&mut self) -> u32 {
        let Some(leader) = &mut self.leader else {
            return 0;
        };
        let writes = &mut leader.writes;
        let Some(InFlightWrite { txn, ops, .. }) = writes.in_flight.take() else {
            return 0;
        };
        for op in ops {
            if let WriteOp::Pages(pages, _) = op {
                writes.records.requeue(pages);
            }
        }
        writes.conflicts += 1;
        let conflicts = writes.conflicts;
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
            WriteOp::End(id, end, residual_tasks) => {
                leader.writes.ends.remove(&id);
                leader.writes.cancelled_dependents.remove(&id);
                self.store_cache
                    .end_written(&id, end, residual_tasks, revision);
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
    /// These done tasks of a job are durable.
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

    /// These machines are recorded: tasks may start on them.
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
