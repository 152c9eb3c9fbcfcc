//! The owner's queue.

use crate::core::{Command, UserAction};
use std::collections::VecDeque;

/// The owner's queue, in lanes: what decides whether users and the state service are answered in
/// time comes first, and the many reports of workers, which may wait for seconds, come last. In
/// one queue, a takeover of a thousand machines or an array of ten thousand tasks kept
/// submissions waiting for a minute.
#[derive(Default)]
pub struct Lanes {
    queues: [VecDeque<Command>; 3],
    /// The owner sleeps: only then need it be woken, which costs a system call.
    pub idle: bool,
}

/// Of each lane, this many commands at most go into one step. Whatever the others hold, a step
/// stays short, and every lane moves on.
pub const SHARES: [usize; 3] = [256, 64, 160];

impl Lanes {
    pub fn of(command: &Command) -> usize {
        match command {
            Command::Heartbeat { .. } | Command::Direct { .. } => 2,
            Command::Status(_) | Command::Figures { .. } | Command::MemoryRequest { .. } => 1,
            Command::User(r) if matches!(r.action, UserAction::Show(_)) => 1,
            _ => 0,
        }
    }

    /// Says whether the owner is to be woken.
    pub fn put(&mut self, command: Command) -> bool {
        self.queues[Lanes::of(&command)].push_back(command);
        std::mem::take(&mut self.idle)
    }

    /// What waits in each lane.
    pub fn waiting(&self) -> [usize; 3] {
        std::array::from_fn(|lane| self.queues[lane].len())
    }

    pub fn is_empty(&self) -> bool {
        self.queues.iter().all(VecDeque::is_empty)
    }

    pub fn take(&mut self) -> Vec<Command> {
        let mut out = Vec::new();
        for (queue, share) in self.queues.iter_mut().zip(SHARES) {
            out.extend(queue.drain(..share.min(queue.len())));
        }
        out
    }
}
