//! What workers and the leader send each other.

use super::submission::{MAX_TASKS, is_job_id};
use crate::job::{JobId, MachineId, TaskId};
use serde::{Deserialize, Serialize};

/// A task's state on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum TaskState {
    /// Its image is fetched.
    #[serde(rename = "fetching")]
    Fetching,
    /// It has its image and does not run yet: a task of a gang waits for the others.
    #[serde(rename = "waiting")]
    Waiting,
    /// It runs.
    #[serde(rename = "running")]
    Running,
    /// Received a stop command and writes a checkpoint.
    #[serde(rename = "flushing")]
    Saving,
    /// It has ended.
    #[serde(rename = "ended")]
    Exited,
}

/// Why a task has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum ExitCause {
    /// With a result.
    #[serde(rename = "done")]
    Done,
    /// Received a stop command.
    #[serde(rename = "stopped")]
    Stopped,
    /// It failed.
    #[serde(rename = "error")]
    Error,
    /// Refused: the machine has not enough free resources.
    #[serde(rename = "full")]
    NoRoom,
    /// Refused: the machine has another attempt of the task.
    #[serde(rename = "busy")]
    Busy,
    /// Refused: there is no such job or task.
    #[serde(rename = "no_such")]
    Unknown,
    /// A cause this version does not know counts as a task that ended without a result.
    #[serde(other)]
    Other,
}

/// A task on a machine, as its worker reports it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TaskStatus {
    /// The task's id, "job/index".
    #[serde(rename = "row")]
    pub task: String,
    /// Which attempt at running the task this is.
    #[serde(rename = "sowing")]
    pub attempt: u64,
    /// Its state.
    #[serde(rename = "standing")]
    pub state: TaskState,
    /// Why it has ended, if it has.
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
    /// Whether its last checkpoint was written.
    #[serde(rename = "saved", default, skip_serializing_if = "Option::is_none")]
    pub checkpointed: Option<bool>,
}

/// A worker's heartbeat with the status of its tasks.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Heartbeat {
    /// The machine's id.
    #[serde(rename = "drone")]
    pub machine: MachineId,
    /// The worker's own address, for direct commands.
    #[serde(rename = "endpoint")]
    pub addr: String,
    /// The type's name.
    #[serde(rename = "breed")]
    pub machine_type: String,
    /// Where the machine is.
    #[serde(rename = "parcel")]
    pub zone: String,
    /// Whether the cloud may preempt the machine.
    #[serde(rename = "gleanable", default)]
    pub spot: bool,
    /// Starts at 1 and rises each time the worker's lease expires.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// Rises with each heartbeat and each answer to direct commands: of two messages of one
    /// incarnation, the one with the higher number is the newer one.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    #[serde(rename = "deed", default)]
    pub fencing_token: u64,
    /// Seconds until the cloud preempts the machine, once it is announced.
    #[serde(rename = "reclaim_s", default, skip_serializing_if = "Option::is_none")]
    pub reclaim_in_s: Option<f64>,
    /// All tasks on the machine, and those that have ended until they are forgotten.
    #[serde(rename = "rows", default)]
    pub tasks: Vec<TaskStatus>,
}

/// Reads a task's id, "job/index"; `None` if it has another form.
pub fn parse_task_id(text: &str) -> Option<TaskId> {
    let (job, index) = text.split_once('/')?;
    let index: u32 = index.parse().ok()?;
    (is_job_id(job) && u64::from(index) < MAX_TASKS).then(|| TaskId {
        job: JobId::from(job),
        index,
    })
}

/// A command about one attempt of a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum TaskCommand {
    /// Starts it; has no effect if the worker knows the attempt.
    #[serde(rename = "run")]
    Start {
        /// The task's id.
        #[serde(rename = "row")]
        task: String,
        /// The attempt.
        #[serde(rename = "sowing")]
        attempt: u64,
    },
    /// Stops it.
    #[serde(rename = "kill")]
    Stop {
        /// The task's id.
        #[serde(rename = "row")]
        task: String,
        /// The attempt.
        #[serde(rename = "sowing")]
        attempt: u64,
        /// Seconds for a checkpoint. With less than the checkpoint takes, the task ends at once.
        #[serde(rename = "leeway_s")]
        grace: f64,
    },
    /// Removes the record of a task that has ended.
    #[serde(rename = "clear")]
    Forget {
        /// The task's id.
        #[serde(rename = "row")]
        task: String,
        /// The attempt.
        #[serde(rename = "sowing")]
        attempt: u64,
    },
}

/// The leader's answer to a heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// The leader's fencing token: the worker refuses lower ones from then on.
    #[serde(rename = "deed")]
    pub fencing_token: u64,
    /// In the order in which they are to be executed.
    #[serde(rename = "orders")]
    pub commands: Vec<TaskCommand>,
}

/// Answer of a controller that does not serve the worker.
#[derive(Serialize, Deserialize)]
pub struct Redirect<'a> {
    /// Address of the controller to go to, if it is known.
    #[serde(
        rename = "foreman",
        borrow,
        default,
        skip_serializing_if = "Option::is_none"
    )]
    pub leader: Option<&'a str>,
}

/// Commands that the leader sends to a worker's own address.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DirectCommands {
    /// The leader's fencing token.
    #[serde(rename = "deed")]
    pub fencing_token: u64,
    /// The worker's incarnation that the commands are for; another one refuses them.
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    /// In the order in which they are to be executed.
    #[serde(rename = "orders")]
    pub commands: Vec<TaskCommand>,
}
