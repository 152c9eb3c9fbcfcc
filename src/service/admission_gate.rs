//! Limits how many requests of one kind are processed concurrently; further requests wait in the order
//! of their arrival.

use super::threads::lock;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Maximum total size of the waiting items, in bytes.
const MAX_WAITING_BYTES: usize = 16 * 1024 * 1024;

struct WaitingItem<T> {
    item: T,
    bytes: usize,
    since: Instant,
}

struct State<T> {
    free_slots: usize,
    queue: VecDeque<WaitingItem<T>>,
    queued_bytes: usize,
}

/// Admits a fixed number of items at a time and queues further ones.
///
/// Items wait only while no slot is free.
pub struct AdmissionGate<T> {
    state: Mutex<State<T>>,
}

/// Result of a request for admission.
#[derive(Debug, PartialEq)]
pub enum Admission<T> {
    /// The item occupies a slot until `release` is called.
    Admitted(T),
    /// The item has been queued.
    Queued,
    /// The queue has no room for the item, which is returned.
    Full(T),
}

impl<T> AdmissionGate<T> {
    /// Returns a gate with this number of slots.
    pub fn new(slots: usize) -> AdmissionGate<T> {
        AdmissionGate {
            state: Mutex::new(State {
                free_slots: slots,
                queue: VecDeque::new(),
                queued_bytes: 0,
            }),
        }
    }

    /// Admits or queues an item; `bytes` is the memory that it occupies while it waits.
    pub fn admit(&self, item: T, bytes: usize, now: Instant) -> Admission<T> {
        let mut state = lock(&self.state);
        if state.free_slots > 0 {
            state.free_slots -= 1;
            return Admission::Admitted(item);
        }
        if state.queued_bytes + bytes > MAX_WAITING_BYTES {
            return Admission::Full(item);
        }
        state.queued_bytes += bytes;
        state.queue.push_back(WaitingItem {
            item,
            bytes,
            since: now,
        });
        Admission::Queued
    }

    /// Releases a slot. If items wait, the slot passes to the one that has waited longest, which is returned.
    pub fn release(&self) -> Option<T> {
        let mut state = lock(&self.state);
        let next = state.pop();
        if next.is_none() {
            state.free_slots += 1;
        }
        next
    }

    /// Removes and returns the items that have waited for at least `timeout`.
    pub fn take_expired(&self, now: Instant, timeout: Duration) -> Vec<T> {
        let mut state = lock(&self.state);
        let mut expired = Vec::new();
        while (state.queue.front())
            .is_some_and(|waiting| now.saturating_duration_since(waiting.since) >= timeout)
        {
            expired.extend(state.pop());
        }
        expired
    }
}

impl<T> State<T> {
    fn pop(&mut self) -> Option<T> {
        let waiting = self.queue.pop_front()?;
        self.queued_bytes -= waiting.bytes;
        Some(waiting.item)
    }
}
