//! The simulated workers: what they report, execute and lose.

use super::checker::in_zone;
use super::cluster::{TICK, World};
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
    pub sick: bool,
    /// Nodes it cannot talk to, in either direction.
    pub cut: BTreeSet<usize>,
    /// Its reports arrive; answers and commands do not reach it.
    pub deaf: bool,
    /// It can open no connection to any controller; direct commands reach it.
    pub mute: bool,
}

/// The node that an answer refers a worker to.
pub(super) fn named(answer: &Answer) -> Option<usize> {
    let body: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
    let name = body.get("foreman")?.as_str()?;
    name.strip_prefix('n')?.parse().ok()
}

impl World {
    pub(super) fn report(w: &mut Worker, id: &MachineId) -> Report {
        w.seq += 1;
        Report {
            machine: id.clone(),
            addr: "127.0.0.1:9000".into(),
            kind: w.kind.clone(),
            zone: w.zone.clone(),
            spot: w.spot,
            session: w.session,
            seq: w.seq,
            token: w.token,
            notice: None,
            rows: w
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
        World::report(self.workers.get_mut(id).unwrap(), id)
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
            let spec = &self.specs[&*job];
            if spec.one_zone || spec.spread {
                for (m, key) in self.places(&job) {
                    beside.insert(key, self.workers[&m].zone.clone());
                }
            }
        }
        let starts = orders.iter().any(|o| matches!(o, Order::Start { .. }));
        // A store that has lost data may have lost this record as well.
        let kept = self.memories.is_none() && !self.amnesia && !self.unrecorded.contains(id);
        if starts && kept && !self.state.recorded().contains(id) {
            self.unrecorded_starts += 1;
            panic!("a task starts on {id}, which is not on record");
        }
        let Some(w) = self.workers.get_mut(id) else {
            return;
        };
        let zone = w.zone.clone();
        for o in orders {
            match o {
                Order::Start { task, attempt } => {
                    let key = parse_task(task).unwrap();
                    if w.tasks.get(&key).is_some_and(|t| t.attempt == *attempt) {
                        continue;
                    }
                    self.starts += 1;
                    if let Some(told) = self.cancelled.get(&*key.job) {
                        self.late_starts += 1;
                        assert!(
                            now <= *told + self.setup.cancel,
                            "{key} of a cancelled job starts"
                        );
                    }
                    let spec = &self.specs[&*key.job];
                    for a in &spec.awaits {
                        for row in 0..self.specs[&**a].tasks {
                            let job = a.clone();
                            let before = TaskKey { job, row };
                            let done = self.completed.contains(&before);
                            assert!(done, "{key} starts before {before} is done");
                        }
                    }
                    in_zone(&key, spec, &zone, &beside);
                    let mut t = WorkerTask {
                        attempt: *attempt,
                        state: RowState::Running,
                        why: None,
                        ends: (spec.kind != Kind::Service)
                            .then(|| now + self.fetch + spec.estimate),
                        runs: now + self.fetch,
                    };
                    if !self.fetch.is_zero() {
                        t.state = RowState::Fetching;
                    }
                    if w.sick || self.broken_jobs.contains(&*key.job) {
                        (t.state, t.why) = (RowState::Exited, Some(Why::Error));
                    }
                    if spec.one_zone || spec.spread {
                        beside.insert(key.clone(), zone.clone());
                    }
                    w.tasks.insert(key, t);
                }
                Order::Stop { task, attempt, .. } => {
                    let key = parse_task(task).unwrap();
                    if let Some(t) = w.tasks.get_mut(&key)
                        && t.attempt == *attempt
                        && t.state != RowState::Exited
                    {
                        (t.state, t.why) = (RowState::Exited, Some(Why::Stopped));
                    }
                }
                Order::Forget { task, attempt } => {
                    let key = parse_task(task).unwrap();
                    if w.tasks
                        .get(&key)
                        .is_some_and(|t| t.attempt == *attempt && t.state == RowState::Exited)
                    {
                        self.clears += 1;
                        w.tasks.remove(&key);
                    }
                }
            }
        }
    }

    pub(super) fn tend_workers(&mut self) {
        let now = self.now;
        let ids: Vec<MachineId> = self.workers.keys().cloned().collect();
        for id in ids {
            let Some(w) = self.workers.get_mut(&id) else {
                continue;
            };
            if now < w.up_at {
                continue;
            }
            // A machine that hangs may resume within its lease; after it, its tasks are gone.
            if now > w.lease_from + LEASE {
                w.tasks.clear();
                w.session += 1;
                w.seq = 0;
                w.lease_from = now;
                w.waiting = None;
            }
            if w.hung {
                continue;
            }
            let mut changed = false;
            for (key, t) in &mut w.tasks {
                if t.state == RowState::Fetching && t.runs <= now {
                    t.state = RowState::Running;
                    self.late_starts += u32::from(self.cancelled.contains_key(&*key.job));
                    changed = true;
                }
                if t.state == RowState::Running && t.ends.is_some_and(|e| e <= now) {
                    (t.state, t.why) = (RowState::Exited, Some(Why::Done));
                    self.completed.insert(key.clone());
                    changed = true;
                }
            }
            if changed {
                w.next_report = w.next_report.min(now + Duration::from_millis(200));
            }
            if let Some((node, ticket, session, sent)) = w.waiting {
                if let Some(answer) = self.answers.remove(&ticket) {
                    w.waiting = None;
                    if w.cut.contains(&node) || w.deaf {
                        continue;
                    }
                    let read = |a: &Answer| serde_json::from_slice::<ReportAnswer>(&a.body).ok();
                    match (answer.status, read(&answer)) {
                        (200, Some(a)) if a.token >= w.token && session == w.session => {
                            w.token = a.token;
                            w.lease_from = sent;
                            self.execute(&id, &a.orders);
                        }
                        (200, _) => {}
                        _ => match named(&answer) {
                            Some(other) if other != w.node => {
                                w.node = other;
                                w.next_report = now + TICK * 4;
                            }
                            _ => w.node = (w.node + 1) % self.setup.nodes,
                        },
                    }
                } else if now > sent + Duration::from_secs(4) {
                    w.waiting = None;
                    w.node = (w.node + 1) % self.setup.nodes;
                }
            } else if now >= w.next_report {
                w.next_report = now + Duration::from_secs(1);
                let node = w.node;
                if !self.nodes[node].up || w.cut.contains(&node) || w.mute {
                    w.node = (node + 1) % self.setup.nodes;
                    continue;
                }
                let report = Box::new(World::report(w, &id));
                if !self.copies.is_zero() {
                    let at = now + self.copies.mul_f64(self.rng.random_range(0.1..1.0));
                    let to = self.rng.random_range(0..self.setup.nodes);
                    self.late_reports.push((at, to, (*report).clone()));
                }
                if self.reports_for_next > 0.0 && self.rng.random_bool(self.reports_for_next) {
                    self.kept_reports.push((*report).clone());
                }
                self.reports += 1;
                let ticket = self.next_ticket;
                self.next_ticket += 1;
                w.waiting = Some((node, ticket, w.session, now));
                self.nodes[node]
                    .inbox
                    .push(Command::Report { ticket, report });
            }
        }
    }

    /// Executes direct commands as a worker does.
    pub fn direct(&mut self, id: &MachineId, body: &DirectBody) -> Option<DirectOutcome> {
        let w = self.workers.get_mut(id)?;
        let fits = body.token >= w.token && body.session == w.session;
        if fits {
            w.token = body.token;
            self.execute(id, &body.orders);
        }
        let w = self.workers.get_mut(id)?;
        Some(DirectOutcome::Report {
            report: Box::new(World::report(w, id)),
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
        let Some(w) = self.workers.get(id) else {
            return DirectOutcome::NotSent("no route".into());
        };
        let body = match request {
            DirectRequest::Commands(body) => body,
            DirectRequest::Status { token } => DirectBody {
                token,
                session: w.session,
                orders: Vec::new(),
            },
        };
        if w.deaf {
            return DirectOutcome::NotSent("timeout".into());
        }
        if !self.copies.is_zero() {
            let at = self.now + self.copies.mul_f64(self.rng.random_range(0.1..1.0));
            self.late_commands.push((at, id.clone(), body.clone()));
        }
        if self.late_command_share > 0.0 && self.rng.random_bool(self.late_command_share) {
            let at = self.now + Duration::from_millis(self.rng.random_range(2000..16000));
            self.commands_late += 1;
            self.late_commands.push((at, id.clone(), body));
            return unknown;
        }
        if w.hung || w.cut.contains(&i) || self.hold_commands {
            // Held by the network, or by the machine until it resumes.
            self.held_commands.push((id.clone(), body));
            return unknown;
        }
        self.direct(id, &body).unwrap_or(unknown)
    }

    /// A machine is back within a moment, empty, and counts from one; or goes on counting.
    pub fn reboot(&mut self, id: &MachineId, from_one: bool) {
        let now = self.now;
        if let Some(w) = self.workers.get_mut(id) {
            w.tasks.clear();
            w.waiting = None;
            (w.lease_from, w.next_report) = (now, now + TICK * 4);
            if from_one {
                // What was under way to it ends with its connections.
                self.held_commands.retain(|(to, _)| to != id);
                self.late_commands.retain(|(_, to, _)| to != id);
                (w.session, w.seq, w.token) = (1, 0, 0);
            } else {
                w.session += 1;
            }
        }
    }

    pub fn places(&self, id: &str) -> Vec<(MachineId, TaskKey)> {
        let mut out = Vec::new();
        for (m, w) in &self.workers {
            for (key, t) in &w.tasks {
                if &*key.job == id && t.state != RowState::Exited {
                    out.push((m.clone(), key.clone()));
                }
            }
        }
        out
    }
}
