//! The forecast: what running tasks and booting machines will give, laid out over the queue. Pure.

use crate::job::{JobSpec, Priority, Resources};
use crate::planning::cluster_snapshot::{ClusterSnapshot, MachineClass, NodeUsage, Offer, allows};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Tasks of one job that wait for room.
#[derive(Clone, Debug)]
pub struct PendingDemand {
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
    pub quarantined: Vec<Offer>,
}

impl PendingDemand {
    pub fn takes(&self, offer: &Offer) -> bool {
        allows(&self.spec, offer) && !self.quarantined.contains(offer)
    }
}

/// Machines that were asked for and have no names yet.
#[derive(Clone, Debug)]
pub struct BootingNodes {
    pub offer: Offer,
    pub room: Resources,
    pub count: u32,
    pub ready_in: Duration,
}

/// Room that comes by itself: what running tasks and booting machines will give.
pub struct Forecast<'a> {
    snapshot: &'a ClusterSnapshot,
    /// Machines that are on their way come after the board's, numbered on.
    booting_nodes: Vec<&'a BootingNodes>,
    /// Machines on which work of the lowest rank can be stopped, a number for each task.
    preemptible: Vec<usize>,
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
const PREEMPTIBLE_INDEX_BASE: usize = 1 << 33;
/// Stopping a task and starting another takes about this long.
const PREEMPTION_DELAY: Duration = Duration::from_secs(4);

impl<'a> Forecast<'a> {
    pub fn new(
        snapshot: &'a ClusterSnapshot,
        booting_nodes: &'a [BootingNodes],
        now: Instant,
        horizon: Duration,
        preempting: bool,
        unreachable_zones: &[String],
    ) -> Self {
        // What ends in a zone that cannot be reached makes no room for anybody.
        let zone = |c: &MachineClass| unreachable_zones.contains(&c.offer.1);
        let unreachable_zones: Vec<bool> = snapshot.classes.iter().map(zone).collect();
        let reached = |node_index: usize| !unreachable_zones[snapshot.node(node_index).class];
        let mut gains: Vec<((Duration, usize), Resources)> = Vec::new();
        let mut boots = BTreeMap::new();
        for (at, node_index, t) in snapshot.ends(now) {
            let after = at.saturating_duration_since(now);
            if after > horizon {
                break;
            }
            if snapshot.node(node_index).usage == NodeUsage::Closed || !reached(node_index) {
                continue;
            }
            match gains.last_mut() {
                Some((key, room)) if *key == (after, node_index) => room.add(&t.needs),
                _ => gains.push(((after, node_index), t.needs)),
            }
        }
        for node_index in snapshot.booting().filter(|s| reached(*s)) {
            let h = snapshot.node(node_index);
            if let NodeUsage::Booting(at) = h.usage {
                // Later than expected: at any moment, as far as one knows.
                let after = at.saturating_duration_since(now);
                let after = after.max(Duration::from_secs(1));
                gains.push(((after, node_index), h.free));
                boots.insert(node_index, after);
            }
        }
        let booting_nodes: Vec<&BootingNodes> = booting_nodes
            .iter()
            .flat_map(|c| (0..c.count).map(move |_| c))
            .collect();
        for (i, c) in booting_nodes.iter().enumerate() {
            gains.push(((c.ready_in, BOOTING_INDEX_BASE + i), c.room));
            boots.insert(BOOTING_INDEX_BASE + i, c.ready_in);
        }
        let mut preemptible = Vec::new();
        if preempting && snapshot.has_lower_priority(Priority::Normal) {
            for (node_index, h) in snapshot.nodes().filter(|(_, h)| h.usage == NodeUsage::Open) {
                for t in h
                    .tasks
                    .iter()
                    .filter(|t| t.rank == Priority::Low && !t.stopping)
                {
                    gains.push((
                        (PREEMPTION_DELAY, PREEMPTIBLE_INDEX_BASE + preemptible.len()),
                        t.needs,
                    ));
                    preemptible.push(node_index);
                }
            }
        }
        let last_boot = boots.values().copied().max().unwrap_or_default();
        Forecast {
            last_boot,
            snapshot,
            booting_nodes,
            preemptible,
            // Nearly in order already, and built at once.
            gains: gains.into_iter().collect(),
            rest: BTreeMap::new(),
            boots,
        }
    }

    /// Where machines of this unit's class stand in what `allowed` gives.
    fn class(&self, unit: usize) -> usize {
        if unit >= PREEMPTIBLE_INDEX_BASE {
            self.snapshot
                .node(self.preemptible[unit - PREEMPTIBLE_INDEX_BASE])
                .class
        } else if unit >= BOOTING_INDEX_BASE {
            self.snapshot.classes.len() + unit - BOOTING_INDEX_BASE
        } else {
            self.snapshot.node(unit).class
        }
    }

    /// Which classes a job takes: asked once a job, as there may be thousands of ends to look at.
    fn allowed(&self, u: &PendingDemand) -> Vec<bool> {
        let there = self.snapshot.classes.iter().map(|c| &c.offer);
        let booting_nodes = self.booting_nodes.iter().map(|c| &c.offer);
        there
            .chain(booting_nodes)
            .map(|offer| u.takes(offer))
            .collect()
    }

    /// Room that is free now counts as well: for what comes while it is there.
    pub fn with_free(&mut self) {
        for node_index in self.snapshot.open() {
            let none = Resources::default();
            self.gains
                .entry((Duration::ZERO, node_index))
                .or_insert(none);
        }
    }

    /// Gives what it can of the coming room to a job's tasks, in time or where a machine is
    /// booting anyway, and says how many are left. Each task gives its room back after its run.
    /// Tasks that are yet to come start when they have `arrives` at the earliest. What starts
    /// when, from now on, is told.
    pub fn serve(
        &mut self,
        u: &PendingDemand,
        arrives: Duration,
        patience: Duration,
        on_start: &mut dyn FnMut(Duration, u32),
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
            let yields = unit < PREEMPTIBLE_INDEX_BASE || u.rank < Priority::Low;
            in_time && yields && allowed[f.class(unit)]
        };
        while left > 0 && from <= last {
            let mut booting_nodes = self.gains.range(from..=last);
            let next = booting_nodes.find(|((at, unit), _)| usable(self, *at, *unit));
            let Some((&(at, unit), &gain)) = next else {
                break;
            };
            from = (at, unit + 1);
            self.gains.remove(&(at, unit));
            let idle = || {
                if unit >= PREEMPTIBLE_INDEX_BASE || self.boots.contains_key(&unit) {
                    Resources::default()
                } else {
                    self.snapshot.node(unit).free
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
                on_start(starts, n);
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
pub fn unserved_demand<'a>(
    snapshot: &ClusterSnapshot,
    booting_nodes: &[BootingNodes],
    unmet: &'a [PendingDemand],
    now: Instant,
    unreachable_zones: &[String],
    patience: impl Fn(&PendingDemand) -> Duration,
) -> Vec<(&'a PendingDemand, u32)> {
    let Some(horizon) = unmet.iter().map(&patience).max() else {
        return Vec::new();
    };
    let preempting = unmet.iter().any(|u| u.rank < Priority::Low);
    let mut forecast = Forecast::new(
        snapshot,
        booting_nodes,
        now,
        horizon,
        preempting,
        unreachable_zones,
    );
    let left = |u: &'a PendingDemand| {
        (
            u,
            forecast.serve(u, Duration::ZERO, patience(u), &mut |_, _| {}),
        )
    };
    let short = unmet.iter().map(left);
    short.filter(|(_, left)| *left > 0).collect()
}
