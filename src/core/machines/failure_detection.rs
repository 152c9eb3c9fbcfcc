//! Losses: machines that fall silent, are taken, or never come up, and what becomes of their tasks.

use crate::core::Core;
use crate::core::leadership::LEASE_TTL;
use crate::core::machines::machine::{Machine, Placement, StopReason, WORKER_RETRY};
use crate::job::{JobKind, MachineId, TaskId};
use crate::settings::Settings;
use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime};

/// A machine that may hold old tasks is asked this often, so far apart, before it counts as dead:
/// one lost packet condemns none, and all old tasks that nobody has shown wait for the dead ones.
pub(in crate::core) const MAX_UNANSWERED_PROBES: u32 = 2;
/// Added to the time after which a leader that hears nobody resigns: for a takeover costs more
/// than a moment's silence.
const RESIGN_MARGIN: Duration = Duration::from_millis(1000);
/// Between two looks at what cancelled jobs have left.
const FORGET_EVERY: Duration = Duration::from_millis(250);
/// Added to a worker's lease before its tasks count as gone: for drift, and for slow timers.
const LEASE_MARGIN: Duration = Duration::from_millis(1500);

/// So many machines are hardly ever all silent for this long: with reports spread over their
/// interval, one in 400 times.
fn longest_common_silence(heartbeat: Duration, machines: u32) -> Duration {
    (heartbeat * 6 / machines.max(1)).min(heartbeat * 2)
}

/// From when a worker was last answered until its lease has run out for certain.
pub(in crate::core) fn lease_expiry(lease: Duration) -> Duration {
    lease + lease / 500 + LEASE_MARGIN
}

/// From when a cancellation is durable until nothing of its job can be left, whatever fails meanwhile: the
/// leader's word, within which a worker may be answered by a controller that does not know of it yet, and
/// then the worker's lease. `docs/design.md`, "A cancellation in the gap".
pub fn cancellation_bound(lease: Duration) -> Duration {
    LEASE_TTL + lease + lease / 500 + Duration::from_millis(500)
}

/// What operators are told where a cancellation may take less than that.
pub fn cancellation_warning(settings: &Settings) -> Option<String> {
    let (needs, given) = (
        cancellation_bound(settings.worker_lease),
        settings.cancellation_deadline,
    );
    (needs > given).then(|| {
        format!(
            "params.workers.cancel_s: {} s is less than the {:.1} s in which a lease of {} s is certain to have run out; \
             cancellations are confirmed only when nothing of the job is left",
            given.as_secs_f64(),
            needs.as_secs_f64(),
            settings.worker_lease.as_secs_f64()
        )
    })
}

impl Core {
    /// Forgets what was left of jobs that were cancelled so long ago that every lease has run out since. Each
    /// controller does, so that what it remembers is bounded by the pace of cancellations.
    pub(in crate::core) fn forget_cancelled(&mut self) {
        let now = self.now.mono;
        if self
            .cancelled_forgotten
            .is_some_and(|t| now < t + FORGET_EVERY)
        {
            return;
        }
        self.cancelled_forgotten = Some(now);
        let gone =
            lease_expiry(self.settings.worker_lease).max(self.settings.cancellation_deadline);
        if let Ok(since) = (self.now.wall - gone).duration_since(SystemTime::UNIX_EPOCH) {
            self.store_cache
                .expire_residual_tasks(since.as_millis() as u64);
        }
    }

    /// Losses, notices and the cloud's list.
    pub(in crate::core) fn check_machines(&mut self) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        if leader
            .liveness
            .last_machine_check
            .is_some_and(|t| now < t + Duration::from_millis(250))
        {
            return;
        }
        leader.liveness.last_machine_check = Some(now);
        self.check_delegates();
        let Some(leader) = &mut self.leader else {
            return;
        };
        let heartbeat = self.settings.heartbeat_interval;
        let lease_expiry = lease_expiry(self.settings.worker_lease);
        let fresh = |m: &Machine| {
            m.incarnation > 0 && now.saturating_duration_since(m.last_heartbeat) < heartbeat * 2
        };
        let mut zones: BTreeMap<&str, (u32, u32, Instant)> = BTreeMap::new();
        for m in leader
            .machines
            .values()
            .filter(|m| m.incarnation > 0 || m.unresolved)
        {
            let z = zones.entry(&m.zone).or_insert((0, 0, leader.since));
            z.0 += 1;
            z.1 += u32::from(fresh(m));
            if m.incarnation > 0 {
                z.2 = z.2.max(m.last_heartbeat);
            }
        }
        // What others hear is told a little later.
        let told_late = leader.delegates.delegation_delay();
        // A zone from which next to nothing comes is cut off; its machines work on and their
        // leases protect them, so they are not given up for their silence. The first sign is
        // that nobody is heard at all for longer than so many machines ever keep silent together:
        // half of them are still fresh when the first ones are silent for too long.
        let reachable = |zone: &str| {
            zones.get(zone).is_some_and(|(all, up, newest)| {
                let pause = longest_common_silence(heartbeat, *up).max(heartbeat / 3) + told_late;
                up * 2 >= *all && *up > 0 && now.saturating_duration_since(*newest) <= pause
            })
        };
        let sessions = leader
            .machines
            .values()
            .filter(|m| m.incarnation > 0)
            .count();
        leader.liveness.silence_limit =
            longest_common_silence(heartbeat, sessions as u32).max(heartbeat / 2) + RESIGN_MARGIN;
        // After a cut, the machines behind it need a moment to be heard again.
        let back: BTreeMap<String, Instant> = zones
            .keys()
            .filter(|z| reachable(z))
            .map(|z| {
                let since = leader
                    .liveness
                    .zone_reachable_since
                    .get(*z)
                    .copied()
                    .unwrap_or(now);
                (z.to_string(), since)
            })
            .collect();
        let heard_for = |zone: &str| {
            back.get(zone)
                .map_or(Duration::ZERO, |t| now.saturating_duration_since(*t))
        };
        let excused = leader.silence_excuse(now);
        let mut over = Vec::new();
        let mut silent = Vec::new();
        for m in leader.machines.values() {
            if (m.incarnation > 0 || m.unresolved)
                && !m.lease_expired
                && now > m.lease_renewed + lease_expiry
                // Who may answer it in our name may have renewed its lease since.
                && m.delegated_to.is_none()
            {
                over.push(m.id.clone());
            }
            let since = m
                .last_heartbeat
                .max(leader.liveness.silence_excused_until)
                .max(leader.since);
            // Its controller is not heard: the worker has to find another one first.
            let since = excused.map_or(since, |t| since.max(t));
            let quiet = now.saturating_duration_since(since);
            let expected = m.incarnation > 0 || m.unresolved;
            let heard = heard_for(&m.zone)
                .min(now.saturating_duration_since(leader.liveness.silence_excused_until));
            let all_heard = heard >= (heartbeat * 5 / 4).max(WORKER_RETRY);
            if expected && m.deleting.is_none() && quiet > heartbeat * 5 / 2 && all_heard {
                silent.push((m.id.clone(), "it is silent"));
            }
            // All old tasks that nobody has shown wait for each machine not heard of, one that
            // died with the old leader, say. Its neighbours answer, and it did not, twice.
            // One that has reported is not dead, whatever becomes of calls to it, unless its reports
            // never show what it was answered: they may be copies. Nor are those dead to which no call
            // gets through, a zone cut off one way.
            let untold = m.unproven_since;
            let deaf = untold.is_some_and(|t| now > t + heartbeat * 5 / 2 + WORKER_RETRY);
            let in_vain = m.unresolved
                && (m.incarnation == 0 || deaf)
                && m.failed_calls >= MAX_UNANSWERED_PROBES
                && leader.recovery.reachable_zones.contains(&m.zone);
            if in_vain && m.deleting.is_none() && reachable(&m.zone) {
                silent.push((m.id.clone(), "it does not answer"));
            }
            let taken = m
                .reclaim_at
                .is_some_and(|t| now > t + Duration::from_millis(500));
            if taken && m.deleting.is_none() && quiet > heartbeat * 5 / 4 {
                silent.push((m.id.clone(), "it was to be taken and is silent"));
            }
            if m.deleting.is_none() && quiet > lease_expiry && expected {
                silent.push((m.id.clone(), "its lease ran out"));
            }
            // A new leader first hears from those that came up before it led.
            let heard_out = now > leader.since + heartbeat * 2;
            if !expected && m.deleting.is_none() && heard_out {
                let boot = self
                    .machine_types
                    .iter()
                    .find(|t| t.name == m.machine_type)
                    .map_or(60.0, |t| t.boot_s);
                let limit = Duration::from_secs_f64((boot * 2.5 + 10.0).min(86400.0));
                if m.age + now.saturating_duration_since(m.known_since) > limit {
                    silent.push((m.id.clone(), "it never came up"));
                }
            }
        }
        leader.liveness.zone_reachable_since = back;
        let turned: Vec<MachineId> = leader
            .machines
            .values()
            .filter(|m| m.schedulable != leader.accepts_tasks(m, now, heartbeat))
            .map(|m| m.id.clone())
            .collect();
        for id in turned {
            leader.machines.get_mut(&id);
        }
        if let Some(leader) = &self.leader {
            let suspects = leader.machines.values().filter(|m| m.deleting.is_none());
            let faulty = suspects.filter(|m| self.faulty(m));
            silent.extend(faulty.map(|m| (m.id.clone(), "it is faulty")));
        }
        for id in over {
            self.machine_lease_expired(&id);
        }
        for (id, why) in silent {
            self.record_machine_loss(&id);
            self.release_machine(&id, why);
        }
        self.move_tasks_off_reclaimed();
        self.call_cloud();
    }

    pub(in crate::core) fn machine_lease_expired(&mut self, id: &MachineId) {
        let now = self.now.mono;
        let lease_expiry = lease_expiry(self.settings.worker_lease);
        let Some(leader) = &mut self.leader else {
            return;
        };
        let term = leader.term;
        let Some(m) = leader.machines.get_mut(id) else {
            return;
        };
        // Whatever session an earlier leader could know of is over; one that was heard of since may run, and
        // holds nothing of theirs.
        if m.unresolved && now <= m.incarnation_since + lease_expiry {
            m.require_token_proof(term);
        } else {
            m.lease_expired = true;
        }
        let tasks: Vec<TaskId> = m.tasks.keys().cloned().collect();
        tracing::warn!(
            machine = %id, "machine {id}: its lease has run out, {} tasks lost",
            tasks.len()
        );
        self.tasks_lost(id, tasks, "the lease ran out");
        self.resolve_machine(id, "its lease ran out");
    }

    /// The machine is deleted; until that is confirmed, its tasks stay where they are.
    pub(in crate::core) fn release_machine(&mut self, id: &MachineId, why: &'static str) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(m) = leader.machines.get_mut(id) else {
            return;
        };
        if m.deleting.is_none() {
            tracing::info!(
                machine = %id, "machine {id} ({} in {}, {}): given up: {why}",
                m.machine_type,
                m.zone,
                if m.spot { "spot" } else { "ordinary" }
            );
            m.deleting = Some(why);
            leader.cloud.deletions.insert(id.clone(), now);
            leader.scheduler.plan_again = true;
        }
    }

    /// It is certain that the machine and everything on it is gone.
    pub(in crate::core) fn machine_gone(&mut self, id: &MachineId, how: &str) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let Some(m) = leader.machines.get(id) else {
            return;
        };
        tracing::info!(machine = %id, "machine {id} is gone: {how}");
        let tasks: Vec<TaskId> = m.tasks.keys().cloned().collect();
        self.tasks_lost(id, tasks, "its machine is gone");
        self.resolve_machine(id, how);
        let Some(leader) = &mut self.leader else {
            return;
        };
        leader.machines.remove(id);
        leader.deleted_machines.insert(id.clone());
        leader.cloud.deletions.remove(id);
        leader.writes.records.remove(id, now);
        leader.scheduler.plan_again = true;
    }

    /// Work that will not end before its machine is taken is stopped, to save or to start anew
    /// elsewhere.
    fn move_tasks_off_reclaimed(&mut self) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let jobs = &self.store_cache.jobs;
        let hopeless = |key: &TaskId, t: &Placement, left: Duration| {
            let Some(job) = jobs.get(&key.job) else {
                return false;
            };
            let ran = t
                .running_since
                .map_or(Duration::ZERO, |s| now.saturating_duration_since(s));
            let rest = job.spec.estimate.saturating_sub(ran);
            let hopeless = t.running_since.is_none() || rest > left.mul_f64(1.5);
            let saves =
                !job.spec.checkpoint_interval.is_zero() || job.spec.job_kind == JobKind::Service;
            // What cannot save may be lucky and end in time; stopping it early only pays where it
            // has hardly begun.
            t.stopping.is_none()
                && hopeless
                && (saves || ran < Duration::from_secs(5) || rest > left * 3)
        };
        let mut moved = Vec::new();
        for m in leader.machines.values() {
            let Some(at) = m.reclaim_at else { continue };
            let left = at.saturating_duration_since(now);
            let tasks = m.tasks.iter().filter(|(key, t)| hopeless(key, t, left));
            moved.extend(tasks.map(|(key, _)| (m.id.clone(), key.clone())));
        }
        for (id, key) in moved {
            if let Some(m) = leader.machines.get_mut(&id)
                && let Some(t) = m.tasks.get_mut(&key)
            {
                t.stop(StopReason::Moved, now);
                m.needs_push = true;
            }
        }
    }
}
