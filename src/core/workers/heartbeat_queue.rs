//! Queue of heartbeats that wait on a follower for the leader's response, in the order of their receipt.

use crate::core::Ticket;
use crate::peer::heartbeat_batch;
use crate::settings::Settings;
use crate::wire::Heartbeat;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Share of the process's memory that queued heartbeats may use.
const MEMORY_SHARE: f64 = 0.125;
/// Maximum number of bytes of memory per byte of an encoded heartbeat.
const MEMORY_PER_FRAME_BYTE: f64 = 4.0;
const BYTES_PER_MB: f64 = 1_048_576.0;

/// A heartbeat that waits for the leader's response.
pub(in crate::core) struct QueuedHeartbeat {
    /// Request to respond to; `None` if the heartbeat was received in reply to a direct call.
    pub ticket: Option<Ticket>,
    /// The heartbeat.
    pub heartbeat: Box<Heartbeat>,
    /// Time of receipt.
    pub received: Instant,
}

/// Limits on the queue, derived from the settings.
#[derive(Clone, Copy)]
struct Bounds {
    /// Maximum number of heartbeats, as each one that waits for a response holds a connection.
    heartbeats: usize,
    /// Maximum total size of the encoded heartbeats in bytes, which bounds the memory that they use.
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

/// A queue of heartbeats that tracks their total encoded size.
#[derive(Default)]
pub(in crate::core) struct HeartbeatQueue {
    heartbeats: VecDeque<QueuedHeartbeat>,
    frame_bytes: usize,
}

impl HeartbeatQueue {
    /// Returns the number of queued heartbeats.
    pub fn len(&self) -> usize {
        self.heartbeats.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.heartbeats.is_empty()
    }

    /// Iterates over the heartbeats, the oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &QueuedHeartbeat> {
        self.heartbeats.iter()
    }

    /// Returns whether the settings allow another heartbeat in the queue.
    pub fn has_room(&self, settings: &Settings) -> bool {
        let bounds = Bounds::of(settings);
        self.heartbeats.len() < bounds.heartbeats && self.frame_bytes < bounds.frame_bytes
    }

    /// Returns whether the heartbeats do not all fit into the next frame.
    pub fn exceeds_a_frame(&self) -> bool {
        self.frame_bytes > heartbeat_batch::TARGET_BODY_BYTES
    }

    /// Appends a heartbeat.
    pub fn push(&mut self, queued: QueuedHeartbeat) {
        self.frame_bytes += heartbeat_batch::encoded_heartbeat_size(&queued.heartbeat);
        self.heartbeats.push_back(queued);
    }

    /// Puts heartbeats that were taken out back at the front of the queue, in their original order.
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

    /// Takes out the oldest heartbeat, if it has waited for longer than `max_wait`.
    pub fn pop_overdue(&mut self, now: Instant, max_wait: Duration) -> Option<QueuedHeartbeat> {
        let oldest = self.heartbeats.front()?.received;
        if now.saturating_duration_since(oldest) <= max_wait {
            return None;
        }
        self.pop()
    }

    /// Takes out as many of the oldest heartbeats as fit into a frame, but at least one if there is any.
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
