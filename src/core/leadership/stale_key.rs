//! A leader key whose lease the state service does not know, which would keep everybody from leading.

use crate::core::leadership::LEASE_TTL;
use crate::core::store::keys::{LEADER, key, named};
use crate::core::{Core, Pending};
use crate::store_client::{StoreOutcome, StoreRequest};
use crate::wire::{Change, CompareAndSwap, Condition};
use std::time::{Duration, Instant};

/// A leader that is not heard for this long has its lease asked for, so often at most.
const STALE_KEY_CHECK_INTERVAL: Duration = Duration::from_secs(4);

/// A leader key of which it is not sure whether anybody stands behind it.
#[derive(Clone, Copy, Debug)]
pub struct StaleLeaderKey {
    version: u64,
    since: Instant,
    last_query: Option<Instant>,
    /// When it was found that the state service does not know its lease.
    lease_unknown_since: Option<Instant>,
}

impl Core {
    /// A leader key whose lease the state service does not know, restored without it, say, would stay for
    /// ever, and nobody could lead. Where no leader is heard for long, its lease is asked for. Once that
    /// is not known, nobody can renew it, so whoever it belonged to ceases to act within a lease's time;
    /// after that the key is taken away, unless it is another one by then.
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
        if self.stale_leader_key.is_none_or(|d| d.version != version) {
            self.stale_leader_key = Some(StaleLeaderKey {
                version,
                since: now,
                last_query: None,
                lease_unknown_since: None,
            });
        }
        let heard = self.relay.grant.map(|g| g.until);
        let Some(d) = &mut self.stale_leader_key else {
            return;
        };
        if let Some(gone) = d.lease_unknown_since {
            if now < gone + LEASE_TTL || d.last_query.is_some_and(|t| now < t + LEASE_TTL) {
                return;
            }
            d.last_query = Some(now);
            tracing::warn!("the leader key hangs on no lease any more, and is taken away");
            let mut conditions = vec![Condition {
                key: key(LEADER),
                version,
            }];
            // In a store that has lost data, another leader key may have the same version.
            conditions.extend(self.store_cache.identity.as_ref().map(named));
            let txn = CompareAndSwap {
                conditions,
                changes: vec![Change::Delete { key: key(LEADER) }],
            };
            self.ask_state(Pending::Bury, StoreRequest::CompareAndSwap(txn));
            return;
        }
        // Whoever leads is heard, where controllers work together; an earlier version is not.
        let silent = heard.map_or(d.since, |t| d.since.max(t));
        let every = if heard.is_some() {
            STALE_KEY_CHECK_INTERVAL
        } else {
            STALE_KEY_CHECK_INTERVAL * 3
        };
        let due = now >= silent + every && d.last_query.is_none_or(|t| now >= t + every);
        if due && self.leader.is_none() {
            d.last_query = Some(now);
            self.ask_state(
                Pending::CheckLeaderLease(version),
                StoreRequest::CheckLease(lease),
            );
        }
    }

    /// Whether the lease of a leader key of this version runs.
    pub(in crate::core) fn leader_lease_checked(&mut self, version: u64, outcome: StoreOutcome) {
        let now = self.now.mono;
        if let (Some(d), StoreOutcome::LeaseAlive(false)) = (&mut self.stale_leader_key, outcome)
            && d.version == version
        {
            d.lease_unknown_since.get_or_insert(now);
        }
    }
}
