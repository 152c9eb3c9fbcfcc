//! Outages of the state service, for one controller or for all.

use super::{follower, four_machines, thousand_machines};
use crate::core::simulation::Link;
use crate::job::sample;
use crate::wire::JobState;

#[test]
fn store_outage_defers_responses_and_loses_no_work() {
    let (mut simulation, leader) = four_machines(12);
    simulation.submit(leader, &sample("wk-1", 4, 2.0, 4));
    simulation.run(1.0);
    simulation.set_store_links(Link::Refused);
    simulation.run(2.0);
    assert_eq!(simulation.submit(leader, &sample("wk-2", 1, 2.0, 4)), 503);
    // The outage is shorter than the workers' leases, so no finished work is lost.
    simulation.run(4.0);
    for node in 0..3 {
        assert_eq!(simulation.show(node, "wk-1").0, 503);
        assert_eq!(simulation.show(node, "wk-999").0, 503);
    }
    simulation.set_store_links(Link::Good);
    simulation.run_until_done("wk-1", 20.0);
    assert_eq!(simulation.counters.starts, 4);
}

#[test]
fn refused_node_forwards_and_refused_leader_replaced() {
    let (mut simulation, leader) = four_machines(13);
    let other = follower(leader);
    simulation.nodes[other].store_link = Link::Refused;
    assert_eq!(simulation.submit(other, &sample("wk-1", 2, 2.0, 3)), 201);
    simulation.run_until_done("wk-1", 20.0);
    assert_eq!(simulation.show(other, "wk-1").1, Some(JobState::Done));
    simulation.nodes[other].store_link = Link::Good;

    simulation.nodes[leader].store_link = Link::Refused;
    simulation.run_until_other_leader(leader, 8.0);
    assert_eq!(simulation.submit(other, &sample("wk-2", 2, 2.0, 3)), 201);
    simulation.run_until_done("wk-2", 20.0);
}

/// Guards against a leader that stepped down right after an outage of the state service although its lease was still
/// valid: it had received no heartbeats while it could answer none. The next leader then had to probe every machine.
#[test]
fn leader_keeps_leading_after_store_outage() {
    let (mut simulation, leader) = thousand_machines(50, "small");
    simulation.run(6.0);
    simulation.set_store_links(Link::Refused);
    simulation.pause_leases(true);
    simulation.run(6.0);
    assert_eq!(simulation.leader(), None);
    simulation.set_store_links(Link::Good);
    simulation.pause_leases(false);
    simulation.run_until(2.0, "the same leader", |simulation| {
        simulation.leader() == Some(leader)
    });
    for _ in 0..100 {
        simulation.run(0.1);
        assert_eq!(simulation.leader(), Some(leader));
    }
    assert_eq!(simulation.workers.len(), 1000);
    simulation.submit(leader, &sample("wk-1", 4, 2.0, 3));
    simulation.run_until_done("wk-1", 6.0);
}
