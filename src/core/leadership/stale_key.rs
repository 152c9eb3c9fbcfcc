//! A leader key whose lease the store does not know, which would prevent any election.
//!
//! Such a key, restored without its lease for example, would never expire. If no leader has been seen for long, the
//! key's lease is looked up. If the store does not know it, it cannot be renewed, so its holder stops acting within
//! one lease duration; after that the key is deleted, unless it has been replaced by then.

use crate::core::Core;
use crate::core::command::PendingCall;
use crate::core::leadership::lease::LEASE_TTL;
use crate::core::store::keys::{LEADER, identity_condition, key};
use crate::store_client::{StoreOutcome, StoreRequest};
use crate::wire::{Change, CompareAndSwap, Condition};
use std::time::{Duration, Instant};

/// A leader that is silent for this long has its lease looked up, and again so often.
const LOOKUP_INTERVAL: Duration = Duration::from_secs(4);
/// The same where no leader has ever shown itself: one of an earlier version sends nothing to the others.
const LOOKUP_INTERVAL_WITHOUT_CONTACT: Duration = LOOKUP_INTERVAL.saturating_mul(3);

/// A leader key of which it is not known whether any process holds it.
#[derive(Clone, Copy, Debug)]
pub struct StaleLeaderKey {
    /// The key's version.
    version: u64,
    /// When this version was first seen.
    first_seen: Instant,
    /// When the store was last asked about it.
    last_request: Option<Instant>,
    /// When it was found that the store does not know its lease.
    lease_unknown_since: Option<Instant>,
}

impl StaleLeaderKey {
    fn new(version: u64, now: Instant) -> StaleLeaderKey {
        StaleLeaderKey {
            version,
            first_seen: now,
            last_request: None,
            lease_unknown_since: None,
        }
    }

    /// Whether no request was sent for this long.
    fn may_request(&self, now: Instant, interval: Duration) -> bool {
        self.last_request.is_none_or(|t| now >= t + interval)
    }

    /// Whether its lease is to be looked up, where a leader last showed itself at `last_contact`.
    fn lookup_due(&self, now: Instant, last_contact: Option<Instant>) -> bool {
        let silent_since = last_contact.map_or(self.first_seen, |t| self.first_seen.max(t));
        let interval = match last_contact {
            Some(_) => LOOKUP_INTERVAL,
            None => LOOKUP_INTERVAL_WITHOUT_CONTACT,
        };
        now >= silent_since + interval && self.may_request(now, interval)
    }
}

impl Core {
    /// Looks up the lease of a leader key that may be stale, and deletes the key once that is certain.
    pub(in crate::core) fn check_stale_leader_key(&mut self) {
        let now = self.now.mono;
        let Some((value, version)) = &self.store_cache.leader else {
            self.stale_leader_key = None;
            return;
        };
        if !self.store_cache.loaded || self.store_is_stale() {
            return;
        }
        let (lease, version) = (value.lease, *version);
        let known = self.stale_leader_key.filter(|k| k.version == version);
        let stale = self
            .stale_leader_key
            .insert(known.unwrap_or(StaleLeaderKey::new(version, now)));
        if let Some(unknown_since) = stale.lease_unknown_since {
            if now >= unknown_since + LEASE_TTL && stale.may_request(now, LEASE_TTL) {
                stale.last_request = Some(now);
                self.delete_leader_key(version);
            }
            return;
        }
        let last_contact = self.relay.grant().map(|g| g.expires_at);
        if self.leader.is_none() && stale.lookup_due(now, last_contact) {
            stale.last_request = Some(now);
            let request = StoreRequest::CheckLease(lease);
            self.call_store(PendingCall::CheckLeaderLease(version), request);
        }
    }

    fn delete_leader_key(&mut self, version: u64) {
        tracing::warn!(version, "deleting leader key without a lease");
        let mut conditions = vec![Condition {
            key: key(LEADER),
            version,
        }];
        // In a store that has lost data, another leader key may have the same version.
        conditions.extend(self.store_cache.identity.as_ref().map(identity_condition));
        let transaction = CompareAndSwap {
            conditions,
            changes: vec![Change::Delete { key: key(LEADER) }],
        };
        self.call_store(
            PendingCall::DeleteStaleLeaderKey,
            StoreRequest::CompareAndSwap(transaction),
        );
    }

    /// Whether the lease of a leader key of this version runs.
    pub(in crate::core) fn leader_lease_checked(&mut self, version: u64, outcome: StoreOutcome) {
        let now = self.now.mono;
        if let Some(stale) = &mut self.stale_leader_key
            && matches!(outcome, StoreOutcome::LeaseAlive(false))
            && stale.version == version
        {
            stale.lease_unknown_since.get_or_insert(now);
        }
    }
}
