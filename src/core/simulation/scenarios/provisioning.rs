//! Provisioning and returning machines.

use super::four_machines;
use crate::core::simulation::Simulation;
use crate::job::{Priority, sample};
use std::time::Duration;

#[test]
fn machines_provisioned_for_queue_and_returned_when_idle() {
    let mut simulation = Simulation::new(19);
    simulation.run(3.0);
    assert_eq!(simulation.submit(0, &sample("wk-1", 6, 4.0, 20)), 201);
    // A job without a deadline or start goal waits 30 s before machines are provisioned for it (`patience`).
    simulation.run_until_done("wk-1", 120.0);
    assert!(simulation.workers.len() >= 6);
    assert!(simulation.workers.values().all(|m| !m.spot));
    simulation.run_until(120.0, "all machines returned", |simulation| {
        simulation.workers.is_empty()
    });
}

/// Guards against low-priority jobs for spot machines that had ordinary machines provisioned at a multiple of the
/// price, and that kept existing ordinary machines from being returned.
#[test]
fn low_priority_job_uses_spot_machines_or_waits() {
    let mut simulation = Simulation::new(26);
    simulation.run(3.0);
    let mut low = sample("wk-1", 6, 4.0, 20);
    low.priority = Priority::Low;
    low.spot = true;
    assert_eq!(simulation.submit(0, &low), 201);
    let mut normal = sample("wk-2", 1, 4.0, 90);
    normal.priority = Priority::Normal;
    assert_eq!(simulation.submit(0, &normal), 201);
    // The tasks run in three successive batches on the two available spot machines.
    simulation.run_until_done("wk-1", 150.0);
    assert_eq!(simulation.counters.provisioned, (2, 1));
    simulation.run_until_done("wk-2", 150.0);
}

/// Guards against spot machines that were not provisioned for a thousand waiting tasks, because the queue would be
/// empty before ordinary machines became worth their price.
#[test]
fn spot_machine_provisioned_where_ordinary_not_worth_it() {
    for (spot, provisioned) in [(true, (1, 0)), (false, (0, 0))] {
        let (mut simulation, leader) = four_machines(51);
        simulation.submit(leader, &sample("wk-1", 16, 1.0, 30));
        simulation.run(1.5);
        // Capacity becomes free in 28 s. The job may wait for 37 s, or for 25 s if a spot machine is available.
        let mut second = sample("wk-2", 4, 1.0, 10);
        second.deadline = Some(Duration::from_secs(60));
        second.spot = spot;
        simulation.submit(leader, &second);
        simulation.run(4.0);
        assert_eq!(simulation.counters.provisioned, provisioned);
        simulation.run_until_done("wk-2", 60.0);
    }
}

/// Guards against expected task ends in a partitioned zone being counted as future capacity: nothing was provisioned
/// in the other zones until the partition ended.
#[test]
fn tasks_ending_in_partitioned_zone_free_no_capacity() {
    for (partitioned, provisioned) in [(false, 0), (true, 2)] {
        let (mut simulation, leader) = four_machines(61);
        simulation.submit(leader, &sample("wk-1", 16, 1.0, 9));
        simulation.run(1.5);
        if partitioned {
            let in_zone = simulation.workers.values_mut().filter(|m| m.zone == "a");
            in_zone.for_each(|m| m.partitioned_from.extend(0..3));
        }
        simulation.run(3.0);
        // With four machines all tasks start in a few seconds; with two machines, two tasks would wait 40 s more.
        let mut second = sample("wk-2", 4, 4.0, 40);
        second.team = "u".into();
        simulation.submit(leader, &second);
        simulation.run(3.0);
        assert_eq!(simulation.counters.provisioned.1, provisioned);
        simulation.heal_worker_partitions();
        simulation.run_until_done("wk-2", 120.0);
    }
}

/// Guards against a fault found in the first larger run with injected faults: calls to the cloud waited for its rate
/// limit until they were too late to be sent, and were repeated at once, without end.
#[test]
fn cloud_calls_within_limit_through_outage() {
    let (mut simulation, leader) = four_machines(27);
    simulation.capacity.insert(("small".into(), false), 400);
    simulation.faults.cloud_down = true;
    for n in 1..8 {
        let mut spec = sample(&format!("wk-{n}"), 200, 4.0, 30);
        spec.team = "u".into();
        simulation.submit(leader, &spec);
    }
    simulation.run(10.0);
    let calls_before = simulation.counters.cloud_calls;
    simulation.run(10.0);
    // The limit in these scenarios is 10 calls a second, with bursts of up to 10 calls.
    assert!(
        simulation.counters.cloud_calls - calls_before <= 110,
        "{}",
        simulation.counters.cloud_calls - calls_before
    );
    simulation.faults.cloud_down = false;
    simulation.run_until(15.0, "provisioning continues", |simulation| {
        simulation.workers.len() > 100
    });
}
