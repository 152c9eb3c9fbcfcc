//! A stand-in machine with its worker: it boots, reports, runs tasks by the clock, and is lost.

use crate::records::Records;
use burlusher::http::{Client, Request, Response};
use burlusher::job::{JobSpec, Resources};
use burlusher::wire::{
    DirectCommands, ExitCause, Heartbeat, HeartbeatResponse, PATH_HEARTBEAT, Redirect, TaskCommand,
    TaskState, TaskStatus, parse_task_id, to_json,
};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How long an image takes to fetch.
const FETCH: Duration = Duration::from_millis(300);
/// How often a worker looks what is due.
const TICK: Duration = Duration::from_millis(30);
/// A change is reported this long after the last heartbeat at the earliest.
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// What all machines share: the jobs that users uploaded, the records, the controllers.
pub struct ClusterState {
    /// Each job, and how long its tasks run.
    pub jobs: Mutex<BTreeMap<String, Arc<(JobSpec, Duration)>>>,
    /// What the workers record.
    pub records: Mutex<Records>,
    /// Name and public address of each controller.
    pub nodes: Vec<(String, SocketAddrV4)>,
    /// How often workers send a heartbeat.
    pub report: Duration,
    /// How long workers go on without an answer.
    pub lease: Duration,
}

impl ClusterState {
    /// Where a worker turns next: to the controller that it is referred to, or the one after its own. Says as
    /// well whether it is to wait a second first.
    pub fn next_node(&self, node: usize, referred: Option<&str>) -> (usize, bool) {
        let to = referred.and_then(|name| self.nodes.iter().position(|n| n.0 == name));
        match to.filter(|to| *to != node) {
            Some(to) => (to, false),
            None => ((node + 1) % self.nodes.len(), true),
        }
    }
}

struct Task {
    job: Arc<(JobSpec, Duration)>,
    attempt: u64,
    state: TaskState,
    until: Instant,
    why: Option<ExitCause>,
}

struct WorkerState {
    /// Rises when the worker ends its tasks and begins anew.
    incarnation: u64,
    /// Number of the last heartbeat.
    sequence: u64,
    /// The newest fencing token that a controller has shown.
    fencing_token: u64,
    /// When the last answered report was sent.
    answered: Instant,
    tasks: BTreeMap<String, Task>,
    images: Vec<String>,
    gone: bool,
    taken_at: Option<Instant>,
    /// Something has changed since the last heartbeat.
    changed: bool,
}

/// A machine and its worker.
pub struct Worker {
    /// The machine's name.
    pub id: String,
    /// Where it takes direct commands.
    pub addr: SocketAddrV4,
    /// Its machine type.
    pub kind: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// What tasks may use of it.
    pub room: Resources,
    cluster_state: Arc<ClusterState>,
    inner: Mutex<WorkerState>,
}

impl Worker {
    /// A machine that boots; `offer` is its type, its zone and whether it is a spot machine.
    pub fn new(
        id: String,
        addr: SocketAddrV4,
        offer: (String, String, bool),
        room: Resources,
        cluster_state: Arc<ClusterState>,
    ) -> Worker {
        Worker {
            id,
            addr,
            kind: offer.0,
            zone: offer.1,
            spot: offer.2,
            room,
            cluster_state,
            inner: Mutex::new(WorkerState {
                incarnation: 1,
                sequence: 0,
                fencing_token: 0,
                answered: Instant::now(),
                tasks: BTreeMap::new(),
                images: Vec::new(),
                gone: false,
                taken_at: None,
                changed: false,
            }),
        }
    }

    /// What it shares with the other machines.
    pub fn cluster_state(&self) -> &Arc<ClusterState> {
        &self.cluster_state
    }

    /// The machine will be taken after this time.
    pub fn notice(&self, after: Duration) {
        let mut state = self.inner.lock().expect("no panic holds it");
        state.taken_at = Some(Instant::now() + after);
        state.changed = true;
    }

    /// The machine and everything on it is gone.
    pub fn remove(&self) {
        let mut state = self.inner.lock().expect("no panic holds it");
        self.forget_all(&mut state);
        state.gone = true;
    }

    /// Whether it was deleted or taken.
    pub fn is_gone(&self) -> bool {
        self.inner.lock().expect("no panic holds it").gone
    }

    fn forget_all(&self, state: &mut WorkerState) {
        let mut records = self
            .cluster_state
            .records
            .lock()
            .expect("no panic holds it");
        for (task, t) in std::mem::take(&mut state.tasks) {
            if t.state == TaskState::Running
                && let Some(key) = parse_task_id(&task)
            {
                records.leave(&key.job, key.index, &self.zone, None);
            }
        }
    }

    /// What the passing of time brings about.
    fn advance(&self, state: &mut WorkerState) {
        let now = Instant::now();
        if state.taken_at.is_some_and(|t| now >= t) && !state.gone {
            self.forget_all(state);
            state.gone = true;
        }
        if now > state.answered + self.cluster_state.lease {
            self.forget_all(state);
            state.incarnation += 1;
            state.answered = now;
            state.changed = true;
        }
        for (task, t) in &mut state.tasks {
            let Some(key) = parse_task_id(task).filter(|_| now >= t.until) else {
                continue;
            };
            let mut records = self
                .cluster_state
                .records
                .lock()
                .expect("no panic holds it");
            match t.state {
                TaskState::Fetching => {
                    t.state = TaskState::Running;
                    t.until = now + t.job.1;
                    records.start(&key.job, key.index, &self.id);
                }
                TaskState::Running => {
                    t.state = TaskState::Exited;
                    t.why = Some(ExitCause::Done);
                    let ran = Some((t.job.1, t.job.0.resources.cpus));
                    records.leave(&key.job, key.index, &self.zone, ran);
                }
                _ => continue,
            }
            state.changed = true;
        }
    }

    fn execute(&self, state: &mut WorkerState, commands: Vec<TaskCommand>) {
        for command in commands {
            state.changed = true;
            match command {
                TaskCommand::Start { task, attempt } => self.start(state, task, attempt),
                TaskCommand::Stop { task, attempt, .. } => self.stop(state, &task, attempt),
                TaskCommand::Forget { task, attempt } => {
                    let exited = |t: &Task| t.attempt == attempt && t.state == TaskState::Exited;
                    if state.tasks.get(&task).is_some_and(exited) {
                        state.tasks.remove(&task);
                    }
                }
            }
        }
    }

    /// Starts a task, unless the machine has an attempt of it: another one is refused, and not recorded.
    fn start(&self, state: &mut WorkerState, task: String, attempt: u64) {
        let held = state.tasks.get(&task);
        if held.is_some_and(|t| t.attempt == attempt || t.state != TaskState::Exited) {
            return;
        }
        let jobs = self.cluster_state.jobs.lock().expect("no panic holds it");
        let Some(job) = parse_task_id(&task).and_then(|key| jobs.get(&*key.job).cloned()) else {
            return;
        };
        drop(jobs);
        let fits = job.0.resources.fits(&self.free_room(state));
        let image = job.0.image.clone();
        let cached = state.images.contains(&image);
        if !cached {
            state.images.push(image);
        }
        let now = Instant::now();
        let started = Task {
            job,
            attempt,
            state: if fits {
                TaskState::Fetching
            } else {
                TaskState::Exited
            },
            until: if cached { now } else { now + FETCH },
            why: (!fits).then_some(ExitCause::NoRoom),
        };
        state.tasks.insert(task, started);
    }

    /// What tasks leave of the machine.
    fn free_room(&self, state: &WorkerState) -> Resources {
        let mut free = self.room;
        let tasks = state.tasks.values();
        for task in tasks.filter(|t| t.state != TaskState::Exited) {
            free.sub(&task.job.0.resources);
        }
        free
    }

    fn stop(&self, state: &mut WorkerState, task: &str, attempt: u64) {
        let held = state.tasks.get_mut(task);
        let Some(held) = held.filter(|t| t.attempt == attempt && t.state != TaskState::Exited)
        else {
            return;
        };
        if held.state == TaskState::Running
            && let Some(key) = parse_task_id(task)
        {
            let mut records = self
                .cluster_state
                .records
                .lock()
                .expect("no panic holds it");
            records.leave(&key.job, key.index, &self.zone, None);
        }
        held.state = TaskState::Exited;
        held.why = Some(ExitCause::Stopped);
    }

    fn heartbeat(&self, state: &mut WorkerState) -> Heartbeat {
        self.advance(state);
        state.sequence += 1;
        let remaining = |t: Instant| t.saturating_duration_since(Instant::now()).as_secs_f64();
        Heartbeat {
            machine: self.id.as_str().into(),
            addr: self.addr.to_string(),
            machine_type: self.kind.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: state.incarnation,
            sequence: state.sequence,
            fencing_token: state.fencing_token,
            reclaim_in_s: state.taken_at.map(remaining),
            tasks: state
                .tasks
                .iter()
                .map(|(task, t)| TaskStatus {
                    task: task.clone(),
                    attempt: t.attempt,
                    state: t.state,
                    cause: t.why,
                    checkpointed: None,
                })
                .collect(),
        }
    }

    /// Direct commands and questions.
    pub fn answer(&self, r: &Request) -> Option<Response> {
        let mut state = self.inner.lock().expect("no panic holds it");
        if state.gone {
            return None;
        }
        let mut status = 200;
        if r.method == "POST" {
            let Ok(body) = serde_json::from_slice::<DirectCommands>(&r.body) else {
                return Some(Response::error(400, "malformed"));
            };
            self.advance(&mut state);
            if body.fencing_token < state.fencing_token || body.incarnation != state.incarnation {
                status = 409;
            } else {
                state.fencing_token = body.fencing_token;
                self.execute(&mut state, body.commands);
            }
        }
        let report = self.heartbeat(&mut state);
        Some(Response::new(status, to_json(&report)))
    }

    /// The report to send now, if one is due: an interval after the last one was sent, or sooner where something
    /// has changed.
    pub fn heartbeat_due(&self, last: Instant) -> Option<Vec<u8>> {
        let mut state = self.inner.lock().expect("no panic holds it");
        self.advance(&mut state);
        let interval = self.cluster_state.report;
        let sooner = (interval / 2).min(CHANGE_INTERVAL);
        let waited = last.elapsed();
        let due = waited >= interval || (state.changed && waited >= sooner);
        if state.gone || !due {
            return None;
        }
        state.changed = false;
        Some(to_json(&self.heartbeat(&mut state)))
    }

    /// Reports until the machine is gone.
    pub fn live(&self) {
        let mut node = 0;
        let mut client = Client::new(self.cluster_state.nodes[node].1, Duration::from_millis(500));
        let mut last = Instant::now() - self.cluster_state.report;
        while !self.is_gone() {
            std::thread::sleep(TICK);
            let Some(report) = self.heartbeat_due(last) else {
                continue;
            };
            last = Instant::now();
            let answer = client.call("POST", PATH_HEARTBEAT, &report, Duration::from_secs(4));
            let next = match answer.map(|response| (response.status, response.body)) {
                Ok((200, body)) => {
                    if let Ok(a) = serde_json::from_slice::<HeartbeatResponse>(&body) {
                        self.observe_answer(a, last);
                    }
                    continue;
                }
                Ok((421, body)) => {
                    let to = serde_json::from_slice::<Redirect>(&body).ok();
                    self.cluster_state
                        .next_node(node, to.and_then(|r| r.leader))
                }
                _ => self.cluster_state.next_node(node, None),
            };
            if next.1 {
                std::thread::sleep(Duration::from_secs(1));
            }
            node = next.0;
            client = Client::new(self.cluster_state.nodes[node].1, Duration::from_millis(500));
            last = Instant::now() - self.cluster_state.report;
        }
    }

    /// The answer to a report that was sent at this moment.
    pub fn observe_answer(&self, answer: HeartbeatResponse, sent: Instant) {
        let mut state = self.inner.lock().expect("no panic holds it");
        if answer.fencing_token < state.fencing_token
            || state.gone
            || Instant::now() > state.answered + self.cluster_state.lease
        {
            return;
        }
        state.fencing_token = answer.fencing_token;
        state.answered = sent;
        self.execute(&mut state, answer.commands);
    }
}
