//! Direct commands that are carried out late or once more.

use super::{eight_machines, fails_without, four_machines, unlimited_job};
use crate::core::simulation::Link;
use crate::guard::Guard;
use crate::job::{MachineId, sample};
use crate::wire::{JobState, Order};
use std::time::Duration;

/// A leader's starts are held up on their way; it ends, or is deposed, another one begins and hears the others,
/// and then they arrive at machines that have seen neither the new token nor anything else.
fn commands_of_a_former_leader(after_s: f64, deposed: bool) {
    let (mut w, leader) = eight_machines(1220);
    // Machines have reported just now, so that starts go out by calls.
    w.hold_commands = true;
    assert_eq!(
        w.submit(leader, &unlimited_job("wk-000001", 4, 4.0, 30)),
        201
    );
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
    let (mut w, _) = eight_machines(1230);
    for n in 0..12u32 {
        w.until(15.0, "a leader", |w| w.leader().is_some());
        let leader = w.leader().unwrap();
        w.late_command_share = 0.5;
        let id = format!("wk-{:06}", n + 1);
        while !matches!(w.submit(leader, &unlimited_job(&id, 4, 2.0, 5)), 200 | 201) {
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

/// After a `clear` the worker does not know the attempt any more: the command that started it, arriving
/// once more, started it anew, by then a task of a job that was cancelled or ran elsewhere.
#[test]
fn a_command_that_comes_again_after_a_clear_is_refused() {
    let (mut w, leader) = eight_machines(65);
    w.copies = Duration::from_secs(3600);
    assert_eq!(
        w.submit(leader, &unlimited_job("wk-000001", 8, 4.0, 2)),
        201
    );
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

#[test]
fn direct_commands_that_arrive_late_start_nothing_twice() {
    let (mut w, leader) = four_machines(7);
    w.hold_commands = true;
    w.submit(leader, &sample("wk-1", 4, 2.0, 6));
    w.run(1.5);
    w.hold_commands = false;
    assert!(!w.held_commands.is_empty());
    w.until_done("wk-1", 40.0);
    w.run(3.0);
    let starts = w.starts;
    // They come when the tasks are long done and cleared.
    w.release();
    w.run(3.0);
    assert_eq!(w.starts, starts);
}

/// Machines answer late, and their commands are held up for seconds: each goes on with what it had, once.
#[test]
fn a_machine_whose_commands_or_answers_are_held_up_goes_on_once() {
    let (mut w, leader) = eight_machines(1020);
    w.hold_commands = true;
    assert_eq!(
        w.submit(leader, &unlimited_job("wk-000001", 6, 2.0, 8)),
        201
    );
    w.run(1.5);
    assert!(!w.held_commands.is_empty(), "none is held up");
    assert_eq!(
        w.submit(leader, &unlimited_job("wk-000002", 4, 2.0, 100)),
        201
    );
    w.run(1.5);
    w.start_to_cancel(leader, "wk-000002");
    w.run(2.0);
    assert_eq!(w.told_final("wk-000002"), Some(JobState::Cancelled));
    w.hold_commands = false;
    w.release();
    w.run(2.0);
    assert!(w.places("wk-000002").is_empty());
    w.until_done("wk-000001", 30.0);
    assert_eq!((w.leader(), w.terms()), (Some(leader), 1));
}
