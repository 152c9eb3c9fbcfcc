//! Pure planning functions: task placement, preemption, scale-out and scale-in. They read no
//! clock, do no I/O and do not depend on the core's state.

pub mod autoscaler;
pub mod backfill;
pub mod bids;
pub mod capacity_forecast;
pub mod cluster_snapshot;
pub mod request_limit;
