//! Limit on the machines that one plan asks the cloud for.
//!
//! The cloud answers a limited number of requests per second, each for a limited number of machines, and publishes no
//! capacity. A request beyond what it answers before the next plan would only wait, and might outlive the demand that
//! it was made for. A plan therefore adds no more requests than the limit leaves room for; the demand beyond them waits
//! for a later plan. The same holds for machines beyond those that the controllers can hold. An offer without an
//! outstanding request may have one beyond the first limit, and one without machines beyond both, so that demand for one
//! offer does not keep demand for another from getting machines.

use crate::planning::cluster_snapshot::Offer;
use std::collections::BTreeMap;

/// Maximum number of machines in one request, as defined by the cloud protocol.
const MAX_MACHINES_PER_REQUEST: u32 = 50;

/// Request to add machines of one offer.
#[derive(Clone, Debug, PartialEq)]
pub struct ScaleOut {
    /// Requested offer.
    pub offer: Offer,
    /// Number of machines.
    pub count: u32,
}

/// Requests and machines of one offer before a plan.
#[derive(Clone, Copy, Debug, Default)]
struct OfferRequests {
    /// Whether the outcome of a request is unknown.
    outstanding: bool,
    /// Whether there are machines of the offer.
    has_machines: bool,
    /// Number of the last request; 0 if there was none.
    last_request: u64,
}

/// Number of requests that a plan may add.
#[derive(Clone, Debug, Default)]
pub struct RequestLimit {
    /// Number of requests until the limit is reached.
    remaining: usize,
    /// Whether a further request would exceed the number of machines that the controllers can hold.
    is_full: bool,
    offers: BTreeMap<Offer, OfferRequests>,
}

impl RequestLimit {
    /// Creates the limit for when no request is outstanding.
    pub fn new(max_outstanding: usize) -> RequestLimit {
        RequestLimit {
            remaining: max_outstanding,
            is_full: false,
            offers: BTreeMap::new(),
        }
    }

    /// Counts a request whose outcome is unknown.
    pub fn add_outstanding(&mut self, offer: Offer) {
        self.remaining = self.remaining.saturating_sub(1);
        self.offers.entry(offer).or_default().outstanding = true;
    }

    /// Records that there are machines of an offer.
    pub fn add_machines(&mut self, offer: Offer) {
        self.offers.entry(offer).or_default().has_machines = true;
    }

    /// Limits the machines that are added. Must be called after all outstanding requests were counted.
    pub fn limit_machines(&mut self, max_added: u32) {
        let requests = max_added / MAX_MACHINES_PER_REQUEST;
        self.remaining = self.remaining.min(requests as usize);
        self.is_full = requests == 0;
    }

    /// Records the number of an offer's last request. Offers whose last request is older come first.
    pub fn set_last_request(&mut self, offer: Offer, number: u64) {
        self.offers.entry(offer).or_default().last_request = number;
    }

    fn requests_of(&self, offer: &Offer) -> OfferRequests {
        self.offers.get(offer).copied().unwrap_or_default()
    }

    /// Returns whether another request for an offer may be added to a plan with `planned` requests, of which
    /// `planned_for_offer` are for this offer.
    fn admits(&self, offer: &Offer, planned: usize, planned_for_offer: u32) -> bool {
        let before = self.requests_of(offer);
        let is_only_request = planned_for_offer == 0 && !before.outstanding;
        let may_exceed = is_only_request && !(self.is_full && before.has_machines);
        planned < self.remaining || may_exceed
    }

    /// Returns the requests for these machines, as far as the limit admits them: one for each offer in turn.
    pub fn requests_for(&self, machines: &BTreeMap<Offer, u32>) -> Vec<ScaleOut> {
        let mut offers: Vec<(&Offer, u32)> =
            machines.iter().map(|(o, count)| (o, *count)).collect();
        offers.sort_by_key(|(offer, _)| self.requests_of(offer).last_request);
        let mut requests = Vec::new();
        let mut round = 0;
        loop {
            let before = requests.len();
            for (offer, remaining) in &mut offers {
                let count = (*remaining).min(MAX_MACHINES_PER_REQUEST);
                if count == 0 || !self.admits(offer, requests.len(), round) {
                    continue;
                }
                *remaining -= count;
                requests.push(ScaleOut {
                    offer: offer.clone(),
                    count,
                });
            }
            if requests.len() == before {
                return requests;
            }
            round += 1;
        }
    }
}

/// Machines to add, in as many requests as the limit admits.
#[derive(Clone, Debug)]
pub struct ScaleOutPlan<'a> {
    limit: &'a RequestLimit,
    counts: BTreeMap<Offer, u32>,
    /// Number of requests that the machines in `counts` take.
    requests: usize,
}

impl<'a> ScaleOutPlan<'a> {
    /// Creates an empty plan.
    pub fn new(limit: &'a RequestLimit) -> ScaleOutPlan<'a> {
        ScaleOutPlan {
            limit,
            counts: BTreeMap::new(),
            requests: 0,
        }
    }

    /// Returns the number of planned machines of an offer.
    pub fn count(&self, offer: &Offer) -> u32 {
        self.counts.get(offer).copied().unwrap_or(0)
    }

    /// Returns the number of planned machines of each offer.
    pub fn counts(&self) -> &BTreeMap<Offer, u32> {
        &self.counts
    }

    /// Adds a machine of an offer, unless it takes a request that the limit does not admit. Returns whether it was
    /// added.
    pub fn try_add(&mut self, offer: &Offer) -> bool {
        let count = self.count(offer);
        let planned_for_offer = count.div_ceil(MAX_MACHINES_PER_REQUEST);
        let takes_request = count == planned_for_offer * MAX_MACHINES_PER_REQUEST;
        if takes_request && !self.limit.admits(offer, self.requests, planned_for_offer) {
            return false;
        }
        self.requests += usize::from(takes_request);
        *self.counts.entry(offer.clone()).or_default() += 1;
        true
    }

    /// Returns the number of planned machines of each offer.
    pub fn into_counts(self) -> BTreeMap<Offer, u32> {
        self.counts
    }
}

#[cfg(test)]
mod tests;
