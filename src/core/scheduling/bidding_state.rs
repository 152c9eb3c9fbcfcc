//! What a leader believes of markets and expects to come: kept from step to step, by it alone.

use crate::job::{JobSpec, Priority};
use crate::planning::cluster_snapshot::Offer;
use burlusher_market::clearing::ClearingResult;
use burlusher_market::{ArrivalEstimate, MarketEstimates};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What comes of one class, by the newest of its jobs.
pub struct ClassDemand {
    pub demand: ArrivalEstimate,
    pub spec: Arc<JobSpec>,
    pub rank: Priority,
}

#[derive(Default)]
pub struct BiddingState {
    pub estimates: MarketEstimates,
    /// By class.
    pub expected: BTreeMap<String, ClassDemand>,
    /// The newest clearing, for those who look.
    pub last: Option<ClearingResult>,
    /// Exposure to losses was noted until then.
    exposed: Option<Instant>,
}

impl BiddingState {
    /// A job came that this leader has not seen before.
    pub fn arrived(&mut self, now: Instant, spec: &Arc<JobSpec>, rank: Priority, run: Duration) {
        let e = self
            .expected
            .entry(spec.class.clone())
            .or_insert_with(|| ClassDemand {
                demand: ArrivalEstimate::new(now),
                spec: spec.clone(),
                rank,
            });
        e.demand.note(now, spec.tasks, run);
        e.spec = spec.clone();
        e.rank = rank;
    }

    /// Machines of each market were there since the last call.
    pub fn expose(&mut self, now: Instant, machines: &BTreeMap<Offer, u32>) {
        if let Some(before) = self.exposed.replace(now) {
            let span = now.saturating_duration_since(before);
            for (offer, count) in machines {
                self.estimates.exposed(offer, *count, span, now);
            }
        }
    }
}
