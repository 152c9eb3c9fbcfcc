//! Pure planning: where tasks go, which are preempted, and how many machines are added or removed. No clock, no I/O.

pub mod autoscaler;
pub mod backfill;
pub mod bids;
pub mod capacity_forecast;
pub mod cluster_snapshot;
