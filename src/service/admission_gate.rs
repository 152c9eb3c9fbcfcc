//! A bound on how many requests of a kind are worked on at a time; the others wait in the order in
//! which they came.

use super::threads::lock;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Bytes that waiting items may keep together.
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

/// Admits a fixed number of items at a time and queues the others.
///
/// Places and the queue agree: an item waits only while no place is free.
pub struct AdmissionGate<T> {
    state: Mutex<State<T>>,
}

/// What becomes of an item at the gate.
#[derive(Debug, PartialEq)]
pub enum Admission<T> {
    /// It has a place, until `leave` is called.
    Admitted(T),
    /// It is in the queue.
    Queued,
    /// There is no room in the queue: the item is given back.
    Full(T),
}

impl<T> AdmissionGate<T> {
    /// A gate with so many places.
    pub fn new(slots: usize) -> AdmissionGate<T> {
        AdmissionGate {
            state: Mutex::new(State {
                free_slots: slots,
                queue: VecDeque::new(),
                queued_bytes: 0,
            }),
        }
    }

    /// Takes a place for an item that keeps so many bytes while it waits.
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

    /// Gives a place back. The item that has waited longest, if any, has it from then on.
    pub fn release(&self) -> Option<T> {
        let mut state = lock(&self.state);
        let next = state.pop();
        if next.is_none() {
            state.free_slots += 1;
        }
        next
    }

    /// Takes the items out of the queue that have waited for `timeout` or longer.
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
