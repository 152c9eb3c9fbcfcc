//! A leader's authority, granted to another controller for a limited time.
//!
//! The holder sends a numbered request, and the leader responds with a duration: the remaining time
//! of its own leadership when it processed the request. The holder counts this duration from the
//! time at which it *sent* the request, which was earlier. The grant therefore expires before the
//! leadership does, whatever the offset of the clocks and the delay of the messages. A leadership
//! expires before another controller can become leader, so no grant outlives the leadership, and a
//! successor does not have to find out who holds grants.

use std::time::{Duration, Instant};

/// Bound of the drift between the monotonic clocks of two machines: one part in this many. It is
/// twice the drift that the protocol allows for one clock, as both may be off.
const DRIFT_DIVISOR: u32 = 1000;

/// Grant as recorded by its holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldGrant {
    /// Term of the leader that granted it.
    pub term: u64,
    /// Expiry by the holder's clock.
    pub expires_at: Instant,
}

impl HeldGrant {
    /// Creates the grant from a response with the duration `span` to a request sent at `sent`.
    pub fn new(term: u64, sent: Instant, span: Duration) -> HeldGrant {
        HeldGrant {
            term,
            expires_at: sent + span.saturating_sub(span / DRIFT_DIVISOR),
        }
    }

    /// Returns whether the grant belongs to the leader of this term and has not expired.
    pub fn is_valid(&self, term: u64, now: Instant) -> bool {
        self.term == term && now < self.expires_at
    }
}

/// Leader's record of the grants to one controller and of its requests for them.
#[derive(Clone, Debug)]
pub struct IssuedGrant {
    /// Incarnation of the holder, which distinguishes its process from earlier ones of the same name.
    pub incarnation: u64,
    /// Number of the newest accepted request.
    pub last_number: u64,
    /// Time of the newest accepted request.
    pub last_request_at: Instant,
    /// Latest expiry of all grants to this holder, by the leader's clock. The holder answers nothing
    /// under a grant after this time.
    pub expires_at: Instant,
}

/// Order of a request relative to those accepted before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOrder {
    /// A newer request of the known incarnation.
    Next,
    /// The first request of a new incarnation. The previous process of this name has ended, and its
    /// state is lost.
    NewIncarnation,
    /// A delayed request, after a newer one was accepted, or a request of another incarnation while
    /// the known one may still hold a grant. A process that restarts quickly therefore waits until
    /// the grant of its previous incarnation has expired, and a delayed frame of the previous
    /// incarnation cannot revoke the grant of the running one.
    Stale,
}

impl IssuedGrant {
    /// Creates the record of an incarnation without a grant, whose last request had this number.
    pub fn new(incarnation: u64, last_number: u64, now: Instant) -> IssuedGrant {
        IssuedGrant {
            incarnation,
            last_number,
            last_request_at: now,
            expires_at: now,
        }
    }

    /// Determines the order of a request and records it, unless it is stale.
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

    /// Extends the grant until the leadership expires. Returns the duration to respond with.
    pub fn extend(&mut self, leader_until: Instant, now: Instant) -> Duration {
        // The expiry never moves back, as the holder relies on earlier responses.
        self.expires_at = self.expires_at.max(leader_until);
        leader_until.saturating_duration_since(now)
    }
}

#[cfg(test)]
mod tests;
