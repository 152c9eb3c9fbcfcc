//! The simulated cluster: its controllers and its virtual clock.

use super::checker::{Checker, LIMITED_TEAM, TEAM_LIMIT};
use super::counters::Counters;
use super::faults::Faults;
use super::network::Link;
use super::network::Network;
use super::store::{STORE_LIMITS, StateService};
use super::worker::{LEASE, Worker};
use crate::core::simulation::recorded_decisions::DecisionRecorder;
use crate::core::{Command, Core, LEASE_TTL, LeadershipProof, Now, StoreList, Ticket};
use crate::job::MachineId;
use crate::policy::Policy;
use crate::settings::Settings;
use crate::store_client::StoreOutcome;
use crate::wire::{CompareAndSwap, Item, MachineType};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

/// Virtual time between two steps of a controller.
pub const TICK: Duration = Duration::from_millis(50);

/// Size of the cluster, and the time limit of cancellations.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Number of controllers.
    pub nodes: usize,
    /// Longest time for which tasks of a cancelled job may remain on machines.
    pub cancellation_limit: Duration,
}

/// Setup that most tests use.
pub const SETUP: Setup = Setup {
    nodes: 3,
    cancellation_limit: Duration::from_secs(20),
};

/// Returns the settings of the controller with this name.
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
            "teams": [{"name": LIMITED_TEAM, "cpus": 0.0, "cpus_max": TEAM_LIMIT}, {"name": "u", "cpus": 8.0}],
            "objectives": [
                {"kind": "wait", "class": "urgent", "within_s": 10.0, "share": 0.95}
            ],
            "workers": {"report_s": 1.0, "lease_s": LEASE.as_secs_f64(),
                        "cancel_s": setup.cancellation_limit.as_secs_f64()},
            "state": {"rps": 100.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 16,
                      "next": {"write_rps": 35.0, "value_kb": 2.0, "txn_ops": 10}},
            "cloud": {"rps": 10.0, "list_lag_s": 1.0},
            "quota": {"mem_mb": 100.0, "fd_limit": 1000}
        }
    });
    Settings::parse(&text.to_string()).unwrap()
}

/// A simulated controller and its connections.
pub struct Node {
    /// Code under test.
    pub core: Core,
    /// Whether the process runs.
    pub up: bool,
    /// State of the connection to the state service.
    pub store_link: Link,
    /// Whether this controller and the others can reach one another.
    pub peers_reachable: bool,
    /// Whether changes from the watch of the state service are held back.
    pub watch_delayed: bool,
    /// Whether the process is paused: it takes no step, and its inbox fills up.
    pub paused: bool,
    /// Real time that the steps took.
    pub step_time: Duration,
    /// Number of direct calls to workers.
    pub direct_calls: u32,
    pub(super) inbox: Vec<Command>,
    pub(super) lease: Option<u64>,
    pub(super) leadership_proof: Option<LeadershipProof>,
    pub(super) next_renewal: Instant,
    /// Response to a full read of the store that is under way: the items and the revision as of the
    /// beginning of the read.
    pub(super) pending_listing: Option<(Vec<Item>, u64)>,
    /// Time at which that response arrives, if it is delayed by the state service.
    pub(super) listing_due: Option<Instant>,
    /// Revision after which the watch requests changes; `None` before a full read.
    pub(super) watch_revision: Option<u64>,
    /// Time of the last response to the watch.
    pub(super) watch_answered_at: Instant,
    pub(super) restart_at: Option<Instant>,
}

/// The cluster, the components that it interacts with, and the history of the run.
pub struct Simulation {
    pub setup: Setup,
    /// Virtual time.
    pub now: Instant,
    pub(super) start: Instant,
    pub nodes: Vec<Node>,
    pub(super) store: StateService,
    pub network: Network,
    pub faults: Faults,
    pub checker: Checker,
    pub counters: Counters,
    /// Machines that exist, each with its worker.
    pub workers: BTreeMap<MachineId, Worker>,
    /// Machine types offered by the cloud.
    pub machine_types: Vec<MachineType>,
    /// Number of machines that can still be provisioned, by machine type and whether they are spot
    /// machines.
    pub capacity: BTreeMap<(String, bool), u32>,
    pub(super) provisioned_by_request: BTreeMap<String, Vec<MachineId>>,
    pub(super) next_machine: u32,
    pub(super) next_ticket: Ticket,
    /// Whether, as soon as a response first reports a job as accepted or ended, users query every
    /// controller for the job and repeat the submission.
    pub query_after_responses: bool,
    /// Policy of controllers that start from now on.
    pub policy: Arc<Policy>,
    /// Jobs whose tasks fail on every machine.
    pub broken_jobs: BTreeSet<String>,
    /// Time that a provisioned machine takes to boot.
    pub boot_time: Duration,
    /// Time that a machine takes to fetch the image of each task.
    pub image_fetch_time: Duration,
    /// Memory that the ends of jobs may take in a controller's copy of the store and in a list of the store, in bytes.
    pub(super) max_ended_job_bytes: usize,
    /// Recorder of the controllers' decisions, if a test sets one.
    pub recorder: Option<DecisionRecorder>,
    pub(super) rng: SmallRng,
}

/// Prints the log of a scenario if `LOG_LEVEL` is set.
pub fn enable_log() {
    if let Ok(level) = std::env::var("LOG_LEVEL") {
        let _ = crate::logging::start(crate::logging::LogFormat::Text, Some(&level));
    }
}

/// Returns a list of the store with these items, whose ends of jobs may take this much memory.
pub(super) fn listed(items: Vec<Item>, max_ended_job_bytes: usize) -> StoreList {
    let mut list = StoreList::with_limit(max_ended_job_bytes);
    list.extend(items);
    list
}

impl Simulation {
    /// Creates a cluster of three controllers with the built-in policy and without machines.
    pub fn new(seed: u64) -> Simulation {
        Simulation::with_policy(seed, Policy::built_in())
    }

    /// Creates a cluster of three controllers with this policy and without machines.
    pub fn with_policy(seed: u64, policy: Policy) -> Simulation {
        Simulation::with_setup(seed, policy, SETUP)
    }

    /// Creates a cluster with this policy and setup and without machines.
    pub fn with_setup(seed: u64, policy: Policy, setup: Setup) -> Simulation {
        let now = Instant::now();
        let mut simulation = Simulation {
            setup,
            now,
            start: now,
            nodes: Vec::new(),
            store: StateService {
                limits: STORE_LIMITS,
                ..StateService::default()
            },
            network: Network::default(),
            faults: Faults::default(),
            checker: Checker::new(now, setup.nodes),
            counters: Counters::default(),
            workers: BTreeMap::new(),
            machine_types: vec![
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
            provisioned_by_request: BTreeMap::new(),
            next_machine: 1,
            next_ticket: 1,
            query_after_responses: false,
            policy: Arc::new(policy),
            broken_jobs: BTreeSet::new(),
            boot_time: Duration::from_secs(2),
            image_fetch_time: Duration::ZERO,
            max_ended_job_bytes: usize::MAX,
            recorder: None,
            rng: SmallRng::seed_from_u64(seed),
        };
        for i in 0..setup.nodes {
            let node = simulation.new_node(i);
            simulation.nodes.push(node);
        }
        simulation
    }

    /// Limits the memory of the ends of jobs in every controller's copy of the store.
    pub fn limit_ended_jobs(&mut self, max_bytes: usize) {
        self.max_ended_job_bytes = max_bytes;
        for node in &mut self.nodes {
            node.core.store_cache.ended_jobs.set_limit(max_bytes);
        }
    }

    /// Returns a ticket that identifies a new request.
    pub(super) fn new_ticket(&mut self) -> Ticket {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        ticket
    }

    /// Returns the current readings of a controller's clocks.
    pub(super) fn clock(&self) -> Now {
        let wall = Duration::from_secs(1_700_000_000) + (self.now - self.start);
        Now {
            mono: self.now,
            wall: SystemTime::UNIX_EPOCH + wall,
        }
    }

    /// Creates a controller that has just started.
    pub(super) fn new_node(&mut self, i: usize) -> Node {
        let settings = Arc::new(settings(&format!("n{i}"), self.setup));
        let nonce = self.rng.random();
        let mut core = Core::new(settings, self.policy.clone(), nonce, self.clock());
        core.store_cache
            .ended_jobs
            .set_limit(self.max_ended_job_bytes);
        Node {
            core,
            up: true,
            store_link: Link::Good,
            peers_reachable: true,
            watch_delayed: false,
            paused: false,
            step_time: Duration::ZERO,
            direct_calls: 0,
            inbox: Vec::new(),
            lease: None,
            leadership_proof: None,
            next_renewal: self.now,
            pending_listing: None,
            listing_due: None,
            watch_revision: None,
            watch_answered_at: self.now,
            restart_at: None,
        }
    }

    /// Returns a random number below `n`.
    pub fn random(&mut self, n: usize) -> usize {
        self.rng.random_range(0..n)
    }

    /// Returns the controller that leads now.
    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len()).find(|i| self.nodes[*i].up && self.nodes[*i].core.is_active_leader())
    }

    /// Returns the number of leaderships so far.
    pub fn leadership_count(&self) -> usize {
        self.checker.leaderships.len()
    }

    /// Adds `count` machines that the cluster did not provision and that are up, alternately in zones a
    /// and b.
    pub fn add_machines(&mut self, kind: &str, count: usize) {
        for n in 0..count {
            self.add_machine(kind, ["a", "b"][n % 2]);
        }
    }

    /// Adds a machine that the cluster did not provision and that is up.
    pub fn add_machine(&mut self, kind: &str, zone: &str) -> MachineId {
        let id: MachineId = format!("i-{:06}", self.next_machine).into();
        self.next_machine += 1;
        let node = self.random(self.nodes.len());
        self.workers.insert(
            id.clone(),
            Worker {
                machine_type: kind.into(),
                zone: zone.into(),
                spot: false,
                up_at: self.now,
                incarnation: 1,
                sequence: 0,
                fencing_token: 0,
                token_before_reset: 0,
                reset_at: None,
                tasks: BTreeMap::new(),
                lease_start: self.now,
                next_heartbeat: self.now,
                node,
                pending_heartbeat: None,
                hung: false,
                failing: false,
                partitioned_from: BTreeSet::new(),
                inbound_partitioned: false,
                outbound_partitioned: false,
            },
        );
        id
    }

    /// Advances the virtual time by this many seconds.
    pub fn run(&mut self, seconds: f64) {
        let ticks = (seconds / TICK.as_secs_f64()).round() as u32;
        for _ in 0..ticks {
            self.tick();
        }
    }

    /// Runs until a controller leads, and `settle_seconds` more; returns the leader at the end. Fails if
    /// there is no leader within 10 s.
    pub fn run_until_leader(&mut self, settle_seconds: f64) -> usize {
        self.run_until(10.0, "a leader", |simulation| simulation.leader().is_some());
        self.run(settle_seconds);
        self.leader().expect("a controller still leads")
    }

    /// Runs until a controller other than `former` leads, and returns it. Fails after `seconds`.
    pub fn run_until_other_leader(&mut self, former: usize, seconds: f64) -> usize {
        self.run_until(seconds, "another leader", |simulation| {
            simulation.leader().is_some_and(|l| l != former)
        });
        self.leader().expect("a leader was found above")
    }

    /// Runs until `condition` holds. Fails after `seconds`; `what` describes the condition in the message.
    pub fn run_until(&mut self, seconds: f64, what: &str, condition: impl Fn(&Simulation) -> bool) {
        let end = self.now + Duration::from_secs_f64(seconds);
        while !condition(self) {
            assert!(
                self.now < end,
                "condition not met within {seconds} s: {what}"
            );
            self.tick();
        }
    }

    /// Advances the virtual time by one tick: delivers due messages, advances workers and controllers,
    /// and checks the invariants.
    pub fn tick(&mut self) {
        self.now += TICK;
        self.store.expire(self.now);
        for i in 0..self.nodes.len() {
            self.restart_if_due(i);
            self.renew_lease(i);
            self.deliver_watch(i);
        }
        self.expire_batches();
        self.deliver_delayed();
        self.apply_delayed_transactions();
        self.deliver_delayed_store_responses();
        self.advance_workers();
        for i in 0..self.nodes.len() {
            if self.nodes[i].up && !self.nodes[i].paused {
                self.step_controller(i);
            }
        }
        self.update_restored_jobs();
        self.check_terms();
        self.check_invariants();
        self.check_starvation();
    }

    /// Restarts a killed controller if its restart time has come.
    fn restart_if_due(&mut self, i: usize) {
        if self.nodes[i].restart_at.is_some_and(|t| t <= self.now) {
            let (store_link, peers) = (self.nodes[i].store_link, self.nodes[i].peers_reachable);
            self.nodes[i] = self.new_node(i);
            self.nodes[i].store_link = store_link;
            self.nodes[i].peers_reachable = peers;
        }
    }

    /// Passes the commands in its inbox to a controller, and applies the effects that it returns.
    fn step_controller(&mut self, i: usize) {
        let commands = std::mem::take(&mut self.nodes[i].inbox);
        let clock = self.clock();
        let started = Instant::now();
        let effects = self.nodes[i].core.step(clock, commands);
        self.nodes[i].step_time += started.elapsed();
        if let Some(recorder) = &mut self.recorder {
            recorder.record(self.now, i, &effects);
        }
        for effect in effects {
            self.apply_effect(i, effect);
        }
    }

    /// Renews a controller's lease at the state service, or acquires one, every 600 ms.
    pub(super) fn renew_lease(&mut self, i: usize) {
        let now = self.now;
        let node = &mut self.nodes[i];
        let served = !self.faults.store_outage && node.store_link.serves_reads();
        if !node.up || node.paused || now < node.next_renewal || !served {
            return;
        }
        node.next_renewal = now + Duration::from_millis(600);
        match node.lease {
            Some(id) if self.store.renew(id, now) => {
                let mut confirmed = None;
                if let Some(leadership_proof) = &node.leadership_proof {
                    let txn = CompareAndSwap {
                        conditions: leadership_proof.conditions.clone(),
                        changes: Vec::new(),
                    };
                    let key_version = leadership_proof.key_version;
                    if let StoreOutcome::Committed { .. } = self.store.txn(&txn) {
                        confirmed = Some(key_version);
                    } else {
                        node.inbox
                            .push(Command::LeadershipDisproved { key_version });
                    }
                }
                node.inbox.push(Command::LeaseRenewed {
                    lease: id,
                    sent: now,
                    confirmed_key_version: confirmed,
                });
            }
            Some(_) => {
                node.lease = None;
                node.inbox.push(Command::LeaseLost);
            }
            None => {
                self.store.next_lease += 1;
                let id = self.store.next_lease;
                self.store.leases.insert(id, now + LEASE_TTL);
                node.lease = Some(id);
                node.inbox.push(Command::LeaseRenewed {
                    lease: id,
                    sent: now,
                    confirmed_key_version: None,
                });
            }
        }
    }

    /// Delivers the changes in the state service to a controller's watch, or all items if the watch
    /// needs a full read.
    pub(super) fn deliver_watch(&mut self, i: usize) {
        if self.nodes[i].listing_due.is_some_and(|due| due <= self.now) {
            self.nodes[i].listing_due = None;
            return self.finish_listing(i);
        }
        let node = &mut self.nodes[i];
        if !node.up
            || self.faults.store_outage
            || !node.store_link.serves_reads()
            || node.watch_delayed
        {
            return;
        }
        let revision = self.store.revision;
        match node.watch_revision {
            None if !self.faults.store_delay.is_zero() => {
                let fraction = self.rng.random_range(0.0..1.0);
                let due = self.now + self.faults.store_delay.mul_f64(fraction);
                node.listing_due = Some(due);
                return self.begin_listing(i);
            }
            None => {
                let list = listed(self.store.items(), self.max_ended_job_bytes);
                node.inbox.push(Command::StoreListed { list, revision });
            }
            // After a data loss, the store may be at an earlier revision than the one that the watch
            // waits for. An empty response after 10 s shows the controller the present revision.
            Some(watched) => {
                let from = self.store.events.partition_point(|e| e.version <= watched);
                let events = self.store.events[from..].to_vec();
                let poll_pending = self.now < node.watch_answered_at + Duration::from_secs(10);
                if events.is_empty() && poll_pending {
                    return;
                }
                node.inbox.push(Command::StoreChanged { events, revision });
            }
        }
        node.watch_answered_at = self.now;
        node.watch_revision = Some(revision.max(node.watch_revision.unwrap_or(0)));
    }
}
