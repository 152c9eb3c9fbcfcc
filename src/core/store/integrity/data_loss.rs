//! Signs that the store has lost data, the full read that they trigger, and the detection of a loss.

use super::{CHECK_INTERVAL, DataLoss};
use crate::core::leadership::lease::LEASE_TTL;
use crate::core::store::cache::StoreList;
use crate::core::{CallId, Core, Effect};
use crate::fault_injection::{Safeguard, is_enabled};
use crate::store_client::StoreOutcome;
use std::time::{Duration, Instant};

/// Time within which the other controllers have detected a loss, the former leader has stopped acting, and the store is
/// marked as incomplete. A controller that starts just after the store was rolled back cannot see that data is missing.
const LOSS_DETECTION_DELAY: Duration = CHECK_INTERVAL
    .saturating_add(LEASE_TTL)
    .saturating_add(Duration::from_secs(1));

impl Core {
    /// Returns whether the store may lack accepted data. While it does, only states that are stored and final may be
    /// reported.
    pub(in crate::core) fn store_is_incomplete(&self) -> bool {
        self.store_integrity.data_loss.is_some() || self.store_cache.rebuilding.is_some()
    }

    /// Returns whether the store has lost data, or is being read again after a sign of it.
    pub(in crate::core) fn may_have_lost_data(&self) -> bool {
        let reread = &self.store_integrity.reread;
        self.store_is_incomplete() || reread.is_in_progress(self.now.mono)
    }

    /// Reads the whole store again after a sign of data loss, to compare it with the copy.
    pub(in crate::core) fn suspect_data_loss(&mut self, reason: &str) {
        let now = self.now.mono;
        if !self.store_cache.loaded {
            return;
        }
        let reread = &mut self.store_integrity.reread;
        if !reread.may_start(now) {
            // The store is read again later, so that this sign is not lost.
            reread.suspected_again = true;
            return;
        }
        tracing::warn!(reason, "data loss suspected, reading the store again");
        reread.suspected_again = false;
        reread.started = Some(now);
        reread.finished = false;
        self.effects.push(Effect::RereadStore);
    }

    /// Checks the revision in a response: it never decreases while the service keeps its data.
    pub(in crate::core) fn observe_revision(&mut self, call: CallId, outcome: &StoreOutcome) {
        let newest_at_call = self.store_integrity.revision_at_call.remove(&call);
        let (StoreOutcome::Committed { revision } | StoreOutcome::Missing { revision }) = outcome
        else {
            return;
        };
        if newest_at_call.is_some_and(|newest| *revision < newest) {
            self.suspect_data_loss("its revision went back");
        }
        self.store_integrity.newest_revision = self.store_integrity.newest_revision.max(*revision);
    }

    /// Compares a full list of the store with the copy, and updates the copy.
    pub(in crate::core) fn reconcile_store_list(&mut self, list: StoreList, revision: u64) {
        let now = self.now.mono;
        self.store_integrity.reread.finished = true;
        let first = !self.store_cache.loaded;
        match self.store_cache.find_contradiction(&list, revision) {
            Some(reason) => self.handle_contradiction(list, revision, reason),
            // Data that the store lacks is kept in the copy until it has been written back.
            None if self.has_missing_data() => {
                self.store_cache.merge_list(list, revision);
                if self.store_integrity.data_loss.is_some() {
                    self.store_cache.expect_new_identity();
                }
            }
            None => self.store_cache.reset(list, revision),
        }
        let integrity = &mut self.store_integrity;
        if first && self.store_cache.identity.is_some() {
            integrity.first_read.get_or_insert(now);
        }
        integrity.newest_revision = integrity.newest_revision.max(revision);
        self.update_empty_since();
    }

    fn has_missing_data(&self) -> bool {
        self.store_is_incomplete() || !self.store_cache.missing_from_store.is_empty()
    }

    /// Handles a full list that contradicts the copy: this process stops leading, and the copy keeps what the store has
    /// lost.
    fn handle_contradiction(&mut self, list: StoreList, revision: u64, reason: String) {
        tracing::error!(reason, "the state service has lost data");
        // The store may since have given this lease's id to another process. A leader key that was restored with the
        // store expires with its lease.
        self.step_down("the state service has lost data");
        self.replace_lease();
        let before = self.store_cache.identity.as_ref().map(|(id, _)| id.clone());
        self.store_cache.merge_after_loss(list, revision);
        let integrity = &mut self.store_integrity;
        integrity.revision_at_call.clear();
        integrity.newest_revision = revision;
        integrity.losses += 1;
        integrity.had_copy = true;
        if before.is_some() {
            integrity.lost_store = before;
        }
        let loss = self.new_data_loss(reason);
        if self.rebuild_has_begun(&loss) {
            self.store_integrity.data_loss = None;
        } else {
            self.store_integrity.data_loss = Some(loss);
            self.store_cache.expect_new_identity();
        }
        tracing::error!(
            live_jobs = self.store_cache.jobs.len(),
            ended_jobs = self.store_cache.ended_jobs.len(),
            machines = self.store_cache.machines.len(),
            term = self.store_cache.term,
            missing_jobs = self.store_cache.missing_from_store.len(),
            "copy kept of a store that lost data"
        );
    }

    /// Returns whether another controller detected the loss earlier and has begun a rebuild.
    fn rebuild_has_begun(&self, loss: &DataLoss) -> bool {
        let known = &self.store_integrity.known_identities;
        loss.was_marked && loss.identity.as_ref().is_some_and(|id| !known.contains(id))
    }

    /// Updates the time since which the store has been empty, with no data in the copy either.
    fn update_empty_since(&mut self) {
        let now = self.now.mono;
        let empty = self.store_has_no_identity()
            && self.store_cache.term == 0
            && self.store_cache.jobs.is_empty();
        let integrity = &mut self.store_integrity;
        let since = integrity.empty_since;
        integrity.empty_since = empty.then(|| since.unwrap_or(now));
        if empty {
            integrity.first_seen_empty.get_or_insert(now);
        }
    }

    fn new_data_loss(&self, reason: String) -> DataLoss {
        DataLoss {
            since: self.now.mono,
            wall: self.now.wall,
            reason,
            identity: self.store_cache.identity.as_ref().map(|(id, _)| id.clone()),
            was_marked: self.store_cache.rebuilding.is_some(),
        }
    }

    /// Returns whether a job unknown to this process may have been accepted, so that it must not be reported as
    /// nonexistent. A store that seems new may be an old one that was wiped: each worker sends a heartbeat within
    /// `report_window`, with the newest term that it has seen. And a controller that has just started does not know
    /// whether the others are about to detect a loss.
    pub(in crate::core) fn job_existence_is_uncertain(&self) -> bool {
        let within =
            |since: Option<Instant>, window| since.is_some_and(|t| self.now.mono < t + window);
        let report_window = self.settings.heartbeat_interval * 5 / 2;
        let others = !self.settings.peers.is_empty() && is_enabled(Safeguard::StartupUncertainty);
        let just_begun = within(self.store_integrity.first_read, LOSS_DETECTION_DELAY);
        within(self.store_integrity.first_seen_empty, report_window)
            || others && just_begun
            || self.store_is_incomplete()
    }

    /// Records a loss that was detected by other evidence than the copy, which was itself read after the loss. The
    /// reason is stored in the mark of an incomplete store.
    pub(super) fn declare_data_loss(&mut self, reason: String) {
        tracing::error!(reason, "the state service has lost data");
        let loss = self.new_data_loss(reason);
        let mark = self.store_cache.rebuilding.as_ref();
        let integrity = &mut self.store_integrity;
        integrity.losses += 1;
        integrity.lost_store = mark.and_then(|(mark, _)| mark.lost_store.clone());
        integrity.data_loss = Some(loss);
        integrity.terms.oldest = None;
        self.store_cache.expect_new_identity();
    }

    /// Steps down and releases the lease, so that the store is rebuilt by the next leader, which may be this process.
    pub(in crate::core) fn resign_to_rebuild(&mut self) {
        self.step_down("the state service has lost data");
        self.release_lease();
    }
}
