//! What a leader expects of markets and of demand, kept from step to step by it alone.

use crate::job::{JobSpec, Priority};
use crate::planning::cluster_snapshot::Offer;
use burlusher_market::clearing::ClearingResult;
use burlusher_market::{ArrivalEstimate, MarketEstimates};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Demand of one class of jobs, by its newest job.
pub struct ClassDemand {
    /// How often its jobs arrive, and how large they are.
    pub arrivals: ArrivalEstimate,
    /// Its newest job.
    pub spec: Arc<JobSpec>,
    /// That job's priority.
    pub priority: Priority,
}

/// State of bidding that steps have in common.
#[derive(Default)]
pub struct BiddingState {
    /// What is expected of each market.
    pub estimates: MarketEstimates,
    /// What is expected to arrive, by class.
    pub demand_by_class: BTreeMap<String, ClassDemand>,
    /// The newest clearing, for the status view.
    pub last_clearing: Option<ClearingResult>,
    /// Until when the time that machines were there has been recorded.
    machine_time_recorded: Option<Instant>,
}

impl BiddingState {
    /// A job has arrived that this leader has not seen before.
    pub fn record_arrival(
        &mut self,
        now: Instant,
        spec: &Arc<JobSpec>,
        priority: Priority,
        expected_runtime: Duration,
    ) {
        let demand = self
            .demand_by_class
            .entry(spec.class.clone())
            .or_insert_with(|| ClassDemand {
                arrivals: ArrivalEstimate::new(now),
                spec: spec.clone(),
                priority,
            });
        demand.arrivals.record(now, spec.tasks, expected_runtime);
        demand.spec = spec.clone();
        demand.priority = priority;
    }

    /// So many machines of each market were there since the last call.
    pub fn record_machine_time(&mut self, now: Instant, machines: &BTreeMap<Offer, u32>) {
        if let Some(last) = self.machine_time_recorded.replace(now) {
            let span = now.saturating_duration_since(last);
            for (offer, count) in machines {
                self.estimates.record_machine_time(offer, *count, span, now);
            }
        }
    }
}
