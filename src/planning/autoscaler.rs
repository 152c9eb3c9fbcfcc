//! Autoscaling without bidding: derives the machines to add (scale-out) and to remove (scale-in)
//! from the cluster snapshot and the pending demand.

use crate::job::{JobSpec, MachineId};
use crate::planning::capacity_forecast::{BootingNodes, PendingDemand, unserved_demand};
use crate::planning::cluster_snapshot::{ClusterSnapshot, Offer, fetch_seconds};
use crate::planning::request_limit::{RequestLimit, ScaleOut, ScaleOutPlan};
use crate::wire::MachineType;
use burlusher_market::ZoneBalance;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Expected productive time of a new machine, in seconds. The time for booting and fetching images
/// is paid for in addition.
const EXPECTED_USE_S: f64 = 120.0;
/// Relative surcharge for each task beyond the first that fits on a machine: a large machine is paid
/// for until its last task ends.
const SIZE_SURCHARGE: f64 = 0.02;
/// Number of tasks per machine from which on the size surcharge no longer grows.
const MAX_SURCHARGED_TASKS: u32 = 16;
/// Relative surcharge for each machine already chosen of the same offer, so that offers of the same
/// price are chosen in turn.
const REPETITION_SURCHARGE: f64 = 0.001;

/// Returns the offers whose price per task is more than `max_ratio` times the lowest price per task
/// among the offers that the job may use, whether or not these are available now.
pub fn overpriced_offers(types: &[MachineType], spec: &JobSpec, max_ratio: f64) -> Vec<Offer> {
    let mut offers: Vec<(f64, Offer)> = Vec::new();
    for machine_type in types.iter().filter(|t| spec.allows_type(&t.name)) {
        let fit = spec.resources.count_in(&machine_type.capacity());
        if fit == 0 {
            continue;
        }
        for (spot, price) in prices(machine_type) {
            if !spec.spot && spot {
                continue;
            }
            let price_per_task = price / f64::from(fit);
            let zones = machine_type.zones.iter().filter(|z| spec.allows_zone(z));
            offers.extend(zones.map(|zone| {
                let offer = Offer::new(&machine_type.name, zone, spot);
                (price_per_task, offer)
            }));
        }
    }
    let prices = offers.iter().map(|(price, _)| *price);
    let lowest = prices.fold(f64::INFINITY, f64::min);
    offers.retain(|(price, _)| *price > lowest * max_ratio);
    offers.into_iter().map(|(_, offer)| offer).collect()
}

/// Returns a type's prices per hour, spot (if there is one) before on-demand, each preceded by
/// whether it is the spot price.
pub(super) fn prices(machine_type: &MachineType) -> impl Iterator<Item = (bool, f64)> {
    let spot = machine_type.spot_price.map(|price| (true, price));
    spot.into_iter().chain([(false, machine_type.price)])
}

/// Offers of the cloud, as far as they are known.
#[derive(Clone, Debug, Default)]
pub struct OfferMarket {
    /// All machine types.
    pub types: Vec<MachineType>,
    /// Offers that the cloud refused recently.
    pub refused: Vec<Offer>,
    /// Zones whose machines cannot be reached at present.
    pub unreachable_zones: Vec<String>,
    /// Capacity held by each zone, and the tolerance beyond which a zone counts as more expensive.
    pub zone_balance: ZoneBalance,
    /// Number of requests that may be added.
    pub request_limit: RequestLimit,
}

/// Restriction on the offers that may be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferScope {
    /// All offers that the job may use.
    All,
    /// Spot offers only.
    SpotOnly,
}

/// Returns the machines to add so that no pending task waits longer than its job's limit. Spot
/// machines are planned first, for the jobs that may use them and whose limit for spot machines
/// (`max_spot_wait`) is the lower one.
pub fn plan_scale_out(
    snapshot: &ClusterSnapshot,
    booting_nodes: &[BootingNodes],
    demands: &[PendingDemand],
    market: &OfferMarket,
    now: Instant,
) -> Vec<ScaleOut> {
    let prefers_spot = |d: &PendingDemand| d.spec.spot && d.max_spot_wait < d.max_wait;
    let mut plan = plan_spot_scale_out(snapshot, booting_nodes, demands, market, now, prefers_spot);
    let booting_nodes = with_planned_nodes(booting_nodes, plan.counts(), &market.types);
    let unserved = unserved_demand(
        snapshot,
        &booting_nodes,
        demands,
        now,
        &market.unreachable_zones,
        |demand| demand.max_wait,
    );
    for (demand, tasks) in unserved {
        choose_cheapest(demand, tasks, market, OfferScope::All, &mut plan);
    }
    market.request_limit.requests_for(plan.counts())
}

/// Returns the spot machines to add so that no demand selected by `prefers_spot` waits longer than
/// its `max_spot_wait`.
pub fn plan_spot_scale_out<'a>(
    snapshot: &ClusterSnapshot,
    booting_nodes: &[BootingNodes],
    demands: &[PendingDemand],
    market: &'a OfferMarket,
    now: Instant,
    prefers_spot: impl Fn(&PendingDemand) -> bool,
) -> ScaleOutPlan<'a> {
    let mut plan = ScaleOutPlan::new(&market.request_limit);
    // The forecast of a long queue is the expensive part, so it is skipped where no spot machine is
    // available or asked for.
    if !is_spot_available(market) || !demands.iter().any(&prefers_spot) {
        return plan;
    }
    let max_wait = |demand: &PendingDemand| {
        if prefers_spot(demand) {
            demand.max_spot_wait
        } else {
            demand.max_wait
        }
    };
    let unserved = unserved_demand(
        snapshot,
        booting_nodes,
        demands,
        now,
        &market.unreachable_zones,
        max_wait,
    );
    for (demand, tasks) in unserved.into_iter().filter(|(d, _)| prefers_spot(d)) {
        choose_cheapest(demand, tasks, market, OfferScope::SpotOnly, &mut plan);
    }
    plan
}

fn is_spot_available(market: &OfferMarket) -> bool {
    let mut spot_types = market.types.iter().filter(|t| t.spot_price.is_some());
    spot_types.any(|machine_type| {
        let is_available = |zone: &String| {
            let offer = Offer::new(&machine_type.name, zone, true);
            !market.refused.contains(&offer)
        };
        machine_type.zones.iter().any(is_available)
    })
}

/// Returns the booting machines together with the planned ones in `counts`.
pub fn with_planned_nodes(
    booting_nodes: &[BootingNodes],
    counts: &BTreeMap<Offer, u32>,
    types: &[MachineType],
) -> Vec<BootingNodes> {
    let mut all = booting_nodes.to_vec();
    for (offer, count) in counts {
        if let Some(machine_type) = types.iter().find(|t| t.name == offer.machine_type) {
            all.push(BootingNodes::new(offer.clone(), machine_type, *count));
        }
    }
    all
}

/// Offer that a job may use, with its price.
struct PricedOffer {
    offer: Offer,
    /// Price of a machine per hour, raised for its size, for its unproductive time and for the
    /// balance of the zones.
    effective_price: f64,
    /// Number of tasks that fit on one machine.
    fit: u32,
    /// Number of machines in the plan.
    planned: u32,
}

impl PricedOffer {
    /// Returns the price per task of another machine for a job with this number of remaining tasks.
    fn price_per_task(&self, remaining: u32) -> f64 {
        let usable_slots = f64::from(self.fit.min(remaining));
        let repetition_factor = 1.0 + REPETITION_SURCHARGE * f64::from(self.planned);
        self.effective_price / usable_slots * repetition_factor
    }
}

/// Adds machines to the plan until they hold `tasks` tasks of a job: one at a time, of the offer with the lowest price
/// per task. The tasks for which the plan admits no further machine of that offer wait for a later plan, as a more
/// expensive machine would not be added for them if the cheapest one could be requested at once.
pub fn choose_cheapest(
    demand: &PendingDemand,
    tasks: u32,
    market: &OfferMarket,
    scope: OfferScope,
    plan: &mut ScaleOutPlan,
) {
    let mut offers = priced_offers(demand, market, scope, plan);
    let mut remaining = tasks;
    while remaining > 0 {
        let cheapest = offers.iter_mut().min_by(|a, b| {
            let price = a.price_per_task(remaining);
            price.total_cmp(&b.price_per_task(remaining))
        });
        let Some(cheapest) = cheapest else {
            return;
        };
        if !plan.try_add(&cheapest.offer) {
            return;
        }
        cheapest.planned += 1;
        remaining = remaining.saturating_sub(cheapest.fit);
    }
}

/// Returns all offers that a job may use now, with their prices.
fn priced_offers(
    demand: &PendingDemand,
    market: &OfferMarket,
    scope: OfferScope,
    plan: &ScaleOutPlan,
) -> Vec<PricedOffer> {
    let spec = &demand.spec;
    let mut offers = Vec::new();
    for machine_type in market.types.iter().filter(|t| spec.allows_type(&t.name)) {
        let fit = spec.resources.count_in(&machine_type.capacity());
        if fit == 0 {
            continue;
        }
        // The time for booting and fetching the image is paid for as well.
        let fetch = fetch_seconds(spec.image_gb, machine_type.fetch_gb_per_s);
        let useful_share = EXPECTED_USE_S / (EXPECTED_USE_S + machine_type.boot_s + fetch);
        let surcharged_tasks = f64::from(fit.min(MAX_SURCHARGED_TASKS) - 1);
        let size_factor = 1.0 + SIZE_SURCHARGE * surcharged_tasks;
        for zone in &machine_type.zones {
            if !spec.allows_zone(zone) || market.unreachable_zones.contains(zone) {
                continue;
            }
            let zone_factor = market.zone_balance.price_factor(zone);
            for (spot, price) in prices(machine_type) {
                let offer = Offer::new(&machine_type.name, zone, spot);
                let is_permitted = (spec.spot || !spot)
                    && (spot || scope == OfferScope::All)
                    && !market.refused.contains(&offer)
                    && !demand.excluded_offers.contains(&offer);
                if is_permitted {
                    offers.push(PricedOffer {
                        planned: plan.count(&offer),
                        offer,
                        effective_price: price * zone_factor / useful_share * size_factor,
                        fit,
                    });
                }
            }
        }
    }
    offers
}

/// Returns the machines that have been idle for longer than `idle_timeout` and that no pending task
/// could use.
pub fn plan_scale_in(
    snapshot: &ClusterSnapshot,
    demands: &[PendingDemand],
    now: Instant,
    idle_timeout: impl Fn(&MachineId) -> Duration,
) -> Vec<MachineId> {
    let has_timed_out = |node_index: &usize| {
        let node = snapshot.node(*node_index);
        let idle = node
            .idle_since
            .map(|since| now.saturating_duration_since(since));
        idle.is_some_and(|idle| idle > idle_timeout(&node.id))
    };
    let is_unneeded = |node_index: &usize| {
        let (node, class) = (snapshot.node(*node_index), snapshot.class_of(*node_index));
        let could_use = |demand: &PendingDemand| {
            demand.accepts(&class.offer) && demand.spec.resources.fits(&node.free)
        };
        !demands.iter().any(could_use)
    };
    snapshot
        .idle()
        .filter(has_timed_out)
        .filter(is_unneeded)
        .map(|node_index| snapshot.node(node_index).id.clone())
        .collect()
}
