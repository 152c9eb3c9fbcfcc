//! Tasks that are, or may be, on a machine, and those that ended there.

use crate::job::{Resources, TaskId};
use crate::wire::TaskState;
use std::time::Instant;

/// Why a task is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// Its job is over, or it should not be here.
    Obsolete,
    /// Room is needed for other work.
    Preempted,
    /// Its machine will be reclaimed.
    Reclamation,
    /// Its gang has lost a task and starts again.
    GangRestart,
}

/// A stop that was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// Why the task is stopped.
    pub reason: StopReason,
    /// When that was first decided.
    pub since: Instant,
}

/// How far a task on a machine has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Commanded to start, but in no heartbeat yet: it may run, or may start later.
    Unseen,
    /// Its image is being fetched.
    Fetching,
    /// Its program runs.
    Running,
    /// It saves its progress before it stops.
    Saving,
}

impl Phase {
    /// The phase that a heartbeat shows.
    pub(in crate::core) fn of(state: TaskState) -> Phase {
        match state {
            TaskState::Fetching => Phase::Fetching,
            TaskState::Saving => Phase::Saving,
            _ => Phase::Running,
        }
    }
}

/// A task that is, or may be, on a machine.
#[derive(Clone, Debug)]
pub struct Placement {
    /// Which attempt at the task this is; never reused within a task.
    pub attempt: u64,
    /// How far it has come, by the newest heartbeat.
    pub phase: Phase,
    /// When it was placed here, or found here.
    pub since: Instant,
    /// When a heartbeat first showed it running.
    pub running_since: Option<Instant>,
    /// The stop that was decided, if any.
    pub stopping: Option<Stop>,
    /// What it takes; kept here as it holds its room even after its job is over.
    pub resources: Resources,
    /// The team whose limit it counts toward, by its place in the settings.
    pub team: Option<usize>,
}

impl Placement {
    /// Whether its program has begun and not ended.
    pub fn runs(&self) -> bool {
        matches!(self.phase, Phase::Running | Phase::Saving)
    }

    /// Whether it is stopped because it is no longer needed.
    pub fn is_obsolete(&self) -> bool {
        (self.stopping).is_some_and(|stop| stop.reason == StopReason::Obsolete)
    }

    /// Decides to stop it. The first reason stays, save that `StopReason::Obsolete` replaces any other.
    pub fn stop(&mut self, reason: StopReason, now: Instant) {
        match &mut self.stopping {
            Some(stop) if reason == StopReason::Obsolete => stop.reason = reason,
            Some(_) => {}
            None => self.stopping = Some(Stop { reason, since: now }),
        }
    }
}

/// A task that ended on a machine and is still in its heartbeats.
#[derive(Clone, Debug, PartialEq)]
pub struct ExitedTask {
    /// The task.
    pub key: TaskId,
    /// Its attempt that ended.
    pub attempt: u64,
    /// It may have been started by a direct command that came with this token, or with a lower one.
    pub started_under_token: u64,
}
