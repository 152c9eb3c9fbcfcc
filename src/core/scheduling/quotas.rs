//! Resource usage of teams, and the jobs within their teams' guaranteed quotas.

use crate::core::Core;
use crate::core::jobs::job_run::JobRun;
use crate::core::leadership::state::LeaderState;
use crate::core::store::cache::JobRecord;
use crate::fault_injection::{Safeguard, is_enabled};
use crate::job::{EPSILON, JobId, Resources};
use crate::planning::backfill::TeamUsage;
use crate::planning::cluster_snapshot::ClusterSnapshot;
use crate::settings::Team;
use std::time::SystemTime;

/// Remaining part of a team's guaranteed quota.
#[derive(Clone, Copy)]
struct RemainingQuota {
    cpus: f64,
    gpus: f64,
}

impl RemainingQuota {
    /// Returns a team's whole quota, if it has any.
    fn of(team: &Team) -> Option<RemainingQuota> {
        let has_quota = team.cpus > 0.0 || team.gpus > 0.0;
        has_quota.then_some(RemainingQuota {
            cpus: team.cpus,
            gpus: team.gpus,
        })
    }

    /// Returns what remains after deducting these resources, or `None` if they do not fit.
    fn without(self, resources: &Resources) -> Option<RemainingQuota> {
        let rest = RemainingQuota {
            cpus: self.cpus - resources.cpus,
            gpus: self.gpus - resources.gpus,
        };
        (rest.cpus >= -EPSILON && rest.gpus >= -EPSILON).then_some(rest)
    }
}

impl Core {
    /// Returns the resource usage of every team, including tasks that may be running without having been observed yet.
    pub(super) fn team_usage(
        &self,
        leader: &LeaderState,
        snapshot: &ClusterSnapshot,
    ) -> Vec<TeamUsage> {
        let teams = self.settings.teams.iter().enumerate();
        let mut usage: Vec<TeamUsage> = teams
            .map(|(index, team)| {
                let allocation = snapshot.team_allocation(index);
                TeamUsage {
                    cpus: allocation.cpus,
                    gpus: allocation.gpus,
                    cpu_limit: team.cpus_max.filter(|_| is_enabled(Safeguard::TeamLimit)),
                    gpu_limit: team.gpus_max,
                    cpu_quota: team.cpus,
                    gpu_quota: team.gpus,
                }
            })
            .collect();
        if leader.rebuild.is_some() {
            let held = self.held_resources(leader);
            for team in &mut usage {
                team.cpus += held.cpus;
                team.gpus += held.gpus;
            }
        }
        if !leader.recovery.is_complete() {
            // Tasks of earlier terms that have not been observed yet may run on machines that have not reported. Their
            // usage is limited by the capacity of those machines and by the requests of those tasks.
            let capacity = self.unobserved_capacity(leader);
            let tasks = self.unobserved_tasks(leader);
            for (team, tasks) in usage.iter_mut().zip(tasks) {
                team.cpus += tasks.cpus.min(capacity.cpus);
                team.gpus += tasks.gpus.min(capacity.gpus);
            }
        }
        usage
    }

    /// Returns, by team, the resources of tasks that an earlier leader may have started and that have not been observed
    /// yet.
    fn unobserved_tasks(&self, leader: &LeaderState) -> Vec<Resources> {
        let mut unobserved = vec![Resources::default(); self.settings.teams.len()];
        for (id, run) in leader
            .job_runs
            .iter()
            .filter(|(_, r)| !r.tasks.queued().is_empty())
        {
            if let Some(job) = self.store_cache.jobs.get(id)
                && job.version < leader.key_version
                && let Some(team) = run.team
                && self.store_cache.dependencies_met(id)
            {
                let tasks = run.tasks.queued().len() as f64;
                unobserved[team].add(&job.spec.resources.times(tasks));
            }
        }
        // Tasks of jobs that were cancelled recently may still be running as well.
        if is_enabled(Safeguard::ResidualUsage) {
            for residual in self.store_cache.residual_tasks.values() {
                if let Some(team) = self.settings.team_index(&residual.team) {
                    let tasks = f64::from(residual.tasks);
                    unobserved[team].add(&residual.resources.times(tasks));
                }
            }
        }
        unobserved
    }

    /// Returns the capacity of the machines that may hold tasks and have not reported to this leader yet.
    pub(super) fn unobserved_capacity(&self, leader: &LeaderState) -> Resources {
        let mut capacity = Resources::default();
        if leader.recovery.is_complete() {
            return capacity;
        }
        for machine in leader.machines.values().filter(|m| m.unresolved) {
            let Some(machine_type) = self.type_of(&machine.machine_type) else {
                return Resources {
                    cpus: f64::INFINITY,
                    gpus: f64::INFINITY,
                    ram: f64::INFINITY,
                };
            };
            capacity.add(&machine_type.capacity());
        }
        capacity
    }

    /// Determines the jobs that fit into their team's quota together with the team's earlier unfinished jobs. The
    /// result changes only when a job arrives, becomes ready or ends.
    pub(super) fn update_quotas(&mut self) {
        let Some(leader) = &mut self.leader else {
            return;
        };
        if !std::mem::take(&mut leader.scheduler.guarantees_changed) {
            return;
        }
        let mut jobs: Vec<(SystemTime, &JobId, &JobRecord, &mut JobRun)> = Vec::new();
        for (id, run) in &mut leader.job_runs {
            run.guaranteed = false;
            if let Some(job) = self.store_cache.jobs.get(id)
                && self.store_cache.dependencies_met(id)
            {
                jobs.push((job.submitted, id, job, run));
            }
        }
        jobs.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)));
        // Once a job does not fit, none of the team's later jobs are within the quota.
        let teams = self.settings.teams.iter();
        let mut quotas: Vec<Option<RemainingQuota>> = teams.map(RemainingQuota::of).collect();
        for (_, _, job, run) in jobs {
            let Some(quota) = run.team.and_then(|team| quotas.get_mut(team)) else {
                continue;
            };
            let requested = job.spec.resources.times(f64::from(job.spec.tasks));
            *quota = quota.and_then(|quota| quota.without(&requested));
            run.guaranteed = quota.is_some();
        }
    }
}
