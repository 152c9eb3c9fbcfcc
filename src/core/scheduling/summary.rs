//! Periodic summary of the cluster in the log.

use crate::core::Core;
use crate::core::machines::machine::Machine;
use crate::core::machines::placement::Placement;
use crate::job::Resources;
use std::time::Duration;

/// Interval between summaries.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(10);

impl Core {
    /// Logs the summary of machines, tasks and jobs if it is due.
    pub(super) fn log_summary(&mut self) {
        let now = self.now.mono;
        let Some(leader) = &mut self.leader else {
            return;
        };
        let last = leader.scheduler.last_summary_log;
        if last.is_some_and(|last| now < last + SUMMARY_INTERVAL) {
            return;
        }
        leader.scheduler.last_summary_log = Some(now);
        let machines = &leader.machines;
        let count = |is_counted: &dyn Fn(&Machine) -> bool| {
            machines.values().filter(|m| is_counted(m)).count()
        };
        let count_tasks = |is_counted: &dyn Fn(&Placement) -> bool| {
            let placements = machines.values().flat_map(|m| m.tasks.values());
            placements.filter(|p| is_counted(p)).count()
        };
        let mut used = Resources::default();
        let mut capacity = Resources::default();
        for machine in machines.values().filter(|m| m.incarnation > 0) {
            for placement in machine.tasks.values() {
                used.add(&placement.resources);
            }
            let mut types = self.machine_types.iter();
            if let Some(machine_type) = types.find(|t| t.name == machine.machine_type) {
                capacity.add(&machine_type.capacity());
            }
        }
        let queued: usize = leader
            .job_runs
            .values()
            .map(|run| run.tasks.queued().len())
            .sum();
        tracing::info!(
            machines_up = count(&|m| m.incarnation > 0),
            machines_spot = count(&|m| m.incarnation > 0 && m.spot),
            machines_idle = count(&|m| m.incarnation > 0 && m.tasks.is_empty()),
            machines_booting = count(&|m| m.incarnation == 0),
            cpus_used = used.cpus.round(),
            cpus = capacity.cpus.round(),
            tasks_running = count_tasks(&|p| p.runs()),
            tasks_starting = count_tasks(&|p| !p.runs()),
            tasks_queued = queued,
            jobs = leader.job_runs.len(),
            "cluster summary"
        );
    }
}
