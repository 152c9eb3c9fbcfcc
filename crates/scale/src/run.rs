//! One run of a scenario with hollow workers, and what it took; several sizes in turn.

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

/// Threads that all hollow workers share.
const WORKER_THREADS: usize = 4;
/// What is measured begins when this part of the scenario's load is over: machines are up by then.
const WARM_UP_FRACTION: f64 = 0.4;
/// Open files that are left for everything else.
const RESERVED_FILES: u64 = 500;

/// Figures of a run, means over its measured part unless said otherwise.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Machines that are up or booting.
    pub machines: f64,
    /// Tasks on machines.
    pub tasks_running: f64,
    /// Tasks that start in a second.
    pub starts_per_s: f64,
    /// Processor time of the controller that took most, in parts of a core.
    pub leader_cores: f64,
    /// Processor time of the others on average, in parts of a core.
    pub other_cores: f64,
    /// The most memory that any controller had.
    pub memory_mb: f64,
    /// The most threads that any controller had.
    pub threads: f64,
    /// The most sockets that any controller had.
    pub sockets: f64,
    /// Requests to the state service in a second.
    pub state_requests_per_s: f64,
    /// Puts and deletions in them.
    pub state_changes_per_s: f64,
    /// Heartbeats of a worker in a second.
    pub reports_per_s: f64,
    /// Commands to a worker in a second.
    pub commands_per_s: f64,
    /// Bytes that a worker sends in a second.
    pub bytes_sent_per_s: f64,
    /// Bytes that a worker receives in a second.
    pub bytes_received_per_s: f64,
    /// Heartbeats without an answer, in all.
    pub unanswered: f64,
    /// From a submission to its acceptance.
    pub accept_p95_ms: f64,
    /// From a submission to the start of a task, of the class that waits longest.
    pub wait_p95_ms: f64,
}

/// What a run gave.
#[derive(Serialize)]
pub struct MeasuredRun {
    /// What it took.
    pub figures: Figures,
    /// What came of the scenario.
    pub outcome: Outcome,
}

/// What was seen at one moment.
struct ResourceSample {
    at_s: f64,
    machines: usize,
    tasks_running: u64,
    tasks_started: u64,
    usage: Vec<Option<Usage>>,
    state_requests: u64,
    state_changes: u64,
    traffic: [u64; 5],
}

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

/// How many machines a scenario may have at once.
fn max_machines(scenario: &Scenario) -> u64 {
    let per_zone = scenario.machines.iter();
    let per_zone = per_zone.map(|m| u64::from(m.ordinary) + u64::from(m.spot));
    per_zone.sum::<u64>() * scenario.zones.len() as u64
}

/// Refuses what this machine has no room for: each machine takes a listener, a connection to a
/// controller and, for moments, one from it, and the first two are held on the controllers' side as
/// well.
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

/// Plays a scenario with controllers of `program`, whose files go into `dir`.
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

/// Processor time of each controller that was there all the time, a second.
fn cores_used(first: &ResourceSample, last: &ResourceSample, duration_s: f64) -> Vec<f64> {
    let pairs = first.usage.iter().zip(&last.usage);
    let used =
        pairs.filter_map(|(a, b)| Some((b.as_ref()?.cpu_s - a.as_ref()?.cpu_s) / duration_s));
    used.filter(|c| *c >= 0.0).collect()
}

/// The scenario with so many times its machines and jobs.
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

/// Names of the figures, in their order.
pub fn figure_names() -> Vec<String> {
    Figures::default().values().into_keys().collect()
}

impl Figures {
    /// Each by its name.
    pub fn values(&self) -> BTreeMap<String, f64> {
        let all = serde_json::to_value(self).unwrap_or_default();
        let all = all.as_object().cloned().unwrap_or_default();
        let number = |(name, value): (String, serde_json::Value)| Some((name, value.as_f64()?));
        all.into_iter().filter_map(number).collect()
    }
}

/// A line through each figure against the number of machines.
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

/// The figures of several sizes as a table of comma-separated values, and under it the lines through them.
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
