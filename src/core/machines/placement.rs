//! Tasks that are, or may be, on a machine, and tasks that ended there.

use crate::job::{Resources, TaskId};
use crate::wire::TaskState;
use std::time::Instant;

/// Reason for stopping a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The task's job has ended, or the task should not be on this machine.
    Obsolete,
    /// The task's resources are needed for tasks that take precedence.
    Preempted,
    /// The cloud is about to reclaim the machine.
    Reclamation,
    /// The gang has lost another task and restarts as a whole.
    GangRestart,
}

/// Decision to stop a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// Reason for the stop.
    pub reason: StopReason,
    /// Time of the first decision to stop the task.
    pub since: Instant,
}

/// Execution phase of a task on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The command to start the task was sent, but no heartbeat has contained the task yet: it may be running, or may
    /// start later.
    Unseen,
    /// The task's image is being fetched.
    Fetching,
    /// The task's program is running.
    Running,
    /// The task saves its progress before it stops.
    Saving,
}

impl Phase {
    /// Returns the phase that corresponds to a task state in a heartbeat.
    pub(in crate::core) fn of(state: TaskState) -> Phase {
        match state {
            TaskState::Fetching => Phase::Fetching,
            TaskState::Saving => Phase::Saving,
            _ => Phase::Running,
        }
    }
}

/// Task that is, or may be, on a machine.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Number of the attempt at the task; never reused for the same task.
    pub attempt: u64,
    /// Execution phase, as of the newest heartbeat.
    pub phase: Phase,
    /// Time at which the task was placed, or first found, on the machine.
    pub since: Instant,
    /// Time of the first heartbeat that showed the task running.
    pub running_since: Option<Instant>,
    /// Decision to stop the task, if there is one.
    pub stopping: Option<Stop>,
    /// Resources that the task holds; kept here, as the task holds them even after its job has ended.
    pub resources: Resources,
    /// Index in the settings of the team whose limit the task counts towards.
    pub team: Option<usize>,
}

impl Placement {
    /// Returns whether the task's program has started and not ended.
    pub fn runs(&self) -> bool {
        matches!(self.phase, Phase::Running | Phase::Saving)
    }

    /// Returns whether the task is being stopped because it is no longer needed.
    pub fn is_obsolete(&self) -> bool {
        (self.stopping).is_some_and(|stop| stop.reason == StopReason::Obsolete)
    }

    /// Records the decision to stop the task. An earlier reason is kept, unless the new one is `StopReason::Obsolete`.
    pub fn stop(&mut self, reason: StopReason, now: Instant) {
        match &mut self.stopping {
            Some(stop) if reason == StopReason::Obsolete => stop.reason = reason,
            Some(_) => {}
            None => self.stopping = Some(Stop { reason, since: now }),
        }
    }
}

/// Task that ended on a machine and is still in the machine's heartbeats.
#[derive(Clone, Debug, PartialEq)]
pub struct ExitedTask {
    /// Id of the task.
    pub key: TaskId,
    /// Number of the attempt that ended.
    pub attempt: u64,
    /// Highest fencing token of the direct commands that may have started the attempt.
    pub started_under_token: u64,
}
