//! Balances awards among zones where markets are equivalent for the bids.

use super::{EPSILON, OfferBatch, tie_break};
use crate::zone_balance::ZoneBalance;

/// Relative difference up to which two prices are considered equal.
const PRICE_TOLERANCE: f64 = 0.01;
/// Machines are distributed in steps of the remaining number divided by this, as there may be
/// hundreds of them.
const STEP_DIVISOR: u32 = 16;

/// Redistributes awards among equivalent markets. Machines of one type at the same price serve the
/// bids equally well, so they are added to the zone with the smallest share, a few at a time, up to
/// the number that each market is likely to grant.
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

/// Returns whether `other` has machines available and serves bids as well as `batch` at an equal price.
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

/// Distributes `total` machines over equivalent batches, to the zone with the smallest share first.
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
            // Ties are broken by a stable fraction, independently of the order of the batches.
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
