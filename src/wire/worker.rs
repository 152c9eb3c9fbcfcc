//! Messages between workers and the leader.

use super::submission::{MAX_TASKS, is_job_id};
use crate::job::{JobId, MachineId, TaskId};
use serde::{Deserialize, Serialize};

/// A task's state on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum TaskState {
    /// The task's image is being fetched.
    #[serde(rename = "fetching")]
    Fetching,
    /// The image is present, but the task does not run yet: a task of a gang waits for the others.
    #[serde(rename = "waiting")]
    Waiting,
    /// The task runs.
    #[serde(rename = "running")]
    Running,
    /// The task has received a stop command and writes a checkpoint.
    #[serde(rename = "flushing")]
    Saving,
    /// The task has ended.
    #[serde(rename = "ended")]
    Exited,
}

/// Cause of a task's end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum ExitCause {
    /// The task finished with a result.
    #[serde(rename = "done")]
    Done,
    /// The task received a stop command.
    #[serde(rename = "stopped")]
    Stopped,
    /// The task failed.
    #[serde(rename = "error")]
    Error,
    /// The worker refused the task: the machine does not have enough free resources.
    #[serde(rename = "full")]
    NoRoom,
    /// The worker refused the task: the machine has another attempt of it.
    #[serde(rename = "busy")]
    Busy,
    /// The worker refused the task: there is no such job or task.
    #[serde(rename = "no_such")]
    Unknown,
    /// Any cause that this version does not know; the task counts as ended without a result.
    #[serde(other)]
    Other,
}

/// Status of a task on a machine, as reported by the worker.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TaskStatus {
    /// Id of the task, "job/index".
    #[serde(rename = "row")]
    pub task: String,
    /// Number of the attempt at running the task.
    #[serde(rename = "sowing")]
    pub attempt: u64,
    /// State of the task.
    #[serde(rename = "standing")]
    pub state: TaskState,
    /// Cause of the task's end, if it has ended.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
    /// Whether the task's last checkpoint was written.
    #[serde(rename = "saved", default, skip_serializing_if = "Option::is_none")]
    pub checkpointed: Option<bool>,
}

/// A worker's heartbeat, with the status of its tasks.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Heartbeat {
    /// Id of the machine.
    #[serde(rename = "drone")]
    pub machine: MachineId,
    /// Address of the worker, for direct commands.
    #[serde(rename = "endpoint")]
    pub addr: String,
    /// Name of the machine type.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "parcel")]
    pub zone: String,
    /// Whether the machine is a spot machine, which the cloud may preempt.
    #[serde(rename = "gleanable", default)]
    pub spot: bool,
    /// Incarnation of the worker: starts at 1 and increases each time the worker's lease expires.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Sequence number, which increases with each heartbeat and each response to direct commands: of
    /// two messages of one incarnation, the one with the higher number is the newer one.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen.
    #[serde(rename = "deed", default)]
    pub fencing_token: u64,
    /// Seconds until the cloud preempts the machine, once the cloud has announced it.
    #[serde(rename = "reclaim_s", default, skip_serializing_if = "Option::is_none")]
    pub reclaim_in_s: Option<f64>,
    /// All tasks on the machine, including those that have ended and whose record has not been removed.
    #[serde(rename = "rows", default)]
    pub tasks: Vec<TaskStatus>,
}

/// Parses a task id, "job/index"; `None` if it is malformed.
pub fn parse_task_id(text: &str) -> Option<TaskId> {
    let (job, index) = text.split_once('/')?;
    let index: u32 = index.parse().ok()?;
    (is_job_id(job) && u64::from(index) < MAX_TASKS).then(|| TaskId {
        job: JobId::from(job),
        index,
    })
}

/// A command for one attempt of a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum TaskCommand {
    /// Starts the attempt; has no effect if the worker already has it.
    #[serde(rename = "run")]
    Start {
        /// Id of the task.
        #[serde(rename = "row")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "sowing")]
        attempt: u64,
    },
    /// Stops the attempt.
    #[serde(rename = "kill")]
    Stop {
        /// Id of the task.
        #[serde(rename = "row")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "sowing")]
        attempt: u64,
        /// Time for a checkpoint, in seconds. If the checkpoint takes longer, the task ends at once.
        #[serde(rename = "leeway_s")]
        grace: f64,
    },
    /// Removes the record of a task that has ended.
    #[serde(rename = "clear")]
    Forget {
        /// Id of the task.
        #[serde(rename = "row")]
        task: String,
        /// Number of the attempt.
        #[serde(rename = "sowing")]
        attempt: u64,
    },
}

/// The leader's response to a heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token of the leader; the worker refuses lower ones from then on.
    #[serde(rename = "deed")]
    pub fencing_token: u64,
    /// Commands, in the order in which they are to be executed.
    #[serde(rename = "orders")]
    pub commands: Vec<TaskCommand>,
}

/// Response of a controller that does not serve the worker.
#[derive(Serialize, Deserialize)]
pub struct Redirect<'a> {
    /// Address of the controller that serves the worker, if known.
    #[serde(
        rename = "foreman",
        borrow,
        default,
        skip_serializing_if = "Option::is_none"
    )]
    pub leader: Option<&'a str>,
}

/// Commands that the leader sends directly to a worker's address.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Fencing token of the leader.
    #[serde(rename = "deed")]
    pub fencing_token: u64,
    /// Incarnation of the worker that the commands are for; a worker in another one refuses them.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Commands, in the order in which they are to be executed.
    #[serde(rename = "orders")]
    pub commands: Vec<TaskCommand>,
}
