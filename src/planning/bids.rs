//! From pending and expected demand to bids on the markets, and from awards to machines to add.
//!
//! The capacity forecast says when each task would start without another machine, its delay cost
//! says what that costs, and the market package clears the bids.

use crate::job::{JobSpec, Priority};
use crate::planning::autoscaler::{OfferMarket, OfferScope, choose_cheapest, prices};
use crate::planning::capacity_forecast::{BootingNodes, Forecast, PendingDemand};
use crate::planning::cluster_snapshot::{ClusterSnapshot, Offer, fetch_seconds};
use crate::wire::MachineType;
use burlusher_market::clearing::{self, ClearingResult};
use burlusher_market::{Bid, DelayCost, MachineFit, MarketEstimates, OfferBatch};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Nothing is forecast beyond this: what would start later bids as if it started then.
const HORIZON: Duration = Duration::from_secs(240);
/// A machine is billed for at least this long (the protocol).
const MINIMUM_BILLED: Duration = Duration::from_secs(60);
/// What never ends bids as if it ran this long: the machine is worth its money long before.
const MAX_COUNTED_RUNTIME: Duration = Duration::from_secs(600);
/// Fetches longer than this count as this long, in seconds.
const MAX_FETCH_S: f64 = 600.0;
/// Announced boot times above this are taken for this, in seconds.
const MAX_BOOT_S: f64 = 1e6;
/// Starts of one job that are this near to each other, as a part of their delay, bid together.
const START_GROUPING_RATIO: f64 = 0.3;
/// So are those that are this near in seconds.
const START_GROUPING_S: f64 = 2.0;
/// The part of all tasks that have to wait for their image.
const IMAGE_MISS_RATE: f64 = 0.5;
/// From the end of one task to the start of the next in its place: a heartbeat and a command.
const TASK_HANDOVER_DELAY: Duration = Duration::from_secs(1);

/// Tasks that wait, or that are expected, and what a later start costs them.
#[derive(Clone, Debug)]
pub struct DemandBid {
    /// The tasks.
    pub demand: PendingDemand,
    /// When they arrive, from now on; zero for those that wait.
    pub arrives_in: Duration,
    /// What each start costs by its delay.
    pub delay_cost: DelayCost,
}

/// What a task costs where it is cheapest, whether that can be had now or not: in units of price
/// per hour, for a second.
pub fn nominal_cost(types: &[MachineType], spec: &JobSpec, runtime: Duration) -> f64 {
    let mut lowest = f64::INFINITY;
    for machine_type in types.iter().filter(|t| spec.allows_type(&t.name)) {
        let fit = spec.resources.count_in(&machine_type.room());
        let mut zones = machine_type.zones.iter();
        if fit == 0 || !zones.any(|zone| spec.allows_zone(zone)) {
            continue;
        }
        let spot_price = machine_type.spot_price.filter(|_| spec.spot);
        let price = spot_price.unwrap_or(machine_type.price);
        lowest = lowest.min(price / f64::from(fit));
    }
    if lowest.is_finite() {
        lowest * runtime.min(MAX_COUNTED_RUNTIME).as_secs_f64()
    } else {
        0.0
    }
}

/// How long a job's image takes to fetch, on the average of the types.
fn mean_fetch(types: &[MachineType], spec: &JobSpec) -> Duration {
    let sum: f64 = types
        .iter()
        .map(|t| fetch_seconds(spec.image_gb, t.fetch_gb_per_s))
        .sum();
    let mean = sum / types.len().max(1) as f64;
    Duration::from_secs_f64(mean.clamp(0.0, MAX_FETCH_S))
}

/// All markets as they are estimated now, in a fixed order.
pub fn offer_batches(
    types: &[MachineType],
    estimates: &MarketEstimates,
    now: Instant,
) -> Vec<OfferBatch> {
    let mut batches = Vec::new();
    for machine_type in types {
        let announced_boot = Duration::from_secs_f64(machine_type.boot_s.clamp(0.0, MAX_BOOT_S));
        for zone in &machine_type.zones {
            for (spot, price) in prices(machine_type) {
                let offer = Offer::new(&machine_type.name, zone, spot);
                let forecast = estimates.forecast(&offer, now);
                batches.push(OfferBatch {
                    price,
                    ready_in: estimates.expected_boot(&machine_type.name, announced_boot),
                    minimum_billed: MINIMUM_BILLED,
                    available: forecast.available,
                    loss_rate: forecast.loss_rate,
                    machine_size: machine_type.cpus,
                    offer,
                });
            }
        }
    }
    batches.sort_by(|a, b| a.offer.cmp(&b.offer));
    batches
}

/// Tasks of a job that start at about the same time.
struct StartGroup {
    /// Mean time of the starts from now on, in seconds.
    starts_in_s: f64,
    tasks: f64,
}

/// When the tasks of a job start, where starts near to each other form a group.
#[derive(Default)]
struct StartGroups {
    groups: Vec<StartGroup>,
}

impl StartGroups {
    fn add(&mut self, starts_in: Duration, tasks: u32) {
        let (starts_in_s, tasks) = (starts_in.as_secs_f64(), f64::from(tasks));
        let is_close = |group: &StartGroup| {
            starts_in_s <= group.starts_in_s * (1.0 + START_GROUPING_RATIO) + START_GROUPING_S
        };
        match self.groups.last_mut() {
            Some(group) if is_close(group) => {
                let total = group.tasks + tasks;
                group.starts_in_s = (group.starts_in_s * group.tasks + starts_in_s * tasks) / total;
                group.tasks = total;
            }
            _ => self.groups.push(StartGroup { starts_in_s, tasks }),
        }
    }
}

/// Which machines are worth adding for these bids, in the queue's order.
pub fn plan_scale_out(
    snapshot: &ClusterSnapshot,
    booting_nodes: &[BootingNodes],
    demand_bids: &[DemandBid],
    market: &OfferMarket,
    batches: &[OfferBatch],
    now: Instant,
) -> (BTreeMap<Offer, u32>, ClearingResult) {
    let allow_preemption = demand_bids
        .iter()
        .any(|bid| bid.demand.priority < Priority::Low);
    let mut forecast = Forecast::new(
        snapshot,
        booting_nodes,
        now,
        HORIZON,
        allow_preemption,
        &market.unreachable_zones,
    );
    if demand_bids.iter().any(|bid| !bid.arrives_in.is_zero()) {
        forecast.include_free_capacity();
    }
    let mut market_bids = Vec::new();
    let mut counts: BTreeMap<Offer, u32> = BTreeMap::new();
    for bid in demand_bids {
        let (starts, unserved) = forecast_starts(&mut forecast, bid, &market.types);
        if unserved == bid.demand.tasks && bid.arrives_in.is_zero() {
            // No capacity is forecast for any of it: whatever its value, it must not starve.
            let scope = OfferScope::All;
            choose_cheapest(&bid.demand, unserved, market, scope, &mut counts);
            continue;
        }
        if !bid.delay_cost.is_zero() {
            market_bids.extend(bids_by_start(bid, starts, &market.types, batches));
        }
    }
    let result = clearing::clear(&market_bids, batches, &market.zone_balance);
    for award in &result.awards {
        let offer = batches[award.batch].offer.clone();
        *counts.entry(offer).or_default() += award.count;
    }
    (counts, result)
}

/// When the tasks would start without another machine, and how many see no room within the
/// horizon; these count as starting at its end.
fn forecast_starts(
    forecast: &mut Forecast,
    bid: &DemandBid,
    types: &[MachineType],
) -> (StartGroups, u32) {
    let mut starts = StartGroups::default();
    let mut demand = bid.demand.clone();
    // A task holds its place while its image is fetched, too, and until the next one starts.
    let fetch = mean_fetch(types, &demand.spec).mul_f64(IMAGE_MISS_RATE);
    demand.expected_runtime = demand
        .expected_runtime
        .saturating_add(fetch + TASK_HANDOVER_DELAY);
    let mut on_start = |starts_in, tasks| starts.add(starts_in, tasks);
    let unserved = forecast.allocate(&demand, bid.arrives_in, HORIZON, &mut on_start);
    if unserved > 0 {
        starts.add(HORIZON, unserved);
    }
    (starts, unserved)
}

/// A bid for each group of starts.
fn bids_by_start(
    bid: &DemandBid,
    starts: StartGroups,
    types: &[MachineType],
    batches: &[OfferBatch],
) -> Vec<Bid> {
    let spec = &bid.demand.spec;
    let runtime = bid.demand.expected_runtime.min(MAX_COUNTED_RUNTIME);
    let nominal_cost = nominal_cost(types, spec, runtime);
    let machine_fits: Vec<Option<MachineFit>> = batches
        .iter()
        .map(|batch| machine_fit(&bid.demand, batch, types))
        .collect();
    let groups = starts.groups.into_iter();
    groups
        .map(|group| Bid {
            tasks: group.tasks,
            runtime,
            arrives_in: bid.arrives_in,
            starts_in: Duration::from_secs_f64(group.starts_in_s),
            delay_cost: bid.delay_cost.clone(),
            nominal_cost,
            machine_fits: machine_fits.clone(),
        })
        .collect()
}

/// How a machine of this batch would carry a job's tasks, if it may and can.
fn machine_fit(
    demand: &PendingDemand,
    batch: &OfferBatch,
    types: &[MachineType],
) -> Option<MachineFit> {
    let mut types = types.iter();
    let machine_type = types.find(|t| t.name == batch.offer.machine_type)?;
    let fit = demand.spec.resources.count_in(&machine_type.room());
    if fit == 0 || !demand.accepts(&batch.offer) {
        return None;
    }
    let fetch_s = fetch_seconds(demand.spec.image_gb, machine_type.fetch_gb_per_s);
    Some(MachineFit {
        tasks_per_machine: fit,
        fetch: Duration::from_secs_f64(fetch_s.min(MAX_FETCH_S)),
    })
}
