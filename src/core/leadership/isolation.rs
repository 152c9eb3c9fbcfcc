//! Resignation of a leader that reaches the store but not its workers, or is not reached by them: another controller
//! may be connected to them.

use crate::core::Core;
use crate::core::leadership::state::LeaderState;
use std::time::Duration;

/// Margin added to two heartbeat intervals for the time that workers need to find a new leader.
const FAILOVER_ALLOWANCE: Duration = Duration::from_secs(2);

impl Core {
    /// Records that this leader is able to act. After a period in which it was not, missing heartbeats are no evidence
    /// of failed machines: the store was unreachable, so heartbeats were answered with 503 and the workers tried one
    /// controller after another.
    pub(in crate::core) fn record_activity(&mut self) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        if let Some(inactive) = leader.liveness.record_activity(now) {
            let inactive_ms = inactive.as_millis() as u64;
            tracing::info!(term = leader.term, inactive_ms, "leader acts again");
            let until = now + self.settings.heartbeat_interval;
            leader.liveness.extend_heartbeat_grace(until);
        }
    }

    /// Resigns if this leader is isolated from its workers and another controller may reach them.
    pub(in crate::core) fn resign_if_isolated(&mut self) {
        let now = self.now.mono;
        let isolated = self.leader.as_ref().is_some_and(|l| self.is_isolated(l));
        if isolated
            && self.candidacy.may_resign_in_isolation(now)
            && !self.settings.peers.is_empty()
        {
            self.candidacy.resigned_in_isolation(now);
            self.resign("no worker reports here");
        }
    }

    fn is_isolated(&self, leader: &LeaderState) -> bool {
        let now = self.now.mono;
        let has_reports = leader.machines.values().any(|m| m.incarnation > 0);
        if !has_reports && leader.recovery.is_complete() {
            return false;
        }
        // Few heartbeats arrive before the workers have found the new leader.
        let failover_time = self.settings.heartbeat_interval * 2 + FAILOVER_ALLOWANCE;
        let settled = now.saturating_duration_since(leader.since) > failover_time;
        let limit = if settled {
            leader.liveness.isolation_timeout.min(failover_time)
        } else {
            failover_time
        };
        leader.liveness.is_isolated(now, leader.since, limit)
    }
}
