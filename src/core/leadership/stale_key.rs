//! Deletion of a leader key whose lease the store does not know, which would prevent any election.
//!
//! Such a key, for example one that was restored from a backup without its lease, would never expire. If there has been
//! no contact with a leader for some time, the lease of its key is looked up in the store. A lease that the store does
//! not know cannot be renewed, so the key's holder stops acting within one lease duration. After that time the key is
//! deleted, unless it has been replaced.
//!
//! A look-up must not renew the lease: otherwise the look-ups of several controllers prevent its expiry.

use crate::core::Core;
use crate::core::command::PendingCall;
use crate::core::leadership::lease::LEASE_TTL;
use crate::core::store::keys::{LEADER, NEVER_WRITTEN, identity_condition, key};
use crate::store_client::{StoreOutcome, StoreRequest};
use crate::wire::{Change, CompareAndSwap, Condition};
use serde_json::json;
use std::time::{Duration, Instant};

/// Time without contact to the leader after which the lease of its key is looked up, and interval of further look-ups.
const LOOKUP_INTERVAL: Duration = Duration::from_secs(4);
/// The same if there has never been contact with a leader: a leader of an earlier version sends nothing to the other
/// controllers.
const LOOKUP_INTERVAL_WITHOUT_CONTACT: Duration = LOOKUP_INTERVAL.saturating_mul(3);

/// A leader key that may have no living holder.
#[derive(Clone, Copy, Debug)]
pub struct StaleLeaderKey {
    /// Version of the key.
    version: u64,
    /// Time at which this version was first seen.
    first_seen: Instant,
    /// Time of the last request to the store about this key, a look-up of its lease or its deletion.
    last_request: Option<Instant>,
    /// Time at which the store answered that it does not know the key's lease.
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

    /// Returns whether no request was sent within the last `interval`.
    fn may_request(&self, now: Instant, interval: Duration) -> bool {
        self.last_request.is_none_or(|t| now >= t + interval)
    }

    /// Returns whether the lease of this key is to be looked up, given the time of the last contact with a leader.
    fn lookup_due(&self, now: Instant, last_contact: Option<Instant>) -> bool {
        let silent_since = last_contact.map_or(self.first_seen, |t| self.first_seen.max(t));
        let interval = match last_contact {
            Some(_) => LOOKUP_INTERVAL,
            None => LOOKUP_INTERVAL_WITHOUT_CONTACT,
        };
        now >= silent_since + interval && self.may_request(now, interval)
    }
}

/// Returns a transaction that shows whether a lease has ended, without renewing it or changing anything: its condition
/// never holds, and the state service refuses a put under a lease that has ended whatever the conditions.
fn lease_lookup(lease: u64) -> CompareAndSwap {
    let never_holds = Condition {
        key: key(NEVER_WRITTEN),
        version: 1,
    };
    CompareAndSwap {
        conditions: vec![never_holds],
        changes: vec![Change::Put {
            key: key(NEVER_WRITTEN),
            value: json!({}),
            lease: Some(lease),
        }],
    }
}

impl Core {
    /// Looks up the lease of a leader key that may be stale, and deletes the key once it is certainly stale.
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
            let request = StoreRequest::CompareAndSwap(lease_lookup(lease));
            self.call_store(PendingCall::CheckLeaderLease(version), request);
        }
    }

    fn delete_leader_key(&mut self, version: u64) {
        tracing::warn!(version, "deleting leader key without a lease");
        let mut conditions = vec![Condition {
            key: key(LEADER),
            version,
        }];
        // In a store that has lost data, a different leader key may have the same version.
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

    /// Handles the answer to a look-up of the lease of the leader key with this version.
    pub(in crate::core) fn leader_lease_checked(&mut self, version: u64, outcome: StoreOutcome) {
        let now = self.now.mono;
        if let Some(stale) = &mut self.stale_leader_key
            && matches!(outcome, StoreOutcome::LeaseEnded)
            && stale.version == version
        {
            stale.lease_unknown_since.get_or_insert(now);
        }
    }
}
