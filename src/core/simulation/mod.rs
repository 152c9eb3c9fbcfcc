//! A simulated cluster in memory and virtual time, and the tests that inject failures into it.
//!
//! [`Simulation`] drives the real [`Core`](crate::core::Core) of each controller: it hands commands to
//! `Core::step`, applies the returned effects to a simulated state service, cloud and workers, and
//! delivers the responses over a network that may lose, delay or duplicate them. All randomness comes
//! from one seeded generator, so a seed always leads to the same run. The invariants (`checker`) are
//! checked at every tick and at every response: no task runs on two machines, no team exceeds its
//! limit, no task of a cancelled job is left after the time limit, no response contradicts an earlier
//! one, no task starts before the jobs that it depends on are done, no two leaderships have the same
//! term, and no job waits for long while a machine has capacity for it.
//!
//! - `cluster`: the controllers and the virtual clock; `store`, `cloud`, `worker`, `users`: the
//!   components that they interact with; `network`: message delivery between them.
//! - `faults`: fault injection; `checker`: the invariants; `counters`: event counts for assertions.
//! - `disabled_guard`: runs scenarios with one safeguard of the program disabled.
//! - `scenarios`: tests by subject, each with its own sequence of events.
//! - `randomized`: random fault schedules, shrunk to the fewest steps that violate an invariant.
//! - `mixed_versions`: upgrades from the version in production.
//! - `recorded_decisions`: regression tests for changes that should not change decisions.
//! - `scale`: measurements of takeovers and data losses against the size of the cluster.
//!
//! # Writing a scenario
//!
//! Put the test into the file of its subject under `scenarios`, and name it by setting and
//! expectation. Start a cluster with one of the functions in `scenarios`, which return it with its
//! leader; submit jobs, inject faults, advance the time, and assert the expected outcome:
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
//! The invariants need no assertion. Where a scenario tests one of them, show that it would detect a
//! violation: [`fails_without`] runs it again with the safeguard for that invariant disabled.
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
pub use network::{CommandCopy, Link};
pub use store::{Backup, NEXT_STORE_LIMITS, STORE_LIMITS};
pub use worker::{LEASE, Worker};
