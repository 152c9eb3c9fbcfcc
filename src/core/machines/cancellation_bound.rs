//! Upper bound of the time for which tasks of a cancelled job may still run, and expiry of the records of such
//! residual tasks.

use crate::core::Core;
use crate::core::leadership::lease::LEASE_TTL;
use crate::core::machines::machine::lease_expiry;
use crate::settings::Settings;
use std::time::{Duration, SystemTime};

/// Interval between checks of the residual tasks of cancelled jobs.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Margin for messages that are in flight when a job is cancelled.
const MESSAGE_MARGIN: Duration = Duration::from_millis(500);

/// Returns the time after which no task of a job can be running any more, whatever fails meanwhile, counted from when
/// the job's cancellation is durable. It consists of the leader's lease, during which a controller that does not know
/// of the cancellation yet may still answer a worker, and of the worker's lease. See `docs/design.md`, "A cancellation
/// in the gap".
pub fn cancellation_bound(lease: Duration) -> Duration {
    LEASE_TTL + lease + lease / 500 + MESSAGE_MARGIN
}

/// Returns a warning for operators if the settings allow a cancellation less time than `cancellation_bound`.
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
    /// Drops the records of residual tasks of jobs that were cancelled so long ago that every lease has expired since.
    /// Every controller does so, which bounds the number of records by the rate of cancellations.
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
