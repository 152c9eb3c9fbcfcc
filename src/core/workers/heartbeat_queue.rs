//! Reports that wait for the leader's answer, in the order in which they came.

use crate::core::Ticket;
use crate::peer::heartbeat_batch;
use crate::settings::Settings;
use crate::wire::Heartbeat;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The part of the process's memory that waiting reports may take.
const MEMORY_SHARE: f64 = 0.125;
/// Bytes of memory for each byte that a report takes in a frame, at most.
const MEMORY_PER_FRAME_BYTE: f64 = 4.0;
const BYTES_PER_MB: f64 = 1_048_576.0;

/// A report that waits.
pub(in crate::core) struct Waiting {
    /// `None`: the report came as an answer to a direct command.
    pub ticket: Option<Ticket>,
    pub heartbeat: Box<Heartbeat>,
    pub received: Instant,
}

/// What the platform's settings allow to wait.
#[derive(Clone, Copy)]
struct Bounds {
    /// Whoever waits for an answer holds a connection.
    heartbeats: usize,
    frame_bytes: usize,
}

impl Bounds {
    fn of(settings: &Settings) -> Bounds {
        let memory = settings.memory_mb * BYTES_PER_MB * MEMORY_SHARE;
        Bounds {
            heartbeats: settings.max_sockets,
            frame_bytes: (memory / MEMORY_PER_FRAME_BYTE) as usize,
        }
    }
}

/// A queue that knows how many bytes its reports take in frames.
#[derive(Default)]
pub(in crate::core) struct ReportQueue {
    heartbeats: VecDeque<Waiting>,
    frame_bytes: usize,
}

impl ReportQueue {
    pub fn len(&self) -> usize {
        self.heartbeats.len()
    }

    pub fn is_empty(&self) -> bool {
        self.heartbeats.is_empty()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.heartbeats.iter()
    }

    /// Whether another report may wait.
    pub fn has_room(&self, settings: &Settings) -> bool {
        let most = Bounds::of(settings);
        self.heartbeats.len() < most.heartbeats && self.frame_bytes < most.frame_bytes
    }

    /// Whether the next frame leaves reports behind.
    pub fn exceeds_a_frame(&self) -> bool {
        self.frame_bytes > heartbeat_batch::TARGET_BODY_BYTES
    }

    pub fn push(&mut self, waiting: Waiting) {
        self.frame_bytes += heartbeat_batch::encoded_heartbeat_size(&waiting.heartbeat);
        self.heartbeats.push_back(waiting);
    }

    /// Puts reports back that were taken out, in the order in which they came.
    pub fn put_back(&mut self, heartbeats: Vec<Waiting>) {
        for waiting in heartbeats.into_iter().rev() {
            self.frame_bytes += heartbeat_batch::encoded_heartbeat_size(&waiting.heartbeat);
            self.heartbeats.push_front(waiting);
        }
    }

    fn pop(&mut self) -> Option<Waiting> {
        let waiting = self.heartbeats.pop_front()?;
        self.frame_bytes -= heartbeat_batch::encoded_heartbeat_size(&waiting.heartbeat);
        Some(waiting)
    }

    /// The oldest report, if it has waited for longer than this.
    pub fn pop_overdue(&mut self, now: Instant, longest: Duration) -> Option<Waiting> {
        let oldest = self.heartbeats.front()?.received;
        if now.saturating_duration_since(oldest) <= longest {
            return None;
        }
        self.pop()
    }

    /// As many of the oldest reports as a frame takes, and at least one.
    pub fn take_frame(&mut self) -> Vec<Waiting> {
        let mut taken = Vec::new();
        let mut size = 0;
        while let Some(next) = self.heartbeats.front() {
            size += heartbeat_batch::encoded_heartbeat_size(&next.heartbeat);
            if size > heartbeat_batch::TARGET_BODY_BYTES && !taken.is_empty() {
                break;
            }
            taken.extend(self.pop());
        }
        taken
    }

    pub fn take_all(&mut self) -> VecDeque<Waiting> {
        self.frame_bytes = 0;
        std::mem::take(&mut self.heartbeats)
    }
}

#[cfg(test)]
mod tests;
