//! From what waits and what is expected to bids on the markets, and from awards to requests. Pure.
//!
//! The forecast says when each task would start without another machine; its worth says what that
//! costs; the market package clears.

use crate::job::{JobSpec, Priority};
use crate::planning::autoscaler::{OfferMarket, choose_cheapest};
use crate::planning::capacity_forecast::{BootingNodes, Forecast, PendingDemand};
use crate::planning::cluster_snapshot::{ClusterSnapshot, Offer};
use crate::wire::MachineType;
use burlusher_market::clearing::{self, ClearingResult};
use burlusher_market::{Bid, DelayCost, MachineFit, MarketEstimates, OfferBatch};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Nothing is forecast beyond this: what would start later bids as if it started then.
const HORIZON: Duration = Duration::from_secs(240);
/// A machine is paid for at least this long (the protocol).
const MINIMUM_BILLED: Duration = Duration::from_secs(60);
/// What never ends bids as if it ran this long: the machine is worth its money long before.
const MAX_COUNTED_RUNTIME: Duration = Duration::from_secs(600);
/// Starts of one job that are this near to each other, in parts of their delay, bid together.
const START_GROUPING: f64 = 0.3;

/// The part of all tasks that have to wait for their image.
const IMAGE_MISS_RATE: f64 = 0.5;
/// From the end of one task to the start of the next in its place: a report and a command.
const TASK_HANDOVER: Duration = Duration::from_secs(1);

/// Tasks that wait, or that are expected, and what a start is worth to them.
#[derive(Clone, Debug)]
pub struct DemandBid {
    pub unmet: PendingDemand,
    /// When they come, from now on; zero for those that wait.
    pub arrives: Duration,
    pub delay_cost: DelayCost,
}

/// What a task costs where it is cheapest, whether that is to be had now or not: in units of
/// price per hour, for a second.
pub fn nominal_cost(types: &[MachineType], spec: &JobSpec, run: Duration) -> f64 {
    let mut lowest = f64::INFINITY;
    for t in types.iter().filter(|t| spec.allows_type(&t.name)) {
        let tasks_per_machine = spec.resources.count_in(&t.room());
        if tasks_per_machine == 0 || !t.zones.iter().any(|z| spec.allows_zone(z)) {
            continue;
        }
        let price = t.spot_price.filter(|_| spec.spot).unwrap_or(t.price);
        lowest = lowest.min(price / f64::from(tasks_per_machine));
    }
    if lowest.is_finite() {
        lowest * run.min(MAX_COUNTED_RUNTIME).as_secs_f64()
    } else {
        0.0
    }
}

/// How long a job's image takes to come, on the average of the types.
fn mean_fetch(types: &[MachineType], spec: &JobSpec) -> Duration {
    let fetch = |t: &MachineType| spec.image_gb / t.fetch_gb_per_s.max(0.01);
    let all: f64 = types.iter().map(fetch).sum();
    Duration::from_secs_f64((all / types.len().max(1) as f64).clamp(0.0, 600.0))
}

/// All markets as they are believed to be now, in a fixed order.
pub fn batches(
    types: &[MachineType],
    estimates: &MarketEstimates,
    now: Instant,
) -> Vec<OfferBatch> {
    let mut out = Vec::new();
    for t in types {
        let announced = Duration::from_secs_f64(t.boot_s.clamp(0.0, 1e6));
        for zone in &t.zones {
            for (spot, price) in [(true, t.spot_price), (false, Some(t.price))] {
                let Some(price) = price else { continue };
                let offer = (t.name.clone(), zone.clone(), spot);
                let market_forecast = estimates.market_forecast(&offer, now);
                out.push(OfferBatch {
                    price,
                    ready: estimates.boot(&t.name, announced),
                    minimum_billed: MINIMUM_BILLED,
                    available: market_forecast.available,
                    loss_rate: market_forecast.loss_rate,
                    size: t.cpus,
                    offer,
                });
            }
        }
    }
    out.sort_by(|a, b| a.offer.cmp(&b.offer));
    out
}

/// How many tasks of a job start how long from now on, where those near to each other go together.
#[derive(Default)]
struct Starts {
    groups: Vec<(f64, f64)>,
}

impl Starts {
    fn add(&mut self, after: Duration, tasks: u32) {
        let (after, tasks) = (after.as_secs_f64(), f64::from(tasks));
        match self.groups.last_mut() {
            Some((at, n)) if after <= *at * (1.0 + START_GROUPING) + 2.0 => {
                *at = (*at * *n + after * tasks) / (*n + tasks);
                *n += tasks;
            }
            _ => self.groups.push((after, tasks)),
        }
    }
}

/// Which machines are worth renting for what was asked, in the queue's order.
pub fn rent(
    snapshot: &ClusterSnapshot,
    booting_nodes: &[BootingNodes],
    demand_bids: &[DemandBid],
    market: &OfferMarket,
    batches: &[OfferBatch],
    now: Instant,
) -> (BTreeMap<Offer, u32>, ClearingResult) {
    let preempting = demand_bids.iter().any(|a| a.unmet.rank < Priority::Low);
    let types = &market.types[..];
    let mut forecast = Forecast::new(
        snapshot,
        booting_nodes,
        now,
        HORIZON,
        preempting,
        &market.unreachable_zones,
    );
    if demand_bids.iter().any(|a| !a.arrives.is_zero()) {
        forecast.with_free();
    }
    let mut bids = Vec::new();
    let mut wanted: BTreeMap<Offer, u32> = BTreeMap::new();
    for a in demand_bids {
        let mut starts = Starts::default();
        let spec = &a.unmet.spec;
        let mut occupies = a.unmet.clone();
        // A task holds its place while its image comes, too, and until the next one is told.
        let fetch = mean_fetch(types, spec).mul_f64(IMAGE_MISS_RATE);
        occupies.estimate = occupies.estimate.saturating_add(fetch + TASK_HANDOVER);
        let left = forecast.serve(&occupies, a.arrives, HORIZON, &mut |after, n| {
            starts.add(after, n);
        });
        if left == occupies.tasks && a.arrives.is_zero() {
            // No room is in sight for any of it: whatever it is worth, it must not wait for ever.
            choose_cheapest(&a.unmet, left, market, false, &mut wanted);
            continue;
        }
        if left > 0 {
            starts.add(HORIZON, left);
        }
        if a.delay_cost.is_zero() {
            continue;
        }
        let run = a.unmet.estimate.min(MAX_COUNTED_RUNTIME);
        let machine_fit = |batch: &OfferBatch| {
            let t = types.iter().find(|t| t.name == batch.offer.0)?;
            let tasks_per_machine = spec.resources.count_in(&t.room());
            let fetch = spec.image_gb / t.fetch_gb_per_s.max(0.01);
            (tasks_per_machine > 0 && a.unmet.takes(&batch.offer)).then(|| MachineFit {
                tasks_per_machine,
                fetch: Duration::from_secs_f64(fetch.min(600.0)),
            })
        };
        let machine_fits: Vec<Option<MachineFit>> = batches.iter().map(machine_fit).collect();
        let nominal_cost = nominal_cost(types, spec, run);
        for (after, tasks) in starts.groups {
            bids.push(Bid {
                tasks,
                run,
                arrives: a.arrives,
                after: Duration::from_secs_f64(after),
                delay_cost: a.delay_cost.clone(),
                nominal_cost,
                machine_fits: machine_fits.clone(),
            });
        }
    }
    let cleared = clearing::clear(&bids, batches, &market.spread);
    for a in &cleared.awards {
        *wanted.entry(batches[a.batch].offer.clone()).or_default() += a.count;
    }
    (wanted, cleared)
}
