//! The JSON messages of the protocols with users, workers, the cloud and the state service.
//!
//! The protocols' names for messages and fields occur only in this module; where a Rust name differs,
//! `serde(rename)` gives the name on the wire.

mod cloud;
mod store;
mod submission;
mod worker;

pub use cloud::{
    ListedMachine, ListedState, MachineIds, MachineListPage, MachineType, MachineTypeList,
    ScaleOutRequest,
};
pub use store::{
    Change, CompareAndSwap, CompareAndSwapResponse, Condition, ErrorResponse, Item, KeyValuePage,
    LeaseRequest, LeaseResponse, NO_SUCH_LEASE, RawItem, RawPage, WatchEvent, WatchResponse,
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

/// Path for users: jobs. A slash and the job's id follow for a single job.
pub const PATH_JOBS: &str = "/api/jobs";
/// Last part of a path for users: cancels the job whose id precedes it.
pub const PATH_CANCEL: &str = "withdraw";
/// Path for operators: the status view.
pub const PATH_STATUS: &str = "/api/status";
/// Path for operators: ends the rebuild of the state service after a loss of data, with the data that
/// has been recovered so far.
pub const PATH_SETTLE: &str = "/api/rebuild/settle";
/// Path for operators: uploads pages of a snapshot while the state service is rebuilt.
pub const PATH_SNAPSHOT: &str = "/api/rebuild/memory";
/// Path for monitoring: metrics.
pub const PATH_METRICS: &str = "/metrics";
/// Path for the platform: whether the controller is ready.
pub const PATH_READY: &str = "/ready";
/// Path for workers: heartbeats.
pub const PATH_HEARTBEAT: &str = "/hello";
/// Path on a worker: direct commands.
pub const PATH_COMMANDS: &str = "/do";
/// Path on the cloud: machine types.
pub const PATH_MACHINE_TYPES: &str = "/flavors";
/// Path on the cloud: the list of machines, and requests to provision more.
pub const PATH_MACHINES: &str = "/hosts";
/// Path on the cloud: deletes machines.
pub const PATH_DELETE_MACHINES: &str = "/hosts/delete";

/// A page of a snapshot that is uploaded to a controller.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SnapshotPage {
    /// Identity of the store that the snapshot was taken of.
    pub store: String,
    /// Whether this is the last page.
    pub last: bool,
    /// Keys and values of the state service.
    pub items: Vec<(String, Value)>,
}

/// A job's state, as shown to users.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task runs.
    #[serde(rename = "pending")]
    Queued,
    /// Some tasks run.
    #[serde(rename = "running")]
    Running,
    /// All tasks have a result.
    #[serde(rename = "done")]
    Done,
    /// The job was cancelled.
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// Response to the requests that submit, show or cancel a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    /// The job's id.
    #[serde(rename = "name_id")]
    pub id: String,
    /// State of the job.
    #[serde(rename = "standing")]
    pub state: JobState,
    /// Number of tasks that have a result.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub done: Option<u32>,
    /// Number of tasks that run.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub running: Option<u32>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Returns the body of a response that reports an error.
pub fn error_body(text: &str) -> Vec<u8> {
    to_json(&ErrorBody { error: text })
}

/// Serialises one of this module's types, which cannot fail.
pub fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).unwrap_or_default()
}

/// Converts one of this program's types to a JSON value for the state service, which cannot fail.
pub fn to_json_value<T: Serialize>(x: &T) -> serde_json::Value {
    serde_json::to_value(x).unwrap_or(serde_json::Value::Null)
}

#[cfg(test)]
mod tests;
