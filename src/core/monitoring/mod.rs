//! What operators see: the status view and the metrics.

pub mod metrics;
pub mod readiness;
pub mod status;
