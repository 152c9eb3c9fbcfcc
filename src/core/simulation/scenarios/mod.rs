//! Scenarios by subject: each says what happens to the cluster and what must come of it. Here is what
//! they share: clusters to start from, and jobs.

mod bidding;
mod cancellation;
mod cancellation_at_handover;
mod cancellation_in_outage;
mod delegation;
mod dependencies;
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

/// Three controllers with a leader, and machines for 16 CPUs.
pub fn four_machines(seed: u64) -> (Simulation, usize) {
    let mut simulation = Simulation::new(seed);
    simulation.add_machines("small", 4);
    let leader = simulation.run_until_leader(3.0);
    (simulation, leader)
}

/// A thousand machines in two zones and a leader that has received their heartbeats; none can be provisioned.
pub fn thousand_machines(seed: u64, machine_type: &str) -> (Simulation, usize) {
    let mut simulation = Simulation::new(seed);
    simulation.capacity.clear();
    simulation.add_machines(machine_type, 1000);
    let leader = simulation.run_until_leader(4.0);
    (simulation, leader)
}

/// Three controllers that serve workers for one another, and eight machines; none can be provisioned.
pub fn eight_machines(seed: u64) -> (Simulation, usize) {
    crate::core::simulation::enable_log();
    let policy = Policy::parse("added", "delegate = true\nidle_keep = 600").unwrap();
    let mut simulation = Simulation::with_policy(seed, policy);
    simulation.capacity.clear();
    simulation.add_machines("small", 8);
    let leader = simulation.run_until_leader(4.0);
    (simulation, leader)
}

/// Of the team without a limit.
pub fn unlimited_job(id: &str, tasks: u32, cpus: f64, seconds: u64) -> JobSpec {
    let mut spec = sample(id, tasks, cpus, seconds);
    spec.team = "u".into();
    spec
}

/// A controller that does not lead.
pub fn follower(leader: usize) -> usize {
    (leader + 1) % 3
}

/// The machines that are in a zone.
pub fn machines_in_zone(simulation: &Simulation, zone: &str) -> Vec<MachineId> {
    let in_zone = simulation.workers.iter().filter(|(_, m)| m.zone == zone);
    in_zone.map(|(id, _)| id.clone()).collect()
}
