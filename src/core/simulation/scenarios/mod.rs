//! Scenario tests, grouped by subject: each describes what happens to a simulated cluster and checks the outcome. This
//! module contains the initial clusters and the jobs that the scenarios share.

mod bidding;
mod cancellation;
mod cancellation_at_handover;
mod cancellation_in_outage;
mod command_copies;
mod delegation;
mod dependencies;
mod ended_jobs;
mod large_jobs;
mod late_commands;
mod late_writes;
mod leadership;
mod loss_of_store;
mod lost_answers;
mod machine_failures;
pub mod mixed_faults;
mod old_heartbeats;
mod outages;
mod partitions;
mod provisioning;
mod scheduling;
mod size;
mod submissions;

use crate::core::simulation::Simulation;
use crate::job::{JobSpec, MachineId, sample};
use crate::policy::Policy;

/// Returns a cluster of three controllers and four machines with 16 CPUs in total; and its leader.
pub fn four_machines(seed: u64) -> (Simulation, usize) {
    let mut simulation = Simulation::new(seed);
    simulation.add_machines("small", 4);
    let leader = simulation.run_until_leader(3.0);
    (simulation, leader)
}

/// Returns a cluster of three controllers and 1000 machines in two zones; and its leader, which has received the
/// machines' heartbeats. No machine can be provisioned.
pub fn thousand_machines(seed: u64, machine_type: &str) -> (Simulation, usize) {
    let mut simulation = Simulation::new(seed);
    simulation.capacity.clear();
    simulation.add_machines(machine_type, 1000);
    let leader = simulation.run_until_leader(4.0);
    (simulation, leader)
}

/// Returns a cluster of three controllers, which serve workers for one another, and eight machines; and its leader. No
/// machine can be provisioned.
pub fn eight_machines(seed: u64) -> (Simulation, usize) {
    crate::core::simulation::enable_log();
    let policy = Policy::parse("added", "delegate = true\nidle_keep = 600").unwrap();
    let mut simulation = Simulation::with_policy(seed, policy);
    simulation.capacity.clear();
    simulation.add_machines("small", 8);
    let leader = simulation.run_until_leader(4.0);
    (simulation, leader)
}

/// Returns a job of the team that has no limit.
pub fn unlimited_job(id: &str, tasks: u32, cpus: f64, seconds: u64) -> JobSpec {
    let mut spec = sample(id, tasks, cpus, seconds);
    spec.team = "u".into();
    spec
}

/// Returns a controller that does not lead.
pub fn follower(leader: usize) -> usize {
    (leader + 1) % 3
}

/// Returns the machines in a zone.
pub fn machines_in_zone(simulation: &Simulation, zone: &str) -> Vec<MachineId> {
    let in_zone = simulation.workers.iter().filter(|(_, m)| m.zone == zone);
    in_zone.map(|(id, _)| id.clone()).collect()
}
