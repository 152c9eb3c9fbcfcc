//! Stories of bidding: zones that drain, rentals without an answer, leaders that die between an
//! award and what it was for, and ties. The world checks at every tick that no task is in two
//! places.

use crate::core::simulation::World;
use crate::job::{JobSpec, Rank, sample};
use crate::policy::Policy;
use std::time::Duration;

/// Three controllers that bid, with a leader; nothing is rented yet.
pub fn bidding_cluster(seed: u64, entries: &str) -> (World, usize) {
    let text = format!("bidding = true\nworth = 10\n{entries}");
    let mut w = World::with_policy(seed, Policy::with("story", &text).unwrap());
    w.until(10.0, "a leader", |w| w.leader().is_some());
    w.run(4.0);
    let leader = w.leader().unwrap();
    (w, leader)
}

fn urgent(id: &str, tasks: u32) -> JobSpec {
    let mut spec = sample(id, tasks, 4.0, 8);
    spec.class = "urgent".into();
    spec.rank = Rank::High;
    spec.spot = true;
    spec
}

#[test]
fn work_that_would_miss_its_aim_pays_for_dear_machines_and_other_work_waits() {
    let (mut w, leader) = bidding_cluster(301, "haste = 0");
    w.submit(leader, &urgent("wk-1", 6));
    w.run(3.0);
    let rented = w.rented;
    assert!(rented.0 == 2 && rented.1 >= 3, "{rented:?}");
    w.until_done("wk-1", 40.0);
    // Nothing depends on when this starts, and room comes: it waits for it.
    let mut idle = sample("wk-2", 6, 4.0, 8);
    idle.rank = Rank::Low;
    w.submit(leader, &idle);
    w.run(20.0);
    assert_eq!(w.rented.1, rented.1);
}

/// A job without aims, and with no machine at all, was not worth one and waited for ever.
#[test]
fn work_for_which_no_room_is_in_sight_is_rented_for_whatever_it_is_worth() {
    let (mut w, leader) = bidding_cluster(308, "haste = 0");
    w.submit(leader, &sample("wk-1", 5, 2.0, 5));
    w.until_done("wk-1", 60.0);
}

/// Work whose patience is the same for spot machines as for others had to bid for them, and went
/// without where nothing that it could still meet was at stake.
#[test]
fn spot_machines_are_had_by_patience_whatever_the_patience_for_others() {
    let (mut w, leader) = bidding_cluster(307, "haste = 0\npatience = 5\nspot_patience = 5");
    let mut plain = sample("wk-1", 2, 4.0, 8);
    plain.spot = true;
    w.submit(leader, &plain);
    w.run(3.0);
    assert_eq!(w.rented, (2, 0));
    w.until_done("wk-1", 40.0);
}

/// A zone's machines are taken and its markets refuse while jobs bid for them.
#[test]
fn a_zone_that_drains_while_bids_are_open_voids_its_awards_and_all_bid_anew() {
    let (mut w, leader) = bidding_cluster(302, "");
    w.submit(leader, &urgent("wk-1", 4));
    w.run(1.0);
    w.drained.insert("a".into());
    w.submit(leader, &urgent("wk-2", 4));
    w.run(2.5);
    let lost = |w: &World| {
        let there = w.workers.iter().filter(|(_, m)| m.zone == "a");
        there.map(|(id, _)| id.clone()).collect::<Vec<_>>()
    };
    for id in lost(&w) {
        let m = w.workers.remove(&id).unwrap();
        *w.capacity.entry((m.kind, m.spot)).or_default() += 1;
    }
    w.until_done("wk-1", 60.0);
    w.until_done("wk-2", 60.0);
    assert!(lost(&w).is_empty());
}

/// The cloud carries a rental out and its answer is lost, twice over, and then the leader dies:
/// what was rented is used or returned, and nothing is rented for it again by the same name.
#[test]
fn rentals_without_an_answer_are_asked_for_by_the_same_name_and_found_by_the_next_leader() {
    let (mut w, leader) = bidding_cluster(303, "");
    w.rentals_unheard = true;
    w.submit(leader, &urgent("wk-1", 6));
    w.run(5.0);
    let unheard = w.rented;
    assert!(
        unheard.0 + unheard.1 >= 6 && w.workers.len() <= 8,
        "{unheard:?}"
    );
    w.kill(leader, Duration::from_secs(60));
    w.rentals_unheard = false;
    w.until_done("wk-1", 60.0);
    // Six tasks need six small machines at most, and the awards of one leader were not given again.
    assert!(w.rented.0 + w.rented.1 <= unheard.0 + unheard.1 + 2);
    w.until(200.0, "all machines returned", |w| w.workers.is_empty());
}

#[test]
fn awards_stand_while_the_cloud_is_down_and_are_carried_out_once() {
    let (mut w, leader) = bidding_cluster(304, "");
    w.cloud_down = true;
    w.submit(leader, &urgent("wk-1", 4));
    w.run(12.0);
    assert_eq!(w.rented, (0, 0));
    w.cloud_down = false;
    w.until_done("wk-1", 40.0);
    assert!(w.rented.0 + w.rented.1 <= 5, "{:?}", w.rented);
}

/// Two jobs alike in everything but their names, for which there is room for one at a time.
#[test]
fn two_bids_that_tie_exactly_each_get_one_final_placement_through_a_takeover() {
    for kill_after in [0.3, 1.2, 3.0, 6.0] {
        let (mut w, leader) = bidding_cluster(305, "");
        w.capacity.retain(|(_, spot), _| *spot);
        w.submit(leader, &urgent("wk-1", 2));
        w.submit(leader, &urgent("wk-2", 2));
        w.run(kill_after);
        w.kill(leader, Duration::from_secs(5));
        w.until_done("wk-1", 80.0);
        w.until_done("wk-2", 80.0);
        assert_eq!(w.starts, 4, "killed after {kill_after} s");
    }
}
