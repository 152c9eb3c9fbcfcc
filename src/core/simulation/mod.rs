//! The cluster in memory and in virtual time, and the tests that play failures in it.

mod cluster;
mod mixed_versions;
mod randomized;
mod recorded_decisions;
mod scale;
mod scenarios;
