//! The JSON forms of the protocol. Only this module knows the protocol's own names; everything
//! else uses the field's terms.

use crate::job::{JobId, JobKind, JobSpec, MachineId, Priority, Resources, TaskId};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;
use std::time::Duration;

pub const PATH_JOBS: &str = "/api/jobs";
pub const PATH_CANCEL: &str = "withdraw";
pub const PATH_STATUS: &str = "/api/status";
/// For operators, while the state service is rebuilt after a loss of data (`core::rebuild`).
pub const PATH_SETTLE: &str = "/api/rebuild/settle";
pub const PATH_SNAPSHOT: &str = "/api/rebuild/memory";
/// Our own, like the status: figures for monitoring.
pub const PATH_METRICS: &str = "/metrics";
pub const PATH_READY: &str = "/ready";
pub const PATH_HEARTBEAT: &str = "/hello";
pub const PATH_COMMANDS: &str = "/do";
pub const PATH_TYPES: &str = "/flavors";
pub const PATH_MACHINES: &str = "/hosts";
pub const PATH_DELETE: &str = "/hosts/delete";
pub const JOB_PREFIX: &str = "wk-";

/// No amount or duration that a user may state is larger than this.
const MOST: f64 = 1e9;
const MAX_TASKS: u64 = 100_000;
const MAX_NAME_BYTES: usize = 200;

// ---------------------------------------------------------------- operators

/// A page of a snapshot of that store, as keys and values of the state service; `last` with the last.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SnapshotPage {
    pub store: String,
    pub last: bool,
    pub items: Vec<(String, Value)>,
}

// ---------------------------------------------------------------- users

#[derive(Deserialize, Serialize)]
struct SubmitBody {
    name_id: String,
    crop: String,
    steward: String,
    shape: ShapeWord,
    rank: RankWord,
    rows: u64,
    cpus: f64,
    accelerators: f64,
    ram_gb: f64,
    seedstock: String,
    size_gb: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    breeds: Option<Vec<String>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    parcel: Option<String>,
    together: bool,
    scatter: bool,
    gleanable: bool,
    reckon_s: f64,
    harvest_s: f64,
    bale_s: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    due_s: Option<f64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    awaits: Option<BTreeSet<String>>,
}

#[derive(Deserialize, Serialize, Clone, Copy)]
#[serde(rename_all = "lowercase", try_from = "String")]
enum ShapeWord {
    Array,
    Service,
    Ensemble,
}

#[derive(Deserialize, Serialize, Clone, Copy)]
#[serde(rename_all = "lowercase", try_from = "String")]
enum RankWord {
    Production,
    Urgent,
    Standard,
    Low,
}

impl TryFrom<String> for ShapeWord {
    type Error = String;

    fn try_from(word: String) -> Result<ShapeWord, String> {
        match word.as_str() {
            "array" => Ok(ShapeWord::Array),
            "service" => Ok(ShapeWord::Service),
            "ensemble" => Ok(ShapeWord::Ensemble),
            _ => Err(format!("shape: {word:?} is not known")),
        }
    }
}

impl TryFrom<String> for RankWord {
    type Error = String;

    fn try_from(word: String) -> Result<RankWord, String> {
        match word.as_str() {
            "production" => Ok(RankWord::Production),
            "urgent" => Ok(RankWord::Urgent),
            "standard" => Ok(RankWord::Standard),
            "low" => Ok(RankWord::Low),
            _ => Err(format!("rank: {word:?} is not known")),
        }
    }
}

/// Whether `id` has the form of a job's id: the prefix and digits.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix(JOB_PREFIX)
        .is_some_and(|n| (1..=32).contains(&n.len()) && n.bytes().all(|b| b.is_ascii_digit()))
}

/// Reads a submission. The error is for the user.
pub fn parse_submission(body: &[u8]) -> Result<JobSpec, String> {
    // A list of values in the fields' order would pass for an object, and an object for a word.
    let first = body.iter().find(|b| !b.is_ascii_whitespace());
    if first != Some(&b'{') {
        return Err("not a JSON object".into());
    }
    let b: SubmitBody = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    if !is_job_id(&b.name_id) {
        return Err("name_id: not a job id".into());
    }
    let awaits = b.awaits.unwrap_or_default();
    if let Some(a) = awaits.iter().find(|a| !is_job_id(a)) {
        return Err(format!("awaits: {a:?} is not a job id"));
    }
    if b.rows == 0 || b.rows > MAX_TASKS {
        return Err(format!("rows: must be 1 to {MAX_TASKS}"));
    }
    let amounts = [
        ("cpus", b.cpus),
        ("accelerators", b.accelerators),
        ("ram_gb", b.ram_gb),
        ("size_gb", b.size_gb),
        ("reckon_s", b.reckon_s),
        ("harvest_s", b.harvest_s),
        ("bale_s", b.bale_s),
        ("due_s", b.due_s.unwrap_or(0.0)),
    ];
    for (name, x) in amounts {
        if !(0.0..=MOST).contains(&x) {
            return Err(format!("{name}: out of range"));
        }
    }
    let mut names = vec![&b.crop, &b.steward, &b.seedstock];
    names.extend(b.parcel.iter());
    names.extend(b.breeds.iter().flatten());
    if names
        .iter()
        .any(|n| n.is_empty() || n.len() > MAX_NAME_BYTES)
    {
        return Err(format!("a name must have 1 to {MAX_NAME_BYTES} bytes"));
    }
    Ok(JobSpec {
        id: b.name_id.into(),
        class: b.crop,
        team: b.steward,
        job_kind: match b.shape {
            ShapeWord::Array => JobKind::Array,
            ShapeWord::Service => JobKind::Service,
            ShapeWord::Ensemble => JobKind::Gang,
        },
        priority: match b.rank {
            RankWord::Production => Priority::Production,
            RankWord::Urgent => Priority::High,
            RankWord::Standard => Priority::Normal,
            RankWord::Low => Priority::Low,
        },
        tasks: b.rows as u32,
        resources: Resources {
            cpus: b.cpus,
            gpus: b.accelerators,
            ram: b.ram_gb,
        },
        image: b.seedstock,
        image_gb: b.size_gb,
        machine_types: b.breeds,
        zone: b.parcel,
        one_zone: b.together,
        spread: b.scatter,
        spot: b.gleanable,
        estimate: Duration::from_secs_f64(b.reckon_s),
        checkpoint_interval: Duration::from_secs_f64(b.harvest_s),
        checkpoint_duration: Duration::from_secs_f64(b.bale_s),
        deadline: b.due_s.map(Duration::from_secs_f64),
        dependencies: awaits.into_iter().map(JobId::from).collect(),
    })
}

/// A submission as users send it.
pub fn submission(spec: &JobSpec) -> Vec<u8> {
    let awaits: BTreeSet<String> = spec.dependencies.iter().map(|a| a.to_string()).collect();
    to_json(&SubmitBody {
        name_id: spec.id.to_string(),
        crop: spec.class.clone(),
        steward: spec.team.clone(),
        shape: match spec.job_kind {
            JobKind::Array => ShapeWord::Array,
            JobKind::Service => ShapeWord::Service,
            JobKind::Gang => ShapeWord::Ensemble,
        },
        rank: match spec.priority {
            Priority::Production => RankWord::Production,
            Priority::High => RankWord::Urgent,
            Priority::Normal => RankWord::Standard,
            Priority::Low => RankWord::Low,
        },
        rows: u64::from(spec.tasks),
        cpus: spec.resources.cpus,
        accelerators: spec.resources.gpus,
        ram_gb: spec.resources.ram,
        seedstock: spec.image.clone(),
        size_gb: spec.image_gb,
        breeds: spec.machine_types.clone(),
        parcel: spec.zone.clone(),
        together: spec.one_zone,
        scatter: spec.spread,
        gleanable: spec.spot,
        reckon_s: spec.estimate.as_secs_f64(),
        harvest_s: spec.checkpoint_interval.as_secs_f64(),
        bale_s: spec.checkpoint_duration.as_secs_f64(),
        due_s: spec.deadline.map(|d| d.as_secs_f64()),
        awaits: (!awaits.is_empty()).then_some(awaits),
    })
}

/// The id in a submission that is otherwise unreadable, if it has one.
pub fn submitted_id(body: &[u8]) -> Option<String> {
    let v: Value = serde_json::from_slice(body).ok()?;
    let id = v.get("name_id")?.as_str()?;
    is_job_id(id).then(|| id.to_string())
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    #[serde(rename = "pending")]
    Queued,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "withdrawn")]
    Cancelled,
}

/// The answer to all three calls about a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobStatus {
    #[serde(rename = "name_id")]
    pub id: String,
    #[serde(rename = "standing")]
    pub state: JobState,
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub done: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub running: Option<u32>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

pub fn error_body(text: &str) -> Vec<u8> {
    to_json(&ErrorBody { error: text })
}

/// Serialises one of this module's own types, which cannot fail.
pub fn to_json<T: Serialize>(x: &T) -> Vec<u8> {
    serde_json::to_vec(x).unwrap_or_default()
}

/// One of this program's own types as a JSON value, to be stored under a key; this cannot fail.
pub fn to_json_value<T: Serialize>(x: &T) -> serde_json::Value {
    serde_json::to_value(x).unwrap_or(serde_json::Value::Null)
}

// ---------------------------------------------------------------- workers

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum TaskState {
    #[serde(rename = "fetching")]
    Fetching,
    #[serde(rename = "waiting")]
    Waiting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "flushing")]
    Saving,
    #[serde(rename = "ended")]
    Exited,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum ExitCause {
    #[serde(rename = "done")]
    Done,
    #[serde(rename = "stopped")]
    Stopped,
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "full")]
    NoRoom,
    #[serde(rename = "busy")]
    Busy,
    #[serde(rename = "no_such")]
    Unknown,
    /// A cause this version does not know counts as a task that ended without a result.
    #[serde(other)]
    Other,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct TaskStatus {
    #[serde(rename = "row")]
    pub task: String,
    #[serde(rename = "sowing")]
    pub attempt: u64,
    #[serde(rename = "standing")]
    pub state: TaskState,
    #[serde(rename = "cause", default, skip_serializing_if = "Option::is_none")]
    pub cause: Option<ExitCause>,
    #[serde(rename = "saved", default, skip_serializing_if = "Option::is_none")]
    pub checkpointed: Option<bool>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Heartbeat {
    #[serde(rename = "drone")]
    pub machine: MachineId,
    #[serde(rename = "endpoint")]
    pub addr: String,
    #[serde(rename = "breed")]
    pub machine_type: String,
    #[serde(rename = "parcel")]
    pub zone: String,
    #[serde(rename = "gleanable", default)]
    pub spot: bool,
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    #[serde(rename = "tally")]
    pub sequence: u64,
    #[serde(rename = "deed", default)]
    pub fencing_token: u64,
    #[serde(rename = "reclaim_s", default, skip_serializing_if = "Option::is_none")]
    pub reclaim_in_s: Option<f64>,
    #[serde(rename = "rows", default)]
    pub tasks: Vec<TaskStatus>,
}

pub fn parse_task_id(text: &str) -> Option<TaskId> {
    let (job, row) = text.split_once('/')?;
    let row: u32 = row.parse().ok()?;
    (is_job_id(job) && u64::from(row) < MAX_TASKS).then(|| TaskId {
        job: JobId::from(job),
        index: row,
    })
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb")]
pub enum TaskCommand {
    #[serde(rename = "run")]
    Start {
        #[serde(rename = "row")]
        task: String,
        #[serde(rename = "sowing")]
        attempt: u64,
    },
    #[serde(rename = "kill")]
    Stop {
        #[serde(rename = "row")]
        task: String,
        #[serde(rename = "sowing")]
        attempt: u64,
        #[serde(rename = "leeway_s")]
        grace: f64,
    },
    #[serde(rename = "clear")]
    Forget {
        #[serde(rename = "row")]
        task: String,
        #[serde(rename = "sowing")]
        attempt: u64,
    },
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    #[serde(rename = "deed")]
    pub fencing_token: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<TaskCommand>,
}

#[derive(Serialize, Deserialize)]
pub struct Redirect<'a> {
    #[serde(
        rename = "foreman",
        borrow,
        default,
        skip_serializing_if = "Option::is_none"
    )]
    pub leader: Option<&'a str>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DirectCommands {
    #[serde(rename = "deed")]
    pub fencing_token: u64,
    #[serde(rename = "tenure")]
    pub incarnation: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<TaskCommand>,
}

// ---------------------------------------------------------------- cloud

#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct MachineType {
    #[serde(rename = "label")]
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(rename = "accelerators", default)]
    pub gpus: f64,
    #[serde(rename = "ram_gb", default)]
    pub ram: f64,
    #[serde(rename = "local_gb", default)]
    pub cache_gb: f64,
    #[serde(default)]
    pub fetch_gb_per_s: f64,
    #[serde(rename = "rate")]
    pub price: f64,
    #[serde(rename = "low_price", default)]
    pub spot_price: Option<f64>,
    #[serde(rename = "startup_s", default)]
    pub boot_s: f64,
    #[serde(rename = "parcels", default)]
    pub zones: Vec<String>,
}

impl MachineType {
    pub fn room(&self) -> Resources {
        Resources {
            cpus: self.cpus,
            gpus: self.gpus,
            ram: self.ram,
        }
    }
}

#[derive(Deserialize, Serialize)]
pub struct MachineTypeList {
    #[serde(rename = "breeds")]
    pub types: Vec<MachineType>,
}

#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct ScaleOutRequest {
    #[serde(rename = "hire")]
    pub request_id: String,
    #[serde(rename = "breed")]
    pub machine_type: String,
    #[serde(rename = "parcel")]
    pub zone: String,
    #[serde(rename = "gleanable")]
    pub spot: bool,
    pub count: u32,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct MachineIds {
    #[serde(rename = "drones")]
    pub machines: Vec<MachineId>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum ListedState {
    #[serde(rename = "starting")]
    Booting,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "failed")]
    Failed,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListedMachine {
    #[serde(rename = "name_id")]
    pub id: MachineId,
    #[serde(rename = "endpoint", default)]
    pub addr: Option<String>,
    #[serde(rename = "breed")]
    pub machine_type: String,
    #[serde(rename = "parcel")]
    pub zone: String,
    #[serde(rename = "gleanable", default)]
    pub spot: bool,
    #[serde(rename = "standing")]
    pub state: ListedState,
    #[serde(default)]
    pub age_s: f64,
}

#[derive(Deserialize, Serialize)]
pub struct MachineListPage {
    #[serde(rename = "drones")]
    pub machines: Vec<ListedMachine>,
    #[serde(default)]
    pub more: bool,
}

// ---------------------------------------------------------------- state service

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct Item {
    #[serde(default)]
    pub key: String,
    #[serde(rename = "data")]
    pub value: Value,
    #[serde(rename = "stamp")]
    pub version: u64,
    #[serde(rename = "tenancy", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

#[derive(Deserialize, Serialize)]
pub struct KeyValuePage {
    pub items: Vec<Item>,
    #[serde(default)]
    pub more: bool,
    #[serde(rename = "ledger")]
    pub revision: u64,
}

#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
pub struct Condition {
    pub key: String,
    #[serde(rename = "stamp")]
    pub version: u64,
}

#[derive(Serialize, Deserialize, Clone, Debug, PartialEq)]
#[serde(untagged)]
pub enum Change {
    Put {
        #[serde(rename = "put")]
        key: String,
        #[serde(rename = "data")]
        value: Value,
        #[serde(rename = "tenancy", skip_serializing_if = "Option::is_none", default)]
        lease: Option<u64>,
    },
    Delete {
        #[serde(rename = "drop")]
        key: String,
    },
}

impl Change {
    /// A key that is attached to no lease.
    pub fn put(key: String, value: Value) -> Change {
        Change::Put {
            key,
            value,
            lease: None,
        }
    }

    pub fn key(&self) -> &str {
        match self {
            Change::Put { key, .. } | Change::Delete { key } => key,
        }
    }
}

#[derive(Serialize, Deserialize, Clone, Debug, Default, PartialEq)]
pub struct CompareAndSwap {
    #[serde(rename = "if")]
    pub conditions: Vec<Condition>,
    #[serde(rename = "apply")]
    pub changes: Vec<Change>,
}

#[derive(Deserialize, Serialize, Default)]
pub struct CompareAndSwapResponse {
    #[serde(rename = "ledger", default)]
    pub revision: u64,
    #[serde(default)]
    pub failed: Vec<String>,
}

#[derive(Serialize, Deserialize)]
pub struct LeaseRequest {
    pub ttl_ms: u64,
}

#[derive(Serialize, Deserialize)]
pub struct LeaseResponse {
    #[serde(rename = "tenancy")]
    pub lease: u64,
}

#[derive(Deserialize, Serialize, Clone, Debug)]
pub struct WatchEvent {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub put: Option<String>,
    #[serde(rename = "drop", default, skip_serializing_if = "Option::is_none")]
    pub delete: Option<String>,
    #[serde(rename = "data", default)]
    pub value: Value,
    #[serde(rename = "stamp", default)]
    pub version: u64,
    #[serde(rename = "tenancy", default, skip_serializing_if = "Option::is_none")]
    pub lease: Option<u64>,
}

#[derive(Deserialize, Serialize)]
pub struct WatchResponse {
    #[serde(rename = "ledger")]
    pub revision: u64,
    #[serde(rename = "news", default)]
    pub events: Vec<WatchEvent>,
}

#[cfg(test)]
mod tests;
