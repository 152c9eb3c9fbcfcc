//! A stand-in machine with its worker, which sends heartbeats, executes commands and simulates tasks by
//! timers. The machine can be reclaimed or deleted.

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

/// Time to fetch an image.
const IMAGE_FETCH_TIME: Duration = Duration::from_millis(300);
/// Interval between checks for a due heartbeat.
const TICK: Duration = Duration::from_millis(30);
/// Minimum time from a heartbeat to an earlier-than-regular one that reports a change; half the heartbeat interval
/// if that is shorter.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// State shared by all machines and users: submitted jobs, records, controllers' addresses.
pub struct ClusterState {
    /// Specification of each job and run time of its tasks, by job id.
    pub jobs: Mutex<BTreeMap<String, Arc<(JobSpec, Duration)>>>,
    /// Records of the workers.
    pub records: Mutex<Records>,
    /// Name and public address of each controller.
    pub controller_addrs: Vec<(String, SocketAddrV4)>,
    /// Interval between a worker's heartbeats.
    pub heartbeat_interval: Duration,
    /// Duration of a worker's lease: without a response for this long, the worker ends its tasks.
    pub lease: Duration,
}

impl ClusterState {
    /// Returns the controller that a worker contacts next, and whether the worker waits before it does. A redirect
    /// to another controller is followed at once; otherwise the one after `current` is next, after a delay.
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
    /// Incremented when the worker's lease expires and the worker drops its tasks.
    incarnation: u64,
    /// Sequence number of the last heartbeat.
    sequence: u64,
    /// Highest fencing token seen from a controller.
    fencing_token: u64,
    /// Time at which the last heartbeat that was answered was sent; the lease runs from then on.
    lease_renewed_at: Instant,
    tasks: BTreeMap<String, Task>,
    images: Vec<String>,
    gone: bool,
    reclaim_at: Option<Instant>,
    /// Whether anything has changed since the last heartbeat.
    changed: bool,
}

/// A simulated machine with its worker.
pub struct Worker {
    /// Id of the machine.
    pub id: String,
    /// Address for direct commands.
    pub addr: SocketAddrV4,
    /// Machine type.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether the machine is a spot machine.
    pub spot: bool,
    /// Resources available to tasks.
    pub capacity: Resources,
    cluster_state: Arc<ClusterState>,
    state: Mutex<WorkerState>,
}

impl Worker {
    /// Creates a booting machine; `offer` is its type, its zone and whether it is a spot machine.
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

    /// Returns the state shared with the other machines.
    pub fn cluster_state(&self) -> &Arc<ClusterState> {
        &self.cluster_state
    }

    /// Announces that the machine is reclaimed after this time.
    pub fn announce_reclaim(&self, after: Duration) {
        let mut state = self.state.lock().expect("lock is not poisoned");
        state.reclaim_at = Some(Instant::now() + after);
        state.changed = true;
    }

    /// Deletes the machine; its tasks are lost.
    pub fn remove(&self) {
        let mut state = self.state.lock().expect("lock is not poisoned");
        self.lose_all_tasks(&mut state);
        state.gone = true;
    }

    /// Returns whether the machine was deleted or reclaimed.
    pub fn is_gone(&self) -> bool {
        self.state.lock().expect("lock is not poisoned").gone
    }

    fn lose_all_tasks(&self, state: &mut WorkerState) {
        let mut records = self
            .cluster_state
            .records
            .lock()
            .expect("lock is not poisoned");
        for (task, t) in std::mem::take(&mut state.tasks) {
            if t.state == TaskState::Running
                && let Some(key) = parse_task_id(&task)
            {
                records.record_end(&key.job, key.index, &self.zone, None);
            }
        }
    }

    /// Applies what is due by now: reclaim of the machine, expiry of the lease, and transitions of tasks.
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
                .expect("lock is not poisoned");
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

    /// Starts a task, unless the worker knows this attempt or another one has not exited. A task that does not
    /// fit into the free capacity exits at once.
    fn start(&self, state: &mut WorkerState, task: String, attempt: u64) {
        let known = state.tasks.get(&task);
        if known.is_some_and(|t| t.attempt == attempt || t.state != TaskState::Exited) {
            return;
        }
        let jobs = self
            .cluster_state
            .jobs
            .lock()
            .expect("lock is not poisoned");
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

    /// Returns the resources that no task uses.
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
                .expect("lock is not poisoned");
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

    /// Handles a request of a controller, for its status (GET) or with direct commands (POST). Returns `None` if
    /// the machine is gone.
    pub fn handle_request(&self, r: &Request) -> Option<Response> {
        let mut state = self.state.lock().expect("lock is not poisoned");
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

    /// Returns the heartbeat to send now, if one is due: an interval after the last one was sent, or sooner if
    /// something has changed.
    pub fn due_heartbeat(&self, last_sent: Instant) -> Option<Vec<u8>> {
        let mut state = self.state.lock().expect("lock is not poisoned");
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

    /// Sends heartbeats until the machine is gone.
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

    /// Handles the response to a heartbeat that was sent at `sent`: renews the lease and executes the commands.
    /// Ignores a response with a lower fencing token, or after expiry of the lease.
    pub fn handle_response(&self, response: HeartbeatResponse, sent: Instant) {
        let mut state = self.state.lock().expect("lock is not poisoned");
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
