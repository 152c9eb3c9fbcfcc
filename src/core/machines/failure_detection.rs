//! Failure detection: which zones are reachable, which machines' leases have expired, and which machines are to be
//! deleted.

use crate::core::Core;
use crate::core::leadership::state::LeaderState;
use crate::core::machines::machine::{DeletionReason, Machine, WORKER_RETRY, lease_expiry};
use crate::job::MachineId;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Number of consecutive probes without a response after which a machine that may hold tasks of an earlier term counts
/// as dead. A single lost packet must not suffice, but all such tasks that no machine has reported yet wait for the
/// dead machines.
pub(in crate::core) const MAX_UNANSWERED_PROBES: u32 = 2;
/// Margin added to the time without any heartbeat after which a leader resigns, as a failover costs more than a short
/// gap in heartbeats.
const RESIGN_MARGIN: Duration = Duration::from_millis(1000);
/// Interval between checks of all machines.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Margin after a machine's announced reclamation before missing heartbeats mean that the machine was reclaimed.
const RECLAIM_MARGIN: Duration = Duration::from_millis(500);
/// Expected boot time of a machine of an unknown type, in seconds.
const DEFAULT_BOOT_S: f64 = 60.0;
/// Factor of the type's boot time in the boot timeout, which is `boot_s * BOOT_TIME_FACTOR + BOOT_MARGIN_S`.
const BOOT_TIME_FACTOR: f64 = 2.5;
/// Margin in the boot timeout, in seconds.
const BOOT_MARGIN_S: f64 = 10.0;
/// Maximum boot timeout, in seconds.
const MAX_BOOT_LIMIT_S: f64 = 86_400.0;

/// Returns a time for which this many machines are hardly ever all silent together. With heartbeats spread evenly over
/// their interval, that happens by chance once in 400 times.
fn longest_common_silence(heartbeat_interval: Duration, machines: u32) -> Duration {
    (heartbeat_interval * 6 / machines.max(1)).min(heartbeat_interval * 2)
}

/// Returns the silence after which a machine counts as failed, if other machines of its zone send heartbeats.
fn max_silence(heartbeat_interval: Duration) -> Duration {
    heartbeat_interval * 5 / 2
}

/// Heartbeats from the machines of one zone.
struct ZoneActivity {
    /// Number of machines from which heartbeats are expected.
    machines: u32,
    /// Number of these machines from which a heartbeat has arrived recently.
    live_machines: u32,
    /// Time at which the newest heartbeat of any of these machines arrived.
    newest_heartbeat: Instant,
}

impl ZoneActivity {
    /// Returns whether the zone is reachable. A zone from which hardly any heartbeats arrive is partitioned: its
    /// machines continue to work, protected by their leases, and are not removed for missing heartbeats. The first sign
    /// of a partition is that no heartbeat arrives at all for longer than this many machines are ever silent together.
    /// The number of live machines falls too late to be that sign: half of the machines are still live when the first
    /// ones have been silent for too long.
    fn is_reachable(
        &self,
        heartbeat_interval: Duration,
        relay_delay: Duration,
        now: Instant,
    ) -> bool {
        let max_pause = longest_common_silence(heartbeat_interval, self.live_machines)
            .max(heartbeat_interval / 3)
            + relay_delay;
        self.live_machines * 2 >= self.machines
            && self.live_machines > 0
            && now.saturating_duration_since(self.newest_heartbeat) <= max_pause
    }
}

impl Machine {
    /// Returns whether heartbeats from the machine are expected, as it is or may be running.
    fn is_expected(&self) -> bool {
        self.incarnation > 0 || self.unresolved
    }
}

impl LeaderState {
    fn zone_activity(
        &self,
        heartbeat_interval: Duration,
        now: Instant,
    ) -> BTreeMap<&str, ZoneActivity> {
        let mut zones: BTreeMap<&str, ZoneActivity> = BTreeMap::new();
        for machine in self.machines.values().filter(|m| m.is_expected()) {
            let zone = zones.entry(&machine.zone).or_insert(ZoneActivity {
                machines: 0,
                live_machines: 0,
                newest_heartbeat: self.since,
            });
            zone.machines += 1;
            if machine.incarnation > 0 {
                let silence = now.saturating_duration_since(machine.last_heartbeat);
                zone.live_machines += u32::from(silence < heartbeat_interval * 2);
                zone.newest_heartbeat = zone.newest_heartbeat.max(machine.last_heartbeat);
            }
        }
        zones
    }

    /// Updates which zones are reachable, and since when. After a partition heals, it takes some time until heartbeats
    /// of all machines in the zone arrive again.
    fn update_reachable_zones(&mut self, heartbeat_interval: Duration, now: Instant) {
        // Heartbeats that delegates answer become known to the leader only after this delay.
        let relay_delay = self.delegates.delegation_delay();
        let earlier = &self.liveness.zone_reachable_since;
        let zones = self.zone_activity(heartbeat_interval, now);
        let reachable = (zones.iter())
            .filter(|(_, activity)| activity.is_reachable(heartbeat_interval, relay_delay, now))
            .map(|(zone, _)| {
                let since = earlier.get(*zone).copied().unwrap_or(now);
                (zone.to_string(), since)
            });
        self.liveness.zone_reachable_since = reachable.collect();
    }

    /// Updates the time without any heartbeat after which this leader counts as isolated, for the present number of
    /// machines.
    fn update_isolation_timeout(&mut self, heartbeat_interval: Duration) {
        let running = self.machines.values().filter(|m| m.incarnation > 0).count();
        let common_silence = longest_common_silence(heartbeat_interval, running as u32);
        self.liveness.isolation_timeout =
            common_silence.max(heartbeat_interval / 2) + RESIGN_MARGIN;
    }

    /// Marks the machines as changed that accept tasks now and did not in the snapshot, or the other way round: this
    /// may change by the passage of time alone.
    fn mark_schedulable_changes(&mut self, heartbeat_interval: Duration, now: Instant) {
        let changed: Vec<MachineId> = (self.machines.values())
            .filter(|m| m.schedulable != self.accepts_tasks(m, now, heartbeat_interval))
            .map(|m| m.id.clone())
            .collect();
        for id in changed {
            self.machines.get_mut(&id);
        }
    }
}

/// One check of all machines for failures.
struct FailureDetector<'a> {
    core: &'a Core,
    leader: &'a LeaderState,
    now: Instant,
    heartbeat_interval: Duration,
    /// Time from the last response to a worker until its lease has certainly run out.
    lease_expiry: Duration,
    /// Time before which silence proves nothing, as a follower that relays heartbeats has stopped sending and its
    /// workers may still be looking for another controller.
    delegate_grace_until: Option<Instant>,
}

impl<'a> FailureDetector<'a> {
    fn new(core: &'a Core, leader: &'a LeaderState) -> FailureDetector<'a> {
        let now = core.now.mono;
        FailureDetector {
            core,
            leader,
            now,
            heartbeat_interval: core.settings.heartbeat_interval,
            lease_expiry: lease_expiry(core.settings.worker_lease),
            delegate_grace_until: leader.delegate_grace_until(now),
        }
    }

    fn since(&self, moment: Instant) -> Duration {
        self.now.saturating_duration_since(moment)
    }

    fn is_zone_reachable(&self, zone: &str) -> bool {
        let liveness = &self.leader.liveness;
        liveness.zone_reachable_since.contains_key(zone)
    }

    /// Returns whether the zone has been reachable, without an excuse for missing heartbeats, for long enough that a
    /// heartbeat of every live worker in the zone should have arrived.
    fn has_zone_recovered(&self, zone: &str) -> bool {
        let liveness = &self.leader.liveness;
        let reachable_since = liveness.zone_reachable_since.get(zone);
        let reachable_for = reachable_since.map_or(Duration::ZERO, |since| self.since(*since));
        let settled_for = reachable_for.min(self.since(liveness.heartbeat_grace_until));
        settled_for >= (self.heartbeat_interval * 5 / 4).max(WORKER_RETRY)
    }

    /// Returns for how long no heartbeat of the machine has arrived, counting only the time in which it could have.
    fn silence(&self, machine: &Machine) -> Duration {
        let since = (machine.last_heartbeat)
            .max(self.leader.liveness.heartbeat_grace_until)
            .max(self.leader.since);
        let since = (self.delegate_grace_until).map_or(since, |until| since.max(until));
        self.since(since)
    }

    /// Returns whether the worker's lease has run out, and the machine is not marked as expired yet.
    fn has_lease_newly_expired(&self, machine: &Machine) -> bool {
        machine.is_expected()
            && !machine.lease_expired
            && self.now > machine.lease_renewed + self.lease_expiry
            // A delegate that answers the machine's heartbeats for the leader may have renewed the lease since.
            && machine.delegated_to.is_none()
    }

    fn is_silent(&self, machine: &Machine) -> bool {
        machine.is_expected()
            && self.silence(machine) > max_silence(self.heartbeat_interval)
            && self.has_zone_recovered(&machine.zone)
    }

    /// Returns whether an unresolved machine counts as dead. Every task of an earlier term that no machine has reported
    /// yet waits for each unresolved machine, for example one that failed together with the old leader.
    ///
    /// A machine counts as dead after `MAX_UNANSWERED_PROBES` probes without a response, while other machines of its
    /// zone respond. A machine that has sent a heartbeat is not dead, even if calls to it fail, unless its heartbeats
    /// never contain the fencing token that it was answered with: such heartbeats may be late copies. Machines that no
    /// call reaches because of a one-way partition of their zone are not dead either.
    fn is_unresponsive(&self, machine: &Machine) -> bool {
        let confirmation_timeout = max_silence(self.heartbeat_interval) + WORKER_RETRY;
        let never_confirms =
            (machine.unproven_since).is_some_and(|since| self.now > since + confirmation_timeout);
        machine.unresolved
            && (machine.incarnation == 0 || never_confirms)
            && machine.direct_calls.failures >= MAX_UNANSWERED_PROBES
            && (self.leader.recovery.reachable_zones).contains(&machine.zone)
            && self.is_zone_reachable(&machine.zone)
    }

    fn is_reclaimed(&self, machine: &Machine) -> bool {
        let reclaim_at = machine.reclaim_at;
        reclaim_at.is_some_and(|at| self.now > at + RECLAIM_MARGIN)
            && self.silence(machine) > self.heartbeat_interval * 5 / 4
    }

    fn is_silent_beyond_lease(&self, machine: &Machine) -> bool {
        machine.is_expected() && self.silence(machine) > self.lease_expiry
    }

    fn has_failed_to_boot(&self, machine: &Machine) -> bool {
        // A new leader first has to receive heartbeats of the machines that came up before its term.
        let is_settled = self.now > self.leader.since + self.heartbeat_interval * 2;
        if machine.is_expected() || !is_settled {
            return false;
        }
        let mut machine_types = self.core.machine_types.iter();
        let boot_s = machine_types
            .find(|t| t.name == machine.machine_type)
            .map_or(DEFAULT_BOOT_S, |t| t.boot_s);
        let limit_s = (boot_s * BOOT_TIME_FACTOR + BOOT_MARGIN_S).min(MAX_BOOT_LIMIT_S);
        machine.age_at(self.now) > Duration::from_secs_f64(limit_s)
    }

    /// Returns all reasons to delete the machine, or none if it is being deleted already. The first reason is shown to
    /// operators.
    fn deletion_reasons(&self, machine: &Machine) -> Vec<DeletionReason> {
        if machine.deleting.is_some() {
            return Vec::new();
        }
        let reasons = [
            (DeletionReason::Silent, self.is_silent(machine)),
            (DeletionReason::Unresponsive, self.is_unresponsive(machine)),
            (DeletionReason::Reclaimed, self.is_reclaimed(machine)),
            (
                DeletionReason::LeaseExpired,
                self.is_silent_beyond_lease(machine),
            ),
            (
                DeletionReason::BootTimeout,
                self.has_failed_to_boot(machine),
            ),
            (DeletionReason::Faulty, self.core.is_faulty(machine)),
        ];
        let applicable = reasons.into_iter().filter(|(_, applies)| *applies);
        applicable.map(|(reason, _)| reason).collect()
    }
}

impl Core {
    /// Checks all machines for expired leases, failures and announced reclamations, and sends the calls to the cloud
    /// that are due.
    pub(in crate::core) fn check_machines(&mut self) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let last_check = leader.liveness.last_machine_check;
        if last_check.is_some_and(|at| now < at + CHECK_INTERVAL) {
            return;
        }
        leader.liveness.last_machine_check = Some(now);
        self.check_delegates();
        self.detect_failures();
        self.move_tasks_off_reclaimed();
        self.call_cloud();
    }

    fn detect_failures(&mut self) {
        let now = self.now.mono;
        let heartbeat_interval = self.settings.heartbeat_interval;
        let Some(leader) = &mut self.leader else {
            return;
        };
        leader.update_reachable_zones(heartbeat_interval, now);
        leader.update_isolation_timeout(heartbeat_interval);
        leader.mark_schedulable_changes(heartbeat_interval, now);
        let Some(leader) = &self.leader else { return };
        let detector = FailureDetector::new(self, leader);
        let machines = || leader.machines.values();
        let expired: Vec<MachineId> = machines()
            .filter(|m| detector.has_lease_newly_expired(m))
            .map(|m| m.id.clone())
            .collect();
        let failed: Vec<(MachineId, DeletionReason)> = machines()
            .flat_map(|m| {
                let reasons = detector.deletion_reasons(m).into_iter();
                reasons.map(|reason| (m.id.clone(), reason))
            })
            .collect();
        for id in expired {
            self.expire_machine_lease(&id);
        }
        for (id, reason) in failed {
            self.record_machine_loss(&id);
            self.schedule_deletion(&id, reason);
        }
    }
}
