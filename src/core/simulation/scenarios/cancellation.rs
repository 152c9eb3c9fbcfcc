//! Cancellations: one outcome for each, nothing started after it, everything stopped in time.

use super::{eight_machines, fails_without, follower, four_machines, unlimited_job};
use crate::core::losses::late_cancellations;
use crate::core::simulation::{Link, Setup, World, settings};
use crate::guard::Guard;
use crate::job::{MachineId, sample};
use crate::policy::Policy;
use crate::wire::JobState;
use std::time::Duration;

#[test]
fn a_cancellation_without_an_answer_is_never_unsaid() {
    let (mut w, leader) = four_machines(4);
    w.submit(leader, &sample("wk-1", 8, 2.0, 60));
    w.run(3.0);
    // Its end is committed, but the leader does not learn so.
    w.nodes[leader].state = Link::AnswersLost;
    let _ = w.cancel(leader, "wk-1");
    w.nodes[leader].state = Link::Refused;
    // The others read it from the state service and say so.
    let other = follower(leader);
    let (_, state) = w.show(other, "wk-1");
    if state == Some(JobState::Cancelled) {
        // The old leader may repeat that or say nothing, but not that it runs: `World` checks.
        w.show(leader, "wk-1");
    }
    w.nodes[leader].state = Link::Good;
    w.run(8.0);
    assert_eq!(w.cancel(other, "wk-1"), (200, Some(JobState::Cancelled)));
    w.run(25.0);
    assert!(w.places("wk-1").is_empty());
}

#[test]
fn a_start_in_doubt_counts_for_the_limit_and_is_outlived_by_a_cancellation() {
    let (mut w, leader) = four_machines(8);
    // Team t may use 24 CPUs; give it more machines than that.
    for _ in 0..4 {
        w.add_machine("large", "a");
    }
    w.run(3.0);
    w.hold_commands = true;
    w.submit(leader, &sample("wk-1", 6, 4.0, 20));
    w.run(0.5);
    assert_eq!(w.submit(leader, &sample("wk-2", 6, 4.0, 20)), 201);
    let (_, state) = w.cancel(leader, "wk-1");
    assert_eq!(state, Some(JobState::Cancelled));
    w.hold_commands = false;
    w.run(4.0);
    // `World` would notice if these pushed the team over its limit or ran after the end.
    w.release();
    w.until_done("wk-2", 60.0);
    w.run(25.0);
    assert!(w.places("wk-1").is_empty());
}

#[test]
fn a_cancellation_beats_a_start_on_its_way() {
    for delay in 0..6 {
        let (mut w, leader) = four_machines(9);
        w.submit(leader, &sample("wk-1", 8, 2.0, 100));
        w.run(f64::from(delay) * 0.1);
        let (_, state) = w.cancel(follower(leader), "wk-1");
        assert_eq!(state, Some(JobState::Cancelled));
        w.run(25.0);
        assert!(w.places("wk-1").is_empty());
        assert_eq!(w.show(leader, "wk-1").1, Some(JobState::Cancelled));
    }
}

/// Whether a cancellation, questions and repetitions come shortly before, at or after the end of the last
/// task, with the end written, refused or written without an answer: one final answer, everywhere.
#[test]
fn a_cancellation_at_the_end_of_the_last_task_has_one_outcome() {
    let mut outcomes = [0, 0];
    for (n, early_ms) in (0..12).map(|n| (n, n * 100)) {
        for link in [
            Link::Good,
            Link::AnswersLost,
            Link::Refused,
            Link::WritesHeld,
        ] {
            let (mut w, leader) = eight_machines(900 + n);
            w.slow = Duration::from_millis(n * 20);
            let spec = unlimited_job("wk-000001", 3, 4.0, 4);
            assert_eq!(w.submit(leader, &spec), 201);
            w.until(9.0, "all run", |w| w.places("wk-000001").len() == 3);
            let ends = w.now + Duration::from_millis(3500) + Duration::from_millis(early_ms);
            w.until(6.0, "the end", |w| w.now >= ends);
            w.nodes[leader].state = link;
            for node in 0..3 {
                w.start_to_cancel(node, "wk-000001");
                w.ask_at_once_of(node, &spec);
            }
            w.run(1.0);
            w.nodes[leader].state = Link::Good;
            w.release();
            // The world fails at two different final answers, at `done` ahead of time, at a 404.
            let mut told = None;
            for _ in 0..40 {
                for node in 0..3 {
                    w.start_to_cancel(node, "wk-000001");
                    let (_, state) = w.show(node, "wk-000001");
                    told = told.or(state.filter(|s| *s != JobState::Running));
                    assert!(matches!(w.submit(node, &spec), 0 | 200 | 503));
                }
                if w.told_final("wk-000001").is_some() {
                    break;
                }
            }
            match w.told_final("wk-000001") {
                Some(JobState::Done) => outcomes[0] += 1,
                Some(JobState::Cancelled) => outcomes[1] += 1,
                other => panic!("said to be {other:?}"),
            }
            w.run(15.0);
            assert!(w.places("wk-000001").is_empty());
        }
    }
    let [done, cancelled] = outcomes;
    assert!(
        done > 4 && cancelled > 4,
        "{done} done, {cancelled} cancelled"
    );
}

/// Tasks whose images are being fetched, and starts on their way, when the user is told.
fn cancelled_while_it_starts(fetch_ms: u64) {
    let (mut w, leader) = eight_machines(920);
    w.fetch = Duration::from_millis(fetch_ms);
    let slow = Duration::from_millis(300);
    for n in 0..16 {
        let id = format!("wk-{:06}", n + 1);
        assert_eq!(w.submit(leader, &unlimited_job(&id, 8, 4.0, 20)), 201);
        w.until(15.0, "it starts", |w| w.places(&id).len() == 8);
        // The leader hears late that the cancellation is durable; another controller tells its user.
        w.slow = slow;
        w.nodes[leader].lags = true;
        w.run(f64::from(n) * 0.05);
        let begun = w.now;
        while w.told_final(&id).is_none() {
            assert!(
                w.now < begun + Duration::from_secs(8),
                "{id} cannot be cancelled"
            );
            for node in 0..3 {
                w.start_to_cancel(node, &id);
            }
            w.tick();
        }
        w.slow = Duration::ZERO;
        w.nodes[leader].lags = false;
        assert_eq!(w.late_starts, 0, "it starts after its user was told");
        w.run(3.0);
    }
}

#[test]
fn nothing_begins_after_its_user_was_told_of_the_cancellation() {
    cancelled_while_it_starts(600);
    fails_without(Guard::Early, "it starts after its user was told", || {
        cancelled_while_it_starts(600)
    });
}

/// Machines that hang at the cancellation and go on later: within their lease or after it, with the leader
/// there or gone, with the cloud there or away.
#[test]
fn tasks_of_a_cancelled_job_do_not_go_on_when_their_machine_has_hung() {
    let mut resumed = 0;
    for hang in [1.0, 4.0, 8.0, 9.5, 14.0, 25.0] {
        for (cloud_down, leader_ends) in [(false, false), (true, false), (true, true)] {
            let (mut w, leader) = eight_machines(930);
            assert_eq!(
                w.submit(leader, &unlimited_job("wk-000001", 8, 4.0, 200)),
                201
            );
            w.run(2.0);
            w.cloud_down = cloud_down;
            let hung: Vec<MachineId> = w.workers.keys().take(3).cloned().collect();
            for id in &hung {
                w.workers.get_mut(id).unwrap().hung = true;
            }
            w.run(0.3);
            let told = w.cancel(leader, "wk-000001");
            assert_eq!(told, (200, Some(JobState::Cancelled)));
            if leader_ends {
                w.kill(leader, Duration::from_secs(5));
            }
            w.run(hang);
            for id in &hung {
                if let Some(m) = w.workers.get_mut(id) {
                    m.hung = false;
                    resumed += u32::from(!m.tasks.is_empty());
                }
            }
            w.release();
            w.run(2.0);
            assert!(hang > 20.0 || w.now < w.cancelled["wk-000001"] + w.setup.cancel);
            let left = w.places("wk-000001");
            // A new leader has yet to hear of what it holds, but its lease ends all the same.
            assert!(left.is_empty() || leader_ends, "{hang} s: {left:?} goes on");
            w.run(22.0);
            assert!(w.places("wk-000001").is_empty());
        }
    }
    assert!(resumed >= 12, "{resumed} machines went on with it");
}

/// Where a cancellation may take less than a lease, users are told when nothing is left.
fn cancelled_in_less_than_a_lease() -> u32 {
    let mut least = u32::MAX;
    let setup = Setup {
        nodes: 3,
        cancel: Duration::from_secs(6),
    };
    for cloud_down in [false, true] {
        let policy = Policy::with("short", "delegate = true\nidle_keep = 600").unwrap();
        let mut w = World::with_setup(1010, policy, setup);
        w.capacity.clear();
        for zone in ["a", "b", "a", "b"] {
            w.add_machine("small", zone);
        }
        w.until(10.0, "a leader", |w| w.leader().is_some());
        w.run(4.0);
        let leader = w.leader().unwrap();
        assert_eq!(
            w.submit(leader, &unlimited_job("wk-000001", 4, 4.0, 100)),
            201
        );
        w.run(2.0);
        w.cloud_down = cloud_down;
        let cut = w.workers.values_mut().next().unwrap();
        cut.cut = (0..3).collect();
        let mut tries = 0;
        while w.told_final("wk-000001").is_none() {
            w.start_to_cancel(leader, "wk-000001");
            w.run(0.5);
            tries += 1;
            assert!(tries < 60, "its user is never told");
        }
        least = least.min(tries);
        w.run(12.0);
    }
    least
}

#[test]
fn a_cancellation_is_confirmed_only_where_it_is_certain_in_time() {
    // Operators are warned of it.
    let warned = |cancel: u64| {
        let cancel = Duration::from_secs(cancel);
        late_cancellations(&settings("n0", Setup { nodes: 3, cancel }))
    };
    assert!(warned(20).is_none());
    assert!(
        warned(6)
            .unwrap()
            .starts_with("params.workers.cancel_s: 6 s is less than")
    );
    let waited = cancelled_in_less_than_a_lease();
    assert!(waited > 3, "told before it is certain");
    fails_without(Guard::InTime, "of a cancelled job is on", || {
        cancelled_in_less_than_a_lease();
    });
}

/// One-task jobs come four a second for two minutes, a quarter of them cancelled, while the state service answers
/// late: writes are few, nothing piles up, and each job is over soon.
fn many_short_jobs() {
    let (mut w, leader) = eight_machines(1320);
    w.slow = Duration::from_millis(700);
    let before = w.changes();
    let id = |n: u32| format!("wk-{n:06}");
    let (mut n, mut cancelled) = (0, 0);
    let begun = w.now;
    while w.now < begun + Duration::from_secs(120) {
        let spec = unlimited_job(&id(n), 1, 1.0, 2);
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
    let (mut w, leader) = eight_machines(1330);
    w.fetch = Duration::from_millis(700);
    assert_eq!(
        w.submit(leader, &unlimited_job("wk-000001", 8, 4.0, 3)),
        201
    );
    assert_eq!(
        w.submit(leader, &unlimited_job("wk-000002", 8, 4.0, 60)),
        201
    );
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
