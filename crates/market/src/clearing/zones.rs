//! Balancing of zones among markets that are equivalent to the bids.

use super::{EPSILON, OfferBatch, tie_break};
use crate::zone_balance::ZoneBalance;

/// Prices that differ by no more than this part are the same.
const PRICE_TOLERANCE: f64 = 0.01;
/// Machines are dealt out in steps of this part of those left, as there may be hundreds.
const STEP_DIVISOR: u32 = 16;

/// Machines of one type at the same price are the same to the bids: they go where the zone holds
/// least, a few at a time, as far as each market is likely to give them.
pub(super) fn balance_zones(counts: &mut [u32], batches: &[OfferBatch], balance: &ZoneBalance) {
    let mut handled = vec![false; batches.len()];
    let mut balance = balance.clone();
    for index in 0..batches.len() {
        if handled[index] {
            continue;
        }
        let equivalent: Vec<usize> = (index..batches.len())
            .filter(|&other| is_equivalent(&batches[index], &batches[other]))
            .collect();
        for &member in &equivalent {
            handled[member] = true;
        }
        let total: u32 = equivalent.iter().map(|&member| counts[member]).sum();
        if equivalent.len() < 2 || total == 0 {
            for &member in &equivalent {
                add_to_zone(&mut balance, &batches[member], counts[member]);
            }
            continue;
        }
        distribute(total, &equivalent, counts, batches, &mut balance);
    }
}

/// Whether bids make no difference between a batch and another that may give machines.
fn is_equivalent(batch: &OfferBatch, other: &OfferBatch) -> bool {
    batch.offer.machine_type == other.offer.machine_type
        && batch.offer.spot == other.offer.spot
        && other.available > 0
        && (batch.price - other.price).abs() <= PRICE_TOLERANCE * batch.price.max(other.price)
}

fn add_to_zone(balance: &mut ZoneBalance, batch: &OfferBatch, machines: u32) {
    let size = batch.machine_size * f64::from(machines);
    balance.add(&batch.offer.zone, size);
}

/// Distributes machines over equivalent batches.
fn distribute(
    total: u32,
    equivalent: &[usize],
    counts: &mut [u32],
    batches: &[OfferBatch],
    balance: &mut ZoneBalance,
) {
    for &member in equivalent {
        counts[member] = 0;
    }
    let mut remaining = total;
    while remaining > 0 {
        let open = equivalent
            .iter()
            .filter(|&&member| counts[member] < batches[member].available);
        let next = open.min_by(|&&a, &&b| {
            let share = |batch: usize| balance.share(&batches[batch].offer.zone);
            let tie = |batch: usize| tie_break(&batches[batch].offer);
            // By a stable fraction, not by the order in which they were listed.
            let by_share = share(a).total_cmp(&share(b));
            by_share.then(tie(a).total_cmp(&tie(b)))
        });
        let Some(&next) = next else { break };
        let batch = &batches[next];
        let step = (remaining / STEP_DIVISOR).clamp(1, batch.available - counts[next]);
        counts[next] += step;
        remaining -= step;
        let size = batch.machine_size.max(EPSILON) * f64::from(step);
        balance.add(&batch.offer.zone, size);
    }
}
