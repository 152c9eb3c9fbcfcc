//! Cancellations while leadership or workers pass from one controller to another.

use super::{eight_machines, fails_without, unlimited_job};
use crate::core::simulation::{Link, Setup, World};
use crate::guard::Guard;
use crate::job::sample;
use crate::policy::Policy;
use crate::wire::DirectBody;
use std::time::Duration;

/// Every team is at its limit, or has all that the machines hold, when jobs are cancelled on machines that are cut
/// off or hang, and the leader changes shortly before or after.
fn limits_at_a_change_of_leader(ends_after_ms: i64) {
    let (mut w, leader) = eight_machines(1300);
    let terms = w.terms();
    let node = |w: &World| w.leader().unwrap_or(0);
    for n in 1..=6 {
        let id = format!("wk-{n:06}");
        assert_eq!(w.submit(leader, &sample(&id, 1, 4.0, 100)), 201);
    }
    for n in 7..=8 {
        let id = format!("wk-{n:06}");
        assert_eq!(w.submit(leader, &unlimited_job(&id, 1, 4.0, 100)), 201);
    }
    w.run(3.0);
    // Both teams wait for more.
    assert_eq!(w.submit(leader, &sample("wk-000011", 1, 4.0, 5)), 201);
    assert_eq!(
        w.submit(leader, &unlimited_job("wk-000017", 2, 4.0, 5)),
        201
    );
    w.run(1.0);
    assert!(w.places("wk-000011").is_empty(), "its team is at its limit");
    let on = |w: &World, id: &str| w.places(id)[0].0.clone();
    let (cut, hung) = (on(&w, "wk-000001"), on(&w, "wk-000002"));
    w.cloud_down = true;
    w.workers.get_mut(&cut).unwrap().cut = (0..3).collect();
    w.workers.get_mut(&hung).unwrap().hung = true;
    let cancelled = ["wk-000001", "wk-000002", "wk-000003", "wk-000007"];
    if ends_after_ms < 0 {
        w.kill(leader, Duration::from_secs(1));
        w.run(-ends_after_ms as f64 / 1000.0);
    }
    let mut tries = 0;
    while cancelled.iter().any(|id| w.told_final(id).is_none()) {
        for id in cancelled {
            if w.told_final(id).is_none() {
                let at = node(&w);
                w.start_to_cancel(at, id);
            }
        }
        w.run(0.1);
        tries += 1;
        assert!(tries < 200, "cannot be cancelled");
    }
    w.run(ends_after_ms.max(0) as f64 / 1000.0);
    if ends_after_ms >= 0 {
        w.kill(leader, Duration::from_secs(1));
    }
    w.until(15.0, "another leadership", |w| {
        w.leader().is_some() && w.terms() > terms
    });
    // What comes now counts for nothing that the former leader may have started.
    let next = w.leader().unwrap();
    for n in 12..=16 {
        let id = format!("wk-{n:06}");
        let mut tries = 0;
        while !matches!(w.submit(next, &sample(&id, 1, 4.0, 5)), 200 | 201) {
            tries += 1;
            assert!(tries < 20, "{id} is not accepted");
        }
    }
    assert_eq!(w.places("wk-000001").len(), 1, "it is there, unheard");
    w.run(3.0);
    w.workers.get_mut(&hung).unwrap().hung = false;
    w.run(4.0);
    w.workers.get_mut(&cut).unwrap().cut.clear();
    w.cloud_down = false;
    for n in 11..=17 {
        w.until_done(&format!("wk-{n:06}"), 120.0);
    }
}

#[test]
fn what_is_left_of_cancelled_jobs_counts_when_every_team_is_at_its_limit() {
    for ends_after_ms in [-4000, -3000, 0, 100, 500, 2000] {
        limits_at_a_change_of_leader(ends_after_ms);
    }
    fails_without(Guard::Left, "team t uses", || {
        limits_at_a_change_of_leader(0)
    });
}

/// How the work of a controller that serves workers comes to others.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Handover {
    Ends,
    StandsStill,
    /// It keeps its workers and users, and nothing else.
    Alone,
    /// Its workers are sent to another one.
    Moves,
    /// It leads, and gives its lease back.
    Resigns,
    /// It leads, and the state service refuses it.
    Refused,
}

/// Jobs are cancelled one after the other in the seconds around a handover, at any controller. Says how many
/// cancellations were confirmed then while tasks were still there.
fn cancelled_around_a_handover(handover: Handover, delegate: bool) -> u32 {
    let text = format!("delegate = {delegate}\nidle_keep = 600");
    let setup = Setup {
        nodes: 3,
        // A worker's lease, what a leader's word may last, and a moment.
        cancel: Duration::from_millis(13_700),
    };
    let mut w = World::with_setup(1310, Policy::with("handover", &text).unwrap(), setup);
    w.capacity.clear();
    for n in 0..12 {
        w.add_machine("small", ["a", "b"][n % 2]);
    }
    w.until(10.0, "a leader", |w| w.leader().is_some());
    w.run(4.0);
    let leader = w.leader().unwrap();
    let id = |n: u32| format!("wk-{n:06}");
    for n in 0..12 {
        assert_eq!(w.submit(leader, &unlimited_job(&id(n), 1, 4.0, 200)), 201);
    }
    let leads = matches!(handover, Handover::Resigns | Handover::Refused);
    let from = if leads { leader } else { (leader + 1) % 3 };
    w.workers.values_mut().for_each(|m| m.node = from);
    w.run(3.0);
    let begun = w.now;
    let mut met = 0;
    let mut cut_off = false;
    for tick in 0..160 {
        let passed = w.now - begun;
        if passed >= Duration::from_secs(1) && !cut_off {
            cut_off = true;
            match handover {
                Handover::Ends => w.kill(from, Duration::from_secs(20)),
                Handover::StandsStill => w.nodes[from].frozen = true,
                Handover::Alone => {
                    (w.nodes[from].state, w.nodes[from].peers) = (Link::Held, false);
                    let others = || (0..3).filter(|n| *n != from).collect();
                    w.workers.values_mut().for_each(|m| m.cut = others());
                    w.hold_commands = true;
                }
                Handover::Moves => {
                    w.workers.values_mut().for_each(|m| m.node = (from + 1) % 3);
                }
                Handover::Resigns => w.nodes[from].core.resign("another one is to lead"),
                Handover::Refused => w.nodes[from].state = Link::Refused,
            }
        }
        for n in 0..12 {
            let due = passed >= Duration::from_millis(400 * u64::from(n)) && tick % 4 == n % 4;
            if due && w.told_final(&id(n)).is_none() {
                let at = w.random(3);
                w.start_to_cancel(at, &id(n));
            }
        }
        let told = w.cancelled.len();
        w.tick();
        if w.cancelled.len() > told && cut_off {
            let new = (0..12).filter(|n| w.cancelled.get(&id(*n)) == Some(&w.now));
            met += new.filter(|n| !w.places(&id(*n)).is_empty()).count() as u32;
        }
    }
    // The simulation looks on until every cancellation should have been carried out.
    w.run(14.0);
    w.nodes[from].frozen = false;
    (w.nodes[from].state, w.nodes[from].peers) = (Link::Good, true);
    w.workers.values_mut().for_each(|m| m.cut.clear());
    w.hold_commands = false;
    w.release();
    for n in 0..12 {
        let mut tries = 0;
        while w.told_final(&id(n)).is_none() {
            w.cancel(tries % 3, &id(n));
            tries += 1;
            assert!(tries < 60, "{} cannot be cancelled", id(n));
        }
    }
    w.run(14.0);
    assert_eq!(w.late_starts, 0, "started after its user was told");
    met
}

#[test]
fn cancellations_around_a_handover_are_carried_out_in_time() {
    use Handover::{Alone, Ends, Moves, Refused, Resigns, StandsStill};
    let mut met = 0;
    for handover in [Ends, StandsStill, Alone, Moves, Resigns, Refused] {
        for delegate in [true, false] {
            met += cancelled_around_a_handover(handover, delegate);
        }
    }
    assert!(
        met > 10,
        "{met} were confirmed before their tasks were gone"
    );
    for (guard, handover) in [(Guard::Stopped, Moves), (Guard::Grant, Alone)] {
        fails_without(guard, "of a cancelled job is on", || {
            cancelled_around_a_handover(handover, true);
        });
    }
}

/// The leader keeps its workers and users and nothing else; jobs are cancelled through the next one.
#[test]
fn what_the_next_leader_confirms_holds_for_the_old_ones_workers() {
    for held in [false, true] {
        let (mut w, old) = eight_machines(960);
        assert_eq!(w.submit(old, &unlimited_job("wk-000001", 8, 4.0, 200)), 201);
        w.run(3.0);
        w.workers.values_mut().for_each(|m| {
            m.node = old;
            m.cut = (0..3).filter(|n| *n != old).collect();
        });
        w.hold_commands = held;
        (w.nodes[old].state, w.nodes[old].peers) = (Link::Held, false);
        let mut asked = 0;
        while w.told_final("wk-000001").is_none() {
            assert!(asked < 40, "nobody cancels it");
            // The old one would stop them at once, though it can confirm nothing.
            for node in (0..3).filter(|n| *n != old) {
                w.start_to_cancel(node, "wk-000001");
            }
            w.run(0.5);
            asked += 1;
        }
        assert_eq!(
            w.places("wk-000001").len(),
            8,
            "all are there when its user is told"
        );
        assert_ne!(w.leader(), Some(old));
        // Users of the old one are not told otherwise.
        for _ in 0..10 {
            w.show(old, "wk-000001");
            w.run(1.0);
        }
        w.run(10.0);
        assert!(w.places("wk-000001").is_empty());
    }
}

/// A job was cancelled while some of its machines could not be reached, and all controllers ended: its tasks
/// counted towards nobody's limit, and what came next took its team beyond it.
#[test]
fn what_may_be_left_of_a_cancelled_job_counts_towards_its_teams_limit() {
    let (mut w, leader) = eight_machines(86);
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
