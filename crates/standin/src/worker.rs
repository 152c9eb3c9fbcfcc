//! A stand-in machine with its worker: it boots, reports, runs tasks by the clock, and is lost.

use crate::records::Records;
use burlusher::http::{Answer, Client, Request};
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
/// A change is reported this long after the last report at the earliest.
const AFTER_A_CHANGE: Duration = Duration::from_millis(500);

/// What all machines share: the jobs that users uploaded, the records, the controllers.
pub struct World {
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

impl World {
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

struct Inner {
    session: u64,
    seq: u64,
    token: u64,
    /// When the last answered report was sent.
    answered: Instant,
    tasks: BTreeMap<String, Task>,
    images: Vec<String>,
    gone: bool,
    taken_at: Option<Instant>,
    news: bool,
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
    world: Arc<World>,
    inner: Mutex<Inner>,
}

impl Worker {
    /// A machine that boots; `offer` is its type, its zone and whether it is a spot machine.
    pub fn new(
        id: String,
        addr: SocketAddrV4,
        offer: (String, String, bool),
        room: Resources,
        world: Arc<World>,
    ) -> Worker {
        Worker {
            id,
            addr,
            kind: offer.0,
            zone: offer.1,
            spot: offer.2,
            room,
            world,
            inner: Mutex::new(Inner {
                session: 1,
                seq: 0,
                token: 0,
                answered: Instant::now(),
                tasks: BTreeMap::new(),
                images: Vec::new(),
                gone: false,
                taken_at: None,
                news: false,
            }),
        }
    }

    /// What it shares with the other machines.
    pub fn world(&self) -> &Arc<World> {
        &self.world
    }

    /// The machine will be taken after this time.
    pub fn notice(&self, after: Duration) {
        let mut w = self.inner.lock().expect("no panic holds it");
        w.taken_at = Some(Instant::now() + after);
        w.news = true;
    }

    /// The machine and everything on it is gone.
    pub fn remove(&self) {
        let mut w = self.inner.lock().expect("no panic holds it");
        self.forget_all(&mut w);
        w.gone = true;
    }

    /// Whether it was deleted or taken.
    pub fn is_gone(&self) -> bool {
        self.inner.lock().expect("no panic holds it").gone
    }

    fn forget_all(&self, w: &mut Inner) {
        let mut records = self.world.records.lock().expect("no panic holds it");
        for (task, t) in std::mem::take(&mut w.tasks) {
            if t.state == TaskState::Running
                && let Some(key) = parse_task_id(&task)
            {
                records.leave(&key.job, key.index, &self.zone, None);
            }
        }
    }

    /// What the passing of time brings about.
    fn advance(&self, w: &mut Inner) {
        let now = Instant::now();
        if w.taken_at.is_some_and(|t| now >= t) && !w.gone {
            self.forget_all(w);
            w.gone = true;
        }
        if now > w.answered + self.world.lease {
            self.forget_all(w);
            w.session += 1;
            w.answered = now;
            w.news = true;
        }
        for (task, t) in &mut w.tasks {
            let Some(key) = parse_task_id(task).filter(|_| now >= t.until) else {
                continue;
            };
            let mut records = self.world.records.lock().expect("no panic holds it");
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
            w.news = true;
        }
    }

    fn execute(&self, w: &mut Inner, orders: Vec<TaskCommand>) {
        let now = Instant::now();
        for order in orders {
            w.news = true;
            match order {
                TaskCommand::Start { task, attempt } => {
                    let held = w.tasks.get(&task);
                    if held.is_some_and(|t| t.attempt == attempt) {
                        continue;
                    }
                    let busy = held.is_some_and(|t| t.state != TaskState::Exited);
                    let jobs = self.world.jobs.lock().expect("no panic holds it");
                    let Some(job) = parse_task_id(&task).and_then(|k| jobs.get(&*k.job).cloned())
                    else {
                        continue;
                    };
                    let mut free = self.room;
                    for t in w.tasks.values().filter(|t| t.state != TaskState::Exited) {
                        free.sub(&t.job.0.resources);
                    }
                    let image = job.0.image.clone();
                    let why = if busy {
                        // Another attempt of it is here: this one is refused, and not kept.
                        continue;
                    } else if job.0.resources.fits(&free) {
                        None
                    } else {
                        Some(ExitCause::NoRoom)
                    };
                    let cached = w.images.contains(&image);
                    if !cached {
                        w.images.push(image);
                    }
                    let task_now = Task {
                        job,
                        attempt,
                        state: match why {
                            Some(_) => TaskState::Exited,
                            None => TaskState::Fetching,
                        },
                        until: if cached { now } else { now + FETCH },
                        why,
                    };
                    w.tasks.insert(task, task_now);
                }
                TaskCommand::Stop { task, attempt, .. } => {
                    if let Some(t) = w.tasks.get_mut(&task).filter(|t| t.attempt == attempt)
                        && t.state != TaskState::Exited
                    {
                        if t.state == TaskState::Running
                            && let Some(key) = parse_task_id(&task)
                        {
                            let mut records = self.world.records.lock().expect("no panic");
                            records.leave(&key.job, key.index, &self.zone, None);
                        }
                        t.state = TaskState::Exited;
                        t.why = Some(ExitCause::Stopped);
                    }
                }
                TaskCommand::Forget { task, attempt } => {
                    let exited = |t: &Task| t.attempt == attempt && t.state == TaskState::Exited;
                    if w.tasks.get(&task).is_some_and(exited) {
                        w.tasks.remove(&task);
                    }
                }
            }
        }
    }

    fn report(&self, w: &mut Inner) -> Heartbeat {
        self.advance(w);
        w.seq += 1;
        let left = |t: Instant| t.saturating_duration_since(Instant::now()).as_secs_f64();
        Heartbeat {
            machine: self.id.as_str().into(),
            addr: self.addr.to_string(),
            machine_type: self.kind.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: w.session,
            sequence: w.seq,
            fencing_token: w.token,
            reclaim_in_s: w.taken_at.map(left),
            tasks: w
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
    pub fn answer(&self, r: &Request) -> Option<Answer> {
        let mut w = self.inner.lock().expect("no panic holds it");
        if w.gone {
            return None;
        }
        let mut status = 200;
        if r.method == "POST" {
            let Ok(body) = serde_json::from_slice::<DirectCommands>(&r.body) else {
                return Some(Answer::error(400, "malformed"));
            };
            self.advance(&mut w);
            if body.fencing_token < w.token || body.incarnation != w.session {
                status = 409;
            } else {
                w.token = body.fencing_token;
                self.execute(&mut w, body.commands);
            }
        }
        let report = self.report(&mut w);
        Some(Answer::new(status, to_json(&report)))
    }

    /// The report to send now, if one is due: an interval after the last one was sent, or sooner where something
    /// has changed.
    pub fn report_due(&self, last: Instant) -> Option<Vec<u8>> {
        let mut w = self.inner.lock().expect("no panic holds it");
        self.advance(&mut w);
        let interval = self.world.report;
        let sooner = (interval / 2).min(AFTER_A_CHANGE);
        let waited = last.elapsed();
        let due = waited >= interval || (w.news && waited >= sooner);
        if w.gone || !due {
            return None;
        }
        w.news = false;
        Some(to_json(&self.report(&mut w)))
    }

    /// Reports until the machine is gone.
    pub fn live(&self) {
        let mut node = 0;
        let mut client = Client::new(self.world.nodes[node].1, Duration::from_millis(500));
        let mut last = Instant::now() - self.world.report;
        while !self.is_gone() {
            std::thread::sleep(TICK);
            let Some(report) = self.report_due(last) else {
                continue;
            };
            last = Instant::now();
            let answer = client.call(
                "POST",
                PATH_HEARTBEAT,
                &report,
                Duration::from_secs(4),
                false,
            );
            let next = match answer {
                Ok((200, body)) => {
                    if let Ok(a) = serde_json::from_slice::<HeartbeatResponse>(&body) {
                        self.take_in(a, last);
                    }
                    continue;
                }
                Ok((421, body)) => {
                    let to = serde_json::from_slice::<Redirect>(&body).ok();
                    self.world.next_node(node, to.and_then(|r| r.leader))
                }
                _ => self.world.next_node(node, None),
            };
            if next.1 {
                std::thread::sleep(Duration::from_secs(1));
            }
            node = next.0;
            client = Client::new(self.world.nodes[node].1, Duration::from_millis(500));
            last = Instant::now() - self.world.report;
        }
    }

    /// The answer to a report that was sent at this moment.
    pub fn take_in(&self, answer: HeartbeatResponse, sent: Instant) {
        let mut w = self.inner.lock().expect("no panic holds it");
        if answer.fencing_token < w.token
            || w.gone
            || Instant::now() > w.answered + self.world.lease
        {
            return;
        }
        w.token = answer.fencing_token;
        w.answered = sent;
        self.execute(&mut w, answer.commands);
    }
}
