//! Periodic checks of whether the store is the one it was: its identity, its revision, and the keys of jobs.

use super::{CHECK_INTERVAL, REREAD_INTERVAL, is_due};
use crate::core::Core;
use crate::core::command::PendingCall;
use crate::core::store::keys::{NEVER_WRITTEN, REBUILDING, identity_key, key};
use crate::store_client::{StoreOutcome, StoreRequest};

/// Jobs that the leader compares with their keys at each check.
const AUDIT_BATCH: usize = 100;

impl Core {
    /// Checks now and then whether the store is the one it was, and asks the others about an empty one.
    pub(in crate::core) fn check_store_integrity(&mut self) {
        let now = self.now.mono;
        self.request_peer_summaries();
        let reread = &self.store_integrity.reread;
        if reread.suspected_again && is_due(reread.started, REREAD_INTERVAL, now) {
            self.suspect_data_loss("there was another sign of a loss");
        }
        self.mark_as_incomplete();
        if self.store_is_stale() {
            self.store_integrity.was_unreachable = true;
            return;
        }
        // Restored while it was away: the revision shows it, unless others' changes make up for it first.
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
        self.store_integrity.last_check = Some(now);
        let check_identity = !self.store_integrity.last_check_was_identity;
        self.store_integrity.last_check_was_identity = check_identity;
        // The first check comes after a while: what was just read is what there is.
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
        // Where there is no mark, its absence shows the revision. A store rolled back into its
        // rebuilding shows it again, and no watch tells of that.
        let unmarked = self.store_cache.rebuilding.is_none();
        let name = if unmarked { REBUILDING } else { NEVER_WRITTEN };
        self.call_store(PendingCall::CheckRevision, StoreRequest::Get(key(name)));
    }

    /// The answer to a check of the revision, beyond the revision itself.
    pub(in crate::core) fn revision_checked(&mut self, outcome: StoreOutcome) {
        if matches!(outcome, StoreOutcome::Found(_)) && self.store_cache.rebuilding.is_none() {
            self.suspect_data_loss("it is marked as incomplete, which the watch has not shown");
        }
    }

    /// The answer to a check of the identity that had this version.
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

    /// Reads some jobs' keys from after this one on. What the watch shows may have a gap that no revision
    /// shows, after a small loss that other changes have made up for; and single keys may be lost at
    /// any time.
    fn audit(&mut self, after: String, suspicion: Option<String>) {
        let request = StoreRequest::Page {
            prefix: key("j/"),
            after: after.clone(),
            limit: AUDIT_BATCH,
        };
        self.call_store(PendingCall::AuditJobs { after, suspicion }, request);
    }

    /// The copy may have changed after the keys were read, so only the same difference in a second read,
    /// begun after the first was seen, is a sign of a loss.
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
        // What the watch has yet to show proves nothing.
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
