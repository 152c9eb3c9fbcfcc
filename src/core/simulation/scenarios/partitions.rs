//! Partitions between controllers and workers, in one direction or both.

use super::{eight_machines, fails_without, four_machines, machines_in_zone, unlimited_job};
use crate::core::simulation::{LEASE, Link, World};
use crate::guard::Guard;
use crate::job::{MachineId, Rank, sample};
use crate::wire::JobState;
use std::time::Duration;

fn deafen(w: &mut World, zone: &str, deaf: bool) {
    let all = w.workers.values_mut().filter(|m| m.zone == zone);
    all.for_each(|m| m.deaf = deaf);
}

/// Work was given to machines that look idle and hear nothing, again in each of their sessions.
#[test]
fn a_zone_that_is_heard_and_does_not_hear_gets_nothing_until_it_hears_again() {
    let (mut w, leader) = eight_machines(61);
    assert_eq!(
        w.submit(leader, &unlimited_job("wk-000001", 8, 4.0, 14)),
        201
    );
    w.run(2.0);
    deafen(&mut w, "b", true);
    let before = w.starts;
    // What runs there is gone when its lease has run out, and only then starts elsewhere.
    w.run(9.0);
    assert_eq!(w.starts, before);
    w.run(4.0);
    let lead = w.nodes[leader].core.lead.as_ref().unwrap();
    let unheard = |id: &MachineId| lead.machines.get(id).unwrap().unheard.is_some();
    assert!(
        machines_in_zone(&w, "b").iter().all(unheard),
        "a new session says so"
    );
    w.until_done("wk-000001", 40.0);
    // Work that comes now is not tried there for long.
    let calls: u32 = w.nodes.iter().map(|n| n.calls).sum();
    for n in 2..8 {
        let id = format!("wk-{n:06}");
        assert_eq!(w.submit(leader, &unlimited_job(&id, 4, 2.0, 2)), 201);
        w.until_done(&id, 9.0);
    }
    let calls = w.nodes.iter().map(|n| n.calls).sum::<u32>() - calls;
    assert!(calls < 150, "{calls} calls");
    assert_eq!(
        machines_in_zone(&w, "b").len(),
        4,
        "none is given up for it"
    );
    deafen(&mut w, "b", false);
    w.run(15.0);
    assert_eq!(
        w.submit(leader, &unlimited_job("wk-000009", 8, 4.0, 6)),
        201
    );
    w.run(3.0);
    let places = w.places("wk-000009");
    let used = places.iter().filter(|(m, _)| w.workers[m].zone == "b");
    assert_eq!(used.count(), 4, "it is used again");
}

/// What was placed on them waited for a new session, a whole lease.
#[test]
fn starts_that_do_not_come_to_be_are_taken_back_before_the_lease_runs_out() {
    let (mut w, leader) = eight_machines(70);
    deafen(&mut w, "b", true);
    assert_eq!(
        w.submit(leader, &unlimited_job("wk-000001", 8, 4.0, 1)),
        201
    );
    w.until_done("wk-000001", 8.0);
    assert_eq!(w.starts, 8);
}

/// The new leader waited for ever for machines to show its token whose reports kept coming: none of the
/// old tasks that nobody had shown was started again.
#[test]
fn machines_that_do_not_hear_do_not_keep_a_new_leader_from_starting_old_work() {
    let (mut w, leader) = eight_machines(62);
    assert_eq!(
        w.submit(leader, &unlimited_job("wk-000001", 12, 4.0, 6)),
        201
    );
    w.run(2.0);
    deafen(&mut w, "b", true);
    w.kill(leader, Duration::from_secs(30));
    w.until(10.0, "another leader", |w| w.leader().is_some());
    // What was told to be cancelled during it stays so.
    let next = w.leader().unwrap();
    assert_eq!(w.submit(next, &unlimited_job("wk-000002", 4, 4.0, 60)), 201);
    w.run(1.0);
    let told = w.cancel(next, "wk-000002");
    assert_eq!(told, (200, Some(JobState::Cancelled)));
    w.until_done("wk-000001", 50.0);
    assert!(
        machines_in_zone(&w, "b").len() >= 4,
        "a zone is not given up for it"
    );
}

/// It hears its workers, and neither the state service nor the other controllers.
#[test]
fn a_controller_that_has_only_its_workers_lets_them_go_in_time() {
    for leads in [true, false] {
        let (mut w, leader) = eight_machines(67);
        let alone = if leads { leader } else { (leader + 1) % 3 };
        w.workers.values_mut().for_each(|m| m.node = alone);
        assert_eq!(
            w.submit(leader, &unlimited_job("wk-000001", 8, 4.0, 25)),
            201
        );
        w.run(3.0);
        let starts = w.starts;
        (w.nodes[alone].state, w.nodes[alone].peers) = (Link::Held, false);
        w.run(1.5);
        // Its users are answered at once.
        let asked = w.now;
        assert_eq!(w.submit(alone, &unlimited_job("wk-000002", 1, 1.0, 1)), 503);
        assert!(w.now - asked < Duration::from_millis(500));
        w.until(10.0, "another leads, and hears all", |w| {
            w.leader().is_some_and(|l| l != alone) && w.workers.values().all(|m| m.node != alone)
        });
        w.run(5.0);
        (w.nodes[alone].state, w.nodes[alone].peers) = (Link::Good, true);
        w.release();
        w.until_done("wk-000001", 40.0);
        assert_eq!(w.starts, starts, "nothing is started again");
    }
}

fn mute(w: &mut World, every: usize, on: bool) -> Vec<MachineId> {
    let some = w.workers.iter_mut().step_by(every);
    some.map(|(id, m)| {
        m.mute = on;
        id.clone()
    })
    .collect()
}

/// Machines that reach no controller, while direct commands reach them: what they have is not started
/// elsewhere before its lease has run out, nothing new is started there to die with the lease, and what is
/// cancelled there is stopped by a call at once.
fn muted() {
    let (mut w, leader) = eight_machines(940);
    assert_eq!(
        w.submit(leader, &unlimited_job("wk-000001", 4, 4.0, 60)),
        201
    );
    assert_eq!(
        w.submit(leader, &unlimited_job("wk-000002", 4, 2.0, 60)),
        201
    );
    w.run(3.0);
    let silent = mute(&mut w, 2, true);
    w.cloud_down = true;
    let calls = w.nodes[leader].calls;
    // The leader tells them something now and then, and they answer.
    for n in 3..7 {
        let id = format!("wk-{n:06}");
        assert_eq!(w.submit(leader, &unlimited_job(&id, 1, 1.0, 60)), 201);
        w.run(0.7);
    }
    w.run(1.0);
    assert_eq!(w.cancel(leader, "wk-000002").0, 200);
    w.run(0.5);
    assert!(w.places("wk-000002").is_empty(), "stopped by a call");
    assert!(w.nodes[leader].calls > calls);
    let there = |w: &World, id: &str| {
        let places = w.places(id);
        places.iter().filter(|(m, _)| silent.contains(m)).count()
    };
    let lived: usize = (3..7).map(|n| there(&w, &format!("wk-{n:06}"))).sum();
    let starts = w.starts;
    w.run(2.0);
    // From two intervals on they get nothing, though they answered just now.
    for n in 7..11 {
        let id = format!("wk-{n:06}");
        assert_eq!(w.submit(leader, &unlimited_job(&id, 1, 1.0, 60)), 201);
        w.run(0.3);
        assert_eq!(there(&w, &id), 0, "{id} is started to die with the lease");
        w.cancel(leader, &id);
        w.run(0.7);
    }
    assert!(w.starts > starts && lived < 5);
    w.run(20.0);
    mute(&mut w, 2, false);
    w.cloud_down = false;
    w.until_done("wk-000001", 150.0);
}

#[test]
fn machines_that_reach_no_controller_get_nothing_to_lose_and_lose_nothing_twice() {
    muted();
}

/// A zone with workers and a controller, cut off for longer than a lease, jobs cancelled meanwhile; the
/// controller inside may have led.
#[test]
fn a_zone_cut_off_with_a_controller_comes_back_to_what_was_decided_outside() {
    for leads in [true, false] {
        let (mut w, leader) = eight_machines(950);
        let inside = if leads { leader } else { (leader + 1) % 3 };
        assert_eq!(
            w.submit(leader, &unlimited_job("wk-000001", 8, 4.0, 40)),
            201
        );
        assert_eq!(
            w.submit(leader, &unlimited_job("wk-000002", 4, 1.0, 200)),
            201
        );
        w.run(3.0);
        (w.nodes[inside].state, w.nodes[inside].peers) = (Link::Held, false);
        for m in w.workers.values_mut() {
            let b = m.zone == "b";
            m.cut = (0..3).filter(|n| (*n == inside) != b).collect();
            m.node = if b { inside } else { (inside + 1) % 3 };
        }
        w.until(10.0, "a leader outside", |w| {
            w.leader().is_some_and(|l| l != inside)
        });
        let next = w.leader().unwrap();
        while w.cancel(next, "wk-000002").1 != Some(JobState::Cancelled) {
            w.run(0.5);
        }
        let there = |w: &World| {
            let places = w.places("wk-000001");
            places
                .iter()
                .filter(|(m, _)| w.workers[m].zone == "b")
                .count()
        };
        assert!(there(&w) > 0, "it holds some");
        w.run(LEASE.as_secs_f64() + 4.0);
        assert_eq!(there(&w), 0, "its leases have run out");
        (w.nodes[inside].state, w.nodes[inside].peers) = (Link::Good, true);
        w.workers.values_mut().for_each(|m| m.cut.clear());
        w.release();
        w.until_done("wk-000001", 120.0);
        for node in 0..3 {
            assert_eq!(w.show(node, "wk-000002").1, Some(JobState::Cancelled));
        }
    }
}

/// Machines that reach no controller answer direct commands, again and again: they get no new work, which would
/// die with their lease.
fn commands_go_on_to_machines_that_do_not_report() {
    let (mut w, leader) = eight_machines(1340);
    w.run(2.0);
    w.cloud_down = true;
    let silent: Vec<MachineId> = w.workers.keys().step_by(2).cloned().collect();
    for id in &silent {
        w.workers.get_mut(id).unwrap().mute = true;
    }
    // Something is started and cancelled everywhere all the time, so that each machine answers.
    let mut late = 0;
    for n in 0..24u32 {
        let id = format!("wk-{n:06}");
        let mut spec = unlimited_job(&id, 16, 1.0, 60);
        spec.rank = Rank::High;
        assert_eq!(w.submit(leader, &spec), 201);
        w.run(0.2);
        let there = w
            .places(&id)
            .iter()
            .filter(|(m, _)| silent.contains(m))
            .count();
        if n > 14 {
            late += there;
        }
        w.cancel(leader, &id);
        w.run(0.1);
    }
    assert_eq!(late, 0, "work is started to die with the lease");
}

#[test]
fn machines_that_answer_commands_and_do_not_report_get_no_work() {
    commands_go_on_to_machines_that_do_not_report();
    fails_without(
        Guard::Mute,
        "work is started to die with the lease",
        commands_go_on_to_machines_that_do_not_report,
    );
}

#[test]
fn an_old_leader_with_workers_of_its_own_starts_nothing_twice() {
    let (mut w, leader) = four_machines(6);
    w.submit(leader, &sample("wk-1", 12, 2.0, 12));
    w.run(2.0);
    // Two machines can only talk to the old leader, which has lost the state service; the other
    // two only to the rest.
    let ids: Vec<_> = w.workers.keys().cloned().collect();
    for (i, id) in ids.iter().enumerate() {
        let cut = (0..3).filter(|n| (*n == leader) != (i < 2));
        w.workers.get_mut(id).unwrap().cut = cut.collect();
    }
    w.nodes[leader].state = Link::Refused;
    w.nodes[leader].peers = false;
    w.run(9.0);
    for id in &ids {
        if let Some(m) = w.workers.get_mut(id) {
            m.cut.clear();
        }
    }
    w.nodes[leader].state = Link::Good;
    w.nodes[leader].peers = true;
    w.release();
    w.until_done("wk-1", 90.0);
}

/// Cut off one way: a new leader's calls come to nothing, while the workers' reports arrive. Machines
/// that had reported, and were only yet to show its token, were deleted as dead.
#[test]
fn machines_that_report_are_not_dead_though_no_call_reaches_them() {
    let (mut w, leader) = four_machines(29);
    w.submit(leader, &sample("wk-1", 8, 2.0, 20));
    w.run(3.0);
    w.hold_commands = true;
    w.kill(leader, Duration::from_secs(30));
    w.until(10.0, "another leader", |w| {
        w.leader().is_some_and(|l| l != leader)
    });
    w.run(6.0);
    assert_eq!(w.workers.len(), 4);
    w.hold_commands = false;
    w.until_done("wk-1", 40.0);
    assert_eq!(w.starts, 8);
}
