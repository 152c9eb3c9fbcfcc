//! Machines that hang, die or fail their tasks.

use super::{fails_without, four_machines, unlimited_job};
use crate::core::simulation::World;
use crate::guard::Guard;
use crate::job::sample;
use crate::policy::Policy;

#[test]
fn a_hung_machine_that_resumes_runs_nothing_that_moved_elsewhere() {
    let (mut w, leader) = four_machines(10);
    w.cloud_down = true; // It cannot be deleted either.
    w.submit(leader, &sample("wk-1", 8, 2.0, 8));
    w.run(2.0);
    let id = w.places("wk-1")[0].0.clone();
    w.workers.get_mut(&id).unwrap().hung = true;
    w.run(7.0);
    // Within its lease nothing of it is started elsewhere, and it goes on with what it has.
    w.workers.get_mut(&id).unwrap().hung = false;
    w.release();
    w.until_done("wk-1", 40.0);
    assert_eq!(w.starts, 8);

    w.submit(leader, &sample("wk-2", 8, 2.0, 20));
    w.run(2.0);
    let id = w.places("wk-2")[0].0.clone();
    w.workers.get_mut(&id).unwrap().hung = true;
    w.run(16.0);
    w.workers.get_mut(&id).unwrap().hung = false;
    w.release();
    w.until_done("wk-2", 80.0);
}

#[test]
fn a_silent_machine_is_deleted_and_its_tasks_start_again_at_once() {
    let (mut w, leader) = four_machines(11);
    w.submit(leader, &sample("wk-1", 8, 2.0, 30));
    w.run(2.0);
    let id = w.places("wk-1")[0].0.clone();
    w.workers.get_mut(&id).unwrap().hung = true;
    w.run(5.0);
    // Sooner than its lease of 10 s.
    assert!(!w.workers.contains_key(&id));
    w.until_done("wk-1", 60.0);
}

#[test]
fn a_faulty_machine_is_replaced_but_a_broken_job_condemns_none() {
    let (mut w, leader) = four_machines(18);
    w.broken_jobs.insert("wk-1".into());
    w.submit(leader, &sample("wk-1", 8, 2.0, 5));
    let all: Vec<_> = w.workers.keys().cloned().collect();
    w.run(20.0);
    // It is tried ever more rarely.
    let starts = w.starts;
    w.run(15.0);
    assert!(w.starts - starts <= 2, "{} starts", w.starts - starts);
    assert!(all.iter().all(|id| w.workers.contains_key(id)));
    w.cancel(leader, "wk-1");

    let id = all[0].clone();
    w.workers.get_mut(&id).unwrap().sick = true;
    for n in 2..8 {
        w.submit(leader, &sample(&format!("wk-{n}"), 6, 2.0, 4));
        w.run(4.0);
    }
    for n in 2..8 {
        w.until_done(&format!("wk-{n}"), 60.0);
    }
    assert!(!w.workers.contains_key(&id));
}

/// A machine that failed a task is not the first choice for it again, however warm its image.
#[test]
fn a_task_that_failed_is_tried_again_on_another_machine() {
    let (mut w, leader) = four_machines(29);
    w.capacity.clear();
    w.submit(leader, &sample("wk-1", 1, 2.0, 3));
    w.run(0.5);
    let id = w.places("wk-1")[0].0.clone();
    w.until_done("wk-1", 20.0);
    // The same image is there and nowhere else, so the next one would go there too.
    w.workers.get_mut(&id).unwrap().sick = true;
    w.submit(leader, &sample("wk-2", 1, 2.0, 3));
    w.run(30.0);
    w.until_done("wk-2", 20.0);
    let failed =
        |m: &crate::core::simulation::Worker| m.tasks.keys().filter(|k| &*k.job == "wk-2").count();
    assert!(w.workers.contains_key(&id) && failed(&w.workers[&id]) <= 1);
    assert_eq!(w.starts, 3);
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
    assert_eq!(
        w.submit(leader, &unlimited_job("wk-000001", 1, 4.0, 5)),
        201
    );
    w.until(200.0, "it has failed five times", |w| w.starts >= 5);
    w.run(1.5);
    assert_eq!(
        w.submit(leader, &unlimited_job("wk-000002", 1, 4.0, 3)),
        201
    );
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
