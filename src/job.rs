//! The domain types of jobs and tasks: ids, resources and job specifications.
//!
//! The types are independent of the forms in which the interfaces transmit them.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// A job's id, chosen by the user.
pub type JobId = Arc<str>;
/// A machine's id, assigned by the cloud.
pub type MachineId = Arc<str>;

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskId {
    /// Id of the job.
    pub job: JobId,
    /// Index of the task in the job, from 0.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// Execution model of a job's tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion.
    Array,
    /// Replicas that run until the job is cancelled.
    Service,
    /// Tasks that run only together: all of them start at once, and are restarted at once.
    Gang,
}

/// Priority of a job; the derived order puts the highest priority first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Higher than all others.
    Production,
    /// Higher than `Normal`.
    High,
    /// The default level.
    Normal,
    /// Lower than all others; any of them may preempt a job of this priority.
    Low,
}

impl Priority {
    /// Returns the priority as a number: 0 for the highest.
    pub fn level(self) -> u8 {
        self as u8
    }
}

/// Amounts of resources: what a task requests, or what a machine has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    /// CPUs, possibly fractional.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub ram: f64,
}

/// Tolerance when amounts are compared: sums of floating-point amounts carry rounding errors.
pub const EPSILON: f64 = 1e-6;
/// Upper limit of `Resources::count_in`, which is unbounded for a task that requests nothing.
const MAX_TASK_COUNT: f64 = 1e6;

impl Resources {
    /// Returns whether these resources fit into `available`.
    pub fn fits(&self, available: &Resources) -> bool {
        self.cpus <= available.cpus + EPSILON
            && self.gpus <= available.gpus + EPSILON
            && self.ram <= available.ram + EPSILON
    }

    /// Adds `other` to each amount.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.ram += other.ram;
    }

    /// Subtracts `other` from each amount; the results may be negative.
    pub fn sub(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.ram -= other.ram;
    }

    /// Returns all amounts multiplied by `factor`.
    pub fn times(&self, factor: f64) -> Resources {
        Resources {
            cpus: self.cpus * factor,
            gpus: self.gpus * factor,
            ram: self.ram * factor,
        }
    }

    /// Returns the dominant share: the largest of the fractions of `capacity`'s CPUs, GPUs and memory
    /// that these resources take.
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

    /// Returns how many tasks that request these resources fit into `available`.
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

/// Specification of a job, as submitted by the user.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job's id.
    pub id: JobId,
    /// Class of similar jobs; run-time statistics and objectives are kept for each class.
    pub class: String,
    /// The team whose quota the job counts against.
    pub team: String,
    /// Execution model of the job's tasks.
    #[serde(rename = "kind")]
    pub job_kind: JobKind,
    /// Priority of the job.
    #[serde(rename = "rank")]
    pub priority: Priority,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task requests.
    #[serde(rename = "needs")]
    pub resources: Resources,
    /// Name of the image that the tasks run.
    pub image: String,
    /// Size of the image, in GB.
    pub image_gb: f64,
    /// Machine types that the job may run on; `None` for any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "types")]
    pub machine_types: Option<Vec<String>>,
    /// The only zone that the job may run in; `None` for any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks have to run in the same zone.
    pub one_zone: bool,
    /// Whether the tasks have to be spread over zones: no zone runs more than half of them.
    pub spread: bool,
    /// Whether the job may run on spot machines.
    pub spot: bool,
    /// The user's estimate of a task's run time; zero for a service.
    pub estimate: Duration,
    /// Interval between the checkpoints of a task; zero if the task writes none.
    #[serde(rename = "checkpoint")]
    pub checkpoint_interval: Duration,
    /// Time that a task needs to write a checkpoint.
    #[serde(rename = "save")]
    pub checkpoint_duration: Duration,
    /// Time from the submission by which the job should be done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Duration>,
    /// Jobs that have to be done before any task of this one starts; sorted, without duplicates.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "awaits")]
    pub dependencies: Vec<JobId>,
}

impl JobSpec {
    /// Returns the maximum number of tasks in one zone.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Returns whether the job may run on machines of this type.
    pub fn allows_type(&self, name: &str) -> bool {
        let allowed = self.machine_types.as_ref();
        allowed.is_none_or(|types| types.iter().any(|allowed| allowed == name))
    }

    /// Returns whether the job may run in this zone.
    pub fn allows_zone(&self, zone: &str) -> bool {
        self.zone.as_deref().is_none_or(|allowed| allowed == zone)
    }
}

/// Outcome of a job that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobOutcome {
    /// All tasks are done.
    Done,
    /// The user has cancelled the job, or a job that it depends on.
    Cancelled,
}

/// Returns an array job for tests; `cpus` are requested by each task, `seconds` is the estimate.
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
