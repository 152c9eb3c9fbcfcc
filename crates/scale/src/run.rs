//! Measurement of the controllers' resource usage in one run of a scenario with hollow workers, and evaluation of runs
//! at several sizes.

use crate::error::ScaleError;
use crate::fit::{Line, fit_line};
use crate::hollow::{Fleet, Traffic};
use crate::usage::{self, Usage};
use burlusher_standin::cluster;
use burlusher_standin::report::{Outcome, Sample};
use burlusher_standin::scenario::Scenario;
use serde::Serialize;
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Number of threads that all hollow workers share.
const WORKER_THREADS: usize = 4;
/// Fraction of the load's duration after which the measurement begins; the machines are up by then.
const WARM_UP_FRACTION: f64 = 0.4;
/// Number of open files reserved for everything but the machines.
const RESERVED_FILES: u64 = 500;

/// Figures of a run; means over the measured part of the run unless stated otherwise. The names of the fields are the
/// names of the figures in reports.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Number of machines that are up or booting.
    pub machines: f64,
    /// Number of running tasks.
    pub tasks_running: f64,
    /// Task starts per second.
    pub starts_per_s: f64,
    /// CPU usage of the controller that used most, in cores.
    pub leader_cores: f64,
    /// Mean CPU usage of the other controllers, in cores.
    pub other_cores: f64,
    /// Maximum resident memory of any controller, in MB.
    pub memory_mb: f64,
    /// Maximum number of threads of any controller.
    pub threads: f64,
    /// Maximum number of open sockets of any controller.
    pub sockets: f64,
    /// Requests to the state service per second.
    pub state_requests_per_s: f64,
    /// Puts and deletions in requests to the state service, per second.
    pub state_changes_per_s: f64,
    /// Heartbeats per worker and second.
    pub reports_per_s: f64,
    /// Requests from controllers (direct commands) per worker and second.
    pub commands_per_s: f64,
    /// Bytes sent per worker and second.
    pub bytes_sent_per_s: f64,
    /// Bytes received per worker and second.
    pub bytes_received_per_s: f64,
    /// Total number of heartbeats that got no response.
    pub unanswered: f64,
    /// 95th percentile of the time from submission to acceptance of a job, in milliseconds, over the whole run.
    pub accept_p95_ms: f64,
    /// 95th percentile of the time from submission to the start of a task, in milliseconds, over the whole run; that of
    /// the class with the highest value.
    pub wait_p95_ms: f64,
}

/// Result of a measured run.
#[derive(Serialize)]
pub struct MeasuredRun {
    /// Figures of the run.
    pub figures: Figures,
    /// Report of the scenario.
    pub outcome: Outcome,
}

/// Sample of resource usage, and of the counters that rates are computed from.
struct ResourceSample {
    at_s: f64,
    machines: usize,
    tasks_running: u64,
    tasks_started: u64,
    usage: Vec<Option<Usage>>,
    state_requests: u64,
    state_changes: u64,
    /// Traffic counters, in the order of `traffic_counts`.
    traffic: [u64; 5],
}

/// Returns the counters that figures are computed from: heartbeats, commands, bytes sent, bytes received, and
/// heartbeats without a response.
fn traffic_counts(t: &Traffic) -> [u64; 5] {
    let counters = [
        &t.heartbeats,
        &t.commands,
        &t.bytes_sent,
        &t.bytes_received,
        &t.unanswered,
    ];
    counters.map(|n| n.load(Ordering::Relaxed))
}

/// Returns the maximum number of machines that a scenario has at one time.
fn max_machines(scenario: &Scenario) -> u64 {
    let per_zone = scenario.machines.iter();
    let per_zone = per_zone.map(|m| u64::from(m.ordinary) + u64::from(m.spot));
    per_zone.sum::<u64>() * scenario.zones.len() as u64
}

/// Returns an error if the machines of the scenario need more open files than this process is allowed to have. Each
/// machine needs a listener, a connection to a controller and, briefly, one from a controller. The other ends of the
/// connections are held by the controllers, which are processes of their own.
fn check_file_limit(scenario: &Scenario) -> Result<(), ScaleError> {
    let machines = max_machines(scenario);
    let needed = machines * 3 + RESERVED_FILES;
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let files = limits.lines().find(|l| l.starts_with("Max open files"));
    let allowed = files.and_then(|l| l.split_whitespace().nth(3)?.parse::<u64>().ok());
    match allowed {
        Some(allowed) if allowed < needed => Err(ScaleError::FileLimitTooLow {
            machines,
            needed,
            allowed,
        }),
        _ => Ok(()),
    }
}

/// Runs a scenario with hollow workers and controllers of `program`, and measures the controllers; settings and logs go
/// into `dir`.
pub fn measure(scenario: &Scenario, program: &Path, dir: &Path) -> Result<MeasuredRun, ScaleError> {
    check_file_limit(scenario)?;
    let fleet = Arc::new(Fleet::new(WORKER_THREADS)?);
    let mut samples = Vec::new();
    let traffic = fleet.traffic.clone();
    let mut observe = |s: &Sample| {
        if s.at_s >= scenario.load_s * WARM_UP_FRACTION && s.at_s <= scenario.load_s {
            let usage = s.controllers.iter();
            samples.push(ResourceSample {
                at_s: s.at_s,
                machines: s.machines,
                tasks_running: s.tasks_running,
                tasks_started: s.tasks_started,
                usage: usage
                    .map(|pid| pid.and_then(usage::process_usage))
                    .collect(),
                state_requests: s.state_requests,
                state_changes: s.state_changes,
                traffic: traffic_counts(&traffic),
            });
        }
    };
    let outcome = cluster::run_scenario_with(scenario, program, dir, fleet, &mut observe)?;
    let figures = compute_figures(&samples, &outcome)?;
    Ok(MeasuredRun { figures, outcome })
}

/// Computes the figures from the samples and the report of a run.
fn compute_figures(samples: &[ResourceSample], outcome: &Outcome) -> Result<Figures, ScaleError> {
    let (Some(first), Some(last)) = (samples.first(), samples.last()) else {
        return Err(ScaleError::TooShort);
    };
    let duration_s = last.at_s - first.at_s;
    if duration_s < 1.0 {
        return Err(ScaleError::TooShort);
    }
    let mean = |of: &dyn Fn(&ResourceSample) -> f64| {
        samples.iter().map(of).sum::<f64>() / samples.len() as f64
    };
    let machines = mean(&|s| s.machines as f64);
    let cores = cores_used(first, last, duration_s);
    let leader = cores.iter().copied().fold(0.0, f64::max);
    let others = (cores.iter().sum::<f64>() - leader) / (cores.len() as f64 - 1.0).max(1.0);
    let max = |of: &dyn Fn(&Usage) -> f64| {
        let all = samples.iter().flat_map(|s| s.usage.iter().flatten());
        all.map(of).fold(0.0, f64::max)
    };
    let rate = |of: &dyn Fn(&ResourceSample) -> u64| (of(last) - of(first)) as f64 / duration_s;
    let rate_per_worker = |n: usize| rate(&|s| s.traffic[n]) / machines.max(1.0);
    let waits = outcome.wait.values().map(|q| q.p95_ms as f64);
    Ok(Figures {
        machines,
        tasks_running: mean(&|s| s.tasks_running as f64),
        starts_per_s: rate(&|s| s.tasks_started),
        leader_cores: leader,
        other_cores: others,
        memory_mb: max(&|u| u.memory_mb),
        threads: max(&|u| f64::from(u.threads)),
        sockets: max(&|u| f64::from(u.sockets)),
        state_requests_per_s: rate(&|s| s.state_requests),
        state_changes_per_s: rate(&|s| s.state_changes),
        reports_per_s: rate_per_worker(0),
        commands_per_s: rate_per_worker(1),
        bytes_sent_per_s: rate_per_worker(2),
        bytes_received_per_s: rate_per_worker(3),
        unanswered: rate(&|s| s.traffic[4]) * duration_s,
        accept_p95_ms: outcome.accept.p95_ms as f64,
        wait_p95_ms: waits.fold(0.0, f64::max),
    })
}

/// Returns the CPU usage in cores of each controller that runs in both samples. A controller whose CPU time has
/// decreased was restarted in between and is left out.
fn cores_used(first: &ResourceSample, last: &ResourceSample, duration_s: f64) -> Vec<f64> {
    let pairs = first.usage.iter().zip(&last.usage);
    let used =
        pairs.filter_map(|(a, b)| Some((b.as_ref()?.cpu_s - a.as_ref()?.cpu_s) / duration_s));
    used.filter(|c| *c >= 0.0).collect()
}

/// Returns the scenario with its machines, and its tasks per job, multiplied by `factor`.
pub fn scale_scenario(scenario: &Scenario, factor: f64) -> Scenario {
    let mut scaled = scenario.clone();
    for m in &mut scaled.machines {
        m.ordinary = (f64::from(m.ordinary) * factor).round() as u32;
        m.spot = (f64::from(m.spot) * factor).round() as u32;
    }
    for j in &mut scaled.jobs {
        let tasks = f64::from(*j.tasks.get_ref()) * factor;
        *j.tasks.get_mut() = tasks.round().max(1.0) as u32;
    }
    scaled
}

/// Returns the names of the figures, in alphabetical order.
pub fn figure_names() -> Vec<String> {
    Figures::default().values().into_keys().collect()
}

impl Figures {
    /// Returns the figures by name.
    pub fn values(&self) -> BTreeMap<String, f64> {
        let all = serde_json::to_value(self).unwrap_or_default();
        let all = all.as_object().cloned().unwrap_or_default();
        let number = |(name, value): (String, serde_json::Value)| Some((name, value.as_f64()?));
        all.into_iter().filter_map(number).collect()
    }
}

/// Fits a line through each figure against the number of machines.
pub fn fit_lines(all: &[Figures]) -> BTreeMap<String, Line> {
    let mut lines = BTreeMap::new();
    for name in figure_names() {
        let points: Vec<(f64, f64)> = all
            .iter()
            .map(|f| (f.machines, f.values()[&name]))
            .collect();
        if name != "machines"
            && let Some(line) = fit_line(&points)
        {
            lines.insert(name, line);
        }
    }
    lines
}

/// Returns the figures of several sizes as comma-separated values: a header, then one row per size.
pub fn csv_table(all: &[Figures]) -> String {
    let names = figure_names();
    let mut out = format!("{}\n", names.join(","));
    for f in all {
        let values = f.values();
        let cells: Vec<String> = names.iter().map(|n| format!("{:.4}", values[n])).collect();
        out.push_str(&format!("{}\n", cells.join(",")));
    }
    out
}

#[cfg(test)]
mod tests;
