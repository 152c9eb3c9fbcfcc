//! Membership of the controllers: their liveness, the grants of the leader to them, and the
//! distribution of workers among them. It is a package of its own so that the computations on time
//! and load can be read and tested in isolation. It has no clock and no I/O, and does not depend on
//! jobs or machines.
//!
//! - `view`: the state of each controller, by a failure detector that suspects a member before it
//!   declares it lost.
//! - `grant`: a leader's authority granted to another controller, timed on both sides so that the
//!   grant expires at the holder first.
//! - `share`: the number of workers that each controller should serve, and the moves to get there.
//! - `digest`: a hash that tells whether a heartbeat equals the previous one.
//!
//! Nothing here elects a leader: the lease of the state service alone determines the leader. A
//! membership view decides only where requests are sent, never the state of jobs and machines.

pub mod digest;
pub mod grant;
pub mod share;
pub mod view;
