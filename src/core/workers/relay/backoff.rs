//! Backoff for a leader that does not respond to heartbeat batches.

use std::time::{Duration, Instant};

/// Basis of the delay after consecutive failures, which doubles with each failure up to
/// `MAX_BACKOFF`. The leader may run a version that drops the connection.
const BASE_BACKOFF: Duration = Duration::from_millis(200);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
const MAX_DOUBLINGS: u32 = 6;
/// Delay if the leader issued a grant recently: a packet may have been lost, or a partition may soon
/// end.
const GRANTING_LEADER_BACKOFF: Duration = Duration::from_millis(300);
/// Delay after a leader has answered that it does not accept batches.
const REFUSED_BACKOFF: Duration = Duration::from_secs(10);

/// Number of consecutive failed batches, and the time before which no other batch is sent.
#[derive(Default)]
pub(super) struct LeaderBackoff {
    failures: u32,
    /// Term in which the failures were counted.
    term: u64,
    retry_not_before: Option<Instant>,
}

impl LeaderBackoff {
    /// Resets the backoff in a new term, whose leader may be another controller or run another version
    /// and has not failed yet.
    pub fn enter_term(&mut self, term: u64) {
        if self.term != term {
            *self = LeaderBackoff {
                term,
                ..LeaderBackoff::default()
            };
        }
    }

    /// Returns whether the last batch failed.
    pub fn has_failures(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether batches to the leader of this term are delayed after a failure or refusal.
    pub fn is_backing_off(&self, term: u64) -> bool {
        self.term == term && self.retry_not_before.is_some()
    }

    /// Returns whether a batch must not be sent yet.
    pub fn defers(&self, now: Instant) -> bool {
        self.retry_not_before.is_some_and(|at| now < at)
    }

    /// Records that the leader did not respond. The first failure is retried at once, unless the leader
    /// issued a grant recently.
    pub fn record_failure(&mut self, now: Instant, granted_recently: bool) {
        self.failures += 1;
        if granted_recently {
            self.retry_not_before = Some(now + GRANTING_LEADER_BACKOFF);
        } else if self.failures > 1 {
            let backoff = BASE_BACKOFF * 2u32.pow(self.failures.min(MAX_DOUBLINGS));
            self.retry_not_before = Some(now + backoff.min(MAX_BACKOFF));
        }
    }

    /// Records a response from the leader.
    pub fn record_answer(&mut self) {
        self.failures = 0;
        self.retry_not_before = None;
    }

    /// Records a response in which the leader does not accept batches.
    pub fn record_refusal(&mut self, now: Instant) {
        self.retry_not_before = Some(now + REFUSED_BACKOFF);
    }
}
