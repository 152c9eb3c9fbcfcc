//! Random schedules in which a copy of every direct command arrives again, up to three leases later, while controllers
//! and machines restart within a second and jobs are cancelled.

use super::run::JobMix;
use super::schedule::{Fault, NetworkFault, NodeFault, Step, UserFault, WorkerFault, step_with};
use super::{NODES, run_random_schedules};
use proptest::prelude::*;
use std::ops::Range;

/// Range of the maximum delay of copies, in seconds. A lease takes 10 s.
const MAX_COPY_DELAY_S: Range<u64> = 2..31;

/// Generates the faults that copies of commands may meet.
fn any_fault() -> impl Strategy<Value = Fault> {
    use WorkerFault as Worker;
    use {NetworkFault as Net, NodeFault as Node, UserFault as User};
    let node = || 0..NODES;
    let job = || 0..20usize;
    let machine = || 0..12usize;
    let stride = || 1..4usize;
    prop_oneof![
        4 => (machine(), any::<bool>())
            .prop_map(|(machine, reset_counters)| Fault::Worker(Worker::Reboot { machine, reset_counters })),
        3 => (node(), 50..1000u64)
            .prop_map(|(node, downtime_ms)| Fault::Node(Node::Kill { node, downtime_ms })),
        2 => (1..4u32).prop_map(|n| Fault::Node(Node::KillLeaders(n))),
        1 => Just(Fault::Node(Node::ForceStepDown)),
        2 => MAX_COPY_DELAY_S.prop_map(|s| Fault::Network(Net::Duplicates(s))),
        2 => (5..70u32).prop_map(|p| Fault::Network(Net::LateCommands(p))),
        1 => machine().prop_map(|m| Fault::Worker(Worker::ToggleHang(m))),
        1 => (node(), stride())
            .prop_map(|(node, stride)| Fault::Worker(Worker::Partition { node, stride })),
        1 => stride().prop_map(|stride| Fault::Worker(Worker::TogglePartitionInbound { stride })),
        1 => stride().prop_map(|stride| Fault::Worker(Worker::TogglePartitionOutbound { stride })),
        2 => (job(), 1..4usize)
            .prop_map(|(job, machines)| Fault::User(User::CancelAndHang { job, machines })),
        1 => job().prop_map(|job| Fault::User(User::CancelAtCompletion(job))),
        1 => Just(Fault::Heal),
    ]
}

/// Generates schedules that begin with copies of all commands.
fn any_schedule() -> impl Strategy<Value = (u64, Vec<Step>)> {
    let first = MAX_COPY_DELAY_S.prop_map(|s| Fault::Network(NetworkFault::Duplicates(s)));
    let steps = proptest::collection::vec(step_with(any_fault()), 3..14);
    (any::<u64>(), step_with(first), steps).prop_map(|(seed, first, mut steps)| {
        steps.insert(0, first);
        (seed, steps)
    })
}

#[test]
fn random_schedules_with_command_copies_violate_no_invariant() {
    run_random_schedules(150, JobMix::Small, any_schedule());
}
