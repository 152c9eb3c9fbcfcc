//! Jobs that depend on others.

use super::{follower, four_machines};
use crate::core::UserAction;
use crate::core::simulation::{Link, Simulation};
use crate::job::{JobKind, JobSpec, Priority, sample};
use crate::wire::JobState;
use std::time::Duration;

/// Returns a job that starts after its `dependencies` are done.
fn dependent_job(id: &str, dependencies: &[&str], tasks: u32, seconds: u64) -> JobSpec {
    let mut spec = sample(id, tasks, 1.0, seconds);
    spec.dependencies = dependencies.iter().map(|a| (*a).into()).collect();
    spec
}

#[test]
fn dependencies_run_in_order_through_takeover() {
    let (mut simulation, leader) = four_machines(40);
    // The simulation checks at every start that all dependencies of the job are done.
    assert_eq!(
        simulation.submit(follower(leader), &dependent_job("wk-9", &[], 6, 4)),
        201
    );
    assert_eq!(
        simulation.submit(leader, &dependent_job("wk-8", &["wk-9"], 3, 6)),
        201
    );
    assert_eq!(
        simulation.submit(follower(leader), &dependent_job("wk-7", &["wk-9"], 3, 3)),
        201
    );
    assert_eq!(
        simulation.submit(leader, &dependent_job("wk-1", &["wk-7", "wk-8"], 2, 2)),
        201
    );
    simulation.run_until_done("wk-9", 20.0);
    simulation.kill(leader, Duration::from_secs(3));
    simulation.run(1.0);
    for node in [follower(leader), follower(leader + 1)] {
        assert_eq!(simulation.show(node, "wk-1").1, Some(JobState::Queued));
    }
    simulation.run_until_done("wk-1", 40.0);
    // A job whose dependencies ended long ago starts at once.
    let leader = simulation.leader().unwrap();
    assert_eq!(
        simulation.submit(leader, &dependent_job("wk-2", &["wk-1", "wk-9"], 1, 2)),
        201
    );
    simulation.run_until_done("wk-2", 6.0);
}

/// Submissions with dependencies get the same responses from every node, also without contact to the leader.
#[test]
fn impossible_dependency_refused_by_every_node() {
    let (mut simulation, leader) = four_machines(41);
    let mut service = sample("wk-50", 1, 1.0, 0);
    service.job_kind = JobKind::Service;
    assert_eq!(simulation.submit(leader, &service), 201);
    assert_eq!(simulation.submit(leader, &sample("wk-51", 1, 1.0, 2)), 201);
    simulation.run_until_done("wk-51", 10.0);
    let mut n = 100;
    for isolated in [false, true] {
        simulation.set_peers_reachable(!isolated);
        for node in 0..3 {
            n += 1;
            let id = format!("wk-{n}");
            assert_eq!(
                simulation.submit(node, &dependent_job(&id, &["wk-777"], 1, 1)),
                422
            );
            assert_eq!(
                simulation.submit(node, &dependent_job(&id, &[&id], 1, 1)),
                422
            );
            assert_eq!(
                simulation.submit(node, &dependent_job(&id, &["wk-50"], 1, 1)),
                422
            );
            // Another node has just accepted this dependency, and this node has not learned of it yet.
            let other = format!("wk-{}", n + 50);
            assert_eq!(
                simulation.submit((node + 1) % 3, &sample(&other, 1, 1.0, 1)),
                201
            );
            assert_eq!(
                simulation.submit(node, &dependent_job(&id, &["wk-51", &other], 1, 1)),
                201
            );
            // A repeated submission gets the job's state, whatever dependencies it names.
            assert_eq!(
                simulation.submit(node, &dependent_job(&id, &["wk-777"], 1, 1)),
                200
            );
        }
    }
    // A submission that cannot be decided without the state service gets a 503 at once.
    simulation.set_store_links(Link::Refused);
    assert_eq!(
        simulation.submit(0, &dependent_job("wk-300", &["wk-777"], 1, 1)),
        503
    );
}

/// Once the end of a cancelled job is written, every node reports all direct and indirect dependents as
/// cancelled, also those submitted later, although their own ends are not written yet.
#[test]
fn cancellation_reaches_dependents_with_one_write() {
    for cancelled_id in ["wk-1", "wk-2"] {
        let (mut simulation, leader) = four_machines(42);
        simulation.submit(leader, &dependent_job("wk-1", &[], 4, 30));
        simulation.submit(leader, &dependent_job("wk-2", &["wk-1"], 1, 5));
        simulation.submit(leader, &dependent_job("wk-3", &["wk-1"], 1, 5));
        simulation.submit(leader, &dependent_job("wk-4", &["wk-2", "wk-3"], 1, 5));
        for n in 5..60 {
            simulation.submit(
                leader,
                &dependent_job(&format!("wk-{n}"), &[&format!("wk-{}", n - 1)], 1, 5),
            );
        }
        let changes = simulation.change_count();
        assert_eq!(
            simulation.cancel(follower(leader), cancelled_id).1,
            Some(JobState::Cancelled)
        );
        // The leader crashes before most of the dependents' ends are written.
        simulation.kill(leader, Duration::from_secs(30));
        assert!(simulation.change_count() - changes < 40);
        simulation.run_until(10.0, "another leader", |simulation| {
            simulation.leader().is_some()
        });
        for n in [2, 4, 33, 59] {
            for node in [follower(leader), follower(leader + 1)] {
                let id = format!("wk-{n}");
                assert_eq!(simulation.show(node, &id), (200, Some(JobState::Cancelled)));
                assert_eq!(
                    simulation.submit(node, &dependent_job(&id, &["wk-1"], 1, 5)),
                    200
                );
                assert_eq!(simulation.cancel(node, &id).1, Some(JobState::Cancelled));
            }
        }
        // A job submitted later that depends on a cancelled one is accepted, and is cancelled at once.
        let new_leader = simulation.leader().unwrap();
        assert_eq!(
            simulation.submit(new_leader, &dependent_job("wk-99", &["wk-59"], 1, 5)),
            201
        );
        assert_eq!(
            simulation.show(new_leader, "wk-99").1,
            Some(JobState::Cancelled)
        );
        if cancelled_id == "wk-2" {
            // The other dependent of wk-1, and wk-1 itself, are not affected.
            simulation.run_until_done("wk-3", 60.0);
        }
        simulation.run(10.0);
        assert_eq!(
            simulation.show(new_leader, "wk-4").1,
            Some(JobState::Cancelled)
        );
        let live = simulation.stored_values("burlusher/j/");
        let ended = live.values().filter(|v| v.get("end").is_some()).count();
        assert_eq!(
            ended, 60,
            "the ends of all dependents are written in the end"
        );
    }
}

/// While the outcome of a cancellation's write is unknown, no node reports a dependent as waiting: another
/// node may have read the job's end and reported the dependent as cancelled.
#[test]
fn dependent_of_uncertain_cancellation_not_reported_live() {
    let (mut simulation, leader) = four_machines(43);
    simulation.submit(leader, &dependent_job("wk-1", &[], 4, 60));
    simulation.submit(leader, &dependent_job("wk-2", &["wk-1"], 1, 5));
    simulation.submit(leader, &dependent_job("wk-3", &["wk-2"], 1, 5));
    simulation.run(2.0);
    // The job's end is committed, but the response to the leader is lost.
    simulation.nodes[leader].store_link = Link::ResponsesLost;
    simulation.cancel_without_waiting(leader, "wk-1");
    simulation.run(0.2);
    simulation.set_peers_reachable(false);
    let other = follower(leader);
    assert_eq!(simulation.show(other, "wk-3").1, Some(JobState::Cancelled));
    assert!(simulation.nodes[leader].core.is_active_leader());
    // The simulation fails if the leader reports another state from its cached copy of the store.
    simulation.show(leader, "wk-3");
    simulation.nodes[leader].store_link = Link::Refused;
    simulation.show(leader, "wk-3");
}

/// As above, with a dependent that another node accepts while the cancellation's write is in flight.
#[test]
fn job_accepted_during_uncertain_cancellation() {
    let (mut simulation, leader) = four_machines(49);
    let other = follower(leader);
    simulation.submit(leader, &dependent_job("wk-1", &[], 4, 60));
    simulation.submit(leader, &dependent_job("wk-2", &["wk-1"], 1, 5));
    simulation.nodes[leader].store_link = Link::WritesHeld;
    simulation.cancel_without_waiting(leader, "wk-1");
    simulation.run(0.2);
    simulation.set_peers_reachable(false);
    assert_eq!(
        simulation.submit(other, &dependent_job("wk-3", &["wk-2"], 1, 5)),
        201
    );
    simulation.run(0.2);
    // The job's end is written now, and the leader is the last to learn of it.
    simulation.nodes[leader].watch_delayed = true;
    simulation.release_held();
    simulation.run(0.1);
    assert_eq!(simulation.show(other, "wk-3").1, Some(JobState::Cancelled));
    assert!(simulation.nodes[leader].core.is_active_leader());
    simulation.show(leader, "wk-3");
}

/// A node with a lagging copy of the store must neither report a job as live that another node has
/// reported as cancelled, nor reject a submission that depends on a job which another node has just
/// accepted.
#[test]
fn lagging_node_never_answers_stale_state() {
    let (mut simulation, leader) = four_machines(47);
    let (other, lagging) = (follower(leader), follower(leader + 1));
    simulation.submit(leader, &dependent_job("wk-1", &[], 4, 60));
    simulation.submit(leader, &dependent_job("wk-2", &["wk-1"], 1, 5));
    simulation.run(1.0);
    simulation.nodes[lagging].watch_delayed = true;
    // The job's end is committed, and nothing more is written, as the response to the leader is lost.
    simulation.nodes[leader].store_link = Link::ResponsesLost;
    simulation.cancel_without_waiting(leader, "wk-1");
    simulation.run(0.2);
    simulation.set_peers_reachable(false);
    assert_eq!(
        simulation.submit(other, &dependent_job("wk-5", &[], 1, 60)),
        201
    );
    assert_eq!(simulation.show(other, "wk-2").1, Some(JobState::Cancelled));
    // The lagging node gives a 503 at once, and the state when it has caught up.
    assert_eq!(simulation.show(lagging, "wk-2").0, 503);
    assert_eq!(
        simulation.submit(lagging, &dependent_job("wk-6", &["wk-5"], 1, 5)),
        503
    );
    simulation.nodes[lagging].watch_delayed = false;
    assert_eq!(
        simulation.show(lagging, "wk-2").1,
        Some(JobState::Cancelled)
    );
    assert_eq!(
        simulation.submit(lagging, &dependent_job("wk-6", &["wk-5"], 1, 5)),
        201
    );
}

/// Another node accepts jobs around the moment when their dependencies are cancelled or end: the dependent
/// of the cancelled job is cancelled, and the other one runs.
#[test]
fn job_accepted_while_its_dependency_ends() {
    for delay in 0..8 {
        let (mut simulation, leader) = four_machines(44);
        simulation.submit(leader, &dependent_job("wk-1", &[], 2, 3));
        simulation.submit(leader, &dependent_job("wk-2", &[], 2, 60));
        simulation.run(1.0);
        simulation.set_peers_reachable(delay % 2 == 0);
        let other = follower(leader);
        for (id, dependencies) in [("wk-3", ["wk-1"]), ("wk-4", ["wk-2"])] {
            let spec = dependent_job(id, &dependencies, 1, 2);
            simulation.register_job(&spec);
            simulation.send_request(other, UserAction::Submit(Box::new(spec)));
        }
        for _ in 0..delay {
            simulation.tick();
        }
        assert_eq!(
            simulation.cancel(leader, "wk-2").1,
            Some(JobState::Cancelled)
        );
        simulation.set_peers_reachable(true);
        simulation.run(2.0);
        for node in 0..3 {
            assert_eq!(simulation.show(node, "wk-4").1, Some(JobState::Cancelled));
        }
        // A cancellation after the job's end gets the response `done`, and its dependent runs.
        let end = simulation.now + Duration::from_secs(20);
        while simulation.show(other, "wk-1").1 != Some(JobState::Done) && simulation.now < end {
            simulation.tick();
        }
        assert_eq!(simulation.cancel(leader, "wk-1").1, Some(JobState::Done));
        simulation.run_until_done("wk-3", 20.0);
    }
}

/// A job that waits for its dependencies does not count towards its team's limit or guarantee, reserves no
/// capacity, causes no scale-out and blocks no other job.
#[test]
fn waiting_dependent_holds_no_resources() {
    let (mut simulation, leader) = four_machines(45);
    simulation.submit(leader, &dependent_job("wk-1", &[], 1, 60));
    // The waiting job needs more than the cluster's capacity and has the highest priority.
    let mut high = dependent_job("wk-2", &["wk-1"], 12, 20);
    high.priority = Priority::Production;
    high.resources.cpus = 4.0;
    simulation.submit(leader, &high);
    let mut low = sample("wk-3", 15, 1.0, 30);
    low.priority = Priority::Low;
    simulation.submit(leader, &low);
    simulation.run(2.0);
    assert_eq!(simulation.placements("wk-3").len(), 15);
    simulation.run(20.0);
    assert_eq!(
        (
            simulation.placements("wk-3").len(),
            simulation.counters.provisioned
        ),
        (15, (0, 0))
    );
    // Team u is guaranteed 8 CPUs; a waiting job of that size leaves the guarantee to the team's next job.
    let mut waiting = dependent_job("wk-4", &["wk-1"], 8, 20);
    let mut next_job = sample("wk-5", 8, 1.0, 20);
    (waiting.team, next_job.team) = ("u".into(), "u".into());
    simulation.submit(leader, &waiting);
    let mut competing = sample("wk-6", 15, 1.0, 20);
    competing.priority = Priority::High;
    simulation.submit(leader, &competing);
    simulation.submit(leader, &next_job);
    simulation.run_until(
        12.0,
        "the guarantee of team u is met before other jobs start",
        |simulation| simulation.placements("wk-5").len() == 8,
    );
}

/// A job inherits the priority and deadline of its dependents while they are live.
#[test]
fn rank_and_deadline_propagate_to_dependencies() {
    let (mut simulation, leader) = four_machines(46);
    simulation.capacity.clear();
    simulation.submit(leader, &sample("wk-9", 16, 1.0, 30));
    simulation.run(2.0);
    let mut first = dependent_job("wk-1", &[], 1, 2);
    first.priority = Priority::Low;
    simulation.submit(leader, &first);
    simulation.submit(leader, &dependent_job("wk-2", &["wk-1"], 1, 2));
    simulation.submit(leader, &sample("wk-8", 16, 1.0, 30));
    let urgency = |simulation: &Simulation, id: &str| {
        let core = &simulation.nodes[leader].core;
        let (id, lead) = (id.into(), core.leader.as_ref().unwrap());
        lead.urgency_of(&id, &core.store_cache.jobs[&id])
    };
    assert_eq!(urgency(&simulation, "wk-1").priority, Priority::Normal);
    assert_eq!(urgency(&simulation, "wk-1").due, None);
    let mut last = dependent_job("wk-3", &["wk-2"], 1, 2);
    last.priority = Priority::High;
    last.deadline = Some(Duration::from_secs(100));
    simulation.submit(leader, &last);
    let (first_urgency, last_urgency) =
        (urgency(&simulation, "wk-1"), urgency(&simulation, "wk-3"));
    assert_eq!(first_urgency.priority, Priority::High);
    let lead_time = last_urgency
        .due
        .unwrap()
        .duration_since(first_urgency.due.unwrap())
        .unwrap();
    // The deadline is earlier by the estimated run times of two jobs and a margin for the steps between.
    assert!((Duration::from_secs(4)..Duration::from_secs(15)).contains(&lead_time));
    simulation.cancel(leader, "wk-3");
    simulation.run(1.0);
    assert_eq!(urgency(&simulation, "wk-1").priority, Priority::Normal);
    assert_eq!(urgency(&simulation, "wk-1").due, None);
    simulation.submit(leader, &{
        let mut last = dependent_job("wk-4", &["wk-2"], 1, 2);
        last.priority = Priority::Production;
        last
    });
    // The job completes before wk-8, whose 16 tasks were submitted earlier and would otherwise start first.
    simulation.run_until_done("wk-4", 60.0);
    assert_ne!(simulation.show(leader, "wk-8").1, Some(JobState::Done));
}
