//! Renting and returning: from the board and what waits to calls on the cloud. Pure.

use crate::board::{Board, Offer, Use, allows};
use crate::job::{JobSpec, MachineId, Rank, Resources};
use crate::wire::MachineType;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Tasks of one job that wait for room.
#[derive(Clone, Debug)]
pub struct Unmet {
    pub spec: Arc<JobSpec>,
    /// What it counts as where work of lower rank yields to it.
    pub rank: Rank,
    pub tasks: u32,
    /// Expected run time of a task.
    pub estimate: Duration,
    /// Longest time the job's tasks should wait from now on before a machine is worth renting.
    pub patience: Duration,
    /// The same where a spot machine is to be had.
    pub spot_patience: Duration,
    /// Offers that cost more than the job is worth.
    pub shunned: Vec<Offer>,
}

impl Unmet {
    fn takes(&self, offer: &Offer) -> bool {
        allows(&self.spec, offer) && !self.shunned.contains(offer)
    }
}

/// Offers whose price per task is more than `times` the lowest that the job could have, whether
/// that one is to be had now or not.
pub fn too_dear(types: &[MachineType], spec: &JobSpec, times: f64) -> Vec<Offer> {
    let mut offers: Vec<(f64, Offer)> = Vec::new();
    for t in types.iter().filter(|t| spec.allows_type(&t.name)) {
        let fit = spec.needs.count_in(&t.room());
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

/// Machines that were asked for and have no names yet.
#[derive(Clone, Debug)]
pub struct Coming {
    pub offer: Offer,
    pub room: Resources,
    pub count: u32,
    pub ready_in: Duration,
}

#[derive(Clone, Debug, Default)]
pub struct Market {
    pub types: Vec<MachineType>,
    /// Offers that were refused a short while ago.
    pub refused: Vec<Offer>,
    /// Zones whose machines cannot be reached now.
    pub cut: Vec<String>,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Rent {
    pub offer: Offer,
    pub count: u32,
}

/// Most machines that one request may name.
const MOST_PER_REQUEST: u32 = 50;

/// Room that comes by itself: what running tasks and booting machines will give.
struct Forecast<'a> {
    board: &'a Board,
    /// Machines that are on their way come after the board's, numbered on.
    coming: Vec<&'a Coming>,
    /// Machines on which work of the lowest rank can be stopped, a number for each task.
    yielded: Vec<usize>,
    /// What becomes free and when, the earliest first.
    gains: BTreeMap<(Duration, usize), Resources>,
    /// Room of each machine that was too little for a job, and may add up with more. A machine
    /// that is missing here has been looked at by nobody yet.
    rest: BTreeMap<usize, Resources>,
    /// When each machine that boots is expected.
    boots: BTreeMap<usize, Duration>,
    last_boot: Duration,
}

/// Slots on the board are below this, machines that are on their way above.
const ON_ITS_WAY: usize = 1 << 32;
/// From here on: room that work of the lowest rank yields when others ask for it.
const YIELDED: usize = 1 << 33;
/// Stopping a task and starting another takes about this long.
const YIELDS_AFTER: Duration = Duration::from_secs(4);

impl<'a> Forecast<'a> {
    fn new(
        board: &'a Board,
        coming: &'a [Coming],
        now: Instant,
        horizon: Duration,
        preempting: bool,
    ) -> Self {
        let mut gains: Vec<((Duration, usize), Resources)> = Vec::new();
        let mut boots = BTreeMap::new();
        for (at, slot, t) in board.ends(now) {
            let after = at.saturating_duration_since(now);
            if after > horizon {
                break;
            }
            if board.host(slot).usage == Use::Closed {
                continue;
            }
            match gains.last_mut() {
                Some((key, room)) if *key == (after, slot) => room.add(&t.needs),
                _ => gains.push(((after, slot), t.needs)),
            }
        }
        for slot in board.booting() {
            let h = board.host(slot);
            if let Use::Booting(at) = h.usage {
                // Later than expected: at any moment, as far as one knows.
                let after = at.saturating_duration_since(now);
                let after = after.max(Duration::from_secs(1));
                gains.push(((after, slot), h.free));
                boots.insert(slot, after);
            }
        }
        let coming: Vec<&Coming> = coming
            .iter()
            .flat_map(|c| (0..c.count).map(move |_| c))
            .collect();
        for (i, c) in coming.iter().enumerate() {
            gains.push(((c.ready_in, ON_ITS_WAY + i), c.room));
            boots.insert(ON_ITS_WAY + i, c.ready_in);
        }
        let mut yielded = Vec::new();
        if preempting && board.has_below(Rank::Normal) {
            for (slot, h) in board.hosts().filter(|(_, h)| h.usage == Use::Open) {
                for t in h
                    .tasks
                    .iter()
                    .filter(|t| t.rank == Rank::Low && !t.stopping)
                {
                    gains.push(((YIELDS_AFTER, YIELDED + yielded.len()), t.needs));
                    yielded.push(slot);
                }
            }
        }
        let last_boot = boots.values().copied().max().unwrap_or_default();
        Forecast {
            last_boot,
            board,
            coming,
            yielded,
            // Nearly in order already, and built at once.
            gains: gains.into_iter().collect(),
            rest: BTreeMap::new(),
            boots,
        }
    }

    /// Where machines of this unit's class stand in what `allowed` gives.
    fn class(&self, unit: usize) -> usize {
        if unit >= YIELDED {
            self.board.host(self.yielded[unit - YIELDED]).class
        } else if unit >= ON_ITS_WAY {
            self.board.classes.len() + unit - ON_ITS_WAY
        } else {
            self.board.host(unit).class
        }
    }

    /// Which classes a job takes: asked once a job, as there may be thousands of ends to look at.
    fn allowed(&self, u: &Unmet) -> Vec<bool> {
        let there = self.board.classes.iter().map(|c| &c.offer);
        let coming = self.coming.iter().map(|c| &c.offer);
        there.chain(coming).map(|offer| u.takes(offer)).collect()
    }

    /// Gives what it can of the coming room to a job's tasks, in time or where a machine is
    /// booting anyway, and says how many are left. Each task gives its room back after its run.
    fn serve(&mut self, u: &Unmet, patience: Duration) -> u32 {
        let mut left = u.tasks;
        let needs = u.spec.needs;
        let allowed = self.allowed(u);
        let last = (patience.max(self.last_boot), usize::MAX);
        let mut from = (Duration::ZERO, 0);
        let usable = |f: &Self, at: Duration, unit: usize| {
            // A machine that boots counts however late it comes, or it is rented again.
            let in_time = at <= patience || f.boots.get(&unit) == Some(&at);
            let yields = unit < YIELDED || u.rank < Rank::Low;
            in_time && yields && allowed[f.class(unit)]
        };
        while left > 0 && from <= last {
            let mut coming = self.gains.range(from..=last);
            let next = coming.find(|((at, unit), _)| usable(self, *at, *unit));
            let Some((&(at, unit), &gain)) = next else {
                break;
            };
            from = (at, unit + 1);
            self.gains.remove(&(at, unit));
            let idle = || {
                if unit >= YIELDED || self.boots.contains_key(&unit) {
                    Resources::default()
                } else {
                    self.board.host(unit).free
                }
            };
            let mut room = self.rest.remove(&unit).unwrap_or_else(idle);
            room.add(&gain);
            let n = needs.count_in(&room).min(left);
            room.sub(&needs.times(f64::from(n)));
            left -= n;
            if left == 0 {
                // What this job does not need is there for the next one, at the same time.
                self.gains.insert((at, unit), room);
                self.rest.insert(unit, Resources::default());
            } else {
                self.rest.insert(unit, room);
            }
            if n > 0 {
                let back = self.gains.entry((at + u.estimate, unit)).or_default();
                back.add(&needs.times(f64::from(n)));
            }
        }
        left
    }
}

/// Which machines to rent so that no waiting task waits longer than its job's patience: spot ones
/// first, for those that may use them and would wait longer than is worth one of these.
pub fn rent(
    board: &Board,
    coming: &[Coming],
    unmet: &[Unmet],
    market: &Market,
    now: Instant,
) -> Vec<Rent> {
    let mut out: BTreeMap<Offer, u32> = BTreeMap::new();
    let sooner = |u: &Unmet| u.spec.spot && u.spot_patience < u.patience;
    // Laying out a long queue is the larger part of the work: not where no spot machine is to be
    // had in any case.
    let mut spot = market.types.iter().filter(|t| t.spot_price.is_some());
    let offered = spot.any(|t| {
        let open = |z: &String| !market.refused.contains(&(t.name.clone(), z.clone(), true));
        t.zones.iter().any(open)
    });
    if offered && unmet.iter().any(sooner) {
        let patience = |u: &Unmet| {
            if sooner(u) {
                u.spot_patience
            } else {
                u.patience
            }
        };
        let short = lay_out(board, coming, unmet, now, patience);
        for (u, left) in short.into_iter().filter(|(u, _)| sooner(u)) {
            shop(u, left, market, true, &mut out);
        }
    }
    let mut with_those = coming.to_vec();
    for (offer, count) in &out {
        if let Some(t) = market.types.iter().find(|t| t.name == offer.0) {
            with_those.push(Coming {
                offer: offer.clone(),
                room: t.room(),
                count: *count,
                ready_in: Duration::from_secs_f64(t.boot_s.min(1e6)),
            });
        }
    }
    for (u, left) in lay_out(board, &with_those, unmet, now, |u| u.patience) {
        shop(u, left, market, false, &mut out);
    }
    let mut rents = Vec::new();
    for (offer, mut count) in out {
        while count > 0 {
            let part = count.min(MOST_PER_REQUEST);
            let offer = offer.clone();
            rents.push(Rent { offer, count: part });
            count -= part;
        }
    }
    rents
}

/// Lays the queue out over the room that comes by itself, and tells how many tasks of which jobs
/// would wait for longer than `patience` allows.
fn lay_out<'a>(
    board: &Board,
    coming: &[Coming],
    unmet: &'a [Unmet],
    now: Instant,
    patience: impl Fn(&Unmet) -> Duration,
) -> Vec<(&'a Unmet, u32)> {
    let Some(horizon) = unmet.iter().map(&patience).max() else {
        return Vec::new();
    };
    let preempting = unmet.iter().any(|u| u.rank < Rank::Low);
    let mut forecast = Forecast::new(board, coming, now, horizon, preempting);
    let left = |u: &'a Unmet| (u, forecast.serve(u, patience(u)));
    let short = unmet.iter().map(left);
    short.filter(|(_, left)| *left > 0).collect()
}

/// Picks the offers that carry `left` tasks of a job for the least money.
fn shop(
    u: &Unmet,
    mut left: u32,
    market: &Market,
    only_spot: bool,
    out: &mut BTreeMap<Offer, u32>,
) {
    // Price of each offer before its size against what is left counts.
    let mut offers: Vec<(f64, u32, Offer)> = Vec::new();
    for t in market.types.iter().filter(|t| u.spec.allows_type(&t.name)) {
        let fit = u.spec.needs.count_in(&t.room());
        if fit == 0 {
            continue;
        }
        // The time before a machine does anything useful is paid for as well.
        let fetch = u.spec.image_gb / t.fetch_gb_per_s.max(0.01);
        let useful = 120.0 / (120.0 + t.boot_s + fetch);
        // A large machine is paid for until its last task ends.
        let bulk = 1.0 + 0.02 * f64::from(fit.min(16) - 1);
        for zone in &t.zones {
            if !u.spec.allows_zone(zone) || market.cut.contains(zone) {
                continue;
            }
            for spot in [true, false] {
                let price = if spot { t.spot_price } else { Some(t.price) };
                let offer = (t.name.clone(), zone.clone(), spot);
                if let Some(price) = price
                    && (u.spec.spot || !spot)
                    && (spot || !only_spot)
                    && !market.refused.contains(&offer)
                    && !u.shunned.contains(&offer)
                {
                    offers.push((price / useful * bulk, fit, offer));
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
pub fn give_back(
    board: &Board,
    unmet: &[Unmet],
    now: Instant,
    keep: impl Fn(&MachineId) -> Duration,
) -> Vec<MachineId> {
    let idle = |slot: &usize| {
        let h = board.host(*slot);
        let idle = h.idle_since.map(|t| now.saturating_duration_since(t));
        idle.is_some_and(|d| d > keep(&h.id))
    };
    let unwanted = |slot: &usize| {
        let (h, class) = (board.host(*slot), board.class_of(*slot));
        !unmet
            .iter()
            .any(|u| u.takes(&class.offer) && u.spec.needs.fits(&h.free))
    };
    board
        .idle()
        .filter(idle)
        .filter(unwanted)
        .map(|slot| board.host(slot).id.clone())
        .collect()
}
