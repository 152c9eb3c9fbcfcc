//! The lease in the key-value store, on which the leader key depends. Data.

use std::time::{Duration, Instant};

/// How long the store keeps the lease, and with it the leader key, after the last renewal.
pub const LEASE_TTL: Duration = Duration::from_millis(3000);
/// The leader stops acting this long before its lease can end: for the time from a decision until it leaves the
/// process.
const SAFETY_MARGIN: Duration = Duration::from_millis(350);
/// What the store's clock may run faster than this one within a lease: 0.1 %.
const MAX_CLOCK_DRIFT: Duration = Duration::from_millis(3);
const _: () = assert!(MAX_CLOCK_DRIFT.as_millis() == LEASE_TTL.as_millis() / 1000);

/// This process's lease.
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    /// Its number in the store.
    pub id: u64,
    /// When the last successful renewal was sent.
    renewed_at: Instant,
}

impl Lease {
    /// A lease that was granted to a request sent at `sent`.
    pub(in crate::core) fn new(id: u64, sent: Instant) -> Lease {
        Lease {
            id,
            renewed_at: sent,
        }
    }

    /// The lease was renewed by a request sent at `sent`.
    pub(in crate::core) fn renew(&mut self, sent: Instant) {
        self.renewed_at = self.renewed_at.max(sent);
    }

    /// Until when a leader may act that saw its leader key in the store at `key_confirmed`. Certainly before the
    /// store can give the leader key to another process.
    pub(in crate::core) fn valid_until(&self, key_confirmed: Instant) -> Instant {
        self.renewed_at.min(key_confirmed) + LEASE_TTL - MAX_CLOCK_DRIFT - SAFETY_MARGIN
    }

    /// Whether it was renewed lately enough to begin a leadership with it.
    pub(in crate::core) fn is_fresh(&self, now: Instant) -> bool {
        now < self.renewed_at + LEASE_TTL / 2
    }

    /// Whether it should run for long still, so that its end now shows a loss of the store's data.
    pub(in crate::core) fn should_be_valid(&self, now: Instant) -> bool {
        now < self.renewed_at + LEASE_TTL * 9 / 10
    }
}
