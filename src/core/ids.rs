//! Identifiers of what is in progress between two steps.

/// Identifies a request of a client, worker or peer until the response is sent; chosen by the caller of `step`.
pub type Ticket = u64;

/// Identifies a call to another service until its outcome is known; chosen by `Core`, never used twice.
pub type CallId = u64;
