//! What is measured while a scenario is played, and what came of it.

use crate::records::Quantiles;
use serde::Serialize;
use std::collections::BTreeMap;

/// Broken rules that are listed in the text; the rest is counted.
const MAX_LISTED_VIOLATIONS: usize = 20;

/// What came of a scenario.
#[derive(Serialize)]
pub struct Outcome {
    /// Jobs that users submitted.
    pub submitted: usize,
    /// Jobs that were accepted.
    pub accepted: u64,
    /// Jobs that were reported done to users.
    pub done: u64,
    /// Tasks that workers started.
    pub tasks_started: u64,
    /// Starts of tasks that had started before.
    pub tasks_started_again: u64,
    /// Runs that ended without a result.
    pub tasks_lost: u64,
    /// Ordinary machines that were provisioned.
    pub machines_ordinary: u64,
    /// Spot machines that were provisioned.
    pub machines_spot: u64,
    /// Requests for machines that the cloud refused.
    pub offers_refused: u64,
    /// Money spent on machines.
    pub spent: f64,
    /// CPU seconds of completed work, by zone.
    pub work: BTreeMap<String, f64>,
    /// How far the zone that served most went beyond an equal part.
    pub spread: f64,
    /// How far a zone may go beyond an equal part.
    pub tolerance: f64,
    /// From a submission to its acceptance.
    pub accept: Quantiles,
    /// From a submission to the start of its tasks, by class.
    pub wait: BTreeMap<String, Quantiles>,
    /// From a submission to its end, by class.
    pub finish: BTreeMap<String, Quantiles>,
    /// Requests to the state service.
    pub state_requests: u64,
    /// Puts and deletions in requests to the state service.
    pub state_changes: u64,
    /// All that should not have been; none if all is well.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

/// How things stand, once a second.
pub struct Sample {
    /// Seconds since the load began.
    pub at_s: f64,
    /// Process ids of the controllers that are there.
    pub controllers: Vec<Option<u32>>,
    /// Machines that are up or booting.
    pub machines: usize,
    /// Tasks on machines.
    pub tasks_running: u64,
    /// Tasks that workers started.
    pub tasks_started: u64,
    /// Requests to the state service.
    pub state_requests: u64,
    /// Puts and deletions in requests to the state service.
    pub state_changes: u64,
}

impl Outcome {
    /// The report as text.
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
            [] => out.push_str("every task ran in one place at a time; nothing was unsaid\n"),
            violations => {
                for violation in violations.iter().take(MAX_LISTED_VIOLATIONS) {
                    out.push_str(&format!("BROKEN: {violation}\n"));
                }
                out.push_str(&format!("{} rules or promises broken\n", violations.len()));
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
