//! Jobs: submission, users' requests, dependencies, progress and end.

pub mod answers;
pub mod creation;
pub mod dependencies;
pub mod forwarding;
pub mod job_reads;
pub mod job_run;
pub mod large_submissions;
pub mod lifecycle;
pub mod queries;
pub mod requests;
pub mod statistics;
pub mod submissions;
pub mod task_assignment;
pub mod urgency;
pub mod validation;
