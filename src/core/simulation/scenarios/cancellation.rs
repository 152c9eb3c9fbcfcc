//! Cancellations: each has one outcome, no task starts after it, and all tasks stop in time.

use super::{eight_machines, follower, four_machines, unlimited_job};
use crate::core::machines::cancellation_bound::cancellation_warning;
use crate::core::simulation::{Link, Setup, Simulation, fails_without, settings};
use crate::fault_injection::Safeguard;
use crate::job::{MachineId, sample};
use crate::policy::Policy;
use crate::wire::JobState;
use std::time::Duration;

#[test]
fn unanswered_cancellation_never_retracted() {
    let (mut simulation, leader) = four_machines(4);
    simulation.submit(leader, &sample("wk-1", 8, 2.0, 60));
    simulation.run(3.0);
    // The end of the job is committed, but the response to the leader is lost.
    simulation.nodes[leader].store_link = Link::ResponsesLost;
    let _ = simulation.cancel(leader, "wk-1");
    simulation.nodes[leader].store_link = Link::Refused;
    // The other controllers read the end from the state service and report it.
    let other = follower(leader);
    let (_, state) = simulation.show(other, "wk-1");
    if state == Some(JobState::Cancelled) {
        // The old leader may confirm this or give no response; the simulation fails if it reports the job
        // as running.
        simulation.show(leader, "wk-1");
    }
    simulation.nodes[leader].store_link = Link::Good;
    simulation.run(8.0);
    assert_eq!(
        simulation.cancel(other, "wk-1"),
        (200, Some(JobState::Cancelled))
    );
    simulation.run(25.0);
    assert!(simulation.placements("wk-1").is_empty());
}

#[test]
fn uncertain_start_counts_towards_limit_and_is_cancelled() {
    let (mut simulation, leader) = four_machines(8);
    // The limit of team t is 24 CPUs; the cluster has more.
    for _ in 0..4 {
        simulation.add_machine("large", "a");
    }
    simulation.run(3.0);
    simulation.faults.hold_commands = true;
    simulation.submit(leader, &sample("wk-1", 6, 4.0, 20));
    simulation.run(0.5);
    assert_eq!(simulation.submit(leader, &sample("wk-2", 6, 4.0, 20)), 201);
    let (_, state) = simulation.cancel(leader, "wk-1");
    assert_eq!(state, Some(JobState::Cancelled));
    simulation.faults.hold_commands = false;
    simulation.run(4.0);
    // The simulation fails if these commands take the team over its limit or start tasks after the
    // cancellation.
    simulation.release_held();
    simulation.run_until_done("wk-2", 60.0);
    simulation.run(25.0);
    assert!(simulation.placements("wk-1").is_empty());
}

#[test]
fn cancellation_overtakes_pending_start() {
    for delay in 0..6 {
        let (mut simulation, leader) = four_machines(9);
        simulation.submit(leader, &sample("wk-1", 8, 2.0, 100));
        simulation.run(f64::from(delay) * 0.1);
        let (_, state) = simulation.cancel(follower(leader), "wk-1");
        assert_eq!(state, Some(JobState::Cancelled));
        simulation.run(25.0);
        assert!(simulation.placements("wk-1").is_empty());
        assert_eq!(simulation.show(leader, "wk-1").1, Some(JobState::Cancelled));
    }
}

/// Cancellations, reads and repeated submissions shortly before, at and after the end of the last task,
/// with the write of the job's end executed, refused, held, or executed without a response: every
/// controller reports the same final state.
#[test]
fn cancellation_at_completion_has_one_outcome() {
    let mut outcomes = [0, 0];
    for (n, offset_ms) in (0..12).map(|n| (n, n * 100)) {
        for link in [
            Link::Good,
            Link::ResponsesLost,
            Link::Refused,
            Link::WritesHeld,
        ] {
            let (mut simulation, leader) = eight_machines(900 + n);
            simulation.faults.store_delay = Duration::from_millis(n * 20);
            let spec = unlimited_job("wk-000001", 3, 4.0, 4);
            assert_eq!(simulation.submit(leader, &spec), 201);
            simulation.run_until(9.0, "all tasks run", |simulation| {
                simulation.placements("wk-000001").len() == 3
            });
            let cancel_at =
                simulation.now + Duration::from_millis(3500) + Duration::from_millis(offset_ms);
            simulation.run_until(6.0, "time of the cancellation", |simulation| {
                simulation.now >= cancel_at
            });
            simulation.nodes[leader].store_link = link;
            for node in 0..3 {
                simulation.cancel_without_waiting(node, "wk-000001");
                simulation.submit_without_waiting(node, &spec);
            }
            simulation.run(1.0);
            simulation.nodes[leader].store_link = Link::Good;
            simulation.release_held();
            // The simulation fails on two different final states, on `done` before the last task has
            // ended, and on a 404.
            let mut final_state = None;
            for _ in 0..40 {
                for node in 0..3 {
                    simulation.cancel_without_waiting(node, "wk-000001");
                    let (_, state) = simulation.show(node, "wk-000001");
                    final_state = final_state.or(state.filter(|s| *s != JobState::Running));
                    assert!(matches!(simulation.submit(node, &spec), 0 | 200 | 503));
                }
                if simulation.reported_final_state("wk-000001").is_some() {
                    break;
                }
            }
            match simulation.reported_final_state("wk-000001") {
                Some(JobState::Done) => outcomes[0] += 1,
                Some(JobState::Cancelled) => outcomes[1] += 1,
                other => panic!("reported state: {other:?}"),
            }
            simulation.run(15.0);
            assert!(simulation.placements("wk-000001").is_empty());
        }
    }
    let [done, cancelled] = outcomes;
    assert!(
        done > 4 && cancelled > 4,
        "{done} done, {cancelled} cancelled"
    );
}

/// Cancels jobs while their images are being fetched or their start commands are in flight.
fn cancel_while_tasks_start(fetch_ms: u64) {
    let (mut simulation, leader) = eight_machines(920);
    simulation.image_fetch_time = Duration::from_millis(fetch_ms);
    let store_delay = Duration::from_millis(300);
    for n in 0..16 {
        let id = format!("wk-{:06}", n + 1);
        assert_eq!(
            simulation.submit(leader, &unlimited_job(&id, 8, 4.0, 20)),
            201
        );
        simulation.run_until(15.0, "all tasks start", |simulation| {
            simulation.placements(&id).len() == 8
        });
        // The leader learns late that the cancellation is durable; another controller confirms it to the user.
        simulation.faults.store_delay = store_delay;
        simulation.nodes[leader].watch_delayed = true;
        simulation.run(f64::from(n) * 0.05);
        let started_at = simulation.now;
        while simulation.reported_final_state(&id).is_none() {
            assert!(
                simulation.now < started_at + Duration::from_secs(8),
                "{id} cannot be cancelled"
            );
            for node in 0..3 {
                simulation.cancel_without_waiting(node, &id);
            }
            simulation.tick();
        }
        simulation.faults.store_delay = Duration::ZERO;
        simulation.nodes[leader].watch_delayed = false;
        assert_eq!(
            simulation.counters.late_starts, 0,
            "started after the cancellation was confirmed"
        );
        simulation.run(3.0);
    }
}

#[test]
fn no_start_after_confirmed_cancellation() {
    cancel_while_tasks_start(600);
    fails_without(
        Safeguard::StopOnCancelRequest,
        "started after the cancellation was confirmed",
        || cancel_while_tasks_start(600),
    );
}

/// Machines hang during the cancellation and resume within their lease or after it, with the leader
/// alive or killed, and with the cloud available or not.
#[test]
fn cancelled_tasks_stop_when_hung_machine_resumes() {
    let mut resumed = 0;
    for hang in [1.0, 4.0, 8.0, 9.5, 14.0, 25.0] {
        for (cloud_down, leader_ends) in [(false, false), (true, false), (true, true)] {
            let (mut simulation, leader) = eight_machines(930);
            assert_eq!(
                simulation.submit(leader, &unlimited_job("wk-000001", 8, 4.0, 200)),
                201
            );
            simulation.run(2.0);
            simulation.faults.cloud_down = cloud_down;
            let hung: Vec<MachineId> = simulation.workers.keys().take(3).cloned().collect();
            for id in &hung {
                simulation.workers.get_mut(id).unwrap().hung = true;
            }
            simulation.run(0.3);
            let answer = simulation.cancel(leader, "wk-000001");
            assert_eq!(answer, (200, Some(JobState::Cancelled)));
            if leader_ends {
                simulation.kill(leader, Duration::from_secs(5));
            }
            simulation.run(hang);
            for id in &hung {
                if let Some(m) = simulation.workers.get_mut(id) {
                    m.hung = false;
                    resumed += u32::from(!m.tasks.is_empty());
                }
            }
            simulation.release_held();
            simulation.run(2.0);
            assert!(
                hang > 20.0
                    || simulation.now
                        < simulation.checker.cancelled_at["wk-000001"]
                            + simulation.setup.cancellation_limit
            );
            let still_running = simulation.placements("wk-000001");
            // A new leader may not have received the machine's heartbeat yet, but the machine's lease
            // expires all the same.
            assert!(
                still_running.is_empty() || leader_ends,
                "hang of {hang} s: {still_running:?} still run"
            );
            simulation.run(22.0);
            assert!(simulation.placements("wk-000001").is_empty());
        }
    }
    assert!(
        resumed >= 12,
        "only {resumed} machines resumed with tasks of the job"
    );
}

/// Cancels a job where the limit for cancellations is shorter than a worker's lease: a cancellation is
/// confirmed only when no task is left running. Returns the smallest number of attempts before that.
fn cancel_with_limit_below_lease() -> u32 {
    let mut min_attempts = u32::MAX;
    let setup = Setup {
        nodes: 3,
        cancellation_limit: Duration::from_secs(6),
    };
    for cloud_down in [false, true] {
        let policy = Policy::parse("short", "delegate = true\nidle_keep = 600").unwrap();
        let mut simulation = Simulation::with_setup(1010, policy, setup);
        simulation.capacity.clear();
        simulation.add_machines("small", 4);
        let leader = simulation.run_until_leader(4.0);
        assert_eq!(
            simulation.submit(leader, &unlimited_job("wk-000001", 4, 4.0, 100)),
            201
        );
        simulation.run(2.0);
        simulation.faults.cloud_down = cloud_down;
        let partitioned = simulation.workers.values_mut().next().unwrap();
        partitioned.partitioned_from = (0..3).collect();
        let mut attempts = 0;
        while simulation.reported_final_state("wk-000001").is_none() {
            simulation.cancel_without_waiting(leader, "wk-000001");
            simulation.run(0.5);
            attempts += 1;
            assert!(attempts < 60, "the cancellation is never confirmed");
        }
        min_attempts = min_attempts.min(attempts);
        simulation.run(12.0);
    }
    min_attempts
}

#[test]
fn cancellation_confirmed_only_when_certain() {
    // Operators are warned of such a setting.
    let warning_for = |cancel: u64| {
        let cancellation_limit = Duration::from_secs(cancel);
        cancellation_warning(&settings(
            "n0",
            Setup {
                nodes: 3,
                cancellation_limit,
            },
        ))
    };
    assert!(warning_for(20).is_none());
    assert!(
        warning_for(6)
            .unwrap()
            .starts_with("params.workers.cancel_s: 6 s is less than")
    );
    let attempts = cancel_with_limit_below_lease();
    assert!(
        attempts > 3,
        "confirmed before all tasks are known to have stopped"
    );
    fails_without(
        Safeguard::CancellationBound,
        "of a cancelled job is on",
        || {
            cancel_with_limit_below_lease();
        },
    );
}

/// Submits four one-task jobs per second for two minutes and cancels a quarter of them, while the state
/// service responds late: there are few writes, no collection grows without bound, and every job ends
/// soon.
fn many_short_jobs() {
    let (mut simulation, leader) = eight_machines(1320);
    simulation.faults.store_delay = Duration::from_millis(700);
    let before = simulation.change_count();
    let id = |n: u32| format!("wk-{n:06}");
    let (mut n, mut cancelled) = (0, 0);
    let started_at = simulation.now;
    while simulation.now < started_at + Duration::from_secs(120) {
        let spec = unlimited_job(&id(n), 1, 1.0, 2);
        simulation.register_job(&spec);
        simulation.submit_without_waiting(n as usize % 3, &spec);
        simulation.run(0.25);
        if n % 4 == 3 {
            // The job has just been accepted, is running, or is about to end.
            let target_id = id(n.saturating_sub(n / 4 % 3 * 4));
            simulation.cancel_without_waiting(n as usize % 3, &target_id);
            cancelled += 1;
        }
        n += 1;
        if n % 40 == 0 {
            let has_ended = |v: &serde_json::Value| v.get("end").is_some();
            let live = simulation
                .stored_values("burlusher/")
                .into_values()
                .filter(|v| !has_ended(v));
            let live = live.count();
            assert!(
                live < 110,
                "{live} keys of jobs that have not ended, after {n} jobs"
            );
            let core = &simulation.nodes[leader].core;
            let lead = core.leader.as_ref().expect("the leader has not changed");
            assert!(
                lead.job_runs.len() < 80,
                "{} live jobs",
                lead.job_runs.len()
            );
            assert!(
                lead.writes.ends.len() < 40,
                "{} ends wait to be written",
                lead.writes.ends.len()
            );
            assert!(
                core.pending.len() < 80,
                "{} calls pending",
                core.pending.len()
            );
            let known = core.store_cache.versions.tracked_keys();
            assert!(known < 200, "{known} versions are kept, after {n} jobs");
            assert!(core.store_cache.garbage_keys.len() < 40);
        }
    }
    assert!(
        n > 400 && cancelled > 100,
        "{n} jobs, {cancelled} cancelled"
    );
    simulation.faults.store_delay = Duration::ZERO;
    simulation.run(8.0);
    for n in 0..n {
        let state = simulation.show(n as usize % 3, &id(n)).1;
        let has_ended = matches!(state, Some(JobState::Done | JobState::Cancelled));
        assert!(has_ended, "{} is {state:?}", id(n));
    }
    // Each job's creation and its end, and occasionally its completed tasks or a page of machines.
    let changes = (simulation.change_count() - before) as f64 / f64::from(n);
    assert!(changes < 3.0, "{changes} changes per job");
}

#[test]
fn many_short_jobs_do_not_accumulate_state() {
    many_short_jobs();
    fails_without(
        Safeguard::VersionPruning,
        "versions are kept",
        many_short_jobs,
    );
}

/// Cancels a job whose starts were sent in responses to heartbeats and have not appeared in a heartbeat yet.
fn cancel_before_heartbeat_shows_start() {
    let (mut simulation, leader) = eight_machines(1330);
    simulation.image_fetch_time = Duration::from_millis(700);
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-000001", 8, 4.0, 3)),
        201
    );
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-000002", 8, 4.0, 60)),
        201
    );
    let calls: u32 = simulation.nodes.iter().map(|n| n.direct_calls).sum();
    simulation.run_until(12.0, "the second job starts", |simulation| {
        simulation.placements("wk-000002").len() >= 6
    });
    let called = simulation.nodes.iter().map(|n| n.direct_calls).sum::<u32>() - calls;
    assert!(called < 8 + 6, "starts were sent by direct calls");
    assert_eq!(simulation.cancel(leader, "wk-000002").0, 200);
    simulation.run(3.0);
    assert_eq!(
        simulation.counters.late_starts, 0,
        "started after the cancellation was confirmed"
    );
}

#[test]
fn starts_without_heartbeat_stopped_by_cancellation() {
    cancel_before_heartbeat_shows_start();
    fails_without(
        Safeguard::StopUnseenTasks,
        "started after the cancellation was confirmed",
        cancel_before_heartbeat_shows_start,
    );
}
