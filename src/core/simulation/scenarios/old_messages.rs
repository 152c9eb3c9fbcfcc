//! Messages of an earlier time that reach a new leadership: reports that are delivered just as it begins, and
//! commands of a leader that has ended or was deposed since. And machines that are new when the leader ends. The
//! simulation fails where a task is on two machines, or starts on one that is not on record.

use crate::core::simulation::scenarios::combined_faults::fails_without;
use crate::core::simulation::scenarios::partitions::{begin, job};
use crate::core::simulation::{Link, World};
use crate::guard::Guard;
use crate::job::MachineId;
use crate::policy::Policy;
use crate::wire::Report;
use std::time::Duration;

/// Reports made before tasks were started reach every controller as the next leader begins, before its first
/// answer, and before the machines themselves are heard: they prove nothing about what is there.
fn old_reports_as_a_leader_begins() {
    let (mut w, leader) = begin(1200);
    assert_eq!(w.submit(leader, &job("wk-000001", 3, 4.0, 40)), 201);
    w.run(3.0);
    // Reports of idle machines, in sessions that go on.
    let idle: Vec<MachineId> = (w.workers.iter().filter(|(_, m)| m.tasks.is_empty()))
        .map(|(id, _)| id.clone())
        .collect();
    assert_eq!(idle.len(), 5);
    // They say that their machines are to be taken: nothing new is started on these.
    let old = idle.iter().map(|id| Report {
        notice: Some(60.0),
        ..w.report_of(id)
    });
    let old = old.collect();
    assert_eq!(w.submit(leader, &job("wk-000002", 5, 4.0, 40)), 201);
    w.run(0.3);
    assert_eq!(w.places("wk-000002").len(), 5);
    // They are not heard from now on, and can't be asked or deleted.
    w.cloud_down = true;
    for id in &idle {
        w.workers.get_mut(id).unwrap().cut = (0..3).collect();
    }
    w.kill(leader, Duration::from_secs(30));
    w.keep_reports(old);
    let terms = w.terms();
    w.until(8.0, "another leader", |w| w.terms() > terms);
    w.add_machine("small", "a");
    w.add_machine("small", "b");
    w.run(7.0);
    assert!(w.reports_delivered_to_next >= 10, "none was delivered");
    assert_eq!(
        w.starts, 8,
        "started elsewhere though nothing proves that it is gone"
    );
    w.workers.values_mut().for_each(|m| m.cut.clear());
    w.cloud_down = false;
    w.until_done("wk-000002", 120.0);
}

#[test]
fn old_reports_that_arrive_as_a_leader_begins_prove_nothing() {
    old_reports_as_a_leader_begins();
    fails_without(Guard::Proof, " and on ", old_reports_as_a_leader_begins);
}

/// The same through six changes of leader, with every report of some seconds kept for the next, machines that
/// begin anew in between, and a follower that answers under a grant.
#[test]
fn leaders_that_begin_among_old_reports_start_nothing_twice() {
    let (mut w, _) = begin(1210);
    let mut delivered = 0;
    for n in 0..6u32 {
        w.until(15.0, "a leader", |w| w.leader().is_some());
        let leader = w.leader().unwrap();
        w.reports_for_next = 0.5;
        let id = format!("wk-{:06}", n + 1);
        while !matches!(w.submit(leader, &job(&id, 5, 2.0, 6)), 200 | 201) {
            w.run(0.5);
        }
        w.workers
            .values_mut()
            .for_each(|m| m.node = (leader + 1) % 3);
        w.run(2.0);
        let machine = w.workers.keys().nth(n as usize).unwrap().clone();
        w.reboot(&machine, n % 2 == 0);
        w.run(1.5);
        w.reports_for_next = 0.0;
        w.kill(
            leader,
            Duration::from_millis(if n % 2 == 0 { 300 } else { 6000 }),
        );
        w.run(6.0);
        assert!(
            w.reports_delivered_to_next > delivered,
            "round {n}: none was kept"
        );
        delivered = w.reports_delivered_to_next;
    }
    for n in 0..6 {
        w.until_done(&format!("wk-{:06}", n + 1), 90.0);
    }
}

/// A leader's starts are held up on their way; it ends, or is deposed, another one begins and hears the others,
/// and then they arrive at machines that have seen neither the new token nor anything else.
fn commands_of_a_former_leader(after_s: f64, deposed: bool) {
    let (mut w, leader) = begin(1220);
    // Machines have reported just now, so that starts go out by calls.
    w.hold_commands = true;
    assert_eq!(w.submit(leader, &job("wk-000001", 4, 4.0, 30)), 201);
    w.run(0.15);
    assert!(!w.held_commands.is_empty(), "none is under way");
    let told: Vec<MachineId> = w.held_commands.iter().map(|(id, _)| id.clone()).collect();
    w.cloud_down = true;
    for id in &told {
        w.workers.get_mut(id).unwrap().cut = (0..3).collect();
    }
    let terms = w.terms();
    if deposed {
        w.nodes[leader].state = Link::Refused;
        w.nodes[leader].peers = false;
    } else {
        w.kill(leader, Duration::from_secs(30));
    }
    w.until(10.0, "another leader", |w| w.terms() > terms);
    w.hold_commands = false;
    w.run(after_s);
    let held = std::mem::take(&mut w.held_commands);
    let arrived = held.iter().filter(|(id, _)| told.contains(id)).count();
    assert!(arrived > 0, "nothing arrives late");
    for (id, body) in held {
        w.direct(&id, &body);
    }
    w.run(1.0);
    (w.nodes[leader].state, w.nodes[leader].peers) = (Link::Good, true);
    w.workers.values_mut().for_each(|m| m.cut.clear());
    w.cloud_down = false;
    w.until_done("wk-000001", 120.0);
}

#[test]
fn commands_of_a_former_leader_start_nothing_twice() {
    for deposed in [false, true] {
        for after_s in [0.0, 0.3, 1.0, 3.0, 6.0] {
            commands_of_a_former_leader(after_s, deposed);
        }
    }
    fails_without(Guard::Unseen, " and on ", || {
        commands_of_a_former_leader(3.0, false);
    });
}

/// Half of all commands are carried out 2 to 16 s late, while leaders follow one another and jobs are cancelled.
#[test]
fn commands_that_are_carried_out_late_start_nothing_twice() {
    let (mut w, _) = begin(1230);
    for n in 0..12u32 {
        w.until(15.0, "a leader", |w| w.leader().is_some());
        let leader = w.leader().unwrap();
        w.late_command_share = 0.5;
        let id = format!("wk-{:06}", n + 1);
        while !matches!(w.submit(leader, &job(&id, 4, 2.0, 5)), 200 | 201) {
            w.run(0.5);
        }
        w.run(1.0);
        if n % 3 == 1 {
            w.start_to_cancel((leader + 1) % 3, &id);
        }
        if n % 4 == 3 {
            w.kill(leader, Duration::from_millis(500));
        }
        w.run(3.0);
    }
    assert!(w.commands_late > 10, "{} late", w.commands_late);
    w.late_command_share = 0.0;
    w.run(20.0);
    for n in 0..12u32 {
        let id = format!("wk-{:06}", n + 1);
        if w.told_final(&id).is_none() {
            w.until_done(&id, 90.0);
        }
    }
}

/// Machines that are up within a moment are given work while writes lag, and the leader ends: each is on
/// record before its first task, so that the next leader asks it before it starts anything again.
fn new_machines_while_writes_lag(late_writes: f64, slow: Duration, ends_after: u64) -> u32 {
    let policy = Policy::with("new", "delegate = true\nidle_keep = 600").unwrap();
    let mut w = World::with_policy(1240 + ends_after, policy);
    w.boot = Duration::from_millis(400);
    w.until(10.0, "a leader", |w| w.leader().is_some());
    w.run(3.0);
    let leader = w.leader().unwrap();
    assert_eq!(w.submit(leader, &job("wk-000001", 6, 4.0, 25)), 201);
    (w.late_writes, w.slow) = (late_writes, slow);
    w.until(20.0, "machines are rented", |w| w.workers.len() >= 3);
    w.run(0.5 + ends_after as f64 * 0.1);
    let placed = w.places("wk-000001").len() as u32;
    // Those that have tasks are heard by nobody, and the cloud tells nothing.
    w.cloud_down = true;
    let busy = w.workers.values_mut().filter(|m| !m.tasks.is_empty());
    busy.for_each(|m| m.cut = (0..3).collect());
    w.kill(leader, Duration::from_secs(30));
    let terms = w.terms();
    w.until(30.0, "another leader", |w| w.terms() > terms);
    (w.late_writes, w.slow) = (0.0, Duration::ZERO);
    w.run(6.0);
    w.release();
    w.workers.values_mut().for_each(|m| m.cut.clear());
    w.cloud_down = false;
    w.until_done("wk-000001", 120.0);
    placed
}

#[test]
fn new_machines_are_on_record_before_their_first_task() {
    let mut placed = 0;
    for ends_after in [0, 2, 5, 10, 20] {
        for (late, slow_ms) in [(0.0, 0), (0.0, 1500), (0.5, 0), (0.4, 800)] {
            let slow = Duration::from_millis(slow_ms);
            placed += new_machines_while_writes_lag(late, slow, ends_after);
        }
    }
    assert!(
        placed > 20,
        "only {placed} tasks were placed when the leader ended"
    );
    fails_without(Guard::Recorded, "which is not on record", || {
        new_machines_while_writes_lag(0.9, Duration::ZERO, 5);
    });
}
