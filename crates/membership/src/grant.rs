//! A leader's word, lent to another controller for a while.
//!
//! The borrower asks (a numbered request) and the leader answers with a span: how long its own
//! word still holds, counted from when it worked on the request. The borrower counts the span from
//! when it *sent* that request, which was earlier, so its grant ends before the leader's word does,
//! whatever the clocks say and however long either answer took. A leader's word ends before another
//! one can lead; so no grant outlives its leader, and a successor need not ask who had one.

use std::time::{Duration, Instant};

/// The steady clocks of two machines drift apart by at most this part of a span: twice what the
/// protocol states, as both may be off.
const DRIFT: u32 = 1000;

/// What a borrower holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldGrant {
    /// The term of the leader who granted it.
    pub term: u64,
    pub until: Instant,
}

impl HeldGrant {
    /// From an answer to a request that was sent at `sent`.
    pub fn new(term: u64, sent: Instant, span: Duration) -> HeldGrant {
        HeldGrant {
            term,
            until: sent + span.saturating_sub(span / DRIFT),
        }
    }

    pub fn holds(&self, term: u64, now: Instant) -> bool {
        self.term == term && now < self.until
    }
}

/// What a leader keeps of one borrower.
#[derive(Clone, Debug)]
pub struct IssuedGrant {
    pub incarnation: u64,
    /// The newest request that was taken in.
    pub number: u64,
    /// When that was.
    pub last_request: Instant,
    /// No answer under any grant was given later than this.
    pub until: Instant,
}

/// What a leader makes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    Next,
    /// The first one of a process; the one before it under this name is over, and what it kept is
    /// forgotten.
    Fresh,
    /// Held up on the way; a newer one has been answered since. Or of another process under this name
    /// while one may hold a grant: a process that is back within a moment waits for the grant of its
    /// former life to run out, and a frame of that life which comes late takes nothing from the one
    /// that lives.
    Old,
}

impl IssuedGrant {
    pub fn first(incarnation: u64, number: u64, now: Instant) -> IssuedGrant {
        IssuedGrant {
            incarnation,
            number,
            last_request: now,
            until: now,
        }
    }

    /// Takes in a request's number.
    pub fn request(&mut self, incarnation: u64, number: u64, now: Instant) -> Request {
        if incarnation == self.incarnation {
            if number <= self.number {
                return Request::Old;
            }
            (self.number, self.last_request) = (number, now);
            return Request::Next;
        }
        if now < self.until {
            return Request::Old;
        }
        (self.incarnation, self.number, self.last_request) = (incarnation, number, now);
        Request::Fresh
    }

    /// The span to answer with, given until when the leader's own word holds.
    pub fn grant(&mut self, word: Instant, now: Instant) -> Duration {
        // Never earlier than what an earlier answer allowed.
        self.until = self.until.max(word);
        word.saturating_duration_since(now)
    }
}

#[cfg(test)]
mod tests;
