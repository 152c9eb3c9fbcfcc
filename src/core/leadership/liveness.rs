//! Records of when workers and this leader itself were last known to be alive.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time without being able to act after which a leader disregards missing heartbeats: it could not receive them.
const INACTIVITY_THRESHOLD: Duration = Duration::from_millis(1000);
/// Number of consecutive failed direct calls, with no worker in direct contact meanwhile, from which they count as a
/// sign of isolation. A smaller number may be caused by single failed machines.
const MAX_FAILED_CALLS: u32 = 8;

/// Records of when machines, zones and this leader itself were last known to be alive.
pub struct Liveness {
    /// Time before which missing heartbeats are no evidence of a failure.
    pub heartbeat_grace_until: Instant,
    /// Time without any heartbeat after which this leader counts as isolated. It depends on the number of machines, as
    /// many machines are unlikely to be silent at the same time.
    pub isolation_timeout: Duration,
    /// Time of the last check of all machines for failures.
    pub last_machine_check: Option<Instant>,
    /// Zones from which heartbeats arrive, with the time since when they have arrived without a gap.
    pub zone_reachable_since: BTreeMap<String, Instant>,
    /// Time at which this leader was last able to act.
    last_active: Instant,
    /// Time of the last heartbeat, received directly or through a delegate.
    last_heartbeat: Option<Instant>,
    /// Time of the last heartbeat received directly or the last answered direct call.
    last_direct_contact: Instant,
    /// Number of direct calls that have failed since the last direct contact.
    failed_direct_calls: u32,
}

impl Liveness {
    /// Creates the records of a leadership that begins at `now`.
    pub(in crate::core) fn new(now: Instant) -> Liveness {
        Liveness {
            heartbeat_grace_until: now,
            isolation_timeout: Duration::ZERO,
            last_machine_check: None,
            zone_reachable_since: BTreeMap::new(),
            last_active: now,
            last_heartbeat: None,
            last_direct_contact: now,
            failed_direct_calls: 0,
        }
    }

    /// Disregards missing heartbeats until `until`, or until a later time that was set before.
    pub(in crate::core) fn extend_heartbeat_grace(&mut self, until: Instant) {
        self.heartbeat_grace_until = self.heartbeat_grace_until.max(until);
    }

    /// Records that this leader is able to act. Returns how long it was not, if that was too long for missing
    /// heartbeats to be evidence of a failure.
    pub(in crate::core) fn record_activity(&mut self, now: Instant) -> Option<Duration> {
        let inactive = now.saturating_duration_since(self.last_active);
        self.last_active = now;
        (inactive > INACTIVITY_THRESHOLD).then_some(inactive)
    }

    /// Records a heartbeat received directly or through a delegate.
    pub(in crate::core) fn record_heartbeat(&mut self, now: Instant) {
        self.last_heartbeat = Some(now);
    }

    /// Records a heartbeat received directly or an answered direct call.
    pub(in crate::core) fn record_direct_contact(&mut self, now: Instant) {
        self.last_direct_contact = now;
        self.failed_direct_calls = 0;
    }

    /// Records a direct call that got no answer.
    pub(in crate::core) fn record_failed_call(&mut self) {
        self.failed_direct_calls += 1;
    }

    /// Returns whether this leader, which has led since `leading_since`, is isolated from its workers: either no
    /// heartbeat arrived for longer than `timeout`, or all direct calls failed for that long. In the second case
    /// heartbeats may still arrive through delegates, but commands do not reach the workers.
    pub(in crate::core) fn is_isolated(
        &self,
        now: Instant,
        leading_since: Instant,
        timeout: Duration,
    ) -> bool {
        let last_heartbeat = self.last_heartbeat.unwrap_or(leading_since);
        let silent_since = last_heartbeat
            .max(self.heartbeat_grace_until)
            .max(leading_since);
        let unreached_since = self.last_direct_contact.max(self.heartbeat_grace_until);
        let calls_fail = self.failed_direct_calls >= MAX_FAILED_CALLS;
        now.saturating_duration_since(silent_since) > timeout
            || calls_fail && now.saturating_duration_since(unreached_since) > timeout
    }
}
