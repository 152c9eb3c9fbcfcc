//! Comparison of the cloud's list of machines with those that the leader knows.

use crate::core::Core;
use crate::core::leadership::state::LeaderState;
use crate::core::machines::machine::Machine;
use crate::core::store::cache::MachineValue;
use crate::job::MachineId;
use crate::wire::{ListedMachine, ListedState};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Margin added to twice the list's lag before a machine's absence from the list counts.
const LIST_MARGIN: Duration = Duration::from_secs(2);
/// Minimum time since the last heartbeat before a machine that the list does not contain counts as gone.
const MIN_SILENCE_OF_ABSENT: Duration = Duration::from_secs(2);
/// Maximum age of a machine that is accepted from a list, in seconds; greater ages are reduced to this.
const MAX_AGE_S: f64 = 1e7;

/// Listed machines that the leader does not know. While the store is rebuilt, each of them may hold tasks.
#[derive(Default)]
struct UnknownMachines {
    running: Vec<(MachineId, MachineValue)>,
    booting: Vec<MachineId>,
}

impl UnknownMachines {
    fn add(&mut self, listed: &ListedMachine) {
        match listed.state {
            ListedState::Running => {
                let value = MachineValue {
                    addr: listed.addr.clone().unwrap_or_default(),
                    machine_type: listed.machine_type.clone(),
                    zone: listed.zone.clone(),
                    spot: listed.spot,
                };
                self.running.push((listed.id.clone(), value));
            }
            ListedState::Booting => self.booting.push(listed.id.clone()),
            _ => {}
        }
    }
}

impl Machine {
    /// Returns whether a list entry in this state contains nothing new about the machine, as is the case for most
    /// machines.
    fn is_listed_as_known(&self, state: ListedState) -> bool {
        self.incarnation > 0
            && self.listed_since.is_some()
            && !self.addr.is_empty()
            && state != ListedState::Failed
    }

    fn record_listed(&mut self, listed: &ListedMachine, now: Instant) {
        self.listed_since.get_or_insert(now);
        // The age is applied to machines that an earlier leader provisioned too: as new machines they would be kept
        // idle for the minute that is charged at least.
        if listed.age_s.is_finite() && listed.age_s >= 0.0 {
            let age = Duration::from_secs_f64(listed.age_s.min(MAX_AGE_S));
            self.age = age.saturating_sub(now.saturating_duration_since(self.known_since));
        }
        if self.addr.is_empty()
            && let Some(addr) = &listed.addr
        {
            self.addr.clone_from(addr);
        }
    }
}

impl LeaderState {
    /// Applies one entry of the list.
    fn observe_listed(&mut self, listed: &ListedMachine, now: Instant) {
        let known = self.machines.get(&listed.id);
        if known.is_some_and(|m| m.is_listed_as_known(listed.state)) {
            return;
        }
        let machine = self.machines.get_or_add(&listed.id, || {
            tracing::info!(machine = %listed.id, "listed machine added");
            Machine::new(
                listed.id.clone(),
                &listed.machine_type,
                &listed.zone,
                listed.spot,
                now,
            )
        });
        machine.record_listed(listed, now);
    }

    /// Returns the silent machines that existed at the time that the list shows, but are not in the list. That time is
    /// at most `lag` before `sent`, when the list was requested.
    fn absent_machines(
        &self,
        present: &BTreeSet<MachineId>,
        lag: Duration,
        sent: Instant,
        now: Instant,
    ) -> Vec<MachineId> {
        let is_silent =
            |m: &Machine| now.saturating_duration_since(m.last_heartbeat) > MIN_SILENCE_OF_ABSENT;
        (self.machines.values())
            .filter(|m| !present.contains(&m.id) && m.known_since + lag < sent && is_silent(m))
            .map(|m| m.id.clone())
            .collect()
    }
}

impl Core {
    /// Applies the cloud's list of machines, which was requested at `sent`.
    pub(super) fn observe_listed_machines(&mut self, sent: Instant, list: &[ListedMachine]) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let mut unknown = UnknownMachines::default();
        for listed in list {
            if leader.deleted_machines.contains(&listed.id) {
                continue;
            }
            if leader.rebuild.is_some() && leader.machines.get(&listed.id).is_none() {
                unknown.add(listed);
            }
            leader.observe_listed(listed, now);
        }
        self.observe_machine_list(sent, unknown.running, unknown.booting);
        self.remove_failed_machines(list);
        self.remove_absent_machines(sent, list);
    }

    /// Removes the machines that the list shows as failed, and schedules their deletion: they have stopped by
    /// themselves, but stay in the list until they are deleted.
    fn remove_failed_machines(&mut self, list: &[ListedMachine]) {
        let now = self.now.mono;
        let is_deleted =
            |leader: &LeaderState, id: &MachineId| leader.deleted_machines.contains(id);
        for listed in list.iter().filter(|l| l.state == ListedState::Failed) {
            let id = &listed.id;
            if (self.leader.as_ref()).is_none_or(|leader| is_deleted(leader, id)) {
                continue;
            }
            self.remove_machine(id, "the cloud lists it as failed");
            if let Some(leader) = &mut self.leader {
                leader.cloud.deletions.insert(id.clone(), now);
            }
        }
    }

    /// Removes the machines that the list no longer contains. The list shows a time at most twice its lag before the
    /// request: a machine that existed before that time and is not listed is gone.
    fn remove_absent_machines(&mut self, sent: Instant, list: &[ListedMachine]) {
        let now = self.now.mono;
        let lag = self.settings.machine_list_lag * 2 + LIST_MARGIN;
        let present = list.iter().map(|listed| listed.id.clone()).collect();
        let Some(leader) = &self.leader else { return };
        for id in leader.absent_machines(&present, lag, sent, now) {
            self.remove_machine(&id, "the cloud does not list it any more");
        }
    }
}
