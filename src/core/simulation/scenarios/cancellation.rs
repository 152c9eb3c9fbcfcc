//! Cancellations that meet limits, moving work and high rates: teams at their limit, workers whose controller
//! changes, machines that don't report, and many short jobs. The simulation fails where something of a
//! cancelled job is on a machine for too long, or a team is beyond its limit.

use crate::core::simulation::scenarios::combined_faults::fails_without;
use crate::core::simulation::scenarios::partitions::{begin, job};
use crate::core::simulation::{Link, Setup, World};
use crate::guard::Guard;
use crate::job::{MachineId, Rank, sample};
use crate::policy::Policy;
use crate::wire::JobState;
use std::time::Duration;

/// Every team is at its limit, or has all that the machines hold, when jobs are cancelled on machines that are cut
/// off or hang, and the leader changes shortly before or after.
fn limits_at_a_change_of_leader(ends_after_ms: i64) {
    let (mut w, leader) = begin(1300);
    let terms = w.terms();
    let node = |w: &World| w.leader().unwrap_or(0);
    for n in 1..=6 {
        let id = format!("wk-{n:06}");
        assert_eq!(w.submit(leader, &sample(&id, 1, 4.0, 100)), 201);
    }
    for n in 7..=8 {
        let id = format!("wk-{n:06}");
        assert_eq!(w.submit(leader, &job(&id, 1, 4.0, 100)), 201);
    }
    w.run(3.0);
    // Both teams wait for more.
    assert_eq!(w.submit(leader, &sample("wk-000011", 1, 4.0, 5)), 201);
    assert_eq!(w.submit(leader, &job("wk-000017", 2, 4.0, 5)), 201);
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
        assert_eq!(w.submit(leader, &job(&id(n), 1, 4.0, 200)), 201);
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

/// One-task jobs come four a second for two minutes, a quarter of them cancelled, while the state service answers
/// late: writes are few, nothing piles up, and each job is over soon.
fn many_short_jobs() {
    let (mut w, leader) = begin(1320);
    w.slow = Duration::from_millis(700);
    let before = w.changes();
    let id = |n: u32| format!("wk-{n:06}");
    let (mut n, mut cancelled) = (0, 0);
    let begun = w.now;
    while w.now < begun + Duration::from_secs(120) {
        let spec = job(&id(n), 1, 1.0, 2);
        w.knows(&spec);
        w.ask_at_once_of(n as usize % 3, &spec);
        w.run(0.25);
        if n % 4 == 3 {
            // Right after it was accepted, in its midst, or as it ends.
            let which = id(n.saturating_sub(n / 4 % 3 * 4));
            w.start_to_cancel(n as usize % 3, &which);
            cancelled += 1;
        }
        n += 1;
        if n % 40 == 0 {
            let over = |v: &serde_json::Value| v.get("end").is_some();
            let live = w.stored("burlusher/").into_values().filter(|v| !over(v));
            let live = live.count();
            assert!(
                live < 110,
                "{live} keys of what is not over, after {n} jobs"
            );
            let core = &w.nodes[leader].core;
            let lead = core.lead.as_ref().expect("it leads on");
            assert!(lead.runs.len() < 80, "{} live jobs", lead.runs.len());
            assert!(
                lead.writes.ends.len() < 40,
                "{} ends wait",
                lead.writes.ends.len()
            );
            assert!(core.pending.len() < 80, "{} calls wait", core.pending.len());
            let known = core.mirror.versions.known();
            assert!(known < 200, "{known} versions are kept, after {n} jobs");
            assert!(core.mirror.litter.len() < 40);
        }
    }
    assert!(
        n > 400 && cancelled > 100,
        "{n} jobs, {cancelled} cancelled"
    );
    w.slow = Duration::ZERO;
    w.run(8.0);
    for n in 0..n {
        let state = w.show(n as usize % 3, &id(n)).1;
        let over = matches!(state, Some(JobState::Done | JobState::Cancelled));
        assert!(over, "{} is {state:?}", id(n));
    }
    // Its creation, its end, and now and then what was done or a page of machines.
    let changes = (w.changes() - before) as f64 / f64::from(n);
    assert!(changes < 3.0, "{changes} changes a job");
}

#[test]
fn many_short_jobs_leave_nothing_behind() {
    many_short_jobs();
    fails_without(Guard::Forget, "versions are kept", many_short_jobs);
}

/// Starts that went out with the answer to a report, and that no report has shown, when their job is cancelled.
fn cancelled_before_a_report_shows_it() {
    let (mut w, leader) = begin(1330);
    w.fetch = Duration::from_millis(700);
    assert_eq!(w.submit(leader, &job("wk-000001", 8, 4.0, 3)), 201);
    assert_eq!(w.submit(leader, &job("wk-000002", 8, 4.0, 60)), 201);
    let calls: u32 = w.nodes.iter().map(|n| n.calls).sum();
    w.until(12.0, "the second starts", |w| {
        w.places("wk-000002").len() >= 6
    });
    let called = w.nodes.iter().map(|n| n.calls).sum::<u32>() - calls;
    assert!(called < 8 + 6, "they were started in answers");
    assert_eq!(w.cancel(leader, "wk-000002").0, 200);
    w.run(3.0);
    assert_eq!(w.late_starts, 0, "it starts after its user was told");
}

#[test]
fn starts_that_no_report_has_shown_are_stopped_with_their_job() {
    cancelled_before_a_report_shows_it();
    fails_without(
        Guard::UnseenStops,
        "it starts after its user was told",
        cancelled_before_a_report_shows_it,
    );
}

/// Machines that reach no controller answer direct commands, again and again: they get no new work, which would
/// die with their lease.
fn commands_go_on_to_machines_that_do_not_report() {
    let (mut w, leader) = begin(1340);
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
        let mut spec = job(&id, 16, 1.0, 60);
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

/// The only machine that fits has failed with a job that fails everywhere; a sound one that comes later does not
/// wait for it for a minute and a half.
fn the_only_machine_has_failed() {
    let policy = Policy::with("avoided", "idle_keep = 600").unwrap();
    let mut w = World::with_policy(1350, policy);
    w.capacity.clear();
    w.add_machine("small", "a");
    w.until(10.0, "a leader", |w| w.leader().is_some());
    w.run(4.0);
    let leader = w.leader().unwrap();
    w.broken_jobs.insert("wk-000001".into());
    assert_eq!(w.submit(leader, &job("wk-000001", 1, 4.0, 5)), 201);
    w.until(200.0, "it has failed five times", |w| w.starts >= 5);
    w.run(1.5);
    assert_eq!(w.submit(leader, &job("wk-000002", 1, 4.0, 3)), 201);
    w.until_done("wk-000002", 120.0);
}

#[test]
fn a_machine_that_has_failed_is_not_avoided_for_long() {
    the_only_machine_has_failed();
    fails_without(
        Guard::Avoid,
        "waits for 90 s while",
        the_only_machine_has_failed,
    );
}

/// A row may be on another machine than the one that is known first: the zone of that counts as well where a
/// job's tasks are to be together.
fn together_with_a_row_that_may_be_elsewhere() {
    let policy = Policy::with("zones", "idle_keep = 600").unwrap();
    let mut w = World::with_policy(1360, policy);
    w.capacity.clear();
    let first = w.add_machine("small", "b");
    w.until(10.0, "a leader", |w| w.leader().is_some());
    w.run(4.0);
    let leader = w.leader().unwrap();
    let mut spec = job("wk-000001", 2, 4.0, 12);
    spec.one_zone = true;
    assert_eq!(w.submit(leader, &spec), 201);
    w.run(1.0);
    assert_eq!(w.places("wk-000001")[0].0, first);
    let other = w.add_machine("small", "a");
    w.run(2.0);
    assert_eq!(
        w.places("wk-000001").len(),
        1,
        "there is no room in its zone"
    );
    // An old copy was heard first: the row is on record there, and where it really is as well.
    let lead = w.nodes[leader].core.lead.as_mut().unwrap();
    let run = lead.runs.get_mut("wk-000001").unwrap();
    let row = *run.placed.keys().next().unwrap();
    run.placed.insert(row, other);
    run.also.insert(row, vec![first]);
    (lead.plan_again, lead.planned) = (true, None);
    w.run(0.3);
    w.until_done("wk-000001", 60.0);
}

#[test]
fn zones_count_in_which_a_row_only_may_be() {
    together_with_a_row_that_may_be_elsewhere();
    fails_without(
        Guard::Zones,
        "apart from",
        together_with_a_row_that_may_be_elsewhere,
    );
}

/// More of a high rank than its team may use, without end: a job of a low rank begins within four minutes.
fn a_low_rank_behind_more_than_the_limit() {
    let (mut w, leader) = begin(1370);
    let mut low = sample("wk-900001", 4, 4.0, 5);
    low.rank = Rank::Low;
    let mut submitted = None;
    for n in 0..560u32 {
        let mut urgent = sample(&format!("wk-{n:06}"), 1, 4.0, 8);
        urgent.rank = Rank::High;
        w.ask_at_once_of(leader, &urgent);
        w.knows(&urgent);
        w.run(0.6);
        if n == 117 {
            assert_eq!(w.submit(leader, &low), 201);
            submitted = Some(w.now);
        }
        let begun = !w.places("wk-900001").is_empty() || w.any_completed("wk-900001");
        if let Some(at) = submitted {
            let waited = w.now - at;
            assert!(
                begun || waited < Duration::from_secs(240),
                "it has not begun"
            );
        }
    }
}

#[test]
fn a_low_rank_begins_behind_more_than_its_teams_limit() {
    a_low_rank_behind_more_than_the_limit();
    fails_without(
        Guard::Longest,
        "it has not begun",
        a_low_rank_behind_more_than_the_limit,
    );
}
