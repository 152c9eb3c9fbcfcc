//! Back-off towards a leader that does not answer heartbeat batches.

use std::time::{Duration, Instant};

/// After consecutive failures, no batch is sent to the leader for this long, doubled each time up to
/// `MAX_BACKOFF`: it may be a version that drops the connection.
const BASE_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
const MAX_DOUBLINGS: u32 = 6;
/// A leader that granted just now is asked again at this pace: a packet was lost, or a partition
/// that may end.
const GRANTING_LEADER_BACKOFF: Duration = Duration::from_millis(300);
/// A leader that does not take heartbeat batches is asked again after this long.
const REFUSED_BACKOFF: Duration = Duration::from_secs(10);

/// Consecutive failed batches, and when the next one may be sent.
#[derive(Default)]
pub(super) struct LeaderBackoff {
    failures: u32,
    /// The term that failures were counted in.
    term: u64,
    retry_not_before: Option<Instant>,
}

impl LeaderBackoff {
    /// Resets in a new term: it has another leader, or one of another version, which has not
    /// failed yet.
    pub fn enter_term(&mut self, term: u64) {
        if self.term != term {
            *self = LeaderBackoff {
                term,
                ..LeaderBackoff::default()
            };
        }
    }

    /// Whether the last batch failed.
    pub fn has_failures(&self) -> bool {
        self.failures > 0
    }

    /// Whether the leader of this term is being left alone after failures.
    pub fn is_backing_off(&self, term: u64) -> bool {
        self.term == term && self.retry_not_before.is_some()
    }

    /// Whether a batch would be too early now.
    pub fn defers(&self, now: Instant) -> bool {
        self.retry_not_before.is_some_and(|at| now < at)
    }

    /// The leader gave no answer. A first failure of one that did not grant lately is retried at
    /// once.
    pub fn record_failure(&mut self, now: Instant, granted_recently: bool) {
        self.failures += 1;
        if granted_recently {
            self.retry_not_before = Some(now + GRANTING_LEADER_BACKOFF);
        } else if self.failures > 1 {
            let backoff = BASE_BACKOFF * 2u32.pow(self.failures.min(MAX_DOUBLINGS));
            self.retry_not_before = Some(now + backoff.min(MAX_BACKOFF));
        }
    }

    /// The leader answered.
    pub fn record_answer(&mut self) {
        self.failures = 0;
        self.retry_not_before = None;
    }

    /// The leader answered that it takes no batches.
    pub fn record_refusal(&mut self, now: Instant) {
        self.retry_not_before = Some(now + REFUSED_BACKOFF);
    }
}
