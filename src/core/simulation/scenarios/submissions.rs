//! Submissions and queries: which requests are accepted, refused or deferred, and by which controller.

use super::{eight_machines, follower, four_machines, unlimited_job};
use crate::core::UserAction;
use crate::core::simulation::{Link, Simulation};
use crate::job::{JobKind, JobSpec, sample};
use crate::wire::JobState;
use std::time::Duration;

#[test]
fn job_runs_and_every_node_shows_it() {
    let (mut simulation, leader) = four_machines(1);
    assert_eq!(
        simulation.submit(follower(leader), &sample("wk-1", 6, 2.0, 5)),
        201
    );
    simulation.run_until_done("wk-1", 30.0);
    for node in 0..3 {
        assert_eq!(simulation.show(node, "wk-1"), (200, Some(JobState::Done)));
        assert_eq!(simulation.show(node, "wk-999").0, 404);
        // A late repetition of the submission gets the job's present state, whatever specification it carries.
        assert_eq!(simulation.submit(node, &sample("wk-1", 6, 900.0, 5)), 200);
    }
    assert_eq!(simulation.counters.starts, 6);
    simulation.run(5.0);
    assert_eq!(simulation.counters.tasks_forgotten, 6);
}

#[test]
fn impossible_job_refused_and_undecidable_deferred() {
    let (mut simulation, leader) = four_machines(2);
    for node in [leader, follower(leader)] {
        let mut spec = sample("wk-1", 1, 2.0, 5);
        spec.team = "nobody".into();
        assert_eq!(simulation.submit(node, &spec), 422);
        assert_eq!(simulation.submit(node, &sample("wk-2", 1, 9.0, 5)), 422);
        let mut spec = sample("wk-3", 4, 8.0, 0);
        spec.job_kind = JobKind::Service;
        assert_eq!(simulation.submit(node, &spec), 422);
    }
    let mut simulation = Simulation::new(2);
    simulation.faults.cloud_down = true;
    simulation.run(5.0);
    assert_eq!(simulation.submit(0, &sample("wk-1", 1, 2.0, 5)), 503);
    simulation.faults.cloud_down = false;
    simulation.run(3.0);
    assert_eq!(simulation.submit(0, &sample("wk-1", 1, 2.0, 5)), 201);
}

#[test]
fn leader_death_after_commit_leaves_accepted_job() {
    let (mut simulation, leader) = four_machines(3);
    // The store creates the job, but its response is lost; then the leader fails.
    simulation.nodes[leader].store_link = Link::ResponsesLost;
    simulation.submit(leader, &sample("wk-1", 4, 2.0, 4));
    simulation.kill(leader, Duration::from_secs(60));
    let other = follower(leader);
    simulation.run_until(10.0, "a new leader", |simulation| {
        simulation.leader().is_some()
    });
    assert_eq!(simulation.submit(other, &sample("wk-1", 4, 2.0, 4)), 200);
    simulation.run_until_done("wk-1", 30.0);
}

/// The leader loses its connection to the state service. Both before and after another controller becomes leader,
/// the disconnected controller accepts jobs through its peers.
#[test]
fn node_without_store_accepts_through_peers() {
    let (mut simulation, leader) = four_machines(23);
    simulation.nodes[leader].store_link = Link::Refused;
    for n in 1..6 {
        simulation.run(1.3);
        assert_eq!(
            simulation.submit(leader, &sample(&format!("wk-{n}"), 1, 1.0, 2)),
            201
        );
    }
    for n in 1..6 {
        simulation.run_until_done(&format!("wk-{n}"), 30.0);
    }
}

#[test]
fn unreachable_leader_blocks_only_cancellation() {
    let (mut simulation, leader) = four_machines(14);
    for n in &mut simulation.nodes {
        n.peers_reachable = false;
    }
    let other = follower(leader);
    assert_eq!(simulation.submit(other, &sample("wk-1", 2, 2.0, 30)), 201);
    assert_eq!(simulation.show(other, "wk-1").0, 200);
    assert_eq!(simulation.cancel(other, "wk-1").0, 503);
    // The leader learns of the job from the state service and runs it.
    simulation.run(2.0);
    assert_eq!(simulation.placements("wk-1").len(), 2);
    assert_eq!(simulation.cancel(leader, "wk-1").0, 200);
}

/// Queries that take a store read each, sent while there is no leader, are answered or refused at once, so that
/// submissions are not delayed at the state service.
#[test]
fn query_burst_does_not_starve_submissions() {
    let (mut simulation, leader) = four_machines(28);
    simulation.submit(leader, &sample("wk-1", 2, 2.0, 30));
    simulation.run(1.0);
    simulation.kill(leader, Duration::from_secs(60));
    let other = follower(leader);
    // A repeated submission is not refused as a query, although it takes a read while many queries wait.
    for _ in 0..200 {
        simulation.send_request(other, UserAction::Show("wk-9".into()));
    }
    assert_eq!(simulation.submit(other, &sample("wk-1", 2, 2.0, 30)), 200);
    let statuses = simulation.query_burst(other, "wk-1", 200);
    let served = statuses.iter().filter(|s| **s == 200).count();
    let refused = statuses.iter().filter(|s| **s == 503).count();
    assert!((1..20).contains(&served), "{served} reads");
    assert_eq!(served + refused, 200);
    assert_eq!(simulation.submit(other, &sample("wk-2", 1, 2.0, 3)), 201);
}

/// Jobs beyond the limit on unfinished tasks, which bounds memory, are refused; accepted jobs are still served.
#[test]
fn too_many_waiting_tasks_deferred() {
    let (mut simulation, leader) = four_machines(28);
    simulation.capacity.clear();
    let mut refused = 0;
    for n in 1..20 {
        let status = simulation.submit(leader, &sample(&format!("wk-{n}"), 100_000, 1.0, 600));
        assert!([201, 503].contains(&status));
        refused += u32::from(status == 503);
    }
    assert!(refused > 0);
    assert_eq!(
        simulation.submit(leader, &sample("wk-1", 100_000, 1.0, 600)),
        200
    );
    simulation.cancel(leader, "wk-1");
    simulation.run(1.0);
    assert_eq!(
        simulation.submit(leader, &sample("wk-99", 1000, 1.0, 600)),
        201
    );
}

/// Jobs that can never run, and repeated or modified submissions of known jobs, get consistent responses from every
/// controller: with a leader, without one and during an outage of the state service.
#[test]
fn invalid_and_repeated_requests_get_consistent_responses() {
    let (mut simulation, leader) = eight_machines(1030);
    let running = unlimited_job("wk-000001", 4, 2.0, 60);
    let completed = unlimited_job("wk-000002", 2, 1.0, 1);
    assert_eq!(simulation.submit(leader, &running), 201);
    assert_eq!(simulation.submit(leader, &completed), 201);
    simulation.run_until_done("wk-000002", 20.0);
    let impossible: Vec<JobSpec> = [
        |j: &mut JobSpec| j.team = "nobody".into(),
        |j: &mut JobSpec| j.resources.cpus = 8.5,
        |j: &mut JobSpec| j.resources.ram = 33.0,
        |j: &mut JobSpec| j.resources.gpus = 1.0,
        |j: &mut JobSpec| j.machine_types = Some(vec!["huge".into()]),
        |j: &mut JobSpec| j.machine_types = Some(Vec::new()),
        |j: &mut JobSpec| j.zone = Some("nowhere".into()),
        // Either request can be met, but not both: the machine type that is large enough is not in that zone.
        |j: &mut JobSpec| (j.resources.cpus, j.zone) = (6.0, Some("b".into())),
        |j: &mut JobSpec| {
            (j.machine_types, j.zone) = (Some(vec!["large".into()]), Some("b".into()))
        },
        |j: &mut JobSpec| (j.machine_types, j.resources.cpus) = (Some(vec!["small".into()]), 5.0),
        |j: &mut JobSpec| (j.resources.cpus, j.resources.ram) = (4.0, 40.0),
        |j: &mut JobSpec| (j.team, j.job_kind, j.tasks) = ("t".into(), JobKind::Service, 13),
    ]
    .iter()
    .enumerate()
    .map(|(n, edit)| {
        let mut spec = unlimited_job(&format!("wk-8{n:05}"), 1, 2.0, 5);
        edit(&mut spec);
        spec
    })
    .collect();
    for condition in ["none", "no leader", "outage"] {
        match condition {
            "no leader" => simulation.kill(leader, Duration::from_secs(2)),
            "outage" => {
                simulation.run(10.0);
                simulation.set_store_outage(true);
                simulation.run(2.0);
            }
            _ => {}
        }
        let in_outage = condition == "outage";
        let running_nodes: Vec<usize> = (0..3).filter(|n| simulation.nodes[*n].up).collect();
        for node in running_nodes {
            for spec in &impossible {
                let status = simulation.submit(node, spec);
                let expected = status == 422 || (condition != "none" && matches!(status, 503 | 0));
                assert!(expected, "{condition}, {node}, {}: {status}", spec.id);
            }
            for known in [&running, &completed] {
                let mut modified = known.clone();
                (modified.team, modified.tasks) = ("nobody".into(), 9);
                for spec in [known, &modified] {
                    let status = simulation.submit(node, spec);
                    let expected =
                        status == 200 || (condition != "none" && matches!(status, 503 | 0));
                    assert!(
                        expected,
                        "{condition}, {node}, repeated {}: {status}",
                        spec.id
                    );
                }
            }
            let cancelled = simulation.cancel(node, "wk-000002");
            let expected =
                cancelled == (200, Some(JobState::Done)) || in_outage && cancelled.0 == 503;
            assert!(expected, "{condition}, {node}: {cancelled:?}");
        }
    }
    simulation.set_store_outage(false);
    simulation.run_until_done("wk-000001", 200.0);
}
