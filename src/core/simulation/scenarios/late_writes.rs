//! Transactions that are carried out late, after newer ones.

use super::{eight_machines, four_machines, unlimited_job};
use crate::core::simulation::{Link, Simulation, fails_without};
use crate::fault_injection::Safeguard;
use crate::job::{MachineId, sample};
use crate::policy::Policy;
use std::time::Duration;

/// Holds the leader's transactions, without responses, during `action` and for 2.5 s after it. The leader writes the
/// same changes again once its connection is restored, so the first copy is still in flight when the second is carried
/// out.
fn hold_writes_during(
    simulation: &mut Simulation,
    leader: usize,
    action: impl FnOnce(&mut Simulation),
) {
    simulation.nodes[leader].store_link = Link::WritesHeld;
    action(simulation);
    simulation.run(2.5);
    assert!(
        !simulation.network.held_transactions.is_empty(),
        "no transaction is held"
    );
    simulation.nodes[leader].store_link = Link::Good;
    simulation.run(1.5);
}

/// Returns whether the store has a record of a machine.
fn is_recorded(simulation: &Simulation, id: &MachineId) -> bool {
    let pages = simulation.stored_values("burlusher/p/").into_values();
    let mut listed = pages.filter_map(|p| p.get("machines")?.as_object().cloned());
    listed.any(|m| m.contains_key(&**id))
}

/// The delayed first copy of a page of machine records was carried out after a newer one with more machines. The
/// next leader did not know one of the machines, and restarted the tasks that ran on it.
#[test]
fn late_machine_page_loses_no_machine() {
    let (mut simulation, leader) = eight_machines(81);
    hold_writes_during(&mut simulation, leader, |simulation| {
        simulation.add_machine("small", "a");
    });
    let last = simulation.add_machine("small", "a");
    simulation.run(3.0);
    assert!(is_recorded(&simulation, &last));
    simulation.release_held();
    simulation.run(0.5);
    assert!(is_recorded(&simulation, &last), "the record is lost");
    // The machine can be neither reached nor deleted while leaders change; its task must not start elsewhere.
    simulation.faults.cloud_down = true;
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-000001", 10, 4.0, 30)),
        201
    );
    simulation.run(2.0);
    assert!(
        simulation
            .placements("wk-000001")
            .iter()
            .any(|(m, _)| *m == last)
    );
    simulation.partition_worker(&last);
    simulation.kill(leader, Duration::from_secs(30));
    simulation.run_until(8.0, "another leader", |simulation| {
        simulation.leader().is_some()
    });
    simulation.add_machine("small", "b");
    simulation.run(9.0);
    simulation
        .workers
        .get_mut(&last)
        .unwrap()
        .partitioned_from
        .clear();
    simulation.run_until_done("wk-000001", 80.0);
}

/// The delayed first copy of a range of completed tasks was carried out after a longer range. The next leader ran
/// tasks again whose results had been cleared.
#[test]
fn late_completion_write_loses_no_task() {
    let (mut simulation, leader) = eight_machines(82);
    // The tasks run in three waves of eight.
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-000001", 24, 4.0, 5)),
        201
    );
    simulation.run(5.0);
    hold_writes_during(&mut simulation, leader, |simulation| simulation.run(2.0));
    simulation.run(3.5);
    simulation.release_held();
    // The next leader knows only what is in the store.
    (0..3).for_each(|n| simulation.kill(n, Duration::from_secs(1)));
    simulation.run_until_done("wk-000001", 40.0);
    assert_eq!(simulation.counters.starts, 24, "a task was run again");
}

/// A leader's delayed write was carried out after all, and so the second copy was refused. The leader took this refusal
/// for the end of its leadership. It must not take the refusal for success either: it writes the refused changes again
/// and reports them only then.
#[test]
fn leader_keeps_leading_after_late_own_write() {
    let (mut simulation, leader) = eight_machines(83);
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-000001", 4, 4.0, 3)),
        201
    );
    simulation.run(1.0);
    simulation.nodes[leader].store_link = Link::WritesHeld;
    simulation.run(3.5);
    assert!(
        !simulation.network.held_transactions.is_empty(),
        "no transaction is held"
    );
    simulation.release_held();
    simulation.nodes[leader].store_link = Link::Good;
    simulation.run_until_done("wk-000001", 6.0);
    assert_eq!(simulation.leader(), Some(leader));
    // With a third of all transactions carried out late, jobs still finish, and the leader does not step down.
    simulation.faults.late_write_share = 0.35;
    for n in 2..8 {
        let id = format!("wk-{n:06}");
        simulation.submit_until_accepted(leader, &unlimited_job(&id, 6, 2.0, 2), 1.0);
        simulation.run_until_done(&id, 40.0);
        assert_eq!(simulation.leader(), Some(leader));
    }
}

#[test]
fn late_write_of_old_leader_rejected() {
    let (mut simulation, leader) = four_machines(5);
    simulation.submit(leader, &sample("wk-1", 4, 2.0, 30));
    simulation.run(2.0);
    // The old leader's cancellation is delayed by the network while another controller leads.
    simulation.nodes[leader].store_link = Link::Held;
    let _ = simulation.cancel(leader, "wk-1");
    simulation.run_until_other_leader(leader, 10.0);
    assert!(!simulation.network.held_transactions.is_empty());
    simulation.release_held();
    simulation.nodes[leader].store_link = Link::Good;
    simulation.run_until_done("wk-1", 60.0);
}

/// Kills the leader while new machines, which boot within 400 ms, get tasks and writes are late. Each machine must be
/// recorded in the store before its first task, so that the next leader queries it before it starts any task again.
/// Returns the number of tasks that were placed when the leader was killed.
fn kill_leader_with_new_machines(
    late_write_share: f64,
    store_delay: Duration,
    kill_after_tenths: u64,
) -> u32 {
    let policy = Policy::parse("new", "delegate = true\nidle_keep = 600").unwrap();
    let mut simulation = Simulation::with_policy(1240 + kill_after_tenths, policy);
    simulation.boot_time = Duration::from_millis(400);
    let leader = simulation.run_until_leader(3.0);
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-000001", 6, 4.0, 25)),
        201
    );
    (
        simulation.faults.late_write_share,
        simulation.faults.store_delay,
    ) = (late_write_share, store_delay);
    simulation.run_until(20.0, "machines are provisioned", |simulation| {
        simulation.workers.len() >= 3
    });
    simulation.run(0.5 + kill_after_tenths as f64 * 0.1);
    let placed = simulation.placements("wk-000001").len() as u32;
    // Machines with tasks are partitioned from all controllers, and the cloud does not respond.
    simulation.faults.cloud_down = true;
    let busy = simulation
        .workers
        .values_mut()
        .filter(|m| !m.tasks.is_empty());
    busy.for_each(|m| m.partitioned_from = (0..3).collect());
    simulation.kill(leader, Duration::from_secs(30));
    let leaderships = simulation.leadership_count();
    simulation.run_until(30.0, "another leader", |simulation| {
        simulation.leadership_count() > leaderships
    });
    (
        simulation.faults.late_write_share,
        simulation.faults.store_delay,
    ) = (0.0, Duration::ZERO);
    simulation.run(6.0);
    simulation.release_held();
    simulation.heal_worker_partitions();
    simulation.faults.cloud_down = false;
    simulation.run_until_done("wk-000001", 120.0);
    placed
}

#[test]
fn new_machine_recorded_before_first_task() {
    let mut placed = 0;
    for kill_after_tenths in [0, 2, 5, 10, 20] {
        for (late_write_share, delay_ms) in [(0.0, 0), (0.0, 1500), (0.5, 0), (0.4, 800)] {
            let store_delay = Duration::from_millis(delay_ms);
            placed +=
                kill_leader_with_new_machines(late_write_share, store_delay, kill_after_tenths);
        }
    }
    assert!(
        placed > 20,
        "only {placed} tasks were placed when the leader was killed"
    );
    fails_without(Safeguard::MachineRecords, "which is not on record", || {
        kill_leader_with_new_machines(0.9, Duration::ZERO, 5);
    });
}
