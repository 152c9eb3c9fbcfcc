//! Steps of a schedule, and their generation.

use super::NODES;
use crate::core::simulation::Link;
use crate::job::JobKind;
use proptest::prelude::*;

/// Fault that a step injects. A fault whose name begins with `Toggle` lasts until the next one of the
/// same kind, or until the cluster is healed.
#[derive(Clone, Debug)]
pub(super) enum Fault {
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
pub(super) enum NodeFault {
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
pub(super) enum StoreFault {
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
pub(super) enum WorkerFault {
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
pub(super) enum NetworkFault {
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
pub(super) enum UserFault {
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
pub(super) struct JobPlan {
    pub(super) tasks: u32,
    pub(super) cpus: f64,
    pub(super) seconds: u64,
    pub(super) kind: JobKind,
}

/// Fault, followed by an optional submission, an optional cancellation, and a pause.
#[derive(Clone, Debug)]
pub(super) struct Step {
    pub(super) fault: Fault,
    pub(super) job: Option<JobPlan>,
    /// Index of the job to cancel among the accepted jobs.
    pub(super) cancel: Option<usize>,
    /// Time that the simulation runs on before the next step.
    pub(super) pause_ms: u64,
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

pub(super) fn any_step() -> impl Strategy<Value = Step> {
    step_with(any_fault())
}

/// Generates a step with one of these faults.
pub(super) fn step_with(fault: impl Strategy<Value = Fault>) -> impl Strategy<Value = Step> {
    let kind = prop_oneof![3 => Just(JobKind::Array), 1 => Just(JobKind::Service)];
    let job = (1..6u32, 1..4u32, 1..14u64, kind).prop_map(|(tasks, cpus, seconds, kind)| JobPlan {
        tasks,
        cpus: f64::from(cpus),
        seconds,
        kind,
    });
    (
        fault,
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
