//! Jobs, their tasks and what these need, apart from the form in which any interface carries them.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// A job's id, as its user has chosen it.
pub type JobId = Arc<str>;
/// A machine's id, as the cloud has given it.
pub type MachineId = Arc<str>;

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The task's index in the job, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// How the tasks of a job belong together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion.
    Array,
    /// Replicas that run until the job is cancelled.
    Service,
    /// Tasks that only run together: all start at once, and start again all at once.
    Gang,
}

/// How important a job is; the derived order puts the highest priority first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Above all others.
    Production,
    /// Above the ordinary one.
    High,
    /// The ordinary priority.
    Normal,
    /// Below all others, which may preempt it.
    Low,
}

impl Priority {
    /// The priority's place from the highest, which is 0.
    pub fn level(self) -> u8 {
        self as u8
    }
}

/// What one task needs of its machine, or what a machine has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    /// CPUs, or parts of one.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub ram: f64,
}

/// Amounts are decimal numbers; sums of them may miss a whole by a rounding error of this size.
pub const EPSILON: f64 = 1e-6;
/// No more tasks than this are counted on one machine.
const MAX_TASK_COUNT: f64 = 1e6;

impl Resources {
    /// Whether this much fits into `room`.
    pub fn fits(&self, available: &Resources) -> bool {
        self.cpus <= available.cpus + EPSILON
            && self.gpus <= available.gpus + EPSILON
            && self.ram <= available.ram + EPSILON
    }

    /// Adds an amount.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.ram += other.ram;
    }

    /// Subtracts an amount; the result may be negative.
    pub fn sub(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.ram -= other.ram;
    }

    /// This much, `factor` times.
    pub fn times(&self, factor: f64) -> Resources {
        Resources {
            cpus: self.cpus * factor,
            gpus: self.gpus * factor,
            ram: self.ram * factor,
        }
    }

    /// The largest of this amount's shares of a machine's CPUs, GPUs and memory.
    pub fn dominant_share(&self, capacity: &Resources) -> f64 {
        let share = |amount: f64, capacity: f64| {
            if amount <= 0.0 {
                0.0
            } else if capacity <= 0.0 {
                f64::INFINITY
            } else {
                amount / capacity
            }
        };
        share(self.cpus, capacity.cpus)
            .max(share(self.gpus, capacity.gpus))
            .max(share(self.ram, capacity.ram))
    }

    /// How many tasks of this size go into `room`.
    pub fn count_in(&self, available: &Resources) -> u32 {
        let count = |amount: f64, available: f64| {
            if amount <= 0.0 {
                f64::INFINITY
            } else {
                ((available + EPSILON) / amount).floor().max(0.0)
            }
        };
        let least = count(self.cpus, available.cpus)
            .min(count(self.gpus, available.gpus))
            .min(count(self.ram, available.ram));
        least.min(MAX_TASK_COUNT) as u32
    }
}

/// A job as its user describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Its id.
    pub id: JobId,
    /// The class of alike jobs that it belongs to, by which run times and objectives are kept.
    pub class: String,
    /// The team that it counts toward.
    pub team: String,
    /// How its tasks belong together.
    #[serde(rename = "kind")]
    pub job_kind: JobKind,
    /// How important it is.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// How many tasks it has.
    pub tasks: u32,
    /// What each task needs.
    #[serde(rename = "needs")]
    pub resources: Resources,
    /// The name of the image that its tasks run.
    pub image: String,
    /// The image's size in GB.
    pub image_gb: f64,
    /// The only machine types it may run on; `None` for any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "types")]
    pub machine_types: Option<Vec<String>>,
    /// The only zone it may run in; `None` for any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// All of its tasks run in the same zone.
    pub one_zone: bool,
    /// No zone runs more than half of its tasks.
    pub spread: bool,
    /// It may run on spot machines.
    pub spot: bool,
    /// Its user's estimate of a task's run time; zero for a service.
    pub estimate: Duration,
    /// How often a task saves its progress; zero if it cannot.
    #[serde(rename = "checkpoint")]
    pub checkpoint_interval: Duration,
    /// How long a checkpoint takes.
    #[serde(rename = "save")]
    pub checkpoint_duration: Duration,
    /// When it should be done, from its submission.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Duration>,
    /// Jobs that have to be done before any of its tasks starts; sorted, each once.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "awaits")]
    pub dependencies: Vec<JobId>,
}

impl JobSpec {
    /// How many tasks may be in one zone.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Whether it may run on machines of this type.
    pub fn allows_type(&self, name: &str) -> bool {
        let allowed = self.machine_types.as_ref();
        allowed.is_none_or(|types| types.iter().any(|allowed| allowed == name))
    }

    /// Whether it may run in this zone.
    pub fn allows_zone(&self, zone: &str) -> bool {
        self.zone.as_deref().is_none_or(|allowed| allowed == zone)
    }
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobOutcome {
    /// All of its tasks are done.
    Done,
    /// Its user has cancelled it, or a job that it depends on.
    Cancelled,
}

/// A plain array job for tests: its id, tasks, CPUs for each, and estimate in seconds.
#[cfg(test)]
pub fn sample(id: &str, tasks: u32, cpus: f64, seconds: u64) -> JobSpec {
    JobSpec {
        id: id.into(),
        class: "c".into(),
        team: "t".into(),
        job_kind: JobKind::Array,
        priority: Priority::Normal,
        tasks,
        resources: Resources {
            cpus,
            gpus: 0.0,
            ram: 1.0,
        },
        image: "img".into(),
        image_gb: 0.5,
        machine_types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        estimate: Duration::from_secs(seconds),
        checkpoint_interval: Duration::ZERO,
        checkpoint_duration: Duration::ZERO,
        deadline: None,
        dependencies: Vec::new(),
    }
}
