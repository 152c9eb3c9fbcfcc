//! A job as its leader knows it: what runs of it, and how it has failed. Data that planning,
//! heartbeats and users' requests act on.

use crate::core::jobs::task_assignment::TaskAssignment;
use crate::core::machines::placement::StopReason;
use crate::core::machines::registry::Machines;
use crate::core::store::cache::JobRecord;
use crate::core::{Now, Ticket};
use crate::job::{JobId, JobOutcome, MachineId, Priority, TaskId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant, SystemTime};

/// A live job as its leader knows it.
#[derive(Default)]
pub struct JobRun {
    /// Its team, by its place in the settings.
    pub team: Option<usize>,
    /// Whether it lies within that team's guarantee.
    pub guaranteed: bool,
    /// Where its tasks are.
    pub tasks: TaskAssignment,
    /// Tasks that are not to be started again before some moment.
    pub backoff_until: BTreeMap<u32, Instant>,
    /// Done tasks that are not in the state service yet.
    pub unpersisted_done: BTreeSet<u32>,
    /// The end that is being written. Nothing is started any more.
    pub ending: Option<JobOutcome>,
    /// Users who are answered when its cancellation is durable.
    pub cancel_waiters: Vec<Ticket>,
    /// Machines on which its tasks failed, and how often.
    pub failures: BTreeMap<MachineId, u32>,
    /// Whether a task of it has ever completed.
    pub succeeded: bool,
    /// While the job is suspect: when it is tried again.
    retry_at: Option<Instant>,
    /// How often a suspect job was tried again in vain.
    retries: u32,
    /// When its first task started, as this leader knows.
    pub started: Option<Instant>,
    /// Since when, as this leader knows, all is done that the job depends on.
    pub ready: Option<Now>,
    /// How long its tasks ran.
    pub run_times: LogRunTimes,
}

/// A job that has failed on this many machines and succeeded on none is suspect: the fault is
/// taken to be its own.
const SUSPECT_MACHINES: usize = 3;
/// A suspect job is tried again after this, then after twice as long, and so on to a minute:
/// mostly its owner has made a mistake, and only a cancellation helps.
const INITIAL_RETRY_DELAY: Duration = Duration::from_secs(2);
/// The delay is doubled this often at the most.
const MAX_RETRY_DOUBLINGS: u32 = 5;

impl JobRun {
    /// A job of which nothing is known to run; `team` by its place in the settings.
    pub fn new(job: &JobRecord, team: Option<usize>) -> JobRun {
        let unfinished = (0..job.spec.tasks).filter(|task| !job.done.contains(*task));
        JobRun {
            team,
            tasks: TaskAssignment::new(unfinished),
            succeeded: job.done.len() > 0,
            ..JobRun::default()
        }
    }

    /// Stops what is assigned of the job. [`StopReason::Obsolete`] is sent to machines even where they
    /// were commanded to stop before; other reasons only once.
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

    /// Whether its failures are taken to be its own fault, and not that of the machines.
    pub fn is_suspect(&self) -> bool {
        !self.succeeded && self.failures.len() >= SUSPECT_MACHINES
    }

    /// A suspect job has failed once more: it waits twice as long. What was started together
    /// with the last try and fails after it counts with it.
    pub fn record_retry_failure(&mut self, now: Instant) {
        if self.is_suspect() && self.retry_at.is_none_or(|at| now >= at) {
            let doublings = self.retries.min(MAX_RETRY_DOUBLINGS);
            self.retry_at = Some(now + INITIAL_RETRY_DELAY * (1 << doublings));
            self.retries += 1;
        }
    }

    /// Whether nothing of a suspect job is to be started now: it is tried with one task at a time.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        let too_early = self.retry_at.is_some_and(|at| now < at);
        self.is_suspect() && (too_early || !self.tasks.assigned().is_empty())
    }

    /// Whether every queued task waits for a moment before which it is not started again.
    pub fn all_queued_deferred(&self) -> bool {
        let mut queued = self.tasks.queued().iter();
        queued.all(|task| self.backoff_until.contains_key(task))
    }
}

/// The run times of a job's tasks, in logarithms: one long run counts little.
#[derive(Clone, Copy, Debug, Default)]
pub struct LogRunTimes {
    sum: f64,
    count: u32,
}

/// So many run times tell what is usual for a job.
const MIN_RUN_TIMES: u32 = 3;

impl LogRunTimes {
    /// Adds the logarithm of a run time.
    pub fn add(&mut self, log_run_time: f64) {
        self.sum += log_run_time;
        self.count += 1;
    }

    /// The mean of the logarithms, once there are enough of them.
    pub fn mean(&self) -> Option<f64> {
        (self.count >= MIN_RUN_TIMES).then(|| self.sum / f64::from(self.count))
    }
}

/// How urgent a job is, in itself or for the sake of those that depend on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Urgency {
    /// The more urgent of its own priority and those of its dependents.
    pub priority: Priority,
    /// When it should be done, so that all after it can be done by their deadlines.
    pub due: Option<SystemTime>,
    /// Others depend on it.
    pub has_dependents: bool,
}

impl Urgency {
    /// How urgent a job is in itself.
    pub fn own(job: &JobRecord) -> Urgency {
        Urgency {
            priority: job.spec.priority,
            due: job.spec.deadline.map(|deadline| job.submitted + deadline),
            has_dependents: false,
        }
    }
}
