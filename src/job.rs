//! What a job is, apart from the form in which any interface carries it.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

pub type JobId = Arc<str>;
pub type MachineId = Arc<str>;

/// One task of a job: the job's id and the task's number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskId {
    pub job: JobId,
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion.
    Array,
    /// Replicas that run until the job is cancelled.
    Service,
    /// Tasks that only run together: they start whole, and start again whole.
    Gang,
}

/// Higher ranks are served first; the derived order puts the highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    Production,
    High,
    Normal,
    Low,
}

/// What one task takes of its machine, or what a machine has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    pub ram: f64,
}

/// Amounts are decimal numbers; sums of them may miss a whole by a rounding error.
const EPSILON: f64 = 1e-6;

impl Resources {
    pub fn fits(&self, room: &Resources) -> bool {
        self.cpus <= room.cpus + EPSILON
            && self.gpus <= room.gpus + EPSILON
            && self.ram <= room.ram + EPSILON
    }

    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.ram += other.ram;
    }

    pub fn sub(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.ram -= other.ram;
    }

    pub fn times(&self, n: f64) -> Resources {
        Resources {
            cpus: self.cpus * n,
            gpus: self.gpus * n,
            ram: self.ram * n,
        }
    }

    /// The largest of this task's shares of a machine's CPUs, GPUs and memory.
    pub fn share_of(&self, whole: &Resources) -> f64 {
        let part = |x: f64, of: f64| {
            if x <= 0.0 {
                0.0
            } else if of <= 0.0 {
                f64::INFINITY
            } else {
                x / of
            }
        };
        part(self.cpus, whole.cpus)
            .max(part(self.gpus, whole.gpus))
            .max(part(self.ram, whole.ram))
    }

    /// How many tasks of this size go into `room`.
    pub fn count_in(&self, room: &Resources) -> u32 {
        let part = |x: f64, of: f64| {
            if x <= 0.0 {
                f64::INFINITY
            } else {
                ((of + EPSILON) / x).floor().max(0.0)
            }
        };
        let n = part(self.cpus, room.cpus)
            .min(part(self.gpus, room.gpus))
            .min(part(self.ram, room.ram));
        n.min(1e6) as u32
    }
}

/// Everything the scheduler knows of a job from its user.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    pub id: JobId,
    pub class: String,
    pub team: String,
    #[serde(rename = "kind")]
    pub job_kind: JobKind,
    #[serde(rename = "rank")]
    pub priority: Priority,
    pub tasks: u32,
    #[serde(rename = "needs")]
    pub resources: Resources,
    pub image: String,
    pub image_gb: f64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "types")]
    pub machine_types: Option<Vec<String>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    pub estimate: Duration,
    #[serde(rename = "checkpoint")]
    pub checkpoint_interval: Duration,
    #[serde(rename = "save")]
    pub checkpoint_duration: Duration,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Duration>,
    /// Jobs that have to be done before any of its tasks starts; sorted, each once.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "awaits")]
    pub dependencies: Vec<JobId>,
}

impl JobSpec {
    /// How many tasks may be in one zone.
    pub fn zone_cap(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    pub fn allows_type(&self, name: &str) -> bool {
        self.machine_types
            .as_ref()
            .is_none_or(|t| t.iter().any(|x| x == name))
    }

    pub fn allows_zone(&self, zone: &str) -> bool {
        self.zone.as_deref().is_none_or(|z| z == zone)
    }
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobOutcome {
    Done,
    Cancelled,
}

/// A plain job for tests.
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
