//! Periodic checks that the store has kept its data: its identity, its revision, and the keys of jobs.

use super::{AbsentChanges, CHECK_INTERVAL, is_due};
use crate::core::Core;
use crate::core::command::PendingCall;
use crate::core::store::keys::{NEVER_WRITTEN, REBUILDING, identity_key, key};
use crate::store_client::{StoreOutcome, StoreRequest};
use crate::wire::{CompareAndSwap, Condition};

/// Number of job keys that the leader compares with its copy at each check.
const AUDIT_BATCH: usize = 100;
/// Divisor of the maximum number of changes in a transaction that gives the maximum number of conditions in a comparison.
/// It leaves room, as the state service may lower its limits below those of the settings.
const COMPARISON_SHARE: usize = 2;

impl Core {
    /// Checks periodically that the store has kept its data, and asks the other controllers about an empty store.
    pub(in crate::core) fn check_store_integrity(&mut self) {
        let now = self.now.mono;
        self.request_peer_summaries();
        let reread = &self.store_integrity.reread;
        if reread.suspected_again && reread.may_start(now) {
            self.suspect_data_loss("there was another sign of a loss");
        }
        self.settle_absent_changes();
        self.mark_as_incomplete();
        if self.store_is_stale() {
            self.store_integrity.was_unreachable = true;
            return;
        }
        // If the service was restored to older data while unreachable, its revision is lower, unless other processes'
        // changes have raised it again.
        let was_unreachable = std::mem::take(&mut self.store_integrity.was_unreachable);
        if was_unreachable && self.store_cache.loaded {
            self.call_store(
                PendingCall::CheckRevision,
                StoreRequest::Get(key(NEVER_WRITTEN)),
            );
        }
        let last_check = self.store_integrity.last_check;
        if !self.store_cache.loaded || !is_due(last_check, CHECK_INTERVAL, now) {
            return;
        }
        if self.is_active_leader() && !self.store_is_incomplete() {
            let after = self.store_integrity.audit_cursor.clone();
            self.audit(after, None);
        }
        self.compare_job_changes();
        self.store_integrity.last_check = Some(now);
        let check_identity = !self.store_integrity.last_check_was_identity;
        self.store_integrity.last_check_was_identity = check_identity;
        // No check is due right after the first read of the store.
        if last_check.is_some() {
            self.check_identity_or_revision(check_identity);
        }
    }

    fn check_identity_or_revision(&mut self, check_identity: bool) {
        let identity = self.store_cache.identity.as_ref();
        if let Some((identity, version)) = identity.filter(|_| check_identity) {
            let (key, version) = (identity_key(identity), *version);
            self.call_store(PendingCall::CheckIdentity(version), StoreRequest::Get(key));
            return;
        }
        // Reading an absent key returns the revision. While the store is not marked as incomplete, the mark's key is
        // read: it reappears if the store is rolled back into a rebuild, which the watch does not report.
        let unmarked = self.store_cache.rebuilding.is_none();
        let name = if unmarked { REBUILDING } else { NEVER_WRITTEN };
        self.call_store(PendingCall::CheckRevision, StoreRequest::Get(key(name)));
    }

    /// Processes the response to a check of the revision, which may contain the mark of an incomplete store.
    pub(in crate::core) fn revision_checked(&mut self, outcome: StoreOutcome) {
        if matches!(outcome, StoreOutcome::Found(_)) && self.store_cache.rebuilding.is_none() {
            self.suspect_data_loss("it is marked as incomplete, which the watch has not delivered");
        }
    }

    /// Processes the response to a check of the identity whose key had this version.
    pub(in crate::core) fn identity_checked(&mut self, version: u64, outcome: StoreOutcome) {
        let current = self.store_cache.identity.as_ref().map(|(_, v)| *v);
        if current != Some(version) {
            return;
        }
        match outcome {
            StoreOutcome::Missing { .. } => self.suspect_data_loss("its identity is gone"),
            StoreOutcome::Found(item) if item.version != version => {
                self.suspect_data_loss("its identity was written again");
            }
            _ => {}
        }
    }

    /// Compares the newest changes of jobs' keys in the copy with the store, by transactions without changes. This finds a
    /// rollback that no revision shows, as other changes have raised the revision again.
    fn compare_job_changes(&mut self) {
        let changes = self.store_cache.recent_job_changes.conditions();
        let max_conditions = self.settings.max_transaction_changes / COMPARISON_SHARE;
        for compared in changes.chunks(max_conditions.max(1)) {
            let transaction = CompareAndSwap {
                conditions: compared.to_vec(),
                changes: Vec::new(),
            };
            self.call_store(
                PendingCall::CompareJobChanges(compared.to_vec()),
                StoreRequest::CompareAndSwap(transaction),
            );
        }
    }

    /// Processes the response to a comparison of changes of jobs' keys.
    pub(in crate::core) fn job_changes_compared(
        &mut self,
        mut compared: Vec<Condition>,
        outcome: StoreOutcome,
    ) {
        match outcome {
            StoreOutcome::Committed { .. } => {
                self.store_cache.recent_job_changes.confirm(&compared);
            }
            StoreOutcome::Conflict { failed, revision } => {
                compared.retain(|change| failed.contains(&change.key));
                self.store_integrity.absent_changes = Some(AbsentChanges {
                    changes: compared,
                    revision,
                });
                self.settle_absent_changes();
            }
            _ => {}
        }
    }

    /// Suspects a loss if the copy has caught up with the revision at which the store lacked a change, and the change is
    /// still the newest one of its key: the watch has not delivered what the store has instead.
    fn settle_absent_changes(&mut self) {
        let revision = self.store_cache.revision;
        let absent = &mut self.store_integrity.absent_changes;
        let Some(absent) = absent.take_if(|absent| absent.revision <= revision) else {
            return;
        };
        let recent = &self.store_cache.recent_job_changes;
        if let Some(lost) = absent.changes.iter().find(|c| recent.contains(c)) {
            let reason = format!("it lacks the last change of {}", lost.key);
            self.suspect_data_loss(&reason);
        }
    }

    /// Reads a batch of job keys, those after the key `after`, to compare them with the copy. This finds losses that no
    /// revision shows: a small rollback after which other changes have raised the revision again leaves a gap in the
    /// watch, and single keys may be lost at any time.
    fn audit(&mut self, after: String, suspicion: Option<String>) {
        let request = StoreRequest::Page {
            prefix: key("j/"),
            after: after.clone(),
            limit: AUDIT_BATCH,
        };
        self.call_store(PendingCall::AuditJobs { after, suspicion }, request);
    }

    /// Compares a batch of job keys with the copy. The copy may have changed after the keys were read, so only the same
    /// difference in a second read, begun after the first one was compared, is a sign of a loss.
    pub(in crate::core) fn jobs_audited(
        &mut self,
        after: String,
        suspicion: Option<String>,
        outcome: StoreOutcome,
    ) {
        let StoreOutcome::Page {
            items,
            more,
            revision,
        } = outcome
        else {
            return;
        };
        let last = items.last().map(|i| i.key.clone()).filter(|_| more);
        // The copy cannot be compared until the watch has delivered all changes up to the page's revision.
        if self.store_cache.revision < revision {
            return;
        }
        let difference = self
            .store_cache
            .find_job_difference(&items, &after, last.as_deref());
        if let Some(reason) = difference {
            if suspicion.as_ref() == Some(&reason) {
                self.suspect_data_loss(&reason);
            } else if self.is_active_leader() {
                return self.audit(after, Some(reason));
            }
        }
        self.store_integrity.audit_cursor = last.unwrap_or_default();
    }
}
