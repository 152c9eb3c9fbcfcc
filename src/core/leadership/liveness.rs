//! When workers and this leader itself were last known to be alive. Data.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// If a leader could not act for longer than this, it did not receive its workers' heartbeats, and missing ones prove
/// nothing.
const INACTIVITY_THRESHOLD: Duration = Duration::from_millis(1000);
/// Direct calls that fail one after another, while no worker sends heartbeats here, before that means something: single
/// machines may be gone.
const MAX_FAILED_CALLS: u32 = 8;

/// When machines, zones and this leader itself were last known to be alive.
pub struct Liveness {
    /// Missing heartbeats prove nothing before this moment.
    pub heartbeat_grace_until: Instant,
    /// With as many machines as there are, silence of all of them for this long means that this process does not
    /// receive their heartbeats.
    pub isolation_timeout: Duration,
    /// When machines were last checked for failures.
    pub last_machine_check: Option<Instant>,
    /// Zones from which heartbeats come, and since when without a break.
    pub zone_reachable_since: BTreeMap<String, Instant>,
    /// When this leader was last able to act.
    last_active: Instant,
    /// When a heartbeat last came, here or through a delegate.
    last_heartbeat: Option<Instant>,
    /// When a worker last reported here or answered a direct call.
    last_direct_contact: Instant,
    /// How many direct calls have failed since.
    failed_direct_calls: u32,
}

impl Liveness {
    /// Of a leadership that begins now.
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

    /// Missing heartbeats prove nothing until this moment.
    pub(in crate::core) fn extend_heartbeat_grace(&mut self, until: Instant) {
        self.heartbeat_grace_until = self.heartbeat_grace_until.max(until);
    }

    /// This leader is able to act. Returns for how long it was not, where that was too long for its workers'
    /// silence to prove anything.
    pub(in crate::core) fn record_activity(&mut self, now: Instant) -> Option<Duration> {
        let inactive = now.saturating_duration_since(self.last_active);
        self.last_active = now;
        (inactive > INACTIVITY_THRESHOLD).then_some(inactive)
    }

    /// A heartbeat came, here or through a delegate.
    pub(in crate::core) fn record_heartbeat(&mut self, now: Instant) {
        self.last_heartbeat = Some(now);
    }

    /// A worker reported here, or answered a direct call.
    pub(in crate::core) fn record_direct_contact(&mut self, now: Instant) {
        self.last_direct_contact = now;
        self.failed_direct_calls = 0;
    }

    /// A direct call got no answer.
    pub(in crate::core) fn record_failed_call(&mut self) {
        self.failed_direct_calls += 1;
    }

    /// Whether workers do not reach this leader, which has led since `leading_since`, or are not reached by it: no heartbeat
    /// came for longer than `timeout`, or all direct calls failed for as long. Then others receive the heartbeats, but
    /// commands do not get through.
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
