//! Direct commands that are carried out late or a second time.

use super::{eight_machines, four_machines, unlimited_job};
use crate::core::simulation::{Link, fails_without};
use crate::fault_injection::Safeguard;
use crate::job::{MachineId, sample};
use crate::wire::{JobState, TaskCommand};
use std::time::Duration;

/// Delays a leader's commands to start tasks until another leader is active. The former leader is killed, or is cut
/// off from the state service and the other controllers. The new leader has received heartbeats only from the other
/// machines, so the machines at which the commands arrive have not seen the new fencing token.
fn delay_commands_of_former_leader(after_s: f64, cut_off: bool) {
    let (mut simulation, leader) = eight_machines(1220);
    // All machines have just sent heartbeats, so the leader sends the starts by direct calls.
    simulation.faults.hold_commands = true;
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-000001", 4, 4.0, 30)),
        201
    );
    simulation.run(0.15);
    assert!(
        !simulation.network.held_commands.is_empty(),
        "no command is in flight"
    );
    let targets: Vec<MachineId> = simulation
        .network
        .held_commands
        .iter()
        .map(|(id, _)| id.clone())
        .collect();
    simulation.faults.cloud_down = true;
    for id in &targets {
        simulation.partition_worker(id);
    }
    let leaderships = simulation.leadership_count();
    if cut_off {
        simulation.nodes[leader].store_link = Link::Refused;
        simulation.nodes[leader].peers_reachable = false;
    } else {
        simulation.kill(leader, Duration::from_secs(30));
    }
    simulation.run_until(10.0, "another leader", |simulation| {
        simulation.leadership_count() > leaderships
    });
    simulation.faults.hold_commands = false;
    simulation.run(after_s);
    let held = std::mem::take(&mut simulation.network.held_commands);
    let arrived = held.iter().filter(|(id, _)| targets.contains(id)).count();
    assert!(arrived > 0, "no command arrives late");
    for (id, body) in held {
        simulation.execute_direct(&id, &body);
    }
    simulation.run(1.0);
    (
        simulation.nodes[leader].store_link,
        simulation.nodes[leader].peers_reachable,
    ) = (Link::Good, true);
    simulation.heal_worker_partitions();
    simulation.faults.cloud_down = false;
    simulation.run_until_done("wk-000001", 120.0);
}

#[test]
fn former_leader_commands_start_nothing_twice() {
    for cut_off in [false, true] {
        for after_s in [0.0, 0.3, 1.0, 3.0, 6.0] {
            delay_commands_of_former_leader(after_s, cut_off);
        }
    }
    fails_without(Safeguard::RecoveryWait, " and on ", || {
        delay_commands_of_former_leader(3.0, false);
    });
}

/// Half of all direct commands are carried out 2 to 16 s late, while leaders change and jobs are cancelled.
#[test]
fn late_commands_through_takeovers_start_nothing_twice() {
    let (mut simulation, _) = eight_machines(1230);
    for n in 0..12u32 {
        simulation.run_until(15.0, "a leader", |simulation| simulation.leader().is_some());
        let leader = simulation.leader().unwrap();
        simulation.faults.late_command_share = 0.5;
        let id = format!("wk-{:06}", n + 1);
        simulation.submit_until_accepted(leader, &unlimited_job(&id, 4, 2.0, 5), 0.5);
        simulation.run(1.0);
        if n % 3 == 1 {
            simulation.cancel_without_waiting((leader + 1) % 3, &id);
        }
        if n % 4 == 3 {
            simulation.kill(leader, Duration::from_millis(500));
        }
        simulation.run(3.0);
    }
    assert!(
        simulation.counters.commands_delayed > 10,
        "{} commands delayed",
        simulation.counters.commands_delayed
    );
    simulation.faults.late_command_share = 0.0;
    simulation.run(20.0);
    for n in 0..12u32 {
        let id = format!("wk-{:06}", n + 1);
        if simulation.reported_final_state(&id).is_none() {
            simulation.run_until_done(&id, 90.0);
        }
    }
}

/// After a `clear` the worker no longer knows the attempt. A second copy of the command that had started the attempt
/// made the worker start it again, although by then the job was cancelled or the task ran on another machine.
#[test]
fn repeated_command_after_clear_refused() {
    let (mut simulation, leader) = eight_machines(65);
    simulation.faults.duplicate_delay = Duration::from_secs(3600);
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-000001", 8, 4.0, 2)),
        201
    );
    simulation.run_until_done("wk-000001", 20.0);
    simulation.run(15.0);
    let cleared = simulation.workers.values().all(|m| m.tasks.is_empty());
    assert!(
        cleared && simulation.counters.tasks_forgotten >= 8,
        "a task has not been cleared"
    );
    let copies = simulation.delayed_command_copies();
    let is_start = |command: &TaskCommand| matches!(command, TaskCommand::Start { .. });
    assert!(
        copies
            .iter()
            .any(|copy| copy.body.commands.iter().any(is_start))
    );
    let before = simulation.counters.starts;
    for copy in copies {
        simulation.execute_direct(&copy.machine, &copy.body);
    }
    assert_eq!(simulation.counters.starts, before);
}

#[test]
fn command_after_completion_starts_nothing() {
    let (mut simulation, leader) = four_machines(7);
    simulation.faults.hold_commands = true;
    simulation.submit(leader, &sample("wk-1", 4, 2.0, 6));
    simulation.run(1.5);
    simulation.faults.hold_commands = false;
    assert!(!simulation.network.held_commands.is_empty());
    simulation.run_until_done("wk-1", 40.0);
    simulation.run(3.0);
    let starts = simulation.counters.starts;
    // The commands arrive long after the tasks are done and cleared.
    simulation.release_held();
    simulation.run(3.0);
    assert_eq!(simulation.counters.starts, starts);
}

/// Direct commands are held for seconds, and their responses are late. Each machine continues with the tasks that it
/// has, and runs each of them once.
#[test]
fn delayed_commands_run_tasks_once() {
    let (mut simulation, leader) = eight_machines(1020);
    simulation.faults.hold_commands = true;
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-000001", 6, 2.0, 8)),
        201
    );
    simulation.run(1.5);
    assert!(
        !simulation.network.held_commands.is_empty(),
        "no command is held"
    );
    assert_eq!(
        simulation.submit(leader, &unlimited_job("wk-000002", 4, 2.0, 100)),
        201
    );
    simulation.run(1.5);
    simulation.cancel_without_waiting(leader, "wk-000002");
    simulation.run(2.0);
    assert_eq!(
        simulation.reported_final_state("wk-000002"),
        Some(JobState::Cancelled)
    );
    simulation.faults.hold_commands = false;
    simulation.release_held();
    simulation.run(2.0);
    assert!(simulation.placements("wk-000002").is_empty());
    simulation.run_until_done("wk-000001", 30.0);
    assert_eq!(
        (simulation.leader(), simulation.leadership_count()),
        (Some(leader), 1)
    );
}
