//! Identifiers of requests and calls that are in progress between steps.

/// Identifier of a request from a client, worker or peer until its response is sent; chosen by the caller of `step`.
pub type Ticket = u64;

/// Identifier of a call to another service until its outcome is known; chosen by `Core` and never reused.
pub type CallId = u64;
