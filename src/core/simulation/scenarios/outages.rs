//! Outages of the state service, for one controller or for all.

use super::{follower, four_machines, thousand_machines};
use crate::core::simulation::Link;
use crate::job::sample;
use crate::wire::JobState;

#[test]
fn nothing_is_said_or_done_wrongly_while_the_state_service_is_down() {
    let (mut w, leader) = four_machines(12);
    w.submit(leader, &sample("wk-1", 4, 2.0, 4));
    w.run(1.0);
    for n in &mut w.nodes {
        n.state = Link::Refused;
    }
    w.run(2.0);
    assert_eq!(w.submit(leader, &sample("wk-2", 1, 2.0, 4)), 503);
    // Shorter than the workers' leases, so that no finished work is lost.
    w.run(4.0);
    for node in 0..3 {
        assert_eq!(w.show(node, "wk-1").0, 503);
        assert_eq!(w.show(node, "wk-999").0, 503);
    }
    for n in &mut w.nodes {
        n.state = Link::Good;
    }
    w.until_done("wk-1", 20.0);
    assert_eq!(w.starts, 4);
}

#[test]
fn a_node_refused_alone_serves_through_the_leader_and_a_refused_leader_is_replaced() {
    let (mut w, leader) = four_machines(13);
    let other = follower(leader);
    w.nodes[other].state = Link::Refused;
    assert_eq!(w.submit(other, &sample("wk-1", 2, 2.0, 3)), 201);
    w.until_done("wk-1", 20.0);
    assert_eq!(w.show(other, "wk-1").1, Some(JobState::Done));
    w.nodes[other].state = Link::Good;

    w.nodes[leader].state = Link::Refused;
    w.until(8.0, "another leader", |w| {
        w.leader().is_some_and(|l| l != leader)
    });
    assert_eq!(w.submit(other, &sample("wk-2", 2, 2.0, 3)), 201);
    w.until_done("wk-2", 20.0);
}

/// After an outage of the state service the leader has its lease still; it resigned at once, for it
/// had heard no worker while it could answer none, and the next one had to ask every machine.
#[test]
fn a_leader_leads_on_after_an_outage_of_the_state_service() {
    let (mut w, leader) = thousand_machines(50, "small");
    w.run(6.0);
    w.nodes.iter_mut().for_each(|n| n.state = Link::Refused);
    w.pause_leases(true);
    w.run(6.0);
    assert_eq!(w.leader(), None);
    w.nodes.iter_mut().for_each(|n| n.state = Link::Good);
    w.pause_leases(false);
    w.until(2.0, "the same leader", |w| w.leader() == Some(leader));
    for _ in 0..100 {
        w.run(0.1);
        assert_eq!(w.leader(), Some(leader));
    }
    assert_eq!(w.workers.len(), 1000);
    w.submit(leader, &sample("wk-1", 4, 2.0, 3));
    w.until_done("wk-1", 6.0);
}
