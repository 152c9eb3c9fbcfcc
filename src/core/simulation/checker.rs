//! The rules that are checked at every tick and at every answer.

use super::cluster::{Node, Simulation};
use super::network::Link;
use super::worker::Worker;
use crate::guard::{Guard, stands};
use crate::http::Answer;
use crate::job::{JobSpec, Kind, MachineId, TaskKey};
use crate::wire::{JobAnswer, JobState, RowState};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// What users were told and what has happened, as far as the rules depend on it.
pub struct Checker {
    /// Who began a leadership in each term: the controller, its process, and which of its leaderships.
    pub(super) leaderships: BTreeMap<u64, (usize, u64, u64)>,
    /// Jobs that were submitted, as they were submitted first.
    pub(super) specs: BTreeMap<String, JobSpec>,
    /// Final states that users were told, and when first.
    pub(super) final_answers: BTreeMap<String, (JobState, Instant)>,
    /// Jobs that some user was told are accepted.
    pub(super) announced_jobs: BTreeSet<String>,
    /// Controllers that remember all that the store held when it lost data, until it is whole again.
    pub(super) complete_replicas: Option<BTreeSet<usize>>,
    /// Keys of jobs that the store held then, and whether they were over.
    pub(super) jobs_to_restore: BTreeMap<String, bool>,
    /// Controllers that have not ended since the store lost data last.
    pub survivors: BTreeSet<usize>,
    /// Machines whose record the store has lost. If nobody remembers them either, what they hold may be
    /// started once more, whatever is done: a list of the cloud comes too late to tell of all.
    pub(super) machines_with_lost_record: BTreeSet<MachineId>,
    /// All controllers that remembered lost data have ended: what users were told before may be
    /// contradicted.
    pub data_lost_for_good: bool,
    /// Jobs whose users asked to cancel them.
    pub(super) cancellation_requests: BTreeSet<String>,
    /// When users were first told that a job is cancelled.
    pub cancelled_at: BTreeMap<String, Instant>,
    /// Since when jobs wait though a machine has room for them.
    pub(super) starving_since: BTreeMap<String, Instant>,
    /// When jobs that wait were looked for last.
    pub(super) last_starvation_check: Instant,
    /// Tasks that ended with a result.
    pub completed: BTreeSet<TaskKey>,
}

impl Checker {
    pub(super) fn new(now: Instant, nodes: usize) -> Checker {
        Checker {
            leaderships: BTreeMap::new(),
            specs: BTreeMap::new(),
            final_answers: BTreeMap::new(),
            announced_jobs: BTreeSet::new(),
            complete_replicas: None,
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

/// How long a job may wait while a machine that fits has room and no fault is active.
pub(super) const STARVATION_LIMIT: Duration = Duration::from_secs(90);

/// A task that starts is in a zone that its job allows, given the job's other tasks.
pub(super) fn check_zone(
    key: &TaskKey,
    spec: &JobSpec,
    zone: &str,
    beside: &BTreeMap<TaskKey, String>,
) {
    let others = || beside.iter().filter(|(k, _)| k.job == key.job && *k != key);
    if spec.one_zone {
        let elsewhere = others().find(|(_, z)| *z != zone);
        assert!(
            elsewhere.is_none(),
            "{key} starts in {zone}, apart from {elsewhere:?}"
        );
    }
    let here = others().filter(|(_, z)| *z == zone).count() as u32;
    assert!(
        here < spec.zone_cap(),
        "{key} starts in {zone}, as too many of its job do"
    );
}

impl Simulation {
    /// Checks an answer against everything said before.
    pub(super) fn check_answer(
        &mut self,
        id: &str,
        asked: Instant,
        answer: Option<&Answer>,
    ) -> Option<JobState> {
        let a = answer?;
        if a.status == 404 && !self.checker.data_lost_for_good {
            assert!(
                !self.checker.announced_jobs.contains(id),
                "{id} was forgotten"
            );
        }
        if !matches!(a.status, 200 | 201) {
            return None;
        }
        let first_told = self.checker.announced_jobs.insert(id.into());
        let told: JobAnswer = serde_json::from_slice(&a.body).unwrap();
        let final_state = matches!(told.state, JobState::Done | JobState::Cancelled);
        if let Some((before, at)) = self
            .checker
            .final_answers
            .get(id)
            .filter(|_| !self.checker.data_lost_for_good)
        {
            // Two answers to questions asked side by side come in any order. What is asked after its user was
            // told, and what is final, must be the same.
            if final_state || asked >= *at {
                assert_eq!(*before, told.state, "{id}: said to be something else");
            }
        }
        if self.query_after_answers
            && (first_told || final_state && !self.checker.final_answers.contains_key(id))
        {
            self.query_everywhere(id);
        }
        if final_state {
            let first = (told.state, self.now);
            self.checker.final_answers.entry(id.into()).or_insert(first);
        } else if let Some(at) = self.dependency_cancelled_at(id) {
            let late = self.now > at + self.setup.cancel;
            assert!(
                !late,
                "{id} is said to live, though a job that it needs is cancelled"
            );
        }
        if told.state == JobState::Cancelled {
            self.checker
                .cancelled_at
                .entry(id.into())
                .or_insert(self.now);
            let asked = self
                .upstream(id)
                .iter()
                .any(|a| self.checker.cancellation_requests.contains(a));
            assert!(asked, "{id} is said to be cancelled, and nobody asked");
        }
        if told.state == JobState::Done {
            let spec = &self.checker.specs[id];
            for row in 0..spec.tasks {
                let key = TaskKey {
                    job: spec.id.clone(),
                    row,
                };
                assert!(self.checker.completed.contains(&key), "{key} is not done");
            }
        }
        Some(told.state)
    }

    /// A job and all that it needs.
    pub(super) fn upstream(&self, id: &str) -> BTreeSet<String> {
        let mut found = BTreeSet::new();
        let mut next = vec![id.to_string()];
        while let Some(id) = next.pop() {
            if let Some(spec) = self.checker.specs.get(&id) {
                next.extend(spec.awaits.iter().map(|a| a.to_string()));
            }
            found.insert(id);
        }
        found
    }

    /// When the user of a job that this one needs, or its own, was first told that it is cancelled.
    pub(super) fn dependency_cancelled_at(&self, id: &str) -> Option<Instant> {
        let all = self.upstream(id);
        all.iter()
            .filter_map(|a| self.checker.cancelled_at.get(a))
            .min()
            .copied()
    }

    /// The store has an identity and no mark, and who leads it knows of no loss.
    pub fn store_complete(&self) -> bool {
        let marked = self.state.keys.contains_key("burlusher/rebuilding");
        let leader = self.leader().map(|n| &self.nodes[n].core);
        !marked && leader.is_some_and(|c| !c.incomplete())
    }

    /// Every leadership has a term that no other has. At the beginning of one, what was kept for it arrives.
    pub(super) fn check_terms(&mut self) {
        let mut begun = false;
        for (i, node) in self.nodes.iter().enumerate().filter(|(_, n)| n.up) {
            let Some(lead) = &node.core.lead else {
                continue;
            };
            let this = (i, node.core.nonce, node.core.leaderships);
            let known = self.checker.leaderships.get(&lead.term);
            begun |= known.is_none();
            let other = known.filter(|k| **k != this);
            assert!(
                other.is_none(),
                "two leaderships have term {}: {other:?} and {this:?}",
                lead.term
            );
            self.checker.leaderships.insert(lead.term, this);
        }
        if begun {
            for report in std::mem::take(&mut self.network.reports_to_replay) {
                for node in (0..self.nodes.len())
                    .filter(|n| self.nodes[*n].up)
                    .collect::<Vec<_>>()
                {
                    self.counters.reports_replayed += 1;
                    self.deliver(node, report.clone());
                }
            }
        }
    }

    /// Something is not as it should be in quiet times.
    pub(super) fn has_active_faults(&self) -> bool {
        let node = |n: &Node| {
            !n.up || n.paused || n.state != Link::Good || !n.peers_reachable || n.watch_delayed
        };
        let worker = |m: &Worker| {
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
            || self.faults.lost_answer_share > 0.0
            || self.faults.late_command_share > 0.0
            || self.faults.replayed_report_share > 0.0
            || !self.faults.duplicate_delay.is_zero()
            || !self.store_complete()
            || self.nodes.iter().any(node)
            || self.workers.values().any(worker)
    }

    /// In quiet times no job waits for long while a machine that fits has room and its team is under its limit.
    pub(super) fn check_starvation(&mut self) {
        if self.now < self.checker.last_starvation_check + Duration::from_secs(1) {
            return;
        }
        self.checker.last_starvation_check = self.now;
        if self.checker.data_lost_for_good || self.has_active_faults() {
            return self.checker.starving_since.clear();
        }
        let mut there: BTreeSet<&str> = BTreeSet::new();
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        let mut free: Vec<(&Worker, f64, f64)> = Vec::new();
        for worker in self
            .workers
            .values()
            .filter(|worker| worker.up_at <= self.now)
        {
            let Some(kind) = self.types.iter().find(|t| t.name == worker.kind) else {
                continue;
            };
            let (mut cpus, mut ram) = (kind.cpus, kind.ram);
            for (key, _) in (worker.tasks.iter()).filter(|(_, t)| t.state != RowState::Exited) {
                let spec = &self.checker.specs[&*key.job];
                there.insert(&key.job);
                *used.entry(&spec.team).or_default() += spec.needs.cpus;
                (cpus, ram) = (cpus - spec.needs.cpus, ram - spec.needs.ram);
            }
            free.push((worker, cpus, ram));
        }
        let could = |id: &String| {
            let spec = self.checker.specs.get(id)?;
            let over = self.checker.final_answers.contains_key(id) || self.broken_jobs.contains(id);
            let ready = spec
                .awaits
                .iter()
                .all(|a| self.checker.final_answers.contains_key(&**a));
            let within =
                spec.team != "t" || used.get("t").copied().unwrap_or(0.0) + spec.needs.cpus <= 24.0;
            if over || there.contains(id.as_str()) || !ready || !within || spec.kind == Kind::Gang {
                return None;
            }
            let all_done = self.all_completed(id);
            let fits = |(worker, cpus, ram): &&(&Worker, f64, f64)| {
                spec.allows_type(&worker.kind)
                    && spec.allows_zone(&worker.zone)
                    && (spec.spot || !worker.spot)
                    && spec.needs.cpus <= *cpus
                    && spec.needs.ram <= *ram
            };
            (!all_done && free.iter().any(|f| fits(&f))).then_some(id.clone())
        };
        let could: BTreeSet<String> = self
            .checker
            .announced_jobs
            .iter()
            .filter_map(could)
            .collect();
        let now = self.now;
        self.checker
            .starving_since
            .retain(|id, _| could.contains(id));
        for id in could {
            let since = *self.checker.starving_since.entry(id.clone()).or_insert(now);
            assert!(
                now < since + STARVATION_LIMIT,
                "{id} waits for 90 s while a machine has room"
            );
        }
    }

    pub(super) fn check(&self) {
        let acts = |n: &&Node| n.up && !n.paused && n.core.leads();
        let leaders = self.nodes.iter().filter(acts).count();
        let one = leaders <= 1 || !stands(Guard::Word);
        assert!(one, "{leaders} leaders act at the same time");
        let mut at: BTreeMap<&TaskKey, &MachineId> = BTreeMap::new();
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        for (id, worker) in &self.workers {
            if self.now < worker.up_at {
                continue;
            }
            let mut room = 0.0;
            for (key, t) in &worker.tasks {
                let beyond = self.checker.data_lost_for_good
                    && self.checker.machines_with_lost_record.contains(id);
                if t.state == RowState::Exited || beyond {
                    continue;
                }
                if let Some(other) = at.insert(key, id) {
                    panic!("{key} is on {other} and on {id}");
                }
                let spec = &self.checker.specs[&*key.job];
                assert!(spec.spot || !worker.spot, "{key} is on a spot machine");
                assert!(
                    spec.allows_zone(&worker.zone),
                    "{key} is in {}",
                    worker.zone
                );
                *used.entry(&spec.team).or_default() += spec.needs.cpus;
                room += spec.needs.cpus;
                if let Some(since) = self.dependency_cancelled_at(&key.job) {
                    let limit = since + self.setup.cancel;
                    assert!(self.now <= limit, "{key} of a cancelled job is on {id}");
                }
            }
            let kind = self.types.iter().find(|t| t.name == worker.kind);
            assert!(room <= kind.map_or(0.0, |t| t.cpus), "{id} holds too much");
        }
        let t = used.get("t").copied().unwrap_or(0.0);
        assert!(t <= 24.0, "team t uses {t}");
    }
}
