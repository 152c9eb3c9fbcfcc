//! The simulated workers: their heartbeats, tasks and leases.

use super::cluster::{Simulation, TICK};
use super::network::CommandCopy;
use crate::core::{Command, Ticket};
use crate::http::Response;
use crate::job::{JobKind, MachineId, TaskId};
use crate::wire::{
    DirectCommands, ExitCause, Heartbeat, HeartbeatResponse, TaskCommand, TaskState, TaskStatus,
    parse_task_id,
};
use crate::worker_client::{DirectOutcome, DirectRequest};
use rand::RngExt;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Duration of a worker's lease.
pub const LEASE: Duration = Duration::from_secs(10);

/// Interval between the heartbeats of a worker.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time between a change on a worker and its next heartbeat.
const CHANGE_HEARTBEAT_DELAY: Duration = Duration::from_millis(200);
/// Time without a response after which a worker switches to another controller.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);

/// A heartbeat that was sent and awaits its response.
#[derive(Clone, Copy)]
pub(super) struct HeartbeatExchange {
    pub(super) node: usize,
    pub(super) ticket: Ticket,
    pub(super) incarnation: u64,
    pub(super) sent: Instant,
}

/// A task on a worker.
#[derive(Clone, Debug)]
pub struct WorkerTask {
    /// Number of the attempt to run the task.
    pub attempt: u64,
    pub state: TaskState,
    pub cause: Option<ExitCause>,
    /// When the task completes; `None` for a service, which runs until it is stopped.
    pub ends_at: Option<Instant>,
    /// When the image has been fetched and the task begins to run.
    pub runs_at: Instant,
}

/// A machine and the worker on it.
pub struct Worker {
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    /// When the machine has booted.
    pub up_at: Instant,
    /// Counter that increases each time the worker loses its tasks. A reboot may reset it to 1.
    pub incarnation: u64,
    /// Sequence number of the last heartbeat.
    pub sequence: u64,
    /// Highest fencing token received.
    pub fencing_token: u64,
    /// Highest fencing token received before the last restart that reset the counters; 0 if there was none.
    pub token_before_reset: u64,
    /// Time of the last restart that reset the counters.
    pub reset_at: Option<Instant>,
    pub tasks: BTreeMap<TaskId, WorkerTask>,
    /// Start of the lease: when the last heartbeat that got a response was sent.
    pub lease_start: Instant,
    pub next_heartbeat: Instant,
    /// Controller that receives the heartbeats.
    pub node: usize,
    /// Heartbeat that has no response yet.
    pub(super) pending_heartbeat: Option<HeartbeatExchange>,
    /// Whether the machine hangs: it executes no commands and sends no heartbeats.
    pub hung: bool,
    /// Whether every task started on this machine fails.
    pub failing: bool,
    /// Controllers that the worker cannot communicate with, in either direction.
    pub partitioned_from: BTreeSet<usize>,
    /// Whether inbound messages are lost: heartbeats arrive at controllers, but responses and commands do
    /// not reach the worker.
    pub inbound_partitioned: bool,
    /// Whether the worker can open no connection to any controller, while direct commands reach it.
    pub outbound_partitioned: bool,
}

/// Returns the controller that a response redirects a worker to, if any.
pub(super) fn redirect_target(response: &Response) -> Option<usize> {
    let body: serde_json::Value = serde_json::from_slice(&response.body).ok()?;
    let name = body.get("foreman")?.as_str()?;
    name.strip_prefix('n')?.parse().ok()
}

impl Worker {
    /// Creates the next heartbeat.
    fn heartbeat(&mut self, id: &MachineId) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            machine: id.clone(),
            addr: "127.0.0.1:9000".into(),
            machine_type: self.machine_type.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            reclaim_in_s: None,
            tasks: self
                .tasks
                .iter()
                .map(|(k, t)| TaskStatus {
                    task: k.to_string(),
                    attempt: t.attempt,
                    state: t.state,
                    cause: t.cause,
                    checkpointed: None,
                })
                .collect(),
        }
    }

    /// Removes all tasks and begins a new incarnation if the lease has expired. Hung machines are
    /// included: one that resumes within its lease keeps its tasks.
    fn expire_lease(&mut self, now: Instant) {
        if now > self.lease_start + LEASE {
            self.tasks.clear();
            self.incarnation += 1;
            self.sequence = 0;
            self.lease_start = now;
            self.pending_heartbeat = None;
        }
    }

    /// Returns whether the worker has restarted with reset counters after commands were sent, and no controller has shown
    /// it a higher token than before. It then carries them out if they are for the incarnation of that number.
    pub(super) fn accepts_from_before_reset(&self, sent: Instant) -> bool {
        let was_sent_before = self.reset_at.is_some_and(|reset| sent < reset);
        was_sent_before && self.fencing_token <= self.token_before_reset
    }

    /// Switches to the next controller for heartbeats.
    fn switch_node(&mut self, nodes: usize) {
        self.node = (self.node + 1) % nodes;
    }
}

impl Simulation {
    /// Creates a machine's next heartbeat without sending it, for a test to deliver later.
    pub fn heartbeat_of(&mut self, id: &MachineId) -> Heartbeat {
        self.workers.get_mut(id).unwrap().heartbeat(id)
    }

    /// Executes a controller's commands, and checks the invariants for each start.
    pub(super) fn execute(&mut self, id: &MachineId, commands: &[TaskCommand]) {
        let mut sibling_zones = self.zones_of_tasks(commands);
        if commands
            .iter()
            .any(|c| matches!(c, TaskCommand::Start { .. }))
        {
            self.check_recorded(id);
        }
        if !self.workers.contains_key(id) {
            return;
        }
        for command in commands {
            match command {
                TaskCommand::Start { task, attempt } => {
                    self.start_task(
                        id,
                        parse_task_id(task).unwrap(),
                        *attempt,
                        &mut sibling_zones,
                    );
                }
                TaskCommand::Stop { task, attempt, .. } => {
                    self.stop_task(id, &parse_task_id(task).unwrap(), *attempt);
                }
                TaskCommand::Forget { task, attempt } => {
                    self.forget_task(id, &parse_task_id(task).unwrap(), *attempt);
                }
            }
        }
    }

    /// Returns the zones of the present tasks of all jobs that these commands start tasks of and that
    /// restrict the zones of their tasks relative to one another.
    fn zones_of_tasks(&self, commands: &[TaskCommand]) -> BTreeMap<TaskId, String> {
        let mut zones = BTreeMap::new();
        for command in commands {
            let TaskCommand::Start { task, .. } = command else {
                continue;
            };
            let job = parse_task_id(task).unwrap().job;
            let spec = &self.checker.specs[&*job];
            if spec.one_zone || spec.spread {
                for (machine, key) in self.placements(&job) {
                    zones.insert(key, self.workers[&machine].zone.clone());
                }
            }
        }
        zones
    }

    fn start_task(
        &mut self,
        id: &MachineId,
        key: TaskId,
        attempt: u64,
        sibling_zones: &mut BTreeMap<TaskId, String>,
    ) {
        let worker = &self.workers[id];
        let current = worker.tasks.get(&key);
        if current.is_some_and(|t| t.attempt == attempt) {
            return;
        }
        let zone = worker.zone.clone();
        self.counters.starts += 1;
        self.check_start(&key, &zone, sibling_zones);
        let worker = &self.workers[id];
        let spec = &self.checker.specs[&*key.job];
        let runs_at = self.now + self.image_fetch_time;
        let mut task = WorkerTask {
            attempt,
            state: TaskState::Running,
            cause: None,
            ends_at: (spec.job_kind != JobKind::Service).then(|| runs_at + spec.estimate),
            runs_at,
        };
        if !self.image_fetch_time.is_zero() {
            task.state = TaskState::Fetching;
        }
        if worker.failing || self.broken_jobs.contains(&*key.job) {
            (task.state, task.cause) = (TaskState::Exited, Some(ExitCause::Error));
        }
        if spec.one_zone || spec.spread {
            sibling_zones.insert(key.clone(), zone);
        }
        let worker = self
            .workers
            .get_mut(id)
            .expect("the worker was found above");
        worker.tasks.insert(key, task);
    }

    fn stop_task(&mut self, id: &MachineId, key: &TaskId, attempt: u64) {
        let task = self.workers.get_mut(id).and_then(|w| w.tasks.get_mut(key));
        if let Some(task) = task
            && task.attempt == attempt
            && task.state != TaskState::Exited
        {
            (task.state, task.cause) = (TaskState::Exited, Some(ExitCause::Stopped));
        }
    }

    fn forget_task(&mut self, id: &MachineId, key: &TaskId, attempt: u64) {
        let worker = self
            .workers
            .get_mut(id)
            .expect("commands are executed on existing workers only");
        let ended = |t: &WorkerTask| t.attempt == attempt && t.state == TaskState::Exited;
        if worker.tasks.get(key).is_some_and(ended) {
            self.counters.tasks_forgotten += 1;
            worker.tasks.remove(key);
        }
    }

    /// Advances the tasks, lease and heartbeats of each worker by one tick.
    pub(super) fn advance_workers(&mut self) {
        let ids: Vec<MachineId> = self.workers.keys().cloned().collect();
        for id in ids {
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            if self.now < worker.up_at {
                continue;
            }
            worker.expire_lease(self.now);
            if worker.hung {
                continue;
            }
            self.advance_tasks(&id);
            let worker = &self.workers[&id];
            if let Some(exchange) = worker.pending_heartbeat {
                self.await_heartbeat_response(&id, exchange);
            } else if self.now >= worker.next_heartbeat {
                self.send_heartbeat(&id);
            }
        }
    }

    fn advance_tasks(&mut self, id: &MachineId) {
        let now = self.now;
        let worker = self.workers.get_mut(id).expect("the worker exists");
        let mut changed = false;
        for (key, task) in &mut worker.tasks {
            if task.state == TaskState::Fetching && task.runs_at <= now {
                task.state = TaskState::Running;
                let late = self.checker.cancelled_at.contains_key(&*key.job);
                self.counters.late_starts += u32::from(late);
                changed = true;
            }
            if task.state == TaskState::Running && task.ends_at.is_some_and(|e| e <= now) {
                (task.state, task.cause) = (TaskState::Exited, Some(ExitCause::Done));
                self.checker.completed.insert(key.clone());
                changed = true;
            }
        }
        if changed {
            worker.next_heartbeat = worker.next_heartbeat.min(now + CHANGE_HEARTBEAT_DELAY);
        }
    }

    /// Processes the response to a heartbeat, or switches to another controller after `RESPONSE_TIMEOUT`.
    fn await_heartbeat_response(&mut self, id: &MachineId, exchange: HeartbeatExchange) {
        let nodes = self.setup.nodes;
        let worker = self.workers.get_mut(id).expect("the worker exists");
        let Some(response) = self.network.responses.remove(&exchange.ticket) else {
            if self.now > exchange.sent + RESPONSE_TIMEOUT {
                worker.pending_heartbeat = None;
                worker.switch_node(nodes);
            }
            return;
        };
        worker.pending_heartbeat = None;
        if worker.partitioned_from.contains(&exchange.node) || worker.inbound_partitioned {
            return;
        }
        let body: Option<HeartbeatResponse> = serde_json::from_slice(&response.body).ok();
        match (response.status, body) {
            (200, Some(a))
                if a.fencing_token >= worker.fencing_token
                    && exchange.incarnation == worker.incarnation =>
            {
                worker.fencing_token = a.fencing_token;
                worker.lease_start = exchange.sent;
                self.execute(id, &a.commands);
            }
            (200, _) => {}
            _ => match redirect_target(&response) {
                Some(other) if other != worker.node => {
                    worker.node = other;
                    worker.next_heartbeat = self.now + TICK * 4;
                }
                _ => worker.switch_node(nodes),
            },
        }
    }

    fn send_heartbeat(&mut self, id: &MachineId) {
        let now = self.now;
        let worker = self.workers.get_mut(id).expect("the worker exists");
        worker.next_heartbeat = now + HEARTBEAT_INTERVAL;
        let node = worker.node;
        if !self.nodes[node].up
            || worker.partitioned_from.contains(&node)
            || worker.outbound_partitioned
        {
            return worker.switch_node(self.setup.nodes);
        }
        let heartbeat = Box::new(worker.heartbeat(id));
        let incarnation = worker.incarnation;
        if !self.faults.duplicate_delay.is_zero() {
            let at = now + self.random_duplicate_delay();
            let to = self.rng.random_range(0..self.setup.nodes);
            let copy = (*heartbeat).clone();
            self.network.delayed_heartbeats.push((at, to, copy));
        }
        let share = self.faults.replayed_heartbeat_share;
        if share > 0.0 && self.rng.random_bool(share) {
            self.network.heartbeats_to_replay.push((*heartbeat).clone());
        }
        self.counters.heartbeats += 1;
        let ticket = self.new_ticket();
        let exchange = HeartbeatExchange {
            node,
            ticket,
            incarnation,
            sent: now,
        };
        let worker = self.workers.get_mut(id).expect("the worker exists");
        worker.pending_heartbeat = Some(exchange);
        self.nodes[node]
            .inbox
            .push(Command::Heartbeat { ticket, heartbeat });
    }

    /// Returns a random delay for a duplicate message.
    fn random_duplicate_delay(&mut self) -> Duration {
        let fraction = self.rng.random_range(0.1..1.0);
        self.faults.duplicate_delay.mul_f64(fraction)
    }

    /// Executes direct commands as a worker does: only with a current fencing token and for its present
    /// incarnation.
    pub fn execute_direct(
        &mut self,
        id: &MachineId,
        body: &DirectCommands,
    ) -> Option<DirectOutcome> {
        let worker = self.workers.get_mut(id)?;
        let accepted =
            body.fencing_token >= worker.fencing_token && body.incarnation == worker.incarnation;
        if accepted {
            worker.fencing_token = body.fencing_token;
            self.execute(id, &body.commands);
        }
        let worker = self.workers.get_mut(id)?;
        Some(DirectOutcome::Heartbeat {
            heartbeat: Box::new(worker.heartbeat(id)),
            executed: accepted,
        })
    }

    /// Performs a controller's direct call and returns the outcome that it sees, subject to the injected
    /// faults.
    pub(super) fn call_worker(
        &mut self,
        i: usize,
        id: &MachineId,
        request: DirectRequest,
    ) -> DirectOutcome {
        let unknown = DirectOutcome::Unknown("timeout".into());
        self.nodes[i].direct_calls += 1;
        let Some(worker) = self.workers.get(id) else {
            return DirectOutcome::NotSent("no route".into());
        };
        let body = match request {
            DirectRequest::Commands(body) => body,
            DirectRequest::Status { token } => DirectCommands {
                fencing_token: token,
                incarnation: worker.incarnation,
                commands: Vec::new(),
            },
        };
        if worker.inbound_partitioned {
            return DirectOutcome::NotSent("timeout".into());
        }
        let held = worker.hung || worker.partitioned_from.contains(&i);
        if !self.faults.duplicate_delay.is_zero() {
            let at = self.now + self.random_duplicate_delay();
            let copy = self.command_copy(id, &body);
            self.network.delayed_commands.push((at, copy));
        }
        if self.faults.late_command_share > 0.0
            && self.rng.random_bool(self.faults.late_command_share)
        {
            let at = self.now + Duration::from_millis(self.rng.random_range(2000..16000));
            self.counters.commands_delayed += 1;
            let copy = self.command_copy(id, &body);
            self.network.delayed_commands.push((at, copy));
            return unknown;
        }
        if held || self.faults.hold_commands {
            // Held by the network, or by the machine until it resumes.
            self.network.held_commands.push((id.clone(), body));
            return unknown;
        }
        self.execute_direct(id, &body).unwrap_or(unknown)
    }

    /// Returns a copy of direct commands that are sent to a machine now.
    fn command_copy(&self, id: &MachineId, body: &DirectCommands) -> CommandCopy {
        CommandCopy {
            machine: id.clone(),
            body: body.clone(),
            sent: self.now,
        }
    }

    /// Reboots a machine, which is back after 200 ms without tasks. With `from_one`, its incarnation and
    /// its other counters start from their first values; otherwise it begins the next incarnation.
    pub fn reboot(&mut self, id: &MachineId, from_one: bool) {
        let now = self.now;
        if let Some(worker) = self.workers.get_mut(id) {
            worker.tasks.clear();
            worker.pending_heartbeat = None;
            (worker.lease_start, worker.next_heartbeat) = (now, now + TICK * 4);
            if from_one {
                // Commands in flight are lost, as its connections end. Copies may still arrive.
                self.network.held_commands.retain(|(to, _)| to != id);
                worker.reset_at = Some(now);
                worker.token_before_reset = worker.token_before_reset.max(worker.fencing_token);
                (worker.incarnation, worker.sequence, worker.fencing_token) = (1, 0, 0);
            } else {
                worker.incarnation += 1;
            }
        }
    }

    /// Returns the tasks of a job that have not ended, each with its machine.
    pub fn placements(&self, id: &str) -> Vec<(MachineId, TaskId)> {
        let mut found = Vec::new();
        for (m, worker) in &self.workers {
            for (key, t) in &worker.tasks {
                if &*key.job == id && t.state != TaskState::Exited {
                    found.push((m.clone(), key.clone()));
                }
            }
        }
        found
    }
}
