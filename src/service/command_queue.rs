//! Command queue of the owner thread, divided into lanes of different priority.
//!
//! Commands on which timely responses to users and calls to the state service depend come first. The
//! many heartbeats of workers, which may wait for seconds, come last. With a single queue, a failover
//! with a thousand machines or an array of ten thousand tasks delayed submissions by a minute.

use crate::core::{Command, UserAction};
use std::collections::VecDeque;
use std::ops::Index;

/// Priority class of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lane {
    /// Submissions, cancellations, and outcomes of calls to the state service and the cloud.
    Urgent,
    /// Requests that only read.
    Query,
    /// Heartbeats of workers, and outcomes of direct commands to workers.
    Heartbeat,
}

impl Lane {
    /// All lanes, in order of decreasing priority.
    pub const ALL: [Lane; 3] = [Lane::Urgent, Lane::Query, Lane::Heartbeat];

    /// Returns the lane of a command.
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

    /// Returns the maximum number of commands of this lane in one step of the owner thread. The limits keep
    /// steps short, and every lane makes progress whatever the others contain.
    pub const fn commands_per_step(self) -> usize {
        match self {
            Lane::Urgent => 256,
            Lane::Query => 64,
            Lane::Heartbeat => 160,
        }
    }
}

/// Number of waiting commands in each lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLengths([usize; Lane::ALL.len()]);

impl QueueLengths {
    /// Returns the numbers in the order of `Lane::ALL`.
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

/// Queue of commands with one FIFO per lane.
#[derive(Default)]
pub struct CommandQueue {
    /// Queues in the order of `Lane::ALL`.
    lanes: [VecDeque<Command>; Lane::ALL.len()],
    /// Whether the owner thread waits for commands. Only then is it woken, which costs a system call.
    pub owner_idle: bool,
}

impl CommandQueue {
    /// Adds a command to its lane. Returns whether the owner thread has to be woken.
    pub fn push(&mut self, command: Command) -> bool {
        self.lanes[Lane::of(&command) as usize].push_back(command);
        std::mem::take(&mut self.owner_idle)
    }

    /// Returns the number of commands that wait in one lane.
    pub fn len(&self, lane: Lane) -> usize {
        self.lanes[lane as usize].len()
    }

    /// Returns the number of commands that wait in each lane.
    pub fn lengths(&self) -> QueueLengths {
        QueueLengths(Lane::ALL.map(|lane| self.len(lane)))
    }

    /// Returns whether no command waits.
    pub fn is_empty(&self) -> bool {
        self.lanes.iter().all(VecDeque::is_empty)
    }

    /// Takes the commands of one step, in order of decreasing priority.
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
