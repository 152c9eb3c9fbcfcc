//! Snapshots for `plan` and `fleet`, and their decisions carried out.

pub mod bidding;
pub mod bidding_state;

use crate::core::jobs::job_run::{JobRun, RuntimeRatio, Urgency};
use crate::core::leadership::state::{DeferredResponses as Waiters, LeaderState};
use crate::core::machines::machine::{Machine, Phase, Placement, StopReason};
use crate::core::store::cache::JobRecord;
use crate::core::workers::delegation::PendingBatch;
use crate::core::{Core, Work};
use crate::fault_injection::{Safeguard, is_enabled};
use crate::job::{JobId, JobKind, MachineId, Priority, Resources, TaskId};
use crate::planning::autoscaler;
use crate::planning::backfill::{self, QueuedJob, TeamUsage};
use crate::planning::capacity_forecast::{BootingNodes, PendingDemand};
use crate::planning::cluster_snapshot::{
    ClusterSnapshot, Node, NodeUsage, Offer, RunningTask, image_tag,
};
use crate::policy::{Entry, JobFacts, MachineFacts};
use crate::settings::Team;
use burlusher_market::ZoneBalance;
use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime};

/// Steps are this far apart at least, so that a flood of small changes is planned together.
const PLAN_PAUSE: Duration = Duration::from_millis(60);
/// Without any change, waiting still changes what is best.
const PLAN_INTERVAL: Duration = Duration::from_millis(1000);
/// Machines that a new leader has not heard for so long hold nobody up any more.
const RECOVERY: Duration = Duration::from_secs(8);
const SCALING_INTERVAL: Duration = Duration::from_millis(1000);

/// A policy's `dearest` from here on allows machines of any price.
const ANY_PRICE: f64 = 100.0;

/// The slack of a job that nobody set a deadline for.
const NO_DEADLINE_S: f64 = 1e6;

/// A job in the queue.
pub(in crate::core) struct QueueEntry<'a> {
    id: &'a JobId,
    job: &'a JobRecord,
    run: &'a JobRun,
    team: usize,
    pub estimate: Duration,
    pub facts: JobFacts,
    /// Its own, or that of a job that needs it.
    rank: Priority,
    /// It was passed for too long, and comes first with one task.
    overdue: bool,
    order: f64,
}

pub(in crate::core) struct View<'a> {
    now: Instant,
    leader: &'a LeaderState,
    jobs: &'a BTreeMap<JobId, JobRecord>,
    core: &'a Core,
}

impl View<'_> {
    fn estimate(&self, job: &JobRecord) -> Duration {
        let factor = self
            .leader
            .scheduler
            .runtime_ratios
            .get(&job.spec.class)
            .map_or(1.0, RuntimeRatio::factor);
        job.spec.estimate.mul_f64(factor)
    }

    /// Expected time to a task's end; `None` for services and overruns.
    fn ends_in(&self, m: &Machine, key: &TaskId, t: &Placement) -> Option<Duration> {
        if t.stopping.is_some() {
            return Some(Duration::from_secs(1));
        }
        let job = self.jobs.get(&key.job)?;
        if job.spec.estimate.is_zero() {
            return None;
        }
        let estimate = self.estimate(job);
        match t.running_since {
            Some(s) => estimate.checked_sub(self.now.saturating_duration_since(s)),
            None => {
                let rate = self
                    .core
                    .type_of(&m.machine_type)
                    .map_or(1.0, |x| x.fetch_gb_per_s);
                let fetch = Duration::from_secs_f64(job.spec.image_gb / rate.max(0.01));
                let waited = self.now.saturating_duration_since(t.since);
                Some(estimate + fetch.saturating_sub(waited))
            }
        }
    }
}

impl Core {
    pub(in crate::core) fn note_run_time(
        &mut self,
        id: &MachineId,
        key: &TaskId,
        ran: Option<Duration>,
    ) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let (Some(job), Some(ran)) = (self.store_cache.jobs.get(&key.job), ran) else {
            return;
        };
        let estimate = job.spec.estimate.as_secs_f64();
        if estimate <= 0.0 {
            return;
        }
        let pace = leader
            .scheduler
            .runtime_ratios
            .entry(job.spec.class.clone())
            .or_default();
        pace.note(ran.as_secs_f64(), estimate);
        let Some(run) = leader.job_runs.get_mut(&key.job) else {
            return;
        };
        // Tasks of one job differ among themselves, so a machine is compared with its peers only
        // by the average of many.
        let log = ran.as_secs_f64().max(0.1).ln();
        let baseline = (run.log_run_times.1 >= 3)
            .then(|| run.log_run_times.0 / f64::from(run.log_run_times.1));
        run.log_run_times.0 += log;
        run.log_run_times.1 += 1;
        if let (Some(m), Some(baseline)) = (leader.machines.get_mut(id), baseline) {
            m.fault_history.slowness.note(log - baseline);
        }
    }

    /// Answers that wait for the next plan, and those of this step that will: what is placed on a
    /// machine that something just ended on then goes into the answer to its report, and takes no call
    /// to it. They wait no longer than plans are apart at least.
    pub(in crate::core) fn defer_responses(&mut self, now_due: &mut Waiters) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let before = std::mem::take(&mut leader.scheduler.deferred_responses);
        // At a takeover all machines are new, and their answers show them the token: no time to lose.
        let planned =
            leader.scheduler.last_plan == Some(self.now.mono) || !leader.scheduler.plan_again;
        if planned || !leader.scheduler.has_pending_demand || leader.recovery.unresolved > 0 {
            now_due.heartbeats.extend(before.heartbeats);
            now_due.batches.extend(before.batches);
            return;
        }
        let machines = &leader.machines;
        let freed = |id: &MachineId| machines.get(id).is_some_and(|m| m.freed);
        let mut held = before;
        (held.heartbeats).extend(now_due.heartbeats.extract_if(.., |(_, id)| freed(id)));
        let some = |w: &mut PendingBatch| w.machines().any(freed);
        held.batches.extend(now_due.batches.extract_if(.., some));
        leader.scheduler.deferred_responses = held;
    }

    /// Until the next plan, if answers wait for it.
    pub(in crate::core) fn until_next_plan(&self) -> Option<Duration> {
        let leader = self.leader.as_ref()?;
        let held = !leader.scheduler.deferred_responses.heartbeats.is_empty()
            || !leader.scheduler.deferred_responses.batches.is_empty();
        let at = leader.scheduler.last_plan? + PLAN_PAUSE;
        held.then(|| at.saturating_duration_since(self.now.mono))
    }

    pub(in crate::core) fn schedule(&mut self) {
        let now = self.now.mono;
        let Some(leader) = &self.leader else { return };
        let since = leader
            .scheduler
            .last_plan
            .map(|t| now.saturating_duration_since(t));
        let due = match since {
            None => true,
            Some(d) => (leader.scheduler.plan_again && d >= PLAN_PAUSE) || d >= PLAN_INTERVAL,
        };
        if due {
            self.stats.work[Work::Plan as usize] += 1;
            self.restart_broken_gangs();
            self.place();
        }
        let Some(leader) = &self.leader else { return };
        if leader
            .scheduler
            .last_scaling
            .is_none_or(|t| now >= t + SCALING_INTERVAL)
        {
            self.scale_machines();
        }
        self.log_summary();
    }

    fn view<'a>(&'a self, leader: &'a LeaderState) -> View<'a> {
        View {
            now: self.now.mono,
            leader,
            jobs: &self.store_cache.jobs,
            core: self,
        }
    }

    /// What every team uses, tasks in doubt and tasks not seen yet included.
    fn team_usage(&self, leader: &LeaderState, snapshot: &ClusterSnapshot) -> Vec<TeamUsage> {
        let teams = &self.settings.teams;
        let of = |(i, t): (usize, &Team)| {
            let held = snapshot.used(i);
            TeamUsage {
                cpus: held.cpus,
                gpus: held.gpus,
                cpus_max: t.cpus_max.filter(|_| is_enabled(Safeguard::Limit)),
                gpus_max: t.gpus_max,
                cpus_own: t.cpus,
                gpus_own: t.gpus,
            }
        };
        let mut used: Vec<TeamUsage> = teams.iter().enumerate().map(of).collect();
        if leader.rebuild.is_some() {
            let held = self.held_resources(leader);
            for team in &mut used {
                team.cpus += held.cpus;
                team.gpus += held.gpus;
            }
        }
        if leader.recovery.unresolved == 0 {
            return used;
        }
        // Old tasks that nobody has shown yet may run on machines that have not reported: no
        // more than those machines hold, and no more than there are.
        let hidden = self.unobserved_resources(leader);
        let mut unseen = vec![Resources::default(); teams.len()];
        for (id, run) in leader.job_runs.iter().filter(|(_, r)| !r.queued.is_empty()) {
            if let Some(job) = self.store_cache.jobs.get(id)
                && job.version < leader.key_version
                && let Some(team) = run.team
                && self.store_cache.ready(id)
            {
                unseen[team].add(&job.spec.resources.times(run.queued.len() as f64));
            }
        }
        // So may tasks of jobs that were cancelled shortly before.
        for left in self
            .store_cache
            .residual_tasks
            .values()
            .filter(|_| is_enabled(Safeguard::Left))
        {
            if let Some(team) = self.settings.team_index(&left.team) {
                unseen[team].add(&left.resources.times(f64::from(left.tasks)));
            }
        }
        for (team, unseen) in used.iter_mut().zip(unseen) {
            team.cpus += unseen.cpus.min(hidden.cpus);
            team.gpus += unseen.gpus.min(hidden.gpus);
        }
        used
    }

    /// What machines hold, or may hold, that the leader has not heard of yet.
    fn unobserved_resources(&self, leader: &LeaderState) -> Resources {
        let mut hidden = Resources::default();
        if leader.recovery.unresolved == 0 {
            return hidden;
        }
        for m in leader.machines.values().filter(|m| m.unresolved) {
            match self.type_of(&m.machine_type) {
                Some(t) => hidden.add(&t.room()),
                None => {
                    let all = f64::INFINITY;
                    return Resources {
                        cpus: all,
                        gpus: all,
                        ram: all,
                    };
                }
            }
        }
        hidden
    }

    /// Finds the jobs that fit into their team's guarantee together with the team's earlier unfinished
    /// ones. That changes only when a job comes, becomes ready or ends.
    fn update_guarantees(&mut self) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        if !std::mem::take(&mut leader.scheduler.guarantees_changed) {
            return;
        }
        let mut jobs: Vec<(SystemTime, &JobId, &JobRecord, &mut JobRun)> = Vec::new();
        for (id, run) in &mut leader.job_runs {
            run.guaranteed = false;
            if let Some(job) = self.store_cache.jobs.get(id)
                && self.store_cache.ready(id)
            {
                jobs.push((job.submitted, id, job, run));
            }
        }
        jobs.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)));
        // What is left of each team's guarantee; nothing, once a job of it does not fit.
        let teams = self.settings.teams.iter();
        let own = |t: &Team| (t.cpus > 0.0 || t.gpus > 0.0).then_some((t.cpus, t.gpus));
        let mut left: Vec<Option<(f64, f64)>> = teams.map(own).collect();
        for (_, _, job, run) in jobs {
            let Some(left) = run.team.and_then(|t| left.get_mut(t)) else {
                continue;
            };
            let needs = job.spec.resources.times(f64::from(job.spec.tasks));
            let rest = left.map(|(cpus, gpus)| (cpus - needs.cpus, gpus - needs.gpus));
            *left = rest.filter(|(cpus, gpus)| *cpus >= -1e-6 && *gpus >= -1e-6);
            run.guaranteed = left.is_some();
        }
    }

    /// The tightest aim of a kind that the users state for a class, in seconds; 0 for none.
    pub(in crate::core) fn objective_threshold(&self, class: &str, kind: &str) -> f64 {
        let objectives = self.settings.objectives.iter();
        objectives
            .filter(|o| o.kind == kind && o.class == class)
            .filter_map(|o| o.threshold)
            .min()
            .map_or(0.0, |d| d.as_secs_f64())
    }

    pub(in crate::core) fn facts(
        &self,
        job: &JobRecord,
        run: &JobRun,
        urgency: &Urgency,
        estimate: Duration,
        guaranteed: bool,
    ) -> JobFacts {
        // Of a job that awaits others, all times but the deadline count from the moment when it
        // could start.
        let since = run.ready.map_or(job.submitted, |r| r.wall);
        let wait = self.now.wall.duration_since(since).unwrap_or_default();
        let wall = |t: SystemTime| {
            let since = t.duration_since(SystemTime::UNIX_EPOCH);
            since.unwrap_or_default().as_secs_f64()
        };
        let deadline_left = urgency.due.map(|d| wall(d) - wall(self.now.wall));
        let goal = |kind: &str| self.objective_threshold(&job.spec.class, kind);
        let spec = &job.spec;
        JobFacts {
            wait: wait.as_secs_f64(),
            estimate: estimate.as_secs_f64(),
            tasks: f64::from(spec.tasks),
            waiting: run.queued.len() as f64,
            submitted: wall(since),
            cpus: spec.resources.cpus,
            gpus: spec.resources.gpus,
            ram: spec.resources.ram,
            image_gb: spec.image_gb,
            rank: match urgency.priority {
                Priority::Production => 0.0,
                Priority::High => 1.0,
                Priority::Normal => 2.0,
                Priority::Low => 3.0,
            },
            guaranteed,
            start_goal: goal("wait"),
            finish_goal: goal("finished"),
            has_deadline: deadline_left.is_some(),
            deadline_left: deadline_left.unwrap_or(0.0),
            spot: spec.spot,
            slack: deadline_left.map_or(NO_DEADLINE_S, |d| d - estimate.as_secs_f64()),
            pipeline: urgency.needed || !spec.dependencies.is_empty(),
            begun: job.done.len() > 0 || !run.placed.is_empty(),
        }
    }

    /// Whether the job's unseen tasks may run somewhere that has not reported yet.
    pub(in crate::core) fn blocked_by_recovery(leader: &LeaderState, job: &JobRecord) -> bool {
        leader.recovery.unresolved > 0
            && job.version < leader.key_version
            && is_enabled(Safeguard::Unseen)
    }

    /// Jobs with waiting tasks that may be started, in the queue's order: within the guarantee
    /// first, then by rank, then by the policy.
    fn job_queue<'a>(&'a self, view: &View<'a>, with_held: bool) -> Vec<QueueEntry<'a>> {
        let leader = view.leader;
        let mut line = Vec::new();
        for (id, run) in &leader.job_runs {
            let Some(job) = view.jobs.get(id) else {
                continue;
            };
            let held = Self::blocked_by_recovery(leader, job) && !with_held;
            if run.ending.is_some() || run.queued.is_empty() || held || !self.store_cache.ready(id)
            {
                continue;
            }
            let Some(team) = run.team else {
                continue;
            };
            let estimate = view.estimate(job);
            let urgency = leader.urgency_of(id, job);
            let facts = self.facts(job, run, &urgency, estimate, run.guaranteed);
            // What was tried and failed was not passed.
            let overdue = run.failures.is_empty()
                && self.policy.truth(Entry::Overdue, &facts)
                && is_enabled(Safeguard::Overdue);
            // Among those that were passed for too long, the one that has waited longest.
            let longest_first = overdue && is_enabled(Safeguard::Longest);
            let order = if longest_first {
                facts.submitted
            } else {
                self.policy.number(Entry::QueueOrder, &facts)
            };
            line.push(QueueEntry {
                overdue,
                rank: urgency.priority,
                id,
                job,
                run,
                team,
                estimate,
                facts,
                order,
            });
        }
        line.sort_by(|a, b| {
            // A suspect job is never the head for which room is kept. Where more of a high rank waits for too long
            // than there is room for, what is overdue of a low one would be passed for ever by rank.
            let precedence = |x: &QueueEntry| {
                let by_rank = !x.overdue || !is_enabled(Safeguard::Longest);
                let rank = by_rank.then_some((!x.facts.guaranteed, x.rank));
                (x.run.is_suspect(), !x.overdue, rank)
            };
            precedence(a)
                .cmp(&precedence(b))
                .then(a.order.total_cmp(&b.order))
                .then(a.id.cmp(b.id))
        });
        line
    }

    /// Puts what changed about machines on the board.
    pub(in crate::core) fn refresh_snapshot(&mut self) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        let changed = leader.machines.take_changed();
        leader.revoke_changed(&changed);
        let mut snapshot = std::mem::take(&mut leader.cluster_snapshot);
        let mut opened = Vec::with_capacity(changed.len());
        if let Some(leader) = &self.leader {
            let view = self.view(leader);
            for id in changed {
                let m = leader.machines.get(&id);
                match m.and_then(|m| self.node(&mut snapshot, &view, m)) {
                    Some(node) => {
                        opened.push((id, node.usage == NodeUsage::Open));
                        snapshot.put(node);
                    }
                    None => snapshot.remove(&id),
                }
            }
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        for (id, open) in opened {
            leader.machines.set_schedulable(&id, open);
        }
        leader.cluster_snapshot = snapshot;
    }

    /// A machine as the board shows it; `None` while its type is unknown.
    fn node(&self, snapshot: &mut ClusterSnapshot, view: &View, m: &Machine) -> Option<Node> {
        let now = self.now.mono;
        let t = self.type_of(&m.machine_type)?;
        let offer = (m.machine_type.clone(), m.zone.clone(), m.spot);
        let mut free = t.room();
        for task in m.tasks.values() {
            free.sub(&task.resources);
        }
        let unresolved = m.unresolved;
        let usage = if view
            .leader
            .accepts_tasks(m, now, self.settings.heartbeat_interval)
        {
            NodeUsage::Open
        } else if m.deleting.is_some() || m.reclaim_at.is_some() || m.lease_expired {
            NodeUsage::Closed
        } else if (m.incarnation == 0 && !unresolved) || !m.recorded {
            let boot = Duration::from_secs_f64((t.boot_s * 1.1).min(1e6));
            NodeUsage::Booting(m.known_since + boot.saturating_sub(m.age))
        } else {
            NodeUsage::Resting
        };
        let quiet = m.tasks.is_empty()
            && m.incarnation > 0
            && m.call_in_flight.is_none()
            && m.doubtful_until_token.is_none()
            && usage != NodeUsage::Closed
            && !unresolved;
        let tasks = m.tasks.iter().map(|(key, task)| {
            let job = view.jobs.get(&key.job);
            RunningTask {
                key: key.clone(),
                needs: task.resources,
                ends: view.ends_in(m, key, task).map(|d| now + d),
                since: task.running_since,
                checkpoint_in: job
                    .filter(|j| !j.spec.checkpoint_interval.is_zero())
                    .map(|j| j.spec.checkpoint_duration),
                rank: job.map_or(Priority::Low, |j| {
                    view.leader.urgency_of(&key.job, j).priority
                }),
                team: task.team,
                stopping: task.stopping.is_some(),
            }
        });
        Some(Node {
            id: m.id.clone(),
            class: snapshot.class(&offer, t.room(), t.fetch_gb_per_s),
            free,
            usage,
            images: m.images.iter().map(|(i, _)| *i).collect(),
            fetching: usize::from(m.tasks.values().any(|t| !t.runs())),
            distrust_s: m.fault_history.slowness.delay()
                + f64::from(m.fault_history.failures) * 4.0,
            idle_since: quiet.then_some(m.idle_since),
            tasks: tasks.collect(),
        })
    }

    /// The queue as the plan sees it.
    fn queue<'a>(&'a self, view: &View<'a>, snapshot: &ClusterSnapshot) -> Vec<QueuedJob<'a>> {
        let now = self.now.mono;
        let leader = view.leader;
        let mut queue = Vec::new();
        if !self.may_start_tasks(leader) {
            return queue;
        }
        for entry in self.job_queue(view, false) {
            let (job, run) = (entry.job, entry.run);
            let all_or_nothing = job.spec.job_kind == JobKind::Gang;
            let held = |t: &Instant| now < *t;
            // A gang starts whole: not while some of it is still elsewhere or held back.
            if all_or_nothing && (!run.placed.is_empty() || run.backoff_until.values().any(held)) {
                continue;
            }
            // All rows of a job with a mistake, tried again and again, filled machines and queues.
            if run.is_backing_off(now) {
                continue;
            }
            let mut zones = BTreeMap::new();
            if job.spec.one_zone || job.spec.spread {
                // Also where a row only may be.
                let also = run.other_machines.values().flatten();
                let also = also.filter(|_| is_enabled(Safeguard::Zones));
                for machine in run.placed.values().chain(also) {
                    if let Some(m) = leader.machines.get(machine) {
                        *zones.entry(m.zone.clone()).or_insert(0) += 1;
                    }
                }
            }
            let avoid = if run.is_suspect() {
                Vec::new()
            } else {
                let node_indices = run.failures.keys().filter_map(|m| snapshot.node_index(m));
                node_indices.collect()
            };
            queue.push(QueuedJob {
                spec: job.spec.clone(),
                image: image_tag(&job.spec.image),
                team: entry.team,
                rank: entry.rank,
                queued: &run.queued,
                held: &run.backoff_until,
                all_or_nothing,
                single_trial: run.is_suspect()
                    || (entry.overdue && job.spec.job_kind == JobKind::Array),
                estimate: entry.estimate,
                zones,
                avoid,
                guaranteed: entry.facts.guaranteed,
                may_preempt: self.policy.truth(Entry::MayPreempt, &entry.facts),
                priority_weight: self.policy.number(Entry::PriorityWeight, &entry.facts) as f32,
                // What was passed for long takes any room that is there; nothing dear is rented for it.
                quarantined: if entry.overdue {
                    Vec::new()
                } else {
                    self.quarantined(job, &entry.facts)
                },
            });
        }
        queue
    }

    /// What is left of a gang that lost a task is stopped, so that it starts whole again.
    fn restart_broken_gangs(&mut self) {
        let now = self.now.mono;
        if self
            .leader
            .as_ref()
            .is_some_and(|l| !self.may_start_tasks(l))
        {
            return;
        }
        let Some(leader) = &mut self.leader else {
            return;
        };
        for (id, job) in &self.store_cache.jobs {
            if job.spec.job_kind != JobKind::Gang || Self::blocked_by_recovery(leader, job) {
                continue;
            }
            let Some(run) = leader.job_runs.get(id) else {
                continue;
            };
            if run.queued.is_empty() || run.ending.is_some() {
                continue;
            }
            run.stop_assigned(id, &mut leader.machines, StopReason::Regrouped, now);
        }
    }

    fn place(&mut self) {
        let now = self.now.mono;
        self.update_guarantees();
        self.refresh_snapshot();
        let Some(leader) = &mut self.leader else {
            return;
        };
        let mut snapshot = std::mem::take(&mut leader.cluster_snapshot);
        let mut knapsack_tables = std::mem::take(&mut self.knapsack_tables);
        let mut decided = backfill::SchedulingPlan::default();
        let mut jobs = Vec::new();
        if let Some(leader) = &self.leader {
            let mut queue = self.queue(&self.view(leader), &snapshot);
            let mut teams = self.team_usage(leader, &snapshot);
            decided = backfill::plan(
                &mut snapshot,
                &mut queue,
                &mut teams,
                now,
                &mut knapsack_tables,
            );
            jobs = queue.into_iter().map(|w| (w.spec, w.team)).collect();
        }
        self.knapsack_tables = knapsack_tables;
        let Some(leader) = &mut self.leader else {
            return;
        };
        leader.cluster_snapshot = snapshot;
        leader.scheduler.last_plan = Some(now);
        // A step repeats at once while it starts tasks.
        leader.scheduler.plan_again = !decided.starts.is_empty();
        leader.scheduler.has_pending_demand = !jobs.is_empty();
        leader.scheduler.queue_head = decided.head.map(|(j, after)| (jobs[j].0.id.clone(), after));
        let mut gang_attempt = None;
        for s in decided.starts {
            let (spec, team) = &jobs[s.job];
            let id = leader.cluster_snapshot.node(s.node_index).id.clone();
            let (Some(run), Some(m)) = (
                leader.job_runs.get_mut(&spec.id),
                leader.machines.get_mut(&id),
            ) else {
                continue;
            };
            let key = TaskId {
                job: spec.id.clone(),
                index: s.row,
            };
            if m.tasks.contains_key(&key) || !run.queued.remove(&s.row) {
                continue;
            }
            run.backoff_until.remove(&s.row);
            run.placed.insert(s.row, m.id.clone());
            // The tasks of a gang find one another by their attempt.
            if spec.job_kind != JobKind::Gang || gang_attempt != Some(s.job) {
                leader.scheduler.attempts += 1;
                gang_attempt = (spec.job_kind == JobKind::Gang).then_some(s.job);
            }
            // Unique for ever, as terms are: an attempt is never used twice.
            let attempt = (leader.term << 32) | leader.scheduler.attempts;
            tracing::debug!(task = %key, machine = %id, "task {key} attempt {attempt} placed on {id}");
            let t = self.machine_types.iter().find(|t| t.name == m.machine_type);
            let cache = t.map_or(0.0, |t| t.cache_gb);
            m.use_image(image_tag(&spec.image), spec.image_gb, cache);
            m.tasks.insert(
                key,
                Placement {
                    attempt,
                    phase: Phase::Unseen,
                    since: now,
                    running_since: None,
                    stopping: None,
                    resources: spec.resources,
                    team: Some(*team),
                },
            );
            m.needs_push = true;
        }
        for (node_index, key) in decided.stops {
            let id = leader.cluster_snapshot.node(node_index).id.clone();
            if let Some(m) = leader.machines.get_mut(&id)
                && let Some(t) = m.tasks.get_mut(&key)
            {
                tracing::info!(task = %key, machine = %id, "task {key} on {id} makes room");
                t.stop(StopReason::Preempted, now);
                m.needs_push = true;
            }
        }
    }

    fn scale_machines(&mut self) {
        let now = self.now.mono;
        self.update_guarantees();
        self.refresh_snapshot();
        let Some(leader) = &mut self.leader else {
            return;
        };
        leader.scheduler.last_scaling = Some(now);
        leader.scheduler.arrivals.note(now, 0);
        leader.cluster_snapshot.recompute_team_usage();
        let Some(leader) = &self.leader else { return };
        if self.machine_types.is_empty() {
            return;
        }
        let view = self.view(leader);
        let facts = self.fleet_facts(leader);
        let bidding = self.policy.fleet_truth(Entry::Bidding, &facts);
        // A new leader bids when it knows what is there: until then all that runs seems to wait.
        let known = leader.recovery.unresolved == 0
            || now.saturating_duration_since(leader.since) > RECOVERY;
        let mut demand_bids = Vec::new();
        let unmet = self.pending_demand(&view, |entry, unmet| {
            if bidding {
                demand_bids.push(self.demand_bid(entry, unmet.clone()));
            }
        });
        let booting_nodes = self.booting_nodes(leader);
        let mut zones: BTreeMap<&str, (u32, u32)> = BTreeMap::new();
        for m in leader.machines.values().filter(|m| m.incarnation > 0) {
            let z = zones.entry(&m.zone).or_default();
            z.0 += 1;
            // Machines that do not hear what they are told are of no more use than silent ones.
            let fresh = now.saturating_duration_since(m.last_heartbeat)
                < self.settings.heartbeat_interval * 2;
            z.1 += u32::from(fresh && m.unconfirmed_token.is_none());
        }
        let zones = zones.into_iter();
        let unreachable_zones: Vec<String> = zones
            .filter(|(_, (all, up))| up * 2 < *all)
            .map(|(z, _)| z.to_string())
            .collect();
        let Some(leader) = &mut self.leader else {
            return;
        };
        let estimates = &mut leader.scheduler.bidding.estimates;
        estimates.set_closed_zones(&unreachable_zones, "its machines are not heard");
        let market = autoscaler::OfferMarket {
            types: self.machine_types.clone(),
            refused: leader
                .scheduler
                .bidding
                .estimates
                .refused(now)
                .cloned()
                .collect(),
            unreachable_zones,
            spread: ZoneBalance::default(),
        };
        let rents = if bidding && !known {
            Vec::new()
        } else if bidding {
            self.bid(demand_bids, &booting_nodes, market)
        } else {
            autoscaler::rent(
                &leader.cluster_snapshot,
                &booting_nodes,
                &unmet,
                &market,
                now,
            )
        };
        let Some(leader) = &self.leader else { return };
        // A new leader first learns what there is.
        let settled = leader.recovery.unresolved == 0
            && now.saturating_duration_since(leader.since) > self.settings.heartbeat_interval * 2;
        let returns = if settled {
            autoscaler::scale_in(&leader.cluster_snapshot, &unmet, now, |id| {
                self.idle_keep(leader, id)
            })
        } else {
            Vec::new()
        };
        let may_rent = leader.cloud.list_requested.is_some() && !leader.cloud.list_in_flight
            || now.saturating_duration_since(leader.since) > Duration::from_secs(3);
        if may_rent && leader.cloud.scale_outs.len() < 8 {
            for r in rents {
                self.rent(r.offer, r.count);
            }
        }
        for id in returns {
            self.release_machine(&id, "it is idle");
        }
    }

    /// One line on how things stand, for the log.
    fn log_summary(&mut self) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        if leader
            .scheduler
            .last_status_log
            .is_some_and(|t| now < t + Duration::from_secs(10))
        {
            return;
        }
        leader.scheduler.last_status_log = Some(now);
        let count =
            |f: &dyn Fn(&Machine) -> bool| leader.machines.values().filter(|m| f(m)).count();
        let tasks = |f: &dyn Fn(&Placement) -> bool| {
            leader
                .machines
                .values()
                .flat_map(|m| m.tasks.values())
                .filter(|t| f(t))
                .count()
        };
        let mut held = Resources::default();
        let mut total = Resources::default();
        for m in leader.machines.values().filter(|m| m.incarnation > 0) {
            for t in m.tasks.values() {
                held.add(&t.resources);
            }
            if let Some(t) = self.machine_types.iter().find(|t| t.name == m.machine_type) {
                total.add(&t.room());
            }
        }
        let waiting: usize = leader.job_runs.values().map(|r| r.queued.len()).sum();
        tracing::info!(
            "standing: machines {} up ({} spot, {} idle) {} booting; cpus {:.0} of {:.0}; tasks {} running {} starting {waiting} waiting; jobs {}",
            count(&|m| m.incarnation > 0),
            count(&|m| m.incarnation > 0 && m.spot),
            count(&|m| m.incarnation > 0 && m.tasks.is_empty()),
            count(&|m| m.incarnation == 0),
            held.cpus,
            total.cpus,
            tasks(&|t| t.runs()),
            tasks(&|t| !t.runs()),
            leader.job_runs.len(),
        );
    }

    fn idle_keep(&self, leader: &LeaderState, id: &MachineId) -> Duration {
        let Some(m) = leader.machines.get(id) else {
            return Duration::ZERO;
        };
        let t = self.type_of(&m.machine_type);
        let age = m.age + self.now.mono.saturating_duration_since(m.known_since);
        let price = t.map_or(0.0, |t| {
            if m.spot {
                t.spot_price.unwrap_or(t.price)
            } else {
                t.price
            }
        });
        let facts = MachineFacts {
            spot: m.spot,
            price,
            cpus: t.map_or(0.0, |t| t.cpus),
            ram: t.map_or(0.0, |t| t.ram),
            age: age.as_secs_f64(),
            boot: t.map_or(0.0, |t| t.boot_s),
            pause: leader.scheduler.arrivals.pause(),
        };
        let s = self.policy.machine_number(Entry::IdleTimeout, &facts);
        Duration::from_secs_f64(s.clamp(0.0, 1e7))
    }

    /// Machines that were asked for and not named yet.
    fn booting_nodes(&self, leader: &LeaderState) -> Vec<BootingNodes> {
        let rents = leader.cloud.scale_outs.values();
        let booting_nodes = rents.filter_map(|op| {
            let t = self.type_of(&op.body.machine_type)?;
            Some(BootingNodes {
                offer: (
                    op.body.machine_type.clone(),
                    op.body.zone.clone(),
                    op.body.spot,
                ),
                room: t.room(),
                count: op.body.count,
                ready_in: Duration::from_secs_f64(t.boot_s.min(1e6)),
            })
        });
        booting_nodes.collect()
    }

    /// Offers that are too dear for a job. Work on idle time is not worth machines that cost a
    /// multiple of others, neither renting them nor keeping them from being returned.
    fn quarantined(&self, job: &JobRecord, facts: &JobFacts) -> Vec<Offer> {
        let times = self.policy.number(Entry::MaxPriceRatio, facts);
        if times >= ANY_PRICE {
            return Vec::new();
        }
        autoscaler::overpriced_offers(&self.machine_types, &job.spec, times.max(1.0))
    }

    /// What waits for room, in the queue's order, within the teams' limits.
    fn pending_demand(
        &self,
        view: &View,
        mut on_start: impl FnMut(&QueueEntry, &PendingDemand),
    ) -> Vec<PendingDemand> {
        let leader = view.leader;
        let teams = self.team_usage(leader, &leader.cluster_snapshot);
        let mut spare: Vec<f64> = teams
            .iter()
            .map(|t| t.cpus_max.map_or(f64::INFINITY, |m| m - t.cpus))
            .collect();
        let fastest = self
            .machine_types
            .iter()
            .map(|t| t.boot_s)
            .fold(f64::INFINITY, f64::min);
        let mut out = Vec::new();
        // Machines that a new leader has not heard of yet may be running what it does not see;
        // what they cannot hold waits for certain, and renting for it need not wait.
        let mut hidden = self.unobserved_resources(leader);
        for entry in self.job_queue(view, true) {
            if entry.run.is_suspect() {
                continue;
            }
            let spec = &entry.job.spec;
            let mut tasks = entry.run.queued.len() as u32;
            if Self::blocked_by_recovery(leader, entry.job) {
                let there = spec.resources.count_in(&hidden).min(tasks);
                hidden.sub(&spec.resources.times(f64::from(there)));
                tasks -= there;
            }
            if spec.resources.cpus > 0.0 {
                let spare = &mut spare[entry.team];
                let most = ((*spare + 1e-6) / spec.resources.cpus).floor().max(0.0);
                tasks = tasks.min(most.min(1e6) as u32);
                *spare -= f64::from(tasks) * spec.resources.cpus;
            }
            // A wait much shorter than a boot cannot be helped by renting.
            let patience = |which| {
                let s = self.policy.number(which, &entry.facts);
                Duration::from_secs_f64(s.max(fastest * 0.6).clamp(0.0, 1e6))
            };
            if tasks > 0 {
                let unmet = PendingDemand {
                    spec: spec.clone(),
                    rank: entry.rank,
                    tasks,
                    estimate: match spec.job_kind {
                        // Nothing of these gives its room to another of them.
                        JobKind::Service | JobKind::Gang => Duration::MAX / 4,
                        JobKind::Array => entry.estimate,
                    },
                    patience: patience(Entry::MaxWait),
                    spot_patience: patience(Entry::MaxSpotWait),
                    quarantined: self.quarantined(entry.job, &entry.facts),
                };
                on_start(&entry, &unmet);
                out.push(unmet);
            }
        }
        out
    }

    /// Offers refused a short while ago, for the status view.
    pub(in crate::core) fn refused_offers(&self) -> Vec<Offer> {
        let now = self.now.mono;
        self.leader.as_ref().map_or(Vec::new(), |l| {
            l.scheduler
                .bidding
                .estimates
                .refused(now)
                .cloned()
                .collect()
        })
    }
}
