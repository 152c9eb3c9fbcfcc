//! The users' page of meetings of troubles, each brought about (`docs/added-rules.md`, "The users' page" names
//! the test of every one). Each asserts that the meeting did happen. The world checks the rules at every tick.

use crate::core::losses::late_cancellations;
use crate::core::simulation::scenarios::partitions::{begin, job};
use crate::core::simulation::{LEASE, Link, Setup, World, settings};
use crate::guard::{Guard, OUT};
use crate::job::{JobSpec, Kind, MachineId, Rank};
use crate::policy::Policy;
use crate::wire::JobState;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

/// The same with a guard taken out breaks this rule.
pub fn fails_without(guard: Guard, rule: &str, scenario: impl Fn()) {
    OUT.set(Some(guard));
    let said = catch_unwind(AssertUnwindSafe(scenario)).err();
    OUT.set(None);
    let said = said.and_then(|e| {
        let text = e.downcast_ref::<&str>().map(|s| s.to_string());
        text.or_else(|| e.downcast::<String>().ok().map(|s| *s))
    });
    let said = said.unwrap_or_else(|| panic!("{guard:?} is out, and nothing is found"));
    assert!(said.contains(rule), "{guard:?} is out: {said}");
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
            let (mut w, leader) = begin(900 + n);
            w.slow = Duration::from_millis(n * 20);
            let spec = job("wk-000001", 3, 4.0, 4);
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
    let (mut w, leader) = begin(920);
    w.fetch = Duration::from_millis(fetch_ms);
    let slow = Duration::from_millis(300);
    for n in 0..16 {
        let id = format!("wk-{:06}", n + 1);
        assert_eq!(w.submit(leader, &job(&id, 8, 4.0, 20)), 201);
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
            let (mut w, leader) = begin(930);
            assert_eq!(w.submit(leader, &job("wk-000001", 8, 4.0, 200)), 201);
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

fn mute(w: &mut World, every: usize, on: bool) -> Vec<MachineId> {
    let some = w.workers.iter_mut().step_by(every);
    some.map(|(id, m)| {
        m.mute = on;
        id.clone()
    })
    .collect()
}

/// Machines that reach no controller, while direct commands reach them: what they have is not started
/// elsewhere before its lease has run out, nothing new is started there to die with the lease, and what is
/// cancelled there is stopped by a call at once.
fn muted() {
    let (mut w, leader) = begin(940);
    assert_eq!(w.submit(leader, &job("wk-000001", 4, 4.0, 60)), 201);
    assert_eq!(w.submit(leader, &job("wk-000002", 4, 2.0, 60)), 201);
    w.run(3.0);
    let silent = mute(&mut w, 2, true);
    w.cloud_down = true;
    let calls = w.nodes[leader].calls;
    // The leader tells them something now and then, and they answer.
    for n in 3..7 {
        let id = format!("wk-{n:06}");
        assert_eq!(w.submit(leader, &job(&id, 1, 1.0, 60)), 201);
        w.run(0.7);
    }
    w.run(1.0);
    assert_eq!(w.cancel(leader, "wk-000002").0, 200);
    w.run(0.5);
    assert!(w.places("wk-000002").is_empty(), "stopped by a call");
    assert!(w.nodes[leader].calls > calls);
    let there = |w: &World, id: &str| {
        let places = w.places(id);
        places.iter().filter(|(m, _)| silent.contains(m)).count()
    };
    let lived: usize = (3..7).map(|n| there(&w, &format!("wk-{n:06}"))).sum();
    let starts = w.starts;
    w.run(2.0);
    // From two intervals on they get nothing, though they answered just now.
    for n in 7..11 {
        let id = format!("wk-{n:06}");
        assert_eq!(w.submit(leader, &job(&id, 1, 1.0, 60)), 201);
        w.run(0.3);
        assert_eq!(there(&w, &id), 0, "{id} is started to die with the lease");
        w.cancel(leader, &id);
        w.run(0.7);
    }
    assert!(w.starts > starts && lived < 5);
    w.run(20.0);
    mute(&mut w, 2, false);
    w.cloud_down = false;
    w.until_done("wk-000001", 150.0);
}

#[test]
fn machines_that_reach_no_controller_get_nothing_to_lose_and_lose_nothing_twice() {
    muted();
}

/// A zone with workers and a controller, cut off for longer than a lease, jobs cancelled meanwhile; the
/// controller inside may have led.
#[test]
fn a_zone_cut_off_with_a_controller_comes_back_to_what_was_decided_outside() {
    for leads in [true, false] {
        let (mut w, leader) = begin(950);
        let inside = if leads { leader } else { (leader + 1) % 3 };
        assert_eq!(w.submit(leader, &job("wk-000001", 8, 4.0, 40)), 201);
        assert_eq!(w.submit(leader, &job("wk-000002", 4, 1.0, 200)), 201);
        w.run(3.0);
        (w.nodes[inside].state, w.nodes[inside].peers) = (Link::Held, false);
        for m in w.workers.values_mut() {
            let b = m.zone == "b";
            m.cut = (0..3).filter(|n| (*n == inside) != b).collect();
            m.node = if b { inside } else { (inside + 1) % 3 };
        }
        w.until(10.0, "a leader outside", |w| {
            w.leader().is_some_and(|l| l != inside)
        });
        let next = w.leader().unwrap();
        while w.cancel(next, "wk-000002").1 != Some(JobState::Cancelled) {
            w.run(0.5);
        }
        let there = |w: &World| {
            let places = w.places("wk-000001");
            places
                .iter()
                .filter(|(m, _)| w.workers[m].zone == "b")
                .count()
        };
        assert!(there(&w) > 0, "it holds some");
        w.run(LEASE.as_secs_f64() + 4.0);
        assert_eq!(there(&w), 0, "its leases have run out");
        (w.nodes[inside].state, w.nodes[inside].peers) = (Link::Good, true);
        w.workers.values_mut().for_each(|m| m.cut.clear());
        w.release();
        w.until_done("wk-000001", 120.0);
        for node in 0..3 {
            assert_eq!(w.show(node, "wk-000002").1, Some(JobState::Cancelled));
        }
    }
}

/// The leader keeps its workers and users and nothing else; jobs are cancelled through the next one.
#[test]
fn what_the_next_leader_confirms_holds_for_the_old_ones_workers() {
    for held in [false, true] {
        let (mut w, old) = begin(960);
        assert_eq!(w.submit(old, &job("wk-000001", 8, 4.0, 200)), 201);
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

/// All controllers are away for longer than a lease, with work waiting, running and cancelled before.
#[test]
fn controllers_that_were_all_away_for_longer_than_a_lease_go_on_with_everything() {
    let (mut w, leader) = begin(970);
    assert_eq!(w.submit(leader, &job("wk-000001", 12, 4.0, 12)), 201);
    assert_eq!(w.submit(leader, &job("wk-000002", 6, 4.0, 300)), 201);
    w.run(3.0);
    w.start_to_cancel(leader, "wk-000002");
    w.run(0.2);
    (0..3).for_each(|n| w.kill(n, Duration::from_secs(14 + n as u64)));
    w.run(13.5);
    assert!(w.leader().is_none());
    assert!(
        w.places("wk-000001").is_empty(),
        "their leases have run out"
    );
    w.until_done("wk-000001", 60.0);
    let mut tries = 0;
    while w.cancel(1, "wk-000002").1 != Some(JobState::Cancelled) {
        tries += 1;
        assert!(tries < 10);
    }
}

/// Ten leaders in two minutes, one after the other and also while the state service is away; jobs of two or
/// three tasks that end far apart among them, and jobs cancelled on the way.
#[test]
fn ten_leaders_in_two_minutes_lose_no_job_and_run_none_twice() {
    let (mut w, _) = begin(980);
    // Three tasks one after the other on the only machine of the zone that has room for them.
    let mut apart: JobSpec = job("wk-000001", 3, 4.0, 25);
    apart.zone = Some("b".into());
    let mut ended = 0;
    let mut accepted = Vec::new();
    for n in 0..10u64 {
        w.until(15.0, "a leader", |w| w.leader().is_some());
        let leader = w.leader().unwrap();
        if n == 0 {
            assert_eq!(w.submit(leader, &apart), 201);
        }
        let id = format!("wk-{:06}", n + 2);
        if w.submit(leader, &job(&id, 2, 1.0, 6 + n)) == 201 {
            accepted.push(id.clone());
        }
        w.run(2.0);
        if n % 3 == 2 {
            w.start_to_cancel(leader, &id);
        }
        let leader = w.leader().unwrap_or(leader);
        w.kill(
            leader,
            Duration::from_millis(if n % 2 == 0 { 200 } else { 5000 }),
        );
        ended += 1;
        if n == 5 {
            w.set_outage(true);
            for k in 0..3 {
                w.kill((leader + k) % 3, Duration::from_millis(400));
                w.run(1.0);
            }
            w.set_outage(false);
        }
        w.run(6.0);
    }
    assert_eq!(ended, 10);
    w.run(5.0);
    for id in accepted.iter().chain([&"wk-000001".to_string()]) {
        let (status, state) = w.show(0, id);
        assert_eq!(status, 200, "{id}");
        if !matches!(state, Some(JobState::Cancelled | JobState::Done)) {
            w.until_done(id, 120.0);
        }
    }
}

/// Jobs bound to one zone, spread over two or kept together lose machines, with the leader or without, some of
/// them unheard; the world checks where each task starts against where the others are.
#[test]
fn jobs_bound_to_zones_that_lose_machines_start_again_where_they_may() {
    for leader_ends in [true, false] {
        let (mut w, leader) = begin(990);
        let spec = |n: u32, tasks| job(&format!("wk-{n:06}"), tasks, 2.0, 25);
        let mut bound = spec(1, 4);
        bound.zone = Some("b".into());
        let mut together = spec(2, 4);
        together.one_zone = true;
        let mut apart = spec(3, 5);
        apart.spread = true;
        for spec in [&bound, &together, &apart] {
            assert_eq!(w.submit(leader, spec), 201);
        }
        w.run(3.0);
        let hit: Vec<MachineId> = (1..4)
            .filter_map(|n| Some(w.places(&format!("wk-{n:06}")).first()?.0.clone()))
            .collect();
        assert!(!hit.is_empty());
        for (n, id) in hit.iter().enumerate() {
            match n {
                0 => {
                    w.workers.remove(id);
                }
                _ => {
                    if let Some(m) = w.workers.get_mut(id) {
                        m.cut = (0..3).collect();
                    }
                }
            }
        }
        w.cloud_down = leader_ends;
        if leader_ends {
            w.kill(leader, Duration::from_secs(3));
        }
        w.run(14.0);
        w.cloud_down = false;
        w.workers.values_mut().for_each(|m| m.cut.clear());
        for n in 1..4 {
            w.until_done(&format!("wk-{n:06}"), 120.0);
        }
    }
}

/// More urgent work than room, over slow links: jobs of a low rank, on types that are dear to them, get what
/// fits them and is free; nothing waits for a minute and a half where a machine has room.
fn more_work_than_room() {
    crate::core::simulation::with_log();
    let text = "delegate = true\nidle_keep = 600";
    let mut w = World::with_policy(1001, Policy::with("room", text).unwrap());
    w.capacity.clear();
    for zone in ["a", "b", "a"] {
        w.add_machine("small", zone);
    }
    // At two and a half times the price for twice the room: dear to work that has no aim.
    w.types[1].price = 9.0;
    w.add_machine("large", "a");
    w.until(10.0, "a leader", |w| w.leader().is_some());
    w.run(4.0);
    let leader = w.leader().unwrap();
    let mut wide = job("wk-900001", 2, 4.0, 20);
    (wide.rank, wide.types) = (Rank::Low, Some(vec!["large".into()]));
    let mut low = job("wk-900002", 30, 4.0, 20);
    low.rank = Rank::Low;
    let mut n = 0;
    for round in 0..70 {
        n += 1;
        let mut urgent = job(&format!("wk-{n:06}"), 3, 4.0, 4);
        urgent.rank = Rank::High;
        urgent.types = Some(vec!["small".into()]);
        w.submit(leader, &urgent);
        if round == 3 {
            assert_eq!(w.submit(leader, &wide), 201);
            assert_eq!(w.submit(leader, &low), 201);
        }
        w.run(1.8);
    }
    assert!(!w.places("wk-900002").is_empty() || w.any_completed("wk-900002"));
}

#[test]
fn no_job_waits_for_long_where_a_machine_that_fits_has_room() {
    more_work_than_room();
    fails_without(Guard::Overdue, "waits for 90 s while", more_work_than_room);
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
        assert_eq!(w.submit(leader, &job("wk-000001", 4, 4.0, 100)), 201);
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

/// Machines answer late, and their commands are held up for seconds: each goes on with what it had, once.
#[test]
fn a_machine_whose_commands_or_answers_are_held_up_goes_on_once() {
    let (mut w, leader) = begin(1020);
    w.hold_commands = true;
    assert_eq!(w.submit(leader, &job("wk-000001", 6, 2.0, 8)), 201);
    w.run(1.5);
    assert!(!w.held_commands.is_empty(), "none is held up");
    assert_eq!(w.submit(leader, &job("wk-000002", 4, 2.0, 100)), 201);
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

/// What users send that is odd: at every controller, with a leader and without one, in an outage too.
#[test]
fn odd_requests_are_answered_alike_by_every_controller() {
    let (mut w, leader) = begin(1030);
    let running = job("wk-000001", 4, 2.0, 60);
    let over = job("wk-000002", 2, 1.0, 1);
    assert_eq!(w.submit(leader, &running), 201);
    assert_eq!(w.submit(leader, &over), 201);
    w.until_done("wk-000002", 20.0);
    let never: Vec<JobSpec> = [
        |j: &mut JobSpec| j.team = "nobody".into(),
        |j: &mut JobSpec| j.needs.cpus = 8.5,
        |j: &mut JobSpec| j.needs.ram = 33.0,
        |j: &mut JobSpec| j.needs.gpus = 1.0,
        |j: &mut JobSpec| j.types = Some(vec!["huge".into()]),
        |j: &mut JobSpec| j.types = Some(Vec::new()),
        |j: &mut JobSpec| j.zone = Some("nowhere".into()),
        // Each is to be had, and not together: the type that is large enough is not in that zone.
        |j: &mut JobSpec| (j.needs.cpus, j.zone) = (6.0, Some("b".into())),
        |j: &mut JobSpec| (j.types, j.zone) = (Some(vec!["large".into()]), Some("b".into())),
        |j: &mut JobSpec| (j.types, j.needs.cpus) = (Some(vec!["small".into()]), 5.0),
        |j: &mut JobSpec| (j.needs.cpus, j.needs.ram) = (4.0, 40.0),
        |j: &mut JobSpec| (j.team, j.kind, j.tasks) = ("t".into(), Kind::Service, 13),
    ]
    .iter()
    .enumerate()
    .map(|(n, edit)| {
        let mut spec = job(&format!("wk-8{n:05}"), 1, 2.0, 5);
        edit(&mut spec);
        spec
    })
    .collect();
    for trouble in ["none", "no leader", "outage"] {
        match trouble {
            "no leader" => w.kill(leader, Duration::from_secs(2)),
            "outage" => {
                w.run(10.0);
                w.set_outage(true);
                w.run(2.0);
            }
            _ => {}
        }
        let out = trouble == "outage";
        let up: Vec<usize> = (0..3).filter(|n| w.nodes[*n].up).collect();
        for node in up {
            for spec in &never {
                let status = w.submit(node, spec);
                let right = status == 422 || (trouble != "none" && matches!(status, 503 | 0));
                assert!(right, "{trouble}, {node}, {}: {status}", spec.id);
            }
            for known in [&running, &over] {
                let mut other = known.clone();
                (other.team, other.tasks) = ("nobody".into(), 9);
                for spec in [known, &other] {
                    let status = w.submit(node, spec);
                    let right = status == 200 || (trouble != "none" && matches!(status, 503 | 0));
                    assert!(right, "{trouble}, {node}, repeated {}: {status}", spec.id);
                }
            }
            let done = w.cancel(node, "wk-000002");
            let right = done == (200, Some(JobState::Done)) || out && done.0 == 503;
            assert!(right, "{trouble}, {node}: {done:?}");
        }
    }
    w.set_outage(false);
    w.until_done("wk-000001", 200.0);
}
