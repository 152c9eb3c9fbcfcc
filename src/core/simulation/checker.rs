//! The invariants that are checked at every tick and at every response.

use super::cluster::{Node, Simulation};
use super::network::Link;
use super::worker::Worker;
use crate::core::store::keys::job_key;
use crate::fault_injection::{Safeguard, is_enabled};
use crate::http::Response;
use crate::job::{JobKind, JobSpec, MachineId, TaskId};
use crate::wire::{JobState, JobStatus, TaskState};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Responses that users received and the history of the run, as far as the invariants depend on them.
pub struct Checker {
    /// Leadership in each term: the controller, the nonce of its process, and the number of the
    /// leadership within that process.
    pub(super) leaderships: BTreeMap<u64, (usize, u64, u64)>,
    /// Submitted jobs, each with the specification of its first submission.
    pub(super) specs: BTreeMap<String, JobSpec>,
    /// Final states that users received in responses, and when they first received them.
    pub(super) reported_final_states: BTreeMap<String, (JobState, Instant)>,
    /// Jobs that a response to some user has shown as accepted.
    pub(super) acknowledged_jobs: BTreeSet<String>,
    /// Controllers whose cached copy holds everything that the store held when it lost data; `None`
    /// while the store lacks nothing.
    pub(super) complete_caches: Option<BTreeSet<usize>>,
    /// Keys of the jobs that the store held when it lost data, and whether the jobs had ended.
    pub(super) jobs_to_restore: BTreeMap<String, bool>,
    /// Controllers that have not been killed since the last data loss of the store.
    pub survivors: BTreeSet<usize>,
    /// Machines whose record the store has lost. If no controller has them cached either, their tasks
    /// may be started a second time, and nothing can prevent it: a machine list from the cloud comes
    /// too late to name them all.
    pub(super) machines_with_lost_record: BTreeSet<MachineId>,
    /// All controllers that had the lost data cached have been killed: earlier responses may be
    /// contradicted.
    pub data_lost_for_good: bool,
    /// Jobs that users asked to cancel.
    pub(super) cancellation_requests: BTreeSet<String>,
    /// When users first received the response that a job is cancelled.
    pub cancelled_at: BTreeMap<String, Instant>,
    /// Time since which each job has waited although a machine has capacity for it.
    pub(super) starving_since: BTreeMap<String, Instant>,
    /// Time of the last check for starving jobs.
    pub(super) last_starvation_check: Instant,
    /// Tasks that ran to completion.
    pub completed: BTreeSet<TaskId>,
}

impl Checker {
    pub(super) fn new(now: Instant, nodes: usize) -> Checker {
        Checker {
            leaderships: BTreeMap::new(),
            specs: BTreeMap::new(),
            reported_final_states: BTreeMap::new(),
            acknowledged_jobs: BTreeSet::new(),
            complete_caches: None,
            jobs_to_restore: BTreeMap::new(),
            survivors: (0..nodes).collect(),
            machines_with_lost_record: BTreeSet::new(),
            data_lost_for_good: false,
            cancellation_requests: BTreeSet::new(),
            cancelled_at: BTreeMap::new(),
            starving_since: BTreeMap::new(),
            last_starvation_check: now,
            completed: BTreeSet::new(),
        }
    }
}

/// Longest time for which a job may wait while a suitable machine has capacity and no fault is active.
pub(super) const STARVATION_LIMIT: Duration = Duration::from_secs(90);

/// Team that may use no more than `TEAM_LIMIT` CPUs.
pub(super) const LIMITED_TEAM: &str = "t";
pub(super) const TEAM_LIMIT: f64 = 24.0;

/// Unused capacity of a machine.
struct FreeCapacity<'a> {
    worker: &'a Worker,
    cpus: f64,
    ram: f64,
}

/// Used and free capacity of the machines that are up.
#[derive(Default)]
struct Usage<'a> {
    /// Jobs that have an unfinished task on some machine.
    jobs: BTreeSet<&'a str>,
    /// CPUs in use by each team.
    by_team: BTreeMap<&'a str, f64>,
    free: Vec<FreeCapacity<'a>>,
}

/// Checks that a starting task is in a zone that its job allows, given the zones of the job's other
/// tasks.
fn check_zone(key: &TaskId, spec: &JobSpec, zone: &str, sibling_zones: &BTreeMap<TaskId, String>) {
    let others = || {
        sibling_zones
            .iter()
            .filter(|(k, _)| k.job == key.job && *k != key)
    };
    if spec.one_zone {
        let elsewhere = others().find(|(_, z)| *z != zone);
        assert!(
            elsewhere.is_none(),
            "{key} starts in {zone}, apart from {elsewhere:?}"
        );
    }
    let here = others().filter(|(_, z)| *z == zone).count() as u32;
    assert!(
        here < spec.max_tasks_per_zone(),
        "{key} starts in {zone}, where too many tasks of its job are"
    );
}

impl Simulation {
    /// Checks a response against all earlier responses, and records it.
    pub(super) fn check_response(
        &mut self,
        id: &str,
        requested_at: Instant,
        response: Option<&Response>,
    ) -> Option<JobState> {
        let response = response?;
        if response.status == 404 && !self.checker.data_lost_for_good {
            let acknowledged = self.checker.acknowledged_jobs.contains(id);
            assert!(!acknowledged, "{id} was forgotten");
        }
        if !matches!(response.status, 200 | 201) {
            return None;
        }
        let first_response = self.checker.acknowledged_jobs.insert(id.into());
        let body: JobStatus = serde_json::from_slice(&response.body).unwrap();
        let state = body.state;
        let is_final = matches!(state, JobState::Done | JobState::Cancelled);
        self.check_against_reported_state(id, requested_at, state, is_final);
        let first_final = is_final && !self.checker.reported_final_states.contains_key(id);
        if self.query_after_responses && (first_response || first_final) {
            self.query_all_nodes(id);
        }
        if is_final {
            let first = (state, self.now);
            self.checker
                .reported_final_states
                .entry(id.into())
                .or_insert(first);
        } else if let Some(at) = self.dependency_cancelled_at(id) {
            let late = self.now > at + self.setup.cancellation_limit;
            assert!(
                !late,
                "{id} is reported as not ended, but a dependency of it is cancelled"
            );
        }
        match state {
            JobState::Cancelled => self.check_cancelled(id),
            JobState::Done => self.check_done(id),
            _ => {}
        }
        Some(state)
    }

    /// Checks that a response agrees with the final state that was reported for the job. Responses to
    /// concurrent requests arrive in any order, so only two kinds must agree: those to requests sent
    /// after the final state was received, and those that report a final state themselves.
    fn check_against_reported_state(
        &self,
        id: &str,
        requested_at: Instant,
        state: JobState,
        is_final: bool,
    ) {
        if self.checker.data_lost_for_good {
            return;
        }
        if let Some((reported, at)) = self.checker.reported_final_states.get(id)
            && (is_final || requested_at >= *at)
        {
            assert_eq!(
                *reported, state,
                "{id}: said to be in another state than reported before"
            );
        }
    }

    /// Checks that a user asked to cancel a job that is reported cancelled, or one of its dependencies.
    fn check_cancelled(&mut self, id: &str) {
        let first = self.checker.cancelled_at.entry(id.into());
        first.or_insert(self.now);
        let requests = &self.checker.cancellation_requests;
        let asked = self
            .dependency_closure(id)
            .iter()
            .any(|a| requests.contains(a));
        assert!(
            asked,
            "{id} is said to be cancelled, but no user asked to cancel it"
        );
    }

    /// Checks that all tasks of a job that is reported done have run to completion.
    fn check_done(&self, id: &str) {
        let spec = &self.checker.specs[id];
        for index in 0..spec.tasks {
            let job = spec.id.clone();
            let key = TaskId { job, index };
            assert!(self.checker.completed.contains(&key), "{key} is not done");
        }
    }

    /// Checks that a machine on which a task starts is recorded in the store, so that a later leader
    /// knows of it.
    pub(super) fn check_recorded(&self, id: &MachineId) {
        // A store that has lost data may have lost this machine's record too.
        let must_be_recorded = self.checker.complete_caches.is_none()
            && !self.checker.data_lost_for_good
            && !self.checker.machines_with_lost_record.contains(id);
        if must_be_recorded && !self.store.recorded_machines().contains(id) {
            panic!("a task starts on {id}, which is not on record");
        }
    }

    /// Checks a starting task: its job was not confirmed as cancelled longer ago than the cancellation
    /// limit, the dependencies of its job are done, and its zone is one that its job allows.
    pub(super) fn check_start(
        &mut self,
        key: &TaskId,
        zone: &str,
        sibling_zones: &BTreeMap<TaskId, String>,
    ) {
        if let Some(confirmed_at) = self.checker.cancelled_at.get(&*key.job)
            && !self.end_is_lost_for_good(&key.job)
        {
            self.counters.late_starts += 1;
            assert!(
                self.now <= *confirmed_at + self.setup.cancellation_limit,
                "{key} of a cancelled job starts"
            );
        }
        let spec = &self.checker.specs[&*key.job];
        for dependency in &spec.dependencies {
            for index in 0..self.checker.specs[&**dependency].tasks {
                let job = dependency.clone();
                let required = TaskId { job, index };
                let done = self.checker.completed.contains(&required);
                assert!(done, "{key} starts before {required} is done");
            }
        }
        check_zone(key, spec, zone, sibling_zones);
    }

    /// Returns a job and its direct and indirect dependencies.
    pub(super) fn dependency_closure(&self, id: &str) -> BTreeSet<String> {
        let mut found = BTreeSet::new();
        let mut next = vec![id.to_string()];
        while let Some(id) = next.pop() {
            if let Some(spec) = self.checker.specs.get(&id) {
                next.extend(spec.dependencies.iter().map(|a| a.to_string()));
            }
            found.insert(id);
        }
        found
    }

    /// Returns when a user first received the response that this job or one of its dependencies is
    /// cancelled.
    pub(super) fn dependency_cancelled_at(&self, id: &str) -> Option<Instant> {
        let jobs = self.dependency_closure(id);
        jobs.iter()
            .filter(|id| !self.end_is_lost_for_good(id))
            .filter_map(|a| self.checker.cancelled_at.get(a))
            .min()
            .copied()
    }

    /// Returns whether the store has lost the end of this job, and all controllers that had it cached have been killed: no
    /// process knows that the job has ended.
    fn end_is_lost_for_good(&self, id: &str) -> bool {
        let key = job_key(id);
        let had_ended = self.checker.jobs_to_restore.get(&key) == Some(&true);
        let stored = self.store.keys.get(&key);
        let has_ended = stored.is_some_and(|entry| entry.value.get("end").is_some());
        self.checker.data_lost_for_good && had_ended && !has_ended
    }

    /// Returns whether the store has no marker of a rebuild, and a leader exists that knows of no data
    /// loss.
    pub fn is_store_complete(&self) -> bool {
        let rebuilding = self.store.keys.contains_key("burlusher/rebuilding");
        let leader = self.leader().map(|n| &self.nodes[n].core);
        !rebuilding && leader.is_some_and(|c| !c.store_is_incomplete())
    }

    /// Checks that no two leaderships share a term. When one begins, delivers the heartbeats that were
    /// kept to be replayed at that moment.
    pub(super) fn check_terms(&mut self) {
        let mut new_leadership = false;
        for (i, node) in self.nodes.iter().enumerate().filter(|(_, n)| n.up) {
            let Some(lead) = &node.core.leader else {
                continue;
            };
            let leadership = (i, node.core.nonce, node.core.candidacy.leaderships());
            let recorded = self.checker.leaderships.get(&lead.term);
            new_leadership |= recorded.is_none();
            let other = recorded.filter(|k| **k != leadership);
            assert!(
                other.is_none(),
                "two leaderships have term {}: {other:?} and {leadership:?}",
                lead.term
            );
            self.checker.leaderships.insert(lead.term, leadership);
        }
        if new_leadership {
            self.replay_heartbeats();
        }
    }

    /// Ends the tracking of a data loss once the store holds all lost jobs again: the cached copies of
    /// the controllers are no longer needed then.
    pub(super) fn update_restored_jobs(&mut self) {
        if self.checker.complete_caches.is_none() {
            return;
        }
        let restored = |(key, ended): (&String, &bool)| {
            let stored = self.store.keys.get(key);
            stored.is_some_and(|e| !ended || e.value.get("end").is_some())
        };
        if self.checker.jobs_to_restore.iter().all(restored) {
            self.checker.complete_caches = None;
            self.checker.jobs_to_restore.clear();
        }
    }

    /// Returns whether an injected fault is active, the store is incomplete, or no controller leads. Jobs
    /// are not checked for starvation meanwhile.
    pub(super) fn has_active_faults(&self) -> bool {
        let is_node_faulty = |n: &Node| {
            !n.up || n.paused || n.store_link != Link::Good || !n.peers_reachable || n.watch_delayed
        };
        let is_worker_faulty = |m: &Worker| {
            m.hung
                || m.inbound_partitioned
                || m.outbound_partitioned
                || m.failing
                || !m.partitioned_from.is_empty()
        };
        self.faults.store_outage
            || self.faults.cloud_down
            || !self.faults.store_delay.is_zero()
            || self.faults.hold_commands
            || self.faults.late_write_share > 0.0
            || self.faults.lost_response_share > 0.0
            || self.faults.late_command_share > 0.0
            || self.faults.replayed_heartbeat_share > 0.0
            || !self.faults.duplicate_delay.is_zero()
            || !self.is_store_complete()
            || self.nodes.iter().any(is_node_faulty)
            || self.workers.values().any(is_worker_faulty)
    }

    /// Checks that, without active faults, no job waits for long while a suitable machine has capacity
    /// and the job's team is under its limit.
    pub(super) fn check_starvation(&mut self) {
        if self.now < self.checker.last_starvation_check + Duration::from_secs(1) {
            return;
        }
        self.checker.last_starvation_check = self.now;
        if self.checker.data_lost_for_good || self.has_active_faults() {
            return self.checker.starving_since.clear();
        }
        let startable = self.jobs_that_could_start();
        let now = self.now;
        let starving = &mut self.checker.starving_since;
        starving.retain(|id, _| startable.contains(id));
        for id in startable {
            let since = *starving.entry(id.clone()).or_insert(now);
            assert!(
                now < since + STARVATION_LIMIT,
                "{id} waits for 90 s while a machine has capacity for it"
            );
        }
    }

    /// Returns the jobs that have no task on any machine and for which a machine has capacity now.
    fn jobs_that_could_start(&self) -> BTreeSet<String> {
        let usage = self.usage();
        let jobs = self.checker.acknowledged_jobs.iter();
        jobs.filter(|id| self.could_start(id, &usage))
            .cloned()
            .collect()
    }

    /// Returns whether a job is waiting and a machine has capacity for one of its tasks. Gangs are left
    /// out: they need capacity for all of their tasks at once.
    fn could_start(&self, id: &str, usage: &Usage) -> bool {
        let Some(spec) = self.checker.specs.get(id) else {
            return false;
        };
        let is_final = |id: &str| self.checker.reported_final_states.contains_key(id);
        let excluded = is_final(id) || self.broken_jobs.contains(id);
        let ready = spec.dependencies.iter().all(|a| is_final(a));
        let used = usage.by_team.get(LIMITED_TEAM).copied().unwrap_or(0.0);
        let within = spec.team != LIMITED_TEAM || used + spec.resources.cpus <= TEAM_LIMIT;
        if excluded
            || usage.jobs.contains(id)
            || !ready
            || !within
            || spec.job_kind == JobKind::Gang
        {
            return false;
        }
        let fits = |free: &FreeCapacity| {
            spec.allows_type(&free.worker.machine_type)
                && spec.allows_zone(&free.worker.zone)
                && (spec.spot || !free.worker.spot)
                && spec.resources.cpus <= free.cpus
                && spec.resources.ram <= free.ram
        };
        !self.all_tasks_completed(id) && usage.free.iter().any(fits)
    }

    /// Returns the used and free capacity of the machines that are up.
    fn usage(&self) -> Usage<'_> {
        let mut usage = Usage::default();
        for worker in self.workers.values().filter(|m| m.up_at <= self.now) {
            let Some(kind) = self
                .machine_types
                .iter()
                .find(|t| t.name == worker.machine_type)
            else {
                continue;
            };
            let (mut cpus, mut ram) = (kind.cpus, kind.ram);
            for (key, _) in (worker.tasks.iter()).filter(|(_, t)| t.state != TaskState::Exited) {
                let spec = &self.checker.specs[&*key.job];
                usage.jobs.insert(&key.job);
                *usage.by_team.entry(&spec.team).or_default() += spec.resources.cpus;
                (cpus, ram) = (cpus - spec.resources.cpus, ram - spec.resources.ram);
            }
            usage.free.push(FreeCapacity { worker, cpus, ram });
        }
        usage
    }

    /// Checks the invariants on leaders, tasks and machines that hold at every tick.
    pub(super) fn check_invariants(&self) {
        let is_acting = |n: &&Node| n.up && !n.paused && n.core.is_active_leader();
        let leaders = self.nodes.iter().filter(is_acting).count();
        let at_most_one = leaders <= 1 || !is_enabled(Safeguard::LeaseValidity);
        assert!(at_most_one, "{leaders} leaders are active at the same time");
        let mut locations: BTreeMap<&TaskId, &MachineId> = BTreeMap::new();
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        for (id, worker) in &self.workers {
            if self.now < worker.up_at {
                continue;
            }
            let mut cpus = 0.0;
            for (key, t) in &worker.tasks {
                let excluded = self.checker.data_lost_for_good
                    && self.checker.machines_with_lost_record.contains(id);
                if t.state == TaskState::Exited || excluded {
                    continue;
                }
                if let Some(other) = locations.insert(key, id) {
                    panic!("{key} is on {other} and on {id}");
                }
                let spec = &self.checker.specs[&*key.job];
                assert!(spec.spot || !worker.spot, "{key} is on a spot machine");
                assert!(
                    spec.allows_zone(&worker.zone),
                    "{key} is in {}",
                    worker.zone
                );
                *used.entry(&spec.team).or_default() += spec.resources.cpus;
                cpus += spec.resources.cpus;
                if let Some(since) = self.dependency_cancelled_at(&key.job) {
                    let limit = since + self.setup.cancellation_limit;
                    assert!(self.now <= limit, "{key} of a cancelled job is on {id}");
                }
            }
            let kind = self
                .machine_types
                .iter()
                .find(|t| t.name == worker.machine_type);
            assert!(
                cpus <= kind.map_or(0.0, |t| t.cpus),
                "{id} runs tasks that need more CPUs than it has"
            );
        }
        let limited_team = used.get(LIMITED_TEAM).copied().unwrap_or(0.0);
        assert!(limited_team <= TEAM_LIMIT, "team t uses {limited_team}");
    }
}
