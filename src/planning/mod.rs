//! Pure planning: where tasks are placed, which are preempted, and how many machines are added
//! or removed. There is no clock and no I/O here, and no dependency on the core's state.

pub mod autoscaler;
pub mod backfill;
pub mod bids;
pub mod capacity_forecast;
pub mod cluster_snapshot;
