//! Renting and returning machines.

use super::four_machines;
use crate::core::simulation::Simulation;
use crate::job::{Priority, sample};
use std::time::Duration;

#[test]
fn machines_provisioned_for_queue_and_returned_when_idle() {
    let mut simulation = Simulation::new(19);
    simulation.run(3.0);
    assert_eq!(simulation.submit(0, &sample("wk-1", 6, 4.0, 20)), 201);
    // Patience is 30 s for work without goals.
    simulation.run_until_done("wk-1", 120.0);
    assert!(simulation.workers.len() >= 6);
    assert!(simulation.workers.values().all(|m| !m.spot));
    simulation.run_until(120.0, "all machines returned", |simulation| {
        simulation.workers.is_empty()
    });
}

/// Guests' work on idle time had ordinary machines provisioned for it at a multiple of the price, and
/// kept those that were there from being returned.
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
    // Three batches one after the other on the two spot machines that there are.
    simulation.run_until_done("wk-1", 150.0);
    assert_eq!(simulation.counters.provisioned, (2, 1));
    simulation.run_until_done("wk-2", 150.0);
}

/// Spot machines stood unrented beside a thousand waiting tasks, as the queue would be through
/// within the time after which ordinary ones are worth their price.
#[test]
fn spot_machine_provisioned_where_ordinary_not_worth_it() {
    for (spot, provisioned) in [(true, (1, 0)), (false, (0, 0))] {
        let (mut simulation, leader) = four_machines(51);
        simulation.submit(leader, &sample("wk-1", 16, 1.0, 30));
        simulation.run(1.5);
        // Room comes in 28 s; it may wait for 37 s, and 25 s where a spot machine is to be had.
        let mut second = sample("wk-2", 4, 1.0, 10);
        second.deadline = Some(Duration::from_secs(60));
        second.spot = spot;
        simulation.submit(leader, &second);
        simulation.run(4.0);
        assert_eq!(simulation.counters.provisioned, provisioned);
        simulation.run_until_done("wk-2", 60.0);
    }
}

/// While a zone was cut off, the ends of its tasks counted as room to come: nothing was provisioned in
/// the others until the cut was over.
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
        // With four machines all start in a few seconds; with two, two would wait for 40 s more.
        let mut second = sample("wk-2", 4, 4.0, 40);
        second.team = "u".into();
        simulation.submit(leader, &second);
        simulation.run(3.0);
        assert_eq!(simulation.counters.provisioned.1, provisioned);
        simulation.heal_worker_partitions();
        simulation.run_until_done("wk-2", 120.0);
    }
}

/// Found on the first grown rough day: calls to the cloud queued for its rate limit until they
/// were too late to be sent, and were asked again at once, for ever.
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
    // The limit in these scenarios is 10 calls a second, with bursts of one second's worth.
    assert!(
        simulation.counters.cloud_calls - calls_before <= 110,
        "{}",
        simulation.counters.cloud_calls - calls_before
    );
    simulation.faults.cloud_down = false;
    simulation.run_until(15.0, "renting goes on", |simulation| {
        simulation.workers.len() > 100
    });
}
