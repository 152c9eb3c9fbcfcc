//! Input of a scheduling step: jobs with queued tasks, and the usage and limits of teams.

use crate::job::{EPSILON, JobSpec, Priority, Resources};
use crate::planning::cluster_snapshot::{ImageHash, MachineClass, Offer};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Job with queued tasks. A scheduling step receives the jobs in queue order.
#[derive(Clone)]
pub struct QueuedJob<'a> {
    /// Job specification as submitted by its user.
    pub spec: Arc<JobSpec>,
    /// Effective priority of the job, which decides which tasks may be preempted for it.
    pub priority: Priority,
    /// Hash of the name of the job's image.
    pub image: ImageHash,
    /// Team of the job, by its index in the settings.
    pub team: usize,
    /// Indices of the job's queued tasks.
    pub queued: &'a BTreeSet<u32>,
    /// Earliest start of each queued task that is in backoff.
    pub backoff_until: &'a BTreeMap<u32, Instant>,
    /// Whether the job is a gang, whose tasks start all together or not at all.
    pub all_or_nothing: bool,
    /// Whether only one task of the job is started per step, as a trial.
    pub single_trial: bool,
    /// Expected run time of a task.
    pub expected_runtime: Duration,
    /// Number of tasks of this job that already hold resources in each zone; only maintained for jobs
    /// with a zone constraint.
    pub tasks_per_zone: BTreeMap<String, u32>,
    /// Nodes that this job should avoid because its tasks failed there.
    pub avoided_nodes: Vec<usize>,
    /// Whether the job is within its team's guaranteed quota.
    pub within_quota: bool,
    /// Whether tasks of other jobs may be preempted for the job while it is at the head of the queue.
    pub may_preempt: bool,
    /// Weight of one queue entry in ties between sets of the same size.
    pub priority_weight: f32,
    /// Offers that are too expensive for the job.
    pub excluded_offers: Vec<Offer>,
}

impl<'a> QueuedJob<'a> {
    /// Returns the indices of the tasks that may be started now.
    pub(super) fn startable_tasks(&self, now: Instant) -> impl Iterator<Item = u32> + 'a {
        let (queued, backoff_until) = (self.queued, self.backoff_until);
        let limit = if self.single_trial && !self.all_or_nothing {
            1
        } else {
            usize::MAX
        };
        queued
            .iter()
            .filter(move |task| backoff_until.get(task).is_none_or(|until| now >= *until))
            .copied()
            .take(limit)
    }

    /// Returns the number of tasks in one queue entry of this job: all for a gang, otherwise one.
    pub(super) fn tasks_per_entry(&self) -> u32 {
        if self.all_or_nothing {
            self.queued.len() as u32
        } else {
            1
        }
    }

    /// Returns whether the job may use machines of this class and their offer is not too expensive.
    pub(super) fn accepts(&self, class: &MachineClass) -> bool {
        class.allows(&self.spec) && !self.excluded_offers.contains(&class.offer)
    }

    /// Returns whether the zones of the job's other tasks restrict where a task may be placed.
    pub(super) fn has_zone_constraint(&self) -> bool {
        self.spec.one_zone || self.spec.spread
    }

    /// Returns whether one more task may be placed in this zone.
    pub(super) fn allows_in_zone(&self, zone: &str) -> bool {
        if !self.has_zone_constraint() {
            return true;
        }
        if self.spec.one_zone && self.tasks_per_zone.keys().any(|other| other != zone) {
            return false;
        }
        let placed = self.tasks_per_zone.get(zone).copied().unwrap_or(0);
        placed < self.spec.max_tasks_per_zone()
    }

    /// Counts one more task in a zone.
    pub(super) fn count_in_zone(&mut self, zone: &str) {
        if self.has_zone_constraint() {
            *self.tasks_per_zone.entry(zone.to_string()).or_default() += 1;
        }
    }
}

/// Resources that a team uses, its limits and its guaranteed quota.
#[derive(Clone, Debug, Default)]
pub struct TeamUsage {
    /// CPUs in use.
    pub cpus: f64,
    /// GPUs in use.
    pub gpus: f64,
    /// Maximum number of CPUs that the team may use, if there is a limit.
    pub cpu_limit: Option<f64>,
    /// Maximum number of GPUs that the team may use, if there is a limit.
    pub gpu_limit: Option<f64>,
    /// Guaranteed CPUs; CPUs that the team's tasks hold beyond them are borrowed.
    pub cpu_quota: f64,
    /// Guaranteed GPUs; GPUs that the team's tasks hold beyond them are borrowed.
    pub gpu_quota: f64,
}

impl TeamUsage {
    /// Returns whether `count` more tasks stay within the limits.
    pub(super) fn allows(&self, resources: &Resources, count: u32) -> bool {
        let fits_limit = |used: f64, per_task: f64, limit: Option<f64>| {
            limit.is_none_or(|limit| used + per_task * f64::from(count) <= limit + EPSILON)
        };
        fits_limit(self.cpus, resources.cpus, self.cpu_limit)
            && fits_limit(self.gpus, resources.gpus, self.gpu_limit)
    }

    /// Counts `count` more tasks.
    pub(super) fn add(&mut self, resources: &Resources, count: f64) {
        self.cpus += resources.cpus * count;
        self.gpus += resources.gpus * count;
    }

    /// Returns whether the team uses more than its quota.
    pub(super) fn is_borrowing(&self) -> bool {
        self.exceeds_quota(self.cpus, self.gpus)
    }

    /// Returns whether these amounts exceed the team's quota.
    pub(super) fn exceeds_quota(&self, cpus: f64, gpus: f64) -> bool {
        cpus > self.cpu_quota + EPSILON || gpus > self.gpu_quota + EPSILON
    }
}
