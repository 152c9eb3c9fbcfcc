//! The time at which a step runs.

use std::time::{Instant, SystemTime};

/// The monotonic clock and the time of day, read once per step.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Monotonic time, for durations and deadlines.
    pub mono: Instant,
    /// Time of day, for times that are shown to users or stored.
    pub wall: SystemTime,
}
