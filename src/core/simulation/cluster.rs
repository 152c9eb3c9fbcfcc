//! An in-memory world for the stories: state service, cloud, workers and network, in virtual time.
//! It watches the rules at every tick: no task on two machines, no team over its limit, nothing
//! of a cancelled job left, nothing said and then unsaid, no task ahead of a job that it awaits.

use crate::cloud::{CloudOutcome, CloudRequest};
use crate::core::simulation::recorded_decisions::DecisionRecorder;
use crate::core::{Ask, Command, Core, Effect, LEASE_TTL, Now, Stand, Ticket, UserRequest};
use crate::guard::{Guard, stands};
use crate::http::Answer;
use crate::job::{JobSpec, Kind, MachineId, TaskKey};
use crate::link;
use crate::peer::{self, PeerAnswer, PeerRequest};
use crate::policy::Policy;
use crate::recall::{self, Recall};
use crate::settings::Settings;
use crate::state::{PREFIX, StateOutcome, StateRequest};
use crate::wire::{
    Change, DirectBody, Event, Item, JobAnswer, JobState, ListedMachine, ListedState, MachineType,
    Order, Report, ReportAnswer, RowReport, RowState, Txn, Why, parse_task,
};
use crate::worker::{DirectOutcome, DirectRequest};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

/// A task that starts is in a zone that its job allows, given the job's other tasks.
fn in_zone(key: &TaskKey, spec: &JobSpec, zone: &str, beside: &BTreeMap<TaskKey, String>) {
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

/// The node that an answer refers a worker to.
fn named(answer: &Answer) -> Option<usize> {
    let body: serde_json::Value = serde_json::from_slice(&answer.body).ok()?;
    let name = body.get("foreman")?.as_str()?;
    name.strip_prefix('n')?.parse().ok()
}

pub const TICK: Duration = Duration::from_millis(50);

/// How many controllers there are, and what a cancellation may take.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub nodes: usize,
    pub cancel: Duration,
}

pub const SETUP: Setup = Setup {
    nodes: 3,
    cancel: Duration::from_secs(20),
};
/// A worker's lease.
pub const LEASE: Duration = Duration::from_secs(10);
/// A client of the state service takes an answer for lost after this.
const NO_ANSWER: Duration = Duration::from_millis(1500);
/// So long a job may wait while a machine that fits has room, once all troubles are over.
const NEGLECTED: Duration = Duration::from_secs(90);

pub fn settings(name: &str, setup: Setup) -> Settings {
    let peers: Vec<serde_json::Value> = (0..setup.nodes)
        .map(|n| format!("n{n}"))
        .filter(|p| p != name)
        .map(|p| serde_json::json!({"host_name": p, "zone": "a", "address": "127.0.0.1:3"}))
        .collect();
    let text = serde_json::json!({
        "host_name": name, "zone": "a", "public_addr": "127.0.0.1:1", "back": "127.0.0.1:2",
        "peers": peers,
        "services": {"cloud": "127.0.0.1:4", "state": "127.0.0.1:5"},
        "params": {
            "zones": ["a", "b"],
            "teams": [{"name": "t", "cpus": 0.0, "cpus_max": 24.0}, {"name": "u", "cpus": 8.0}],
            "objectives": [
                {"kind": "wait", "class": "urgent", "within_s": 10.0, "share": 0.95}
            ],
            "workers": {"report_s": 1.0, "lease_s": LEASE.as_secs_f64(), "cancel_s": setup.cancel.as_secs_f64()},
            "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 16,
                      "next": {"write_rps": 35.0, "value_kb": 2.0, "txn_ops": 10}},
            "cloud": {"rps": 10.0, "list_lag_s": 1.0},
            "quota": {"mem_mb": 100.0, "fd_limit": 1000}
        }
    });
    Settings::parse(&text.to_string()).unwrap()
}

/// How a node's calls to one service go.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Link {
    Good,
    Refused,
    /// Requests are carried out, answers are lost.
    AnswersLost,
    /// Requests are kept by the network and may be let through later.
    Held,
    /// Only transactions are.
    WritesHeld,
}

impl Link {
    fn reads(self) -> bool {
        matches!(self, Link::Good | Link::WritesHeld)
    }
}

#[derive(Clone)]
struct Entry {
    value: serde_json::Value,
    version: u64,
    lease: Option<u64>,
}

/// Bytes of a value, and changes of a transaction.
pub type Limits = (usize, usize);
pub const LIMITS: Limits = (8192, 16);
pub const NEXT_LIMITS: Limits = (2048, 10);

#[derive(Clone, Default)]
struct StateService {
    limits: Limits,
    keys: BTreeMap<String, Entry>,
    revision: u64,
    events: Vec<Event>,
    leases: BTreeMap<u64, Instant>,
    next_lease: u64,
    /// Transactions over the limits.
    refused: u32,
}

impl StateService {
    fn drop_key(&mut self, key: &str) {
        if self.keys.remove(key).is_some() {
            self.events.push(Event {
                put: None,
                delete: Some(key.into()),
                value: serde_json::Value::Null,
                version: self.revision,
                lease: None,
            });
        }
    }

    fn expire(&mut self, now: Instant) {
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, end)| **end <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.leases.remove(&id);
            self.revision += 1;
            let keys: Vec<String> = self
                .keys
                .iter()
                .filter(|(_, e)| e.lease == Some(id))
                .map(|(k, _)| k.clone())
                .collect();
            for key in keys {
                self.drop_key(&key);
            }
        }
    }

    /// The machines that are on record.
    fn recorded(&self) -> BTreeSet<MachineId> {
        let pages = self
            .keys
            .iter()
            .filter(|(k, _)| k.starts_with("burlusher/p/"));
        let ids = pages.filter_map(|(_, e)| e.value.get("machines")?.as_object());
        ids.flat_map(|m| m.keys().map(|id| id.as_str().into()))
            .collect()
    }

    /// All that is under our prefix.
    fn items(&self) -> Vec<Item> {
        let keys = self.keys.iter().filter(|(k, _)| k.starts_with(PREFIX));
        let item = |(k, e): (&String, &Entry)| Item {
            key: k.clone(),
            value: e.value.clone(),
            version: e.version,
            lease: e.lease,
        };
        keys.map(item).collect()
    }

    fn perform(&mut self, request: &StateRequest) -> StateOutcome {
        match request {
            StateRequest::LeaseRuns(id) => StateOutcome::Runs(self.leases.contains_key(id)),
            StateRequest::Get(key) => match self.keys.get(key) {
                Some(e) => StateOutcome::Found(Item {
                    key: key.clone(),
                    value: e.value.clone(),
                    version: e.version,
                    lease: e.lease,
                }),
                None => StateOutcome::Missing {
                    revision: self.revision,
                },
            },
            StateRequest::Page { under, after, most } => {
                let keys = self.keys.iter();
                let mut found = keys.filter(|(k, _)| k.starts_with(under.as_str()) && *k > after);
                let item = |(k, e): (&String, &Entry)| Item {
                    key: k.clone(),
                    value: e.value.clone(),
                    version: e.version,
                    lease: e.lease,
                };
                StateOutcome::Page {
                    items: found.by_ref().take(*most).map(item).collect(),
                    more: found.next().is_some(),
                    revision: self.revision,
                }
            }
            StateRequest::Txn(txn) => self.txn(txn),
        }
    }

    fn txn(&mut self, txn: &Txn) -> StateOutcome {
        let (bytes, ops) = self.limits;
        let too_large = |c: &Change| match c {
            Change::Put { value, .. } => value.to_string().len() > bytes,
            Change::Delete { .. } => false,
        };
        if txn.changes.len() > ops
            || txn.conditions.len() > 4 * ops
            || txn.changes.iter().any(too_large)
        {
            self.refused += 1;
            return StateOutcome::Invalid("400 over the limit".into());
        }
        let failed: Vec<String> = txn
            .conditions
            .iter()
            .filter(|c| self.keys.get(&c.key).map_or(0, |e| e.version) != c.version)
            .map(|c| c.key.clone())
            .collect();
        if !failed.is_empty() {
            return StateOutcome::Conflict {
                failed,
                revision: self.revision,
            };
        }
        let lease_ok = |c: &Change| match c {
            Change::Put { lease: Some(l), .. } => self.leases.contains_key(l),
            _ => true,
        };
        if !txn.changes.iter().all(lease_ok) {
            return StateOutcome::Invalid("no such lease".into());
        }
        if !txn.changes.is_empty() {
            self.revision += 1;
        }
        for change in &txn.changes {
            match change {
                Change::Put { key, value, lease } => {
                    let e = Entry {
                        value: value.clone(),
                        version: self.revision,
                        lease: *lease,
                    };
                    self.events.push(Event {
                        put: Some(key.clone()),
                        delete: None,
                        value: value.clone(),
                        version: self.revision,
                        lease: *lease,
                    });
                    self.keys.insert(key.clone(), e);
                }
                Change::Delete { key } => self.drop_key(key),
            }
        }
        StateOutcome::Committed {
            revision: self.revision,
        }
    }
}

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

pub struct Node {
    pub core: Core,
    pub up: bool,
    pub state: Link,
    pub peers: bool,
    /// Its watch of the state service is delayed.
    pub lags: bool,
    /// It stands still, while what is sent to it waits.
    pub frozen: bool,
    /// Processor time that its steps took.
    pub busy: Duration,
    /// Direct calls that it made.
    pub calls: u32,
    inbox: Vec<Command>,
    lease: Option<u64>,
    stand: Option<Stand>,
    next_renewal: Instant,
    /// A full read that the service has begun to answer: what it tells is as old as that.
    reading: Option<(Vec<Item>, u64)>,
    /// The revision after which its watch asks for changes, and when that was answered last.
    seen: Option<u64>,
    told: Instant,
    restart_at: Option<Instant>,
}

/// What the state service held once.
pub struct Backup(StateService);

pub struct World {
    pub setup: Setup,
    pub now: Instant,
    start: Instant,
    pub nodes: Vec<Node>,
    state: StateService,
    pub workers: BTreeMap<MachineId, Worker>,
    pub types: Vec<MachineType>,
    pub capacity: BTreeMap<(String, bool), u32>,
    hires: BTreeMap<String, Vec<MachineId>>,
    /// How many machines were rented: spot ones, and ordinary ones.
    pub rented: (u32, u32),
    next_machine: u32,
    next_ticket: Ticket,
    forwards: BTreeMap<Ticket, (usize, Ticket)>,
    /// Frames of controllers that serve workers: who sent them, their numbers, and when.
    syncs: BTreeMap<Ticket, (usize, u64, Instant)>,
    /// Questions between controllers of what they remember.
    recalls: BTreeMap<Ticket, (usize, String, Recall)>,
    answers: BTreeMap<Ticket, Answer>,
    /// Reports and commands arrive once more this much later, at any node, if that is above 0.
    pub copies: Duration,
    late_reports: Vec<(Instant, usize, Report)>,
    late_commands: Vec<(Instant, MachineId, DirectBody)>,
    /// This share of transactions gets no answer and is carried out 2 to 12 s later.
    pub late_writes: f64,
    late_txns: Vec<(Instant, Txn)>,
    /// This share of transactions is carried out at once, and its answer lost; only of those that change a
    /// key which begins like this.
    pub lost_answers: f64,
    pub lost_answers_under: &'static str,
    /// How many answers were lost so.
    pub answers_lost: u32,
    /// This share of direct commands gets no answer and is carried out 2 to 16 s later, once.
    pub late_command_share: f64,
    /// How many were held up so.
    pub commands_late: u32,
    /// Copies of this share of reports reach every controller when the next leadership begins.
    pub reports_for_next: f64,
    kept_reports: Vec<Report>,
    /// How many of them were delivered.
    pub reports_delivered_to_next: u32,
    /// Users ask every controller at once, and repeat the submission, as soon as a job is accepted or over.
    pub close_looks: bool,
    looks: BTreeMap<Ticket, (String, Instant)>,
    /// How many such questions were answered with a job's state.
    pub looks_answered: u32,
    /// Who began a leadership in each term: the controller, its process, and which of its leaderships.
    leaderships: BTreeMap<u64, (usize, u64, u64)>,
    /// Tasks that were started on a machine which no leader to come would know of.
    pub unrecorded_starts: u32,
    /// What the network keeps for later delivery.
    pub held_txns: Vec<Txn>,
    pub held_commands: Vec<(MachineId, DirectBody)>,
    pub hold_commands: bool,
    pub cloud_down: bool,
    /// Rentals are carried out, but nobody hears of it.
    pub rentals_unheard: bool,
    /// Zones in which nothing is to be had.
    pub drained: BTreeSet<String>,
    pub policy: Arc<Policy>,
    pub cloud_calls: u32,
    pub reports: u32,
    pub broken_jobs: BTreeSet<String>,
    specs: BTreeMap<String, JobSpec>,
    /// Final states that users were told of, and when first.
    told_final: BTreeMap<String, (JobState, Instant)>,
    /// Jobs that some user was told of as accepted.
    told: BTreeSet<String>,
    /// Controllers that remember all that the store held when it lost data, until it is whole again.
    memories: Option<BTreeSet<usize>>,
    /// Keys of jobs that the store held then, and whether they were over.
    owed: BTreeMap<String, bool>,
    /// Those that have not been ended since it lost data last.
    pub witnesses: BTreeSet<usize>,
    /// Machines whose record the store has lost. If nobody remembers them either, what they hold may be
    /// started once more, whatever is done: a list of the cloud comes too late to tell of all.
    unrecorded: BTreeSet<MachineId>,
    /// All that remember it were ended: what was told then is known to nobody, and may be unsaid.
    pub amnesia: bool,
    /// Jobs whose users asked to cancel them.
    asked: BTreeSet<String>,
    /// When users were told so.
    pub cancelled: BTreeMap<String, Instant>,
    /// Cancellations whose answers nobody waits for, and what they were about.
    cancelling: BTreeMap<Ticket, (String, Instant)>,
    /// The state service serves nobody; no lease runs out, and each has its full time again afterwards.
    pub outage: bool,
    /// The state service answers up to this much later.
    pub slow: Duration,
    slow_answers: Vec<(Instant, usize, Command)>,
    /// How long a rented machine takes until it is up.
    pub boot: Duration,
    /// How long a machine fetches the image of each task.
    pub fetch: Duration,
    /// Tasks that began to run, and commands to start them that were carried out, after their user was told
    /// that their job is cancelled.
    pub late_starts: u32,
    /// Since when jobs wait though a machine has room for them.
    waiting: BTreeMap<String, Instant>,
    looked: Instant,
    pub completed: BTreeSet<TaskKey>,
    pub starts: u32,
    pub clears: u32,
    /// Takes in what the controllers decide, where a test asks for it.
    pub recorder: Option<DecisionRecorder>,
    rng: SmallRng,
}

impl World {
    pub fn new(seed: u64) -> World {
        World::with_policy(seed, Policy::built_in())
    }

    pub fn with_policy(seed: u64, policy: Policy) -> World {
        World::with_setup(seed, policy, SETUP)
    }

    pub fn with_setup(seed: u64, policy: Policy, setup: Setup) -> World {
        let now = Instant::now();
        let mut w = World {
            setup,
            now,
            start: now,
            nodes: Vec::new(),
            state: StateService {
                limits: LIMITS,
                ..StateService::default()
            },
            workers: BTreeMap::new(),
            types: vec![
                MachineType {
                    name: "small".into(),
                    cpus: 4.0,
                    gpus: 0.0,
                    ram: 16.0,
                    cache_gb: 10.0,
                    fetch_gb_per_s: 1.0,
                    price: 1.0,
                    spot_price: Some(0.3),
                    boot_s: 2.0,
                    zones: vec!["a".into(), "b".into()],
                },
                MachineType {
                    name: "large".into(),
                    cpus: 8.0,
                    gpus: 0.0,
                    ram: 32.0,
                    cache_gb: 10.0,
                    fetch_gb_per_s: 1.0,
                    price: 2.5,
                    spot_price: None,
                    boot_s: 2.0,
                    zones: vec!["a".into()],
                },
            ],
            capacity: BTreeMap::from([
                (("small".into(), false), 6),
                (("small".into(), true), 2),
                (("large".into(), false), 2),
            ]),
            hires: BTreeMap::new(),
            rented: (0, 0),
            next_machine: 1,
            next_ticket: 1,
            forwards: BTreeMap::new(),
            syncs: BTreeMap::new(),
            recalls: BTreeMap::new(),
            answers: BTreeMap::new(),
            copies: Duration::ZERO,
            late_reports: Vec::new(),
            late_commands: Vec::new(),
            late_writes: 0.0,
            late_txns: Vec::new(),
            lost_answers: 0.0,
            lost_answers_under: PREFIX,
            answers_lost: 0,
            late_command_share: 0.0,
            commands_late: 0,
            reports_for_next: 0.0,
            kept_reports: Vec::new(),
            reports_delivered_to_next: 0,
            close_looks: false,
            looks: BTreeMap::new(),
            looks_answered: 0,
            leaderships: BTreeMap::new(),
            unrecorded_starts: 0,
            held_txns: Vec::new(),
            held_commands: Vec::new(),
            hold_commands: false,
            cloud_down: false,
            rentals_unheard: false,
            drained: BTreeSet::new(),
            policy: Arc::new(policy),
            cloud_calls: 0,
            reports: 0,
            broken_jobs: BTreeSet::new(),
            specs: BTreeMap::new(),
            told_final: BTreeMap::new(),
            told: BTreeSet::new(),
            memories: None,
            owed: BTreeMap::new(),
            witnesses: (0..setup.nodes).collect(),
            unrecorded: BTreeSet::new(),
            amnesia: false,
            asked: BTreeSet::new(),
            cancelled: BTreeMap::new(),
            cancelling: BTreeMap::new(),
            outage: false,
            slow: Duration::ZERO,
            slow_answers: Vec::new(),
            boot: Duration::from_secs(2),
            fetch: Duration::ZERO,
            late_starts: 0,
            waiting: BTreeMap::new(),
            looked: now,
            completed: BTreeSet::new(),
            starts: 0,
            clears: 0,
            recorder: None,
            rng: SmallRng::seed_from_u64(seed),
        };
        for i in 0..setup.nodes {
            let node = w.fresh_node(i);
            w.nodes.push(node);
        }
        w
    }

    fn clock(&self) -> Now {
        let wall = Duration::from_secs(1_700_000_000) + (self.now - self.start);
        Now {
            mono: self.now,
            wall: SystemTime::UNIX_EPOCH + wall,
        }
    }

    fn fresh_node(&mut self, i: usize) -> Node {
        let s = Arc::new(settings(&format!("n{i}"), self.setup));
        let nonce = self.rng.random();
        Node {
            core: Core::new(s, self.policy.clone(), nonce, self.clock()),
            up: true,
            state: Link::Good,
            peers: true,
            lags: false,
            frozen: false,
            busy: Duration::ZERO,
            calls: 0,
            inbox: Vec::new(),
            lease: None,
            stand: None,
            next_renewal: self.now,
            reading: None,
            seen: None,
            told: self.now,
            restart_at: None,
        }
    }

    pub fn random(&mut self, n: usize) -> usize {
        self.rng.random_range(0..n)
    }

    pub fn kill(&mut self, i: usize, restart_after: Duration) {
        self.witnesses.remove(&i);
        if let Some(memories) = &mut self.memories {
            memories.remove(&i);
            self.amnesia |= memories.is_empty();
        }
        self.nodes[i].up = false;
        self.nodes[i].inbox.clear();
        self.slow_answers.retain(|(_, node, _)| *node != i);
        self.nodes[i].restart_at = Some(self.now + restart_after);
        self.forwards.retain(|_, (asker, _)| *asker != i);
        self.syncs.retain(|_, (asker, _, _)| *asker != i);
        let name = format!("n{i}");
        let unanswered = self
            .recalls
            .extract_if(.., |_, (a, to, _)| *a == i || *to == name);
        let unanswered: Vec<_> = unanswered.map(|(_, r)| r).collect();
        for (asker, peer, asked) in unanswered.into_iter().filter(|r| r.0 != i) {
            let answer = None;
            self.nodes[asker].inbox.push(Command::Recalled {
                peer,
                asked,
                answer,
            });
        }
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|i| self.nodes[*i].up && self.nodes[*i].core.leads())
    }

    /// Adds a machine that was there before.
    pub fn add_machine(&mut self, kind: &str, zone: &str) -> MachineId {
        let id: MachineId = format!("i-{:06}", self.next_machine).into();
        self.next_machine += 1;
        let node = self.random(self.nodes.len());
        self.workers.insert(
            id.clone(),
            Worker {
                kind: kind.into(),
                zone: zone.into(),
                spot: false,
                up_at: self.now,
                session: 1,
                seq: 0,
                token: 0,
                tasks: BTreeMap::new(),
                lease_from: self.now,
                next_report: self.now,
                node,
                waiting: None,
                hung: false,
                sick: false,
                cut: BTreeSet::new(),
                deaf: false,
                mute: false,
            },
        );
        id
    }

    pub fn ask(&mut self, node: usize, what: Ask) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let received = self.now;
        if self.nodes[node].up {
            self.nodes[node].inbox.push(Command::User(UserRequest {
                ticket,
                what,
                forwarded: false,
                tried: Vec::new(),
                received,
            }));
        }
        ticket
    }

    /// Asks one node and waits up to 3 s for its answer.
    fn request(&mut self, node: usize, what: Ask) -> Option<Answer> {
        let ticket = self.ask(node, what);
        for _ in 0..60 {
            self.tick();
            if let Some(a) = self.answers.remove(&ticket) {
                return Some(a);
            }
        }
        None
    }

    pub fn submit(&mut self, node: usize, spec: &JobSpec) -> u16 {
        // A repetition may carry anything; the job is what it was.
        let known = self.specs.contains_key(&*spec.id);
        if !known {
            self.specs.insert(spec.id.to_string(), spec.clone());
        }
        let asked = self.now;
        let answer = self.request(node, Ask::Submit(Box::new(spec.clone())));
        let status = answer.as_ref().map_or(0, |a| a.status);
        if !known && status == 422 {
            self.specs.remove(&*spec.id);
        }
        self.heard(&spec.id, asked, answer.as_ref());
        status
    }

    /// So many questions in one step; the answers' statuses.
    pub fn ask_at_once(&mut self, node: usize, id: &str, n: u32) -> Vec<u16> {
        let ask = |_| self.ask(node, Ask::Show(id.into()));
        let tickets: Vec<Ticket> = (0..n).map(ask).collect();
        self.run(2.0);
        let answers = tickets.iter().filter_map(|t| self.answers.remove(t));
        answers.map(|a| a.status).collect()
    }

    pub fn show(&mut self, node: usize, id: &str) -> (u16, Option<JobState>) {
        let asked = self.now;
        let answer = self.request(node, Ask::Show(id.into()));
        let state = self.heard(id, asked, answer.as_ref());
        (answer.map_or(0, |a| a.status), state)
    }

    pub fn cancel(&mut self, node: usize, id: &str) -> (u16, Option<JobState>) {
        self.asked.insert(id.into());
        let asked = self.now;
        let answer = self.request(node, Ask::Cancel(id.into()));
        let state = self.heard(id, asked, answer.as_ref());
        (answer.map_or(0, |a| a.status), state)
    }

    /// Asks to cancel a job, and does not wait for the answer.
    pub fn start_to_cancel(&mut self, node: usize, id: &str) {
        self.asked.insert(id.into());
        let ticket = self.ask(node, Ask::Cancel(id.into()));
        self.cancelling.insert(ticket, (id.into(), self.now));
    }

    /// What its user was told last, if that was final.
    pub fn told_final(&self, id: &str) -> Option<JobState> {
        self.told_final.get(id).map(|(state, _)| *state)
    }

    /// A machine's report as of now, for the network to hold.
    pub fn report_of(&mut self, id: &MachineId) -> Report {
        World::report(self.workers.get_mut(id).unwrap(), id)
    }

    /// A report comes to a node late.
    pub fn deliver(&mut self, node: usize, report: Report) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let report = Box::new(report);
        self.nodes[node]
            .inbox
            .push(Command::Report { ticket, report });
    }

    /// Checks an answer against everything said before.
    fn heard(&mut self, id: &str, asked: Instant, answer: Option<&Answer>) -> Option<JobState> {
        let a = answer?;
        if a.status == 404 && !self.amnesia {
            assert!(!self.told.contains(id), "{id} was forgotten");
        }
        if !matches!(a.status, 200 | 201) {
            return None;
        }
        let first_told = self.told.insert(id.into());
        let told: JobAnswer = serde_json::from_slice(&a.body).unwrap();
        let final_state = matches!(told.state, JobState::Done | JobState::Cancelled);
        if let Some((before, at)) = self.told_final.get(id).filter(|_| !self.amnesia) {
            // Two answers to questions asked side by side come in any order. What is asked after its user was
            // told, and what is final, must be the same.
            if final_state || asked >= *at {
                assert_eq!(*before, told.state, "{id}: said to be something else");
            }
        }
        if self.close_looks && (first_told || final_state && !self.told_final.contains_key(id)) {
            self.look_closely(id);
        }
        if final_state {
            let first = (told.state, self.now);
            self.told_final.entry(id.into()).or_insert(first);
        } else if let Some(at) = self.cancelled_before(id) {
            let late = self.now > at + self.setup.cancel;
            assert!(
                !late,
                "{id} is said to live, though a job that it needs is cancelled"
            );
        }
        if told.state == JobState::Cancelled {
            self.cancelled.entry(id.into()).or_insert(self.now);
            let asked = self.upstream(id).iter().any(|a| self.asked.contains(a));
            assert!(asked, "{id} is said to be cancelled, and nobody asked");
        }
        if told.state == JobState::Done {
            let spec = &self.specs[id];
            for row in 0..spec.tasks {
                let key = TaskKey {
                    job: spec.id.clone(),
                    row,
                };
                assert!(self.completed.contains(&key), "{key} is not done");
            }
        }
        Some(told.state)
    }

    /// Asks every controller about a job at once, and repeats its submission.
    fn look_closely(&mut self, id: &str) {
        for node in 0..self.nodes.len() {
            let mut questions = vec![Ask::Show(id.into())];
            questions.extend(self.specs.get(id).map(|s| Ask::Submit(Box::new(s.clone()))));
            for what in questions {
                let ticket = self.ask(node, what);
                self.looks.insert(ticket, (id.into(), self.now));
            }
        }
    }

    /// A job and all that it needs.
    fn upstream(&self, id: &str) -> BTreeSet<String> {
        let mut found = BTreeSet::new();
        let mut next = vec![id.to_string()];
        while let Some(id) = next.pop() {
            if let Some(spec) = self.specs.get(&id) {
                next.extend(spec.awaits.iter().map(|a| a.to_string()));
            }
            found.insert(id);
        }
        found
    }

    /// When the user of a job that this one needs, or its own, was first told that it is cancelled.
    fn cancelled_before(&self, id: &str) -> Option<Instant> {
        let all = self.upstream(id);
        all.iter()
            .filter_map(|a| self.cancelled.get(a))
            .min()
            .copied()
    }

    /// The state service serves nobody from now on, or everybody again.
    pub fn set_outage(&mut self, outage: bool) {
        self.outage = outage;
        self.pause_leases(outage);
    }

    /// During an outage no lease runs out, and after it each has its full time again.
    pub fn pause_leases(&mut self, paused: bool) {
        let far = Duration::from_secs(86_400);
        for end in self.state.leases.values_mut() {
            *end = self.now + if paused { far } else { LEASE_TTL };
        }
    }

    /// The store has an identity and no mark, and who leads it knows of no loss.
    pub fn whole(&self) -> bool {
        let marked = self.state.keys.contains_key("burlusher/rebuilding");
        let leader = self.leader().map(|n| &self.nodes[n].core);
        !marked && leader.is_some_and(|c| !c.incomplete())
    }

    /// What the state service holds now, to be restored later.
    pub fn backup(&self) -> Backup {
        Backup(self.state.clone())
    }

    /// The state service has lost everything; nobody is told.
    pub fn lose_state(&mut self) {
        self.restore(&Backup(StateService {
            limits: self.state.limits,
            ..StateService::default()
        }));
    }

    /// It goes on from what it held once. Leases that ran then have their full time again.
    pub fn restore(&mut self, backup: &Backup) {
        let jobs = self.state.keys.iter();
        let jobs = jobs.filter(|(k, _)| k.starts_with("burlusher/j/"));
        for (key, e) in jobs {
            let over = e.value.get("end").is_some();
            *self.owed.entry(key.clone()).or_default() |= over;
        }
        let current =
            |n: &Node| n.up && n.core.mirror.loaded && n.seen >= Some(self.state.revision);
        let up = (0..self.nodes.len()).filter(|i| current(&self.nodes[*i]));
        let leads = |n: &Node| n.up && n.core.leads() && !n.core.incomplete();
        if self.nodes.iter().any(leads) && !self.state.keys.contains_key("burlusher/rebuilding") {
            self.witnesses = up.clone().collect();
        }
        match &mut self.memories {
            Some(memories) => memories.retain(|i| self.nodes[*i].up),
            None => self.memories = Some(up.collect()),
        }
        let before = self.state.recorded();
        self.unrecorded.extend(&before - &backup.0.recorded());
        let nobody = self.memories.as_ref().is_some_and(BTreeSet::is_empty);
        self.amnesia |= nobody && !self.owed.is_empty();
        self.state = backup.0.clone();
        for end in self.state.leases.values_mut() {
            *end = self.now + LEASE_TTL;
        }
    }

    /// The store forgets all leases, and keeps the keys that hang on them.
    pub fn forget_leases(&mut self) {
        self.state.leases.clear();
    }

    /// A node's watch is too old, and it reads all there is.
    pub fn list_again(&mut self, node: usize) {
        self.nodes[node].seen = None;
    }

    /// A node reads all there is, and the answer is long under way: until `list_comes`, nothing else
    /// reaches its copy.
    pub fn list_begins(&mut self, node: usize) {
        self.nodes[node].reading = Some((self.state.items(), self.state.revision));
        self.nodes[node].lags = true;
    }

    pub fn list_comes(&mut self, node: usize) {
        let n = &mut self.nodes[node];
        if let Some((items, revision)) = n.reading.take() {
            n.inbox.push(Command::Listed { items, revision });
            (n.seen, n.lags) = (Some(revision), false);
        }
    }

    /// A lease number that was in use is given again, to somebody who renews it.
    pub fn give_lease_again(&mut self, node: usize) {
        if let Some(id) = self.nodes[node].lease {
            let far = Duration::from_secs(86_400);
            self.state.leases.insert(id, self.now + far);
        }
    }

    /// A key's value is an older one again.
    pub fn fall_back(&mut self, key: &str, value: serde_json::Value) {
        if let Some(e) = self.state.keys.get_mut(key) {
            e.value = value;
        }
    }

    /// Only what is under these keys is lost.
    pub fn lose_keys(&mut self, prefix: &str) {
        self.state.keys.retain(|k, _| !k.starts_with(prefix));
    }

    /// An operator's word to a node; the answer's status.
    pub fn settle(&mut self, node: usize) -> u16 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.nodes[node].inbox.push(Command::Settle(ticket));
        self.run(0.2);
        self.answers.remove(&ticket).map_or(0, |a| a.status)
    }

    /// A snapshot is offered to a node; the answer's status.
    pub fn offer(&mut self, node: usize, store: &str, backup: &Backup) -> u16 {
        let items = backup.0.keys.iter();
        let items = items.map(|(k, e)| (k.clone(), e.value.clone()));
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.nodes[node].inbox.push(Command::Offer {
            ticket,
            store: store.into(),
            last: true,
            items: items.collect(),
        });
        self.run(0.2);
        self.answers.remove(&ticket).map_or(0, |a| a.status)
    }

    /// A status view of a node.
    pub fn status(&mut self, node: usize) -> serde_json::Value {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.nodes[node].inbox.push(Command::Status(ticket));
        self.run(0.1);
        let answer = self.answers.remove(&ticket);
        answer.map_or(serde_json::Value::Null, |a| {
            serde_json::from_slice(&a.body).unwrap()
        })
    }

    /// From now on the state service has these limits.
    pub fn limit(&mut self, limits: Limits) {
        self.state.limits = limits;
    }

    /// How many transactions were over the limits.
    pub fn over_the_limit(&self) -> u32 {
        self.state.refused
    }

    /// What another process wrote to the state service.
    pub fn put(&mut self, key: &str, value: serde_json::Value) {
        let change = Change::Put {
            key: key.into(),
            value,
            lease: None,
        };
        let limits = std::mem::replace(&mut self.state.limits, (usize::MAX, 1));
        self.state.txn(&Txn {
            conditions: Vec::new(),
            changes: vec![change],
        });
        self.state.limits = limits;
    }

    /// What the service has told its watchers, from the so-many-th change on.
    pub fn events(&self, from: usize) -> Vec<Event> {
        self.state.events[from..].to_vec()
    }

    /// What is stored under keys that begin so.
    pub fn stored(&self, prefix: &str) -> BTreeMap<String, serde_json::Value> {
        let keys = self.state.keys.iter();
        let found = keys.filter(|(k, _)| k.starts_with(prefix));
        found.map(|(k, e)| (k.clone(), e.value.clone())).collect()
    }

    /// A job that was accepted before this story.
    pub fn knows(&mut self, spec: &JobSpec) {
        self.specs.insert(spec.id.to_string(), spec.clone());
    }

    pub fn run(&mut self, seconds: f64) {
        let ticks = (seconds / TICK.as_secs_f64()).round() as u32;
        for _ in 0..ticks {
            self.tick();
        }
    }

    /// Runs until `f` holds; fails after `seconds`.
    pub fn until(&mut self, seconds: f64, what: &str, f: impl Fn(&World) -> bool) {
        let end = self.now + Duration::from_secs_f64(seconds);
        while !f(self) {
            assert!(self.now < end, "not within {seconds} s: {what}");
            self.tick();
        }
    }

    pub fn until_done(&mut self, id: &str, seconds: f64) {
        let end = self.now + Duration::from_secs_f64(seconds);
        loop {
            let node = self.random(self.nodes.len());
            if self.show(node, id).1 == Some(JobState::Done) {
                return;
            }
            assert!(self.now < end, "{id} is not done within {seconds} s");
            self.run(0.5);
        }
    }

    /// A submission is repeated, and its answer not waited for.
    pub fn ask_at_once_of(&mut self, node: usize, spec: &JobSpec) {
        self.ask(node, Ask::Submit(Box::new(spec.clone())));
    }

    pub fn any_completed(&self, id: &str) -> bool {
        self.completed.iter().any(|key| &*key.job == id)
    }

    /// All tasks of an array have ended with a result.
    pub fn all_completed(&self, id: &str) -> bool {
        let spec = &self.specs[id];
        (0..spec.tasks).all(|row| {
            let job = spec.id.clone();
            self.completed.contains(&TaskKey { job, row })
        })
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

    /// Keys of the state service that were put or deleted so far.
    pub fn changes(&self) -> usize {
        self.state.events.len()
    }

    pub fn tick(&mut self) {
        self.now += TICK;
        self.state.expire(self.now);
        for i in 0..self.nodes.len() {
            if self.nodes[i].restart_at.is_some_and(|t| t <= self.now) {
                let (state, peers) = (self.nodes[i].state, self.nodes[i].peers);
                self.nodes[i] = self.fresh_node(i);
                self.nodes[i].state = state;
                self.nodes[i].peers = peers;
            }
            self.keep_lease(i);
            self.deliver_watch(i);
        }
        self.give_up_syncs();
        self.deliver_copies();
        self.write_late();
        let (now, nodes) = (self.now, &mut self.nodes);
        for (_, i, answer) in self.slow_answers.extract_if(.., |(at, ..)| *at <= now) {
            nodes[i].inbox.push(answer);
        }
        self.tend_workers();
        for i in 0..self.nodes.len() {
            if !self.nodes[i].up || self.nodes[i].frozen {
                continue;
            }
            let commands = std::mem::take(&mut self.nodes[i].inbox);
            let clock = self.clock();
            let begun = Instant::now();
            let effects = self.nodes[i].core.step(clock, commands);
            self.nodes[i].busy += begun.elapsed();
            if let Some(recorder) = &mut self.recorder {
                recorder.record(self.now, i, &effects);
            }
            for e in effects {
                self.carry_out(i, e);
            }
        }
        if self.memories.is_some() {
            let back = |key: &str, over: &bool| {
                let stored = self.state.keys.get(key);
                stored.is_some_and(|e| !over || e.value.get("end").is_some())
            };
            if self.owed.iter().all(|(key, over)| back(key, over)) {
                self.memories = None;
                self.owed.clear();
            }
        }
        self.note_leaderships();
        self.check();
        self.look_for_neglected();
    }

    /// Every leadership has a term that no other has. At the beginning of one, what was kept for it arrives.
    fn note_leaderships(&mut self) {
        let mut begun = false;
        for (i, node) in self.nodes.iter().enumerate().filter(|(_, n)| n.up) {
            let Some(lead) = &node.core.lead else {
                continue;
            };
            let this = (i, node.core.nonce, node.core.leaderships);
            let known = self.leaderships.get(&lead.term);
            begun |= known.is_none();
            let other = known.filter(|k| **k != this);
            assert!(
                other.is_none(),
                "two leaderships have term {}: {other:?} and {this:?}",
                lead.term
            );
            self.leaderships.insert(lead.term, this);
        }
        if begun {
            for report in std::mem::take(&mut self.kept_reports) {
                for node in (0..self.nodes.len())
                    .filter(|n| self.nodes[*n].up)
                    .collect::<Vec<_>>()
                {
                    self.reports_delivered_to_next += 1;
                    self.deliver(node, report.clone());
                }
            }
        }
    }

    /// A leader takes its key for gone, though it stands.
    pub fn depose(&mut self, node: usize) {
        if let Some(lead) = &self.nodes[node].core.lead {
            let key_version = lead.key_version;
            self.nodes[node]
                .inbox
                .push(Command::Deposed { key_version });
        }
    }

    /// How many leaderships there were.
    pub fn terms(&self) -> usize {
        self.leaderships.len()
    }

    /// Something is not as it should be in quiet times.
    fn troubled(&self) -> bool {
        let node = |n: &Node| !n.up || n.frozen || n.state != Link::Good || !n.peers || n.lags;
        let worker = |m: &Worker| m.hung || m.deaf || m.mute || m.sick || !m.cut.is_empty();
        self.outage
            || self.cloud_down
            || !self.slow.is_zero()
            || self.hold_commands
            || self.late_writes > 0.0
            || self.lost_answers > 0.0
            || self.late_command_share > 0.0
            || self.reports_for_next > 0.0
            || !self.copies.is_zero()
            || !self.whole()
            || self.nodes.iter().any(node)
            || self.workers.values().any(worker)
    }

    /// In quiet times no job waits for long while a machine that fits has room and its team is under its limit.
    fn look_for_neglected(&mut self) {
        if self.now < self.looked + Duration::from_secs(1) {
            return;
        }
        self.looked = self.now;
        if self.amnesia || self.troubled() {
            return self.waiting.clear();
        }
        let mut there: BTreeSet<&str> = BTreeSet::new();
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        let mut free: Vec<(&Worker, f64, f64)> = Vec::new();
        for w in self.workers.values().filter(|w| w.up_at <= self.now) {
            let Some(kind) = self.types.iter().find(|t| t.name == w.kind) else {
                continue;
            };
            let (mut cpus, mut ram) = (kind.cpus, kind.ram);
            for (key, _) in (w.tasks.iter()).filter(|(_, t)| t.state != RowState::Exited) {
                let spec = &self.specs[&*key.job];
                there.insert(&key.job);
                *used.entry(&spec.team).or_default() += spec.needs.cpus;
                (cpus, ram) = (cpus - spec.needs.cpus, ram - spec.needs.ram);
            }
            free.push((w, cpus, ram));
        }
        let could = |id: &String| {
            let spec = self.specs.get(id)?;
            let over = self.told_final.contains_key(id) || self.broken_jobs.contains(id);
            let ready = spec
                .awaits
                .iter()
                .all(|a| self.told_final.contains_key(&**a));
            let within =
                spec.team != "t" || used.get("t").copied().unwrap_or(0.0) + spec.needs.cpus <= 24.0;
            if over || there.contains(id.as_str()) || !ready || !within || spec.kind == Kind::Gang {
                return None;
            }
            let all_done = self.all_completed(id);
            let fits = |(w, cpus, ram): &&(&Worker, f64, f64)| {
                spec.allows_type(&w.kind)
                    && spec.allows_zone(&w.zone)
                    && (spec.spot || !w.spot)
                    && spec.needs.cpus <= *cpus
                    && spec.needs.ram <= *ram
            };
            (!all_done && free.iter().any(|f| fits(&f))).then_some(id.clone())
        };
        let could: BTreeSet<String> = self.told.iter().filter_map(could).collect();
        let now = self.now;
        self.waiting.retain(|id, _| could.contains(id));
        for id in could {
            let since = *self.waiting.entry(id.clone()).or_insert(now);
            assert!(
                now < since + NEGLECTED,
                "{id} waits for 90 s while a machine has room"
            );
        }
    }

    /// Frames that nobody answered within a second.
    fn give_up_syncs(&mut self) {
        let late = self.now - Duration::from_secs(1);
        for (_, (asker, number, _)) in self.syncs.extract_if(.., |_, (_, _, at)| *at < late) {
            self.nodes[asker].inbox.push(Command::Synced {
                number,
                answer: None,
            });
        }
    }

    fn keep_lease(&mut self, i: usize) {
        let now = self.now;
        let node = &mut self.nodes[i];
        let served = !self.outage && node.state.reads();
        if !node.up || node.frozen || now < node.next_renewal || !served {
            return;
        }
        node.next_renewal = now + Duration::from_millis(600);
        match node.lease {
            Some(id) if self.state.leases.contains_key(&id) => {
                self.state.leases.insert(id, now + LEASE_TTL);
                let mut stands = None;
                if let Some(stand) = &node.stand {
                    let txn = Txn {
                        conditions: stand.conditions.clone(),
                        changes: Vec::new(),
                    };
                    let key_version = stand.key_version;
                    if let StateOutcome::Committed { .. } = self.state.txn(&txn) {
                        stands = Some(key_version);
                    } else {
                        node.inbox.push(Command::Deposed { key_version });
                    }
                }
                node.inbox.push(Command::LeaseKept {
                    lease: id,
                    sent: now,
                    stands,
                });
            }
            Some(_) => {
                node.lease = None;
                node.inbox.push(Command::LeaseLost);
            }
            None => {
                self.state.next_lease += 1;
                let id = self.state.next_lease;
                self.state.leases.insert(id, now + LEASE_TTL);
                node.lease = Some(id);
                node.inbox.push(Command::LeaseKept {
                    lease: id,
                    sent: now,
                    stands: None,
                });
            }
        }
    }

    fn deliver_watch(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        if !node.up || self.outage || !node.state.reads() || node.lags {
            return;
        }
        let revision = self.state.revision;
        match node.seen {
            None => {
                let items = self.state.items();
                node.inbox.push(Command::Listed { items, revision });
            }
            // After a loss of data, it may wait for a revision that the service has yet to come to.
            Some(seen) => {
                let from = self.state.events.partition_point(|e| e.version <= seen);
                let events = self.state.events[from..].to_vec();
                let waits = self.now < node.told + Duration::from_secs(10);
                if events.is_empty() && waits {
                    return;
                }
                node.inbox.push(Command::Changed { events, revision });
            }
        }
        node.told = self.now;
        node.seen = Some(revision.max(node.seen.unwrap_or(0)));
    }

    fn report(w: &mut Worker, id: &MachineId) -> Report {
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

    fn execute(&mut self, id: &MachineId, orders: &[Order]) {
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

    fn tend_workers(&mut self) {
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

    fn call_worker(&mut self, i: usize, id: &MachineId, request: DirectRequest) -> DirectOutcome {
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

    /// Copies whose time has come.
    fn deliver_copies(&mut self) {
        let now = self.now;
        let due = self.late_reports.extract_if(.., |(at, ..)| *at <= now);
        for (_, node, report) in due.collect::<Vec<_>>() {
            if self.nodes[node].up {
                self.deliver(node, report);
            }
        }
        let due = self.late_commands.extract_if(.., |(at, ..)| *at <= now);
        for (_, id, body) in due.collect::<Vec<_>>() {
            if self.workers.get(&id).is_some_and(|w| !w.hung && !w.deaf) {
                self.direct(&id, &body);
            }
        }
    }

    /// Transactions whose time has come.
    fn write_late(&mut self) {
        let now = self.now;
        if self.outage {
            return;
        }
        let due = self.late_txns.extract_if(.., |(at, _)| *at <= now);
        for (_, txn) in due.collect::<Vec<_>>() {
            self.state.txn(&txn);
        }
    }

    /// Copies of what workers reported arrive at every controller.
    pub fn keep_reports(&mut self, reports: Vec<Report>) {
        self.kept_reports.extend(reports);
    }

    /// Commands of which copies are under way.
    pub fn copied_commands(&self) -> Vec<(MachineId, DirectBody)> {
        let all = self.late_commands.iter();
        all.map(|(_, id, body)| (id.clone(), body.clone()))
            .collect()
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

    /// Lets everything through that was held.
    pub fn release(&mut self) {
        let late = std::mem::take(&mut self.late_txns);
        let late = late.into_iter().map(|(_, txn)| txn);
        for txn in late.chain(std::mem::take(&mut self.held_txns)) {
            self.state.txn(&txn);
        }
        for (id, body) in std::mem::take(&mut self.held_commands) {
            if self.workers.get(&id).is_some_and(|w| !w.hung) {
                self.direct(&id, &body);
            } else {
                self.held_commands.push((id, body));
            }
        }
    }

    fn call_state(&mut self, i: usize, request: &StateRequest) -> StateOutcome {
        if let (StateRequest::Txn(txn), Link::Good) = (request, self.nodes[i].state)
            && !self.outage
            && self.late_writes > 0.0
            && !txn.changes.is_empty()
            && self.rng.random_bool(self.late_writes)
        {
            let at = self.now + Duration::from_millis(self.rng.random_range(2000..12000));
            self.late_txns.push((at, txn.clone()));
            return StateOutcome::Unknown("timeout".into());
        }
        if self.outage {
            return StateOutcome::Refused("503".into());
        }
        let link = self.nodes[i].state;
        match link {
            Link::Good if self.loses_answer(request) => {
                self.answers_lost += 1;
                self.state.perform(request);
                StateOutcome::Unknown("timeout".into())
            }
            Link::Good => self.state.perform(request),
            Link::Refused => StateOutcome::Refused("503".into()),
            Link::AnswersLost => {
                self.state.perform(request);
                StateOutcome::Unknown("timeout".into())
            }
            Link::WritesHeld if !matches!(request, StateRequest::Txn(_)) => {
                self.state.perform(request)
            }
            Link::Held | Link::WritesHeld => {
                if let StateRequest::Txn(txn) = request {
                    self.held_txns.push(txn.clone());
                }
                StateOutcome::Unknown("timeout".into())
            }
        }
    }

    /// Whether the answer to this request is to be lost.
    fn loses_answer(&mut self, request: &StateRequest) -> bool {
        let StateRequest::Txn(txn) = request else {
            return false;
        };
        let chosen = |c: &Change| c.key().starts_with(self.lost_answers_under);
        self.lost_answers > 0.0
            && txn.changes.iter().any(chosen)
            && self.rng.random_bool(self.lost_answers)
    }

    fn call_cloud(&mut self, request: CloudRequest) -> CloudOutcome {
        self.cloud_calls += 1;
        if self.cloud_down {
            return CloudOutcome::Trouble("503".into());
        }
        match request {
            CloudRequest::Types => CloudOutcome::Types(self.types.clone()),
            CloudRequest::List => CloudOutcome::Listed(
                self.workers
                    .iter()
                    .map(|(id, w)| ListedMachine {
                        id: id.clone(),
                        addr: Some("127.0.0.1:9000".into()),
                        kind: w.kind.clone(),
                        zone: w.zone.clone(),
                        spot: w.spot,
                        state: if self.now < w.up_at {
                            ListedState::Booting
                        } else {
                            ListedState::Running
                        },
                        age_s: 1.0,
                    })
                    .collect(),
            ),
            CloudRequest::Rent(body) => {
                if let Some(ids) = self.hires.get(&body.request) {
                    return CloudOutcome::Rented(ids.clone());
                }
                if self.drained.contains(&body.zone) {
                    return CloudOutcome::NoCapacity;
                }
                let mut ids = Vec::new();
                for _ in 0..body.count {
                    let left = self
                        .capacity
                        .entry((body.kind.clone(), body.spot))
                        .or_default();
                    if *left == 0 {
                        break;
                    }
                    *left -= 1;
                    if body.spot {
                        self.rented.0 += 1;
                    } else {
                        self.rented.1 += 1;
                    }
                    let id = self.add_machine(&body.kind, &body.zone);
                    if let Some(w) = self.workers.get_mut(&id) {
                        w.spot = body.spot;
                        w.up_at = self.now + self.boot;
                        w.lease_from = w.up_at;
                    }
                    ids.push(id);
                }
                if ids.is_empty() {
                    return CloudOutcome::NoCapacity;
                }
                self.hires.insert(body.request, ids.clone());
                if self.rentals_unheard {
                    return CloudOutcome::Trouble("timeout".into());
                }
                CloudOutcome::Rented(ids)
            }
            CloudRequest::Delete(names) => {
                for id in &names {
                    if let Some(w) = self.workers.remove(id) {
                        *self.capacity.entry((w.kind, w.spot)).or_default() += 1;
                    }
                }
                CloudOutcome::Deleted(names)
            }
        }
    }

    fn carry_out(&mut self, i: usize, effect: Effect) {
        match effect {
            Effect::Answer { ticket, answer } => {
                if answer.not_after.is_some_and(|t| self.now >= t) {
                    return;
                }
                if let Some((asker, peer, asked)) = self.recalls.remove(&ticket) {
                    let (_, body) = peer::read_frame(&mut answer.body.as_slice()).unwrap();
                    let told = recall::decode_recalled(&body).unwrap();
                    self.nodes[asker].inbox.push(Command::Recalled {
                        peer,
                        asked,
                        answer: Some(Box::new(told)),
                    });
                } else if let Some((asker, number, _)) = self.syncs.remove(&ticket) {
                    // What cannot get through is as good as lost.
                    let through = self.nodes[asker].peers && self.nodes[i].peers;
                    let frame = peer::read_frame(&mut answer.body.as_slice()).ok();
                    let synced = frame.and_then(|(_, body)| link::decode_synced(&body));
                    self.nodes[asker].inbox.push(Command::Synced {
                        number,
                        answer: synced.filter(|_| through).map(Box::new),
                    });
                } else if let Some((asker, original)) = self.forwards.remove(&ticket) {
                    let told: Option<JobAnswer> = serde_json::from_slice(&answer.body).ok();
                    self.nodes[asker].inbox.push(Command::Forwarded {
                        ticket: original,
                        peer: format!("n{i}"),
                        answer: Some(PeerAnswer {
                            status: answer.status,
                            state: told.as_ref().map(|t| t.state),
                            retry_after: answer.retry_after,
                            done: None,
                            running: None,
                        }),
                    });
                } else if let Some((id, asked)) = self.cancelling.remove(&ticket) {
                    self.heard(&id, asked, Some(&answer));
                } else if let Some((id, asked)) = self.looks.remove(&ticket) {
                    let state = self.heard(&id, asked, Some(&answer));
                    self.looks_answered += u32::from(state.is_some());
                } else {
                    self.answers.insert(ticket, answer);
                }
            }
            Effect::Forward {
                ticket,
                peer,
                request,
            } => {
                let to = peer[1..].parse::<usize>().unwrap();
                if !self.nodes[to].up || !self.nodes[to].peers || !self.nodes[i].peers {
                    self.nodes[i].inbox.push(Command::Forwarded {
                        ticket,
                        peer,
                        answer: None,
                    });
                    return;
                }
                let passed = self.next_ticket;
                self.next_ticket += 1;
                self.forwards.insert(passed, (i, ticket));
                let received = self.now;
                self.nodes[to].inbox.push(Command::User(UserRequest {
                    ticket: passed,
                    forwarded: true,
                    tried: Vec::new(),
                    received,
                    what: match request {
                        PeerRequest::Submit(s) => Ask::Submit(s),
                        PeerRequest::Show(id) => Ask::Show(id),
                        PeerRequest::Cancel(id) => Ask::Cancel(id),
                    },
                }));
            }
            Effect::Sync {
                peer,
                number,
                frame,
            } => {
                let to = peer[1..].parse::<usize>().unwrap();
                if !self.nodes[to].up || !self.nodes[to].peers || !self.nodes[i].peers {
                    self.nodes[i].inbox.push(Command::Synced {
                        number,
                        answer: None,
                    });
                    return;
                }
                let (_, body) = peer::read_frame(&mut frame.as_slice()).unwrap();
                let sync = Box::new(link::decode_sync(&body).unwrap());
                let ticket = self.next_ticket;
                self.next_ticket += 1;
                self.syncs.insert(ticket, (i, number, self.now));
                self.nodes[to].inbox.push(Command::Sync { ticket, sync });
            }
            Effect::Recall { peer, recall } => {
                let to = peer[1..].parse::<usize>().unwrap();
                if !self.nodes[to].up || !self.nodes[to].peers || !self.nodes[i].peers {
                    self.nodes[i].inbox.push(Command::Recalled {
                        peer,
                        asked: recall,
                        answer: None,
                    });
                    return;
                }
                let ticket = self.next_ticket;
                self.next_ticket += 1;
                self.recalls.insert(ticket, (i, peer, recall.clone()));
                self.nodes[to]
                    .inbox
                    .push(Command::Recall { ticket, recall });
            }
            Effect::ReadAfresh => self.nodes[i].seen = None,
            Effect::State { call, request } => {
                let lost = self.answers_lost;
                let outcome = self.call_state(i, &request);
                let answer = Command::State { call, outcome };
                if self.answers_lost > lost {
                    let at = self.now + NO_ANSWER;
                    return self.slow_answers.push((at, i, answer));
                }
                if self.slow.is_zero() {
                    return self.nodes[i].inbox.push(answer);
                }
                let at = self.now + self.slow.mul_f64(self.rng.random_range(0.0..1.0));
                self.slow_answers.push((at, i, answer));
            }
            Effect::Cloud {
                call,
                request,
                not_after,
            } => {
                let outcome = if not_after.is_some_and(|t| self.now >= t) {
                    CloudOutcome::Trouble("late".into())
                } else {
                    self.call_cloud(request)
                };
                self.nodes[i].inbox.push(Command::Cloud { call, outcome });
            }
            Effect::Direct { call, request, .. } => {
                // All workers share an address here; the call's machine is the core's own note.
                let id = match self.nodes[i].core.pending.get(&call) {
                    Some(crate::core::Pending::Direct(id) | crate::core::Pending::Show(id)) => {
                        id.clone()
                    }
                    _ => return,
                };
                let outcome = self.call_worker(i, &id, request);
                self.nodes[i].inbox.push(Command::Direct { call, outcome });
            }
            Effect::GiveUpLease => {
                if let Some(id) = self.nodes[i].lease.take() {
                    self.state.leases.insert(id, self.now);
                }
            }
            Effect::ChangeLease => {
                self.nodes[i].lease = None;
                self.nodes[i].next_renewal = self.now;
            }
            Effect::Stand(stand) => self.nodes[i].stand = stand,
            Effect::Ready(_) => {}
        }
    }

    fn check(&self) {
        let acts = |n: &&Node| n.up && !n.frozen && n.core.leads();
        let leaders = self.nodes.iter().filter(acts).count();
        let one = leaders <= 1 || !stands(Guard::Word);
        assert!(one, "{leaders} leaders act at the same time");
        let mut at: BTreeMap<&TaskKey, &MachineId> = BTreeMap::new();
        let mut used: BTreeMap<&str, f64> = BTreeMap::new();
        for (id, w) in &self.workers {
            if self.now < w.up_at {
                continue;
            }
            let mut room = 0.0;
            for (key, t) in &w.tasks {
                let beyond = self.amnesia && self.unrecorded.contains(id);
                if t.state == RowState::Exited || beyond {
                    continue;
                }
                if let Some(other) = at.insert(key, id) {
                    panic!("{key} is on {other} and on {id}");
                }
                let spec = &self.specs[&*key.job];
                assert!(spec.spot || !w.spot, "{key} is on a spot machine");
                assert!(spec.allows_zone(&w.zone), "{key} is in {}", w.zone);
                *used.entry(&spec.team).or_default() += spec.needs.cpus;
                room += spec.needs.cpus;
                if let Some(since) = self.cancelled_before(&key.job) {
                    let limit = since + self.setup.cancel;
                    assert!(self.now <= limit, "{key} of a cancelled job is on {id}");
                }
            }
            let kind = self.types.iter().find(|t| t.name == w.kind);
            assert!(room <= kind.map_or(0.0, |t| t.cpus), "{id} holds too much");
        }
        let t = used.get("t").copied().unwrap_or(0.0);
        assert!(t <= 24.0, "team t uses {t}");
    }
}

/// With `LOG_LEVEL` set, the log of a story is printed, for whoever looks into one.
pub fn with_log() {
    if let Ok(level) = std::env::var("LOG_LEVEL") {
        let _ = crate::logging::start(crate::logging::LogFormat::Text, Some(&level));
    }
}
