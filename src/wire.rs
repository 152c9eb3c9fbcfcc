//! The JSON forms of the protocols with users, workers, the cloud and the state service.
//!
//! Only here do the protocols' own names stand; everything else uses the terms of the field. A Rust
//! name differs from the one on the wire wherever `serde(rename)` says so.

mod cloud;
mod store;
mod submission;
mod worker;

pub use cloud::{
    ListedMachine, ListedState, MachineIds, MachineListPage, MachineType, MachineTypeList,
    ScaleOutRequest,
};
pub use store::{
    Change, CompareAndSwap, CompareAndSwapResponse, Condition, Item, KeyValuePage, LeaseRequest,
    LeaseResponse, WatchEvent, WatchResponse,
};
pub use submission::{
    JOB_PREFIX, SubmissionError, encode_submission, is_job_id, parse_submission, submitted_id,
};
pub use worker::{
    DirectCommands, ExitCause, Heartbeat, HeartbeatResponse, Redirect, TaskCommand, TaskState,
    TaskStatus, parse_task_id,
};

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Users: jobs. A job's id follows after a slash.
pub const PATH_JOBS: &str = "/api/jobs";
/// Users: cancels a job, after its id and a slash.
pub const PATH_CANCEL: &str = "withdraw";
/// Operators: the status view.
pub const PATH_STATUS: &str = "/api/status";
/// Operators: settles on the state service as it is, while it is rebuilt after a loss of data.
pub const PATH_SETTLE: &str = "/api/rebuild/settle";
/// Operators: offers pages of a snapshot, while the state service is rebuilt.
pub const PATH_SNAPSHOT: &str = "/api/rebuild/memory";
/// Monitoring: metrics.
pub const PATH_METRICS: &str = "/metrics";
/// The platform: whether the controller is ready.
pub const PATH_READY: &str = "/ready";
/// Workers: heartbeats.
pub const PATH_HEARTBEAT: &str = "/hello";
/// On a worker: direct commands.
pub const PATH_COMMANDS: &str = "/do";
/// On the cloud: machine types.
pub const PATH_MACHINE_TYPES: &str = "/flavors";
/// On the cloud: the list of machines, and requests for more.
pub const PATH_MACHINES: &str = "/hosts";
/// On the cloud: deletes machines.
pub const PATH_DELETE_MACHINES: &str = "/hosts/delete";

/// A page of a snapshot that is offered to a controller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SnapshotPage {
    /// The identity of the store that the snapshot is of.
    pub store: String,
    /// Whether this is the last page.
    pub last: bool,
    /// Keys and values of the state service.
    pub items: Vec<(String, Value)>,
}

/// A job's state, as shown to users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// None of its tasks runs.
    #[serde(rename = "pending")]
    Queued,
    /// Some of its tasks run.
    #[serde(rename = "running")]
    Running,
    /// All tasks have a result.
    #[serde(rename = "done")]
    Done,
    /// It was cancelled.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// The answer to all three calls about a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job's id.
    #[serde(rename = "name_id")]
    pub id: String,
    /// Its state.
    #[serde(rename = "standing")]
    pub state: JobState,
    /// How many tasks have a result.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub done: Option<u32>,
    /// How many tasks run.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub running: Option<u32>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// The body of a response that reports an error.
pub fn error_body(text: &str) -> Vec<u8> {
    to_json(&ErrorBody { error: text })
}

/// Serialises one of this module's own types, which cannot fail.
pub fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

/// One of this program's own types as a JSON value, to be stored under a key; this cannot fail.
pub fn to_json_value<T: Serialize>(x: &T) -> serde_json::Value {
    serde_json::to_value(x).unwrap_or(serde_json::Value::Null)
}

#[cfg(test)]
mod tests;
