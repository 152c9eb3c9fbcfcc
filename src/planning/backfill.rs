//! Placement: from the board and the queue to starts and stops. Pure.
//!
//! This is the thesis's LOS with its Max-Slowdown merit (sections 3.2 to 3.5): the head starts if
//! it fits, else it gets a reservation at its shadow time, and a dynamic program picks the set of
//! later entries that fills the free room best without delaying that reservation.

use crate::job::{JobSpec, Priority, Resources, TaskId};
use crate::planning::cluster_snapshot::{
    ClusterSnapshot, ImageTag, MachineClass, NodeUsage, Offer,
};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The dynamic program looks at this many fitting entries (limited lookahead, section 3.5.1).
pub const LOOKAHEAD: usize = 50;
/// The dynamic program's tables have at most this many units a side, which bounds its memory and
/// time; where the entries together are larger, its unit is coarser.
const MAX_KNAPSACK_UNITS: usize = 128;

/// A job with queued entries. Jobs come in the order of the queue.
#[derive(Clone)]
pub struct QueuedJob<'a> {
    pub spec: Arc<JobSpec>,
    /// What it counts as where work of lower rank may be stopped for it.
    pub rank: Priority,
    pub image: ImageTag,
    pub team: usize,
    /// Rows that wait, and those of them that may not be started before some moment.
    pub queued: &'a BTreeSet<u32>,
    pub held: &'a BTreeMap<u32, Instant>,
    /// It starts with all of its tasks or not at all.
    pub all_or_nothing: bool,
    /// It is only tried: one of its rows is started.
    pub single_trial: bool,
    /// Expected run time of a task.
    pub estimate: Duration,
    /// Tasks of this job that hold room already, by zone; only kept where its zones are bound.
    pub zones: BTreeMap<String, u32>,
    /// Machines this job should avoid because its tasks failed there.
    pub avoid: Vec<usize>,
    /// The job fits into its team's guarantee.
    pub guaranteed: bool,
    /// Whether its head may stop others to get room.
    pub may_preempt: bool,
    /// What settles ties between sets of the same size.
    pub priority_weight: f32,
    /// Machines that cost more than the job is worth.
    pub quarantined: Vec<Offer>,
}

impl<'a> QueuedJob<'a> {
    /// Rows that may be started now.
    fn rows(&self, now: Instant) -> impl Iterator<Item = u32> + 'a {
        let (queued, held) = (self.queued, self.held);
        let most = if self.single_trial && !self.all_or_nothing {
            1
        } else {
            usize::MAX
        };
        queued
            .iter()
            .filter(move |r| held.get(r).is_none_or(|t| now >= *t))
            .copied()
            .take(most)
    }

    /// Tasks per entry.
    fn per_entry(&self) -> u32 {
        if self.all_or_nothing {
            self.queued.len() as u32
        } else {
            1
        }
    }

    /// Whether the job may, and is to, use machines of this class.
    fn takes(&self, class: &MachineClass) -> bool {
        class.allowed(&self.spec) && !self.quarantined.contains(&class.offer)
    }

    fn bound_to_zones(&self) -> bool {
        self.spec.one_zone || self.spec.spread
    }

    fn zone_allows(&self, zone: &str) -> bool {
        if !self.bound_to_zones() {
            return true;
        }
        if self.spec.one_zone && self.zones.keys().any(|z| z != zone) {
            return false;
        }
        self.zones.get(zone).copied().unwrap_or(0) < self.spec.zone_cap()
    }
}

/// What a team uses and may use.
#[derive(Clone, Debug, Default)]
pub struct TeamUsage {
    pub cpus: f64,
    pub gpus: f64,
    pub cpus_max: Option<f64>,
    pub gpus_max: Option<f64>,
    /// Its guarantee; what its tasks hold beyond it is borrowed.
    pub cpus_own: f64,
    pub gpus_own: f64,
}

impl TeamUsage {
    fn takes(&self, needs: &Resources, n: u32) -> bool {
        let within = |used: f64, more: f64, max: Option<f64>| {
            max.is_none_or(|m| used + more * f64::from(n) <= m + 1e-6)
        };
        within(self.cpus, needs.cpus, self.cpus_max) && within(self.gpus, needs.gpus, self.gpus_max)
    }

    fn add(&mut self, needs: &Resources, n: f64) {
        self.cpus += needs.cpus * n;
        self.gpus += needs.gpus * n;
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment {
    pub job: usize,
    pub row: u32,
    /// The machine's slot on the board.
    pub node_index: usize,
}

#[derive(Clone, Debug, Default)]
pub struct SchedulingPlan {
    pub starts: Vec<Assignment>,
    /// Tasks to stop, with their machines.
    pub stops: Vec<(usize, TaskId)>,
    /// The head's job, and when it may start, if it has to wait.
    pub head: Option<(usize, Option<Duration>)>,
}

/// Memory that is kept from one planning step to the next.
#[derive(Default)]
pub struct KnapsackTables {
    now: Vec<Cell>,
    before: Vec<Cell>,
    taken: Vec<u64>,
}

#[derive(Clone, Copy, Default)]
struct Cell {
    used: u16,
    shadow: u16,
    priority_weight: f32,
}

/// An entry as the dynamic program sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnapsackItem {
    pub size: usize,
    /// Room it still holds at the shadow time.
    pub shadow_size: usize,
    pub priority_weight: f32,
}

/// Algorithm 7 of the thesis (Max-Slowdown): the set with the greatest total size within `n`
/// whose shadow sizes stay within `extra`; among equals, the least shadow size, then the greatest
/// merit; where all are equal, the set closer to the head ("bypassed first").
pub fn select_items(
    items: &[KnapsackItem],
    n: usize,
    extra: usize,
    tables: &mut KnapsackTables,
) -> Vec<usize> {
    let size: usize = items.iter().map(|i| i.size).sum();
    let shadow: usize = items.iter().map(|i| i.shadow_size).sum();
    if size <= n && shadow <= extra {
        return (0..items.len()).collect();
    }
    // No set uses more than all entries together, so larger tables would hold nothing new.
    let (n, extra) = (n.min(size), extra.min(shadow).min(n));
    let width = extra + 1;
    let cells = (n + 1) * width;
    tables.before.clear();
    tables.before.resize(cells, Cell::default());
    tables.now.clear();
    tables.now.resize(cells, Cell::default());
    let words = cells.div_ceil(64);
    tables.taken.clear();
    tables.taken.resize(words * items.len(), 0);
    for (i, item) in items.iter().enumerate() {
        let taken = &mut tables.taken[i * words..(i + 1) * words];
        for j in 0..=n {
            for k in 0..width {
                let at = j * width + k;
                let skip = tables.before[at];
                tables.now[at] = skip;
                if item.size > j || item.shadow_size > k || item.size == 0 {
                    continue;
                }
                let from = tables.before[(j - item.size) * width + (k - item.shadow_size)];
                let take = Cell {
                    used: from.used + item.size as u16,
                    shadow: from.shadow + item.shadow_size as u16,
                    priority_weight: from.priority_weight + item.priority_weight,
                };
                let better = take.used > skip.used
                    || (take.used == skip.used
                        && (take.shadow < skip.shadow
                            || (take.shadow == skip.shadow
                                && take.priority_weight > skip.priority_weight)));
                if better {
                    tables.now[at] = take;
                    taken[at / 64] |= 1 << (at % 64);
                }
            }
        }
        std::mem::swap(&mut tables.now, &mut tables.before);
    }
    let (mut j, mut k) = (n, extra);
    let mut chosen = Vec::new();
    for i in (0..items.len()).rev() {
        let at = j * width + k;
        if tables.taken[i * words + at / 64] >> (at % 64) & 1 == 1 {
            chosen.push(i);
            j -= items[i].size;
            k -= items[i].shadow_size;
        }
    }
    chosen.reverse();
    chosen
}

/// What it is worth, in seconds, to leave ordinary machines to work that needs them, and to let
/// them empty, since they cost a multiple of spot ones.
const ON_DEMAND_PENALTY_S: f64 = 15.0;
/// What it is worth to leave the largest machine empty instead of a tiny one: it is paid for until
/// its last task ends.
const MACHINE_SIZE_PENALTY_S: f64 = 2.0;
/// For longer work, the first weighs more and the wait for an image less.
const REFERENCE_RUNTIME_S: f64 = 15.0;

/// How a job looks at machines: which classes it may use, and what each of their machines costs
/// it beside what that machine itself adds.
struct NodeScoring {
    allowed: Vec<Option<f64>>,
    fetch_s: Vec<f64>,
}

impl NodeScoring {
    fn new(snapshot: &ClusterSnapshot, w: &QueuedJob) -> NodeScoring {
        let largest = snapshot.largest();
        let length = w.estimate.as_secs_f64().max(1.0) / REFERENCE_RUNTIME_S;
        let cost = |c: &MachineClass| {
            let ordinary = w.spec.spot && !c.offer.2;
            let cost = if ordinary { ON_DEMAND_PENALTY_S } else { 0.0 };
            let size = MACHINE_SIZE_PENALTY_S * c.room.share_of(&largest).min(1.0);
            w.takes(c).then(|| cost + size * length.clamp(0.5, 4.0))
        };
        let fetch = |c: &MachineClass| {
            w.spec.image_gb / c.fetch_gb_per_s.max(0.01) / length.clamp(1.0, 4.0)
        };
        NodeScoring {
            allowed: snapshot.classes.iter().map(cost).collect(),
            fetch_s: snapshot.classes.iter().map(fetch).collect(),
        }
    }

    /// The cost of one more task on this machine, in seconds; `None` where it may not or cannot
    /// go. Warm images first, then spot machines for work that may use them, then the fullest
    /// machine, so that others empty and can be returned.
    fn cost(&self, snapshot: &ClusterSnapshot, w: &QueuedJob, node_index: usize) -> Option<f64> {
        let h = snapshot.node(node_index);
        let mut cost = self.allowed[h.class]?;
        if h.usage != NodeUsage::Open || !w.spec.resources.fits(&h.free) {
            return None;
        }
        let class = &snapshot.classes[h.class];
        if !w.zone_allows(&class.offer.1) {
            return None;
        }
        if !h.images.contains(&w.image) {
            cost += self.fetch_s[h.class] * (1.0 + h.fetching as f64);
        }
        if w.avoid.contains(&node_index) {
            cost += 1000.0;
        }
        Some(cost + h.distrust_s + 0.5 * h.free.share_of(&class.room).min(1.0))
    }
}

/// Machines by what they cost a job, the cheapest first; among equals the first on the board.
#[derive(PartialEq)]
struct ScoredNode {
    cost: f64,
    node_index: usize,
}

impl Eq for ScoredNode {}

impl Ord for ScoredNode {
    fn cmp(&self, other: &ScoredNode) -> Ordering {
        // The heap gives the greatest first.
        (other.cost.total_cmp(&self.cost)).then(other.node_index.cmp(&self.node_index))
    }
}

impl PartialOrd for ScoredNode {
    fn partial_cmp(&self, other: &ScoredNode) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Finds machines for the tasks of one job, one after the other. Each machine is looked at once,
/// and again after it was given a task.
struct NodeFinder {
    taste: NodeScoring,
    heap: BinaryHeap<ScoredNode>,
}

impl NodeFinder {
    fn new(snapshot: &mut ClusterSnapshot, nodes: &[usize], w: &QueuedJob) -> NodeFinder {
        let taste = NodeScoring::new(snapshot, w);
        snapshot.count_inspected(nodes.len());
        let bid = |&node_index: &usize| {
            let cost = taste.cost(snapshot, w, node_index)?;
            Some(ScoredNode { cost, node_index })
        };
        let heap = nodes.iter().filter_map(bid).collect();
        NodeFinder { taste, heap }
    }

    /// Places one more task; what was taken is told to the board, the job and its team. The flag
    /// says whether the machine has to fetch the image for it.
    fn place(
        &mut self,
        snapshot: &mut ClusterSnapshot,
        w: &mut QueuedJob,
        teams: &mut [TeamUsage],
        allowed: &dyn Fn(&ClusterSnapshot, usize) -> bool,
    ) -> Option<(usize, bool)> {
        while let Some(bid) = self.heap.pop() {
            // Its zone may have become full since the machine was looked at.
            if !w.zone_allows(snapshot.zone_of(bid.node_index))
                || !allowed(snapshot, bid.node_index)
            {
                continue;
            }
            let fetches = take(snapshot, w, teams, bid.node_index);
            if let Some(cost) = self.taste.cost(snapshot, w, bid.node_index) {
                self.heap.push(ScoredNode { cost, ..bid });
            }
            return Some((bid.node_index, fetches));
        }
        None
    }
}

fn take(
    snapshot: &mut ClusterSnapshot,
    w: &mut QueuedJob,
    teams: &mut [TeamUsage],
    node_index: usize,
) -> bool {
    snapshot.count_inspected(1);
    let h = snapshot.node_mut(node_index);
    h.free.sub(&w.spec.resources);
    let fetches = !h.images.contains(&w.image);
    if fetches {
        h.images.push(w.image);
        h.fetching += 1;
    }
    if w.bound_to_zones() {
        let zone = snapshot.zone_of(node_index).to_string();
        *w.zones.entry(zone).or_default() += 1;
    }
    teams[w.team].add(&w.spec.resources, 1.0);
    fetches
}

/// Places all of a job's rows, or none.
fn place_whole(
    snapshot: &mut ClusterSnapshot,
    nodes: &[usize],
    job: usize,
    w: &mut QueuedJob,
    teams: &mut [TeamUsage],
    now: Instant,
    allowed: &dyn Fn(&ClusterSnapshot, usize) -> bool,
) -> Option<Vec<Assignment>> {
    let saved = (w.zones.clone(), teams.to_vec());
    let mut undo = Vec::new();
    let mut starts = Vec::new();
    let mut finder = NodeFinder::new(snapshot, nodes, w);
    for row in w.rows(now) {
        match finder.place(snapshot, w, teams, allowed) {
            Some((node_index, fetches)) => {
                undo.push((node_index, fetches));
                starts.push(Assignment {
                    job,
                    row,
                    node_index,
                });
            }
            None => {
                for (node_index, fetches) in undo.into_iter().rev() {
                    let h = snapshot.node_mut(node_index);
                    h.free.add(&w.spec.resources);
                    if fetches {
                        h.images.pop();
                        h.fetching -= 1;
                    }
                }
                w.zones = saved.0;
                teams.clone_from_slice(&saved.1);
                return None;
            }
        }
    }
    Some(starts)
}

/// The head's reservation: when it can start, and on which machines its tasks then go.
#[derive(Default)]
struct Reservation {
    after: Duration,
    /// Room that ends by then free up, by machine.
    freed: BTreeMap<usize, Resources>,
    reserved: BTreeMap<usize, Resources>,
}

impl Reservation {
    /// What a machine will have left at the shadow time beside the head's tasks.
    fn left(&self, snapshot: &ClusterSnapshot, node_index: usize) -> Resources {
        let mut room = snapshot.node(node_index).free;
        if let Some(more) = self.freed.get(&node_index) {
            room.add(more);
        }
        if let Some(kept) = self.reserved.get(&node_index) {
            room.sub(kept);
        }
        room
    }
}

/// Walks the running tasks by remaining estimate, adding their room until first-fit places the
/// head (section 3.2.1). Fitting is asked of machines, not of sums: a sum hides fragments.
fn shadow(
    snapshot: &ClusterSnapshot,
    nodes: &[usize],
    w: &QueuedJob,
    now: Instant,
) -> Option<Reservation> {
    let n = w.per_entry();
    let needs = &w.spec.resources;
    let allowed: Vec<bool> = snapshot.classes.iter().map(|c| w.takes(c)).collect();
    let usable = |node_index: usize| {
        let h = snapshot.node(node_index);
        h.usage == NodeUsage::Open && allowed[h.class]
    };
    // How many of its tasks go where; only machines with room for one are of interest.
    let mut places: BTreeMap<usize, u32> = BTreeMap::new();
    if n > 1 {
        for &node_index in nodes.iter().filter(|s| usable(**s)) {
            places.insert(node_index, needs.count_in(&snapshot.node(node_index).free));
        }
    }
    let mut s = Reservation::default();
    for (at, node_index, t) in snapshot.ends(now) {
        if !usable(node_index) {
            continue;
        }
        s.freed.entry(node_index).or_default().add(&t.needs);
        let fit = needs.count_in(&s.left(snapshot, node_index));
        if fit == 0 || fit == places.insert(node_index, fit).unwrap_or(0) {
            continue;
        }
        if let Some(chosen) = spread(snapshot, w, &places, n) {
            s.after = at.saturating_duration_since(now);
            for (node_index, tasks) in chosen {
                s.reserved.insert(node_index, needs.times(f64::from(tasks)));
            }
            return Some(s);
        }
    }
    None
}

/// Which of `places` take `n` tasks of a job together, if they do.
fn spread(
    snapshot: &ClusterSnapshot,
    w: &QueuedJob,
    places: &BTreeMap<usize, u32>,
    n: u32,
) -> Option<Vec<(usize, u32)>> {
    let take = |zone: Option<&str>| {
        let mut left = n;
        let mut by_zone = w.zones.clone();
        let mut chosen = Vec::new();
        for (&node_index, &fit) in places {
            let here = snapshot.zone_of(node_index);
            if zone.is_some_and(|z| z != here) || (zone.is_none() && !w.zone_allows(here)) {
                continue;
            }
            let mut most = fit.min(left);
            if w.bound_to_zones() {
                let have = by_zone.entry(here.to_string()).or_default();
                most = most.min(w.spec.zone_cap().saturating_sub(*have));
                *have += most;
            }
            if most > 0 {
                chosen.push((node_index, most));
                left -= most;
            }
            if left == 0 {
                return Some(chosen);
            }
        }
        None
    };
    if !w.spec.one_zone {
        return take(None);
    }
    let zones: BTreeSet<&str> = places.keys().map(|s| snapshot.zone_of(*s)).collect();
    let mut allowed = zones.into_iter().filter(|z| w.zone_allows(z));
    allowed.find_map(|z| take(Some(z)))
}

fn units(room: &Resources, unit: f64, largest: &Resources) -> usize {
    let smallest = |x: f64, of: f64| if of > 0.0 { x / of } else { f64::INFINITY };
    let share = smallest(room.cpus, largest.cpus).min(smallest(room.ram, largest.ram));
    if share.is_finite() {
        ((share + 1e-9) / unit).floor().max(0.0) as usize
    } else {
        0
    }
}

fn anywhere(_: &ClusterSnapshot, _: usize) -> bool {
    true
}

/// One planning step. The board's free room shows afterwards what the plan has taken; whoever
/// carries it out puts the machines again.
pub fn plan(
    snapshot: &mut ClusterSnapshot,
    queue: &mut [QueuedJob],
    teams: &mut [TeamUsage],
    now: Instant,
    tables: &mut KnapsackTables,
) -> SchedulingPlan {
    let mut plan = SchedulingPlan::default();
    // Machines without room for even the smallest task need no further look.
    let Some(smallest) = queue
        .iter()
        .map(|w| w.spec.resources)
        .reduce(|a, b| Resources {
            cpus: a.cpus.min(b.cpus),
            gpus: a.gpus.min(b.gpus),
            ram: a.ram.min(b.ram),
        })
    else {
        return plan;
    };
    let open: Vec<usize> = snapshot.open().collect();
    let nodes: Vec<usize> = open
        .into_iter()
        .filter(|&s| smallest.fits(&snapshot.node(s).free))
        .collect();
    let mut head: Option<usize> = None;
    // Heads start one after the other as long as first-fit places them.
    'queue: for (job, w) in queue.iter_mut().enumerate() {
        if w.all_or_nothing {
            // A team at its limit waits for itself, not for room: it is no head.
            if !teams[w.team].takes(&w.spec.resources, w.per_entry()) {
                continue;
            }
            match place_whole(snapshot, &nodes, job, w, teams, now, &anywhere) {
                Some(starts) => plan.starts.extend(starts),
                None => {
                    head = Some(job);
                    break 'queue;
                }
            }
            continue;
        }
        let mut finder = None;
        for row in w.rows(now) {
            if !teams[w.team].takes(&w.spec.resources, 1) {
                break;
            }
            let finder = finder.get_or_insert_with(|| NodeFinder::new(snapshot, &nodes, w));
            match finder.place(snapshot, w, teams, &anywhere) {
                Some((node_index, _)) => plan.starts.push(Assignment {
                    job,
                    row,
                    node_index,
                }),
                None => {
                    head = Some(job);
                    break 'queue;
                }
            }
        }
    }
    let Some(head) = head else {
        return plan;
    };
    let reservation = shadow(snapshot, &nodes, &queue[head], now);
    plan.head = Some((head, reservation.as_ref().map(|s| s.after)));
    backfill(
        snapshot,
        &nodes,
        queue,
        head,
        teams,
        now,
        reservation.as_ref(),
        &mut plan,
        tables,
    );
    let placed = plan.starts.iter().filter(|s| s.job == head).count();
    let waiting = queue[head].rows(now).count().saturating_sub(placed);
    preempt(
        snapshot,
        &mut queue[head],
        waiting,
        teams,
        now,
        reservation.as_ref(),
        &mut plan,
    );
    plan
}

/// Steps 2 to 5 for the entries behind the head.
#[allow(clippy::too_many_arguments)]
fn backfill(
    snapshot: &mut ClusterSnapshot,
    nodes: &[usize],
    queue: &mut [QueuedJob],
    head: usize,
    teams: &mut [TeamUsage],
    now: Instant,
    reservation: Option<&Reservation>,
    plan: &mut SchedulingPlan,
    tables: &mut KnapsackTables,
) {
    let nodes: Vec<usize> = nodes
        .iter()
        .copied()
        .filter(|&s| snapshot.node(s).free.cpus > 0.0)
        .collect();
    // The first entries behind the head that fit, within their teams' limits. The head's other
    // tasks are as large as the one that did not fit.
    let mut entries: Vec<(usize, Option<u32>, bool)> = Vec::new();
    let mut use_with = teams.to_vec();
    'jobs: for (job, w) in queue.iter().enumerate().skip(head + 1) {
        let needs = &w.spec.resources;
        let fits = |&s: &usize| {
            let h = snapshot.node(s);
            needs.fits(&h.free) && w.takes(&snapshot.classes[h.class])
        };
        if !nodes.iter().any(fits) {
            continue;
        }
        let outlasts = match reservation {
            Some(s) => w.spec.estimate.is_zero() || w.estimate > s.after,
            None => false,
        };
        for row in w.rows(now) {
            if !use_with[w.team].takes(needs, w.per_entry()) {
                break;
            }
            if entries.len() >= LOOKAHEAD {
                break 'jobs;
            }
            use_with[w.team].add(needs, f64::from(w.per_entry()));
            entries.push((job, (!w.all_or_nothing).then_some(row), outlasts));
            if w.all_or_nothing {
                break;
            }
        }
    }
    if entries.is_empty() {
        return;
    }
    let largest = snapshot.largest();
    // An eighth of the largest machine at most; finer where these tasks are small, since with a
    // coarse unit small machines and rounded-up tasks would count as no room at all.
    let size = |w: &QueuedJob, unit: f64| {
        let share = w.spec.resources.share_of(&largest) * f64::from(w.per_entry());
        ((share - 1e-9) / unit).ceil().max(1.0) as usize
    };
    let shares = entries
        .iter()
        .map(|e| queue[e.0].spec.resources.share_of(&largest));
    let mut unit = shares
        .filter(|s| *s > 0.0)
        .fold(0.125, |u: f64, s| u.min(s / 4.0));
    let total = |unit: f64| -> usize {
        let room = |&s: &usize| units(&snapshot.node(s).free, unit, &largest);
        nodes.iter().map(room).sum()
    };
    let wanted = |unit: f64| -> usize { entries.iter().map(|e| size(&queue[e.0], unit)).sum() };
    // No set uses more room than all entries together, so the tables need no more units.
    let side = total(unit).min(wanted(unit));
    if side > MAX_KNAPSACK_UNITS {
        unit *= side as f64 / MAX_KNAPSACK_UNITS as f64;
    }
    let n = total(unit);
    if n == 0 {
        return;
    }
    let extra = reservation.map_or(0, |s| {
        let gained: usize = s
            .freed
            .keys()
            .map(|&node_index| {
                let now = snapshot.node(node_index).free;
                let mut then = now;
                then.add(&s.freed[&node_index]);
                units(&then, unit, &largest).saturating_sub(units(&now, unit, &largest))
            })
            .sum();
        (n + gained).saturating_sub(size(&queue[head], unit))
    });
    let items: Vec<KnapsackItem> = entries
        .iter()
        .map(|(job, _, outlasts)| {
            let size = size(&queue[*job], unit);
            KnapsackItem {
                size,
                shadow_size: if *outlasts { size } else { 0 },
                priority_weight: queue[*job].priority_weight,
            }
        })
        .collect();
    // What is given to work that ends by the shadow time is there again for the head.
    let mut back: BTreeMap<usize, Resources> = BTreeMap::new();
    for chosen in select_items(&items, n, extra, tables) {
        let (job, row, outlasts) = entries[chosen];
        let w = &mut queue[job];
        let needs = w.spec.resources;
        // The sums do not say which machine the head waits for; its place there is kept.
        let allowed = |snapshot: &ClusterSnapshot, node_index: usize| match reservation {
            Some(s) if outlasts => {
                let mut left = s.left(snapshot, node_index);
                if let Some(b) = back.get(&node_index) {
                    left.add(b);
                }
                needs.fits(&left)
            }
            _ => true,
        };
        let starts = match row {
            Some(row) => {
                let found =
                    NodeFinder::new(snapshot, &nodes, w).place(snapshot, w, teams, &allowed);
                found.map(|(node_index, _)| {
                    vec![Assignment {
                        job,
                        row,
                        node_index,
                    }]
                })
            }
            None => place_whole(snapshot, &nodes, job, w, teams, now, &allowed),
        };
        for s in starts.into_iter().flatten() {
            if !outlasts {
                back.entry(s.node_index).or_default().add(&needs);
            }
            plan.starts.push(s);
        }
    }
}

/// Room that comes by itself this soon is waited for.
const SOON: Duration = Duration::from_secs(4);
/// Entries of the head's job that may be helped in one step.
const MAX_PREEMPTED_TASKS: usize = 16;

/// What could be stopped on one machine, the youngest first.
struct PreemptionCandidates {
    free: Resources,
    tasks: Vec<(Duration, usize)>,
}

/// Stops work so that the head's job can start: of lower rank, or borrowed beyond a guarantee
/// where the head is within its own. Per task the host with the least work at stake is chosen.
fn preempt(
    snapshot: &ClusterSnapshot,
    w: &mut QueuedJob,
    waiting: usize,
    teams: &mut [TeamUsage],
    now: Instant,
    reservation: Option<&Reservation>,
    plan: &mut SchedulingPlan,
) {
    if !w.may_preempt || reservation.is_some_and(|s| s.after <= SOON) {
        return;
    }
    let borrows = |t: &TeamUsage| t.cpus > t.cpus_own + 1e-6 || t.gpus > t.gpus_own + 1e-6;
    let owed = w.guaranteed && teams.iter().any(borrows);
    // Mostly there is nothing that could be stopped, and no machine need be looked at.
    if !owed && !snapshot.has_lower_priority(w.rank) {
        return;
    }
    let borrowed = if owed {
        borrowed(snapshot, teams, now)
    } else {
        BTreeSet::new()
    };
    let mut at: BTreeMap<usize, PreemptionCandidates> = BTreeMap::new();
    for (node_index, h) in snapshot.nodes() {
        if h.usage != NodeUsage::Open || !w.takes(&snapshot.classes[h.class]) {
            continue;
        }
        if w.avoid.contains(&node_index) {
            continue;
        }
        let mut v = PreemptionCandidates {
            free: h.free,
            tasks: Vec::new(),
        };
        for (n, t) in h.tasks.iter().enumerate() {
            if t.stopping {
                // Room that earlier stops are about to free is spoken for by the head first.
                v.free.add(&t.needs);
            } else if t.key.job != w.spec.id
                && (t.rank > w.rank || borrowed.contains(&(node_index, n)))
            {
                v.tasks.push((t.lost_work(now), n));
            }
        }
        v.tasks.sort();
        if w.spec.resources.fits(&v.free) || !v.tasks.is_empty() {
            at.insert(node_index, v);
        }
    }
    // What must be stopped on a machine to fit one more task, and the work it throws away.
    let needs = w.spec.resources;
    let price = |v: &PreemptionCandidates, h: &crate::planning::cluster_snapshot::Node| {
        let (mut room, mut loss, mut n) = (v.free, Duration::ZERO, 0);
        for (stake, task) in &v.tasks {
            if needs.fits(&room) {
                break;
            }
            room.add(&h.tasks[*task].needs);
            loss += *stake;
            n += 1;
        }
        needs.fits(&room).then_some((loss, n))
    };
    let mut offers: BTreeSet<(Duration, usize, usize)> = at
        .iter()
        .filter_map(|(&node_index, v)| {
            price(v, snapshot.node(node_index)).map(|(loss, n)| (loss, node_index, n))
        })
        .collect();
    let per = w.per_entry() as usize;
    let mut wanted = waiting.min(MAX_PREEMPTED_TASKS.max(per));
    while wanted > 0
        && teams[w.team].takes(&needs, 1)
        && let Some((loss, node_index, n)) = offers.pop_first()
    {
        if !w.zone_allows(snapshot.zone_of(node_index)) {
            continue;
        }
        // Work is not thrown away to gain less time than was spent on it.
        if reservation.is_some_and(|s| s.after < loss * 3 + SOON) {
            break;
        }
        let (h, Some(v)) = (snapshot.node(node_index), at.get_mut(&node_index)) else {
            break;
        };
        for (_, task) in v.tasks.drain(..n) {
            v.free.add(&h.tasks[task].needs);
            plan.stops.push((node_index, h.tasks[task].key.clone()));
        }
        v.free.sub(&needs);
        teams[w.team].add(&needs, 1.0);
        if w.bound_to_zones() {
            let zone = snapshot.zone_of(node_index).to_string();
            *w.zones.entry(zone).or_default() += 1;
        }
        if let Some((loss, n)) = price(v, h) {
            offers.insert((loss, node_index, n));
        }
        wanted -= 1;
    }
}

/// What teams run beyond their guarantees: their youngest tasks.
fn borrowed(
    snapshot: &ClusterSnapshot,
    teams: &[TeamUsage],
    now: Instant,
) -> BTreeSet<(usize, usize)> {
    let mut tasks: Vec<(Duration, usize, usize, usize)> = Vec::new();
    for (node_index, h) in snapshot.nodes().filter(|(_, h)| h.usage == NodeUsage::Open) {
        for (n, t) in h.tasks.iter().enumerate() {
            if let Some(team) = t.team {
                tasks.push((t.lost_work(now), node_index, n, team));
            }
        }
    }
    tasks.sort_by_key(|t| std::cmp::Reverse(t.0));
    let mut sums = vec![Resources::default(); teams.len()];
    let mut out = BTreeSet::new();
    for (_, node_index, n, team) in tasks {
        sums[team].add(&snapshot.node(node_index).tasks[n].needs);
        let over = sums[team].cpus > teams[team].cpus_own + 1e-6
            || sums[team].gpus > teams[team].gpus_own + 1e-6;
        if over {
            out.insert((node_index, n));
        }
    }
    out
}

#[cfg(test)]
mod tests;
