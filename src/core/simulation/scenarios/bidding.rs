//! Bidding: drained zones, scale-out requests without a response, leaders that crash between an award
//! and its use, and ties. The simulation checks at every tick that no task runs on two machines.

use crate::core::simulation::Simulation;
use crate::job::{JobSpec, Priority, sample};
use crate::policy::Policy;
use std::time::Duration;

/// Returns a cluster of three controllers with bidding enabled, without machines, and its leader.
pub fn bidding_cluster(seed: u64, entries: &str) -> (Simulation, usize) {
    let text = format!("bidding = true\nworth = 10\n{entries}");
    let mut simulation = Simulation::with_policy(seed, Policy::parse("bidding", &text).unwrap());
    let leader = simulation.run_until_leader(4.0);
    (simulation, leader)
}

fn urgent_spot_job(id: &str, tasks: u32) -> JobSpec {
    let mut spec = sample(id, tasks, 4.0, 8);
    spec.class = "urgent".into();
    spec.priority = Priority::High;
    spec.spot = true;
    spec
}

#[test]
fn urgent_jobs_bid_higher_and_low_priority_jobs_wait() {
    let (mut simulation, leader) = bidding_cluster(301, "haste = 0");
    simulation.submit(leader, &urgent_spot_job("wk-1", 6));
    simulation.run(3.0);
    let provisioned = simulation.counters.provisioned;
    assert!(provisioned.0 == 2 && provisioned.1 >= 3, "{provisioned:?}");
    simulation.run_until_done("wk-1", 40.0);
    // A job of low priority gains nothing by an early start, and capacity becomes free: it waits.
    let mut low = sample("wk-2", 6, 4.0, 8);
    low.priority = Priority::Low;
    simulation.submit(leader, &low);
    simulation.run(20.0);
    assert_eq!(simulation.counters.provisioned.1, provisioned.1);
}

/// Guards against a job without objectives that waits for ever in a cluster without machines, because
/// it is not considered worth a machine.
#[test]
fn machines_provisioned_when_no_capacity_expected() {
    let (mut simulation, leader) = bidding_cluster(308, "haste = 0");
    simulation.submit(leader, &sample("wk-1", 5, 2.0, 5));
    simulation.run_until_done("wk-1", 60.0);
}

/// Guards against a job that has to bid for spot machines because its `spot_patience` equals its
/// `patience`, and gets none if no objective that it can still meet is at risk.
#[test]
fn spot_machines_provisioned_by_patience_alone() {
    let (mut simulation, leader) =
        bidding_cluster(307, "haste = 0\npatience = 5\nspot_patience = 5");
    let mut plain = sample("wk-1", 2, 4.0, 8);
    plain.spot = true;
    simulation.submit(leader, &plain);
    simulation.run(3.0);
    assert_eq!(simulation.counters.provisioned, (2, 0));
    simulation.run_until_done("wk-1", 40.0);
}

/// A zone loses all of its machines and has no capacity for new ones while jobs bid for it.
#[test]
fn drained_zone_voids_awards_and_bids_repeat() {
    let (mut simulation, leader) = bidding_cluster(302, "");
    simulation.submit(leader, &urgent_spot_job("wk-1", 4));
    simulation.run(1.0);
    simulation.faults.zones_without_capacity.insert("a".into());
    simulation.submit(leader, &urgent_spot_job("wk-2", 4));
    simulation.run(2.5);
    let machines_in_zone_a = |simulation: &Simulation| {
        let workers = simulation.workers.iter().filter(|(_, m)| m.zone == "a");
        workers.map(|(id, _)| id.clone()).collect::<Vec<_>>()
    };
    for id in machines_in_zone_a(&simulation) {
        let m = simulation.workers.remove(&id).unwrap();
        *simulation
            .capacity
            .entry((m.machine_type, m.spot))
            .or_default() += 1;
    }
    simulation.run_until_done("wk-1", 60.0);
    simulation.run_until_done("wk-2", 60.0);
    assert!(machines_in_zone_a(&simulation).is_empty());
}

/// The cloud executes scale-outs, the responses are lost repeatedly, and then the leader crashes: the
/// provisioned machines are used or deleted, and the next leader does not provision them again.
#[test]
fn unanswered_scale_out_found_by_next_leader() {
    let (mut simulation, leader) = bidding_cluster(303, "");
    simulation.faults.scale_out_responses_lost = true;
    simulation.submit(leader, &urgent_spot_job("wk-1", 6));
    simulation.run(5.0);
    let provisioned_before = simulation.counters.provisioned;
    assert!(
        provisioned_before.0 + provisioned_before.1 >= 6 && simulation.workers.len() <= 8,
        "{provisioned_before:?}"
    );
    simulation.kill(leader, Duration::from_secs(60));
    simulation.faults.scale_out_responses_lost = false;
    simulation.run_until_done("wk-1", 60.0);
    // Six tasks need at most six small machines; the next leader does not repeat the old leader's awards.
    assert!(
        simulation.counters.provisioned.0 + simulation.counters.provisioned.1
            <= provisioned_before.0 + provisioned_before.1 + 2
    );
    simulation.run_until(200.0, "all machines deleted", |simulation| {
        simulation.workers.is_empty()
    });
}

#[test]
fn awards_survive_cloud_outage_and_run_once() {
    let (mut simulation, leader) = bidding_cluster(304, "");
    simulation.faults.cloud_down = true;
    simulation.submit(leader, &urgent_spot_job("wk-1", 4));
    simulation.run(12.0);
    assert_eq!(simulation.counters.provisioned, (0, 0));
    simulation.faults.cloud_down = false;
    simulation.run_until_done("wk-1", 40.0);
    assert!(
        simulation.counters.provisioned.0 + simulation.counters.provisioned.1 <= 5,
        "{:?}",
        simulation.counters.provisioned
    );
}

/// Two jobs that differ only in their ids compete for spot capacity that suffices for one at a time.
#[test]
fn tied_bids_placed_once_through_takeover() {
    for kill_after in [0.3, 1.2, 3.0, 6.0] {
        let (mut simulation, leader) = bidding_cluster(305, "");
        simulation.capacity.retain(|(_, spot), _| *spot);
        simulation.submit(leader, &urgent_spot_job("wk-1", 2));
        simulation.submit(leader, &urgent_spot_job("wk-2", 2));
        simulation.run(kill_after);
        simulation.kill(leader, Duration::from_secs(5));
        simulation.run_until_done("wk-1", 80.0);
        simulation.run_until_done("wk-2", 80.0);
        assert_eq!(simulation.counters.starts, 4, "killed after {kill_after} s");
    }
}
