//! Identity of the store: which identities it has had, who may become leader of a store that has none or has lost
//! data, and the mark of an incomplete store.

use super::DataLoss;
use crate::core::Core;
use crate::core::command::PendingCall;
use crate::core::leadership::lease::LEASE_TTL;
use crate::core::store::cache::{IdentityValue, RebuildingValue};
use crate::core::store::keys::{REBUILDING, identity_condition, identity_key, key};
use crate::store_client::StoreRequest;
use crate::wire::{Change, CompareAndSwap, Condition, to_json_value};
use std::time::SystemTime;

/// Version of the format of keys and values.
const FORMAT_VERSION: u32 = 1;
/// Maximum number of identities of complete stores that are kept, and sent to other controllers.
const MAX_STORE_IDENTITIES: usize = 32;

impl Core {
    /// Returns whether the store has been read and holds neither an identity nor a term: it is new, or has lost both.
    pub(super) fn store_has_no_identity(&self) -> bool {
        self.store_cache.loaded
            && self.store_cache.identity.is_none()
            && self.store_cache.term_version == 0
    }

    /// Processes the store's identity and its mark, either of which may be new, after a change of the copy.
    pub(in crate::core) fn observe_identity(&mut self) {
        // Another controller has detected a data loss, which this process's copy may not reflect yet.
        let marked = self.store_cache.rebuilding.is_some();
        if marked && !self.store_integrity.was_marked && self.store_integrity.data_loss.is_none() {
            self.suspect_data_loss("it is marked as incomplete");
        }
        self.store_integrity.was_marked = marked;
        if self.store_cache.identity_changed {
            self.suspect_data_loss("it has been given another identity");
        }
        self.compare_identity_with_loss(marked);
        if !self.store_has_no_identity() {
            self.store_integrity.empty_since = None;
        }
        self.record_identity();
        self.check_older_term();
        // The rebuild that was in progress when this process detected the loss has finished.
        if !marked
            && let Some(loss) = &mut self.store_integrity.data_loss
            && std::mem::take(&mut loss.was_marked)
            && self.store_cache.missing_from_store.is_empty()
        {
            self.store_integrity.data_loss = None;
        }
    }

    /// Clears the detected data loss once the store is marked for a rebuild, under a new identity or under the one
    /// that it had.
    fn compare_identity_with_loss(&mut self, marked: bool) {
        let integrity = &mut self.store_integrity;
        let (Some((identity, _)), Some(loss)) =
            (&self.store_cache.identity, &mut integrity.data_loss)
        else {
            return;
        };
        let same = Some(identity) == loss.identity.as_ref();
        let begun = !same && !integrity.known_identities.contains(identity);
        if marked && (begun || (same && !loss.was_marked)) {
            tracing::warn!(identity, "store marked for rebuild");
            integrity.data_loss = None;
        } else if !same {
            // The store was restored to an earlier state, or a leader unaware of the loss gave it an identity.
            loss.identity = Some(identity.clone());
            loss.was_marked = marked;
            self.store_cache.expect_new_identity();
        }
    }

    /// Records the store's identity, and whether the store is complete or this copy has all its data.
    fn record_identity(&mut self) {
        let Some((identity, _)) = &self.store_cache.identity else {
            return;
        };
        let integrity = &mut self.store_integrity;
        if !integrity.known_identities.contains(identity) {
            integrity.known_identities.insert(identity.clone());
        }
        // This copy may have all the data of the store that is being rebuilt.
        let complete = match &self.store_cache.rebuilding {
            None => true,
            // A controller that had just restarted marks the store without knowing which one was lost.
            Some((mark, _)) => (mark.lost_store.as_ref())
                .or(integrity.lost_store.as_ref())
                .is_some_and(|lost| integrity.complete_stores.contains(lost)),
        };
        if complete && !integrity.complete_stores.contains(identity) {
            integrity.complete_stores.push(identity.clone());
            if integrity.complete_stores.len() > MAX_STORE_IDENTITIES {
                integrity.complete_stores.remove(0);
            }
        }
    }

    /// Returns whether this process may campaign for leadership, as far as the state of the store allows.
    pub(in crate::core) fn may_campaign(&mut self) -> bool {
        if let Some(loss) = &self.store_integrity.data_loss {
            return self.now.mono >= loss.since + LEASE_TTL;
        }
        // A term is stored before any worker can see it, so the store has lost one that is newer than its own.
        if self.store_cache.term_version > 0
            && self.store_integrity.terms.newest > self.store_cache.term
        {
            self.verify_newer_term();
            return false;
        }
        self.may_campaign_in_empty_store()
    }

    /// Declares a data loss if a full read, begun after the newer term was seen, has not shown that term; starts such a
    /// read otherwise.
    fn verify_newer_term(&mut self) {
        let (reread, terms) = (&self.store_integrity.reread, &self.store_integrity.terms);
        if reread.finished && reread.started > terms.newest_since {
            let term = terms.newest;
            self.declare_data_loss(format!("term {term} was there before"));
        } else {
            self.suspect_data_loss("a worker has seen a newer term");
        }
    }

    /// Returns whether this process may campaign, if the store is empty. An empty store is new, or was wiped while no
    /// controller watched it. It is assumed to be new when all other controllers have read it and have no data of it,
    /// or when the lease of any earlier leader has expired.
    fn may_campaign_in_empty_store(&mut self) -> bool {
        let now = self.now.mono;
        let Some(since) = self.store_integrity.empty_since else {
            return true;
        };
        let summaries = &self.store_integrity.peer_summaries;
        if let Some((peer, summary)) = summaries.iter().find(|(_, m)| m.has_state) {
            let reason = format!("it is empty, and {peer} remembers it");
            let (term, lost_store) = (summary.term, summary.complete_stores.last().cloned());
            self.store_integrity.observe_term(term, now);
            self.declare_data_loss(reason);
            self.store_integrity.lost_store = lost_store;
            return false;
        }
        if self.store_integrity.terms.newest > 0 {
            let term = self.store_integrity.terms.newest;
            self.declare_data_loss(format!("it is empty, and a worker has seen term {term}"));
            return false;
        }
        let mut peers = self.settings.peers.iter();
        peers.all(|p| self.store_integrity.peer_has_read_store(&p.name)) || now >= since + LEASE_TTL
    }

    /// Returns the changes to the store's identity in the transaction that begins a leadership: a first identity for
    /// a new store, or a new identity and the mark of an incomplete store after a loss of data.
    pub(in crate::core) fn identity_changes(&self) -> Vec<Change> {
        let known = self.store_cache.identity.as_ref();
        let loss = self.store_integrity.data_loss.as_ref();
        if known.is_some() && loss.is_none() {
            return Vec::new();
        }
        let identity = format!("{:016x}{:x}", self.nonce, self.next_call);
        let assumed_new = self.store_has_no_identity() && loss.is_none();
        let value = IdentityValue {
            format: FORMAT_VERSION,
            lost_store: loss.and(self.store_integrity.lost_store.clone()),
            first_term: assumed_new.then(|| self.next_term()),
        };
        let mut changes = vec![Change::put(identity_key(&identity), to_json_value(&value))];
        if let Some((old, _)) = known {
            let key = identity_key(old);
            changes.push(Change::Delete { key });
        }
        if let Some(loss) = loss {
            changes.push(self.incomplete_mark(loss));
        }
        changes
    }

    /// Marks the store as incomplete if another controller leads that does not know of the loss, so that it starts a
    /// rebuild.
    pub(super) fn mark_as_incomplete(&mut self) {
        let now = self.now.mono;
        let other_leads = self.store_cache.leader.is_some() && self.leader.is_none();
        let (Some(loss), Some(identity)) =
            (&self.store_integrity.data_loss, &self.store_cache.identity)
        else {
            return;
        };
        let waited = now >= loss.since + LEASE_TTL;
        let in_flight = self
            .pending
            .values()
            .any(|p| matches!(p, PendingCall::MarkDataLoss));
        if !other_leads || !waited || self.store_cache.rebuilding.is_some() || in_flight {
            return;
        }
        let unmarked = Condition {
            key: key(REBUILDING),
            version: 0,
        };
        let request = CompareAndSwap {
            conditions: vec![identity_condition(identity), unmarked],
            changes: vec![self.incomplete_mark(loss)],
        };
        self.call_store(
            PendingCall::MarkDataLoss,
            StoreRequest::CompareAndSwap(request),
        );
    }

    fn incomplete_mark(&self, loss: &DataLoss) -> Change {
        let since = loss.wall.duration_since(SystemTime::UNIX_EPOCH);
        let value = RebuildingValue {
            lost_store: self.store_integrity.lost_store.clone(),
            since_ms: since.unwrap_or_default().as_millis() as u64,
            reason: loss.reason.clone(),
        };
        Change::put(key(REBUILDING), to_json_value(&value))
    }
}
