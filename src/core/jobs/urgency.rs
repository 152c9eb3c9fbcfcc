//! What a job owes to those that need it. Users set the priority and the deadline that they care
//! about on the last job of a pipeline; both flow back from there through all that it needs.

use crate::core::Core;
use crate::core::jobs::job_run::{RuntimeRatio, Urgency};
use crate::core::leadership::state::LeaderState;
use crate::core::store::cache::JobRecord;
use crate::job::JobId;
use std::time::Duration;

/// What passes between the end of one job and the start of the next beside the image's fetch: the
/// last report, the commit, a plan, a command.
const HANDOVER: Duration = Duration::from_millis(1500);
/// A job takes as long as the slowest of its tasks.
const SLOWEST: f64 = 1.3;

impl LeaderState {
    /// What a job owes to those that need it, or to itself.
    pub fn urgency_of(&self, id: &JobId, job: &JobRecord) -> Urgency {
        let flowed = self.inherited_urgency.get(id).copied();
        flowed.unwrap_or_else(|| Urgency::own(job))
    }
}

impl Core {
    /// How long a job takes from the end of the last one before it, when room is there at once.
    fn stage(&self, leader: &LeaderState, job: &JobRecord) -> Duration {
        let rates = self.machine_types.iter().map(|t| t.fetch_gb_per_s);
        let slowest = rates.fold(f64::INFINITY, f64::min).max(0.01);
        let pace = leader
            .scheduler
            .runtime_ratios
            .get(&job.spec.class)
            .map_or(1.0, RuntimeRatio::factor);
        let fetch = Duration::from_secs_f64((job.spec.image_gb / slowest).min(600.0));
        job.spec.estimate.mul_f64(pace * SLOWEST) + fetch + HANDOVER
    }

    /// Works out anew what a job owes to those that need it, and then those before it.
    pub(in crate::core) fn propagate_urgency(&mut self, from: &JobId) {
        let mut next = vec![from.clone()];
        while let Some(id) = next.pop() {
            let (Some(leader), Some(job)) = (&self.leader, self.store_cache.jobs.get(&id)) else {
                continue;
            };
            let own = Urgency::own(job);
            let mut u = own;
            for after in self.store_cache.dependencies.dependents(&id) {
                let Some(job) = self.store_cache.jobs.get(after) else {
                    continue;
                };
                if self
                    .store_cache
                    .dependencies
                    .cancelled_dependency(after)
                    .is_some()
                {
                    continue;
                }
                let theirs = leader.urgency_of(after, job);
                u.needed = true;
                u.priority = u.priority.min(theirs.priority);
                let before = theirs
                    .due
                    .and_then(|d| d.checked_sub(self.stage(leader, job)));
                u.due = match (u.due, before) {
                    (Some(a), Some(b)) => Some(a.min(b)),
                    (a, b) => a.or(b),
                };
            }
            if u == leader.urgency_of(&id, job) {
                continue;
            }
            next.extend(job.spec.dependencies.iter().cloned());
            if let Some(leader) = &mut self.leader {
                if u == own {
                    leader.inherited_urgency.remove(&id);
                } else {
                    leader.inherited_urgency.insert(id, u);
                }
                leader.scheduler.request_plan();
            }
        }
    }
}
