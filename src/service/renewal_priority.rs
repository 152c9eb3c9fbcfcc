//! Lets the renewal of the lease go before other work on the processor.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A renewal on time has ended by then, except for the state service's slowest responses.
const LATE_AFTER: Duration = Duration::from_millis(120);
/// Longest time for which other work waits: it may be the state service that does not respond.
const MAX_YIELD: Duration = Duration::from_millis(400);
const YIELD_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// When the next renewal of the lease is due, and whether other work is to wait for it.
///
/// When a thousand workers come to a new leader at once, as many threads want the processor, and
/// the one that renews the lease had its turn only after the lease had expired: the next leader
/// fared no better. So while a renewal is late the others wait for it, though not for long.
pub struct LeaseRenewalPriority {
    start: Instant,
    /// Milliseconds after `start`; `u64::MAX` before the first renewal is scheduled.
    due_ms: AtomicU64,
}

impl LeaseRenewalPriority {
    /// No renewal is due yet.
    pub fn new() -> LeaseRenewalPriority {
        LeaseRenewalPriority {
            start: Instant::now(),
            due_ms: AtomicU64::new(u64::MAX),
        }
    }

    /// Sets when the next renewal is due.
    pub fn set_due(&self, at: Instant) {
        let since_start = at.saturating_duration_since(self.start).as_millis();
        let due_ms = u64::try_from(since_start).unwrap_or(u64::MAX);
        self.due_ms.store(due_ms, Ordering::Relaxed);
    }

    /// Whether work that can wait is to do so.
    pub fn is_late(&self) -> bool {
        let due = Duration::from_millis(self.due_ms.load(Ordering::Relaxed));
        (self.start.elapsed().checked_sub(due))
            .is_some_and(|late| late > LATE_AFTER && late < LATE_AFTER + MAX_YIELD)
    }

    /// Called by a thread that has work which can wait; blocks while a renewal is late.
    pub fn yield_to_lease_renewal(&self) {
        while self.is_late() {
            std::thread::sleep(YIELD_POLL_INTERVAL);
        }
    }
}
