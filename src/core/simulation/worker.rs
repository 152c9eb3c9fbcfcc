//! The simulated workers: what they report, execute and lose.

use super::checker::check_zone;
use super::cluster::{Simulation, TICK};
use crate::core::{Command, Ticket};
use crate::http::Answer;
use crate::job::{Kind, MachineId, TaskKey};
use crate::wire::{DirectBody, Order, Report, ReportAnswer, RowReport, RowState, Why, parse_task};
use crate::worker::{DirectOutcome, DirectRequest};
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// A worker's lease.
pub const LEASE: Duration = Duration::from_secs(10);

#[derive(Clone, Debug)]
pub struct WorkerTask {
    pub attempt: u64,
    pub state: RowState,
    pub why: Option<Why>,
    pub ends: Option<Instant>,
    /// When it has its image.
    pub runs: Instant,
}

pub struct Worker {
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub up_at: Instant,
    pub session: u64,
    pub seq: u64,
    pub token: u64,
    pub tasks: BTreeMap<TaskKey, WorkerTask>,
    pub lease_from: Instant,
    pub next_report: Instant,
    pub node: usize,
    pub waiting: Option<(usize, Ticket, u64, Instant)>,
    /// It executes nothing and says nothing.
    pub hung: bool,
    /// It fails every task.
    pub failing: bool,
    /// Nodes it cannot talk to, in either direction.
    pub partitioned_from: BTreeSet<usize>,
    /// Its reports arrive; answers and commands do not reach it.
    pub inbound_partitioned: bool,
    /// It can open no connection to any controller; direct commands reach it.
    pub outbound_partitioned: bool,
}

/// The node that an answer refers a worker to.
pub(super) fn redirect_target(answer: &Answer) -> Option<usize> {
    let body: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
    let name = body.get("foreman")?.as_str()?;
    name.strip_prefix('n')?.parse().ok()
}

impl Simulation {
    pub(super) fn report(worker: &mut Worker, id: &MachineId) -> Report {
        worker.seq += 1;
        Report {
            machine: id.clone(),
            addr: "127.0.0.1:9000".into(),
            kind: worker.kind.clone(),
            zone: worker.zone.clone(),
            spot: worker.spot,
            session: worker.session,
            seq: worker.seq,
            token: worker.token,
            notice: None,
            rows: worker
                .tasks
                .iter()
                .map(|(k, t)| RowReport {
                    task: k.to_string(),
                    attempt: t.attempt,
                    state: t.state,
                    why: t.why,
                    saved: None,
                })
                .collect(),
        }
    }

    /// A machine's report as of now, for the network to hold.
    pub fn report_of(&mut self, id: &MachineId) -> Report {
        Simulation::report(self.workers.get_mut(id).unwrap(), id)
    }

    pub(super) fn execute(&mut self, id: &MachineId, orders: &[Order]) {
        let now = self.now;
        // Where tasks of jobs are that care for zones, as of now.
        let mut beside: BTreeMap<TaskKey, String> = BTreeMap::new();
        for o in orders {
            let Order::Start { task, .. } = o else {
                continue;
            };
            let job = parse_task(task).unwrap().job;
            let spec = &self.checker.specs[&*job];
            if spec.one_zone || spec.spread {
                for (m, key) in self.places(&job) {
                    beside.insert(key, self.workers[&m].zone.clone());
                }
            }
        }
        let starts = orders.iter().any(|o| matches!(o, Order::Start { .. }));
        // A store that has lost data may have lost this record as well.
        let kept = self.checker.complete_replicas.is_none()
            && !self.checker.data_lost_for_good
            && !self.checker.machines_with_lost_record.contains(id);
        if starts && kept && !self.state.recorded().contains(id) {
            panic!("a task starts on {id}, which is not on record");
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let zone = worker.zone.clone();
        for o in orders {
            match o {
                Order::Start { task, attempt } => {
                    let key = parse_task(task).unwrap();
                    if worker
                        .tasks
                        .get(&key)
                        .is_some_and(|t| t.attempt == *attempt)
                    {
                        continue;
                    }
                    self.counters.starts += 1;
                    if let Some(told) = self.checker.cancelled_at.get(&*key.job) {
                        self.counters.late_starts += 1;
                        assert!(
                            now <= *told + self.setup.cancel,
                            "{key} of a cancelled job starts"
                        );
                    }
                    let spec = &self.checker.specs[&*key.job];
                    for a in &spec.awaits {
                        for row in 0..self.checker.specs[&**a].tasks {
                            let job = a.clone();
                            let before = TaskKey { job, row };
                            let done = self.checker.completed.contains(&before);
                            assert!(done, "{key} starts before {before} is done");
                        }
                    }
                    check_zone(&key, spec, &zone, &beside);
                    let mut t = WorkerTask {
                        attempt: *attempt,
                        state: RowState::Running,
                        why: None,
                        ends: (spec.kind != Kind::Service)
                            .then(|| now + self.image_fetch_time + spec.estimate),
                        runs: now + self.image_fetch_time,
                    };
                    if !self.image_fetch_time.is_zero() {
                        t.state = RowState::Fetching;
                    }
                    if worker.failing || self.broken_jobs.contains(&*key.job) {
                        (t.state, t.why) = (RowState::Exited, Some(Why::Error));
                    }
                    if spec.one_zone || spec.spread {
                        beside.insert(key.clone(), zone.clone());
                    }
                    worker.tasks.insert(key, t);
                }
                Order::Stop { task, attempt, .. } => {
                    let key = parse_task(task).unwrap();
                    if let Some(t) = worker.tasks.get_mut(&key)
                        && t.attempt == *attempt
                        && t.state != RowState::Exited
                    {
                        (t.state, t.why) = (RowState::Exited, Some(Why::Stopped));
                    }
                }
                Order::Forget { task, attempt } => {
                    let key = parse_task(task).unwrap();
                    if worker
                        .tasks
                        .get(&key)
                        .is_some_and(|t| t.attempt == *attempt && t.state == RowState::Exited)
                    {
                        self.counters.clears += 1;
                        worker.tasks.remove(&key);
                    }
                }
            }
        }
    }

    pub(super) fn advance_workers(&mut self) {
        let now = self.now;
        let ids: Vec<MachineId> = self.workers.keys().cloned().collect();
        for id in ids {
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            if now < worker.up_at {
                continue;
            }
            // A machine that hangs may resume within its lease; after it, its tasks are gone.
            if now > worker.lease_from + LEASE {
                worker.tasks.clear();
                worker.session += 1;
                worker.seq = 0;
                worker.lease_from = now;
                worker.waiting = None;
            }
            if worker.hung {
                continue;
            }
            let mut changed = false;
            for (key, t) in &mut worker.tasks {
                if t.state == RowState::Fetching && t.runs <= now {
                    t.state = RowState::Running;
                    self.counters.late_starts +=
                        u32::from(self.checker.cancelled_at.contains_key(&*key.job));
                    changed = true;
                }
                if t.state == RowState::Running && t.ends.is_some_and(|e| e <= now) {
                    (t.state, t.why) = (RowState::Exited, Some(Why::Done));
                    self.checker.completed.insert(key.clone());
                    changed = true;
                }
            }
            if changed {
                worker.next_report = worker.next_report.min(now + Duration::from_millis(200));
            }
            if let Some((node, ticket, session, sent)) = worker.waiting {
                if let Some(answer) = self.network.answers.remove(&ticket) {
                    worker.waiting = None;
                    if worker.partitioned_from.contains(&node) || worker.inbound_partitioned {
                        continue;
                    }
                    let read = |a: &Answer| serde_json::from_slice::<ReportAnswer>(&a.body).ok();
                    match (answer.status, read(&answer)) {
                        (200, Some(a)) if a.token >= worker.token && session == worker.session => {
                            worker.token = a.token;
                            worker.lease_from = sent;
                            self.execute(&id, &a.orders);
                        }
                        (200, _) => {}
                        _ => match redirect_target(&answer) {
                            Some(other) if other != worker.node => {
                                worker.node = other;
                                worker.next_report = now + TICK * 4;
                            }
                            _ => worker.node = (worker.node + 1) % self.setup.nodes,
                        },
                    }
                } else if now > sent + Duration::from_secs(4) {
                    worker.waiting = None;
                    worker.node = (worker.node + 1) % self.setup.nodes;
                }
            } else if now >= worker.next_report {
                worker.next_report = now + Duration::from_secs(1);
                let node = worker.node;
                if !self.nodes[node].up
                    || worker.partitioned_from.contains(&node)
                    || worker.outbound_partitioned
                {
                    worker.node = (node + 1) % self.setup.nodes;
                    continue;
                }
                let report = Box::new(Simulation::report(worker, &id));
                if !self.faults.duplicate_delay.is_zero() {
                    let at = now
                        + self
                            .faults
                            .duplicate_delay
                            .mul_f64(self.rng.random_range(0.1..1.0));
                    let to = self.rng.random_range(0..self.setup.nodes);
                    self.network
                        .delayed_reports
                        .push((at, to, (*report).clone()));
                }
                if self.faults.replayed_report_share > 0.0
                    && self.rng.random_bool(self.faults.replayed_report_share)
                {
                    self.network.reports_to_replay.push((*report).clone());
                }
                self.counters.reports += 1;
                let ticket = self.next_ticket;
                self.next_ticket += 1;
                worker.waiting = Some((node, ticket, worker.session, now));
                self.nodes[node]
                    .inbox
                    .push(Command::Report { ticket, report });
            }
        }
    }

    /// Executes direct commands as a worker does.
    pub fn direct(&mut self, id: &MachineId, body: &DirectBody) -> Option<DirectOutcome> {
        let worker = self.workers.get_mut(id)?;
        let fits = body.token >= worker.token && body.session == worker.session;
        if fits {
            worker.token = body.token;
            self.execute(id, &body.orders);
        }
        let worker = self.workers.get_mut(id)?;
        Some(DirectOutcome::Report {
            report: Box::new(Simulation::report(worker, id)),
            executed: fits,
        })
    }

    pub(super) fn call_worker(
        &mut self,
        i: usize,
        id: &MachineId,
        request: DirectRequest,
    ) -> DirectOutcome {
        let unknown = DirectOutcome::Unknown("timeout".into());
        self.nodes[i].calls += 1;
        let Some(worker) = self.workers.get(id) else {
            return DirectOutcome::NotSent("no route".into());
        };
        let body = match request {
            DirectRequest::Commands(body) => body,
            DirectRequest::Status { token } => DirectBody {
                token,
                session: worker.session,
                orders: Vec::new(),
            },
        };
        if worker.inbound_partitioned {
            return DirectOutcome::NotSent("timeout".into());
        }
        if !self.faults.duplicate_delay.is_zero() {
            let at = self.now
                + self
                    .faults
                    .duplicate_delay
                    .mul_f64(self.rng.random_range(0.1..1.0));
            self.network
                .delayed_commands
                .push((at, id.clone(), body.clone()));
        }
        if self.faults.late_command_share > 0.0
            && self.rng.random_bool(self.faults.late_command_share)
        {
            let at = self.now + Duration::from_millis(self.rng.random_range(2000..16000));
            self.counters.commands_delayed += 1;
            self.network.delayed_commands.push((at, id.clone(), body));
            return unknown;
        }
        if worker.hung || worker.partitioned_from.contains(&i) || self.faults.hold_commands {
            // Held by the network, or by the machine until it resumes.
            self.network.held_commands.push((id.clone(), body));
            return unknown;
        }
        self.direct(id, &body).unwrap_or(unknown)
    }

    /// A machine is back within a moment, empty, and counts from one; or goes on counting.
    pub fn reboot(&mut self, id: &MachineId, from_one: bool) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.tasks.clear();
            worker.waiting = None;
            (worker.lease_from, worker.next_report) = (now, now + TICK * 4);
            if from_one {
                // What was under way to it ends with its connections.
                self.network.held_commands.retain(|(to, _)| to != id);
                self.network.delayed_commands.retain(|(_, to, _)| to != id);
                (worker.session, worker.seq, worker.token) = (1, 0, 0);
            } else {
                worker.session += 1;
            }
        }
    }

    pub fn places(&self, id: &str) -> Vec<(MachineId, TaskKey)> {
        let mut out = Vec::new();
        for (m, worker) in &self.workers {
            for (key, t) in &worker.tasks {
                if &*key.job == id && t.state != RowState::Exited {
                    out.push((m.clone(), key.clone()));
                }
            }
        }
        out
    }
}
