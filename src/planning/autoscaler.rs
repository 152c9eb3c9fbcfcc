//! Renting and returning: from the board and what waits to calls on the cloud. Pure.

use crate::job::{JobSpec, MachineId};
use crate::planning::capacity_forecast::{BootingNodes, PendingDemand, unserved_demand};
use crate::planning::cluster_snapshot::{ClusterSnapshot, Offer};
use crate::wire::MachineType;
use burlusher_market::ZoneBalance;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Offers whose price per task is more than `times` the lowest that the job could have, whether
/// that one is to be had now or not.
pub fn overpriced_offers(types: &[MachineType], spec: &JobSpec, times: f64) -> Vec<Offer> {
    let mut offers: Vec<(f64, Offer)> = Vec::new();
    for t in types.iter().filter(|t| spec.allows_type(&t.name)) {
        let fit = spec.resources.count_in(&t.room());
        for (spot, price) in [(true, t.spot_price), (false, Some(t.price))] {
            if let Some(price) = price
                && fit > 0
                && (spec.spot || !spot)
            {
                let cost = price / f64::from(fit);
                let zones = t.zones.iter().filter(|z| spec.allows_zone(z));
                offers.extend(zones.map(|z| (cost, (t.name.clone(), z.clone(), spot))));
            }
        }
    }
    let lowest = offers.iter().map(|o| o.0).fold(f64::INFINITY, f64::min);
    offers.retain(|(cost, _)| *cost > lowest * times);
    offers.into_iter().map(|(_, offer)| offer).collect()
}

#[derive(Clone, Debug, Default)]
pub struct OfferMarket {
    pub types: Vec<MachineType>,
    /// Offers that were refused a short while ago.
    pub refused: Vec<Offer>,
    /// Zones whose machines cannot be reached now.
    pub unreachable_zones: Vec<String>,
    /// What each zone holds, and how far beyond its part it may go before it counts as dearer.
    pub spread: ZoneBalance,
}

#[derive(Clone, Debug, PartialEq)]
pub struct ScaleOut {
    pub offer: Offer,
    pub count: u32,
}

/// Most machines that one request may name.
const MAX_MACHINES_PER_REQUEST: u32 = 50;

/// Which machines to rent so that no waiting task waits longer than its job's patience: spot ones
/// first, for those that may use them and would wait longer than is worth one of these.
pub fn rent(
    snapshot: &ClusterSnapshot,
    booting_nodes: &[BootingNodes],
    unmet: &[PendingDemand],
    market: &OfferMarket,
    now: Instant,
) -> Vec<ScaleOut> {
    let sooner = |u: &PendingDemand| u.spec.spot && u.spot_patience < u.patience;
    let mut out = scale_out_spot(snapshot, booting_nodes, unmet, market, now, sooner);
    let with_those = with_scale_outs(booting_nodes, &out, &market.types);
    for (u, left) in unserved_demand(
        snapshot,
        &with_those,
        unmet,
        now,
        &market.unreachable_zones,
        |u| u.patience,
    ) {
        choose_cheapest(u, left, market, false, &mut out);
    }
    split_into_requests(out)
}

/// Spot machines for those of the work that would wait longer than is worth one of these.
pub fn scale_out_spot(
    snapshot: &ClusterSnapshot,
    booting_nodes: &[BootingNodes],
    unmet: &[PendingDemand],
    market: &OfferMarket,
    now: Instant,
    sooner: impl Fn(&PendingDemand) -> bool,
) -> BTreeMap<Offer, u32> {
    let mut out: BTreeMap<Offer, u32> = BTreeMap::new();
    // Laying out a long queue is the larger part of the work: not where no spot machine is to be
    // had in any case.
    let mut spot = market.types.iter().filter(|t| t.spot_price.is_some());
    let offered = spot.any(|t| {
        let open = |z: &String| !market.refused.contains(&(t.name.clone(), z.clone(), true));
        t.zones.iter().any(open)
    });
    if offered && unmet.iter().any(&sooner) {
        let patience = |u: &PendingDemand| {
            if sooner(u) {
                u.spot_patience
            } else {
                u.patience
            }
        };
        let short = unserved_demand(
            snapshot,
            booting_nodes,
            unmet,
            now,
            &market.unreachable_zones,
            patience,
        );
        for (u, left) in short.into_iter().filter(|(u, _)| sooner(u)) {
            choose_cheapest(u, left, market, true, &mut out);
        }
    }
    out
}

/// What is on its way when these are asked for as well.
pub fn with_scale_outs(
    booting_nodes: &[BootingNodes],
    wanted: &BTreeMap<Offer, u32>,
    types: &[MachineType],
) -> Vec<BootingNodes> {
    let mut all = booting_nodes.to_vec();
    for (offer, count) in wanted {
        if let Some(t) = types.iter().find(|t| t.name == offer.0) {
            all.push(BootingNodes {
                offer: offer.clone(),
                room: t.room(),
                count: *count,
                ready_in: Duration::from_secs_f64(t.boot_s.min(1e6)),
            });
        }
    }
    all
}

/// As many requests as it takes, each of no more machines than one may name.
pub fn split_into_requests(wanted: BTreeMap<Offer, u32>) -> Vec<ScaleOut> {
    let mut rents = Vec::new();
    for (offer, mut count) in wanted {
        while count > 0 {
            let part = count.min(MAX_MACHINES_PER_REQUEST);
            let offer = offer.clone();
            rents.push(ScaleOut { offer, count: part });
            count -= part;
        }
    }
    rents
}

/// Picks the offers that carry `left` tasks of a job for the least money.
pub fn choose_cheapest(
    u: &PendingDemand,
    mut left: u32,
    market: &OfferMarket,
    only_spot: bool,
    out: &mut BTreeMap<Offer, u32>,
) {
    // Price of each offer before its size against what is left counts.
    let mut offers: Vec<(f64, u32, Offer)> = Vec::new();
    for t in market.types.iter().filter(|t| u.spec.allows_type(&t.name)) {
        let fit = u.spec.resources.count_in(&t.room());
        if fit == 0 {
            continue;
        }
        // The time before a machine does anything useful is paid for as well.
        let fetch = u.spec.image_gb / t.fetch_gb_per_s.max(0.01);
        let useful = 120.0 / (120.0 + t.boot_s + fetch);
        // A large machine is paid for until its last task ends.
        let bulk = 1.0 + 0.02 * f64::from(fit.min(16) - 1);
        for zone in &t.zones {
            if !u.spec.allows_zone(zone) || market.unreachable_zones.contains(zone) {
                continue;
            }
            let far = market.spread.price_factor(zone);
            for spot in [true, false] {
                let price = if spot { t.spot_price } else { Some(t.price) };
                let offer = (t.name.clone(), zone.clone(), spot);
                if let Some(price) = price
                    && (u.spec.spot || !spot)
                    && (spot || !only_spot)
                    && !market.refused.contains(&offer)
                    && !u.quarantined.contains(&offer)
                {
                    offers.push((price * far / useful * bulk, fit, offer));
                }
            }
        }
    }
    while left > 0 {
        let cost = |(cost, fit, offer): &(f64, u32, Offer)| {
            // Among equals, zones take turns.
            let taken = f64::from(out.get(offer).copied().unwrap_or(0));
            cost / f64::from((*fit).min(left)) * (1.0 + 0.001 * taken)
        };
        let Some((_, fit, offer)) = offers.iter().min_by(|a, b| cost(a).total_cmp(&cost(b))) else {
            return;
        };
        *out.entry(offer.clone()).or_default() += 1;
        left = left.saturating_sub(*fit);
    }
}

/// Machines that have idled longer than `keep` and are not wanted.
pub fn scale_in(
    snapshot: &ClusterSnapshot,
    unmet: &[PendingDemand],
    now: Instant,
    keep: impl Fn(&MachineId) -> Duration,
) -> Vec<MachineId> {
    let idle = |node_index: &usize| {
        let h = snapshot.node(*node_index);
        let idle = h.idle_since.map(|t| now.saturating_duration_since(t));
        idle.is_some_and(|d| d > keep(&h.id))
    };
    let unwanted = |node_index: &usize| {
        let (h, class) = (snapshot.node(*node_index), snapshot.class_of(*node_index));
        !unmet
            .iter()
            .any(|u| u.takes(&class.offer) && u.spec.resources.fits(&h.free))
    };
    snapshot
        .idle()
        .filter(idle)
        .filter(unwanted)
        .map(|node_index| snapshot.node(node_index).id.clone())
        .collect()
}
