//! From what waits and what is expected to bids on the markets, and from awards to requests. Pure.
//!
//! The forecast says when each task would start without another machine; its worth says what that
//! costs; the market package clears.

use crate::job::{JobSpec, Priority};
use crate::planning::autoscaler::{Market, shop};
use crate::planning::capacity_forecast::{Coming, Forecast, Unmet};
use crate::planning::cluster_snapshot::{Board, Offer};
use crate::wire::MachineType;
use burlusher_market::clear::{self, Cleared};
use burlusher_market::{Beliefs, Bid, Carry, Lot, Worth};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Nothing is forecast beyond this: what would start later bids as if it started then.
const HORIZON: Duration = Duration::from_secs(240);
/// A machine is paid for at least this long (the protocol).
const LEAST_PAID: Duration = Duration::from_secs(60);
/// What never ends bids as if it ran this long: the machine is worth its money long before.
const LONGEST_RUN: Duration = Duration::from_secs(600);
/// Starts of one job that are this near to each other, in parts of their delay, bid together.
const TOGETHER: f64 = 0.3;

/// The part of all tasks that have to wait for their image.
const WITHOUT_IMAGE: f64 = 0.5;
/// From the end of one task to the start of the next in its place: a report and a command.
const HANDOVER: Duration = Duration::from_secs(1);

/// Tasks that wait, or that are expected, and what a start is worth to them.
#[derive(Clone, Debug)]
pub struct Asked {
    pub unmet: Unmet,
    /// When they come, from now on; zero for those that wait.
    pub arrives: Duration,
    pub worth: Worth,
}

/// What a task costs where it is cheapest, whether that is to be had now or not: in units of
/// price per hour, for a second.
pub fn nominal(types: &[MachineType], spec: &JobSpec, run: Duration) -> f64 {
    let mut lowest = f64::INFINITY;
    for t in types.iter().filter(|t| spec.allows_type(&t.name)) {
        let slots = spec.resources.count_in(&t.room());
        if slots == 0 || !t.zones.iter().any(|z| spec.allows_zone(z)) {
            continue;
        }
        let price = t.spot_price.filter(|_| spec.spot).unwrap_or(t.price);
        lowest = lowest.min(price / f64::from(slots));
    }
    if lowest.is_finite() {
        lowest * run.min(LONGEST_RUN).as_secs_f64()
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
pub fn lots(types: &[MachineType], beliefs: &Beliefs, now: Instant) -> Vec<Lot> {
    let mut out = Vec::new();
    for t in types {
        let announced = Duration::from_secs_f64(t.boot_s.clamp(0.0, 1e6));
        for zone in &t.zones {
            for (spot, price) in [(true, t.spot_price), (false, Some(t.price))] {
                let Some(price) = price else { continue };
                let offer = (t.name.clone(), zone.clone(), spot);
                let outlook = beliefs.outlook(&offer, now);
                out.push(Lot {
                    price,
                    ready: beliefs.boot(&t.name, announced),
                    least_paid: LEAST_PAID,
                    likely: outlook.likely,
                    hazard: outlook.hazard,
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
            Some((at, n)) if after <= *at * (1.0 + TOGETHER) + 2.0 => {
                *at = (*at * *n + after * tasks) / (*n + tasks);
                *n += tasks;
            }
            _ => self.groups.push((after, tasks)),
        }
    }
}

/// Which machines are worth renting for what was asked, in the queue's order.
pub fn rent(
    board: &Board,
    coming: &[Coming],
    asked: &[Asked],
    market: &Market,
    lots: &[Lot],
    now: Instant,
) -> (BTreeMap<Offer, u32>, Cleared) {
    let preempting = asked.iter().any(|a| a.unmet.rank < Priority::Low);
    let types = &market.types[..];
    let mut forecast = Forecast::new(board, coming, now, HORIZON, preempting, &market.cut);
    if asked.iter().any(|a| !a.arrives.is_zero()) {
        forecast.with_free();
    }
    let mut bids = Vec::new();
    let mut wanted: BTreeMap<Offer, u32> = BTreeMap::new();
    for a in asked {
        let mut starts = Starts::default();
        let spec = &a.unmet.spec;
        let mut occupies = a.unmet.clone();
        // A task holds its place while its image comes, too, and until the next one is told.
        let fetch = mean_fetch(types, spec).mul_f64(WITHOUT_IMAGE);
        occupies.estimate = occupies.estimate.saturating_add(fetch + HANDOVER);
        let left = forecast.serve(&occupies, a.arrives, HORIZON, &mut |after, n| {
            starts.add(after, n);
        });
        if left == occupies.tasks && a.arrives.is_zero() {
            // No room is in sight for any of it: whatever it is worth, it must not wait for ever.
            shop(&a.unmet, left, market, false, &mut wanted);
            continue;
        }
        if left > 0 {
            starts.add(HORIZON, left);
        }
        if a.worth.is_nil() {
            continue;
        }
        let run = a.unmet.estimate.min(LONGEST_RUN);
        let carry = |lot: &Lot| {
            let t = types.iter().find(|t| t.name == lot.offer.0)?;
            let slots = spec.resources.count_in(&t.room());
            let fetch = spec.image_gb / t.fetch_gb_per_s.max(0.01);
            (slots > 0 && a.unmet.takes(&lot.offer)).then(|| Carry {
                slots,
                fetch: Duration::from_secs_f64(fetch.min(600.0)),
            })
        };
        let carries: Vec<Option<Carry>> = lots.iter().map(carry).collect();
        let nominal = nominal(types, spec, run);
        for (after, tasks) in starts.groups {
            bids.push(Bid {
                tasks,
                run,
                arrives: a.arrives,
                after: Duration::from_secs_f64(after),
                worth: a.worth.clone(),
                nominal,
                carries: carries.clone(),
            });
        }
    }
    let cleared = clear::clear(&bids, lots, &market.spread);
    for a in &cleared.awards {
        *wanted.entry(lots[a.lot].offer.clone()).or_default() += a.count;
    }
    (wanted, cleared)
}
