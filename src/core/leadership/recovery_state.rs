//! Which machines may hold tasks that an earlier leader started, and how far they have been probed. Data; `recovery`
//! acts on it.

use crate::job::MachineId;
use std::collections::BTreeSet;
use std::time::Instant;

/// The state of a new leader's recovery. A machine is unresolved from when the leader learns of it until it has shown
/// all its tasks, or can have none any more; the machine's own record shows this too (`Machine::unresolved`).
#[derive(Default)]
pub struct Recovery {
    /// How many machines are unresolved.
    unresolved: usize,
    /// Machines that have not been probed yet, the next one last.
    to_probe: Vec<MachineId>,
    /// Machines to be probed again, and when.
    retries: BTreeSet<(Instant, MachineId)>,
    /// How many were unresolved when this leadership began, until nearly all are resolved.
    initially_unresolved: usize,
    /// Zones in which a machine has answered a direct call: elsewhere, a call without an answer proves nothing about
    /// the machine.
    pub reachable_zones: BTreeSet<String>,
}

impl Recovery {
    /// Begins to probe: the machines in `to_probe` at once, the last one first, and the others at their time.
    pub(in crate::core) fn begin(
        &mut self,
        to_probe: Vec<MachineId>,
        later: BTreeSet<(Instant, MachineId)>,
    ) {
        self.initially_unresolved = self.unresolved;
        self.to_probe = to_probe;
        self.retries = later;
    }

    /// How many machines are unresolved.
    pub(in crate::core) fn unresolved(&self) -> usize {
        self.unresolved
    }

    /// Whether no machine is unresolved.
    pub(in crate::core) fn is_complete(&self) -> bool {
        self.unresolved == 0
    }

    /// One machine more is unresolved.
    pub(in crate::core) fn add_unresolved(&mut self) {
        self.unresolved += 1;
    }

    /// One machine less is unresolved.
    pub(in crate::core) fn remove_unresolved(&mut self) {
        self.unresolved -= 1;
    }

    /// Has a machine probed before all others.
    pub(in crate::core) fn probe_next(&mut self, id: MachineId) {
        self.to_probe.push(id);
    }

    /// Has a machine probed at this moment, or when there is a call to spare after it.
    pub(in crate::core) fn probe_at(&mut self, at: Instant, id: MachineId) {
        self.retries.insert((at, id));
    }

    /// Takes the next machine to probe. Those that were not probed yet come first: one that did not answer takes up
    /// a call for long.
    pub(in crate::core) fn take_next(&mut self, now: Instant) -> Option<MachineId> {
        if let Some(id) = self.to_probe.pop() {
            return Some(id);
        }
        let (at, _) = self.retries.first()?;
        if *at > now {
            return None;
        }
        self.retries.pop_first().map(|(_, id)| id)
    }

    /// Once 99 % of the machines are resolved that were not when this leadership began, returns how many that were;
    /// afterwards `None`. The others are mostly machines that died with the last leader.
    pub(in crate::core) fn take_nearly_complete(&mut self) -> Option<usize> {
        let initially = self.initially_unresolved;
        if initially == 0 || self.unresolved * 100 > initially {
            return None;
        }
        self.initially_unresolved = 0;
        Some(initially)
    }

    /// A machine in this zone has answered a direct call.
    pub(in crate::core) fn mark_zone_reachable(&mut self, zone: &str) {
        if !self.reachable_zones.contains(zone) {
            self.reachable_zones.insert(zone.to_string());
        }
    }
}
