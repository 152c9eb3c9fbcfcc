//! Validation of submitted jobs: whether a job can ever run with its resources and machine types, its
//! team's limits, and the jobs that it depends on.

use crate::core::Core;
use crate::http::Response;
use crate::job::{JobId, JobKind, JobSpec};
use crate::settings::Team;
use crate::wire::MachineType;

/// Tolerance in comparisons of resources with a team's limit.
const LIMIT_TOLERANCE: f64 = 1e-6;

impl Core {
    /// Validates a submission as far as this node can. The error has status 422 for a job that can never
    /// run, and 503 while that cannot be determined.
    pub(in crate::core) fn validate(&self, spec: &JobSpec) -> Result<(), Response> {
        self.validate_placement(spec)?;
        self.validate_dependencies(spec)
    }

    fn validate_placement(&self, spec: &JobSpec) -> Result<(), Response> {
        let Some(team) = self.settings.team(&spec.team) else {
            return rejected("unknown team");
        };
        if self.machine_types.is_empty() {
            return Err(Response::busy("machine types are not known yet", 2));
        }
        if !self.machine_types.iter().any(|t| self.fits_type(spec, t)) {
            return rejected("a task fits no allowed machine type");
        }
        if exceeds_team_limit(spec, team) {
            return rejected("the job needs more than the team's limit");
        }
        Ok(())
    }

    /// Returns whether a task can run on a machine of this type.
    fn fits_type(&self, spec: &JobSpec, machine_type: &MachineType) -> bool {
        // A type that lists no zones is available in all zones of the settings.
        let zones = if machine_type.zones.is_empty() {
            &self.settings.zones
        } else {
            &machine_type.zones
        };
        let zone_offered = |zone: &String| zones.is_empty() || zones.contains(zone);
        spec.allows_type(&machine_type.name)
            && spec.resources.fits(&machine_type.capacity())
            && spec.zone.as_ref().is_none_or(zone_offered)
    }

    fn validate_dependencies(&self, spec: &JobSpec) -> Result<(), Response> {
        if spec.dependencies.contains(&spec.id) {
            return rejected("the job depends on itself");
        }
        match spec.dependencies.iter().find(|id| self.is_service(id)) {
            Some(id) => rejected(&format!(
                "the job depends on {id}, a service, which is never done"
            )),
            None => Ok(()),
        }
    }

    fn is_service(&self, id: &JobId) -> bool {
        let job = self.store_cache.jobs.get(id);
        job.is_some_and(|job| job.spec.job_kind == JobKind::Service)
    }

    /// Returns a dependency of the job that, as far as this node knows, was never accepted.
    pub(in crate::core) fn unknown_dependency<'a>(&self, spec: &'a JobSpec) -> Option<&'a JobId> {
        let mut dependencies = spec.dependencies.iter();
        dependencies.find(|id| !self.store_cache.is_known_job(id))
    }

    /// Returns the response with the reason why a submission was rejected permanently.
    pub(in crate::core) fn rejection_reason(&self, spec: &JobSpec) -> Response {
        self.validate(spec).err().unwrap_or_else(|| {
            let text = match self.unknown_dependency(spec) {
                Some(id) => format!("the job depends on {id}, which was never accepted"),
                None => "the job can never run; the leader's log has the reason".into(),
            };
            Response::error(422, &text)
        })
    }
}

fn rejected(reason: &str) -> Result<(), Response> {
    Err(Response::error(422, reason))
}

/// Returns whether the tasks that have to run at the same time need more than the team may ever use.
fn exceeds_team_limit(spec: &JobSpec, team: &Team) -> bool {
    let concurrent_tasks = match spec.job_kind {
        JobKind::Array => 1.0,
        JobKind::Service | JobKind::Gang => f64::from(spec.tasks),
    };
    let exceeds = |per_task: f64, limit: Option<f64>| {
        limit.is_some_and(|limit| per_task * concurrent_tasks > limit + LIMIT_TOLERANCE)
    };
    exceeds(spec.resources.cpus, team.cpus_max) || exceeds(spec.resources.gpus, team.gpus_max)
}
