//! Transactions that are carried out late, after newer ones.

use super::{eight_machines, fails_without, four_machines, unlimited_job};
use crate::core::simulation::{Link, World};
use crate::guard::Guard;
use crate::job::{MachineId, sample};
use crate::policy::Policy;
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
    let (mut w, leader) = eight_machines(81);
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
    assert_eq!(
        w.submit(leader, &unlimited_job("wk-000001", 10, 4.0, 30)),
        201
    );
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
    let (mut w, leader) = eight_machines(82);
    // In three waves.
    assert_eq!(
        w.submit(leader, &unlimited_job("wk-000001", 24, 4.0, 5)),
        201
    );
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
    let (mut w, leader) = eight_machines(83);
    assert_eq!(
        w.submit(leader, &unlimited_job("wk-000001", 4, 4.0, 3)),
        201
    );
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
        while !matches!(w.submit(leader, &unlimited_job(&id, 6, 2.0, 2)), 200 | 201) {
            w.run(1.0);
        }
        w.until_done(&id, 40.0);
        assert_eq!(w.leader(), Some(leader));
    }
}

#[test]
fn a_late_write_of_an_old_leader_changes_nothing() {
    let (mut w, leader) = four_machines(5);
    w.submit(leader, &sample("wk-1", 4, 2.0, 30));
    w.run(2.0);
    // The old leader's cancellation is stuck in the network while another leads.
    w.nodes[leader].state = Link::Held;
    let _ = w.cancel(leader, "wk-1");
    w.until(10.0, "a new leader", |w| {
        w.leader().is_some_and(|l| l != leader)
    });
    assert!(!w.held_txns.is_empty());
    w.release();
    w.nodes[leader].state = Link::Good;
    w.until_done("wk-1", 60.0);
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
    assert_eq!(
        w.submit(leader, &unlimited_job("wk-000001", 6, 4.0, 25)),
        201
    );
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
