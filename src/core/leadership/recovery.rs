//! What a new leader does not know yet: where its predecessors' tasks are.
//!
//! Every machine that may hold a task is recorded in the state service before it gets one. A
//! task of an old job that nobody has shown yet is started only when each of those machines has
//! shown all it has, or can have nothing.

use crate::core::leadership::LEASE_TTL;
use crate::core::leadership::state::LeaderState;
use crate::core::machines::machine::Machine;
use crate::core::workers::commands::MAX_DIRECT_CALLS;
use crate::core::{Core, Effect, Pending};
use crate::job::{MachineId, TaskId};
use crate::worker_client::DirectRequest;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Between two questions to a machine of which older reports come.
const RESTART_PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// So long a new leader waits for other controllers to say which machines they see to.
const DELEGATE_HEAD_START: Duration = Duration::from_millis(400);

impl LeaderState {
    /// A machine that has yet to show the token and that nobody is about. Those that were not asked
    /// yet come first: one that did not answer takes a call for long.
    pub(in crate::core) fn next_probe(&mut self, now: Instant) -> Option<MachineId> {
        loop {
            let id = self.recovery.to_probe.pop().or_else(|| {
                self.recovery.retries.first().filter(|(at, _)| *at <= now)?;
                self.recovery.retries.pop_first().map(|(_, id)| id)
            })?;
            let m = self.machines.get(&id);
            let Some(m) = m.filter(|m| m.unresolved) else {
                continue;
            };
            if let Some(later) = m.claimed_until.filter(|t| now < *t) {
                // Another controller is about it.
                self.recovery.retries.insert((later, id));
            } else if m.call_in_flight.is_none() {
                return Some(id);
            }
        }
    }

    /// A machine in this zone has answered a call.
    pub(in crate::core) fn mark_zone_reachable(&mut self, zone: &str) {
        if !self.recovery.reachable_zones.contains(zone) {
            self.recovery.reachable_zones.insert(zone.to_string());
        }
    }
}

impl Core {
    /// Begins a leadership: all recorded machines are asked at once.
    pub(in crate::core) fn start_recovery(&mut self) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        for (id, value) in &self.store_cache.machines {
            let mut m = Machine::new(
                id.clone(),
                &value.machine_type,
                &value.zone,
                value.spot,
                now,
            );
            m.addr = value.addr.clone();
            // Remembered only, if the store has lost data.
            m.recorded = leader.writes.records.known(id);
            // The predecessor stopped answering reports before our key could be created, so the
            // machine's lease runs from now at the latest; or, if it gave its lease back, from when its
            // last grant to another controller ran out.
            m.lease_renewed = now + LEASE_TTL;
            m.unresolved = true;
            leader.machines.get_or_add(id, || m);
            leader.recovery.unresolved += 1;
        }
        // Zones take turns, so that one that is cut off does not hold up the others.
        let mut zones: BTreeMap<&str, Vec<&MachineId>> = BTreeMap::new();
        for (id, value) in &self.store_cache.machines {
            zones.entry(&value.zone).or_default().push(id);
        }
        let mut turns = Vec::new();
        while zones.values().any(|z| !z.is_empty()) {
            turns.extend(zones.values_mut().filter_map(|z| z.pop()).cloned());
        }
        turns.reverse();
        if !turns.is_empty() {
            tracing::info!(
                term = leader.term,
                "term {}: {} machines to hear from",
                leader.term,
                turns.len()
            );
        }
        // Those that report to this controller are asked at once. The others most likely report to
        // one that will be heard from in a moment and sees to them.
        let ours = |id: &MachineId| self.relay.serves(id, now);
        if self.delegating && turns.iter().any(ours) {
            let others: Vec<MachineId> = turns.extract_if(.., |id| !ours(id)).collect();
            let later = now + DELEGATE_HEAD_START;
            leader.recovery.retries = others.into_iter().map(|id| (later, id)).collect();
        }
        leader.recovery.initially_unresolved = leader.recovery.unresolved;
        leader.recovery.to_probe = turns;
        self.probe_machines();
    }

    /// Asks as many machines as there are calls to spare; those that have reported meanwhile
    /// need not be asked.
    pub(in crate::core) fn probe_machines(&mut self) {
        let now = self.now.mono;
        while let Some(leader) = &mut self.leader
            && leader.direct_calls_in_flight < MAX_DIRECT_CALLS
            && let Some(id) = leader.next_probe(now)
        {
            self.probe_machine(&id);
        }
    }

    /// A report came that is older than what is known: a copy that comes late, or the machine has begun
    /// anew and counts from one. Its answer to a question that is asked now tells which.
    pub(in crate::core) fn probe_for_restart(&mut self, id: &MachineId) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let free = leader.direct_calls_in_flight < MAX_DIRECT_CALLS;
        let Some(m) = leader.machines.get_mut_quiet(id) else {
            return;
        };
        if !free || m.call_in_flight.is_some() || m.incarnation == 0 || now < m.push_after {
            return;
        }
        m.push_after = now + RESTART_PROBE_INTERVAL;
        // Shown with the question: what was sent to its former life is refused from then on.
        m.token_epoch += 1;
        self.probe_machine(id);
        if let Some(m) = (self.leader.as_mut()).and_then(|l| l.machines.get_mut_quiet(id))
            && let Some(call) = m.call_in_flight
        {
            m.restart_probe = Some(((m.incarnation, m.sequence), call));
        }
    }

    /// The machine has begun anew, with nothing of what was on it, and counts its reports from one.
    pub(in crate::core) fn machine_restarted(&mut self, id: &MachineId, seen: u64) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let term = leader.term;
        let Some(m) = leader.machines.get_mut(id) else {
            return;
        };
        tracing::warn!(machine = %id, "machine {id} has begun anew");
        (m.incarnation, m.sequence, m.highest_token) = (0, 0, seen);
        (m.doubtful_until_token, m.start_unconfirmed, m.lease_expired) = (None, false, false);
        m.exited.clear();
        m.images.clear();
        m.require_token_proof(term);
        let tasks = m.tasks.keys().cloned().collect();
        self.tasks_lost(id, tasks, "it has begun anew");
    }

    /// Shows a machine the new token and asks what it has.
    fn probe_machine(&mut self, id: &MachineId) {
        let Some(until) = self.leader_until() else {
            return;
        };
        let machine = self.leader.as_ref().and_then(|l| l.machines.get(id));
        let Some(Ok(addr)) = machine.map(|m| m.addr.parse()) else {
            return;
        };
        let call = self.call(Pending::Direct(id.clone()));
        let Some(leader) = &mut self.leader else {
            return;
        };
        let term = leader.term;
        let Some(m) = leader.machines.get_mut(id) else {
            return;
        };
        m.call_in_flight = Some(call);
        leader.direct_calls_in_flight += 1;
        self.effects.push(Effect::Direct {
            call,
            addr,
            request: DirectRequest::Status {
                token: m.token(term),
            },
            not_after: until,
        });
    }

    /// What this machine has, of which nothing was certain before.
    fn stop_duplicates_on(&mut self, id: &MachineId) {
        let Some(leader) = &self.leader else { return };
        let Some(m) = leader.machines.get(id) else {
            return;
        };
        let double = |key: &&TaskId| {
            let run = leader.job_runs.get(&key.job);
            run.is_some_and(|r| !r.tasks.duplicates(key.index).is_empty())
        };
        let doubles: Vec<TaskId> = m.tasks.keys().filter(double).cloned().collect();
        for key in doubles {
            self.stop_duplicates(&key, id);
        }
    }

    /// A machine has shown everything, or has nothing.
    pub(in crate::core) fn resolve_machine(&mut self, id: &MachineId, how: &str) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let machine = leader.machines.get_mut(id);
        let known = machine.is_some_and(|m| {
            m.lease_renewed = m.lease_renewed.max(m.incarnation_since);
            std::mem::take(&mut m.unresolved)
        });
        if known {
            leader.recovery.unresolved -= 1;
            leader.scheduler.plan_again = true;
            self.stop_duplicates_on(id);
            let Some(leader) = &mut self.leader else {
                return;
            };
            tracing::debug!(term = leader.term, machine = %id, "term {}: machine {id} is known: {how}", leader.term);
            let took = (self.now.mono - leader.since).as_millis();
            // What is left then are machines that died with the last leader.
            if leader.recovery.initially_unresolved > 0
                && leader.recovery.unresolved * 100 <= leader.recovery.initially_unresolved
            {
                let all = std::mem::take(&mut leader.recovery.initially_unresolved);
                tracing::info!(
                    term = leader.term,
                    "term {}: 99 % of {all} machines known after {took} ms",
                    leader.term
                );
            }
            if leader.recovery.unresolved == 0 {
                tracing::info!(
                    term = leader.term,
                    "term {}: all machines are known after {} ms",
                    leader.term,
                    took
                );
            }
        }
    }
}
