//! Jobs: submission, users' requests, dependencies, progress and end.

pub mod creation;
pub mod dependencies;
pub mod job_run;
pub mod lifecycle;
pub mod queries;
pub mod submissions;
pub mod urgency;
pub mod validation;
