//! The owner's queue of commands, in lanes of different urgency.
//!
//! What decides whether users and the state service are answered in time comes first, and the many
//! heartbeats of workers, which may wait for seconds, come last. In one queue, a failover with a
//! thousand machines or an array of ten thousand tasks kept submissions waiting for a minute.

use crate::core::{Command, UserAction};
use std::collections::VecDeque;
use std::ops::Index;

/// The urgency of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Submissions, cancellations, and outcomes of calls to the state service and the cloud.
    Urgent,
    /// Questions that change nothing.
    Query,
    /// What workers send.
    Heartbeat,
}

impl Lane {
    /// All lanes, the most urgent one first.
    pub const ALL: [Lane; 3] = [Lane::Urgent, Lane::Query, Lane::Heartbeat];

    /// The lane of a command.
    pub fn of(command: &Command) -> Lane {
        match command {
            Command::Heartbeat { .. } | Command::DirectOutcome { .. } => Lane::Heartbeat,
            Command::Status(_) | Command::Metrics { .. } | Command::CacheRequest { .. } => {
                Lane::Query
            }
            Command::User(request) if matches!(request.action, UserAction::Show(_)) => Lane::Query,
            _ => Lane::Urgent,
        }
    }

    /// How many commands of this lane go into one step of the owner at the most. Whatever the
    /// others hold, a step stays short, and every lane moves on.
    pub const fn commands_per_step(self) -> usize {
        match self {
            Lane::Urgent => 256,
            Lane::Query => 64,
            Lane::Heartbeat => 160,
        }
    }
}

/// How many commands wait in each lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLengths([usize; Lane::ALL.len()]);

impl QueueLengths {
    /// In the order of `Lane::ALL`.
    pub fn to_array(self) -> [usize; Lane::ALL.len()] {
        self.0
    }
}

impl Index<Lane> for QueueLengths {
    type Output = usize;

    fn index(&self, lane: Lane) -> &usize {
        &self.0[lane as usize]
    }
}

/// The queue itself.
#[derive(Default)]
pub struct CommandQueue {
    /// In the order of `Lane::ALL`.
    lanes: [VecDeque<Command>; Lane::ALL.len()],
    /// The owner sleeps: only then need it be woken, which costs a system call.
    pub owner_idle: bool,
}

impl CommandQueue {
    /// Adds a command to its lane. Returns whether the owner has to be woken.
    pub fn push(&mut self, command: Command) -> bool {
        self.lanes[Lane::of(&command) as usize].push_back(command);
        std::mem::take(&mut self.owner_idle)
    }

    /// How many commands wait in one lane.
    pub fn len(&self, lane: Lane) -> usize {
        self.lanes[lane as usize].len()
    }

    /// How many commands wait in each lane.
    pub fn lengths(&self) -> QueueLengths {
        QueueLengths(Lane::ALL.map(|lane| self.len(lane)))
    }

    /// Whether no command waits.
    pub fn is_empty(&self) -> bool {
        self.lanes.iter().all(VecDeque::is_empty)
    }

    /// Takes the commands of one step, the most urgent ones first.
    pub fn take_step(&mut self) -> Vec<Command> {
        let mut step = Vec::new();
        for lane in Lane::ALL {
            let queue = &mut self.lanes[lane as usize];
            let count = lane.commands_per_step().min(queue.len());
            step.extend(queue.drain(..count));
        }
        step
    }
}
