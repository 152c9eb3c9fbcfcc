use super::*;

/// Returns a set with room for `ends` ends of jobs with ids like those of `id`.
fn with_room_for(ends: usize) -> EndedJobs {
    EndedJobs::with_limit(ends * entry_bytes(&id(0)))
}

fn id(n: u64) -> JobId {
    format!("wk-{n:06}").into()
}

fn ids(ended_jobs: &EndedJobs) -> Vec<&str> {
    ended_jobs.ids().map(|id| &**id).collect()
}

/// Guards against memory that grows with the number of jobs that have ever ended (review/8).
#[test]
fn the_ends_that_were_received_last_are_kept() {
    let mut ended_jobs = with_room_for(3);
    for n in 1..=4 {
        ended_jobs.insert(&id(n), JobOutcome::Done, n * 10);
    }
    ended_jobs.touch(&id(1));
    ended_jobs.drop_oldest(100, |_| false);
    assert_eq!(ids(&ended_jobs), ["wk-000001", "wk-000003", "wk-000004"]);
    assert!(ended_jobs.may_lack(20) && !ended_jobs.may_lack(21));
    assert_eq!((ended_jobs.len(), ended_jobs.total()), (3, 4));
    // An end that is read again counts once.
    ended_jobs.insert(&id(2), JobOutcome::Done, 20);
    ended_jobs.drop_oldest(100, |_| false);
    assert_eq!(ids(&ended_jobs), ["wk-000001", "wk-000002", "wk-000004"]);
    assert_eq!((ended_jobs.len(), ended_jobs.total()), (3, 4));
    assert!(ended_jobs.may_lack(30), "wk-000003 was dropped");
}

/// Guards against ends that are lost with the store's data: an end that the store lacks is kept until it is written.
#[test]
fn ends_that_the_store_lacks_are_kept_until_they_are_written() {
    let mut ended_jobs = with_room_for(1);
    ended_jobs.insert(&id(1), JobOutcome::Cancelled, 10);
    ended_jobs.insert(&id(2), JobOutcome::Done, 0);
    ended_jobs.insert(&id(3), JobOutcome::Done, 30);
    ended_jobs.drop_oldest(100, |job| *job == id(1));
    assert_eq!(ids(&ended_jobs), ["wk-000001", "wk-000002"]);
    assert_eq!(ended_jobs.version(&id(1)), 0);
    ended_jobs.insert(&id(1), JobOutcome::Cancelled, 40);
    ended_jobs.insert(&id(2), JobOutcome::Done, 41);
    ended_jobs.drop_oldest(100, |_| false);
    assert_eq!(ids(&ended_jobs), ["wk-000002"]);
    assert_eq!(ended_jobs.outcome(&id(2)), Some(JobOutcome::Done));
}

/// Changes that the watch has not delivered yet may repeat an earlier state of a job whose end was listed or read.
#[test]
fn ends_that_are_newer_than_the_copy_are_kept() {
    let mut ended_jobs = with_room_for(1);
    for n in 1..=3 {
        ended_jobs.insert(&id(n), JobOutcome::Done, n * 10);
    }
    ended_jobs.drop_oldest(15, |_| false);
    assert_eq!(ids(&ended_jobs), ["wk-000002", "wk-000003"]);
    ended_jobs.drop_oldest(25, |_| false);
    assert_eq!(ids(&ended_jobs), ["wk-000003"]);
    ended_jobs.insert(&id(4), JobOutcome::Done, 40);
    ended_jobs.drop_oldest(25, |_| false);
    assert_eq!(ids(&ended_jobs), ["wk-000003", "wk-000004"]);
}
