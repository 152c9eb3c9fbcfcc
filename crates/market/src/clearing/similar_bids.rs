//! Merges similar bids, so that clearing thousands of bids takes as long as clearing dozens.

use super::{Bid, EPSILON};
use std::borrow::Cow;
use std::collections::BTreeMap;

/// Number of bids above which similar bids are merged.
const MAX_BIDS: usize = 24;
/// Number of buckets per factor of e for run times and waits, which are in seconds.
const TIME_BUCKETS: f64 = 2.0;
/// Number of buckets per factor of e for arrival times and cost ratios.
const COARSE_BUCKETS: f64 = 1.0;

/// Key that similar bids have in common.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct SimilarityKey {
    /// Tasks per machine, by batch; 0 where the tasks must not or cannot run.
    tasks_per_machine: Vec<u32>,
    runtime: i64,
    wait: i64,
    arrival: i64,
    /// Ratio of the loss by waiting to the nominal cost.
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

/// Returns the bucket of a value on a logarithmic scale.
fn logarithmic_bucket(value: f64, buckets_per_factor: f64) -> i64 {
    ((value + 1.0).ln() * buckets_per_factor).round() as i64
}

/// Returns the bids unchanged, or merged if there are too many.
pub(super) fn limit_count(bids: &[Bid]) -> Cow<'_, [Bid]> {
    if bids.len() > MAX_BIDS {
        Cow::Owned(merge(bids))
    } else {
        Cow::Borrowed(bids)
    }
}

/// Similar bids merged into one, which has the properties of the largest of them.
struct MergedBid {
    bid: Bid,
    /// Number of tasks of the largest bid.
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
