//! A leader's authority, granted to another controller for a while.
//!
//! The holder asks (a numbered request) and the leader answers with a span: how long its own
//! leadership is still proven, counted from when it worked on the request. The holder counts the
//! span from when it *sent* that request, which was earlier, so its grant expires before the
//! leader's leadership does, whatever the clocks say and however long either answer took. A
//! leader's leadership expires before another one can lead; so no grant outlives its leader, and a
//! successor need not ask who had one.

use std::time::{Duration, Instant};

/// The steady clocks of two machines drift apart by at most one part in this many of a span: twice
/// what the protocol states, as both may be off.
const DRIFT_DIVISOR: u32 = 1000;

/// A grant as its holder keeps it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldGrant {
    /// The term of the leader who granted it.
    pub term: u64,
    /// When it expires, by the holder's clock.
    pub expires_at: Instant,
}

impl HeldGrant {
    /// From an answer to a request that was sent at `sent`.
    pub fn new(term: u64, sent: Instant, span: Duration) -> HeldGrant {
        HeldGrant {
            term,
            expires_at: sent + span.saturating_sub(span / DRIFT_DIVISOR),
        }
    }

    /// Whether it has not expired and is of the leader of this term.
    pub fn is_valid(&self, term: u64, now: Instant) -> bool {
        self.term == term && now < self.expires_at
    }
}

/// What a leader keeps of the grants to one controller, and of the requests for them.
#[derive(Clone, Debug)]
pub struct IssuedGrant {
    /// Of the holder: tells its process from an earlier one of the same name.
    pub incarnation: u64,
    /// The number of the newest request that was taken in.
    pub last_number: u64,
    /// When that was.
    pub last_request_at: Instant,
    /// No answer under any grant was given later than this.
    pub expires_at: Instant,
}

/// What a leader makes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOrder {
    /// The next one of the process that is known.
    Next,
    /// The first one of a process; the one before it under this name is over, and what it kept is
    /// lost.
    NewIncarnation,
    /// Held up on the way; a newer one has been answered since. Or of another process under this
    /// name while one may hold a grant: a process that is back within a moment waits for the grant
    /// of its former incarnation to expire, and a frame of that incarnation which comes late takes
    /// nothing from the one that lives.
    Stale,
}

impl IssuedGrant {
    /// Nothing granted so far to this incarnation, whose last request had this number.
    pub fn new(incarnation: u64, last_number: u64, now: Instant) -> IssuedGrant {
        IssuedGrant {
            incarnation,
            last_number,
            last_request_at: now,
            expires_at: now,
        }
    }

    /// Takes in a request's number, unless the request is stale.
    pub fn accept_request(&mut self, incarnation: u64, number: u64, now: Instant) -> RequestOrder {
        let order = self.order_of(incarnation, number, now);
        if order != RequestOrder::Stale {
            self.incarnation = incarnation;
            self.last_number = number;
            self.last_request_at = now;
        }
        order
    }

    fn order_of(&self, incarnation: u64, number: u64, now: Instant) -> RequestOrder {
        let same_incarnation = incarnation == self.incarnation;
        if same_incarnation && number > self.last_number {
            RequestOrder::Next
        } else if same_incarnation || now < self.expires_at {
            RequestOrder::Stale
        } else {
            RequestOrder::NewIncarnation
        }
    }

    /// Extends the grant to when the leader's own leadership expires. Returns the span to answer
    /// with.
    pub fn extend(&mut self, leader_until: Instant, now: Instant) -> Duration {
        // Never earlier than what an earlier answer allowed.
        self.expires_at = self.expires_at.max(leader_until);
        leader_until.saturating_duration_since(now)
    }
}

#[cfg(test)]
mod tests;
