//! Membership of the controllers: who they are, what the leader granted them, and how workers are
//! balanced among them. A package of its own so that this arithmetic of time and load can be read
//! and tested without anything else: it has no clock, no I/O, and knows neither jobs nor machines.
//!
//! - `view`: what is known of each controller; a failure detector with suspicion before loss.
//! - `grant`: a leader's authority granted to another controller, counted on both sides so that
//!   the holder's time is over first.
//! - `share`: how many workers each controller should serve, and how many are moved now.
//! - `digest`: whether a heartbeat says the same as before.
//!
//! Nothing here elects a leader: the state service's lease alone says who leads, and a view is
//! used for where work goes, never for what is true of it.

pub mod digest;
pub mod grant;
pub mod share;
pub mod view;
