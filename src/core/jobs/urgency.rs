//! Urgency that jobs inherit from their dependents. Users set the priority and the deadline that
//! they care about on the last job of a pipeline; both propagate from there to all jobs that it
//! depends on.

use crate::core::Core;
use crate::core::jobs::job_run::Urgency;
use crate::core::leadership::state::LeaderState;
use crate::core::store::cache::JobRecord;
use crate::job::JobId;
use std::time::Duration;

/// Time between the end of one job and the start of the next, without the fetch of the image: the
/// last heartbeat, the commit, a plan and a command.
const STAGE_OVERHEAD: Duration = Duration::from_millis(1500);
/// Ratio of the run time of a job's slowest task to the usual one. A job takes as long as that task.
const SLOWEST_TASK_FACTOR: f64 = 1.3;
/// Lower bound of the rate at which machines fetch images, in GB per second.
const MIN_FETCH_GB_PER_S: f64 = 0.01;
/// Upper bound of the time to fetch an image, in seconds.
const MAX_FETCH_S: f64 = 600.0;

impl LeaderState {
    /// Returns the urgency that a job has inherited, or else its own.
    pub fn urgency_of(&self, id: &JobId, job: &JobRecord) -> Urgency {
        let inherited = self.inherited_urgency.get(id).copied();
        inherited.unwrap_or_else(|| Urgency::own(job))
    }
}

impl Core {
    /// Returns how long a job takes from the end of its last dependency, if there is capacity at once.
    fn stage_duration(&self, leader: &LeaderState, job: &JobRecord) -> Duration {
        let rates = self.machine_types.iter().map(|t| t.fetch_gb_per_s);
        let slowest = rates.fold(f64::INFINITY, f64::min).max(MIN_FETCH_GB_PER_S);
        let fetch = Duration::from_secs_f64((job.spec.image_gb / slowest).min(MAX_FETCH_S));
        let runtime_factor = leader.runtime_factor(&job.spec.class);
        job.spec
            .estimate
            .mul_f64(runtime_factor * SLOWEST_TASK_FACTOR)
            + fetch
            + STAGE_OVERHEAD
    }

    /// Recomputes the urgency of a job that changed, and of the jobs that it depends on.
    pub(in crate::core) fn propagate_job_urgency(&mut self, id: &JobId) {
        let Some(job) = self.store_cache.jobs.get(id) else {
            return;
        };
        let dependencies = job.spec.dependencies.clone();
        for dependency in &dependencies {
            self.propagate_urgency(dependency);
        }
        self.propagate_urgency(id);
    }

    /// Recomputes the urgency of a job and, where it changes, of the jobs that it depends on.
    pub(in crate::core) fn propagate_urgency(&mut self, from: &JobId) {
        let mut next = vec![from.clone()];
        while let Some(id) = next.pop() {
            let (Some(leader), Some(job)) = (&self.leader, self.store_cache.jobs.get(&id)) else {
                continue;
            };
            let own = Urgency::own(job);
            let urgency = self.inherit_urgency(leader, &id, own);
            if urgency == leader.urgency_of(&id, job) {
                continue;
            }
            next.extend(job.spec.dependencies.iter().cloned());
            if let Some(leader) = &mut self.leader {
                if urgency == own {
                    leader.inherited_urgency.remove(&id);
                } else {
                    leader.inherited_urgency.insert(id, urgency);
                }
                leader.scheduler.request_plan();
            }
        }
    }

    /// Returns a job's urgency, combined from its own and that of its dependents.
    fn inherit_urgency(&self, leader: &LeaderState, id: &JobId, own: Urgency) -> Urgency {
        let graph = &self.store_cache.dependencies;
        let mut urgency = own;
        for dependent in graph.dependents(id) {
            let Some(job) = self.store_cache.jobs.get(dependent) else {
                continue;
            };
            if graph.cancelled_dependency(dependent).is_some() {
                continue;
            }
            let inherited = leader.urgency_of(dependent, job);
            let stage = self.stage_duration(leader, job);
            let due = inherited.due.and_then(|due| due.checked_sub(stage));
            urgency.has_dependents = true;
            urgency.priority = urgency.priority.min(inherited.priority);
            urgency.due = [urgency.due, due].into_iter().flatten().min();
        }
        urgency
    }
}
