//! Random fault schedules for three controllers that serve workers for one another, with the invariants
//! checked at every tick. `proptest` generates the schedules from a fixed seed, so that the result is
//! always the same, and shrinks a schedule that violates an invariant to the fewest steps. Each shrunk
//! schedule becomes a test of its own at the end of this file. To run more schedules, or others:
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

/// Fault that a step injects. A fault whose name begins with `Toggle` lasts until the next one of the
/// same kind, or until the cluster is healed.
#[derive(Clone, Debug)]
enum Fault {
    Node(NodeFault),
    Store(StoreFault),
    Worker(WorkerFault),
    Network(NetworkFault),
    User(UserFault),
    /// Makes the cloud answer every call with an error.
    ToggleCloud,
    /// Ends all faults.
    Heal,
}

/// Fault of controllers.
#[derive(Clone, Debug)]
enum NodeFault {
    Kill {
        node: usize,
        downtime_ms: u64,
    },
    KillAll,
    /// Kills the leader, this many times in a row.
    KillLeaders(u32),
    TogglePause(usize),
    /// Disconnects a controller from the other controllers.
    TogglePeers(usize),
    /// Disconnects a controller from the state service and the other controllers. Workers and users
    /// still reach it.
    Isolate(usize),
    /// Makes the leader step down by telling it that its leader key is gone, although the key exists.
    ForceStepDown,
    /// Holds back the changes from a controller's watch for this long.
    DelayWatch {
        node: usize,
        ms: u64,
    },
}

/// Fault of the state service.
#[derive(Clone, Debug)]
enum StoreFault {
    /// Sets the connection of a controller to the state service.
    Link(usize, Link),
    /// Refuses the requests of all controllers.
    RefuseAll,
    /// Refuses all requests, while no lease expires.
    ToggleOutage,
    /// Refuses the requests of the leader, and after this many milliseconds those of all controllers,
    /// while no lease expires.
    RefusalThenOutage(u64),
    /// Delays responses by up to this many milliseconds.
    Delay(u64),
    /// Loses all data, once all running controllers have cached it.
    LoseData,
    /// Restores the last backup, once all running controllers have cached the present data.
    RestoreBackup,
    /// Carries out this percentage of transactions seconds late, after newer ones.
    LateWrites(u32),
    /// Carries out this percentage of transactions at once and loses their responses.
    LostResponses(u32),
}

/// Fault of machines.
#[derive(Clone, Debug)]
enum WorkerFault {
    ToggleHang(usize),
    Remove(usize),
    /// Reboots a machine, which is back shortly after without tasks, in its next incarnation or, with
    /// `reset_counters`, with all counters at their first values.
    Reboot {
        machine: usize,
        reset_counters: bool,
    },
    /// Makes all workers send their heartbeats to this controller.
    MoveAll(usize),
    /// Partitions every `stride`-th worker from a controller.
    Partition {
        node: usize,
        stride: usize,
    },
    /// Lets every `stride`-th worker reach the controllers without being reached by them.
    TogglePartitionInbound {
        stride: usize,
    },
    /// Lets direct commands reach every `stride`-th worker, which itself reaches no controller.
    TogglePartitionOutbound {
        stride: usize,
    },
}

/// Fault in the delivery of heartbeats and direct commands.
#[derive(Clone, Debug)]
enum NetworkFault {
    /// Holds direct commands back.
    ToggleHoldCommands,
    /// Delivers heartbeats and direct commands a second time, up to this many seconds later.
    Duplicates(u64),
    /// Carries out this percentage of direct commands 2 to 16 s late, once.
    LateCommands(u32),
    /// Delivers copies of this percentage of heartbeats to every controller when the next leadership
    /// begins.
    ReplayedHeartbeats(u32),
}

/// Requests that users send at unfavourable moments.
#[derive(Clone, Debug)]
enum UserFault {
    /// Cancels a job, and makes some of its machines hang from then on.
    CancelAndHang { job: usize, machines: usize },
    /// Cancels a job when its last task completes, and queries all controllers for it.
    CancelAtCompletion(usize),
    /// Cancels a job at all controllers while the state service refuses the requests of the leader,
    /// and a second later those of all controllers.
    CancelDuringRefusal(usize),
    /// Submits accepted jobs once more with another specification, and a job that can never run.
    InvalidSubmissions,
    /// Queries all controllers for a job as soon as a response first reports it as accepted or ended.
    ToggleQueriesAfterResponses,
}

/// Job to submit.
#[derive(Clone, Copy, Debug)]
struct JobPlan {
    tasks: u32,
    cpus: f64,
    seconds: u64,
    kind: JobKind,
}

/// Fault, followed by an optional submission, an optional cancellation, and a pause.
#[derive(Clone, Debug)]
struct Step {
    fault: Fault,
    job: Option<JobPlan>,
    /// Index of the job to cancel among the accepted jobs.
    cancel: Option<usize>,
    /// Time that the simulation runs on before the next step.
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

/// Generates any fault. The seeds depend on the order of the alternatives: in another order, they lead
/// to other schedules.
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

/// Running schedule.
struct ScheduleRun {
    simulation: Simulation,
    /// Jobs whose submission was accepted, with their kinds.
    accepted: Vec<(String, JobKind)>,
    /// Services that were submitted, whether or not a response confirmed it.
    services: Vec<String>,
    /// Latest backup of the state service.
    backup: Option<Backup>,
    /// Jobs whose cancellation was requested and has not been confirmed yet.
    unanswered_cancels: Vec<String>,
    job_sizes: JobSizes,
}

/// Which jobs of a schedule are too large for one value of the store.
#[derive(Clone, Copy, Debug, PartialEq)]
enum JobSizes {
    /// None.
    Small,
    /// Those with odd numbers.
    EveryOtherLarge,
}

/// Length of an image's name that makes a job too large for one value.
const LONG_IMAGE_NAME: usize = 3000;

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
            job_sizes: JobSizes::Small,
        }
    }

    /// Runs a step. Its number selects the controller to which users send their requests.
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

    /// Repeats the cancellations that have not been answered yet, as users do.
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
        if self.job_sizes == JobSizes::EveryOtherLarge && number % 2 == 1 {
            spec.image = "x".repeat(LONG_IMAGE_NAME);
        }
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
        // Runs until the last task has completed on its machine, before any controller knows of it.
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
                assert!(
                    acceptable,
                    "{id}: a repeated submission got status {status}"
                );
            }
            let mut unschedulable = sample("wk-900000", 1, 99.0, 1);
            unschedulable.zone = Some("a".into());
            let status = simulation.submit(node, &unschedulable);
            assert!(
                !matches!(status, 200 | 201),
                "a job that can never run was accepted"
            );
        }
    }

    /// Ends all faults, and checks that every accepted job is known, that services can be cancelled,
    /// and that all other jobs end.
    fn check_recovery(mut self) {
        let simulation = &mut self.simulation;
        heal(simulation);
        let healed_at = simulation.now;
        simulation.run(15.0);
        if simulation.checker.data_lost_for_good {
            // No controller has the accepted jobs cached. Only the invariants are checked, such as that
            // no task runs twice.
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
                "wk-999999 is reported, but was never submitted"
            );
        }
        self.cancel_services();
        self.check_jobs_end();
    }

    /// Checks that every query about an accepted job succeeds again by the deadline, 75 s after the
    /// last fault. This does not hold if the store has lost data and a job's state is certain only once
    /// the workers' leases have expired.
    fn check_queries_answered(&mut self, deadline: Instant) {
        let simulation = &mut self.simulation;
        for (number, (id, _)) in self.accepted.iter().enumerate() {
            while simulation.show(number % NODES, id).0 != 200 {
                let late = simulation.now > deadline;
                assert!(
                    !late,
                    "{id}: no query succeeded within 75 s of the last fault"
                );
                simulation.run(1.0);
            }
        }
    }

    /// Cancels all services, also those whose submission got no response: the replicas of such a service
    /// would use their team's limit up for ever.
    fn cancel_services(&mut self) {
        let simulation = &mut self.simulation;
        for id in &self.services {
            if simulation.show(1, id).1.is_none() {
                continue;
            }
            // A leader to which no worker reports resigns, each controller once; until then, attempts
            // may fail.
            let mut attempts = 0;
            while simulation.cancel(1, id).1 != Some(JobState::Cancelled) {
                attempts += 1;
                assert!(attempts < 40, "{id} cannot be cancelled");
                simulation.run(1.0);
            }
        }
    }

    /// Checks that all accepted jobs end; services have been cancelled before.
    fn check_jobs_end(&mut self) {
        for (id, kind) in &self.accepted {
            match self.simulation.show(0, id) {
                (200, Some(JobState::Done | JobState::Cancelled)) => {}
                (200, state) if *kind == JobKind::Service => {
                    panic!("service {id} is said to be {state:?}")
                }
                (200, _) => self.simulation.run_until_done(id, 200.0),
                (status, _) => panic!("{id}: a query got status {status}"),
            }
        }
    }
}

/// Settles the rebuild of the store, as an operator has to if no controller has the lost data cached and
/// workers report tasks of unknown jobs.
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

/// Lets all running controllers cache everything in the store, and then refuses their requests for a
/// moment, as a service does that is being restored.
fn interrupt_store(simulation: &mut Simulation) {
    reconnect_controllers(simulation);
    simulation.release_held();
    simulation.run(0.5);
    simulation.set_store_links(Link::Refused);
    simulation.run(1.3);
    simulation.set_store_links(Link::Good);
}

/// Ends an outage of the state service, and all faults of controllers except kills.
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
    run_schedule_with(seed, steps, JobSizes::Small);
}

fn run_schedule_with(seed: u64, steps: &[Step], job_sizes: JobSizes) {
    let mut run = ScheduleRun::new(seed);
    run.job_sizes = job_sizes;
    for (number, step) in steps.iter().enumerate() {
        run.run_step(number, step);
    }
    run.check_recovery();
}

#[test]
fn random_schedules_violate_no_invariant() {
    run_random_schedules(150, JobSizes::Small);
}

/// Every other job is stored in parts.
#[test]
fn random_schedules_with_large_jobs_violate_no_invariant() {
    run_random_schedules(60, JobSizes::EveryOtherLarge);
}

/// Runs schedules, as many as the environment says or `default_cases`.
fn run_random_schedules(default_cases: u32, job_sizes: JobSizes) {
    let cases = std::env::var("HISTORIES").ok().and_then(|n| n.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(default_cases),
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
        run_schedule_with(seed, &steps, job_sizes);
        Ok(())
    });
    if let Err(e) = outcome {
        panic!("{e}");
    }
}

/// With a safeguard disabled, some random schedule must violate the invariant that it upholds.
#[test]
fn checker_detects_each_disabled_safeguard() {
    const CASES: [(Safeguard, &str, u8); 10] = [
        (Safeguard::RecoveryWait, " and on ", 0),
        (Safeguard::TeamLimit, "team t uses", 0),
        (Safeguard::SpotEligibility, "is on a spot machine", 0),
        (Safeguard::StopEndedJobs, "of a cancelled job is on", 0),
        (Safeguard::DurableAcceptance, "was forgotten", 6),
        (Safeguard::UnknownJob, "was never submitted", 0),
        (Safeguard::ArrayCompletion, "is not done", 0),
        (Safeguard::DurableCancellation, "said to be", 6),
        (Safeguard::UniqueTerm, "two leaderships have term", 0),
        (Safeguard::FreshRead, "was forgotten", 0),
    ];
    for (safeguard, expected, seed) in CASES {
        // The seed of each case leads to a violation after few schedules.
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
        let mut runner = TestRunner::new_with_rng(Config::default(), rng);
        let schedules = (any::<u64>(), proptest::collection::vec(any_step(), 1..24));
        let found = (0..3000).find_map(|n| {
            let (seed, steps) = schedules.new_tree(&mut runner).ok()?.current();
            let message = failure_without(safeguard, || run_schedule(seed, &steps))?;
            message.contains(expected).then_some((n, message))
        });
        let (n, message) = found.unwrap_or_else(|| {
            panic!("{safeguard:?} is disabled, and no schedule failed with: {expected}")
        });
        println!("{safeguard:?}: schedule {n}: {message}");
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

/// Found by randomized schedules: after a restart of all controllers, the store lost its data, and
/// was then rolled back to a backup from the time of its rebuild.
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

/// Found by randomized schedules: the store lost its data while one controller was down and another
/// had just restarted.
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

/// Loses the store and restores a backup within seconds, with a leadership in between.
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

/// Found by randomized schedules: the store lost its data and was rolled back to a backup before a new
/// store identity was written.
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

/// Found by randomized schedules: the store was rolled back by one revision, the leader restarted before it noticed, and
/// its campaign raised the revision again. The other controllers had the lost job, and nothing made them compare it.
#[test]
fn job_lost_in_rollback_masked_by_campaign_is_restored() {
    crate::core::simulation::enable_log();
    let kill = NodeFault::Kill {
        node: 0,
        downtime_ms: 50,
    };
    run_schedule(
        0,
        &[
            step(Fault::Network(NetworkFault::LateCommands(5)), None, 2176),
            step(
                Fault::Store(StoreFault::RefusalThenOutage(1076)),
                None,
                1725,
            ),
            step(RESTORE_BACKUP, None, 50),
            step(
                Fault::Network(NetworkFault::Duplicates(1)),
                Some(SHORT_JOB),
                50,
            ),
            step(RESTORE_BACKUP, None, 50),
            step(Fault::Node(kill), None, 50),
        ],
    );
}

/// Found by randomized schedules: the store lost its data twice within seconds while a controller had just restarted,
/// and no controller had a complete copy of the store between the two losses.
#[test]
fn two_losses_around_a_restart_are_rebuilt() {
    crate::core::simulation::enable_log();
    let kill = NodeFault::Kill {
        node: 2,
        downtime_ms: 4551,
    };
    let reboot = WorkerFault::Reboot {
        machine: 2,
        reset_counters: true,
    };
    run_schedule(
        271950028095143,
        &[
            step(Fault::Store(StoreFault::ToggleOutage), None, 1425),
            step(Fault::Node(kill), Some(SHORT_JOB), 1276),
            step(Fault::Worker(reboot), None, 1725),
            step(Fault::ToggleCloud, Some(SHORT_JOB), 425),
            step(LOSE_DATA, None, 2575),
            step(LOSE_DATA, None, 50),
        ],
    );
}

/// Found by randomized schedules: the store was rolled back, a large job was accepted before every controller had noticed,
/// all data was lost, and the controller that had accepted the job ended.
#[test]
fn large_job_accepted_between_rollback_and_loss_is_restored() {
    crate::core::simulation::enable_log();
    let partition = |node, stride| Fault::Worker(WorkerFault::Partition { node, stride });
    let cancel = || {
        Fault::User(UserFault::CancelAndHang {
            job: 0,
            machines: 1,
        })
    };
    let kill = NodeFault::Kill {
        node: 0,
        downtime_ms: 4286,
    };
    run_schedule_with(
        0,
        &[
            step(partition(0, 2), None, 1825),
            step(cancel(), None, 325),
            step(partition(1, 1), None, 3176),
            step(partition(0, 1), None, 2325),
            step(cancel(), Some(SHORT_JOB), 1026),
            step(cancel(), Some(SHORT_JOB), 3725),
            step(Fault::Heal, Some(SHORT_JOB), 50),
            step(RESTORE_BACKUP, Some(SHORT_JOB), 50),
            step(LOSE_DATA, None, 1276),
            step(Fault::Node(kill), None, 255),
        ],
        JobSizes::EveryOtherLarge,
    );
}

/// Found by randomized schedules: after a rollback the parts of a large job were written at revisions that other
/// controllers had seen already. Their watches delivered its key alone, and one of them led and never ran the job.
#[test]
fn large_job_whose_parts_no_watch_delivers_is_run() {
    crate::core::simulation::enable_log();
    let kill = NodeFault::Kill {
        node: 0,
        downtime_ms: 2601,
    };
    run_schedule_with(
        2847112751586951143,
        &[
            step(Fault::Node(NodeFault::KillLeaders(2)), None, 50),
            step(LOSE_DATA, None, 3575),
            step(RESTORE_BACKUP, None, 1925),
            step(RESTORE_BACKUP, Some(SHORT_JOB), 2026),
            step(Fault::Node(kill), None, 50),
        ],
        JobSizes::EveryOtherLarge,
    );
}

/// Found by randomized schedules: the store was rolled back from the end of a rebuild into it, and lost the record of a new
/// machine; other changes raised its revision again. The leader's list showed an older page of machines, and no job was
/// missing. The next leader did not know the machine and started its task elsewhere.
#[test]
fn lost_record_of_new_machine_is_noticed() {
    crate::core::simulation::enable_log();
    let kill = NodeFault::Kill {
        node: 0,
        downtime_ms: 50,
    };
    let job = |seconds| JobPlan {
        seconds,
        ..SHORT_JOB
    };
    let partition = WorkerFault::TogglePartitionOutbound { stride: 1 };
    run_schedule_with(
        2847112751586951143,
        &[
            step(Fault::Node(NodeFault::KillLeaders(2)), None, 50),
            step(LOSE_DATA, Some(SHORT_JOB), 3676),
            step(
                Fault::User(UserFault::CancelDuringRefusal(0)),
                Some(job(3)),
                125,
            ),
            step(Fault::Heal, None, 3225),
            step(RESTORE_BACKUP, Some(job(4)), 1375),
            step(Fault::Worker(partition), Some(SHORT_JOB), 476),
            step(Fault::Node(kill), Some(SHORT_JOB), 50),
        ],
        JobSizes::EveryOtherLarge,
    );
}
