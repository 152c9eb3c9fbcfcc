//! Scale-out by bidding: turns pending and expected demand into bids on the markets, and the
//! awards into machines to add.
//!
//! The capacity forecast gives the time at which each task would start without additional
//! machines, the delay cost puts a price on that delay, and the market package clears the bids.

use crate::job::{JobSpec, Priority};
use crate::planning::autoscaler::{OfferMarket, OfferScope, choose_cheapest, prices};
use crate::planning::capacity_forecast::{BootingNodes, Forecast, PendingDemand};
use crate::planning::cluster_snapshot::{ClusterSnapshot, Offer, fetch_seconds};
use crate::planning::request_limit::ScaleOutPlan;
use crate::wire::MachineType;
use burlusher_market::clearing::{self, ClearingResult};
use burlusher_market::{Bid, DelayCost, MachineFit, MarketEstimates, OfferBatch};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Horizon of the forecast. Tasks that would start later bid as if they started at the horizon.
const HORIZON: Duration = Duration::from_secs(240);
/// Minimum time for which a machine is billed, as defined by the cloud protocol.
const MINIMUM_BILLED: Duration = Duration::from_secs(60);
/// Upper bound on the run time that a bid counts, which also applies to tasks that never end: a
/// machine has paid for itself long before.
const MAX_COUNTED_RUNTIME: Duration = Duration::from_secs(600);
/// Upper bound on the fetch time that is counted, in seconds.
const MAX_FETCH_S: f64 = 600.0;
/// Relative distance up to which starts of one job share a bid, as a fraction of the group's mean
/// time to start.
const START_GROUPING_RATIO: f64 = 0.3;
/// Absolute distance that is added to the relative one, in seconds.
const START_GROUPING_S: f64 = 2.0;
/// Assumed fraction of tasks that have to wait for their image.
const IMAGE_MISS_RATE: f64 = 0.5;
/// Delay from the end of a task to the start of the next one on the same resources: a heartbeat
/// and a command.
const TASK_HANDOVER_DELAY: Duration = Duration::from_secs(1);

/// Pending or expected tasks with the cost of a delayed start.
#[derive(Clone, Debug)]
pub struct DemandBid {
    /// Tasks of one job.
    pub demand: PendingDemand,
    /// Time from now until the tasks arrive; zero for pending tasks.
    pub arrives_in: Duration,
    /// Cost of the delay of each start.
    pub delay_cost: DelayCost,
}

/// Returns the cost of one task on the cheapest offer that the job may use, whether or not that
/// offer is available now. The unit is the price per hour times seconds.
pub fn nominal_cost(types: &[MachineType], spec: &JobSpec, runtime: Duration) -> f64 {
    let mut lowest = f64::INFINITY;
    for machine_type in types.iter().filter(|t| spec.allows_type(&t.name)) {
        let fit = spec.resources.count_in(&machine_type.capacity());
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

/// Returns the time to fetch a job's image, averaged over the machine types.
fn mean_fetch(types: &[MachineType], spec: &JobSpec) -> Duration {
    let sum: f64 = types
        .iter()
        .map(|t| fetch_seconds(spec.image_gb, t.fetch_gb_per_s))
        .sum();
    let mean = sum / types.len().max(1) as f64;
    Duration::from_secs_f64(mean.clamp(0.0, MAX_FETCH_S))
}

/// Returns the current estimates of all markets, sorted by offer.
pub fn offer_batches(
    types: &[MachineType],
    estimates: &MarketEstimates,
    now: Instant,
) -> Vec<OfferBatch> {
    let mut batches = Vec::new();
    for machine_type in types {
        for zone in &machine_type.zones {
            for (spot, price) in prices(machine_type) {
                let offer = Offer::new(&machine_type.name, zone, spot);
                let forecast = estimates.forecast(&offer, now);
                batches.push(OfferBatch {
                    price,
                    ready_in: estimates.expected_boot(&machine_type.name, machine_type.boot_time()),
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
    /// Mean time from now until the starts, in seconds.
    starts_in_s: f64,
    tasks: f64,
}

/// Forecast starts of one job's tasks, in which starts close to each other form a group.
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

/// Returns the number of machines to add of each offer, and how the bids were cleared. The bids are
/// in queue order.
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
    let mut plan = ScaleOutPlan::new(&market.request_limit);
    for bid in demand_bids {
        let (starts, unserved) = forecast_starts(&mut forecast, bid, &market.types);
        if unserved == bid.demand.tasks && bid.arrives_in.is_zero() {
            // No capacity is forecast for any of these tasks. Machines are added whatever the bid is
            // worth, so that the job does not starve.
            let scope = OfferScope::All;
            choose_cheapest(&bid.demand, unserved, market, scope, &mut plan);
            continue;
        }
        if !bid.delay_cost.is_zero() {
            market_bids.extend(bids_by_start(bid, starts, &market.types, batches));
        }
    }
    let result = clearing::clear(&market_bids, batches, &market.zone_balance);
    let mut counts = plan.into_counts();
    for award in &result.awards {
        let offer = batches[award.batch].offer.clone();
        *counts.entry(offer).or_default() += award.count;
    }
    (counts, result)
}

/// Returns when the tasks would start without additional machines, and for how many of them no
/// capacity is forecast within the horizon; these count as starting at the horizon.
fn forecast_starts(
    forecast: &mut Forecast,
    bid: &DemandBid,
    types: &[MachineType],
) -> (StartGroups, u32) {
    let mut starts = StartGroups::default();
    let mut demand = bid.demand.clone();
    // A task also occupies its resources while its image is fetched and until the next task starts.
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

/// Returns one bid for each group of starts.
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

/// Returns the number of the job's tasks that fit on a machine of this batch and the time to fetch
/// their image; `None` if the job may not use the offer or none of its tasks fits.
fn machine_fit(
    demand: &PendingDemand,
    batch: &OfferBatch,
    types: &[MachineType],
) -> Option<MachineFit> {
    let mut types = types.iter();
    let machine_type = types.find(|t| t.name == batch.offer.machine_type)?;
    let fit = demand.spec.resources.count_in(&machine_type.capacity());
    if fit == 0 || !demand.accepts(&batch.offer) {
        return None;
    }
    let fetch_s = fetch_seconds(demand.spec.image_gb, machine_type.fetch_gb_per_s);
    Some(MachineFit {
        tasks_per_machine: fit,
        fetch: Duration::from_secs_f64(fetch_s.min(MAX_FETCH_S)),
    })
}
