//! The time of a step.

use std::time::{Instant, SystemTime};

/// The monotonic clock and the time of day, read once per step.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// For durations and deadlines.
    pub mono: Instant,
    /// For times that users see or that are stored.
    pub wall: SystemTime,
}
