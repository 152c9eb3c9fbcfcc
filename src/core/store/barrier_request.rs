//! What waits for a read barrier. Data; `read_barrier` answers it.

use crate::core::ids::Ticket;
use crate::core::jobs::creation::Submission;

/// A request that waits for a read barrier.
#[derive(Debug)]
pub enum BarrierRequest {
    /// The state of the job with this id.
    Show(Ticket, String),
    /// A job to accept.
    Submit(Submission),
}
