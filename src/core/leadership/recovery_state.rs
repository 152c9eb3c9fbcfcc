//! The set of machines that may hold tasks of earlier leaders, and the order in which they are probed. The logic is in
//! `recovery`.

use crate::job::MachineId;
use std::collections::BTreeSet;
use std::time::Instant;

/// State of a new leader's recovery. A machine is unresolved from the time at which the leader learns of it until it
/// has reported all its tasks or can no longer have any; `Machine::unresolved` records this per machine.
#[derive(Default)]
pub struct Recovery {
    /// Number of unresolved machines.
    unresolved: usize,
    /// Machines to be probed as soon as possible, the next one last.
    to_probe: Vec<MachineId>,
    /// Machines to be probed at a later time, by that time.
    retries: BTreeSet<(Instant, MachineId)>,
    /// Number of machines that were unresolved when this leadership began; 0 once nearly all of them are resolved.
    initially_unresolved: usize,
    /// Zones in which a machine has answered a direct call. In other zones an unanswered call is no evidence that the
    /// machine has failed.
    pub reachable_zones: BTreeSet<String>,
}

impl Recovery {
    /// Starts the recovery. Machines in `to_probe` are probed at once, the last one first, those in `later` at the
    /// given time.
    pub(in crate::core) fn begin(
        &mut self,
        to_probe: Vec<MachineId>,
        later: BTreeSet<(Instant, MachineId)>,
    ) {
        self.initially_unresolved = self.unresolved;
        self.to_probe = to_probe;
        self.retries = later;
    }

    /// Returns the number of unresolved machines.
    pub(in crate::core) fn unresolved(&self) -> usize {
        self.unresolved
    }

    /// Returns whether no machine is unresolved.
    pub(in crate::core) fn is_complete(&self) -> bool {
        self.unresolved == 0
    }

    /// Counts one more unresolved machine.
    pub(in crate::core) fn add_unresolved(&mut self) {
        self.unresolved += 1;
    }

    /// Counts one unresolved machine less.
    pub(in crate::core) fn remove_unresolved(&mut self) {
        self.unresolved -= 1;
    }

    /// Schedules a probe of a machine before all others.
    pub(in crate::core) fn probe_next(&mut self, id: MachineId) {
        self.to_probe.push(id);
    }

    /// Schedules a probe of a machine at `at`, or later if the limit on direct calls is reached then.
    pub(in crate::core) fn probe_at(&mut self, at: Instant, id: MachineId) {
        self.retries.insert((at, id));
    }

    /// Takes the next machine to probe. Machines that have not been probed yet come first, as a call to a machine that
    /// does not answer occupies one of the limited direct calls until it times out.
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

    /// Returns the initial number of unresolved machines, once, when 99 % of them are resolved; otherwise `None`. The
    /// rest are mostly machines that failed together with the last leader.
    pub(in crate::core) fn take_nearly_complete(&mut self) -> Option<usize> {
        let initially = self.initially_unresolved;
        if initially == 0 || self.unresolved * 100 > initially {
            return None;
        }
        self.initially_unresolved = 0;
        Some(initially)
    }

    /// Records that a machine in this zone has answered a direct call.
    pub(in crate::core) fn mark_zone_reachable(&mut self, zone: &str) {
        if !self.reachable_zones.contains(zone) {
            self.reachable_zones.insert(zone.to_string());
        }
    }
}
