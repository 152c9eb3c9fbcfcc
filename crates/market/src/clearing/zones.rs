//! Balancing of zones among markets that are equal to the bids.

use super::{EPSILON, OfferBatch, tie_break};
use crate::zone_balance::ZoneBalance;

/// Prices that differ by no more than this part are the same.
const SAME_PRICE: f64 = 0.01;
/// Machines are dealt out in steps of this part of those left, as there may be hundreds.
const STEP_PART: u32 = 16;

/// Machines of one type at the same price are the same to the bids: they go where the zone holds
/// least, a few at a time, as far as each market is likely to give them.
pub(super) fn balance_zones(counts: &mut [u32], batches: &[OfferBatch], balance: &ZoneBalance) {
    let mut done = vec![false; batches.len()];
    let mut balance = balance.clone();
    for index in 0..batches.len() {
        if done[index] {
            continue;
        }
        let equals: Vec<usize> = (index..batches.len())
            .filter(|&other| is_equal(&batches[index], &batches[other]))
            .collect();
        for &equal in &equals {
            done[equal] = true;
        }
        let total: u32 = equals.iter().map(|&equal| counts[equal]).sum();
        if equals.len() < 2 || total == 0 {
            for &equal in &equals {
                add_to_zone(&mut balance, &batches[equal], counts[equal]);
            }
            continue;
        }
        deal_out(total, &equals, counts, batches, &mut balance);
    }
}

/// Whether bids make no difference between a batch and another that may give machines.
fn is_equal(batch: &OfferBatch, other: &OfferBatch) -> bool {
    batch.offer.machine_type == other.offer.machine_type
        && batch.offer.spot == other.offer.spot
        && other.available > 0
        && (batch.price - other.price).abs() <= SAME_PRICE * batch.price.max(other.price)
}

fn add_to_zone(balance: &mut ZoneBalance, batch: &OfferBatch, machines: u32) {
    let size = batch.machine_size * f64::from(machines);
    balance.add(&batch.offer.zone, size);
}

/// Distributes machines over equal batches.
fn deal_out(
    total: u32,
    equals: &[usize],
    counts: &mut [u32],
    batches: &[OfferBatch],
    balance: &mut ZoneBalance,
) {
    for &equal in equals {
        counts[equal] = 0;
    }
    let mut remaining = total;
    while remaining > 0 {
        let open = equals
            .iter()
            .filter(|&&equal| counts[equal] < batches[equal].available);
        let next = open.min_by(|&&a, &&b| {
            let share = |batch: usize| balance.share(&batches[batch].offer.zone);
            let tie = |batch: usize| tie_break(&batches[batch].offer);
            // By a stable fraction, not by the order in which they were listed.
            let by_share = share(a).total_cmp(&share(b));
            by_share.then(tie(a).total_cmp(&tie(b)))
        });
        let Some(&next) = next else { break };
        let batch = &batches[next];
        let step = (remaining / STEP_PART).clamp(1, batch.available - counts[next]);
        counts[next] += step;
        remaining -= step;
        let size = batch.machine_size.max(EPSILON) * f64::from(step);
        balance.add(&batch.offer.zone, size);
    }
}
