//! A leader key whose lease the state service does not know, which would keep everybody from leading.

use super::keys::{LEADER, key, named};
use super::leadership::LEASE_TTL;
use super::{Core, Pending};
use crate::state::{StateOutcome, StateRequest};
use crate::wire::{Change, Condition, Txn};
use std::time::{Duration, Instant};

/// A leader that is not heard for this long has its lease asked for, so often at most.
const DEAD_KEY: Duration = Duration::from_secs(4);

/// A leader key of which it is not sure whether anybody stands behind it.
#[derive(Clone, Copy, Debug)]
pub struct DeadKey {
    version: u64,
    since: Instant,
    asked: Option<Instant>,
    /// When it was found that the state service does not know its lease.
    gone: Option<Instant>,
}

impl Core {
    /// A leader key whose lease the state service does not know, restored without it, say, would stay for
    /// ever, and nobody could lead. Where no leader is heard for long, its lease is asked for. Once that
    /// is not known, nobody can renew it, so whoever it belonged to ceases to act within a lease's time;
    /// after that the key is taken away, unless it is another one by then.
    pub(super) fn tend_dead_key(&mut self) {
        let now = self.now.mono;
        let Some((value, version)) = &self.mirror.leader else {
            self.dead_key = None;
            return;
        };
        if !self.mirror.loaded || self.state_is_stale() {
            return;
        }
        let (lease, version) = (value.lease, *version);
        if self.dead_key.is_none_or(|d| d.version != version) {
            self.dead_key = Some(DeadKey {
                version,
                since: now,
                asked: None,
                gone: None,
            });
        }
        let heard = self.relay.grant.map(|g| g.until);
        let Some(d) = &mut self.dead_key else { return };
        if let Some(gone) = d.gone {
            if now < gone + LEASE_TTL || d.asked.is_some_and(|t| now < t + LEASE_TTL) {
                return;
            }
            d.asked = Some(now);
            tracing::warn!("the leader key hangs on no lease any more, and is taken away");
            let mut conditions = vec![Condition {
                key: key(LEADER),
                version,
            }];
            // In a store that has lost data, another leader key may have the same version.
            conditions.extend(self.mirror.identity.as_ref().map(named));
            let txn = Txn {
                conditions,
                changes: vec![Change::Delete { key: key(LEADER) }],
            };
            self.ask_state(Pending::Bury, StateRequest::Txn(txn));
            return;
        }
        // Whoever leads is heard, where controllers work together; an earlier version is not.
        let silent = heard.map_or(d.since, |t| d.since.max(t));
        let every = if heard.is_some() {
            DEAD_KEY
        } else {
            DEAD_KEY * 3
        };
        let due = now >= silent + every && d.asked.is_none_or(|t| now >= t + every);
        if due && self.lead.is_none() {
            d.asked = Some(now);
            self.ask_state(Pending::LeaseOf(version), StateRequest::LeaseRuns(lease));
        }
    }

    /// Whether the lease of a leader key of this version runs.
    pub(super) fn lease_of_leader(&mut self, version: u64, outcome: StateOutcome) {
        let now = self.now.mono;
        if let (Some(d), StateOutcome::Runs(false)) = (&mut self.dead_key, outcome)
            && d.version == version
        {
            d.gone.get_or_insert(now);
        }
    }
}
