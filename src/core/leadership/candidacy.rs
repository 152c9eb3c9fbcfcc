//! When this process may try to become the leader, and what it has been. Data that outlives leaderships.

use std::time::{Duration, Instant};

/// A controller that resigned leaves leadership to the others for this long.
const PAUSE_AFTER_RESIGNATION: Duration = Duration::from_secs(12);
/// Between two resignations of a leader that receives nothing from workers, at least.
const ISOLATION_RESIGN_INTERVAL: Duration = Duration::from_secs(90);
/// Between the end of a leadership and the next attempt.
const PAUSE_AFTER_STEP_DOWN: Duration = Duration::from_millis(200);

/// A controller's attempts to lead, and its former leaderships.
pub struct Candidacy {
    /// How many leaderships this process has begun.
    leaderships: u64,
    /// The newest term in which it has led.
    newest_led_term: u64,
    /// When the last attempt to lead was sent.
    last_campaign: Instant,
    /// No attempt to lead before this moment.
    not_before: Instant,
    /// When it last resigned because it received nothing from workers.
    resigned_in_isolation: Option<Instant>,
}

impl Candidacy {
    /// A process that begins at `now` and may try to lead at once.
    pub(in crate::core) fn new(now: Instant) -> Candidacy {
        Candidacy {
            leaderships: 0,
            newest_led_term: 0,
            last_campaign: now,
            not_before: now,
            resigned_in_isolation: None,
        }
    }

    /// How many leaderships this process has begun.
    #[cfg(test)]
    pub(in crate::core) fn leaderships(&self) -> u64 {
        self.leaderships
    }

    /// When the last attempt to lead was sent.
    pub(in crate::core) fn last_campaign(&self) -> Instant {
        self.last_campaign
    }

    /// Whether this process has not led in this term or a later one.
    pub(in crate::core) fn is_term_unused(&self, term: u64) -> bool {
        term > self.newest_led_term
    }

    /// Whether it may try to lead now.
    pub(in crate::core) fn may_attempt(&self, now: Instant) -> bool {
        now >= self.not_before
    }

    /// No attempt before this moment, and none before a later one set earlier.
    pub(in crate::core) fn delay_until(&mut self, at: Instant) {
        self.not_before = self.not_before.max(at);
    }

    /// An attempt to lead is sent.
    pub(in crate::core) fn campaign_sent(&mut self, now: Instant) {
        self.last_campaign = now;
    }

    /// A leadership begins in this term.
    pub(in crate::core) fn leadership_began(&mut self, term: u64) {
        self.leaderships += 1;
        self.newest_led_term = self.newest_led_term.max(term);
    }

    /// A leadership has ended.
    pub(in crate::core) fn leadership_ended(&mut self, now: Instant) {
        self.not_before = now + PAUSE_AFTER_STEP_DOWN;
    }

    /// This process gives leadership up for the others to take.
    pub(in crate::core) fn resigned(&mut self, now: Instant) {
        self.not_before = now + PAUSE_AFTER_RESIGNATION;
    }

    /// Whether an isolated leader may resign. Where no other controller receives heartbeats either, passing
    /// leadership around would only keep all of them from finding out that the machines are gone.
    pub(in crate::core) fn may_resign_in_isolation(&self, now: Instant) -> bool {
        self.resigned_in_isolation
            .is_none_or(|t| now > t + ISOLATION_RESIGN_INTERVAL)
    }

    /// An isolated leader resigns.
    pub(in crate::core) fn resigned_in_isolation(&mut self, now: Instant) {
        self.resigned_in_isolation = Some(now);
    }
}
