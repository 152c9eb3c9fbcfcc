//! The store's identity: which names it has had, who may lead an unnamed one or one that lost data, and the mark of
//! an incomplete store.

use super::DataLoss;
use crate::core::Core;
use crate::core::command::PendingCall;
use crate::core::leadership::lease::LEASE_TTL;
use crate::core::store::cache::{IdentityValue, RebuildingValue};
use crate::core::store::keys::{REBUILDING, identity_condition, identity_key, key};
use crate::store_client::StoreRequest;
use crate::wire::{Change, CompareAndSwap, Condition, to_json_value};
use std::time::SystemTime;

/// How the keys and values are written.
const FORMAT_VERSION: u32 = 1;
/// Identities of complete stores that are kept, and handed over to other controllers.
const MAX_STORE_IDENTITIES: usize = 32;

impl Core {
    /// Neither an identity nor a term: a new store, or one that has lost both.
    pub(super) fn store_has_no_identity(&self) -> bool {
        self.store_cache.loaded
            && self.store_cache.identity.is_none()
            && self.store_cache.term_version == 0
    }

    /// The store has been read, and may have a new identity.
    pub(in crate::core) fn observe_identity(&mut self) {
        // Another controller noticed a data loss that may affect this process's copy too.
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
        // The rebuilding that was under way when the loss was noticed here is over.
        if !marked
            && let Some(loss) = &mut self.store_integrity.data_loss
            && std::mem::take(&mut loss.was_marked)
            && self.store_cache.missing_from_store.is_empty()
        {
            self.store_integrity.data_loss = None;
        }
    }

    /// A data loss is over for this process once a leader has begun to rebuild the store under a new identity,
    /// or has marked it under the identity it had.
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
            tracing::warn!(identity, "store goes on under a new leader");
            integrity.data_loss = None;
        } else if !same {
            // Restored to an earlier state, or given an identity by a leader unaware of the loss.
            loss.identity = Some(identity.clone());
            loss.was_marked = marked;
            self.store_cache.expect_new_identity();
        }
    }

    /// Notes the store's identity, and whether the store of that name was complete or is remembered here.
    fn record_identity(&mut self) {
        let Some((identity, _)) = &self.store_cache.identity else {
            return;
        };
        let integrity = &mut self.store_integrity;
        if !integrity.known_identities.contains(identity) {
            integrity.known_identities.insert(identity.clone());
        }
        // A store that is being rebuilt continues one of which all may be remembered here.
        let complete = match &self.store_cache.rebuilding {
            None => true,
            Some((mark, _)) => (mark.lost_store.as_ref())
                .is_some_and(|lost| integrity.complete_stores.contains(lost)),
        };
        if complete && !integrity.complete_stores.contains(identity) {
            integrity.complete_stores.push(identity.clone());
            if integrity.complete_stores.len() > MAX_STORE_IDENTITIES {
                integrity.complete_stores.remove(0);
            }
        }
    }

    /// Whether this process may try to lead, as far as the store is concerned.
    pub(in crate::core) fn may_campaign(&mut self) -> bool {
        if let Some(loss) = &self.store_integrity.data_loss {
            return self.now.mono >= loss.since + LEASE_TTL;
        }
        // A term is in the store before any worker can have seen it.
        if self.store_cache.term_version > 0
            && self.store_integrity.terms.newest > self.store_cache.term
        {
            self.verify_newer_term();
            return false;
        }
        self.may_campaign_in_empty_store()
    }

    /// A term newer than the store's proves a loss once a full read, begun after it was seen, has not shown it.
    fn verify_newer_term(&mut self) {
        let (reread, terms) = (&self.store_integrity.reread, &self.store_integrity.terms);
        if reread.finished && reread.started > terms.newest_since {
            let term = terms.newest;
            self.declare_data_loss(format!("term {term} was there before"));
        } else {
            self.suspect_data_loss("a worker has seen a newer term");
        }
    }

    /// An empty store is new, or was wiped while no controller watched it. It is taken for new when all other
    /// controllers have read it and remember nothing, or when the lease of any earlier leader has expired.
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

    /// The changes to the store's identity in the transaction that begins a leadership: a first one for a new
    /// store; another one, and the mark of an incomplete store, where data were lost.
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

    /// Another controller leads and knows nothing of the loss: it sees by this mark that it has to
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
