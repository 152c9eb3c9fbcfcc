//! The leader's state of a live job: where its tasks are, and how they have failed. Data that planning,
//! heartbeats and users' requests act on.

use crate::core::jobs::task_assignment::TaskAssignment;
use crate::core::machines::placement::StopReason;
use crate::core::machines::registry::Machines;
use crate::core::store::cache::JobRecord;
use crate::core::{Now, Ticket};
use crate::job::{JobId, JobOutcome, MachineId, Priority, TaskId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant, SystemTime};

/// The leader's state of a live job.
#[derive(Default)]
pub struct JobRun {
    /// Index of its team in the settings.
    pub team: Option<usize>,
    /// Whether the job is within its team's guarantee.
    pub guaranteed: bool,
    /// Machines that its tasks are assigned to, and its queued tasks.
    pub tasks: TaskAssignment,
    /// Tasks that must not be restarted yet, and until when.
    pub backoff_until: BTreeMap<u32, Instant>,
    /// Done tasks that are not in the state service yet.
    pub unpersisted_done: BTreeSet<u32>,
    /// Outcome that is being written. No more tasks are started.
    pub ending: Option<JobOutcome>,
    /// Requests that are answered when its cancellation is durable.
    pub cancel_waiters: Vec<Ticket>,
    /// Number of failures of its tasks, by machine.
    pub failures: BTreeMap<MachineId, u32>,
    /// Whether any of its tasks has ever succeeded.
    pub succeeded: bool,
    /// When a suspect job is retried.
    retry_at: Option<Instant>,
    /// Number of failed retries of a suspect job.
    retries: u32,
    /// When its first task started, as far as this leader knows.
    pub started: Option<Instant>,
    /// Since when all jobs that it depends on are done, as far as this leader knows.
    pub ready: Option<Now>,
    /// Run times of its tasks.
    pub run_times: LogRunTimes,
}

/// Number of machines on which a job must have failed, without a success on any, to be suspect: the
/// cause is then assumed to be the job and not the machines.
const SUSPECT_MACHINES: usize = 3;
/// Delay before the first retry of a suspect job. It doubles with each failed retry, up to about a
/// minute: usually the job's owner has made a mistake, and only a cancellation helps.
const INITIAL_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Maximum number of doublings of the retry delay.
const MAX_RETRY_DOUBLINGS: u32 = 5;

impl JobRun {
    /// Creates the state of a job of which no task is known to run; `team` is the index in the settings.
    pub fn new(job: &JobRecord, team: Option<usize>) -> JobRun {
        let unfinished = (0..job.spec.tasks).filter(|task| !job.done.contains(*task));
        JobRun {
            team,
            tasks: TaskAssignment::new(unfinished),
            succeeded: job.done.len() > 0,
            ..JobRun::default()
        }
    }

    /// Stops the assigned tasks of the job. [`StopReason::Obsolete`] is sent also for tasks that are
    /// being stopped already, and replaces their reason; any other reason leaves these tasks as they are.
    pub fn stop_assigned(
        &self,
        id: &JobId,
        machines: &mut Machines,
        reason: StopReason,
        now: Instant,
    ) {
        let first = self.tasks.assigned().iter().map(|(task, m)| (*task, m));
        for (index, machine) in first.chain(self.tasks.other_machines()) {
            let key = TaskId {
                job: id.clone(),
                index,
            };
            if let Some(machine) = machines.get_mut(machine)
                && let Some(task) = machine.tasks.get_mut(&key)
                && (reason == StopReason::Obsolete || task.stopping.is_none())
            {
                task.stop(reason, now);
                machine.needs_push = true;
            }
        }
    }

    /// Returns whether the failures are attributed to the job and not to the machines.
    pub fn is_suspect(&self) -> bool {
        !self.succeeded && self.failures.len() >= SUSPECT_MACHINES
    }

    /// Records a failed retry of a suspect job, whose delay then doubles. Further failures before the
    /// next retry is due, of tasks that were started together with the failed one, do not count.
    pub fn record_retry_failure(&mut self, now: Instant) {
        if self.is_suspect() && self.retry_at.is_none_or(|at| now >= at) {
            let doublings = self.retries.min(MAX_RETRY_DOUBLINGS);
            self.retry_at = Some(now + INITIAL_RETRY_DELAY * (1 << doublings));
            self.retries += 1;
        }
    }

    /// Returns whether no task may start now because the job is suspect: its retry is not due yet, or
    /// another of its tasks is assigned, as it is retried one task at a time.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        let too_early = self.retry_at.is_some_and(|at| now < at);
        self.is_suspect() && (too_early || !self.tasks.assigned().is_empty())
    }

    /// Returns whether all queued tasks are waiting for the end of their backoff.
    pub fn all_queued_deferred(&self) -> bool {
        let mut queued = self.tasks.queued().iter();
        queued.all(|task| self.backoff_until.contains_key(task))
    }
}

/// Logarithms of the run times of a job's tasks, so that a single long run has little effect.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogRunTimes {
    sum: f64,
    count: u32,
}

/// Minimum number of run times for a mean that is representative of the job.
const MIN_RUN_TIMES: u32 = 3;

impl LogRunTimes {
    /// Adds the logarithm of a run time.
    pub fn add(&mut self, log_run_time: f64) {
        self.sum += log_run_time;
        self.count += 1;
    }

    /// Returns the mean of the logarithms, once there are enough of them.
    pub fn mean(&self) -> Option<f64> {
        (self.count >= MIN_RUN_TIMES).then(|| self.sum / f64::from(self.count))
    }
}

/// Urgency of a job, from its own specification and that of its dependents.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Urgency {
    /// Most urgent of its own priority and those of its dependents.
    pub priority: Priority,
    /// When the job should be done, to meet its own deadline and those of its dependents.
    pub due: Option<SystemTime>,
    /// Whether other jobs depend on it.
    pub has_dependents: bool,
}

impl Urgency {
    /// Returns the urgency of a job without regard to its dependents.
    pub fn own(job: &JobRecord) -> Urgency {
        Urgency {
            priority: job.spec.priority,
            due: job.spec.deadline.map(|deadline| job.submitted + deadline),
            has_dependents: false,
        }
    }
}
