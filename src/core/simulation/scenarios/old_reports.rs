//! Reports that are old, repeated or of an earlier life of their machine.

use super::{eight_machines, fails_without, four_machines, machines_in_zone, unlimited_job};
use crate::core::simulation::World;
use crate::guard::Guard;
use crate::job::{MachineId, sample};
use crate::wire::{JobState, Report};
use std::time::Duration;

/// Reports made before tasks were started reach every controller as the next leader begins, before its first
/// answer, and before the machines themselves are heard: they prove nothing about what is there.
fn old_reports_as_a_leader_begins() {
    let (mut w, leader) = eight_machines(1200);
    assert_eq!(
        w.submit(leader, &unlimited_job("wk-000001", 3, 4.0, 40)),
        201
    );
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
    assert_eq!(
        w.submit(leader, &unlimited_job("wk-000002", 5, 4.0, 40)),
        201
    );
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
    let (mut w, _) = eight_machines(1210);
    let mut delivered = 0;
    for n in 0..6u32 {
        w.until(15.0, "a leader", |w| w.leader().is_some());
        let leader = w.leader().unwrap();
        w.reports_for_next = 0.5;
        let id = format!("wk-{:06}", n + 1);
        while !matches!(w.submit(leader, &unlimited_job(&id, 5, 2.0, 6)), 200 | 201) {
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

#[test]
fn copies_that_come_late_change_nothing() {
    let (mut w, leader) = eight_machines(63);
    // From a tenth of a second to three leases late, to any controller.
    w.copies = Duration::from_secs(30);
    let mut accepted = Vec::new();
    for n in 0..8 {
        let id = format!("wk-{n:06}");
        let at = w.leader().unwrap_or(leader);
        if w.submit(at, &unlimited_job(&id, 5, 2.0, 3)) == 201 {
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
    let (mut w, leader) = eight_machines(64);
    assert_eq!(
        w.submit(leader, &unlimited_job("wk-000001", 1, 4.0, 60)),
        201
    );
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

/// Empty and counting from one, its reports were taken for old ones until it was given up.
#[test]
fn a_machine_that_is_back_at_once_is_told_from_a_copy_by_asking_it() {
    for from_one in [true, false] {
        let (mut w, leader) = eight_machines(66);
        assert_eq!(
            w.submit(leader, &unlimited_job("wk-000001", 8, 4.0, 8)),
            201
        );
        w.run(3.0);
        let (id, _) = w.places("wk-000001")[0].clone();
        let copy = w.report_of(&id);
        w.reboot(&id, from_one);
        w.deliver(leader, copy);
        let before = w.starts;
        w.run(6.0);
        assert_eq!(w.starts, before + 1, "its task starts again, once");
        w.until_done("wk-000001", 30.0);
        assert_eq!(
            machines_in_zone(&w, "a").len() + machines_in_zone(&w, "b").len(),
            8
        );
    }
}

/// A new leader hears an old copy first: the task was there once. When that machine showed that it has
/// nothing, the task was started a third time, and stopped where it ran.
#[test]
fn an_old_copy_heard_by_a_new_leader_takes_no_task_from_where_it_runs() {
    let (mut w, leader) = eight_machines(84);
    assert_eq!(
        w.submit(leader, &unlimited_job("wk-000001", 1, 4.0, 30)),
        201
    );
    w.run(3.0);
    let (first, _) = w.places("wk-000001")[0].clone();
    let copy = w.report_of(&first);
    w.reboot(&first, false);
    w.run(3.0);
    let (second, _) = w.places("wk-000001")[0].clone();
    assert_ne!(first, second);
    w.cloud_down = true;
    w.workers.get_mut(&first).unwrap().cut = (0..3).collect();
    w.workers.get_mut(&second).unwrap().cut = (0..3).collect();
    w.kill(leader, Duration::from_secs(30));
    w.until(8.0, "another leader", |w| w.leader().is_some());
    let next = w.leader().unwrap();
    w.deliver(next, copy);
    w.run(0.5);
    w.workers.get_mut(&second).unwrap().cut.clear();
    w.run(1.5);
    w.workers.get_mut(&first).unwrap().cut.clear();
    w.until_done("wk-000001", 60.0);
    assert_eq!(w.starts, 2, "started once more");
}

/// A token that nobody gave passed for the sign of a store that has lost data: the leader gave up, and all
/// was rebuilt.
#[test]
fn a_report_that_no_worker_makes_changes_nothing() {
    let (mut w, leader) = eight_machines(87);
    assert_eq!(
        w.submit(leader, &unlimited_job("wk-000001", 4, 4.0, 6)),
        201
    );
    w.run(1.0);
    let id = w.workers.keys().next().unwrap().clone();
    for node in 0..3 {
        let mut report = w.report_of(&id);
        (report.token, report.session) = (u64::MAX, 1_000_000);
        report.rows.clear();
        w.deliver(node, report);
        w.run(0.5);
    }
    let lead = w.nodes[leader].core.lead.as_ref().unwrap();
    assert_eq!(lead.machines.get(&id).unwrap().session, 1);
    assert!(w.nodes.iter().all(|n| !n.core.incomplete()));
    w.until_done("wk-000001", 12.0);
    assert_eq!((w.leader(), w.starts), (Some(leader), 4));
}

/// A machine that had begun anew, and counted from one, was taken for older than a late copy of its former
/// life: what was given to it since counted as lost, and was started elsewhere while it ran.
#[test]
fn a_copy_of_a_machines_former_life_says_nothing_of_this_one() {
    let (mut w, leader) = eight_machines(88);
    let id = w.workers.keys().next().unwrap().clone();
    let earlier_session = {
        w.reboot(&id, false);
        w.run(3.0);
        w.report_of(&id)
    };
    let same_session = Report {
        session: 1,
        seq: 1000,
        ..w.report_of(&id)
    };
    w.reboot(&id, true);
    w.run(6.0);
    assert_eq!(
        w.submit(leader, &unlimited_job("wk-000001", 7, 4.0, 20)),
        201
    );
    w.run(2.0);
    assert!(w.places("wk-000001").iter().any(|(m, _)| *m == id));
    for copy in [same_session, earlier_session] {
        w.deliver(leader, copy);
        w.run(2.0);
    }
    w.until_done("wk-000001", 40.0);
    assert_eq!(w.starts, 7);
}

/// Found by generated histories: a machine that heard nothing of a new leader began another session, which has
/// a whole lease. When it was asked and known at last, its lease was counted from the last answer
/// to an earlier one; what was then started on it was given up at once, and started elsewhere while it ran.
#[test]
fn a_session_has_its_lease_from_when_it_began() {
    let (mut w, leader) = eight_machines(85);
    let id = w.workers.keys().next().unwrap().clone();
    // With its whole zone, as single ones are given up.
    let zone = w.workers[&id].zone.clone();
    let there = w.workers.values_mut().filter(|m| m.zone == zone);
    there.for_each(|m| m.deaf = true);
    w.cloud_down = true;
    w.kill(leader, Duration::from_secs(60));
    w.until(8.0, "another leader", |w| w.leader().is_some());
    let next = w.leader().unwrap();
    w.run(7.0);
    // Shortly before the lease has run out that its last answer may have given it, it begins anew.
    let lead = w.nodes[next].core.lead.as_ref().unwrap();
    let answered = lead.machines.get(&id).unwrap().lease_from;
    w.until(15.0, "its lease", |w| {
        w.now > answered + Duration::from_secs(11)
    });
    w.reboot(&id, false);
    let m = w.workers.get_mut(&id).unwrap();
    // It hears again, and is asked; its own reports do not come through for a while.
    (m.deaf, m.next_report) = (false, w.now + Duration::from_secs(5));
    let lead = w.nodes[next].core.lead.as_mut().unwrap();
    assert!(lead.machines.get(&id).unwrap().unresolved, "too late");
    lead.to_ask.push(id.clone());
    w.run(0.1);
    assert_eq!(w.submit(next, &unlimited_job("wk-000001", 5, 4.0, 20)), 201);
    w.run(0.2);
    assert!(w.places("wk-000001").iter().any(|(m, _)| *m == id));
    w.add_machine("small", "b");
    w.run(7.0);
    w.until_done("wk-000001", 40.0);
    assert_eq!(w.starts, 5);
}

/// Seen on an own day: reports that a cut had held came when the machines' leases had run out, and
/// tasks that had been started elsewhere meanwhile were taken for being there still.
#[test]
fn a_report_that_comes_after_its_sessions_end_tells_nothing() {
    let (mut w, leader) = four_machines(48);
    w.cloud_down = true;
    w.submit(leader, &sample("wk-1", 6, 2.0, 60));
    w.run(2.0);
    let id = w.places("wk-1")[0].0.clone();
    w.workers.get_mut(&id).unwrap().hung = true;
    w.run(1.0);
    let held = w.report_of(&id);
    let there = held.rows.len();
    w.run(12.5);
    let placed = |w: &World| {
        let lead = w.nodes[leader].core.lead.as_ref().unwrap();
        lead.machines.get(&id).map_or(0, |m| m.tasks.len())
    };
    assert!(there > 0 && placed(&w) == 0);
    w.deliver(leader, held);
    w.run(0.2);
    assert_eq!(placed(&w), 0);
}
