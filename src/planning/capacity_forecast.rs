//! The forecast: what running tasks and booting machines will give, laid out over the queue. Pure.

use crate::job::{JobSpec, Priority, Resources};
use crate::planning::cluster_snapshot::{Board, Class, Offer, Use, allows};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Tasks of one job that wait for room.
#[derive(Clone, Debug)]
pub struct Unmet {
    pub spec: Arc<JobSpec>,
    /// What it counts as where work of lower rank yields to it.
    pub rank: Priority,
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
    pub fn takes(&self, offer: &Offer) -> bool {
        allows(&self.spec, offer) && !self.shunned.contains(offer)
    }
}

/// Machines that were asked for and have no names yet.
#[derive(Clone, Debug)]
pub struct Coming {
    pub offer: Offer,
    pub room: Resources,
    pub count: u32,
    pub ready_in: Duration,
}

/// Room that comes by itself: what running tasks and booting machines will give.
pub struct Forecast<'a> {
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
const BOOTING_INDEX_BASE: usize = 1 << 32;
/// From here on: room that work of the lowest rank yields when others ask for it.
const YIELDED: usize = 1 << 33;
/// Stopping a task and starting another takes about this long.
const YIELDS_AFTER: Duration = Duration::from_secs(4);

impl<'a> Forecast<'a> {
    pub fn new(
        board: &'a Board,
        coming: &'a [Coming],
        now: Instant,
        horizon: Duration,
        preempting: bool,
        cut: &[String],
    ) -> Self {
        // What ends in a zone that cannot be reached makes no room for anybody.
        let zone = |c: &Class| cut.contains(&c.offer.1);
        let cut: Vec<bool> = board.classes.iter().map(zone).collect();
        let reached = |slot: usize| !cut[board.host(slot).class];
        let mut gains: Vec<((Duration, usize), Resources)> = Vec::new();
        let mut boots = BTreeMap::new();
        for (at, slot, t) in board.ends(now) {
            let after = at.saturating_duration_since(now);
            if after > horizon {
                break;
            }
            if board.host(slot).usage == Use::Closed || !reached(slot) {
                continue;
            }
            match gains.last_mut() {
                Some((key, room)) if *key == (after, slot) => room.add(&t.needs),
                _ => gains.push(((after, slot), t.needs)),
            }
        }
        for slot in board.booting().filter(|s| reached(*s)) {
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
            gains.push(((c.ready_in, BOOTING_INDEX_BASE + i), c.room));
            boots.insert(BOOTING_INDEX_BASE + i, c.ready_in);
        }
        let mut yielded = Vec::new();
        if preempting && board.has_below(Priority::Normal) {
            for (slot, h) in board.hosts().filter(|(_, h)| h.usage == Use::Open) {
                for t in h
                    .tasks
                    .iter()
                    .filter(|t| t.rank == Priority::Low && !t.stopping)
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
        } else if unit >= BOOTING_INDEX_BASE {
            self.board.classes.len() + unit - BOOTING_INDEX_BASE
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

    /// Room that is free now counts as well: for what comes while it is there.
    pub fn with_free(&mut self) {
        for slot in self.board.open() {
            let none = Resources::default();
            self.gains.entry((Duration::ZERO, slot)).or_insert(none);
        }
    }

    /// Gives what it can of the coming room to a job's tasks, in time or where a machine is
    /// booting anyway, and says how many are left. Each task gives its room back after its run.
    /// Tasks that are yet to come start when they have `arrives` at the earliest. What starts
    /// when, from now on, is told.
    pub fn serve(
        &mut self,
        u: &Unmet,
        arrives: Duration,
        patience: Duration,
        told: &mut dyn FnMut(Duration, u32),
    ) -> u32 {
        let mut left = u.tasks;
        let needs = u.spec.resources;
        let allowed = self.allowed(u);
        let patience = patience.max(arrives);
        let last = (patience.max(self.last_boot), usize::MAX);
        let mut from = (Duration::ZERO, 0);
        let usable = |f: &Self, at: Duration, unit: usize| {
            // A machine that boots counts however late it comes, or it is rented again.
            let in_time = at <= patience || f.boots.get(&unit) == Some(&at);
            let yields = unit < YIELDED || u.rank < Priority::Low;
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
                let starts = at.max(arrives);
                told(starts, n);
                let ends = starts.saturating_add(u.estimate);
                let back = self.gains.entry((ends, unit)).or_default();
                back.add(&needs.times(f64::from(n)));
            }
        }
        left
    }
}

/// Lays the queue out over the room that comes by itself, and tells how many tasks of which jobs
/// would wait for longer than `patience` allows.
pub fn lay_out<'a>(
    board: &Board,
    coming: &[Coming],
    unmet: &'a [Unmet],
    now: Instant,
    cut: &[String],
    patience: impl Fn(&Unmet) -> Duration,
) -> Vec<(&'a Unmet, u32)> {
    let Some(horizon) = unmet.iter().map(&patience).max() else {
        return Vec::new();
    };
    let preempting = unmet.iter().any(|u| u.rank < Priority::Low);
    let mut forecast = Forecast::new(board, coming, now, horizon, preempting, cut);
    let left = |u: &'a Unmet| {
        (
            u,
            forecast.serve(u, Duration::ZERO, patience(u), &mut |_, _| {}),
        )
    };
    let short = unmet.iter().map(left);
    short.filter(|(_, left)| *left > 0).collect()
}
