//! Stories of troubles that meet (`docs/added-rules.md`): above all of transactions that are carried out
//! late, after newer ones of the same leader. The world checks at every tick that nothing runs twice.

use crate::core::simulation::scenarios::partitions::{begin, job};
use crate::core::simulation::{Link, World};
use crate::job::{MachineId, sample};
use crate::wire::{DirectBody, Report};
use std::time::Duration;

/// What the leader writes from now on is kept, and it hears nothing of it; what happens meanwhile it writes
/// again once it can, so that the first copy is still under way when the second is carried out.
fn hold_a_write(w: &mut World, leader: usize, f: impl FnOnce(&mut World)) {
    w.nodes[leader].state = Link::WritesHeld;
    f(w);
    w.run(2.5);
    assert!(!w.held_txns.is_empty(), "nothing is under way");
    w.nodes[leader].state = Link::Good;
    w.run(1.5);
}

fn on_record(w: &World, id: &MachineId) -> bool {
    let pages = w.stored("burlusher/p/").into_values();
    let mut listed = pages.filter_map(|p| p.get("machines")?.as_object().cloned());
    listed.any(|m| m.contains_key(&**id))
}

/// The first copy of a page came after one with more machines on it: the next leader knew nothing of one of
/// them, and started anew what ran there.
#[test]
fn a_late_copy_of_a_page_takes_no_machine_off_the_record() {
    let (mut w, leader) = begin(81);
    hold_a_write(&mut w, leader, |w| {
        w.add_machine("small", "a");
    });
    let last = w.add_machine("small", "a");
    w.run(3.0);
    assert!(on_record(&w, &last));
    w.release();
    w.run(0.5);
    assert!(on_record(&w, &last), "forgotten");
    // It cannot be reached while leaders change, nor deleted, and its task is not started elsewhere.
    w.cloud_down = true;
    assert_eq!(w.submit(leader, &job("wk-000001", 10, 4.0, 30)), 201);
    w.run(2.0);
    assert!(w.places("wk-000001").iter().any(|(m, _)| *m == last));
    w.workers.get_mut(&last).unwrap().cut = (0..3).collect();
    w.kill(leader, Duration::from_secs(30));
    w.until(8.0, "another leader", |w| w.leader().is_some());
    w.add_machine("small", "b");
    w.run(9.0);
    w.workers.get_mut(&last).unwrap().cut.clear();
    w.until_done("wk-000001", 80.0);
}

/// The first copy of a done range came after a longer one: the next leader ran tasks again whose results had
/// been cleared.
#[test]
fn a_late_copy_of_a_done_range_takes_no_task_off_the_record() {
    let (mut w, leader) = begin(82);
    // In three waves.
    assert_eq!(w.submit(leader, &job("wk-000001", 24, 4.0, 5)), 201);
    w.run(5.0);
    hold_a_write(&mut w, leader, |w| w.run(2.0));
    w.run(3.5);
    w.release();
    // Whoever leads next has only what is on record.
    (0..3).for_each(|n| w.kill(n, Duration::from_secs(1)));
    w.until_done("wk-000001", 40.0);
    assert_eq!(w.starts, 24, "something is done once more");
}

/// A leader whose own first copy was carried out after all took the second one's refusal for the end of its
/// leadership. Nor does it take it for success: what was refused is written anew and only then said.
#[test]
fn a_leader_whose_first_copy_was_carried_out_leads_on() {
    let (mut w, leader) = begin(83);
    assert_eq!(w.submit(leader, &job("wk-000001", 4, 4.0, 3)), 201);
    w.run(1.0);
    w.nodes[leader].state = Link::WritesHeld;
    w.run(3.5);
    assert!(!w.held_txns.is_empty(), "nothing is under way");
    w.release();
    w.nodes[leader].state = Link::Good;
    w.until_done("wk-000001", 6.0);
    assert_eq!(w.leader(), Some(leader));
    // With a third of all transactions carried out late, work goes on, and no leader gives up for it.
    w.late_writes = 0.35;
    for n in 2..8 {
        let id = format!("wk-{n:06}");
        while !matches!(w.submit(leader, &job(&id, 6, 2.0, 2)), 200 | 201) {
            w.run(1.0);
        }
        w.until_done(&id, 40.0);
        assert_eq!(w.leader(), Some(leader));
    }
}

/// A new leader hears an old copy first: the task was there once. When that machine showed that it has
/// nothing, the task was started a third time, and stopped where it ran.
#[test]
fn an_old_copy_heard_by_a_new_leader_takes_no_task_from_where_it_runs() {
    let (mut w, leader) = begin(84);
    assert_eq!(w.submit(leader, &job("wk-000001", 1, 4.0, 30)), 201);
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

/// A job was cancelled while some of its machines could not be reached, and all controllers ended: its tasks
/// counted towards nobody's limit, and what came next took its team beyond it.
#[test]
fn what_may_be_left_of_a_cancelled_job_counts_towards_its_teams_limit() {
    let (mut w, leader) = begin(86);
    // Of the team that may use 24.
    assert_eq!(w.submit(leader, &sample("wk-000001", 5, 4.0, 60)), 201);
    w.run(3.0);
    let cut = |w: &mut World, on: bool| {
        for m in w
            .workers
            .values_mut()
            .filter(|m| !(on && m.tasks.is_empty()))
        {
            m.cut = (0..3).filter(|_| on).collect();
        }
    };
    cut(&mut w, true);
    w.cloud_down = true;
    assert_eq!(w.cancel(leader, "wk-000001").0, 200);
    (0..3).for_each(|n| w.kill(n, Duration::from_millis(300)));
    w.until(8.0, "another leader", |w| w.leader().is_some());
    let next = w.leader().unwrap();
    assert_eq!(w.submit(next, &sample("wk-000002", 6, 4.0, 3)), 201);
    w.run(1.0);
    // The world checks the limit; what is certain to be within it is not held up.
    assert_eq!(w.places("wk-000001").len(), 5, "they are still there");
    assert_eq!(w.places("wk-000002").len(), 1);
    // They are heard, and what they show is of no job that is known; they hear nothing.
    let token = w.nodes[next].core.lead.as_ref().unwrap().term << 20;
    for (id, _) in w.places("wk-000001") {
        let body = DirectBody {
            token,
            session: w.workers[&id].session,
            orders: Vec::new(),
        };
        w.direct(&id, &body);
        w.workers.get_mut(&id).unwrap().deaf = true;
    }
    cut(&mut w, false);
    w.run(3.0);
    w.workers.values_mut().for_each(|m| m.deaf = false);
    w.until_done("wk-000002", 40.0);
}

/// A token that nobody gave passed for the sign of a store that has lost data: the leader gave up, and all
/// was rebuilt.
#[test]
fn a_report_that_no_worker_makes_changes_nothing() {
    let (mut w, leader) = begin(87);
    assert_eq!(w.submit(leader, &job("wk-000001", 4, 4.0, 6)), 201);
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
    let (mut w, leader) = begin(88);
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
    assert_eq!(w.submit(leader, &job("wk-000001", 7, 4.0, 20)), 201);
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
    let (mut w, leader) = begin(85);
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
    assert_eq!(w.submit(next, &job("wk-000001", 5, 4.0, 20)), 201);
    w.run(0.2);
    assert!(w.places("wk-000001").iter().any(|(m, _)| *m == id));
    w.add_machine("small", "b");
    w.run(7.0);
    w.until_done("wk-000001", 40.0);
    assert_eq!(w.starts, 5);
}
