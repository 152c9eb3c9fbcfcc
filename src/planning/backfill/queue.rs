//! The queue as a scheduling step sees it: jobs with queued tasks, and what teams may use.

use crate::job::{EPSILON, JobSpec, Priority, Resources};
use crate::planning::cluster_snapshot::{ImageHash, MachineClass, Offer};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A job with queued tasks. Jobs come in the order of the queue.
#[derive(Clone)]
pub struct QueuedJob<'a> {
    /// The job as its user described it.
    pub spec: Arc<JobSpec>,
    /// Its effective priority, which decides what may be preempted for it.
    pub priority: Priority,
    /// The tag of its image.
    pub image: ImageHash,
    /// Its team, by its index in the settings.
    pub team: usize,
    /// Indices of its queued tasks.
    pub queued: &'a BTreeSet<u32>,
    /// Queued tasks that must not be started before some moment.
    pub backoff_until: &'a BTreeMap<u32, Instant>,
    /// Gang scheduling: it starts with all of its tasks or not at all.
    pub all_or_nothing: bool,
    /// Only one of its tasks is started, as a trial.
    pub single_trial: bool,
    /// Expected run time of a task.
    pub expected_runtime: Duration,
    /// Tasks of this job that hold room already, by zone; only kept where it is bound to zones.
    pub tasks_per_zone: BTreeMap<String, u32>,
    /// Nodes that this job should avoid because its tasks failed there.
    pub avoided_nodes: Vec<usize>,
    /// The job fits into its team's guaranteed quota.
    pub within_quota: bool,
    /// Whether others may be preempted for it while it is at the head of the queue.
    pub may_preempt: bool,
    /// What settles ties between sets of the same size.
    pub priority_weight: f32,
    /// Offers that cost more than the job is worth.
    pub excluded_offers: Vec<Offer>,
}

impl<'a> QueuedJob<'a> {
    /// Indices of the tasks that may be started now.
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

    /// How many tasks one queue entry of this job has.
    pub(super) fn tasks_per_entry(&self) -> u32 {
        if self.all_or_nothing {
            self.queued.len() as u32
        } else {
            1
        }
    }

    /// Whether the job may, and is to, use machines of this class.
    pub(super) fn accepts(&self, class: &MachineClass) -> bool {
        class.allows(&self.spec) && !self.excluded_offers.contains(&class.offer)
    }

    /// Whether its zones matter to where its tasks go.
    pub(super) fn has_zone_constraint(&self) -> bool {
        self.spec.one_zone || self.spec.spread
    }

    /// Whether one more task may go to this zone.
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

/// What a team uses and may use.
#[derive(Clone, Debug, Default)]
pub struct TeamUsage {
    /// CPUs in use.
    pub cpus: f64,
    /// GPUs in use.
    pub gpus: f64,
    /// Most CPUs that it may use, if they are limited.
    pub cpu_limit: Option<f64>,
    /// Most GPUs that it may use, if they are limited.
    pub gpu_limit: Option<f64>,
    /// Guaranteed CPUs; what its tasks hold beyond them is borrowed.
    pub cpu_quota: f64,
    /// Guaranteed GPUs.
    pub gpu_quota: f64,
}

impl TeamUsage {
    /// Whether `count` more tasks stay within the limits.
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

    /// Whether the team uses more than its quota.
    pub(super) fn is_borrowing(&self) -> bool {
        self.exceeds_quota(self.cpus, self.gpus)
    }

    /// Whether this much is more than the team's quota.
    pub(super) fn exceeds_quota(&self, cpus: f64, gpus: f64) -> bool {
        cpus > self.cpu_quota + EPSILON || gpus > self.gpu_quota + EPSILON
    }
}
