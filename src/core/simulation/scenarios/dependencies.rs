//! Jobs that depend on others.

use super::{follower, four_machines};
use crate::core::Ask;
use crate::core::simulation::{Link, World};
use crate::job::{JobSpec, Kind, Rank, sample};
use crate::wire::JobState;
use std::time::Duration;

/// The next link of a chain, or the end of a diamond.
fn after(id: &str, awaits: &[&str], tasks: u32, seconds: u64) -> JobSpec {
    let mut spec = sample(id, tasks, 1.0, seconds);
    spec.awaits = awaits.iter().map(|a| (*a).into()).collect();
    spec
}

#[test]
fn a_pipeline_runs_in_its_order_through_any_node_and_a_takeover() {
    let (mut w, leader) = four_machines(40);
    // `World` checks at every start that all that is awaited is done.
    assert_eq!(w.submit(follower(leader), &after("wk-9", &[], 6, 4)), 201);
    assert_eq!(w.submit(leader, &after("wk-8", &["wk-9"], 3, 6)), 201);
    assert_eq!(
        w.submit(follower(leader), &after("wk-7", &["wk-9"], 3, 3)),
        201
    );
    assert_eq!(
        w.submit(leader, &after("wk-1", &["wk-7", "wk-8"], 2, 2)),
        201
    );
    w.until_done("wk-9", 20.0);
    w.kill(leader, Duration::from_secs(3));
    w.run(1.0);
    for node in [follower(leader), follower(leader + 1)] {
        assert_eq!(w.show(node, "wk-1").1, Some(JobState::Queued));
    }
    w.until_done("wk-1", 40.0);
    // What names jobs that are over long since starts at once.
    let leader = w.leader().unwrap();
    assert_eq!(
        w.submit(leader, &after("wk-2", &["wk-1", "wk-9"], 1, 2)),
        201
    );
    w.until_done("wk-2", 6.0);
}

/// Node by node and without a leader: the same answers to submissions that name other jobs.
#[test]
fn a_submission_that_awaits_what_cannot_be_is_refused_by_every_node_alike() {
    let (mut w, leader) = four_machines(41);
    let mut service = sample("wk-50", 1, 1.0, 0);
    service.kind = Kind::Service;
    assert_eq!(w.submit(leader, &service), 201);
    assert_eq!(w.submit(leader, &sample("wk-51", 1, 1.0, 2)), 201);
    w.until_done("wk-51", 10.0);
    let mut n = 100;
    for alone in [false, true] {
        w.nodes.iter_mut().for_each(|n| n.peers = !alone);
        for node in 0..3 {
            n += 1;
            let id = format!("wk-{n}");
            assert_eq!(w.submit(node, &after(&id, &["wk-777"], 1, 1)), 422);
            assert_eq!(w.submit(node, &after(&id, &[&id], 1, 1)), 422);
            assert_eq!(w.submit(node, &after(&id, &["wk-50"], 1, 1)), 422);
            // Accepted a moment ago by another node, which this one has not heard of.
            let other = format!("wk-{}", n + 50);
            assert_eq!(w.submit((node + 1) % 3, &sample(&other, 1, 1.0, 1)), 201);
            assert_eq!(w.submit(node, &after(&id, &["wk-51", &other], 1, 1)), 201);
            // A repetition gets the job's state, whatever it names.
            assert_eq!(w.submit(node, &after(&id, &["wk-777"], 1, 1)), 200);
        }
    }
    // What cannot be decided is put off at once.
    w.nodes.iter_mut().for_each(|n| n.state = Link::Refused);
    assert_eq!(w.submit(0, &after("wk-300", &["wk-777"], 1, 1)), 503);
}

/// A cancellation reaches all that needs the job, for every node and every later one, from the one
/// write of its end on.
#[test]
fn a_cancellation_reaches_everything_downstream_with_one_write() {
    for who in ["wk-1", "wk-2"] {
        let (mut w, leader) = four_machines(42);
        w.submit(leader, &after("wk-1", &[], 4, 30));
        w.submit(leader, &after("wk-2", &["wk-1"], 1, 5));
        w.submit(leader, &after("wk-3", &["wk-1"], 1, 5));
        w.submit(leader, &after("wk-4", &["wk-2", "wk-3"], 1, 5));
        for n in 5..60 {
            w.submit(
                leader,
                &after(&format!("wk-{n}"), &[&format!("wk-{}", n - 1)], 1, 5),
            );
        }
        let changes = w.changes();
        assert_eq!(w.cancel(follower(leader), who).1, Some(JobState::Cancelled));
        // The leader dies with hardly any of the other ends written.
        w.kill(leader, Duration::from_secs(30));
        assert!(w.changes() - changes < 40);
        w.until(10.0, "another leader", |w| w.leader().is_some());
        for n in [2, 4, 33, 59] {
            for node in [follower(leader), follower(leader + 1)] {
                let id = format!("wk-{n}");
                assert_eq!(w.show(node, &id), (200, Some(JobState::Cancelled)));
                assert_eq!(w.submit(node, &after(&id, &["wk-1"], 1, 5)), 200);
                assert_eq!(w.cancel(node, &id).1, Some(JobState::Cancelled));
            }
        }
        // What names a cancelled job later is accepted all the same, and cancelled.
        let new = w.leader().unwrap();
        assert_eq!(w.submit(new, &after("wk-99", &["wk-59"], 1, 5)), 201);
        assert_eq!(w.show(new, "wk-99").1, Some(JobState::Cancelled));
        if who == "wk-2" {
            // Its sister and what both need go on.
            w.until_done("wk-3", 60.0);
        }
        w.run(10.0);
        assert_eq!(w.show(new, "wk-4").1, Some(JobState::Cancelled));
        let live = w.stored("burlusher/j/");
        let over = live.values().filter(|v| v.get("end").is_some()).count();
        assert_eq!(over, 60, "their own ends are written as well");
    }
}

/// While a cancellation is being written, nobody says of what needs the job that it still waits:
/// another node may have read the end and told its user.
#[test]
fn what_needs_a_job_whose_cancellation_is_in_doubt_is_never_called_alive_after_all() {
    let (mut w, leader) = four_machines(43);
    w.submit(leader, &after("wk-1", &[], 4, 60));
    w.submit(leader, &after("wk-2", &["wk-1"], 1, 5));
    w.submit(leader, &after("wk-3", &["wk-2"], 1, 5));
    w.run(2.0);
    // The end is committed, but the leader does not learn so.
    w.nodes[leader].state = Link::AnswersLost;
    w.start_to_cancel(leader, "wk-1");
    w.run(0.2);
    w.nodes.iter_mut().for_each(|n| n.peers = false);
    let other = follower(leader);
    assert_eq!(w.show(other, "wk-3").1, Some(JobState::Cancelled));
    assert!(w.nodes[leader].core.leads());
    // `World` would notice if the leader said otherwise from memory.
    w.show(leader, "wk-3");
    w.nodes[leader].state = Link::Refused;
    w.show(leader, "wk-3");
}

/// The same of a job that another node accepts while the cancellation is on its way.
#[test]
fn what_is_accepted_during_a_cancellation_in_doubt_is_in_doubt_as_well() {
    let (mut w, leader) = four_machines(49);
    let other = follower(leader);
    w.submit(leader, &after("wk-1", &[], 4, 60));
    w.submit(leader, &after("wk-2", &["wk-1"], 1, 5));
    w.nodes[leader].state = Link::WritesHeld;
    w.start_to_cancel(leader, "wk-1");
    w.run(0.2);
    w.nodes.iter_mut().for_each(|n| n.peers = false);
    assert_eq!(w.submit(other, &after("wk-3", &["wk-2"], 1, 5)), 201);
    w.run(0.2);
    // The end is written now, and the leader is the last to hear of it.
    w.nodes[leader].lags = true;
    w.release();
    w.run(0.1);
    assert_eq!(w.show(other, "wk-3").1, Some(JobState::Cancelled));
    assert!(w.nodes[leader].core.leads());
    w.show(leader, "wk-3");
}

/// A node whose copy of the state lags must neither call a job alive that another one has called
/// cancelled, nor refuse what names a job that another one has just accepted.
#[test]
fn a_node_that_lags_behind_says_nothing_older_and_refuses_nothing_for_it() {
    let (mut w, leader) = four_machines(47);
    let (other, late) = (follower(leader), follower(leader + 1));
    w.submit(leader, &after("wk-1", &[], 4, 60));
    w.submit(leader, &after("wk-2", &["wk-1"], 1, 5));
    w.run(1.0);
    w.nodes[late].lags = true;
    // Committed, and nothing more is written: the leader does not learn so.
    w.nodes[leader].state = Link::AnswersLost;
    w.start_to_cancel(leader, "wk-1");
    w.run(0.2);
    w.nodes.iter_mut().for_each(|n| n.peers = false);
    assert_eq!(w.submit(other, &after("wk-5", &[], 1, 60)), 201);
    assert_eq!(w.show(other, "wk-2").1, Some(JobState::Cancelled));
    // It cannot know, and says so at once, or when it has caught up.
    assert_eq!(w.show(late, "wk-2").0, 503);
    assert_eq!(w.submit(late, &after("wk-6", &["wk-5"], 1, 5)), 503);
    w.nodes[late].lags = false;
    assert_eq!(w.show(late, "wk-2").1, Some(JobState::Cancelled));
    assert_eq!(w.submit(late, &after("wk-6", &["wk-5"], 1, 5)), 201);
}

/// Accepted by another node in the very moment of the cancellation, or of the named job's end.
#[test]
fn a_job_accepted_while_what_it_awaits_ends_follows_that_end() {
    for delay in 0..8 {
        let (mut w, leader) = four_machines(44);
        w.submit(leader, &after("wk-1", &[], 2, 3));
        w.submit(leader, &after("wk-2", &[], 2, 60));
        w.run(1.0);
        w.nodes.iter_mut().for_each(|n| n.peers = delay % 2 == 0);
        let other = follower(leader);
        for (id, awaits) in [("wk-3", ["wk-1"]), ("wk-4", ["wk-2"])] {
            let spec = after(id, &awaits, 1, 2);
            w.knows(&spec);
            w.ask(other, Ask::Submit(Box::new(spec)));
        }
        for _ in 0..delay {
            w.tick();
        }
        assert_eq!(w.cancel(leader, "wk-2").1, Some(JobState::Cancelled));
        w.nodes.iter_mut().for_each(|n| n.peers = true);
        w.run(2.0);
        for node in 0..3 {
            assert_eq!(w.show(node, "wk-4").1, Some(JobState::Cancelled));
        }
        // A cancellation that comes too late is answered with `done`, and the job after it goes on.
        let end = w.now + Duration::from_secs(20);
        while w.show(other, "wk-1").1 != Some(JobState::Done) && w.now < end {
            w.tick();
        }
        assert_eq!(w.cancel(leader, "wk-1").1, Some(JobState::Done));
        w.until_done("wk-3", 20.0);
    }
}

/// A waiting job is no part of its team's limit or guarantee, keeps no room, has nothing rented
/// for it and stops nobody.
#[test]
fn what_waits_for_others_holds_nothing() {
    let (mut w, leader) = four_machines(45);
    w.submit(leader, &after("wk-1", &[], 1, 60));
    // More than everything there is, and first in rank.
    let mut high = after("wk-2", &["wk-1"], 12, 20);
    high.rank = Rank::Production;
    high.needs.cpus = 4.0;
    w.submit(leader, &high);
    let mut low = sample("wk-3", 15, 1.0, 30);
    low.rank = Rank::Low;
    w.submit(leader, &low);
    w.run(2.0);
    assert_eq!(w.places("wk-3").len(), 15);
    w.run(20.0);
    assert_eq!((w.places("wk-3").len(), w.rented), (15, (0, 0)));
    // Team u has 8 CPUs guaranteed: a waiting job that fills them leaves them to the next.
    let mut waits = after("wk-4", &["wk-1"], 8, 20);
    let mut next = sample("wk-5", 8, 1.0, 20);
    (waits.team, next.team) = ("u".into(), "u".into());
    w.submit(leader, &waits);
    let mut others = sample("wk-6", 15, 1.0, 20);
    others.rank = Rank::High;
    w.submit(leader, &others);
    w.submit(leader, &next);
    w.until(12.0, "the guarantee is met first", |w| {
        w.places("wk-5").len() == 8
    });
}

/// A first step counts as the last one does, from when that is known until it is withdrawn.
#[test]
fn rank_and_deadline_flow_back_through_all_levels_and_go_again() {
    let (mut w, leader) = four_machines(46);
    w.capacity.clear();
    w.submit(leader, &sample("wk-9", 16, 1.0, 30));
    w.run(2.0);
    let mut first = after("wk-1", &[], 1, 2);
    first.rank = Rank::Low;
    w.submit(leader, &first);
    w.submit(leader, &after("wk-2", &["wk-1"], 1, 2));
    w.submit(leader, &sample("wk-8", 16, 1.0, 30));
    let urgency = |w: &World, id: &str| {
        let core = &w.nodes[leader].core;
        let (id, lead) = (id.into(), core.lead.as_ref().unwrap());
        lead.urgency_of(&id, &core.mirror.jobs[&id])
    };
    assert_eq!(urgency(&w, "wk-1").rank, Rank::Normal);
    assert_eq!(urgency(&w, "wk-1").due, None);
    let mut last = after("wk-3", &["wk-2"], 1, 2);
    last.rank = Rank::High;
    last.deadline = Some(Duration::from_secs(100));
    w.submit(leader, &last);
    let (one, three) = (urgency(&w, "wk-1"), urgency(&w, "wk-3"));
    assert_eq!(one.rank, Rank::High);
    let before = three.due.unwrap().duration_since(one.due.unwrap()).unwrap();
    // Two stages later: their estimates, and something for what lies between.
    assert!((Duration::from_secs(4)..Duration::from_secs(15)).contains(&before));
    w.cancel(leader, "wk-3");
    w.run(1.0);
    assert_eq!(urgency(&w, "wk-1").rank, Rank::Normal);
    assert_eq!(urgency(&w, "wk-1").due, None);
    w.submit(leader, &{
        let mut last = after("wk-4", &["wk-2"], 1, 2);
        last.rank = Rank::Production;
        last
    });
    // Ahead of the sixteen that came before it and that would all start first.
    w.until_done("wk-4", 60.0);
    assert_ne!(w.show(leader, "wk-8").1, Some(JobState::Done));
}
