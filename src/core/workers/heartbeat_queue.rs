//! Heartbeats that wait on a follower for the leader's answer, in the order in which they came.

use crate::core::Ticket;
use crate::peer::heartbeat_batch;
use crate::settings::Settings;
use crate::wire::Heartbeat;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The part of the process's memory that waiting heartbeats may take.
const MEMORY_SHARE: f64 = 0.125;
/// Bytes of memory for each byte that a heartbeat takes in a frame, at most.
const MEMORY_PER_FRAME_BYTE: f64 = 4.0;
const BYTES_PER_MB: f64 = 1_048_576.0;

/// A heartbeat that waits.
pub(in crate::core) struct QueuedHeartbeat {
    /// Whom to answer; `None`: the heartbeat came in reply to a direct call.
    pub ticket: Option<Ticket>,
    /// The heartbeat.
    pub heartbeat: Box<Heartbeat>,
    /// When it came.
    pub received: Instant,
}

/// The most that the settings allow to wait.
#[derive(Clone, Copy)]
struct Bounds {
    /// Each heartbeat that waits for an answer holds a connection.
    heartbeats: usize,
    /// The memory they take is bounded by their size in frames.
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

/// A queue that counts how many bytes its heartbeats take in frames.
#[derive(Default)]
pub(in crate::core) struct HeartbeatQueue {
    heartbeats: VecDeque<QueuedHeartbeat>,
    frame_bytes: usize,
}

impl HeartbeatQueue {
    /// How many heartbeats wait.
    pub fn len(&self) -> usize {
        self.heartbeats.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.heartbeats.is_empty()
    }

    /// The heartbeats, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedHeartbeat> {
        self.heartbeats.iter()
    }

    /// Whether another heartbeat may wait.
    pub fn has_room(&self, settings: &Settings) -> bool {
        let bounds = Bounds::of(settings);
        self.heartbeats.len() < bounds.heartbeats && self.frame_bytes < bounds.frame_bytes
    }

    /// Whether the next frame leaves heartbeats behind.
    pub fn exceeds_a_frame(&self) -> bool {
        self.frame_bytes > heartbeat_batch::TARGET_BODY_BYTES
    }

    /// Adds the newest heartbeat.
    pub fn push(&mut self, queued: QueuedHeartbeat) {
        self.frame_bytes += heartbeat_batch::encoded_heartbeat_size(&queued.heartbeat);
        self.heartbeats.push_back(queued);
    }

    /// Puts back heartbeats that were taken out, before all others and in the order in which they came.
    pub fn put_back(&mut self, heartbeats: Vec<QueuedHeartbeat>) {
        for queued in heartbeats.into_iter().rev() {
            self.frame_bytes += heartbeat_batch::encoded_heartbeat_size(&queued.heartbeat);
            self.heartbeats.push_front(queued);
        }
    }

    fn pop(&mut self) -> Option<QueuedHeartbeat> {
        let queued = self.heartbeats.pop_front()?;
        self.frame_bytes -= heartbeat_batch::encoded_heartbeat_size(&queued.heartbeat);
        Some(queued)
    }

    /// Takes out the oldest heartbeat, if it has waited for longer than this.
    pub fn pop_overdue(&mut self, now: Instant, max_wait: Duration) -> Option<QueuedHeartbeat> {
        let oldest = self.heartbeats.front()?.received;
        if now.saturating_duration_since(oldest) <= max_wait {
            return None;
        }
        self.pop()
    }

    /// Takes out as many of the oldest heartbeats as a frame takes, and at least one.
    pub fn take_frame(&mut self) -> Vec<QueuedHeartbeat> {
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

    /// Takes out all heartbeats, the oldest first.
    pub fn take_all(&mut self) -> VecDeque<QueuedHeartbeat> {
        self.frame_bytes = 0;
        std::mem::take(&mut self.heartbeats)
    }
}

#[cfg(test)]
mod tests;
