//! Cancellations while leadership or workers pass from one controller to another.

use super::{eight_machines, unlimited_job};
use crate::core::simulation::{Link, Setup, Simulation, fails_without};
use crate::fault_injection::Safeguard;
use crate::job::sample;
use crate::policy::Policy;
use crate::wire::DirectCommands;
use std::time::Duration;

/// Every team is at its limit, or has all that the machines hold, when jobs are cancelled on machines that are cut
/// off or hang, and the leader changes shortly before or after.
fn limits_at_a_change_of_leader(ends_after_ms: i64) {
    let (mut simulation, leader) = eight_machines(1300);
    let terms = simulation.terms();
    let node = |simulation: &Simulation| simulation.leader().unwrap_or(0);
    for n in 1..=6 {
        let id = format!("wk-{n:06}");
        assert_eq!(simulation.submit(leader, &sample(&id, 1, 4.0, 100)), 201);
    }
    for n in 7..=8 {
        let id = format!("wk-{n:06}");
        assert_eq!(
            simulation.submit(leader, &unlimited_job(&id, 1, 4.0, 100)),
            201
        );
    }
    simulation.run(3.0);
    // Both teams wait for more.
    assert_eq!(
        simulation.submit(leader, &sample("wk-000011", 1, 4.0, 5)),
        201
    );
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-000017", 2, 4.0, 5)),
        201
    );
    simulation.run(1.0);
    assert!(
        simulation.places("wk-000011").is_empty(),
        "its team is at its limit"
    );
    let on = |simulation: &Simulation, id: &str| simulation.places(id)[0].0.clone();
    let (cut, hung) = (on(&simulation, "wk-000001"), on(&simulation, "wk-000002"));
    simulation.faults.cloud_down = true;
    simulation.partition_worker(&cut);
    simulation.workers.get_mut(&hung).unwrap().hung = true;
    let cancelled = ["wk-000001", "wk-000002", "wk-000003", "wk-000007"];
    if ends_after_ms < 0 {
        simulation.kill(leader, Duration::from_secs(1));
        simulation.run(-ends_after_ms as f64 / 1000.0);
    }
    let mut tries = 0;
    while cancelled
        .iter()
        .any(|id| simulation.final_answer(id).is_none())
    {
        for id in cancelled {
            if simulation.final_answer(id).is_none() {
                let at = node(&simulation);
                simulation.cancel_without_waiting(at, id);
            }
        }
        simulation.run(0.1);
        tries += 1;
        assert!(tries < 200, "cannot be cancelled");
    }
    simulation.run(ends_after_ms.max(0) as f64 / 1000.0);
    if ends_after_ms >= 0 {
        simulation.kill(leader, Duration::from_secs(1));
    }
    simulation.until(15.0, "another leadership", |simulation| {
        simulation.leader().is_some() && simulation.terms() > terms
    });
    // What comes now counts for nothing that the former leader may have started.
    let next = simulation.leader().unwrap();
    for n in 12..=16 {
        let id = format!("wk-{n:06}");
        let mut tries = 0;
        while !matches!(simulation.submit(next, &sample(&id, 1, 4.0, 5)), 200 | 201) {
            tries += 1;
            assert!(tries < 20, "{id} is not accepted");
        }
    }
    assert_eq!(
        simulation.places("wk-000001").len(),
        1,
        "it is there, unheard"
    );
    simulation.run(3.0);
    simulation.workers.get_mut(&hung).unwrap().hung = false;
    simulation.run(4.0);
    simulation
        .workers
        .get_mut(&cut)
        .unwrap()
        .partitioned_from
        .clear();
    simulation.faults.cloud_down = false;
    for n in 11..=17 {
        simulation.until_done(&format!("wk-{n:06}"), 120.0);
    }
}

#[test]
fn residual_tasks_count_when_teams_at_limit() {
    for ends_after_ms in [-4000, -3000, 0, 100, 500, 2000] {
        limits_at_a_change_of_leader(ends_after_ms);
    }
    fails_without(Safeguard::ResidualUsage, "team t uses", || {
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
    let mut simulation =
        Simulation::with_setup(1310, Policy::with("handover", &text).unwrap(), setup);
    simulation.capacity.clear();
    simulation.add_machines("small", 12);
    let leader = simulation.run_until_leader(4.0);
    let id = |n: u32| format!("wk-{n:06}");
    for n in 0..12 {
        assert_eq!(
            simulation.submit(leader, &unlimited_job(&id(n), 1, 4.0, 200)),
            201
        );
    }
    let leads = matches!(handover, Handover::Resigns | Handover::Refused);
    let from = if leads { leader } else { (leader + 1) % 3 };
    simulation.workers.values_mut().for_each(|m| m.node = from);
    simulation.run(3.0);
    let begun = simulation.now;
    let mut met = 0;
    let mut cut_off = false;
    for tick in 0..160 {
        let passed = simulation.now - begun;
        if passed >= Duration::from_secs(1) && !cut_off {
            cut_off = true;
            match handover {
                Handover::Ends => simulation.kill(from, Duration::from_secs(20)),
                Handover::StandsStill => simulation.nodes[from].paused = true,
                Handover::Alone => {
                    (
                        simulation.nodes[from].state,
                        simulation.nodes[from].peers_reachable,
                    ) = (Link::Held, false);
                    let others = || (0..3).filter(|n| *n != from).collect();
                    simulation
                        .workers
                        .values_mut()
                        .for_each(|m| m.partitioned_from = others());
                    simulation.faults.hold_commands = true;
                }
                Handover::Moves => {
                    simulation
                        .workers
                        .values_mut()
                        .for_each(|m| m.node = (from + 1) % 3);
                }
                Handover::Resigns => simulation.nodes[from].core.resign("another one is to lead"),
                Handover::Refused => simulation.nodes[from].state = Link::Refused,
            }
        }
        for n in 0..12 {
            let due = passed >= Duration::from_millis(400 * u64::from(n)) && tick % 4 == n % 4;
            if due && simulation.final_answer(&id(n)).is_none() {
                let at = simulation.random(3);
                simulation.cancel_without_waiting(at, &id(n));
            }
        }
        let told = simulation.checker.cancelled_at.len();
        simulation.tick();
        if simulation.checker.cancelled_at.len() > told && cut_off {
            let new = (0..12)
                .filter(|n| simulation.checker.cancelled_at.get(&id(*n)) == Some(&simulation.now));
            met += new
                .filter(|n| !simulation.places(&id(*n)).is_empty())
                .count() as u32;
        }
    }
    // The simulation looks on until every cancellation should have been carried out.
    simulation.run(14.0);
    simulation.nodes[from].paused = false;
    (
        simulation.nodes[from].state,
        simulation.nodes[from].peers_reachable,
    ) = (Link::Good, true);
    simulation.heal_worker_partitions();
    simulation.faults.hold_commands = false;
    simulation.release();
    for n in 0..12 {
        let mut tries = 0;
        while simulation.final_answer(&id(n)).is_none() {
            simulation.cancel(tries % 3, &id(n));
            tries += 1;
            assert!(tries < 60, "{} cannot be cancelled", id(n));
        }
    }
    simulation.run(14.0);
    assert_eq!(
        simulation.counters.late_starts, 0,
        "started after its user was told"
    );
    met
}

#[test]
fn cancellations_around_handover_finish_in_time() {
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
    for (guard, handover) in [
        (Safeguard::StopEndedJobs, Moves),
        (Safeguard::GrantExpiry, Alone),
    ] {
        fails_without(guard, "of a cancelled job is on", || {
            cancelled_around_a_handover(handover, true);
        });
    }
}

/// The leader keeps its workers and users and nothing else; jobs are cancelled through the next one.
#[test]
fn cancellation_by_next_leader_reaches_old_workers() {
    for held in [false, true] {
        let (mut simulation, old) = eight_machines(960);
        assert_eq!(
            simulation.submit(old, &unlimited_job("wk-000001", 8, 4.0, 200)),
            201
        );
        simulation.run(3.0);
        simulation.workers.values_mut().for_each(|m| {
            m.node = old;
            m.partitioned_from = (0..3).filter(|n| *n != old).collect();
        });
        simulation.faults.hold_commands = held;
        (
            simulation.nodes[old].state,
            simulation.nodes[old].peers_reachable,
        ) = (Link::Held, false);
        let mut asked = 0;
        while simulation.final_answer("wk-000001").is_none() {
            assert!(asked < 40, "nobody cancels it");
            // The old one would stop them at once, though it can confirm nothing.
            for node in (0..3).filter(|n| *n != old) {
                simulation.cancel_without_waiting(node, "wk-000001");
            }
            simulation.run(0.5);
            asked += 1;
        }
        assert_eq!(
            simulation.places("wk-000001").len(),
            8,
            "all are there when its user is told"
        );
        assert_ne!(simulation.leader(), Some(old));
        // Users of the old one are not told otherwise.
        for _ in 0..10 {
            simulation.show(old, "wk-000001");
            simulation.run(1.0);
        }
        simulation.run(10.0);
        assert!(simulation.places("wk-000001").is_empty());
    }
}

/// A job was cancelled while some of its machines could not be reached, and all controllers ended: its tasks
/// counted towards nobody's limit, and what came next took its team beyond it.
#[test]
fn possible_residual_tasks_count_towards_limit() {
    let (mut simulation, leader) = eight_machines(86);
    // Of the team that may use 24.
    assert_eq!(
        simulation.submit(leader, &sample("wk-000001", 5, 4.0, 60)),
        201
    );
    simulation.run(3.0);
    let cut = |simulation: &mut Simulation, on: bool| {
        for m in simulation
            .workers
            .values_mut()
            .filter(|m| !(on && m.tasks.is_empty()))
        {
            m.partitioned_from = (0..3).filter(|_| on).collect();
        }
    };
    cut(&mut simulation, true);
    simulation.faults.cloud_down = true;
    assert_eq!(simulation.cancel(leader, "wk-000001").0, 200);
    (0..3).for_each(|n| simulation.kill(n, Duration::from_millis(300)));
    simulation.until(8.0, "another leader", |simulation| {
        simulation.leader().is_some()
    });
    let next = simulation.leader().unwrap();
    assert_eq!(
        simulation.submit(next, &sample("wk-000002", 6, 4.0, 3)),
        201
    );
    simulation.run(1.0);
    // The simulation checks the limit; what is certain to be within it is not held up.
    assert_eq!(
        simulation.places("wk-000001").len(),
        5,
        "they are still there"
    );
    assert_eq!(simulation.places("wk-000002").len(), 1);
    // They are heard, and what they show is of no job that is known; they hear nothing.
    let token = simulation.nodes[next].core.leader.as_ref().unwrap().term << 20;
    for (id, _) in simulation.places("wk-000001") {
        let body = DirectCommands {
            fencing_token: token,
            incarnation: simulation.workers[&id].incarnation,
            commands: Vec::new(),
        };
        simulation.direct(&id, &body);
        simulation.workers.get_mut(&id).unwrap().inbound_partitioned = true;
    }
    cut(&mut simulation, false);
    simulation.run(3.0);
    simulation
        .workers
        .values_mut()
        .for_each(|m| m.inbound_partitioned = false);
    simulation.until_done("wk-000002", 40.0);
}
