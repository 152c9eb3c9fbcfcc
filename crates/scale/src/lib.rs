//! Measures the resources that real controllers use for thousands of hollow workers. A hollow worker implements the
//! protocol and simulates tasks by timers, as the stand-ins' workers do, but a few threads multiplex the connections of
//! all workers. CPU time, memory, threads and sockets of the controllers are sampled under load. Runs at several sizes
//! give the growth of each figure per machine.

pub mod connection;
pub mod error;
pub mod fit;
pub mod hollow;
pub mod plot;
pub mod run;
pub mod usage;
