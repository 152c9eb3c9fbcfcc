//! Scenario files: the simulated cluster, its load and its events. Every error names file and line.

use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

/// Error in a scenario file, with its place.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {reason}")]
pub struct ScenarioError {
    /// Name of the file.
    pub file: String,
    /// Line number, from 1.
    pub line: usize,
    /// Description of the error.
    pub reason: String,
}

/// A simulated cluster, its load and its events.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Seed of the load: equal seeds give equal loads.
    pub seed: u64,
    /// Duration of job submission, in seconds; unfinished jobs may then take as long again.
    pub load_s: f64,
    /// Number of controllers.
    pub controllers: Spanned<usize>,
    /// Maximum fraction of all work that a zone may do in excess of an equal share.
    #[serde(default = "default_tolerance")]
    pub tolerance: f64,
    /// Entries of the operators' policy, written into the controllers' policy file.
    #[serde(default)]
    pub policy: String,
    /// Whether a snapshotter process archives snapshots of the state service.
    #[serde(default, rename = "archivist")]
    pub snapshotter: bool,
    /// Interval between a worker's heartbeats, in seconds.
    #[serde(default = "default_report_s")]
    pub report_s: f64,
    /// Duration of a worker's lease, in seconds: without a response for this long, the worker ends its
    /// tasks.
    #[serde(default = "default_lease_s")]
    pub lease_s: f64,
    /// Memory quota of each controller, in MB.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
    /// Socket quota of each controller.
    #[serde(default = "default_sockets")]
    pub sockets: u32,
    /// Zones; each has machines, and the controllers are spread over them.
    pub zones: Vec<String>,
    /// Machine types.
    #[serde(rename = "machine")]
    pub machines: Vec<MachineTypeSpec>,
    /// Job classes.
    #[serde(rename = "job")]
    pub jobs: Vec<JobClass>,
    /// Events during the load, such as faults.
    #[serde(default, rename = "event")]
    pub events: Vec<Event>,
}

fn default_report_s() -> f64 {
    1.0
}

fn default_lease_s() -> f64 {
    8.0
}

fn default_memory_mb() -> f64 {
    256.0
}

fn default_sockets() -> u32 {
    2000
}

fn default_tolerance() -> f64 {
    1.0
}

/// A machine type, with its capacity in each zone.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineTypeSpec {
    /// Name of the type.
    pub name: String,
    /// CPUs of a machine.
    pub cpus: f64,
    /// Memory of a machine, in GB.
    pub ram_gb: f64,
    /// Price of an ordinary (on-demand) machine per hour.
    pub price: f64,
    /// Price of a spot machine per hour; `None` if there are no spot machines.
    pub spot_price: Option<f64>,
    /// Boot time, in seconds.
    pub boot_s: f64,
    /// Maximum number of ordinary machines in each zone.
    #[serde(default)]
    pub ordinary: u32,
    /// Maximum number of spot machines in each zone.
    #[serde(default)]
    pub spot: u32,
}

/// A job class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobClass {
    /// Name of the class.
    pub class: String,
    /// Mean number of jobs submitted per minute.
    #[serde(rename = "a_minute")]
    pub jobs_per_minute: Spanned<f64>,
    /// Number of tasks per job.
    pub tasks: Spanned<u32>,
    /// Mean run time of a task, in seconds.
    pub run_s: f64,
    /// CPUs of a task.
    pub cpus: f64,
    /// Memory of a task, in GB.
    pub ram_gb: f64,
    /// Whether the jobs have high priority.
    #[serde(default)]
    pub urgent: bool,
    /// Whether the tasks may run on spot machines.
    #[serde(default)]
    pub spot: bool,
    /// Deadline of a job, in seconds after its submission.
    pub deadline_s: Option<f64>,
    /// Start-time objective: maximum time from submission to the start of a task, in seconds.
    pub start_within_s: Option<f64>,
    /// Fraction of the jobs or tasks that should meet the objectives.
    #[serde(default = "default_share")]
    pub share: f64,
}

fn default_share() -> f64 {
    0.95
}

/// An event that is carried out while the load runs.
#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    /// Time of the event, in seconds after the start of the load.
    pub at_s: f64,
    /// The action.
    #[serde(flatten)]
    pub action: EventAction,
}

/// Action of an event.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(tag = "do", rename_all = "kebab-case")]
pub enum EventAction {
    /// Stops provisioning in a zone, and reclaims its machines after a notice period.
    DrainZone {
        /// Name of the zone.
        zone: String,
        /// Notice period before the machines are reclaimed, in seconds.
        notice_s: f64,
    },
    /// Allows provisioning in a drained zone again.
    OpenZone {
        /// Name of the zone.
        zone: String,
    },
    /// Kills a controller, and restarts it after `back_s`.
    KillController {
        /// Number of the controller, from 0.
        number: usize,
        /// Delay before the restart, in seconds.
        back_s: f64,
    },
    /// Kills the controller that is the leader, and restarts it after `back_s`.
    KillLeader {
        /// Delay before the restart, in seconds.
        back_s: f64,
    },
    /// The cloud responds with 503 to every request for some time.
    CloudOutage {
        /// Duration of the outage, in seconds.
        for_s: f64,
    },
    /// The state service responds with 503 to every request for some time.
    StateOutage {
        /// Duration of the outage, in seconds.
        for_s: f64,
    },
    /// The state service loses all its data, after an outage of one second.
    LoseState {},
    /// The state service reverts to an earlier state.
    RollBackState {
        /// Age of the state that it reverts to, in seconds.
        back_s: f64,
    },
    /// Kills all controllers, and restarts them after `back_s`.
    KillAll {
        /// Delay before the restart, in seconds.
        back_s: f64,
    },
    /// Restores the newest snapshot through the leader. The scenario must have a snapshotter.
    Restore {},
}

impl Scenario {
    /// Parses and validates a scenario; `file` is the file name in errors.
    pub fn parse(file: &str, text: &str) -> Result<Scenario, ScenarioError> {
        let source = Source { file, text };
        let scenario: Scenario = toml::from_str(text).map_err(|e| {
            let offset = e.span().map_or(0, |span| span.start);
            source.error_at(offset, e.message())
        })?;
        scenario.check_values(&source)?;
        for machine in &scenario.machines {
            check_machine(machine, &source)?;
        }
        for job in &scenario.jobs {
            scenario.check_job(job, &source)?;
        }
        for event in &scenario.events {
            scenario.check_event(event, &source)?;
        }
        Ok(scenario)
    }

    fn check_values(&self, source: &Source) -> Result<(), ScenarioError> {
        let count = *self.controllers.get_ref();
        if !(1..=9).contains(&count) {
            let reason = format!("controllers: {count} is not between 1 and 9");
            return Err(source.error_at(self.controllers.span().start, &reason));
        }
        let ranges = [
            ("load_s", self.load_s, 1.0, 3600.0),
            ("tolerance", self.tolerance, 0.0, 1.0),
            ("report_s", self.report_s, 0.2, 60.0),
        ];
        for (name, value, min, max) in ranges {
            source.check_range(name, value, min, max)?;
        }
        if !(self.report_s * 3.0..=600.0).contains(&self.lease_s) {
            let reason = "lease_s: not between three times report_s and 600";
            return Err(source.error_near("lease_s", reason));
        }
        source.check_range("memory_mb", self.memory_mb, 32.0, 65536.0)?;
        source.check_range("sockets", f64::from(self.sockets), 96.0, 65536.0)?;
        if self.zones.is_empty() || self.machines.is_empty() || self.jobs.is_empty() {
            let reason = "at least one zone, one [[machine]] and one [[job]] are required";
            return Err(source.error_at(0, reason));
        }
        Ok(())
    }

    fn check_job(&self, job: &JobClass, source: &Source) -> Result<(), ScenarioError> {
        let error = |offset, reason| {
            let reason = format!("job {}: {reason}", job.class);
            Err(source.error_at(offset, &reason))
        };
        if !(0.0..=600.0).contains(job.jobs_per_minute.get_ref()) {
            let offset = job.jobs_per_minute.span().start;
            return error(offset, "a_minute: not between 0 and 600");
        }
        if !(1..=10_000).contains(job.tasks.get_ref()) {
            let offset = job.tasks.span().start;
            return error(offset, "tasks: not between 1 and 10000");
        }
        let fits = |m: &MachineTypeSpec| job.cpus <= m.cpus && job.ram_gb <= m.ram_gb;
        if job.run_s <= 0.0 || !self.machines.iter().any(fits) {
            let offset = source.find(&job.class);
            return error(
                offset,
                "its tasks fit on no machine type, or run_s is not above 0",
            );
        }
        Ok(())
    }

    fn check_event(&self, event: &Event, source: &Source) -> Result<(), ScenarioError> {
        let is_known = |zone: &String| self.zones.contains(zone);
        let reason = match &event.action {
            EventAction::DrainZone { zone, .. } | EventAction::OpenZone { zone }
                if !is_known(zone) =>
            {
                format!("no zone {zone}")
            }
            EventAction::KillController { number, .. } if number >= self.controllers.get_ref() => {
                format!("no controller {number}: controllers are numbered from 0")
            }
            EventAction::Restore {} if !self.snapshotter => {
                "a restore needs `archivist = true`".into()
            }
            _ if !(0.0..=7200.0).contains(&event.at_s) => "at_s: out of range".into(),
            _ => return Ok(()),
        };
        let place = format!("at_s = {}", event.at_s);
        Err(source.error_near(&place, &format!("event: {reason}")))
    }

    /// Returns the duration of job submission.
    pub fn load_duration(&self) -> Duration {
        Duration::from_secs_f64(self.load_s)
    }
}

fn check_machine(machine: &MachineTypeSpec, source: &Source) -> Result<(), ScenarioError> {
    let amounts = [machine.cpus, machine.ram_gb, machine.price, machine.boot_s];
    if amounts.iter().all(|amount| (0.001..1e6).contains(amount)) {
        return Ok(());
    }
    let name = &machine.name;
    let reason = format!("machine {name}: cpus, ram_gb, price and boot_s must be above 0");
    Err(source.error_near(name, &reason))
}

/// Text of a scenario file, from which errors get their line numbers.
struct Source<'a> {
    file: &'a str,
    text: &'a str,
}

impl Source<'_> {
    /// Returns an error at a byte offset of the text.
    fn error_at(&self, offset: usize, reason: &str) -> ScenarioError {
        let before = &self.text[..offset.min(self.text.len())];
        ScenarioError {
            file: self.file.into(),
            line: before.matches('\n').count() + 1,
            reason: reason.into(),
        }
    }

    /// Returns an error at the first occurrence of `name`, for values whose offset is not known.
    fn error_near(&self, name: &str, reason: &str) -> ScenarioError {
        self.error_at(self.find(name), reason)
    }

    fn find(&self, name: &str) -> usize {
        self.text.find(name).unwrap_or(0)
    }

    fn check_range(&self, name: &str, value: f64, min: f64, max: f64) -> Result<(), ScenarioError> {
        if (min..=max).contains(&value) {
            return Ok(());
        }
        Err(self.error_near(name, &format!("{name}: not between {min} and {max}")))
    }
}

#[cfg(test)]
mod tests;
