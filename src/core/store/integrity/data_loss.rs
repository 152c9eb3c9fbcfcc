//! Signs that the store has lost data, the full read that they lead to, and the verdict.

use super::{CHECK_INTERVAL, DataLoss, REREAD_INTERVAL, is_due};
use crate::core::leadership::lease::LEASE_TTL;
use crate::core::{CallId, Core, Effect};
use crate::fault_injection::{Safeguard, is_enabled};
use crate::store_client::StoreOutcome;
use crate::wire::Item;
use std::time::{Duration, Instant};

/// A controller that starts on a store that was rolled back just before cannot see that data is missing. After this
/// delay the other controllers have noticed, the former leader has stopped acting, and the store is marked.
const LOSS_DETECTION_DELAY: Duration = CHECK_INTERVAL
    .saturating_add(LEASE_TTL)
    .saturating_add(Duration::from_secs(1));

impl Core {
    /// No state may be answered that is not in the store, or not final.
    pub(in crate::core) fn store_is_incomplete(&self) -> bool {
        self.store_integrity.data_loss.is_some() || self.store_cache.rebuilding.is_some()
    }

    /// A sign that the store is not what it was: it is read as a whole.
    pub(in crate::core) fn suspect_data_loss(&mut self, reason: &str) {
        let now = self.now.mono;
        if !self.store_cache.loaded {
            return;
        }
        let reread = &mut self.store_integrity.reread;
        if !is_due(reread.started, REREAD_INTERVAL, now) {
            // A sign that comes soon after another one must not be lost.
            reread.suspected_again = true;
            return;
        }
        tracing::warn!(reason, "data loss suspected, reading the store again");
        reread.suspected_again = false;
        reread.started = Some(now);
        reread.finished = false;
        self.effects.push(Effect::RereadStore);
    }

    /// Answers show the revision; it never falls while the service keeps its data.
    pub(in crate::core) fn observe_revision(&mut self, call: CallId, outcome: &StoreOutcome) {
        let asked = self.store_integrity.revision_at_call.remove(&call);
        let (StoreOutcome::Committed { revision } | StoreOutcome::Missing { revision }) = outcome
        else {
            return;
        };
        if asked.is_some_and(|newest| *revision < newest) {
            self.suspect_data_loss("its revision went back");
        }
        self.store_integrity.newest_revision = self.store_integrity.newest_revision.max(*revision);
    }

    /// What was read as a whole is compared with what is remembered.
    pub(in crate::core) fn reconcile_store_list(&mut self, items: Vec<Item>, revision: u64) {
        let now = self.now.mono;
        self.store_integrity.reread.finished = true;
        let first = !self.store_cache.loaded;
        match self.store_cache.find_contradiction(&items, revision) {
            Some(reason) => self.handle_contradiction(items, revision, reason),
            // What the store has yet to get back is remembered until it has.
            None if self.has_missing_data() => {
                self.store_cache.merge_after_loss(items, revision);
                if self.store_integrity.data_loss.is_some() {
                    self.store_cache.expect_new_identity();
                }
            }
            None => self.store_cache.reset(items, revision),
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

    /// A full read contradicts the copy: this process stops leading, and the copy keeps what the store has lost.
    fn handle_contradiction(&mut self, items: Vec<Item>, revision: u64, reason: String) {
        tracing::error!(reason, "the state service has lost data");
        // Whatever number its lease has, another may have been given the same since. A leader
        // key that was restored ends with its lease.
        self.step_down("the state service has lost data");
        self.replace_lease();
        let before = self.store_cache.identity.as_ref().map(|(id, _)| id.clone());
        self.store_cache.merge_after_loss(items, revision);
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
            ended_jobs = self.store_cache.finished.len(),
            machines = self.store_cache.machines.len(),
            term = self.store_cache.term,
            missing_jobs = self.store_cache.missing_from_store.len(),
            "copy kept of a store that lost data"
        );
    }

    /// Whether another controller noticed the loss earlier and has begun a rebuild.
    fn rebuild_has_begun(&self, loss: &DataLoss) -> bool {
        let known = &self.store_integrity.known_identities;
        loss.was_marked && loss.identity.as_ref().is_some_and(|id| !known.contains(id))
    }

    /// Notes since when the store has been empty, with nothing remembered here.
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

    /// While a new store may yet prove to be an old one that was wiped, an unknown job is not called
    /// so: each worker sends a heartbeat within this time, with the term that it has seen. Nor does a controller
    /// that has just begun call it so, as the others may be about to notice a loss.
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

    /// A loss that shows in something else than the copy, which is as new as the loss.
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

    /// Gives the lease back, but stands again: the next leader begins to rebuild.
    pub(in crate::core) fn resign_to_rebuild(&mut self) {
        self.step_down("the state service has lost data");
        self.release_lease();
    }
}
