//! Requests that wait for a read barrier. Plain data; `read_barrier` answers them.

use crate::core::ids::Ticket;
use crate::core::jobs::creation::Submission;

/// A request that waits for a read barrier.
#[derive(Debug)]
pub enum BarrierRequest {
    /// A query for the state of the job with this id.
    Show(Ticket, String),
    /// A submission whose job is to be accepted.
    Submit(Submission),
}
