//! A cluster in memory and in virtual time, and the tests that play failures in it.
//!
//! [`Simulation`] drives the real [`Core`](crate::core::Core) of each controller: it hands commands to
//! `Core::step`, carries out the effects that it returns against a simulated state service, cloud and
//! workers, and delivers the answers over a network that may lose, delay or repeat them. Everything
//! random comes from one seeded generator, so that a seed always leads to the same run. At every tick
//! and at every answer the rules are checked (`checker`): no task on two machines, no team over its
//! limit, nothing of a cancelled job left after its time, no answer that contradicts an earlier one,
//! no task ahead of a job that it depends on, no two leaderships with the same term, no job left
//! waiting beside a machine with room.
//!
//! - `cluster`: the controllers and the passing of time; `store`, `cloud`, `worker`, `users`: the
//!   parties around them; `network`: what lies between them.
//! - `faults`: what a test can do to them; `checker`: the rules; `counters`: what tests count.
//! - `disabled_guard`: scenarios played with a guard taken out of the program.
//! - `scenarios`: tests by subject, each with its own course of events.
//! - `randomized`: random schedules of faults, shrunk to the fewest steps that break a rule.
//! - `mixed_versions`: upgrades from the version in production.
//! - `recorded_decisions`: a guard for changes that should not change decisions.
//! - `scale`: measurements of takeovers and losses against the size of the cluster.
//!
//! # Writing a scenario
//!
//! Put the test into the file of its subject under `scenarios`, and name it by setting and
//! expectation. Start a cluster by one of the functions in `scenarios`, which return it with its
//! leader; submit jobs, inject faults, let time pass, and assert what must come of it:
//!
//! ```text
//! #[test]
//! fn takeover_restarts_no_task() {
//!     let (mut simulation, leader) = four_machines(7);
//!     assert_eq!(simulation.submit(leader, &sample("wk-1", 4, 2.0, 20)), 201);
//!     simulation.run(2.0);
//!     simulation.kill(leader, Duration::from_secs(60));
//!     simulation.run_until_other_leader(leader, 10.0);
//!     simulation.run_until_done("wk-1", 60.0);
//!     assert_eq!(simulation.counters.starts, 4);
//! }
//! ```
//!
//! The rules need no assertion. Where a scenario guards one of them, show that it would find the
//! mistake: [`fails_without`] plays it again with that guard taken out of the program.
//! `LOG_LEVEL=info` prints the log of scenarios that call [`enable_log`].

mod checker;
mod cloud;
mod cluster;
mod counters;
mod disabled_guard;
mod faults;
mod mixed_versions;
mod network;
mod randomized;
mod recorded_decisions;
mod scale;
mod scenarios;
mod store;
mod users;
mod worker;

pub use cluster::{SETUP, Setup, Simulation, enable_log, settings};
pub use disabled_guard::{fails_without, failure_without};
pub use network::Link;
pub use store::{Backup, NEXT_STORE_LIMITS, STORE_LIMITS};
pub use worker::{LEASE, Worker};
