//! Provisioning and returning machines.

use super::{four_machines, unlimited_job};
use crate::core::simulation::Simulation;
use crate::job::{JobSpec, Priority, sample};
use crate::policy::Policy;
use crate::settings::Settings;
use crate::wire::JobState;
use std::sync::Arc;
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

/// Returns the number of scale-outs without a final response, and of the machines that they request.
fn outstanding_scale_outs(simulation: &Simulation, leader: usize) -> (usize, u32) {
    let cloud = &simulation.nodes[leader].core.leader.as_ref().unwrap().cloud;
    let machines = cloud.scale_outs.values().map(|s| s.body.count).sum();
    (cloud.scale_outs.len(), machines)
}

/// Returns a job whose tasks need a machine of type `small` each.
fn job_for_small_machines(id: &str, tasks: u32) -> JobSpec {
    let mut spec = unlimited_job(id, tasks, 4.0, 50);
    spec.machine_types = Some(vec!["small".into()]);
    spec.spot = true;
    spec
}

/// The cloud of these scenarios answers 10 calls a second and has five offers. Requests for three seconds' worth of
/// calls, and one more for each offer, are more than it answers until the next plan.
const MAX_OUTSTANDING: usize = 3 * 10 + 5;
const MAX_MACHINES_PER_REQUEST: u32 = 50;

fn assert_scale_outs_bounded(simulation: &Simulation, leader: usize) {
    let (requests, machines) = outstanding_scale_outs(simulation, leader);
    assert!(requests <= MAX_OUTSTANDING, "{requests} requests");
    let max_machines = MAX_OUTSTANDING as u32 * MAX_MACHINES_PER_REQUEST;
    assert!(machines <= max_machines, "{machines} machines requested");
}

/// Guards against a leader that runs out of memory or processor time as it plans, requests and forecasts a machine for
/// each of several hundred thousand tasks (review/9): by the autoscaler and by bids, for few huge jobs and for many
/// smaller ones. A job for another type of machine gets its machine meanwhile.
#[test]
fn scale_out_bounded_for_hundred_thousands_of_tasks() {
    for policy in ["bidding = false", "bidding = true"] {
        for (jobs, tasks) in [(3, 100_000), (150, 2_000)] {
            let policy = Policy::parse("huge", policy).unwrap();
            let mut simulation = Simulation::with_policy(71, policy);
            let leader = simulation.run_until_leader(3.0);
            for n in 0..jobs {
                let id = format!("wk-{n:06}");
                simulation.submit_until_accepted(leader, &job_for_small_machines(&id, tasks), 0.1);
                assert_scale_outs_bounded(&simulation, leader);
            }
            let mut other = unlimited_job("wk-900000", 1, 8.0, 5);
            other.machine_types = Some(vec!["large".into()]);
            assert_eq!(simulation.submit(leader, &other), 201);
            for _ in 0..10 {
                simulation.run(1.0);
                assert_scale_outs_bounded(&simulation, leader);
            }
            simulation.run_until_done("wk-900000", 60.0);
            simulation.run_until(120.0, "a task of the first job", |simulation| {
                simulation.any_task_completed("wk-000000")
            });
        }
    }
}

/// Guards against requests for machines that are sent although the jobs that needed them were cancelled: they waited
/// for the cloud's rate limit.
#[test]
fn unsent_scale_outs_end_with_their_demand() {
    let mut simulation = Simulation::new(72);
    let leader = simulation.run_until_leader(3.0);
    simulation.capacity.insert(("small".into(), false), 100_000);
    simulation.faults.cloud_down = true;
    assert_eq!(
        simulation.submit(leader, &job_for_small_machines("wk-000001", 50_000)),
        201
    );
    simulation.run_until(60.0, "machines requested", |simulation| {
        outstanding_scale_outs(simulation, leader).0 > 0
    });
    assert_eq!(
        simulation.cancel(leader, "wk-000001").1,
        Some(JobState::Cancelled)
    );
    simulation.run(2.0);
    simulation.faults.cloud_down = false;
    simulation.run(10.0);
    // Only requests that were sent are repeated, as the cloud may have carried them out.
    let provisioned = simulation.counters.provisioned.1;
    let max_machines = MAX_OUTSTANDING as u32 * MAX_MACHINES_PER_REQUEST;
    assert!(provisioned <= max_machines, "{provisioned} machines");
    assert_eq!(outstanding_scale_outs(&simulation, leader).0, 0);
}

/// Guards against a leader that runs out of memory as the cloud has as many machines as there are tasks. A job for
/// another type of machine gets its machine meanwhile.
#[test]
fn machines_bounded_by_memory() {
    let mut simulation = Simulation::new(73);
    let leader = simulation.run_until_leader(3.0);
    simulation.capacity.insert(("small".into(), false), 100_000);
    for node in &mut simulation.nodes {
        let settings = Settings::clone(&node.core.settings);
        let memory_mb = 2.0;
        node.core.settings = Arc::new(Settings {
            memory_mb,
            ..settings
        });
    }
    assert_eq!(
        simulation.submit(leader, &job_for_small_machines("wk-000001", 10_000)),
        201
    );
    simulation.run(45.0);
    // 2 MB hold 85 machines. The first request of an offer may exceed that by 49, and there are four offers.
    let machines = simulation.workers.len();
    assert!(
        (50..=85 + 4 * 49).contains(&machines),
        "{machines} machines"
    );
    let mut other = unlimited_job("wk-900000", 1, 8.0, 5);
    other.machine_types = Some(vec!["large".into()]);
    assert_eq!(simulation.submit(leader, &other), 201);
    simulation.run_until_done("wk-900000", 60.0);
}
