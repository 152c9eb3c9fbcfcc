//! The lease in the key-value store to which the leader key is attached.

use std::time::{Duration, Instant};

/// Time after its last renewal at which the store expires the lease and deletes the leader key with it.
pub const LEASE_TTL: Duration = Duration::from_millis(3000);
/// Time before the earliest expiry of its lease at which the leader stops acting. It covers the delay from a decision
/// until the decision has left the process.
const SAFETY_MARGIN: Duration = Duration::from_millis(350);
/// Allowance for a store clock that runs up to 0.1 % faster than the local one during a lease.
const MAX_CLOCK_DRIFT: Duration = Duration::from_millis(3);
const _: () = assert!(MAX_CLOCK_DRIFT.as_millis() == LEASE_TTL.as_millis() / 1000);

/// This process's lease.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    /// Id of the lease in the store.
    pub id: u64,
    /// Time at which the last successful renewal was sent.
    renewed_at: Instant,
}

impl Lease {
    /// Creates a lease granted in answer to a request that was sent at `sent`.
    pub(in crate::core) fn new(id: u64, sent: Instant) -> Lease {
        Lease {
            id,
            renewed_at: sent,
        }
    }

    /// Records a renewal by a request that was sent at `sent`.
    pub(in crate::core) fn renew(&mut self, sent: Instant) {
        self.renewed_at = self.renewed_at.max(sent);
    }

    /// Returns the time until which a leader may act whose leader key was last confirmed by a request sent at
    /// `key_confirmed`. It lies before the earliest time at which another process can take the leader key.
    pub(in crate::core) fn valid_until(&self, key_confirmed: Instant) -> Instant {
        self.renewed_at.min(key_confirmed) + LEASE_TTL - MAX_CLOCK_DRIFT - SAFETY_MARGIN
    }

    /// Returns whether the last renewal is recent enough to begin a leadership with this lease.
    pub(in crate::core) fn is_fresh(&self, now: Instant) -> bool {
        now < self.renewed_at + LEASE_TTL / 2
    }

    /// Returns whether the lease should not have expired yet, so that its absence is a sign of data loss in the store.
    pub(in crate::core) fn should_be_valid(&self, now: Instant) -> bool {
        now < self.renewed_at + LEASE_TTL * 9 / 10
    }
}
