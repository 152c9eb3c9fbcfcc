//! Real controllers in front of thousands of hollow workers: these speak the protocol as the stand-ins' workers do, and
//! hold tasks by timers, but a few threads multiplex the connections of all of them. What the controllers take is
//! sampled while they serve, and several sizes in turn give slopes.

pub mod connection;
pub mod error;
pub mod fit;
pub mod hollow;
pub mod plot;
pub mod run;
pub mod usage;
