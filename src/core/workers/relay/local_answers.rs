//! Heartbeats that this controller has answered itself, until the leader has certainly received the report of them.
//!
//! Each answer renews a worker's lease, and the leader starts the worker's tasks elsewhere once the lease that it knows
//! of has run out. So an answer is reported again until a batch that contains it is answered.

use crate::job::MachineId;
use crate::peer::heartbeat_batch::{self, AnsweredHeartbeat};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

/// The newest heartbeat of a worker that was answered here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LocalAnswer {
    pub incarnation: u64,
    pub sequence: u64,
    pub answered_at: Instant,
}

/// Answers that are in a batch, by machine.
pub(super) type ReportedAnswers = BTreeMap<MachineId, LocalAnswer>;

/// Answers that the leader may not know of.
#[derive(Default)]
pub(super) struct LocalAnswers {
    /// Answers that are not in a batch, by machine.
    unreported: BTreeMap<MachineId, LocalAnswer>,
    /// Machines whose delegation was revoked when an answer of theirs was not in an answered batch yet.
    revoked: BTreeSet<MachineId>,
}

impl LocalAnswers {
    /// Records that a heartbeat of this machine was answered here.
    pub fn record(&mut self, machine: &MachineId, answer: LocalAnswer) {
        match self.unreported.get_mut(machine) {
            Some(known) => *known = answer.max(*known),
            None => {
                self.unreported.insert(machine.clone(), answer);
            }
        }
    }

    /// Takes as many answers as fit into a frame.
    pub fn take_frame(&mut self) -> ReportedAnswers {
        let mut taken = ReportedAnswers::new();
        let mut size = 0;
        while size < heartbeat_batch::MAX_ANSWERED_BYTES
            && let Some((machine, answer)) = self.unreported.pop_first()
        {
            size += heartbeat_batch::answered_heartbeat_size(&machine);
            taken.insert(machine, answer);
        }
        taken
    }

    /// Takes back the answers of a batch that was not answered, so that they are reported again.
    pub fn put_back(&mut self, answers: ReportedAnswers) {
        for (machine, answer) in &answers {
            self.record(machine, *answer);
        }
    }

    /// Records that the leader has received these answers.
    pub fn confirm(&mut self, answers: &ReportedAnswers) {
        for machine in answers.keys() {
            self.revoked.remove(machine);
        }
    }

    /// Records that the leader has revoked the delegations of these machines.
    pub fn revoke(&mut self, machines: &[MachineId]) {
        for machine in machines {
            if self.unreported.contains_key(machine) {
                self.revoked.insert(machine.clone());
            }
        }
    }

    /// Returns whether the end of all revoked delegations may be acknowledged: all answers are reported, and the leader
    /// has certainly received those of the revoked machines. A leader of an earlier version ends the delegations before
    /// it reads the answers in the same batch, and then ignores these.
    pub fn may_acknowledge(&self) -> bool {
        self.unreported.is_empty() && self.revoked.is_empty()
    }

    /// Forgets all answers.
    pub fn clear(&mut self) {
        *self = LocalAnswers::default();
    }
}

/// Returns answers in the form in which a batch contains them.
pub(super) fn answered_heartbeats(
    answers: &ReportedAnswers,
    now: Instant,
) -> Vec<AnsweredHeartbeat> {
    let answered = answers.iter().map(|(machine, answer)| AnsweredHeartbeat {
        machine: machine.clone(),
        incarnation: answer.incarnation,
        sequence: answer.sequence,
        age: now.saturating_duration_since(answer.answered_at),
    });
    answered.collect()
}

#[cfg(test)]
mod tests;
