//! Stories of the added rules and troubles (`docs/added-rules.md`): machines that are heard and do not
//! hear, copies that come late, controllers that have only their workers or are back within a moment,
//! and jobs that others pass. The world checks at every tick that nothing runs twice.

use crate::core::simulation::{Link, World};
use crate::job::{JobSpec, MachineId, Rank, sample};
use crate::policy::Policy;
use crate::wire::{JobState, Order};
use std::time::Duration;

/// Of the team without a limit.
pub fn job(id: &str, tasks: u32, cpus: f64, seconds: u64) -> JobSpec {
    let mut spec = sample(id, tasks, cpus, seconds);
    spec.team = "u".into();
    spec
}

/// Three controllers that serve workers for one another, and eight machines; none can be rented.
pub fn begin(seed: u64) -> (World, usize) {
    crate::core::simulation::with_log();
    let policy = Policy::with("added", "delegate = true\nidle_keep = 600").unwrap();
    let mut w = World::with_policy(seed, policy);
    w.capacity.clear();
    for zone in ["a", "b", "a", "b", "a", "b", "a", "b"] {
        w.add_machine("small", zone);
    }
    w.until(10.0, "a leader", |w| w.leader().is_some());
    w.run(4.0);
    let leader = w.leader().unwrap();
    (w, leader)
}

fn deafen(w: &mut World, zone: &str, deaf: bool) {
    let all = w.workers.values_mut().filter(|m| m.zone == zone);
    all.for_each(|m| m.deaf = deaf);
}

fn here(w: &World, zone: &str) -> Vec<MachineId> {
    let there = w.workers.iter().filter(|(_, m)| m.zone == zone);
    there.map(|(id, _)| id.clone()).collect()
}

/// Work was given to machines that look idle and hear nothing, again in each of their sessions.
#[test]
fn a_zone_that_is_heard_and_does_not_hear_gets_nothing_until_it_hears_again() {
    let (mut w, leader) = begin(61);
    assert_eq!(w.submit(leader, &job("wk-000001", 8, 4.0, 14)), 201);
    w.run(2.0);
    deafen(&mut w, "b", true);
    let before = w.starts;
    // What runs there is gone when its lease has run out, and only then starts elsewhere.
    w.run(9.0);
    assert_eq!(w.starts, before);
    w.run(4.0);
    let lead = w.nodes[leader].core.lead.as_ref().unwrap();
    let unheard = |id: &MachineId| lead.machines.get(id).unwrap().unheard.is_some();
    assert!(here(&w, "b").iter().all(unheard), "a new session says so");
    w.until_done("wk-000001", 40.0);
    // Work that comes now is not tried there for long.
    let calls: u32 = w.nodes.iter().map(|n| n.calls).sum();
    for n in 2..8 {
        let id = format!("wk-{n:06}");
        assert_eq!(w.submit(leader, &job(&id, 4, 2.0, 2)), 201);
        w.until_done(&id, 9.0);
    }
    let calls = w.nodes.iter().map(|n| n.calls).sum::<u32>() - calls;
    assert!(calls < 150, "{calls} calls");
    assert_eq!(here(&w, "b").len(), 4, "none is given up for it");
    deafen(&mut w, "b", false);
    w.run(15.0);
    assert_eq!(w.submit(leader, &job("wk-000009", 8, 4.0, 6)), 201);
    w.run(3.0);
    let places = w.places("wk-000009");
    let used = places.iter().filter(|(m, _)| w.workers[m].zone == "b");
    assert_eq!(used.count(), 4, "it is used again");
}

/// What was placed on them waited for a new session, a whole lease.
#[test]
fn starts_that_do_not_come_to_be_are_taken_back_before_the_lease_runs_out() {
    let (mut w, leader) = begin(70);
    deafen(&mut w, "b", true);
    assert_eq!(w.submit(leader, &job("wk-000001", 8, 4.0, 1)), 201);
    w.until_done("wk-000001", 8.0);
    assert_eq!(w.starts, 8);
}

/// The new leader waited for ever for machines to show its token whose reports kept coming: none of the
/// old tasks that nobody had shown was started again.
#[test]
fn machines_that_do_not_hear_do_not_keep_a_new_leader_from_starting_old_work() {
    let (mut w, leader) = begin(62);
    assert_eq!(w.submit(leader, &job("wk-000001", 12, 4.0, 6)), 201);
    w.run(2.0);
    deafen(&mut w, "b", true);
    w.kill(leader, Duration::from_secs(30));
    w.until(10.0, "another leader", |w| w.leader().is_some());
    // What was told to be cancelled during it stays so.
    let next = w.leader().unwrap();
    assert_eq!(w.submit(next, &job("wk-000002", 4, 4.0, 60)), 201);
    w.run(1.0);
    let told = w.cancel(next, "wk-000002");
    assert_eq!(told, (200, Some(JobState::Cancelled)));
    w.until_done("wk-000001", 50.0);
    assert!(here(&w, "b").len() >= 4, "a zone is not given up for it");
}

#[test]
fn copies_that_come_late_change_nothing() {
    let (mut w, leader) = begin(63);
    // From a tenth of a second to three leases late, to any controller.
    w.copies = Duration::from_secs(30);
    let mut accepted = Vec::new();
    for n in 0..8 {
        let id = format!("wk-{n:06}");
        let at = w.leader().unwrap_or(leader);
        if w.submit(at, &job(&id, 5, 2.0, 3)) == 201 {
            accepted.push(id.clone());
        }
        if n == 3 {
            w.cancel(at, &id);
        }
        if n == 5 {
            w.kill(at, Duration::from_millis(400));
        }
        w.run(4.0);
    }
    for id in &accepted {
        let (status, state) = w.show(0, id);
        assert_eq!(status, 200);
        if state != Some(JobState::Cancelled) {
            w.until_done(id, 60.0);
        }
    }
    // All of them have come, and nothing is started for them.
    let starts = w.starts;
    w.run(40.0);
    assert_eq!(w.starts, starts);
}

/// A machine was returned, and the next leader does not know its name: a report of it that comes now made
/// it a machine again, and stopped what it once held wherever that runs now.
#[test]
fn a_copy_from_a_machine_that_is_gone_does_not_bring_it_back() {
    let (mut w, leader) = begin(64);
    assert_eq!(w.submit(leader, &job("wk-000001", 1, 4.0, 60)), 201);
    w.run(3.0);
    let (id, _) = w.places("wk-000001")[0].clone();
    let copy = w.report_of(&id);
    w.workers.remove(&id);
    w.until(40.0, "it starts elsewhere", |w| {
        w.places("wk-000001").len() == 1
    });
    w.run(20.0);
    w.kill(leader, Duration::from_secs(3));
    w.until(10.0, "another leader", |w| w.leader().is_some());
    let next = w.leader().unwrap();
    // It comes before the one that has the task now reports.
    w.deliver(next, copy.clone());
    w.run(0.2);
    let lead = w.nodes[next].core.lead.as_ref().unwrap();
    assert!(lead.machines.get(&id).is_none());
    w.run(5.0);
    w.deliver(next, copy);
    w.run(5.0);
    let lead = w.nodes[next].core.lead.as_ref().unwrap();
    assert!(lead.machines.get(&id).is_none());
    assert_eq!(w.starts, 2);
    w.until_done("wk-000001", 70.0);
}

/// After a `clear` the worker does not know the attempt any more: the command that started it, arriving
/// once more, started it anew, by then a task of a job that was cancelled or ran elsewhere.
#[test]
fn a_command_that_comes_again_after_a_clear_is_refused() {
    let (mut w, leader) = begin(65);
    w.copies = Duration::from_secs(3600);
    assert_eq!(w.submit(leader, &job("wk-000001", 8, 4.0, 2)), 201);
    w.until_done("wk-000001", 20.0);
    w.run(15.0);
    let cleared = w.workers.values().all(|m| m.tasks.is_empty());
    assert!(cleared && w.clears >= 8, "all is cleared");
    let copies = w.copied_commands();
    let starts = |o: &Order| matches!(o, Order::Start { .. });
    assert!(copies.iter().any(|(_, b)| b.orders.iter().any(starts)));
    let before = w.starts;
    for (id, body) in copies {
        w.direct(&id, &body);
    }
    assert_eq!(w.starts, before);
}

/// Empty and counting from one, its reports were taken for old ones until it was given up.
#[test]
fn a_machine_that_is_back_at_once_is_told_from_a_copy_by_asking_it() {
    for from_one in [true, false] {
        let (mut w, leader) = begin(66);
        assert_eq!(w.submit(leader, &job("wk-000001", 8, 4.0, 8)), 201);
        w.run(3.0);
        let (id, _) = w.places("wk-000001")[0].clone();
        let copy = w.report_of(&id);
        w.reboot(&id, from_one);
        w.deliver(leader, copy);
        let before = w.starts;
        w.run(6.0);
        assert_eq!(w.starts, before + 1, "its task starts again, once");
        w.until_done("wk-000001", 30.0);
        assert_eq!(here(&w, "a").len() + here(&w, "b").len(), 8);
    }
}

/// It hears its workers, and neither the state service nor the other controllers.
#[test]
fn a_controller_that_has_only_its_workers_lets_them_go_in_time() {
    for leads in [true, false] {
        let (mut w, leader) = begin(67);
        let alone = if leads { leader } else { (leader + 1) % 3 };
        w.workers.values_mut().for_each(|m| m.node = alone);
        assert_eq!(w.submit(leader, &job("wk-000001", 8, 4.0, 25)), 201);
        w.run(3.0);
        let starts = w.starts;
        (w.nodes[alone].state, w.nodes[alone].peers) = (Link::Held, false);
        w.run(1.5);
        // Its users are answered at once.
        let asked = w.now;
        assert_eq!(w.submit(alone, &job("wk-000002", 1, 1.0, 1)), 503);
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

/// Its former key and lease still stand, and frames of its former life are under way.
#[test]
fn a_controller_back_within_a_moment_takes_nothing_of_its_former_life_for_its_own() {
    let (mut w, leader) = begin(68);
    assert_eq!(w.submit(leader, &job("wk-000001", 8, 4.0, 12)), 201);
    w.run(3.0);
    let starts = w.starts;
    for _ in 0..3 {
        w.kill(leader, Duration::from_millis(50));
        w.run(0.3);
    }
    // Not longer than the lease.
    w.until(4.0, "a leader", |w| w.leader().is_some());
    (0..3).for_each(|n| w.kill(n, Duration::from_millis(100)));
    w.until(4.5, "a leader", |w| w.leader().is_some());
    w.until_done("wk-000001", 40.0);
    assert_eq!(w.starts, starts);
}

/// Work of a higher rank that comes without end.
#[test]
fn nothing_is_passed_for_ever() {
    let (mut w, leader) = begin(69);
    let mut large = job("wk-000001", 40, 4.0, 3);
    large.rank = Rank::Low;
    let begun = w.now;
    for n in 0..110 {
        let mut small = job(&format!("wk-{:06}", n + 2), 8, 4.0, 3);
        small.rank = Rank::High;
        assert_eq!(w.submit(leader, &small), 201);
        if n == 3 {
            assert_eq!(w.submit(leader, &large), 201);
        }
        w.run(2.0);
        if !w.places("wk-000001").is_empty() {
            break;
        }
    }
    let waited = (w.now - begun).as_secs();
    assert!(waited > 60, "the others go before it");
    assert!(waited < 160, "it begins after {waited} s");
}
