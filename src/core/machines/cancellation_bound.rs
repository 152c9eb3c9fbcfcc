//! The time after a cancellation within which tasks of the job may still run, and the removal of the residual
//! tasks of cancelled jobs.

use crate::core::Core;
use crate::core::leadership::lease::LEASE_TTL;
use crate::core::machines::machine::lease_expiry;
use crate::settings::Settings;
use std::time::{Duration, SystemTime};

/// Interval between checks of the residual tasks of cancelled jobs.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Margin for the messages of a cancellation in flight.
const MESSAGE_MARGIN: Duration = Duration::from_millis(500);

/// From when a cancellation is durable until nothing of its job can be left, whatever fails meanwhile: the
/// leader's lease, within which a worker may be answered by a controller that does not know of it yet, and
/// then the worker's lease. `docs/design.md`, "A cancellation in the gap".
pub fn cancellation_bound(lease: Duration) -> Duration {
    LEASE_TTL + lease + lease / 500 + MESSAGE_MARGIN
}

/// A warning for operators, where the settings allow a cancellation less time than its bound.
pub fn cancellation_warning(settings: &Settings) -> Option<String> {
    let bound = cancellation_bound(settings.worker_lease);
    let deadline = settings.cancellation_deadline;
    (bound > deadline).then(|| {
        format!(
            "params.workers.cancel_s: {} s is less than the {:.1} s in which a lease of {} s is certain to have run out; \
             cancellations are confirmed only when nothing of the job is left",
            deadline.as_secs_f64(),
            bound.as_secs_f64(),
            settings.worker_lease.as_secs_f64()
        )
    })
}

impl Core {
    /// Forgets the residual tasks of jobs that were cancelled so long ago that every lease has run out since.
    /// Each controller does, so that what it remembers is bounded by the pace of cancellations.
    pub(in crate::core) fn forget_cancelled(&mut self) {
        let now = self.now.mono;
        let last_check = self.last_residual_check;
        if last_check.is_some_and(|at| now < at + EXPIRY_CHECK_INTERVAL) {
            return;
        }
        self.last_residual_check = Some(now);
        let retention =
            lease_expiry(self.settings.worker_lease).max(self.settings.cancellation_deadline);
        let oldest = self.now.wall - retention;
        if let Ok(oldest) = oldest.duration_since(SystemTime::UNIX_EPOCH) {
            self.store_cache
                .expire_residual_tasks(oldest.as_millis() as u64);
        }
    }
}
