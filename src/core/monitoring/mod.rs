//! Interfaces for operators and load balancers: the status document, the metrics and the readiness check.

pub mod metrics;
pub mod readiness;
pub mod status;
