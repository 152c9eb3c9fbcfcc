//! Scenario files: what the stand-ins play, and the load. Every error is reported with file and line.

use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

/// Why a scenario's file is refused, and where in it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}: {reason}")]
pub struct ScenarioError {
    /// The file's name.
    pub file: String,
    /// The line at fault, from 1 on.
    pub line: usize,
    /// What is wrong there.
    pub reason: String,
}

/// What is played, and on what.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The load is the same for the same seed.
    pub seed: u64,
    /// Jobs are submitted for this long; what is unfinished then may take as long again.
    pub load_s: f64,
    /// How many controllers there are.
    pub controllers: Spanned<usize>,
    /// No zone should serve more than an equal part of the work and this part of all beside it.
    #[serde(default = "default_tolerance")]
    pub tolerance: f64,
    /// Entries of the operators' policy, put into a file for the controllers.
    #[serde(default)]
    pub policy: String,
    /// Whether a process keeps snapshots of the state service.
    #[serde(default, rename = "archivist")]
    pub snapshotter: bool,
    /// How often workers send a heartbeat, in seconds.
    #[serde(default = "default_report_s")]
    pub report_s: f64,
    /// How long workers go on without an answer, in seconds.
    #[serde(default = "default_lease_s")]
    pub lease_s: f64,
    /// The memory that each controller may use.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
    /// The sockets that each controller may use.
    #[serde(default = "default_sockets")]
    pub sockets: u32,
    /// Zones with machines, and over which the controllers are spread.
    pub zones: Vec<String>,
    /// Machine types.
    #[serde(rename = "machine")]
    pub machines: Vec<MachineTypeSpec>,
    /// Classes of jobs.
    #[serde(rename = "job")]
    pub jobs: Vec<JobClass>,
    /// What happens meanwhile.
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

/// A machine type; in each zone there are so many ordinary and spot ones of it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineTypeSpec {
    /// The type's name.
    pub name: String,
    /// Processors of a machine.
    pub cpus: f64,
    /// Memory of a machine.
    pub ram_gb: f64,
    /// Price of an ordinary machine, an hour.
    pub price: f64,
    /// Price of a spot machine, an hour; there are none without it.
    pub spot_price: Option<f64>,
    /// How long a machine takes to boot, in seconds.
    pub boot_s: f64,
    /// Ordinary machines in each zone.
    #[serde(default)]
    pub ordinary: u32,
    /// Spot machines in each zone.
    #[serde(default)]
    pub spot: u32,
}

/// A class of jobs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobClass {
    /// The class's name.
    pub class: String,
    /// How many jobs of it are submitted a minute.
    #[serde(rename = "a_minute")]
    pub jobs_per_minute: Spanned<f64>,
    /// Tasks of a job.
    pub tasks: Spanned<u32>,
    /// How long a task runs on average, in seconds.
    pub run_s: f64,
    /// Processors of a task.
    pub cpus: f64,
    /// Memory of a task.
    pub ram_gb: f64,
    /// Whether its jobs have high priority.
    #[serde(default)]
    pub urgent: bool,
    /// Whether its tasks may run on spot machines.
    #[serde(default)]
    pub spot: bool,
    /// When a job should be done, in seconds after its submission.
    pub deadline_s: Option<f64>,
    /// An objective for the controllers: its tasks should start within so many seconds.
    pub start_within_s: Option<f64>,
    /// The part of its jobs or tasks that should meet its objectives.
    #[serde(default = "default_share")]
    pub share: f64,
}

fn default_share() -> f64 {
    0.95
}

/// Something that happens while the load runs.
#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    /// When, in seconds after the load began.
    pub at_s: f64,
    /// What happens.
    #[serde(flatten)]
    pub action: EventAction,
}

/// What an event does.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(tag = "do", rename_all = "kebab-case")]
pub enum EventAction {
    /// Nothing is provisioned in it any more, and its machines are reclaimed after a notice.
    DrainZone {
        /// The zone's name.
        zone: String,
        /// How long the machines are warned, in seconds.
        notice_s: f64,
    },
    /// It is to be had again.
    OpenZone {
        /// The zone's name.
        zone: String,
    },
    /// The controller is ended without warning, and started again after `back_s`.
    KillController {
        /// The controller's number, from 0 on.
        number: usize,
        /// After how long it is started again, in seconds.
        back_s: f64,
    },
    /// The same for the controller that leads.
    KillLeader {
        /// After how long it is started again, in seconds.
        back_s: f64,
    },
    /// The cloud answers 503 for this long.
    CloudOutage {
        /// For how long, in seconds.
        for_s: f64,
    },
    /// The state service answers 503 for this long.
    StateOutage {
        /// For how long, in seconds.
        for_s: f64,
    },
    /// It answers 503 for a second, and has lost everything then.
    LoseState {},
    /// It answers 503 for a second, and then holds what it held so long ago.
    RollBackState {
        /// How old what it then holds is, in seconds.
        back_s: f64,
    },
    /// All controllers are ended without warning, and started again after `back_s`.
    KillAll {
        /// After how long it is started again, in seconds.
        back_s: f64,
    },
    /// The newest snapshot is offered to the leader; there must be a snapshotter.
    Restore {},
}

impl Scenario {
    /// Reads and checks a scenario; `file` is its name in errors.
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
            let reason = "zones, a [[machine]] and a [[job]] are needed";
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
            return error(offset, "its tasks fit no machine, or run for no time");
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
                format!("no controller {number}: they count from 0")
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

    /// How long jobs are submitted.
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

/// The text of a scenario, to say where in it something is wrong.
struct Source<'a> {
    file: &'a str,
    text: &'a str,
}

impl Source<'_> {
    /// An error at a byte of the text.
    fn error_at(&self, offset: usize, reason: &str) -> ScenarioError {
        let before = &self.text[..offset.min(self.text.len())];
        ScenarioError {
            file: self.file.into(),
            line: before.matches('\n').count() + 1,
            reason: reason.into(),
        }
    }

    /// An error about something that has no place of its own: at the first line that names it.
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
