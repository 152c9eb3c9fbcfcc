//! A bound on how many of a kind are worked on at a time; the others wait in the order they came.

use super::lock;
use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Bytes that may wait.
const MOST_BYTES: usize = 16 * 1024 * 1024;

struct Waiting<T> {
    item: T,
    bytes: usize,
    since: Instant,
}

struct State<T> {
    free: usize,
    queue: VecDeque<Waiting<T>>,
    bytes: usize,
}

pub struct AdmissionGate<T> {
    state: Mutex<State<T>>,
}

/// What becomes of an item at the gate.
#[derive(Debug, PartialEq)]
pub enum Entry<T> {
    /// It has a place, until `leave` is called.
    Inside(T),
    Waits,
    /// There is no room to wait in.
    Full(T),
}

impl<T> AdmissionGate<T> {
    pub fn new(places: usize) -> AdmissionGate<T> {
        AdmissionGate {
            state: Mutex::new(State {
                free: places,
                queue: VecDeque::new(),
                bytes: 0,
            }),
        }
    }

    /// Takes a place for an item that keeps so many bytes while it waits.
    pub fn enter(&self, item: T, bytes: usize, now: Instant) -> Entry<T> {
        let mut state = lock(&self.state);
        if state.free > 0 {
            state.free -= 1;
            return Entry::Inside(item);
        }
        if state.bytes + bytes > MOST_BYTES {
            return Entry::Full(item);
        }
        state.bytes += bytes;
        state.queue.push_back(Waiting {
            item,
            bytes,
            since: now,
        });
        Entry::Waits
    }

    /// Gives a place back. The item that waited longest, if any, has it from then on.
    pub fn leave(&self) -> Option<T> {
        let mut state = lock(&self.state);
        let next = state.pop();
        if next.is_none() {
            state.free += 1;
        }
        next
    }

    /// Takes out what has waited for so long.
    pub fn take_late(&self, now: Instant, longest: Duration) -> Vec<T> {
        let mut state = lock(&self.state);
        let mut late = Vec::new();
        while (state.queue.front())
            .is_some_and(|w| now.saturating_duration_since(w.since) >= longest)
        {
            late.extend(state.pop());
        }
        late
    }
}

impl<T> State<T> {
    fn pop(&mut self) -> Option<T> {
        let waiting = self.queue.pop_front()?;
        self.bytes -= waiting.bytes;
        Some(waiting.item)
    }
}
