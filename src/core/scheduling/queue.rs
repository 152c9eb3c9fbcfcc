//! The job queue: the waiting jobs in their order, and the facts that the policy is evaluated with.

use crate::core::Core;
use crate::core::jobs::job_run::{JobRun, Urgency};
use crate::core::leadership::state::LeaderState;
use crate::core::store::cache::JobRecord;
use crate::fault_injection::{Safeguard, is_enabled};
use crate::job::{JobId, JobKind, Priority};
use crate::planning::autoscaler;
use crate::planning::backfill::QueuedJob;
use crate::planning::cluster_snapshot::{ClusterSnapshot, Offer, image_hash};
use crate::policy::{Entry, JobFacts};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime};

/// Price ratio from which on a policy's limit counts as none: the job may use machines of any price.
const ANY_PRICE_RATIO: f64 = 100.0;
/// Slack of a job without a deadline, in seconds.
const NO_DEADLINE_S: f64 = 1e6;

/// Job in the queue.
pub(super) struct QueueEntry<'a> {
    pub id: &'a JobId,
    pub job: &'a JobRecord,
    pub run: &'a JobRun,
    /// Index of the job's team in the settings.
    pub team: usize,
    /// Expected run time of a task.
    pub expected_runtime: Duration,
    pub facts: JobFacts,
    /// Priority of the job, or of a more urgent job that depends on it.
    pub priority: Priority,
    /// Whether the job has been passed over for too long. It then comes first, a job array with a single task.
    pub overdue: bool,
    /// Position by the policy among entries of the same precedence; the lowest comes first.
    order: f64,
}

impl QueueEntry<'_> {
    /// Compares two entries by precedence, and then by the policy's order.
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

/// Criteria that determine a job's place in the queue before the policy's order does; the lowest value comes first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Precedence {
    /// Suspect jobs come last, so that no capacity is reserved for one at the head of the queue.
    is_suspect: bool,
    is_not_overdue: bool,
    /// `None` for overdue jobs: otherwise, overdue jobs of low priority would starve while more overdue jobs of high
    /// priority wait than there is capacity for.
    importance: Option<Importance>,
}

/// Order of jobs that are not overdue: jobs within their teams' quotas come first, then those of higher priority.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Importance {
    is_beyond_quota: bool,
    priority: Priority,
}

/// Whether the queue contains jobs that are blocked by recovery: their tasks may be running without having been
/// observed.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum BlockedJobs {
    Included,
    Excluded,
}

impl Core {
    /// Returns the tightest threshold of the users' objectives of this kind for a job class, in seconds; 0 if there is
    /// none.
    pub(super) fn objective_threshold(&self, class: &str, kind: &str) -> f64 {
        let objectives = self.settings.objectives.iter();
        objectives
            .filter(|o| o.kind == kind && o.class == class)
            .filter_map(|o| o.threshold)
            .min()
            .map_or(0.0, |threshold| threshold.as_secs_f64())
    }

    /// Returns the facts that the policy is evaluated with for a job.
    fn job_facts(
        &self,
        job: &JobRecord,
        run: &JobRun,
        urgency: &Urgency,
        expected_runtime: Duration,
    ) -> JobFacts {
        // For a job with dependencies, all times except the deadline count from when its dependencies were done.
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
            pipeline: urgency.has_dependents || !spec.dependencies.is_empty(),
            begun: job.done.len() > 0 || !run.tasks.assigned().is_empty(),
        }
    }

    /// Returns whether the job's queued tasks may be running on machines that have not reported to this leader yet.
    pub(in crate::core) fn blocked_by_recovery(leader: &LeaderState, job: &JobRecord) -> bool {
        !leader.recovery.is_complete()
            && job.version < leader.key_version
            && is_enabled(Safeguard::RecoveryWait)
    }

    /// Returns the jobs with queued tasks that may be started, in the queue's order.
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
            if !has_work || is_blocked || !self.store_cache.dependencies_met(id) {
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
        // A job whose tasks were started and failed was not passed over.
        let overdue = run.failures.is_empty()
            && self.policy.boolean(Entry::Overdue, &facts)
            && is_enabled(Safeguard::OverdueFirst);
        // Among overdue jobs, the one that has waited longest comes first.
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

    /// Returns the part of the queue that may be started now, as input of the scheduling plan.
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
            image: image_hash(&job.spec.image),
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
            may_preempt: self.policy.boolean(Entry::MayPreempt, &entry.facts),
            priority_weight: self.policy.number(Entry::PriorityWeight, &entry.facts) as f32,
            // An overdue job may use any existing machine. Scaling still adds no expensive machines for it.
            excluded_offers: if entry.overdue {
                Vec::new()
            } else {
                self.excluded_offers(job, &entry.facts)
            },
        }
    }

    /// Returns the offers that are too expensive for a job. Low-priority work that fills idle capacity does not justify
    /// machines that cost a multiple of others: they are neither added nor kept for it.
    pub(super) fn excluded_offers(&self, job: &JobRecord, facts: &JobFacts) -> Vec<Offer> {
        let max_ratio = self.policy.number(Entry::MaxPriceRatio, facts);
        if max_ratio >= ANY_PRICE_RATIO {
            return Vec::new();
        }
        autoscaler::overpriced_offers(&self.machine_types, &job.spec, max_ratio.max(1.0))
    }
}

/// Returns whether any task of a queued job may be started now.
fn is_startable(entry: &QueueEntry, now: Instant) -> bool {
    let run = entry.run;
    let is_backing_off = |until: &Instant| now < *until;
    // A gang starts as a whole: not while any of its tasks is still on a machine or backing off.
    let is_gang = entry.job.spec.job_kind == JobKind::Gang;
    if is_gang
        && (!run.tasks.assigned().is_empty() || run.backoff_until.values().any(is_backing_off))
    {
        return false;
    }
    // Without the back-off, retries of all tasks of a faulty job filled machines and queues.
    !run.is_backing_off(now)
}

/// Returns the number of a job's tasks in each zone, if the job's placement is constrained by zones.
fn tasks_per_zone(leader: &LeaderState, job: &JobRecord, run: &JobRun) -> BTreeMap<String, u32> {
    let mut tasks = BTreeMap::new();
    if !job.spec.one_zone && !job.spec.spread {
        return tasks;
    }
    // Machines on which a task only may be running count as well.
    let possible = run.tasks.other_machines().map(|(_, machine)| machine);
    let possible = possible.filter(|_| is_enabled(Safeguard::PossibleTaskZones));
    for machine in run.tasks.assigned().values().chain(possible) {
        if let Some(machine) = leader.machines.get(machine) {
            *tasks.entry(machine.zone.clone()).or_insert(0) += 1;
        }
    }
    tasks
}

/// Returns the nodes on which tasks of a job have failed; none for a suspect job, as its failures are taken to be its
/// own fault.
fn avoided_nodes(snapshot: &ClusterSnapshot, run: &JobRun) -> Vec<usize> {
    if run.is_suspect() {
        return Vec::new();
    }
    let machines = run.failures.keys();
    machines
        .filter_map(|machine| snapshot.node_index(machine))
        .collect()
}
