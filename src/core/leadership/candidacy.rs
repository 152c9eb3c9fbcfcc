//! When this process may campaign for leadership, and its past leaderships. This data outlives leaderships.

use std::time::{Duration, Instant};

/// Delay before a controller that resigned may campaign again, so that another one takes over.
const PAUSE_AFTER_RESIGNATION: Duration = Duration::from_secs(12);
/// Minimum interval between two resignations because of isolation from workers.
const ISOLATION_RESIGN_INTERVAL: Duration = Duration::from_secs(90);
/// Delay between the end of a leadership and the next campaign.
const PAUSE_AFTER_STEP_DOWN: Duration = Duration::from_millis(200);

/// A controller's campaigns and past leaderships.
pub struct Candidacy {
    /// Number of leaderships that this process has begun.
    leaderships: u64,
    /// Newest term in which this process has led.
    newest_led_term: u64,
    /// Time at which the last campaign was sent.
    last_campaign: Instant,
    /// Earliest time of the next campaign.
    not_before: Instant,
    /// Time of the last resignation because of isolation from workers.
    resigned_in_isolation: Option<Instant>,
}

impl Candidacy {
    /// Creates the state of a process that starts at `now` and may campaign at once.
    pub(in crate::core) fn new(now: Instant) -> Candidacy {
        Candidacy {
            leaderships: 0,
            newest_led_term: 0,
            last_campaign: now,
            not_before: now,
            resigned_in_isolation: None,
        }
    }

    /// Returns the number of leaderships that this process has begun.
    #[cfg(test)]
    pub(in crate::core) fn leaderships(&self) -> u64 {
        self.leaderships
    }

    /// Returns the time at which the last campaign was sent.
    pub(in crate::core) fn last_campaign(&self) -> Instant {
        self.last_campaign
    }

    /// Returns whether this process has led neither in this term nor in a later one.
    pub(in crate::core) fn is_term_unused(&self, term: u64) -> bool {
        term > self.newest_led_term
    }

    /// Returns whether all delays before the next campaign have passed.
    pub(in crate::core) fn may_attempt(&self, now: Instant) -> bool {
        now >= self.not_before
    }

    /// Delays the next campaign until `at`, or until a later time that was set before.
    pub(in crate::core) fn delay_until(&mut self, at: Instant) {
        self.not_before = self.not_before.max(at);
    }

    /// Records that a campaign is sent.
    pub(in crate::core) fn campaign_sent(&mut self, now: Instant) {
        self.last_campaign = now;
    }

    /// Records that a leadership begins in this term.
    pub(in crate::core) fn leadership_began(&mut self, term: u64) {
        self.leaderships += 1;
        self.newest_led_term = self.newest_led_term.max(term);
    }

    /// Records that a leadership has ended.
    pub(in crate::core) fn leadership_ended(&mut self, now: Instant) {
        self.not_before = now + PAUSE_AFTER_STEP_DOWN;
    }

    /// Records that this process has resigned, and delays its next campaign so that another controller takes over.
    pub(in crate::core) fn resigned(&mut self, now: Instant) {
        self.not_before = now + PAUSE_AFTER_RESIGNATION;
    }

    /// Returns whether an isolated leader may resign. Resignations are rate-limited: if no controller receives
    /// heartbeats, frequent changes of leader would keep each leader from detecting that the machines are gone.
    pub(in crate::core) fn may_resign_in_isolation(&self, now: Instant) -> bool {
        self.resigned_in_isolation
            .is_none_or(|t| now > t + ISOLATION_RESIGN_INTERVAL)
    }

    /// Records that this process resigns because of isolation from workers.
    pub(in crate::core) fn resigned_in_isolation(&mut self, now: Instant) {
        self.resigned_in_isolation = Some(now);
    }
}
