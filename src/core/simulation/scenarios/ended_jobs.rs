//! Jobs that ended long ago, whose ends are in the store and no longer in the controllers' memory.

use super::{follower, four_machines};
use crate::core::UserAction;
use crate::core::simulation::Simulation;
use crate::job::{JobId, JobSpec, sample};
use crate::wire::JobState;
use std::time::Duration;

/// Memory for the ends of two or three jobs, in bytes.
const MAX_ENDED_JOB_BYTES: usize = 500;
const OLD: &str = "wk-000000";
const OLD_CANCELLED: &str = "wk-500000";
/// Number of jobs that end after the old ones.
const LATER_JOBS: usize = 12;

/// Returns a cluster whose controllers have dropped the ends of two old jobs, and its leader.
fn with_dropped_ends(seed: u64) -> (Simulation, usize) {
    let (mut simulation, leader) = four_machines(seed);
    simulation.limit_ended_jobs(MAX_ENDED_JOB_BYTES);
    submit(&mut simulation, leader, &sample(OLD, 1, 1.0, 1));
    submit(&mut simulation, leader, &sample(OLD_CANCELLED, 1, 1.0, 60));
    assert_eq!(
        simulation.cancel(leader, OLD_CANCELLED).1,
        Some(JobState::Cancelled)
    );
    simulation.run_until_done(OLD, 20.0);
    let ids: Vec<String> = (1..=LATER_JOBS).map(|n| format!("wk-{n:06}")).collect();
    for id in &ids {
        submit(&mut simulation, leader, &sample(id, 1, 1.0, 1));
    }
    for id in &ids {
        simulation.run_until_done(id, 30.0);
    }
    simulation.run(3.0);
    assert_old_ends_dropped(&simulation);
    (simulation, leader)
}

fn submit(simulation: &mut Simulation, node: usize, spec: &JobSpec) {
    assert_eq!(simulation.submit(node, spec), 201, "{}", spec.id);
}

fn dependent_job(id: &str, dependency: &str) -> JobSpec {
    let mut spec = sample(id, 1, 1.0, 1);
    spec.dependencies = vec![JobId::from(dependency)];
    spec
}

fn assert_old_ends_dropped(simulation: &Simulation) {
    for node in &simulation.nodes {
        let ended_jobs = &node.core.store_cache.ended_jobs;
        assert!(ended_jobs.len() <= 3, "{}", ended_jobs.len());
        assert!(ended_jobs.is_partial());
        assert_eq!(ended_jobs.total(), LATER_JOBS as u64 + 2);
        assert!(!ended_jobs.contains(OLD) && !ended_jobs.contains(OLD_CANCELLED));
    }
}

/// Asserts that no controller has suspected or detected a loss of data.
fn assert_no_loss(simulation: &Simulation) {
    for node in &simulation.nodes {
        assert_eq!(node.core.store_integrity.losses, 0);
        assert!(!node.core.may_have_lost_data());
    }
}

/// Restarts all controllers at once.
fn restart_all(simulation: &mut Simulation) {
    for node in 0..simulation.nodes.len() {
        simulation.kill(node, Duration::from_millis(500));
    }
    simulation.run(1.0);
    simulation.run_until(20.0, "a leader", |simulation| simulation.leader().is_some());
}

/// Guards against controllers that are ended for memory once enough jobs have ended (review/8): they kept every end. What
/// users are told of an old job must not depend on whether its end is in memory.
#[test]
fn old_jobs_keep_their_state_at_every_controller() {
    let (mut simulation, _) = with_dropped_ends(1500);
    for restarted in [false, true] {
        if restarted {
            restart_all(&mut simulation);
            // Controllers that have just started do not know whether others are about to detect a loss of data.
            simulation.run(10.0);
            assert_old_ends_dropped(&simulation);
        }
        for node in 0..simulation.nodes.len() {
            let cancelled = Some(JobState::Cancelled);
            assert_eq!(simulation.show(node, OLD), (200, Some(JobState::Done)));
            assert_eq!(simulation.show(node, OLD_CANCELLED), (200, cancelled));
            assert_eq!(simulation.submit(node, &sample(OLD, 1, 1.0, 1)), 200);
            assert_eq!(simulation.cancel(node, OLD).1, Some(JobState::Done));
            assert_eq!(simulation.show(node, "wk-999999").0, 404);
            let unknown = dependent_job("wk-888888", "wk-999999");
            assert_eq!(simulation.submit(node, &unknown), 422);
        }
        simulation.run(20.0);
        assert_no_loss(&simulation);
    }
}

/// Without a leader, each controller reads the state of an old job itself.
#[test]
fn old_jobs_keep_their_state_without_a_leader() {
    let (mut simulation, leader) = with_dropped_ends(1501);
    simulation.set_peers_reachable(false);
    simulation.kill(leader, Duration::from_secs(60));
    let node = follower(leader);
    assert_eq!(simulation.show(node, OLD).1, Some(JobState::Done));
    assert_eq!(simulation.submit(node, &sample(OLD, 1, 1.0, 1)), 200);
    assert_eq!(simulation.show(node, "wk-999999").0, 404);
}

/// Many questions about an old job read its key within the budget for reads, and are answered from memory after that.
#[test]
fn a_burst_of_questions_about_an_old_job_stays_within_the_read_budget() {
    let (mut simulation, leader) = with_dropped_ends(1505);
    for node in [leader, follower(leader)] {
        let statuses = simulation.query_burst(node, OLD, 300);
        assert_eq!(statuses.len(), 300);
        assert!(statuses.iter().all(|status| [200, 503].contains(status)));
        assert!(statuses.contains(&200));
        // The leader has nobody to pass on what its budget does not cover.
        assert!(node != leader || statuses.contains(&503));
        assert!(
            simulation
                .query_burst(node, OLD, 300)
                .iter()
                .all(|status| *status == 200)
        );
    }
}

/// A live job whose dependencies ended long ago starts, or is cancelled with them, also after all controllers have
/// restarted and have read neither end.
#[test]
fn a_job_that_depends_on_old_ones_starts_or_is_cancelled() {
    for restarted in [false, true] {
        let (mut simulation, leader) = with_dropped_ends(1502);
        submit(
            &mut simulation,
            follower(leader),
            &dependent_job("wk-000100", OLD),
        );
        let cancelled = dependent_job("wk-000200", OLD_CANCELLED);
        assert_eq!(simulation.submit(leader, &cancelled), 201);
        let indirect = dependent_job("wk-000300", "wk-000200");
        assert!([200, 201].contains(&simulation.submit(leader, &indirect)));
        if restarted {
            restart_all(&mut simulation);
        }
        simulation.run_until_done("wk-000100", 30.0);
        simulation.run(2.0);
        for node in 0..simulation.nodes.len() {
            for id in ["wk-000200", "wk-000300"] {
                let shown = simulation.show(node, id);
                assert_eq!(shown, (200, Some(JobState::Cancelled)), "{id}");
            }
        }
        assert_no_loss(&simulation);
    }
}

/// After a loss of data, the leader writes back ends that it has from another controller's copy, and the store may hold
/// them: the conflicts must neither end its leadership nor keep the store incomplete.
#[test]
fn ends_from_another_copy_that_the_store_holds_are_no_lasting_conflict() {
    let (mut simulation, leader) = with_dropped_ends(1503);
    let backup = simulation.backup();
    let other = follower(leader);
    submit(&mut simulation, leader, &sample("wk-000400", 1, 1.0, 1));
    simulation.run_until_done("wk-000400", 20.0);
    // Another controller's copy has more ends than the leader's.
    simulation.nodes[other]
        .core
        .store_cache
        .ended_jobs
        .set_limit(usize::MAX);
    assert_eq!(simulation.show(other, OLD).1, Some(JobState::Done));
    simulation.run(1.0);
    simulation.restore_backup(&backup);
    simulation.run_until(60.0, "a rebuilt store", |simulation| {
        let incomplete = |node: usize| simulation.nodes[node].core.store_is_incomplete();
        simulation.leader().is_some() && !(0..3).any(incomplete)
    });
    for node in 0..simulation.nodes.len() {
        for id in [OLD, "wk-000400"] {
            assert_eq!(simulation.show(node, id).1, Some(JobState::Done), "{id}");
        }
    }
}

/// Parts of a large job that was submitted again long after its end are deleted: the deletion is conditional on the job's
/// key, whose version the leader does not know.
#[test]
fn parts_of_an_old_large_job_are_deleted() {
    let (mut simulation, leader) = four_machines(1504);
    simulation.limit_ended_jobs(MAX_ENDED_JOB_BYTES);
    let mut large = sample(OLD, 1, 1.0, 1);
    large.image = "x".repeat(3000);
    submit(&mut simulation, leader, &large);
    simulation.run_until_done(OLD, 20.0);
    for n in 1..=LATER_JOBS {
        let id = format!("wk-{n:06}");
        submit(&mut simulation, leader, &sample(&id, 1, 1.0, 1));
        simulation.run_until_done(&id, 30.0);
    }
    simulation.run(3.0);
    let parts = |simulation: &Simulation| {
        let keys = simulation.store.keys.keys();
        keys.filter(|key| key.starts_with("burlusher/s/")).count()
    };
    assert_eq!(parts(&simulation), 0);
    // A follower that cannot reach the leader writes the parts before it finds the end.
    simulation.set_peers_reachable(false);
    assert_eq!(simulation.submit(follower(leader), &large), 200);
    simulation.set_peers_reachable(true);
    assert!(parts(&simulation) > 0, "the job was stored in parts again");
    simulation.run(90.0);
    assert_eq!(parts(&simulation), 0);
    assert_eq!(simulation.leader(), Some(leader));
    assert_no_loss(&simulation);
}

/// Drops all ends from a controller's memory that the store holds.
fn drop_all_ends(simulation: &mut Simulation, node: usize) {
    let cache = &mut simulation.nodes[node].core.store_cache;
    cache.ended_jobs.set_limit(0);
    cache.advance_revision(0);
    cache.ended_jobs.set_limit(MAX_ENDED_JOB_BYTES);
}

/// Guards against a job that is said to be pending although one that it depends on is cancelled: that end was read for the
/// submission, and dropped again before the job's key was written.
#[test]
fn a_job_is_not_pending_if_the_end_of_its_dependency_is_dropped_again() {
    let (mut simulation, leader) = with_dropped_ends(1506);
    let spec = dependent_job("wk-000200", OLD_CANCELLED);
    simulation
        .checker
        .specs
        .insert(spec.id.to_string(), spec.clone());
    let submit = UserAction::Submit(Box::new(spec));
    let ticket = simulation.send_request(leader, submit);
    simulation.run_until(2.0, "the read of the dependency", |simulation| {
        let cache = &simulation.nodes[leader].core.store_cache;
        cache.ended_jobs.contains(OLD_CANCELLED)
    });
    drop_all_ends(&mut simulation, leader);
    simulation.run(0.5);
    let response = simulation.network.responses.remove(&ticket).unwrap();
    assert_eq!(response.status, 503);
    simulation.run(1.0);
    let cancelled = Some(JobState::Cancelled);
    assert_eq!(simulation.show(leader, "wk-000200"), (200, cancelled));
}
