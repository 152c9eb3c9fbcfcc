//! Scenario files: what the stand-ins play, and the load. Every fault is told with file and line.

use serde::Deserialize;
use std::time::Duration;
use toml::Spanned;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub seed: u64,
    /// Jobs are submitted for this long; what is unfinished then may take as long again.
    pub load_s: f64,
    pub controllers: Spanned<usize>,
    /// No zone should serve more than an equal part of the work and this part of all beside it.
    #[serde(default = "whole")]
    pub tolerance: f64,
    /// Entries of the operators' policy, put into a file for the controllers.
    #[serde(default)]
    pub policy: String,
    /// Whether a process keeps snapshots of the state service.
    #[serde(default)]
    pub archivist: bool,
    /// How often workers report, and how long they go on without an answer, in seconds.
    #[serde(default = "report_s")]
    pub report_s: f64,
    #[serde(default = "lease_s")]
    pub lease_s: f64,
    /// What each controller may use.
    #[serde(default = "memory_mb")]
    pub memory_mb: f64,
    #[serde(default = "sockets")]
    pub sockets: u32,
    pub zones: Vec<String>,
    #[serde(rename = "machine")]
    pub machines: Vec<Machine>,
    #[serde(rename = "job")]
    pub jobs: Vec<Job>,
    #[serde(default, rename = "event")]
    pub events: Vec<Event>,
}

fn report_s() -> f64 {
    1.0
}

fn lease_s() -> f64 {
    8.0
}

fn memory_mb() -> f64 {
    256.0
}

fn sockets() -> u32 {
    2000
}

fn whole() -> f64 {
    1.0
}

/// A machine type; in each zone there are so many ordinary and spot ones of it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Machine {
    pub name: String,
    pub cpus: f64,
    pub ram_gb: f64,
    pub price: f64,
    pub spot_price: Option<f64>,
    pub boot_s: f64,
    #[serde(default)]
    pub ordinary: u32,
    #[serde(default)]
    pub spot: u32,
}

/// A class of jobs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    pub class: String,
    /// Jobs a minute.
    pub a_minute: Spanned<f64>,
    pub tasks: Spanned<u32>,
    pub run_s: f64,
    pub cpus: f64,
    pub ram_gb: f64,
    #[serde(default)]
    pub urgent: bool,
    #[serde(default)]
    pub spot: bool,
    pub deadline_s: Option<f64>,
    /// An aim for the controllers: so many of its tasks should start within so many seconds.
    pub start_within_s: Option<f64>,
    #[serde(default = "most")]
    pub share: f64,
}

fn most() -> f64 {
    0.95
}

#[derive(Clone, Debug, Deserialize)]
pub struct Event {
    pub at_s: f64,
    #[serde(flatten)]
    pub what: What,
}

#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(tag = "do", rename_all = "kebab-case")]
pub enum What {
    /// Nothing is rented there any more, and its machines are taken after a notice.
    DrainZone { zone: String, notice_s: f64 },
    /// It is to be had again.
    OpenZone { zone: String },
    /// The controller is ended without warning, and started again after `back_s`.
    KillController { number: usize, back_s: f64 },
    /// The same for the controller that leads.
    KillLeader { back_s: f64 },
    /// The cloud answers 503 for this long.
    CloudOutage { for_s: f64 },
    /// The state service answers 503 for this long.
    StateOutage { for_s: f64 },
    /// It answers 503 for a second, and has lost everything then.
    LoseState {},
    /// It answers 503 for a second, and then holds what it held so long ago.
    RollBackState { back_s: f64 },
    /// All controllers are ended without warning, and started again after `back_s`.
    KillAll { back_s: f64 },
    /// The newest snapshot is offered to whoever leads; there must be an archivist.
    Restore {},
}

impl Scenario {
    /// Reads and checks a scenario; `file` is its name in what is told of faults.
    pub fn parse(file: &str, text: &str) -> Result<Scenario, String> {
        let line = |at: usize| text[..at.min(text.len())].matches('\n').count() + 1;
        let s: Scenario = toml::from_str(text).map_err(|e| {
            let at = e.span().map_or(0, |s| s.start);
            format!("{file}:{}: {}", line(at), e.message())
        })?;
        let fault = |at: usize, why: String| Err(format!("{file}:{}: {why}", line(at)));
        // Where a value has no place of its own, the first line that names it is told.
        let find = |word: &str| text.find(word).unwrap_or(0);
        let count = *s.controllers.get_ref();
        if !(1..=9).contains(&count) {
            let at = s.controllers.span().start;
            return fault(at, format!("controllers: {count} is not between 1 and 9"));
        }
        if !(1.0..=3600.0).contains(&s.load_s) {
            return fault(find("load_s"), "load_s: not between 1 and 3600".into());
        }
        if !(0.0..=1.0).contains(&s.tolerance) {
            return fault(find("tolerance"), "tolerance: not between 0 and 1".into());
        }
        if !(0.2..=60.0).contains(&s.report_s) {
            return fault(find("report_s"), "report_s: not between 0.2 and 60".into());
        }
        if !(s.report_s * 3.0..=600.0).contains(&s.lease_s) {
            let why = "lease_s: not between three times report_s and 600";
            return fault(find("lease_s"), why.into());
        }
        if !(32.0..=65536.0).contains(&s.memory_mb) {
            return fault(
                find("memory_mb"),
                "memory_mb: not between 32 and 65536".into(),
            );
        }
        if !(96..=65536).contains(&s.sockets) {
            return fault(find("sockets"), "sockets: not between 96 and 65536".into());
        }
        if s.zones.is_empty() || s.machines.is_empty() || s.jobs.is_empty() {
            return fault(0, "zones, a [[machine]] and a [[job]] are needed".into());
        }
        for m in &s.machines {
            let amounts = [m.cpus, m.ram_gb, m.price, m.boot_s];
            if amounts.iter().any(|x| !(0.001..1e6).contains(x)) {
                let why = "cpus, ram_gb, price and boot_s must be above 0";
                return fault(find(&m.name), format!("machine {}: {why}", m.name));
            }
        }
        for j in &s.jobs {
            let (rate, tasks) = (*j.a_minute.get_ref(), *j.tasks.get_ref());
            if !(0.0..=600.0).contains(&rate) {
                let why = format!("job {}: a_minute: not between 0 and 600", j.class);
                return fault(j.a_minute.span().start, why);
            }
            if !(1..=10_000).contains(&tasks) {
                let why = format!("job {}: tasks: not between 1 and 10000", j.class);
                return fault(j.tasks.span().start, why);
            }
            let fits = |m: &Machine| j.cpus <= m.cpus && j.ram_gb <= m.ram_gb;
            if j.run_s <= 0.0 || !s.machines.iter().any(fits) {
                let why = "its tasks fit no machine, or run for no time";
                return fault(find(&j.class), format!("job {}: {why}", j.class));
            }
        }
        for e in &s.events {
            let known = |z: &String| s.zones.contains(z);
            let why = match &e.what {
                What::DrainZone { zone, .. } | What::OpenZone { zone } if !known(zone) => {
                    format!("no zone {zone}")
                }
                What::KillController { number, .. } if *number >= count => {
                    format!("no controller {number}: they count from 0")
                }
                What::Restore {} if !s.archivist => "a restore needs `archivist = true`".into(),
                _ if !(0.0..=7200.0).contains(&e.at_s) => "at_s: out of range".into(),
                _ => continue,
            };
            let at = find(&format!("at_s = {}", e.at_s));
            return fault(at, format!("event: {why}"));
        }
        Ok(s)
    }

    pub fn load(&self) -> Duration {
        Duration::from_secs_f64(self.load_s)
    }
}

#[cfg(test)]
mod tests;
