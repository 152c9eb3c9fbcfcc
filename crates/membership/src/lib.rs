//! Who the other controllers are, what they were granted, and how the workers are shared among
//! them. A package of its own so that this arithmetic of time and load can be read and tried
//! without anything else: it has no clock, no I/O, and knows neither jobs nor machines.
//!
//! - `view`: what is known of each controller; suspicion comes before loss.
//! - `grant`: a leader's word lent to another controller, counted on both sides so that the
//!   borrower's time is over first.
//! - `share`: who should serve how many workers, and how many are moved now.
//! - `digest`: whether a worker says the same as before.
//!
//! Nothing here elects anybody: the state service's lease alone says who leads, and a view is
//! used for where work goes, never for what is true of it.

pub mod digest;
pub mod grant;
pub mod share;
pub mod view;
