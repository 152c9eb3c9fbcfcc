//! Stand-ins of the systems that burlusher serves with: state service, cloud, machines with their
//! workers, and users, all on loopback and after the published protocol. They exist so that
//! anybody can see real controllers at work on one machine, with one command, and so that what
//! the rules promise is checked from the workers' own records.

pub mod cloud;
pub mod cluster;
pub mod command_line;
mod controller_settings;
mod controllers;
pub mod error;
mod events;
pub mod records;
pub mod report;
pub mod scenario;
pub mod state;
pub mod users;
pub mod worker;
