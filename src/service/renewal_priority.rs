//! Gives the renewal of the lease priority over other work on the processor.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Delay past the due time after which a renewal counts as late. A renewal that starts on time has
/// completed by then, except for the slowest responses of the state service.
const LATE_AFTER: Duration = Duration::from_millis(120);
/// Longest time for which other work waits for a late renewal. The limit matters when the cause of the
/// delay is a state service that does not respond.
const MAX_YIELD: Duration = Duration::from_millis(400);
/// Interval at which a waiting thread checks again whether the renewal is late.
const YIELD_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Due time of the next lease renewal, by which other threads find out whether to wait for it.
///
/// When a thousand workers connected to a new leader at once, as many threads competed for the
/// processor, and the thread that renews the lease ran only after the lease had expired; the next
/// leader lost its lease in the same way. So while a renewal is late, other threads wait for it, up to
/// `MAX_YIELD`.
pub struct LeaseRenewalPriority {
    start: Instant,
    /// Due time in milliseconds after `start`; `u64::MAX` before the first renewal is scheduled.
    due_ms: AtomicU64,
}

impl LeaseRenewalPriority {
    /// Returns a tracker without a scheduled renewal.
    pub fn new() -> LeaseRenewalPriority {
        LeaseRenewalPriority {
            start: Instant::now(),
            due_ms: AtomicU64::new(u64::MAX),
        }
    }

    /// Sets the time at which the next renewal is due.
    pub fn set_due(&self, at: Instant) {
        let since_start = at.saturating_duration_since(self.start).as_millis();
        let due_ms = u64::try_from(since_start).unwrap_or(u64::MAX);
        self.due_ms.store(due_ms, Ordering::Relaxed);
    }

    /// Returns whether a renewal is late, so that deferrable work should wait.
    pub fn is_late(&self) -> bool {
        let due = Duration::from_millis(self.due_ms.load(Ordering::Relaxed));
        (self.start.elapsed().checked_sub(due))
            .is_some_and(|late| late > LATE_AFTER && late < LATE_AFTER + MAX_YIELD)
    }

    /// Blocks the calling thread, which has deferrable work, while a renewal is late.
    pub fn yield_to_lease_renewal(&self) {
        while self.is_late() {
            std::thread::sleep(YIELD_POLL_INTERVAL);
        }
    }
}
