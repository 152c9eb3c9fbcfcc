//! A job as its leader knows it: what runs of it, how its class runs, and how urgent it is. Data that
//! planning, reports and users' requests act on.

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
    /// Its team, by its place in the settings, and whether it lies within that team's guarantee.
    pub team: Option<usize>,
    pub guaranteed: bool,
    pub queued: BTreeSet<u32>,
    pub placed: BTreeMap<u32, MachineId>,
    /// Further machines on which a placed row is or may be: a report of unknown age proves that it may be
    /// there, and that it is elsewhere proves nothing. A row waits again when none of them has it.
    pub(in crate::core) other_machines: BTreeMap<u32, Vec<MachineId>>,
    /// Rows that are not to be started again before some moment.
    pub backoff_until: BTreeMap<u32, Instant>,
    /// Done rows that are not in the state service yet.
    pub unpersisted_done: BTreeSet<u32>,
    /// The end that is being written. Nothing is started any more.
    pub ending: Option<JobOutcome>,
    pub cancel_waiters: Vec<Ticket>,
    /// Machines on which its tasks failed, and how often.
    pub failures: BTreeMap<MachineId, u32>,
    pub succeeded: bool,
    /// While the job is suspect: when it is tried again, and how often that was in vain.
    pub retry_at: Option<Instant>,
    pub retries: u32,
    pub started: Option<Instant>,
    /// Since when, as this leader knows, all is done that the job awaits.
    pub ready: Option<Now>,
    /// Sum of the logarithms of its tasks' run times, and their number.
    pub log_run_times: (f64, u32),
}

/// A job that has failed on this many machines and succeeded on none speaks against itself.
const SUSPECT: usize = 3;
/// A suspect job is tried again after this, then after twice as long, and so on to a minute:
/// mostly its owner has made a mistake, and only a cancellation helps.
const PROBE_PAUSE: Duration = Duration::from_secs(2);

impl JobRun {
    /// The row is, or may be, on this machine.
    pub fn hold(&mut self, row: u32, machine: &MachineId) {
        self.queued.remove(&row);
        match self.placed.get(&row) {
            None => {
                self.placed.insert(row, machine.clone());
            }
            Some(first) if first == machine => {}
            Some(_) => {
                let also = self.other_machines.entry(row).or_default();
                if !also.contains(machine) {
                    also.push(machine.clone());
                }
            }
        }
    }

    /// The row is not on this machine any more. Says whether it was, and is on no other one.
    pub fn unassign(&mut self, row: u32, machine: &MachineId) -> bool {
        let mut also = self.other_machines.remove(&row).unwrap_or_default();
        let first = self.placed.get(&row) == Some(machine);
        also.retain(|m| m != machine);
        let next = if first { also.pop() } else { None };
        if !also.is_empty() {
            self.other_machines.insert(row, also);
        }
        match next {
            Some(next) => {
                self.placed.insert(row, next);
                false
            }
            None => first && self.placed.remove(&row).is_some(),
        }
    }

    /// The row needs to be nowhere any more; where it is or may be.
    pub fn release(&mut self, row: u32) -> Vec<MachineId> {
        let also = self.other_machines.remove(&row).unwrap_or_default();
        self.placed.remove(&row).into_iter().chain(also).collect()
    }

    /// Where a row is or may be, if that is more than one machine.
    pub fn assigned_machines(&self, row: u32) -> Vec<&MachineId> {
        let Some(also) = self.other_machines.get(&row) else {
            return Vec::new();
        };
        self.placed.get(&row).into_iter().chain(also).collect()
    }

    /// Stops what is placed of the job. An end is told to machines even where they were told to
    /// stop before; other reasons only once.
    pub fn stop_assigned(
        &self,
        id: &JobId,
        machines: &mut Machines,
        reason: StopReason,
        now: Instant,
    ) {
        let also = self.other_machines.iter();
        let also = also.flat_map(|(row, all)| all.iter().map(move |m| (row, m)));
        for (row, machine) in self.placed.iter().chain(also) {
            let key = TaskId {
                job: id.clone(),
                index: *row,
            };
            if let Some(m) = machines.get_mut(machine)
                && let Some(t) = m.tasks.get_mut(&key)
                && (reason == StopReason::Over || t.stopping.is_none())
            {
                t.stop(reason, now);
                m.needs_push = true;
            }
        }
    }

    pub fn is_suspect(&self) -> bool {
        !self.succeeded && self.failures.len() >= SUSPECT
    }

    /// A suspect job has failed once more: it waits twice as long. What was started together
    /// with the last try and fails after it counts with it.
    pub fn record_retry_failure(&mut self, now: Instant) {
        if self.is_suspect() && self.retry_at.is_none_or(|t| now >= t) {
            self.retry_at = Some(now + PROBE_PAUSE * (1 << self.retries.min(5)));
            self.retries += 1;
        }
    }

    /// Whether nothing of a suspect job is to be started now: it is tried with one task at a time.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        let early = self.retry_at.is_some_and(|t| now < t);
        self.is_suspect() && (early || !self.placed.is_empty())
    }
}

/// How a class's run times compare with its estimates.
#[derive(Clone, Copy, Debug, Default)]
pub struct RuntimeRatio {
    pub actual: f64,
    pub estimated: f64,
}

impl RuntimeRatio {
    /// Older experience fades, and little experience counts little.
    pub fn factor(&self) -> f64 {
        const PRIOR_S: f64 = 60.0;
        ((self.actual + PRIOR_S) / (self.estimated + PRIOR_S)).clamp(0.2, 5.0)
    }

    pub fn note(&mut self, actual: f64, estimated: f64) {
        const FADE: f64 = 0.98;
        self.actual = self.actual * FADE + actual;
        self.estimated = self.estimated * FADE + estimated;
    }
}

/// Jobs submitted this short a while ago tell a new leader how often they come.
const RECENT: Duration = Duration::from_secs(30);

/// How often jobs arrive; older experience fades.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalRate {
    at: Instant,
    seconds: f64,
    jobs: f64,
}

impl ArrivalRate {
    /// What a new leader expects: as many as came in the last half minute and are not over yet,
    /// and one in two minutes beside them. Without those, each takeover would keep idle machines
    /// as if hardly any job came.
    pub fn new<'a>(now: Now, jobs: impl Iterator<Item = &'a JobRecord>) -> ArrivalRate {
        let young = |j: &&JobRecord| {
            let age = now.wall.duration_since(j.submitted).unwrap_or_default();
            age < RECENT
        };
        ArrivalRate {
            at: now.mono,
            seconds: RECENT.as_secs_f64() * 2.0,
            jobs: jobs.filter(young).count() as f64 * 2.0 + 0.5,
        }
    }

    pub fn note(&mut self, now: Instant, jobs: u32) {
        const FADE_S: f64 = 180.0;
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        let kept = (-passed / FADE_S).exp();
        self.at = now;
        self.seconds = self.seconds * kept + passed;
        self.jobs = self.jobs * kept + f64::from(jobs);
    }

    /// Mean time between two jobs, in seconds.
    pub fn pause(&self) -> f64 {
        self.seconds / self.jobs.max(1e-3)
    }
}

/// How urgent a job is, in itself or for the sake of those that need it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Urgency {
    pub priority: Priority,
    /// When it should be done, so that all after it can be done by their deadlines.
    pub due: Option<SystemTime>,
    /// Others need it.
    pub needed: bool,
}

impl Urgency {
    pub fn own(job: &JobRecord) -> Urgency {
        Urgency {
            priority: job.spec.priority,
            due: job.spec.deadline.map(|d| job.submitted + d),
            needed: false,
        }
    }
}
