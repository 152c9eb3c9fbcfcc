//! The report of a scenario, and the samples that are taken while it runs.

use crate::records::Quantiles;
use serde::Serialize;
use std::collections::BTreeMap;

/// Maximum number of violations that the text lists; it states the number of all.
const MAX_LISTED_VIOLATIONS: usize = 20;

/// Report of a scenario.
#[derive(Serialize)]
pub struct Outcome {
    /// Number of jobs that users submitted.
    pub submitted: usize,
    /// Number of jobs that were accepted.
    pub accepted: u64,
    /// Number of jobs that were reported done to users.
    pub done: u64,
    /// Number of task starts on workers.
    pub tasks_started: u64,
    /// Number of starts of tasks that had started before.
    pub tasks_started_again: u64,
    /// Number of runs that ended without a result.
    pub tasks_lost: u64,
    /// Number of ordinary (on-demand) machines that were provisioned.
    pub machines_ordinary: u64,
    /// Number of spot machines that were provisioned.
    pub machines_spot: u64,
    /// Number of requests for machines that the cloud refused.
    pub offers_refused: u64,
    /// Cost of all machines, in the unit of the scenario's prices.
    pub spent: f64,
    /// CPU seconds of completed work, by zone.
    pub work: BTreeMap<String, f64>,
    /// Excess of the zone with the most work over an equal share, as a fraction of all work.
    pub spread: f64,
    /// Maximum permitted value of `spread`.
    pub tolerance: f64,
    /// Time from submission of a job to its acceptance.
    pub accept: Quantiles,
    /// Time from submission of a job to the first start of a task, by class.
    pub wait: BTreeMap<String, Quantiles>,
    /// Time from submission of a job to the report of its end, by class.
    pub finish: BTreeMap<String, Quantiles>,
    /// Number of requests to the state service.
    pub state_requests: u64,
    /// Number of puts and deletions in requests to the state service.
    pub state_changes: u64,
    /// Descriptions of violations, and of failures such as rejected or unfinished jobs; empty if the run passed.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

/// State of the cluster at one moment; taken once a second.
pub struct Sample {
    /// Time since the start of the load, in seconds.
    pub at_s: f64,
    /// Process ids of the controllers; `None` for one that was killed.
    pub controllers: Vec<Option<u32>>,
    /// Number of machines that are up or booting.
    pub machines: usize,
    /// Number of running tasks.
    pub tasks_running: u64,
    /// Number of task starts on workers.
    pub tasks_started: u64,
    /// Number of requests to the state service.
    pub state_requests: u64,
    /// Number of puts and deletions in requests to the state service.
    pub state_changes: u64,
}

impl Outcome {
    /// Returns the report as text.
    pub fn text(&self) -> String {
        let mut out = format!(
            "jobs {} submitted, {} accepted, {} done; tasks {} started, {} of them again, {} lost\n\
             machines {} spot, {} ordinary, {} offers refused; spent {:.3}\n\
             work by zone {}; {:.2} beyond an equal part, at most {:.2}\n\
             accepted after ms: {}\n",
            self.submitted,
            self.accepted,
            self.done,
            self.tasks_started,
            self.tasks_started_again,
            self.tasks_lost,
            self.machines_spot,
            self.machines_ordinary,
            self.offers_refused,
            self.spent,
            self.work
                .iter()
                .map(|(z, w)| format!("{z} {w:.0}"))
                .collect::<Vec<_>>()
                .join(", "),
            self.spread,
            self.tolerance,
            quantiles_text(&self.accept),
        );
        for (event, by_class) in [("started", &self.wait), ("done", &self.finish)] {
            for (class, q) in by_class {
                out.push_str(&format!(
                    "{class} {event} after ms: {}\n",
                    quantiles_text(q)
                ));
            }
        }
        match self.violations.as_slice() {
            [] => out.push_str(
                "every task ran in one place at a time; no reported state was contradicted later\n",
            ),
            violations => {
                for violation in violations.iter().take(MAX_LISTED_VIOLATIONS) {
                    out.push_str(&format!("BROKEN: {violation}\n"));
                }
                out.push_str(&format!("{} invariants violated\n", violations.len()));
            }
        }
        out
    }
}

fn quantiles_text(q: &Quantiles) -> String {
    format!(
        "p50 {}, p95 {}, most {} (of {})",
        q.p50_ms, q.p95_ms, q.max_ms, q.count
    )
}
