//! Randomized schedules of faults over three controllers that serve workers for one another, with the
//! rules checked at every tick. `proptest` makes them from a fixed seed, so that the verdict is always
//! the same, and shrinks one that breaks a rule to the fewest steps; such a one becomes a test of its
//! own at the end of this file. More of them, or others, are played by
//!
//! ```text
//! HISTORIES=10000 cargo test --lib randomized
//! HISTORY_SEED=1 cargo test --lib randomized
//! ```

use crate::core::simulation::{Backup, Link, Simulation, failure_without};
use crate::fault_injection::Safeguard;
use crate::job::{JobKind, sample};
use crate::policy::Policy;
use crate::wire::JobState;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::time::{Duration, Instant};

const NODES: usize = 3;

/// What goes wrong in a step. Faults that are "toggled" last until the next one of the kind, or until
/// the cluster is healed.
#[derive(Clone, Debug)]
enum Fault {
    Node(NodeFault),
    Store(StoreFault),
    Worker(WorkerFault),
    Network(NetworkFault),
    User(UserFault),
    /// The cloud's interface is toggled.
    ToggleCloud,
    Heal,
}

/// A fault of controllers.
#[derive(Clone, Debug)]
enum NodeFault {
    Kill {
        node: usize,
        downtime_ms: u64,
    },
    KillAll,
    /// The leader is killed, and so often again the next one.
    KillLeaders(u32),
    TogglePause(usize),
    /// It cannot reach other controllers, toggled.
    TogglePeers(usize),
    /// It keeps only its workers and users.
    Isolate(usize),
    /// The leader takes its key for gone, though it stands.
    ForceStepDown,
    /// Its watch is late by so much.
    DelayWatch {
        node: usize,
        ms: u64,
    },
}

/// A fault of the state service.
#[derive(Clone, Debug)]
enum StoreFault {
    Link(usize, Link),
    /// It refuses everybody.
    RefuseAll,
    /// It serves nobody, and no lease expires, toggled.
    ToggleOutage,
    /// It refuses the leader alone, and so much later everybody.
    RefusalThenOutage(u64),
    /// It answers up to so much later.
    Delay(u64),
    /// It loses everything, all controllers being there to remember.
    LoseData,
    /// It goes back to what it held at the last backup, all controllers being there to remember.
    RestoreBackup,
    /// This part of all transactions, in percent, is carried out seconds late, after newer ones.
    LateWrites(u32),
    /// This part of all transactions, in percent, is carried out at once, and the answer lost.
    LostResponses(u32),
}

/// A fault of machines.
#[derive(Clone, Debug)]
enum WorkerFault {
    ToggleHang(usize),
    Remove(usize),
    /// It is back at once, empty, with the next incarnation, or with all counters at their first
    /// value.
    Reboot {
        machine: usize,
        reset_counters: bool,
    },
    /// All send heartbeats to this controller.
    MoveAll(usize),
    /// Some cannot reach a controller.
    Partition {
        node: usize,
        stride: usize,
    },
    /// Some reach controllers and are not reached by them, toggled.
    TogglePartitionInbound {
        stride: usize,
    },
    /// Some reach no controller, while direct commands reach them, toggled.
    TogglePartitionOutbound {
        stride: usize,
    },
}

/// A fault of heartbeats and direct commands on their way.
#[derive(Clone, Debug)]
enum NetworkFault {
    /// Direct commands are held back, toggled.
    ToggleHoldCommands,
    /// Heartbeats and direct commands come once more, up to so many seconds late.
    Duplicates(u64),
    /// This part of direct commands, in percent, is carried out 2 to 16 s late, once.
    LateCommands(u32),
    /// Copies of this part of heartbeats, in percent, reach every controller as the next leader begins.
    ReplayedHeartbeats(u32),
}

/// What users do at the worst moment.
#[derive(Clone, Debug)]
enum UserFault {
    /// A job is cancelled, and some of its machines hang from then on.
    CancelAndHang { job: usize, machines: usize },
    /// A job is cancelled at the moment at which its last task ends, and asked for everywhere.
    CancelAtCompletion(usize),
    /// A job is cancelled everywhere as the state service refuses the leader, and a second later
    /// everybody.
    CancelDuringRefusal(usize),
    /// Jobs that are known are submitted once more with another specification, and one that can never
    /// run.
    InvalidSubmissions,
    /// Users ask everywhere right after each answer, toggled.
    ToggleQueriesAfterResponses,
}

/// A job to submit.
#[derive(Clone, Copy, Debug)]
struct JobPlan {
    tasks: u32,
    cpus: f64,
    seconds: u64,
    kind: JobKind,
}

/// A fault, then perhaps a submission and a cancellation, then a pause.
#[derive(Clone, Debug)]
struct Step {
    fault: Fault,
    job: Option<JobPlan>,
    /// The job to cancel, of those accepted.
    cancel: Option<usize>,
    pause_ms: u64,
}

fn any_link() -> impl Strategy<Value = Link> {
    prop_oneof![
        Just(Link::Refused),
        Just(Link::ResponsesLost),
        Just(Link::Held),
        Just(Link::WritesHeld)
    ]
}

/// Any fault. The order of the alternatives belongs to the seeds: another one makes other schedules.
fn any_fault() -> impl Strategy<Value = Fault> {
    use WorkerFault as Worker;
    use {NetworkFault as Net, NodeFault as Node, StoreFault as Store, UserFault as User};
    let node = || 0..NODES;
    let job = || 0..20usize;
    let machine = || 0..12usize;
    let stride = || 1..4usize;
    let percent = || 5..70u32;
    prop_oneof![
        2 => (node(), 50..6000u64)
            .prop_map(|(node, downtime_ms)| Fault::Node(Node::Kill { node, downtime_ms })),
        1 => Just(Fault::Node(Node::KillAll)),
        2 => node().prop_map(|n| Fault::Node(Node::TogglePause(n))),
        3 => node().prop_map(|n| Fault::Node(Node::TogglePeers(n))),
        1 => (node(), any_link()).prop_map(|(n, link)| Fault::Store(Store::Link(n, link))),
        2 => (node(), stride())
            .prop_map(|(node, stride)| Fault::Worker(Worker::Partition { node, stride })),
        1 => machine().prop_map(|m| Fault::Worker(Worker::ToggleHang(m))),
        1 => machine().prop_map(|m| Fault::Worker(Worker::Remove(m))),
        2 => node().prop_map(|n| Fault::Worker(Worker::MoveAll(n))),
        1 => Just(Fault::Network(Net::ToggleHoldCommands)),
        1 => Just(Fault::ToggleCloud),
        2 => (0..60u32).prop_map(|p| Fault::Store(Store::LateWrites(p))),
        1 => (1..30u64).prop_map(|s| Fault::Network(Net::Duplicates(s))),
        2 => stride().prop_map(|stride| Fault::Worker(Worker::TogglePartitionInbound { stride })),
        1 => (machine(), any::<bool>())
            .prop_map(|(machine, reset_counters)| Fault::Worker(Worker::Reboot { machine, reset_counters })),
        1 => node().prop_map(|n| Fault::Node(Node::Isolate(n))),
        1 => Just(Fault::Store(Store::RefuseAll)),
        1 => Just(Fault::Store(Store::LoseData)),
        1 => Just(Fault::Store(Store::RestoreBackup)),
        3 => Just(Fault::Heal),
        1 => stride().prop_map(|stride| Fault::Worker(Worker::TogglePartitionOutbound { stride })),
        1 => Just(Fault::Store(Store::ToggleOutage)),
        2 => (100..6000u64).prop_map(|ms| Fault::Store(Store::RefusalThenOutage(ms))),
        1 => (50..1500u64).prop_map(|ms| Fault::Store(Store::Delay(ms))),
        1 => (2..6u32).prop_map(|n| Fault::Node(Node::KillLeaders(n))),
        2 => (job(), 1..4usize)
            .prop_map(|(job, machines)| Fault::User(User::CancelAndHang { job, machines })),
        2 => job().prop_map(|job| Fault::User(User::CancelAtCompletion(job))),
        1 => Just(Fault::User(User::InvalidSubmissions)),
        2 => percent().prop_map(|p| Fault::Store(Store::LostResponses(p))),
        2 => percent().prop_map(|p| Fault::Network(Net::LateCommands(p))),
        2 => percent().prop_map(|p| Fault::Network(Net::ReplayedHeartbeats(p))),
        2 => Just(Fault::User(User::ToggleQueriesAfterResponses)),
        1 => Just(Fault::Node(Node::ForceStepDown)),
        2 => (node(), 100..3000u64)
            .prop_map(|(node, ms)| Fault::Node(Node::DelayWatch { node, ms })),
        2 => job().prop_map(|job| Fault::User(User::CancelDuringRefusal(job))),
    ]
}

fn any_step() -> impl Strategy<Value = Step> {
    let kind = prop_oneof![3 => Just(JobKind::Array), 1 => Just(JobKind::Service)];
    let job = (1..6u32, 1..4u32, 1..14u64, kind).prop_map(|(tasks, cpus, seconds, kind)| JobPlan {
        tasks,
        cpus: f64::from(cpus),
        seconds,
        kind,
    });
    (
        any_fault(),
        proptest::option::of(job),
        proptest::option::weighted(0.2, 0..20usize),
        50..4000u64,
    )
        .prop_map(|(fault, job, cancel, pause_ms)| Step {
            fault,
            job,
            cancel,
            pause_ms,
        })
}

fn seconds(ms: u64) -> f64 {
    ms as f64 / 1000.0
}

fn fraction(percent: u32) -> f64 {
    f64::from(percent) / 100.0
}

/// A schedule that is being played.
struct ScheduleRun {
    simulation: Simulation,
    /// Jobs whose submission was accepted.
    accepted: Vec<(String, JobKind)>,
    /// Services that were submitted.
    services: Vec<String>,
    backup: Option<Backup>,
    /// Jobs whose cancellation was asked for and has yet to be answered.
    unanswered_cancels: Vec<String>,
}

impl ScheduleRun {
    fn new(seed: u64) -> ScheduleRun {
        let policy = Policy::parse("history", "delegate = true").unwrap();
        let mut simulation = Simulation::with_policy(seed, policy);
        simulation.add_machines("small", 6);
        simulation.run_until(10.0, "a leader", |simulation| simulation.leader().is_some());
        simulation.run(2.0);
        let fetch_steps = seed % 2 * (seed / 2 % 3);
        simulation.image_fetch_time = Duration::from_millis(fetch_steps * 400);
        ScheduleRun {
            simulation,
            accepted: Vec::new(),
            services: Vec::new(),
            backup: None,
            unanswered_cancels: Vec::new(),
        }
    }

    /// Plays the step of this number, at whose controller users ask.
    fn run_step(&mut self, number: usize, step: &Step) {
        let node = number % NODES;
        self.inject(&step.fault);
        self.repeat_cancels(node);
        if matches!(
            step.fault,
            Fault::Store(StoreFault::RestoreBackup) | Fault::Heal
        ) {
            self.backup = Some(self.simulation.backup());
        }
        if let Some(job) = step.job {
            self.submit(number, job);
        }
        if let Some((id, _)) = step.cancel.and_then(|job| self.accepted.get(job)) {
            self.simulation.cancel(node, id);
            self.unanswered_cancels.push(id.clone());
        }
        self.simulation.run(seconds(step.pause_ms));
    }

    /// Like a submission, a cancellation is repeated until it is answered.
    fn repeat_cancels(&mut self, node: usize) {
        let simulation = &mut self.simulation;
        self.unanswered_cancels
            .retain(|id| simulation.reported_final_state(id).is_none());
        for id in &self.unanswered_cancels {
            simulation.cancel_without_waiting(node, id);
        }
    }

    fn submit(&mut self, number: usize, job: JobPlan) {
        let id = format!("wk-{number:06}");
        let mut spec = sample(&id, job.tasks, job.cpus, job.seconds);
        spec.job_kind = job.kind;
        spec.spot = number.is_multiple_of(2);
        spec.one_zone = number % 5 == 1;
        spec.spread = number % 5 == 3;
        if job.kind == JobKind::Service {
            self.services.push(id.clone());
        }
        let status = self.simulation.submit(number % NODES, &spec);
        if matches!(status, 200 | 201) {
            self.accepted.push((id, job.kind));
        }
    }

    fn inject(&mut self, fault: &Fault) {
        let simulation = &mut self.simulation;
        match fault {
            Fault::Node(fault) => inject_node_fault(simulation, fault),
            Fault::Store(fault) => inject_store_fault(simulation, fault, self.backup.as_ref()),
            Fault::Worker(fault) => inject_worker_fault(simulation, fault),
            Fault::Network(fault) => inject_network_fault(simulation, fault),
            Fault::User(fault) => self.inject_user_fault(fault),
            Fault::ToggleCloud => simulation.faults.cloud_down = !simulation.faults.cloud_down,
            Fault::Heal => heal(simulation),
        }
    }

    fn inject_user_fault(&mut self, fault: &UserFault) {
        match fault {
            UserFault::CancelAndHang { job, machines } => self.cancel_and_hang(*job, *machines),
            UserFault::CancelAtCompletion(job) => self.cancel_at_completion(*job),
            UserFault::CancelDuringRefusal(job) => self.cancel_during_refusal(*job),
            UserFault::InvalidSubmissions => self.submit_invalid(),
            UserFault::ToggleQueriesAfterResponses => {
                let simulation = &mut self.simulation;
                simulation.query_after_responses = !simulation.query_after_responses;
            }
        }
    }

    fn cancel_and_hang(&mut self, job: usize, machines: usize) {
        let Some((id, _)) = self.accepted.get(job) else {
            return;
        };
        let simulation = &mut self.simulation;
        for (machine, _) in simulation.placements(id).into_iter().take(machines) {
            simulation.workers.get_mut(&machine).unwrap().hung = true;
        }
        let node = simulation.random(NODES);
        simulation.cancel_without_waiting(node, id);
        self.unanswered_cancels.push(id.clone());
    }

    fn cancel_at_completion(&mut self, job: usize) {
        let Some((id, JobKind::Array)) = self.accepted.get(job) else {
            return;
        };
        let simulation = &mut self.simulation;
        // Until its last task has ended on its machine, which no controller knows yet.
        for _ in 0..200 {
            if simulation.all_tasks_completed(id) {
                break;
            }
            simulation.tick();
        }
        (0..NODES).for_each(|node| simulation.cancel_without_waiting(node, id));
        for node in 0..NODES {
            simulation.show(node, id);
        }
    }

    fn cancel_during_refusal(&mut self, job: usize) {
        let Some((id, _)) = self.accepted.get(job) else {
            return;
        };
        let simulation = &mut self.simulation;
        refuse_leader(simulation);
        (0..NODES).for_each(|node| simulation.cancel_without_waiting(node, id));
        self.unanswered_cancels.push(id.clone());
        simulation.run(1.0);
        simulation.set_store_outage(true);
    }

    fn submit_invalid(&mut self) {
        let simulation = &mut self.simulation;
        for node in 0..NODES {
            let job = simulation.random(self.accepted.len().max(1));
            if let Some((id, _)) = self.accepted.get(job) {
                let mut other = sample(id, 7, 2.0, 1);
                other.team = "nobody".into();
                let status = simulation.submit(node, &other);
                let acceptable =
                    matches!(status, 0 | 200 | 503) || simulation.checker.data_lost_for_good;
                assert!(acceptable, "{id}: a repetition is answered with {status}");
            }
            let mut unschedulable = sample("wk-900000", 1, 99.0, 1);
            unschedulable.zone = Some("a".into());
            let status = simulation.submit(node, &unschedulable);
            assert!(
                !matches!(status, 200 | 201),
                "what can never run is accepted"
            );
        }
    }

    /// The faults are over: whatever was accepted is known to all, ends if it can, and is gone if it
    /// was cancelled.
    fn check_recovery(mut self) {
        let simulation = &mut self.simulation;
        heal(simulation);
        let healed_at = simulation.now;
        simulation.run(15.0);
        if simulation.checker.data_lost_for_good {
            // Nobody remembers what was accepted; that nothing ran twice, all the same, was checked.
            simulation.run(30.0);
            return;
        }
        if simulation.checker.survivors.is_empty() {
            settle_rebuilds(simulation);
        }
        simulation.run_until(90.0, "the store is whole", Simulation::is_store_complete);
        self.check_queries_answered(healed_at + Duration::from_secs(75));
        for node in 0..NODES {
            assert_ne!(
                self.simulation.show(node, "wk-999999").0,
                200,
                "wk-999999 was invented"
            );
        }
        self.cancel_services();
        self.check_jobs_end();
    }

    /// Each question about an accepted job is answered again 75 s after the last fault at the latest,
    /// unless the store has lost what only its workers' leases can prove.
    fn check_queries_answered(&mut self, deadline: Instant) {
        let simulation = &mut self.simulation;
        for (number, (id, _)) in self.accepted.iter().enumerate() {
            while simulation.show(number % NODES, id).0 != 200 {
                let late = simulation.now > deadline;
                assert!(!late, "{id}: no question is answered for 75 s");
                simulation.run(1.0);
            }
        }
    }

    /// Replicas of a job whose acceptance nobody received would hold their team's limit for ever.
    fn cancel_services(&mut self) {
        let simulation = &mut self.simulation;
        for id in &self.services {
            if simulation.show(1, id).1.is_none() {
                continue;
            }
            // Leaders that find all machines gone each resign once.
            let mut attempts = 0;
            while simulation.cancel(1, id).1 != Some(JobState::Cancelled) {
                attempts += 1;
                assert!(attempts < 40, "{id} cannot be cancelled");
                simulation.run(1.0);
            }
        }
    }

    fn check_jobs_end(&mut self) {
        for (id, kind) in &self.accepted {
            match self.simulation.show(0, id) {
                (200, Some(JobState::Done | JobState::Cancelled)) => {}
                (200, state) if *kind == JobKind::Service => panic!("{id} is said to be {state:?}"),
                (200, _) => self.simulation.run_until_done(id, 200.0),
                (status, _) => panic!("{id} is answered with {status}"),
            }
        }
    }
}

/// What workers show of a store that nobody remembers is for an operator to decide on.
fn settle_rebuilds(simulation: &mut Simulation) {
    for _ in 0..8 {
        simulation.run(5.0);
        for node in 0..NODES {
            simulation.settle_rebuild(node);
        }
    }
}

fn refuse_leader(simulation: &mut Simulation) {
    if let Some(leader) = simulation.leader() {
        simulation.nodes[leader].store_link = Link::Refused;
    }
}

fn inject_node_fault(simulation: &mut Simulation, fault: &NodeFault) {
    match fault {
        NodeFault::Kill { node, downtime_ms } => {
            simulation.kill(*node, Duration::from_millis(*downtime_ms));
        }
        NodeFault::KillAll => {
            (0..NODES).for_each(|node| simulation.kill(node, Duration::from_secs(2)));
        }
        NodeFault::KillLeaders(count) => {
            for _ in 0..*count {
                if let Some(leader) = simulation.leader() {
                    simulation.kill(leader, Duration::from_millis(300));
                }
                simulation.run(4.5);
            }
        }
        NodeFault::TogglePause(node) => {
            simulation.nodes[*node].paused = !simulation.nodes[*node].paused;
        }
        NodeFault::TogglePeers(node) => {
            let node = &mut simulation.nodes[*node];
            node.peers_reachable = !node.peers_reachable;
        }
        NodeFault::Isolate(node) => {
            simulation.nodes[*node].store_link = Link::Refused;
            simulation.nodes[*node].peers_reachable = false;
        }
        NodeFault::ForceStepDown => {
            if let Some(leader) = simulation.leader() {
                simulation.force_step_down(leader);
            }
        }
        NodeFault::DelayWatch { node, ms } => {
            simulation.nodes[*node].watch_delayed = true;
            simulation.run(seconds(*ms));
            simulation.nodes[*node].watch_delayed = false;
        }
    }
}

fn inject_store_fault(simulation: &mut Simulation, fault: &StoreFault, backup: Option<&Backup>) {
    match fault {
        StoreFault::Link(node, link) => simulation.nodes[*node].store_link = *link,
        StoreFault::RefuseAll => simulation.set_store_links(Link::Refused),
        StoreFault::ToggleOutage => simulation.set_store_outage(!simulation.faults.store_outage),
        StoreFault::RefusalThenOutage(ms) => {
            refuse_leader(simulation);
            simulation.run(seconds(*ms));
            simulation.set_store_outage(true);
        }
        StoreFault::Delay(ms) => simulation.faults.store_delay = Duration::from_millis(*ms),
        StoreFault::LoseData => {
            interrupt_store(simulation);
            simulation.lose_store();
        }
        StoreFault::RestoreBackup => {
            interrupt_store(simulation);
            if let Some(backup) = backup {
                simulation.restore_backup(backup);
            }
        }
        StoreFault::LateWrites(percent) => simulation.faults.late_write_share = fraction(*percent),
        StoreFault::LostResponses(percent) => {
            simulation.faults.lost_response_share = fraction(*percent)
        }
    }
}

/// Lets all controllers see everything in the store, which they remember from then on, and takes it
/// away for a moment, as a service is that is restored.
fn interrupt_store(simulation: &mut Simulation) {
    reconnect_controllers(simulation);
    simulation.release_held();
    simulation.run(0.5);
    simulation.set_store_links(Link::Refused);
    simulation.run(1.3);
    simulation.set_store_links(Link::Good);
}

/// Ends an outage of the state service, and faults of controllers.
fn reconnect_controllers(simulation: &mut Simulation) {
    if simulation.faults.store_outage {
        simulation.set_store_outage(false);
    }
    for node in &mut simulation.nodes {
        node.store_link = Link::Good;
        node.peers_reachable = true;
        node.paused = false;
    }
}

fn inject_worker_fault(simulation: &mut Simulation, fault: &WorkerFault) {
    match fault {
        WorkerFault::ToggleHang(number) => {
            if let Some(worker) = simulation.workers.values_mut().nth(*number) {
                worker.hung = !worker.hung;
            }
        }
        WorkerFault::Remove(number) => {
            let id = simulation.workers.keys().nth(*number).cloned();
            if let Some(worker) = id.and_then(|id| simulation.workers.remove(&id)) {
                let kind = (worker.machine_type, worker.spot);
                *simulation.capacity.entry(kind).or_default() += 1;
            }
        }
        WorkerFault::Reboot {
            machine,
            reset_counters,
        } => {
            if let Some(id) = simulation.workers.keys().nth(*machine).cloned() {
                simulation.reboot(&id, *reset_counters);
            }
        }
        WorkerFault::MoveAll(node) => {
            simulation.workers.values_mut().for_each(|w| w.node = *node);
        }
        WorkerFault::Partition { node, stride } => {
            for worker in simulation.workers.values_mut().step_by(*stride) {
                worker.partitioned_from.insert(*node);
            }
        }
        WorkerFault::TogglePartitionInbound { stride } => {
            for worker in simulation.workers.values_mut().step_by(*stride) {
                worker.inbound_partitioned = !worker.inbound_partitioned;
            }
        }
        WorkerFault::TogglePartitionOutbound { stride } => {
            for worker in simulation.workers.values_mut().step_by(*stride) {
                worker.outbound_partitioned = !worker.outbound_partitioned;
            }
        }
    }
}

fn inject_network_fault(simulation: &mut Simulation, fault: &NetworkFault) {
    let faults = &mut simulation.faults;
    match fault {
        NetworkFault::ToggleHoldCommands => faults.hold_commands = !faults.hold_commands,
        NetworkFault::Duplicates(s) => faults.duplicate_delay = Duration::from_secs(*s),
        NetworkFault::LateCommands(percent) => faults.late_command_share = fraction(*percent),
        NetworkFault::ReplayedHeartbeats(percent) => {
            faults.replayed_heartbeat_share = fraction(*percent);
        }
    }
}

fn heal(simulation: &mut Simulation) {
    reconnect_controllers(simulation);
    for worker in simulation.workers.values_mut() {
        worker.partitioned_from.clear();
        worker.hung = false;
        worker.inbound_partitioned = false;
        worker.outbound_partitioned = false;
    }
    let faults = &mut simulation.faults;
    faults.store_delay = Duration::ZERO;
    faults.hold_commands = false;
    faults.cloud_down = false;
    faults.late_write_share = 0.0;
    faults.duplicate_delay = Duration::ZERO;
    faults.lost_response_share = 0.0;
    faults.late_command_share = 0.0;
    faults.replayed_heartbeat_share = 0.0;
    simulation.query_after_responses = false;
    simulation.release_held();
}

fn run_schedule(seed: u64, steps: &[Step]) {
    let mut run = ScheduleRun::new(seed);
    for (number, step) in steps.iter().enumerate() {
        run.run_step(number, step);
    }
    run.check_recovery();
}

#[test]
fn random_schedules_violate_no_invariant() {
    let cases = std::env::var("HISTORIES").ok().and_then(|n| n.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(150),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    };
    let mut seed = [0; 32];
    let chosen_seed = std::env::var("HISTORY_SEED")
        .ok()
        .and_then(|n| n.parse().ok());
    seed[..8].copy_from_slice(&chosen_seed.unwrap_or(0u64).to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let schedules = (any::<u64>(), proptest::collection::vec(any_step(), 1..14));
    let mut runner = TestRunner::new_with_rng(config, rng);
    let outcome = runner.run(&schedules, |(seed, steps)| {
        run_schedule(seed, &steps);
        Ok(())
    });
    if let Err(e) = outcome {
        panic!("{e}");
    }
}

/// The checker finds what follows when a guard is taken out, by the rule that it keeps.
#[test]
fn checker_detects_each_disabled_safeguard() {
    const CASES: [(Safeguard, &str, u8); 10] = [
        (Safeguard::RecoveryWait, " and on ", 0),
        (Safeguard::TeamLimit, "team t uses", 0),
        (Safeguard::SpotEligibility, "is on a spot machine", 0),
        (Safeguard::StopEndedJobs, "of a cancelled job is on", 0),
        (Safeguard::DurableAcceptance, "was forgotten", 6),
        (Safeguard::UnknownJob, "was invented", 0),
        (Safeguard::ArrayCompletion, "is not done", 0),
        (Safeguard::DurableCancellation, "said to be", 6),
        (Safeguard::UniqueTerm, "two leaderships have term", 0),
        (Safeguard::FreshRead, "was forgotten", 0),
    ];
    for (safeguard, expected, seed) in CASES {
        // Each with a seed that finds it early.
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
        let mut runner = TestRunner::new_with_rng(Config::default(), rng);
        let schedules = (any::<u64>(), proptest::collection::vec(any_step(), 1..24));
        let found = (0..3000).find_map(|n| {
            let (seed, steps) = schedules.new_tree(&mut runner).ok()?.current();
            let message = failure_without(safeguard, || run_schedule(seed, &steps))?;
            message.contains(expected).then_some((n, message))
        });
        let (n, message) =
            found.unwrap_or_else(|| panic!("{safeguard:?} is out, and nothing is found"));
        println!("{safeguard:?}: history {n}: {message}");
    }
}

const SHORT_JOB: JobPlan = JobPlan {
    tasks: 1,
    cpus: 1.0,
    seconds: 1,
    kind: JobKind::Array,
};

const SHORT_SERVICE: JobPlan = JobPlan {
    kind: JobKind::Service,
    ..SHORT_JOB
};

const LOSE_DATA: Fault = Fault::Store(StoreFault::LoseData);
const RESTORE_BACKUP: Fault = Fault::Store(StoreFault::RestoreBackup);

fn step(fault: Fault, job: Option<JobPlan>, pause_ms: u64) -> Step {
    Step {
        fault,
        job,
        cancel: None,
        pause_ms,
    }
}

/// Found by these schedules: all controllers ended, their store was lost a moment after they were back,
/// and was then rolled back to what it held while it was being rebuilt.
#[test]
fn store_rolled_back_into_rebuild_is_rebuilt() {
    crate::core::simulation::enable_log();
    let step = |fault, job: bool, pause_ms| step(fault, job.then_some(SHORT_JOB), pause_ms);
    run_schedule(
        3401632716118953730,
        &[
            step(
                Fault::Worker(WorkerFault::Partition { node: 0, stride: 1 }),
                false,
                275,
            ),
            step(Fault::Node(NodeFault::KillAll), false, 2526),
            step(LOSE_DATA, false, 50),
            step(Fault::ToggleCloud, false, 3225),
            step(
                Fault::Store(StoreFault::Link(0, Link::ResponsesLost)),
                true,
                2875,
            ),
            step(Fault::Node(NodeFault::TogglePause(0)), true, 1925),
            step(Fault::Node(NodeFault::TogglePause(2)), false, 3926),
            step(RESTORE_BACKUP, false, 2875),
            step(Fault::Node(NodeFault::TogglePause(0)), false, 76),
            step(RESTORE_BACKUP, true, 50),
        ],
    );
}

/// Found by these schedules: the store lost its data when one controller was away and another had just begun.
#[test]
fn store_lost_during_restarts_is_rebuilt() {
    crate::core::simulation::enable_log();
    let kill = |node, downtime_ms| Fault::Node(NodeFault::Kill { node, downtime_ms });
    run_schedule(
        328329404657090147,
        &[
            step(kill(2, 5551), None, 2075),
            step(kill(0, 50), None, 2526),
            step(LOSE_DATA, None, 50),
        ],
    );
}

/// The store is lost and rolled back within seconds, a leader between the two.
pub fn store_lost_twice() {
    run_schedule(
        0,
        &[
            step(Fault::Node(NodeFault::TogglePause(0)), None, 50),
            step(Fault::Store(StoreFault::RefusalThenOutage(2625)), None, 50),
            step(RESTORE_BACKUP, None, 50),
            step(LOSE_DATA, None, 2625),
            step(RESTORE_BACKUP, None, 50),
        ],
    );
}

/// Found by these schedules: the store was lost and, before it was named again, rolled back to what it had held.
#[test]
fn store_rolled_back_right_after_loss_is_rebuilt() {
    crate::core::simulation::enable_log();
    run_schedule(
        0,
        &[
            step(Fault::Node(NodeFault::TogglePeers(0)), None, 2676),
            step(Fault::Heal, None, 1975),
            step(Fault::Heal, Some(SHORT_SERVICE), 3026),
            step(
                Fault::Node(NodeFault::DelayWatch { node: 0, ms: 1576 }),
                None,
                975,
            ),
            step(Fault::Node(NodeFault::TogglePause(0)), None, 2475),
            step(LOSE_DATA, Some(SHORT_JOB), 425),
            step(RESTORE_BACKUP, None, 50),
        ],
    );
}
