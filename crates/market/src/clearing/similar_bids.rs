//! Merging of similar bids, so that a queue of thousands clears as fast as one of dozens.

use super::{Bid, EPSILON};
use std::borrow::Cow;
use std::collections::BTreeMap;

/// Bids beyond this are merged with similar ones.
const MAX_BIDS: usize = 24;
/// Buckets for each factor of e in run times and waits, in seconds.
const TIME_BUCKETS: f64 = 2.0;
/// Buckets for each factor of e in arrival times and cost ratios.
const COARSE_BUCKETS: f64 = 1.0;

/// Bids are similar if these are equal.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct SimilarityKey {
    /// By batch.
    tasks_per_machine: Vec<u32>,
    runtime: i64,
    wait: i64,
    arrival: i64,
    /// The loss by waiting against the nominal cost.
    cost_ratio: i64,
}

impl SimilarityKey {
    fn of(bid: &Bid) -> SimilarityKey {
        let wait = bid.wait();
        let fits = bid.machine_fits.iter();
        let cost_ratio = bid.delay_cost.loss(wait) / bid.nominal_cost.max(EPSILON);
        SimilarityKey {
            tasks_per_machine: fits
                .map(|fit| fit.map_or(0, |fit| fit.tasks_per_machine))
                .collect(),
            runtime: logarithmic_bucket(bid.runtime.as_secs_f64(), TIME_BUCKETS),
            wait: logarithmic_bucket(wait.as_secs_f64(), TIME_BUCKETS),
            arrival: logarithmic_bucket(bid.arrives_in.as_secs_f64(), COARSE_BUCKETS),
            cost_ratio: logarithmic_bucket(cost_ratio, COARSE_BUCKETS),
        }
    }
}

fn logarithmic_bucket(value: f64, buckets_per_factor: f64) -> i64 {
    ((value + 1.0).ln() * buckets_per_factor).round() as i64
}

/// The bids themselves, or merged where there are too many.
pub(super) fn limit_count(bids: &[Bid]) -> Cow<'_, [Bid]> {
    if bids.len() > MAX_BIDS {
        Cow::Owned(merge(bids))
    } else {
        Cow::Borrowed(bids)
    }
}

/// Similar bids as one, for which the largest of them stands.
struct MergedBid {
    bid: Bid,
    largest: f64,
}

fn merge(bids: &[Bid]) -> Vec<Bid> {
    let mut merged: BTreeMap<SimilarityKey, MergedBid> = BTreeMap::new();
    for bid in bids.iter().filter(|bid| bid.tasks > 0.0) {
        match merged.get_mut(&SimilarityKey::of(bid)) {
            Some(kept) => {
                let tasks = kept.bid.tasks + bid.tasks;
                if bid.tasks > kept.largest {
                    kept.bid = bid.clone();
                    kept.largest = bid.tasks;
                }
                kept.bid.tasks = tasks;
            }
            None => {
                let first = MergedBid {
                    bid: bid.clone(),
                    largest: bid.tasks,
                };
                merged.insert(SimilarityKey::of(bid), first);
            }
        }
    }
    merged.into_values().map(|merged| merged.bid).collect()
}
