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
const IMAGE_FETCH_TIME: Duration = Duration::from_millis(300);
/// How often a worker looks what is due.
const TICK: Duration = Duration::from_millis(30);
/// A change is reported this long after the last heartbeat at the earliest.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// What all machines share: the jobs that users uploaded, the records, the controllers.
pub struct ClusterState {
    /// Each job, and how long its tasks run.
    pub jobs: Mutex<BTreeMap<String, Arc<(JobSpec, Duration)>>>,
    /// What the workers record.
    pub records: Mutex<Records>,
    /// Name and public address of each controller.
    pub controller_addrs: Vec<(String, SocketAddrV4)>,
    /// How often workers send a heartbeat.
    pub heartbeat_interval: Duration,
    /// How long workers go on without an answer.
    pub lease: Duration,
}

impl ClusterState {
    /// Where a worker turns next: to the controller that it is referred to, or the one after its own. Says as
    /// well whether it is to wait a second first.
    pub fn next_controller(&self, current: usize, redirect: Option<&str>) -> (usize, bool) {
        let target =
            redirect.and_then(|name| self.controller_addrs.iter().position(|n| n.0 == name));
        match target.filter(|target| *target != current) {
            Some(target) => (target, false),
            None => ((current + 1) % self.controller_addrs.len(), true),
        }
    }
}

struct Task {
    job: Arc<(JobSpec, Duration)>,
    attempt: u64,
    state: TaskState,
    next_transition_at: Instant,
    cause: Option<ExitCause>,
}

struct WorkerState {
    /// Rises when the worker ends its tasks and begins anew.
    incarnation: u64,
    /// Number of the last heartbeat.
    sequence: u64,
    /// The newest fencing token that a controller has shown.
    fencing_token: u64,
    /// When the last answered report was sent.
    lease_renewed_at: Instant,
    tasks: BTreeMap<String, Task>,
    images: Vec<String>,
    gone: bool,
    reclaim_at: Option<Instant>,
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
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// What tasks may use of it.
    pub capacity: Resources,
    cluster_state: Arc<ClusterState>,
    state: Mutex<WorkerState>,
}

impl Worker {
    /// A machine that boots; `offer` is its type, its zone and whether it is a spot machine.
    pub fn new(
        id: String,
        addr: SocketAddrV4,
        offer: (String, String, bool),
        capacity: Resources,
        cluster_state: Arc<ClusterState>,
    ) -> Worker {
        Worker {
            id,
            addr,
            machine_type: offer.0,
            zone: offer.1,
            spot: offer.2,
            capacity,
            cluster_state,
            state: Mutex::new(WorkerState {
                incarnation: 1,
                sequence: 0,
                fencing_token: 0,
                lease_renewed_at: Instant::now(),
                tasks: BTreeMap::new(),
                images: Vec::new(),
                gone: false,
                reclaim_at: None,
                changed: false,
            }),
        }
    }

    /// What it shares with the other machines.
    pub fn cluster_state(&self) -> &Arc<ClusterState> {
        &self.cluster_state
    }

    /// The machine will be taken after this time.
    pub fn announce_reclaim(&self, after: Duration) {
        let mut state = self.state.lock().expect("no panic holds it");
        state.reclaim_at = Some(Instant::now() + after);
        state.changed = true;
    }

    /// The machine and everything on it is gone.
    pub fn remove(&self) {
        let mut state = self.state.lock().expect("no panic holds it");
        self.lose_all_tasks(&mut state);
        state.gone = true;
    }

    /// Whether it was deleted or taken.
    pub fn is_gone(&self) -> bool {
        self.state.lock().expect("no panic holds it").gone
    }

    fn lose_all_tasks(&self, state: &mut WorkerState) {
        let mut records = self
            .cluster_state
            .records
            .lock()
            .expect("no panic holds it");
        for (task, t) in std::mem::take(&mut state.tasks) {
            if t.state == TaskState::Running
                && let Some(key) = parse_task_id(&task)
            {
                records.record_end(&key.job, key.index, &self.zone, None);
            }
        }
    }

    /// What the passing of time brings about.
    fn advance(&self, state: &mut WorkerState) {
        let now = Instant::now();
        if state.reclaim_at.is_some_and(|t| now >= t) && !state.gone {
            self.lose_all_tasks(state);
            state.gone = true;
        }
        if now > state.lease_renewed_at + self.cluster_state.lease {
            self.lose_all_tasks(state);
            state.incarnation += 1;
            state.lease_renewed_at = now;
            state.changed = true;
        }
        for (task, t) in &mut state.tasks {
            let Some(key) = parse_task_id(task).filter(|_| now >= t.next_transition_at) else {
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
                    t.next_transition_at = now + t.job.1;
                    records.record_start(&key.job, key.index, &self.id);
                }
                TaskState::Running => {
                    t.state = TaskState::Exited;
                    t.cause = Some(ExitCause::Done);
                    let ran = Some((t.job.1, t.job.0.resources.cpus));
                    records.record_end(&key.job, key.index, &self.zone, ran);
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
                    let is_exited_attempt =
                        |t: &Task| t.attempt == attempt && t.state == TaskState::Exited;
                    if state.tasks.get(&task).is_some_and(is_exited_attempt) {
                        state.tasks.remove(&task);
                    }
                }
            }
        }
    }

    /// Starts a task, unless the machine has an attempt of it: another one is refused, and not recorded.
    fn start(&self, state: &mut WorkerState, task: String, attempt: u64) {
        let known = state.tasks.get(&task);
        if known.is_some_and(|t| t.attempt == attempt || t.state != TaskState::Exited) {
            return;
        }
        let jobs = self.cluster_state.jobs.lock().expect("no panic holds it");
        let Some(job) = parse_task_id(&task).and_then(|key| jobs.get(&*key.job).cloned()) else {
            return;
        };
        drop(jobs);
        let fits = job.0.resources.fits(&self.free_capacity(state));
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
            next_transition_at: if cached { now } else { now + IMAGE_FETCH_TIME },
            cause: (!fits).then_some(ExitCause::NoRoom),
        };
        state.tasks.insert(task, started);
    }

    /// What tasks leave of the machine.
    fn free_capacity(&self, state: &WorkerState) -> Resources {
        let mut free = self.capacity;
        let tasks = state.tasks.values();
        for task in tasks.filter(|t| t.state != TaskState::Exited) {
            free.sub(&task.job.0.resources);
        }
        free
    }

    fn stop(&self, state: &mut WorkerState, task: &str, attempt: u64) {
        let known = state.tasks.get_mut(task);
        let Some(known) = known.filter(|t| t.attempt == attempt && t.state != TaskState::Exited)
        else {
            return;
        };
        if known.state == TaskState::Running
            && let Some(key) = parse_task_id(task)
        {
            let mut records = self
                .cluster_state
                .records
                .lock()
                .expect("no panic holds it");
            records.record_end(&key.job, key.index, &self.zone, None);
        }
        known.state = TaskState::Exited;
        known.cause = Some(ExitCause::Stopped);
    }

    fn heartbeat(&self, state: &mut WorkerState) -> Heartbeat {
        self.advance(state);
        state.sequence += 1;
        let remaining = |t: Instant| t.saturating_duration_since(Instant::now()).as_secs_f64();
        Heartbeat {
            machine: self.id.as_str().into(),
            addr: self.addr.to_string(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: state.incarnation,
            sequence: state.sequence,
            fencing_token: state.fencing_token,
            reclaim_in_s: state.reclaim_at.map(remaining),
            tasks: state
                .tasks
                .iter()
                .map(|(task, t)| TaskStatus {
                    task: task.clone(),
                    attempt: t.attempt,
                    state: t.state,
                    cause: t.cause,
                    checkpointed: None,
                })
                .collect(),
        }
    }

    /// Direct commands and questions.
    pub fn handle_request(&self, r: &Request) -> Option<Response> {
        let mut state = self.state.lock().expect("no panic holds it");
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
        let heartbeat = self.heartbeat(&mut state);
        Some(Response::new(status, to_json(&heartbeat)))
    }

    /// The report to send now, if one is due: an interval after the last one was sent, or sooner where something
    /// has changed.
    pub fn due_heartbeat(&self, last_sent: Instant) -> Option<Vec<u8>> {
        let mut state = self.state.lock().expect("no panic holds it");
        self.advance(&mut state);
        let interval = self.cluster_state.heartbeat_interval;
        let change_interval = (interval / 2).min(MIN_CHANGE_INTERVAL);
        let waited = last_sent.elapsed();
        let due = waited >= interval || (state.changed && waited >= change_interval);
        if state.gone || !due {
            return None;
        }
        state.changed = false;
        Some(to_json(&self.heartbeat(&mut state)))
    }

    /// Reports until the machine is gone.
    pub fn run(&self) {
        let mut controller = 0;
        let mut client = Client::new(
            self.cluster_state.controller_addrs[controller].1,
            Duration::from_millis(500),
        );
        let mut last_sent = Instant::now() - self.cluster_state.heartbeat_interval;
        while !self.is_gone() {
            std::thread::sleep(TICK);
            let Some(heartbeat) = self.due_heartbeat(last_sent) else {
                continue;
            };
            last_sent = Instant::now();
            let result = client.call("POST", PATH_HEARTBEAT, &heartbeat, Duration::from_secs(4));
            let next = match result.map(|response| (response.status, response.body)) {
                Ok((200, body)) => {
                    if let Ok(response) = serde_json::from_slice::<HeartbeatResponse>(&body) {
                        self.handle_response(response, last_sent);
                    }
                    continue;
                }
                Ok((421, body)) => {
                    let redirect = serde_json::from_slice::<Redirect>(&body).ok();
                    self.cluster_state
                        .next_controller(controller, redirect.and_then(|r| r.leader))
                }
                _ => self.cluster_state.next_controller(controller, None),
            };
            if next.1 {
                std::thread::sleep(Duration::from_secs(1));
            }
            controller = next.0;
            client = Client::new(
                self.cluster_state.controller_addrs[controller].1,
                Duration::from_millis(500),
            );
            last_sent = Instant::now() - self.cluster_state.heartbeat_interval;
        }
    }

    /// The answer to a report that was sent at this moment.
    pub fn handle_response(&self, response: HeartbeatResponse, sent: Instant) {
        let mut state = self.state.lock().expect("no panic holds it");
        if response.fencing_token < state.fencing_token
            || state.gone
            || Instant::now() > state.lease_renewed_at + self.cluster_state.lease
        {
            return;
        }
        state.fencing_token = response.fencing_token;
        state.lease_renewed_at = sent;
        self.execute(&mut state, response.commands);
    }
}
