//! Renting and returning machines.

use super::four_machines;
use crate::core::simulation::World;
use crate::job::{Rank, sample};
use std::time::Duration;

#[test]
fn machines_are_rented_for_what_waits_and_returned_when_idle() {
    let mut w = World::new(19);
    w.run(3.0);
    assert_eq!(w.submit(0, &sample("wk-1", 6, 4.0, 20)), 201);
    // Patience is 30 s for work without goals.
    w.until_done("wk-1", 120.0);
    assert!(w.workers.len() >= 6);
    assert!(w.workers.values().all(|m| !m.spot));
    w.until(120.0, "all machines returned", |w| w.workers.is_empty());
}

/// Guests' work on idle time had ordinary machines rented for it at a multiple of the price, and
/// kept those that were there from being returned.
#[test]
fn work_on_idle_time_takes_cheap_machines_or_waits() {
    let mut w = World::new(26);
    w.run(3.0);
    let mut idle = sample("wk-1", 6, 4.0, 20);
    idle.rank = Rank::Low;
    idle.spot = true;
    assert_eq!(w.submit(0, &idle), 201);
    let mut usual = sample("wk-2", 1, 4.0, 90);
    usual.rank = Rank::Normal;
    assert_eq!(w.submit(0, &usual), 201);
    // Three batches one after the other on the two spot machines that there are.
    w.until_done("wk-1", 150.0);
    assert_eq!(w.rented, (2, 1));
    w.until_done("wk-2", 150.0);
}

/// Spot machines stood unrented beside a thousand waiting tasks, as the queue would be through
/// within the time after which ordinary ones are worth their price.
#[test]
fn a_wait_that_is_not_worth_an_ordinary_machine_may_be_worth_a_spot_one() {
    for (spot, rented) in [(true, (1, 0)), (false, (0, 0))] {
        let (mut w, leader) = four_machines(51);
        w.submit(leader, &sample("wk-1", 16, 1.0, 30));
        w.run(1.5);
        // Room comes in 28 s; it may wait for 37 s, and 25 s where a spot machine is to be had.
        let mut next = sample("wk-2", 4, 1.0, 10);
        next.deadline = Some(Duration::from_secs(60));
        next.spot = spot;
        w.submit(leader, &next);
        w.run(4.0);
        assert_eq!(w.rented, rented);
        w.until_done("wk-2", 60.0);
    }
}

/// While a zone was cut off, the ends of its tasks counted as room to come: nothing was rented in
/// the others until the cut was over.
#[test]
fn what_ends_in_a_zone_that_is_cut_off_makes_no_room_and_others_are_rented_meanwhile() {
    for (cut, rented) in [(false, 0), (true, 2)] {
        let (mut w, leader) = four_machines(61);
        w.submit(leader, &sample("wk-1", 16, 1.0, 9));
        w.run(1.5);
        if cut {
            let there = w.workers.values_mut().filter(|m| m.zone == "a");
            there.for_each(|m| m.cut.extend(0..3));
        }
        w.run(3.0);
        // With four machines all start in a few seconds; with two, two would wait for 40 s more.
        let mut next = sample("wk-2", 4, 4.0, 40);
        next.team = "u".into();
        w.submit(leader, &next);
        w.run(3.0);
        assert_eq!(w.rented.1, rented);
        w.workers.values_mut().for_each(|m| m.cut.clear());
        w.until_done("wk-2", 120.0);
    }
}

/// Found on the first grown rough day: calls to the cloud queued for its rate limit until they
/// were too late to be sent, and were asked again at once, for ever.
#[test]
fn calls_to_the_cloud_stay_within_its_limit_through_an_outage() {
    let (mut w, leader) = four_machines(27);
    w.capacity.insert(("small".into(), false), 400);
    w.cloud_down = true;
    for n in 1..8 {
        let mut spec = sample(&format!("wk-{n}"), 200, 4.0, 30);
        spec.team = "u".into();
        w.submit(leader, &spec);
    }
    w.run(10.0);
    let before = w.cloud_calls;
    w.run(10.0);
    // The limit in these stories is 10 calls a second, with bursts of one second's worth.
    assert!(w.cloud_calls - before <= 110, "{}", w.cloud_calls - before);
    w.cloud_down = false;
    w.until(15.0, "renting goes on", |w| w.workers.len() > 100);
}
