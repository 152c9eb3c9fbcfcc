//! A leader's estimates of markets and of demand. They are kept between steps, and are not shared with other
//! controllers.

use crate::job::{JobSpec, Priority};
use crate::planning::cluster_snapshot::Offer;
use burlusher_market::clearing::ClearingResult;
use burlusher_market::{ArrivalEstimate, MarketEstimates};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Estimated demand of one job class, with its newest job as the model of expected ones.
pub struct ClassDemand {
    /// Estimated rate of arrivals, and size of the jobs.
    pub arrivals: ArrivalEstimate,
    /// Specification of the class's newest job.
    pub spec: Arc<JobSpec>,
    /// Priority of the class's newest job.
    pub priority: Priority,
}

/// State of bidding that is kept between steps.
#[derive(Default)]
pub struct BiddingState {
    /// Estimates of each market.
    pub estimates: MarketEstimates,
    /// Estimated demand, by job class.
    pub demand_by_class: BTreeMap<String, ClassDemand>,
    /// Result of the last market clearing, for the status view.
    pub last_clearing: Option<ClearingResult>,
    /// Time up to which machine time has been recorded.
    machine_time_recorded: Option<Instant>,
}

impl BiddingState {
    /// Records the arrival of a job that this leader has not seen before.
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

    /// Records the number of machines of each market since the last call, as machine time.
    pub fn record_machine_time(&mut self, now: Instant, machines: &BTreeMap<Offer, u32>) {
        if let Some(last) = self.machine_time_recorded.replace(now) {
            let span = now.saturating_duration_since(last);
            for (offer, count) in machines {
                self.estimates.record_machine_time(offer, *count, span, now);
            }
        }
    }
}
