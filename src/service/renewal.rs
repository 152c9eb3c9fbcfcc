//! Lets the renewal of the lease go first.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Lets the renewal of the lease go first. When a thousand workers come to a new leader at once,
/// as many threads want the processor, and the one that renews the lease had its turn only after
/// the lease had ended: the next leader fared no better. So when a renewal is late, the others
/// wait for it, though not for long: it may be the state service that does not answer.
pub struct LeaseRenewalPriority {
    start: Instant,
    /// When the renewal is due, in milliseconds from the start.
    due_ms: AtomicU64,
}

/// A renewal on time is through by then, but for the state service's slowest answers.
const RENEWAL_LATE: Duration = Duration::from_millis(120);
const LONGEST_YIELD: Duration = Duration::from_millis(400);
const YIELD_STEP: Duration = Duration::from_millis(25);

impl LeaseRenewalPriority {
    pub fn new() -> LeaseRenewalPriority {
        LeaseRenewalPriority {
            start: Instant::now(),
            due_ms: AtomicU64::new(u64::MAX),
        }
    }

    pub fn due(&self, at: Instant) {
        let ms = at.saturating_duration_since(self.start).as_millis();
        self.due_ms
            .store(u64::try_from(ms).unwrap_or(u64::MAX), Ordering::Relaxed);
    }

    /// Whether work that can wait is to do so.
    pub fn is_late(&self) -> bool {
        let due = Duration::from_millis(self.due_ms.load(Ordering::Relaxed));
        (self.start.elapsed().checked_sub(due))
            .is_some_and(|late| late > RENEWAL_LATE && late < RENEWAL_LATE + LONGEST_YIELD)
    }

    /// Called by a thread that has work which can wait.
    pub fn yield_to_lease_renewal(&self) {
        while self.is_late() {
            std::thread::sleep(YIELD_STEP);
        }
    }
}
