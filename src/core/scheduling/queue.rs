//! The job queue: which jobs wait, in which order, and what the policy is evaluated with.

use crate::core::Core;
use crate::core::jobs::job_run::{JobRun, Urgency};

use crate::core::leadership::state::LeaderState;
use crate::core::store::cache::JobRecord;
use crate::fault_injection::{Safeguard, is_enabled};
use crate::job::{JobId, JobKind, Priority};
use crate::planning::autoscaler;
use crate::planning::backfill::QueuedJob;
use crate::planning::cluster_snapshot::{ClusterSnapshot, Offer, image_tag};
use crate::policy::{Entry, JobFacts};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime};

/// A policy that lets a job pay so many times the lowest price allows machines of any price.
const ANY_PRICE_RATIO: f64 = 100.0;
/// The slack of a job without a deadline.
const NO_DEADLINE_S: f64 = 1e6;

/// A job in the queue.
pub(super) struct QueueEntry<'a> {
    pub id: &'a JobId,
    pub job: &'a JobRecord,
    pub run: &'a JobRun,
    /// Its team, by its index in the settings.
    pub team: usize,
    /// Expected run time of a task.
    pub expected_runtime: Duration,
    pub facts: JobFacts,
    /// Its own priority, or that of a job that depends on it.
    pub priority: Priority,
    /// It has been passed over for too long, and comes first with one task.
    pub overdue: bool,
    /// The policy's order; the lowest comes first.
    order: f64,
}

impl QueueEntry<'_> {
    /// The order of the queue: by precedence, then by the policy.
    fn compare(&self, other: &Self) -> Ordering {
        self.precedence()
            .cmp(&other.precedence())
            .then(self.order.total_cmp(&other.order))
            .then(self.id.cmp(other.id))
    }

    fn precedence(&self) -> Precedence {
        let ignores_priority = self.overdue && is_enabled(Safeguard::LongestWaitingFirst);
        let importance = Importance {
            is_beyond_quota: !self.facts.guaranteed,
            priority: self.priority,
        };
        Precedence {
            is_suspect: self.run.is_suspect(),
            is_not_overdue: !self.overdue,
            importance: (!ignores_priority).then_some(importance),
        }
    }
}

/// What decides a job's place in the queue before the policy does; the least comes first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Precedence {
    /// A suspect job is never the head for which room is kept.
    is_suspect: bool,
    is_not_overdue: bool,
    /// `None` for overdue jobs: where more of a high priority waits for too long than there is
    /// room for, overdue jobs of a low priority would starve.
    importance: Option<Importance>,
}

/// Jobs within their teams' quotas come first, then those of higher priority.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Importance {
    is_beyond_quota: bool,
    priority: Priority,
}

/// Whether the queue contains jobs whose tasks may still run somewhere unobserved.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum BlockedJobs {
    Included,
    Excluded,
}

impl Core {
    /// The tightest threshold of a kind that the users' objectives state for a class, in seconds;
    /// 0 for none.
    pub(super) fn objective_threshold(&self, class: &str, kind: &str) -> f64 {
        let objectives = self.settings.objectives.iter();
        objectives
            .filter(|o| o.kind == kind && o.class == class)
            .filter_map(|o| o.threshold)
            .min()
            .map_or(0.0, |threshold| threshold.as_secs_f64())
    }

    /// What the policy is evaluated with for a job.
    fn job_facts(
        &self,
        job: &JobRecord,
        run: &JobRun,
        urgency: &Urgency,
        expected_runtime: Duration,
    ) -> JobFacts {
        // Of a job that depends on others, all times but the deadline count from the moment when
        // it could start.
        let since = run.ready.map_or(job.submitted, |ready| ready.wall);
        let wait = self.now.wall.duration_since(since).unwrap_or_default();
        let unix_seconds = |time: SystemTime| {
            let since_epoch = time.duration_since(SystemTime::UNIX_EPOCH);
            since_epoch.unwrap_or_default().as_secs_f64()
        };
        let now_s = unix_seconds(self.now.wall);
        let deadline_left = urgency.due.map(|due| unix_seconds(due) - now_s);
        let runtime_s = expected_runtime.as_secs_f64();
        let spec = &job.spec;
        JobFacts {
            wait: wait.as_secs_f64(),
            estimate: runtime_s,
            tasks: f64::from(spec.tasks),
            waiting: run.tasks.queued().len() as f64,
            submitted: unix_seconds(since),
            cpus: spec.resources.cpus,
            gpus: spec.resources.gpus,
            ram: spec.resources.ram,
            image_gb: spec.image_gb,
            rank: f64::from(urgency.priority.level()),
            guaranteed: run.guaranteed,
            start_goal: self.objective_threshold(&spec.class, "wait"),
            finish_goal: self.objective_threshold(&spec.class, "finished"),
            has_deadline: deadline_left.is_some(),
            deadline_left: deadline_left.unwrap_or(0.0),
            spot: spec.spot,
            slack: deadline_left.map_or(NO_DEADLINE_S, |left| left - runtime_s),
            pipeline: urgency.needed || !spec.dependencies.is_empty(),
            begun: job.done.len() > 0 || !run.tasks.assigned().is_empty(),
        }
    }

    /// Whether the job's queued tasks may run somewhere that has not reported yet.
    pub(in crate::core) fn blocked_by_recovery(leader: &LeaderState, job: &JobRecord) -> bool {
        !leader.recovery.is_complete()
            && job.version < leader.key_version
            && is_enabled(Safeguard::RecoveryWait)
    }

    /// Jobs with queued tasks that may be started, in the queue's order.
    pub(super) fn job_queue<'a>(
        &'a self,
        leader: &'a LeaderState,
        blocked_jobs: BlockedJobs,
    ) -> Vec<QueueEntry<'a>> {
        let mut queue = Vec::new();
        for (id, run) in &leader.job_runs {
            let Some(job) = self.store_cache.jobs.get(id) else {
                continue;
            };
            let excludes_blocked = blocked_jobs == BlockedJobs::Excluded;
            let is_blocked = excludes_blocked && Self::blocked_by_recovery(leader, job);
            let has_work = run.ending.is_none() && !run.tasks.queued().is_empty();
            if !has_work || is_blocked || !self.store_cache.ready(id) {
                continue;
            }
            if let Some(team) = run.team {
                queue.push(self.queue_entry(leader, id, job, run, team));
            }
        }
        queue.sort_by(QueueEntry::compare);
        queue
    }

    fn queue_entry<'a>(
        &'a self,
        leader: &'a LeaderState,
        id: &'a JobId,
        job: &'a JobRecord,
        run: &'a JobRun,
        team: usize,
    ) -> QueueEntry<'a> {
        let expected_runtime = self.expected_runtime(leader, job);
        let urgency = leader.urgency_of(id, job);
        let facts = self.job_facts(job, run, &urgency, expected_runtime);
        // What was tried and failed was not passed over.
        let overdue = run.failures.is_empty()
            && self.policy.truth(Entry::Overdue, &facts)
            && is_enabled(Safeguard::OverdueFirst);
        // Among those that were passed over for too long, the one that has waited longest.
        let longest_first = overdue && is_enabled(Safeguard::LongestWaitingFirst);
        let order = if longest_first {
            facts.submitted
        } else {
            self.policy.number(Entry::QueueOrder, &facts)
        };
        QueueEntry {
            id,
            job,
            run,
            team,
            expected_runtime,
            priority: urgency.priority,
            overdue,
            order,
            facts,
        }
    }

    /// The queue as the scheduling plan sees it: what may be started now.
    pub(super) fn startable_jobs<'a>(
        &'a self,
        leader: &'a LeaderState,
        snapshot: &ClusterSnapshot,
    ) -> Vec<QueuedJob<'a>> {
        if !self.may_start_tasks(leader) {
            return Vec::new();
        }
        let now = self.now.mono;
        let queue = self.job_queue(leader, BlockedJobs::Excluded);
        queue
            .into_iter()
            .filter(|entry| is_startable(entry, now))
            .map(|entry| self.queued_job(leader, snapshot, entry))
            .collect()
    }

    fn queued_job<'a>(
        &'a self,
        leader: &LeaderState,
        snapshot: &ClusterSnapshot,
        entry: QueueEntry<'a>,
    ) -> QueuedJob<'a> {
        let (job, run) = (entry.job, entry.run);
        let is_overdue_array = entry.overdue && job.spec.job_kind == JobKind::Array;
        QueuedJob {
            spec: job.spec.clone(),
            image: image_tag(&job.spec.image),
            team: entry.team,
            priority: entry.priority,
            queued: run.tasks.queued(),
            backoff_until: &run.backoff_until,
            all_or_nothing: job.spec.job_kind == JobKind::Gang,
            single_trial: run.is_suspect() || is_overdue_array,
            expected_runtime: entry.expected_runtime,
            tasks_per_zone: tasks_per_zone(leader, job, run),
            avoided_nodes: avoided_nodes(snapshot, run),
            within_quota: entry.facts.guaranteed,
            may_preempt: self.policy.truth(Entry::MayPreempt, &entry.facts),
            priority_weight: self.policy.number(Entry::PriorityWeight, &entry.facts) as f32,
            // What was passed over for long takes any room that is there; nothing expensive is
            // added for it.
            excluded_offers: if entry.overdue {
                Vec::new()
            } else {
                self.excluded_offers(job, &entry.facts)
            },
        }
    }

    /// Offers that are too expensive for a job. Work on idle time is not worth machines that cost
    /// a multiple of others, neither adding them nor keeping them from being removed.
    pub(super) fn excluded_offers(&self, job: &JobRecord, facts: &JobFacts) -> Vec<Offer> {
        let max_ratio = self.policy.number(Entry::MaxPriceRatio, facts);
        if max_ratio >= ANY_PRICE_RATIO {
            return Vec::new();
        }
        autoscaler::overpriced_offers(&self.machine_types, &job.spec, max_ratio.max(1.0))
    }
}

/// Whether anything of a queued job may be started now.
fn is_startable(entry: &QueueEntry, now: Instant) -> bool {
    let run = entry.run;
    let is_backing_off = |until: &Instant| now < *until;
    // A gang starts as a whole: not while some of it is still elsewhere or held back.
    let is_gang = entry.job.spec.job_kind == JobKind::Gang;
    if is_gang
        && (!run.tasks.assigned().is_empty() || run.backoff_until.values().any(is_backing_off))
    {
        return false;
    }
    // All tasks of a job with a mistake, tried again and again, filled machines and queues.
    !run.is_backing_off(now)
}

/// Where tasks of a job that is bound to zones are.
fn tasks_per_zone(leader: &LeaderState, job: &JobRecord, run: &JobRun) -> BTreeMap<String, u32> {
    let mut tasks = BTreeMap::new();
    if !job.spec.one_zone && !job.spec.spread {
        return tasks;
    }
    // Also where a task only may be.
    let possible = run.tasks.other_machines().map(|(_, machine)| machine);
    let possible = possible.filter(|_| is_enabled(Safeguard::ZoneEligibility));
    for machine in run.tasks.assigned().values().chain(possible) {
        if let Some(machine) = leader.machines.get(machine) {
            *tasks.entry(machine.zone.clone()).or_insert(0) += 1;
        }
    }
    tasks
}

/// Nodes on which tasks of a job have failed; a suspect job has failed everywhere.
fn avoided_nodes(snapshot: &ClusterSnapshot, run: &JobRun) -> Vec<usize> {
    if run.is_suspect() {
        return Vec::new();
    }
    let machines = run.failures.keys();
    machines
        .filter_map(|machine| snapshot.node_index(machine))
        .collect()
}
