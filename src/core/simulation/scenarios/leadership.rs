//! Changes of leader: what goes on through them, and when a leader makes way.

use super::{eight_machines, four_machines, thousand_machines, unlimited_job};
use crate::job::{JobSpec, sample};
use crate::wire::JobState;
use std::time::Duration;

#[test]
fn all_controllers_restart_and_no_work_is_lost_or_repeated() {
    let (mut w, leader) = four_machines(15);
    w.submit(leader, &sample("wk-1", 8, 2.0, 9));
    w.submit(leader, &sample("wk-2", 4, 2.0, 3));
    w.until_done("wk-2", 40.0);
    for i in 0..3 {
        w.kill(i, Duration::from_secs(2));
    }
    w.until(12.0, "a leader", |w| w.leader().is_some());
    w.until_done("wk-1", 40.0);
    assert_eq!(w.show(0, "wk-2").1, Some(JobState::Done));
    assert_eq!(w.starts, 12);
}

#[test]
fn a_new_leader_does_not_start_what_a_silent_machine_may_have() {
    let (mut w, leader) = four_machines(16);
    w.cloud_down = true;
    w.submit(leader, &sample("wk-1", 7, 2.0, 40));
    w.run(2.0);
    let id = w.places("wk-1")[0].0.clone();
    // The machine keeps its tasks but cannot reach the nodes that are left.
    w.workers.get_mut(&id).unwrap().cut = (0..3).collect();
    w.kill(leader, Duration::from_secs(100));
    w.until(8.0, "a new leader", |w| w.leader().is_some());
    let new = w.leader().unwrap();
    assert_eq!(w.submit(new, &sample("wk-2", 1, 2.0, 2)), 201);
    w.run(3.0);
    // The old job's tasks are where they were; the new job does not wait for the silent machine.
    assert_eq!(w.places("wk-1").len(), 7);
    assert_eq!(w.starts, 8);
    assert_eq!(w.show(new, "wk-2").1, Some(JobState::Done));
    // Once its lease has run out, and not before, its tasks start anew.
    w.until_done("wk-1", 120.0);
}

#[test]
fn a_leader_that_hears_no_worker_makes_way() {
    let (mut w, leader) = four_machines(17);
    w.submit(leader, &sample("wk-1", 4, 2.0, 3));
    for m in w.workers.values_mut() {
        m.cut.insert(leader);
    }
    let machines = w.workers.len();
    w.until(15.0, "another leader", |w| {
        w.leader().is_some_and(|l| l != leader)
    });
    // The silence of all is a cut, not the loss of each.
    assert_eq!(w.workers.len(), machines);
    w.until_done("wk-1", 40.0);
}

/// A leader that lost its workers deleted a third of them for their silence, one by one, before it
/// saw that all were silent, and resigned much later still.
#[test]
fn a_leader_of_many_that_lose_it_makes_way_soon_and_gives_none_up() {
    let (mut w, leader) = thousand_machines(25, "small");
    w.run(4.0);
    w.submit(leader, &sample("wk-1", 4, 2.0, 3));
    for m in w.workers.values_mut() {
        m.cut.insert(leader);
    }
    w.until(3.0, "another leader", |w| {
        w.leader().is_some_and(|l| l != leader)
    });
    w.until_done("wk-1", 20.0);
    assert_eq!(w.workers.len(), 1000);
}

/// One machine that had died with the old leader held up all old tasks that nobody had shown, for
/// more than its report interval.
#[test]
fn a_machine_that_died_with_the_old_leader_holds_nobody_up() {
    let (mut w, leader) = four_machines(27);
    w.capacity.clear();
    w.submit(leader, &sample("wk-1", 8, 2.0, 60));
    w.submit(leader, &sample("wk-2", 4, 1.0, 60));
    w.run(2.0);
    let id = w.places("wk-1")[0].0.clone();
    let mut others: Vec<_> = w.workers.keys().cloned().collect();
    others.retain(|other| *other != id);
    w.workers.get_mut(&id).unwrap().hung = true;
    w.kill(leader, Duration::from_secs(60));
    w.until(8.0, "a new leader", |w| w.leader().is_some());
    w.until(4.0, "the dead machine's deletion", |w| {
        !w.workers.contains_key(&id)
    });
    // The others, which answered, are all there.
    assert!(others.iter().all(|id| w.workers.contains_key(id)));
}

/// Found by the mixture below: all machines were gone, and each leader in turn resigned before
/// it could find that out.
#[test]
fn leaders_do_not_resign_in_turns_when_every_machine_is_gone() {
    let (mut w, leader) = four_machines(22);
    w.submit(leader, &sample("wk-1", 4, 2.0, 5));
    w.run(1.0);
    w.cloud_down = true;
    w.workers.clear();
    w.run(20.0);
    w.cloud_down = false;
    w.until_done("wk-1", 120.0);
}

/// All controllers are away for longer than a lease, with work waiting, running and cancelled before.
#[test]
fn controllers_that_were_all_away_for_longer_than_a_lease_go_on_with_everything() {
    let (mut w, leader) = eight_machines(970);
    assert_eq!(
        w.submit(leader, &unlimited_job("wk-000001", 12, 4.0, 12)),
        201
    );
    assert_eq!(
        w.submit(leader, &unlimited_job("wk-000002", 6, 4.0, 300)),
        201
    );
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
    let (mut w, _) = eight_machines(980);
    // Three tasks one after the other on the only machine of the zone that has room for them.
    let mut apart: JobSpec = unlimited_job("wk-000001", 3, 4.0, 25);
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
        if w.submit(leader, &unlimited_job(&id, 2, 1.0, 6 + n)) == 201 {
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

/// Its former key and lease still stand, and frames of its former life are under way.
#[test]
fn a_controller_back_within_a_moment_takes_nothing_of_its_former_life_for_its_own() {
    let (mut w, leader) = eight_machines(68);
    assert_eq!(
        w.submit(leader, &unlimited_job("wk-000001", 8, 4.0, 12)),
        201
    );
    w.run(3.0);
    let starts = w.starts;
    for _ in 0..3 {
        w.kill(leader, Duration::from_millis(50));
        w.run(0.3);
    }
    // Not longer than the lease.
    w.until(4.0, "a leader", |w| w.leader().is_some());
    (0..3).for_each(|n| w.kill(n, Duration::from_millis(100)));
    w.until(4.5, "a leader", |w| w.leader().is_some());
    w.until_done("wk-000001", 40.0);
    assert_eq!(w.starts, starts);
}
