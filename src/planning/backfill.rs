//! Placement: from the board and the queue to starts and stops. Pure.
//!
//! This is the thesis's LOS with its Max-Slowdown merit (sections 3.2 to 3.5): the head starts if
//! it fits, else it gets a reservation at its shadow time, and a dynamic program picks the set of
//! later entries that fills the free room best without delaying that reservation.

use crate::job::{JobSpec, Priority, Resources, TaskId};
use crate::planning::cluster_snapshot::{Board, Class, ImageTag, Offer, Use};
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
pub struct Waiting<'a> {
    pub spec: Arc<JobSpec>,
    /// What it counts as where work of lower rank may be stopped for it.
    pub rank: Priority,
    pub image: ImageTag,
    pub team: usize,
    /// Rows that wait, and those of them that may not be started before some moment.
    pub queued: &'a BTreeSet<u32>,
    pub held: &'a BTreeMap<u32, Instant>,
    /// It starts with all of its tasks or not at all.
    pub whole: bool,
    /// It is only tried: one of its rows is started.
    pub probe: bool,
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
    pub merit: f32,
    /// Machines that cost more than the job is worth.
    pub shunned: Vec<Offer>,
}

impl<'a> Waiting<'a> {
    /// Rows that may be started now.
    fn rows(&self, now: Instant) -> impl Iterator<Item = u32> + 'a {
        let (queued, held) = (self.queued, self.held);
        let most = if self.probe && !self.whole {
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
        if self.whole {
            self.queued.len() as u32
        } else {
            1
        }
    }

    /// Whether the job may, and is to, use machines of this class.
    fn takes(&self, class: &Class) -> bool {
        class.allowed(&self.spec) && !self.shunned.contains(&class.offer)
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
pub struct TeamUse {
    pub cpus: f64,
    pub gpus: f64,
    pub cpus_max: Option<f64>,
    pub gpus_max: Option<f64>,
    /// Its guarantee; what its tasks hold beyond it is borrowed.
    pub cpus_own: f64,
    pub gpus_own: f64,
}

impl TeamUse {
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
pub struct Start {
    pub job: usize,
    pub row: u32,
    /// The machine's slot on the board.
    pub host: usize,
}

#[derive(Clone, Debug, Default)]
pub struct Plan {
    pub starts: Vec<Start>,
    /// Tasks to stop, with their machines.
    pub stops: Vec<(usize, TaskId)>,
    /// The head's job, and when it may start, if it has to wait.
    pub head: Option<(usize, Option<Duration>)>,
}

/// Memory that is kept from one planning step to the next.
#[derive(Default)]
pub struct Scratch {
    now: Vec<Cell>,
    before: Vec<Cell>,
    taken: Vec<u64>,
}

#[derive(Clone, Copy, Default)]
struct Cell {
    used: u16,
    shadow: u16,
    merit: f32,
}

/// An entry as the dynamic program sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    pub size: usize,
    /// Room it still holds at the shadow time.
    pub shadow_size: usize,
    pub merit: f32,
}

/// Algorithm 7 of the thesis (Max-Slowdown): the set with the greatest total size within `n`
/// whose shadow sizes stay within `extra`; among equals, the least shadow size, then the greatest
/// merit; where all are equal, the set closer to the head ("bypassed first").
pub fn choose(items: &[Candidate], n: usize, extra: usize, scratch: &mut Scratch) -> Vec<usize> {
    let size: usize = items.iter().map(|i| i.size).sum();
    let shadow: usize = items.iter().map(|i| i.shadow_size).sum();
    if size <= n && shadow <= extra {
        return (0..items.len()).collect();
    }
    // No set uses more than all entries together, so larger tables would hold nothing new.
    let (n, extra) = (n.min(size), extra.min(shadow).min(n));
    let width = extra + 1;
    let cells = (n + 1) * width;
    scratch.before.clear();
    scratch.before.resize(cells, Cell::default());
    scratch.now.clear();
    scratch.now.resize(cells, Cell::default());
    let words = cells.div_ceil(64);
    scratch.taken.clear();
    scratch.taken.resize(words * items.len(), 0);
    for (i, item) in items.iter().enumerate() {
        let taken = &mut scratch.taken[i * words..(i + 1) * words];
        for j in 0..=n {
            for k in 0..width {
                let at = j * width + k;
                let skip = scratch.before[at];
                scratch.now[at] = skip;
                if item.size > j || item.shadow_size > k || item.size == 0 {
                    continue;
                }
                let from = scratch.before[(j - item.size) * width + (k - item.shadow_size)];
                let take = Cell {
                    used: from.used + item.size as u16,
                    shadow: from.shadow + item.shadow_size as u16,
                    merit: from.merit + item.merit,
                };
                let better = take.used > skip.used
                    || (take.used == skip.used
                        && (take.shadow < skip.shadow
                            || (take.shadow == skip.shadow && take.merit > skip.merit)));
                if better {
                    scratch.now[at] = take;
                    taken[at / 64] |= 1 << (at % 64);
                }
            }
        }
        std::mem::swap(&mut scratch.now, &mut scratch.before);
    }
    let (mut j, mut k) = (n, extra);
    let mut chosen = Vec::new();
    for i in (0..items.len()).rev() {
        let at = j * width + k;
        if scratch.taken[i * words + at / 64] >> (at % 64) & 1 == 1 {
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
const ORDINARY_COST: f64 = 15.0;
/// What it is worth to leave the largest machine empty instead of a tiny one: it is paid for until
/// its last task ends.
const SIZE_COST: f64 = 2.0;
/// For longer work, the first weighs more and the wait for an image less.
const USUAL_S: f64 = 15.0;

/// How a job looks at machines: which classes it may use, and what each of their machines costs
/// it beside what that machine itself adds.
struct Taste {
    allowed: Vec<Option<f64>>,
    fetch_s: Vec<f64>,
}

impl Taste {
    fn new(board: &Board, w: &Waiting) -> Taste {
        let largest = board.largest();
        let length = w.estimate.as_secs_f64().max(1.0) / USUAL_S;
        let cost = |c: &Class| {
            let ordinary = w.spec.spot && !c.offer.2;
            let cost = if ordinary { ORDINARY_COST } else { 0.0 };
            let size = SIZE_COST * c.room.share_of(&largest).min(1.0);
            w.takes(c).then(|| cost + size * length.clamp(0.5, 4.0))
        };
        let fetch =
            |c: &Class| w.spec.image_gb / c.fetch_gb_per_s.max(0.01) / length.clamp(1.0, 4.0);
        Taste {
            allowed: board.classes.iter().map(cost).collect(),
            fetch_s: board.classes.iter().map(fetch).collect(),
        }
    }

    /// The cost of one more task on this machine, in seconds; `None` where it may not or cannot
    /// go. Warm images first, then spot machines for work that may use them, then the fullest
    /// machine, so that others empty and can be returned.
    fn cost(&self, board: &Board, w: &Waiting, slot: usize) -> Option<f64> {
        let h = board.host(slot);
        let mut cost = self.allowed[h.class]?;
        if h.usage != Use::Open || !w.spec.resources.fits(&h.free) {
            return None;
        }
        let class = &board.classes[h.class];
        if !w.zone_allows(&class.offer.1) {
            return None;
        }
        if !h.images.contains(&w.image) {
            cost += self.fetch_s[h.class] * (1.0 + h.fetching as f64);
        }
        if w.avoid.contains(&slot) {
            cost += 1000.0;
        }
        Some(cost + h.doubt + 0.5 * h.free.share_of(&class.room).min(1.0))
    }
}

/// Machines by what they cost a job, the cheapest first; among equals the first on the board.
#[derive(PartialEq)]
struct Bid {
    cost: f64,
    slot: usize,
}

impl Eq for Bid {}

impl Ord for Bid {
    fn cmp(&self, other: &Bid) -> Ordering {
        // The heap gives the greatest first.
        (other.cost.total_cmp(&self.cost)).then(other.slot.cmp(&self.slot))
    }
}

impl PartialOrd for Bid {
    fn partial_cmp(&self, other: &Bid) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Finds machines for the tasks of one job, one after the other. Each machine is looked at once,
/// and again after it was given a task.
struct Finder {
    taste: Taste,
    heap: BinaryHeap<Bid>,
}

impl Finder {
    fn new(board: &mut Board, hosts: &[usize], w: &Waiting) -> Finder {
        let taste = Taste::new(board, w);
        board.look(hosts.len());
        let bid = |&slot: &usize| {
            let cost = taste.cost(board, w, slot)?;
            Some(Bid { cost, slot })
        };
        let heap = hosts.iter().filter_map(bid).collect();
        Finder { taste, heap }
    }

    /// Places one more task; what was taken is told to the board, the job and its team. The flag
    /// says whether the machine has to fetch the image for it.
    fn place(
        &mut self,
        board: &mut Board,
        w: &mut Waiting,
        teams: &mut [TeamUse],
        allowed: &dyn Fn(&Board, usize) -> bool,
    ) -> Option<(usize, bool)> {
        while let Some(bid) = self.heap.pop() {
            // Its zone may have become full since the machine was looked at.
            if !w.zone_allows(board.zone_of(bid.slot)) || !allowed(board, bid.slot) {
                continue;
            }
            let fetches = take(board, w, teams, bid.slot);
            if let Some(cost) = self.taste.cost(board, w, bid.slot) {
                self.heap.push(Bid { cost, ..bid });
            }
            return Some((bid.slot, fetches));
        }
        None
    }
}

fn take(board: &mut Board, w: &mut Waiting, teams: &mut [TeamUse], slot: usize) -> bool {
    board.look(1);
    let h = board.host_mut(slot);
    h.free.sub(&w.spec.resources);
    let fetches = !h.images.contains(&w.image);
    if fetches {
        h.images.push(w.image);
        h.fetching += 1;
    }
    if w.bound_to_zones() {
        let zone = board.zone_of(slot).to_string();
        *w.zones.entry(zone).or_default() += 1;
    }
    teams[w.team].add(&w.spec.resources, 1.0);
    fetches
}

/// Places all of a job's rows, or none.
fn place_whole(
    board: &mut Board,
    hosts: &[usize],
    job: usize,
    w: &mut Waiting,
    teams: &mut [TeamUse],
    now: Instant,
    allowed: &dyn Fn(&Board, usize) -> bool,
) -> Option<Vec<Start>> {
    let saved = (w.zones.clone(), teams.to_vec());
    let mut undo = Vec::new();
    let mut starts = Vec::new();
    let mut finder = Finder::new(board, hosts, w);
    for row in w.rows(now) {
        match finder.place(board, w, teams, allowed) {
            Some((host, fetches)) => {
                undo.push((host, fetches));
                starts.push(Start { job, row, host });
            }
            None => {
                for (slot, fetches) in undo.into_iter().rev() {
                    let h = board.host_mut(slot);
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
struct Shadow {
    after: Duration,
    /// Room that ends by then free up, by machine.
    freed: BTreeMap<usize, Resources>,
    reserved: BTreeMap<usize, Resources>,
}

impl Shadow {
    /// What a machine will have left at the shadow time beside the head's tasks.
    fn left(&self, board: &Board, slot: usize) -> Resources {
        let mut room = board.host(slot).free;
        if let Some(more) = self.freed.get(&slot) {
            room.add(more);
        }
        if let Some(kept) = self.reserved.get(&slot) {
            room.sub(kept);
        }
        room
    }
}

/// Walks the running tasks by remaining estimate, adding their room until first-fit places the
/// head (section 3.2.1). Fitting is asked of machines, not of sums: a sum hides fragments.
fn shadow(board: &Board, hosts: &[usize], w: &Waiting, now: Instant) -> Option<Shadow> {
    let n = w.per_entry();
    let needs = &w.spec.resources;
    let allowed: Vec<bool> = board.classes.iter().map(|c| w.takes(c)).collect();
    let usable = |slot: usize| {
        let h = board.host(slot);
        h.usage == Use::Open && allowed[h.class]
    };
    // How many of its tasks go where; only machines with room for one are of interest.
    let mut places: BTreeMap<usize, u32> = BTreeMap::new();
    if n > 1 {
        for &slot in hosts.iter().filter(|s| usable(**s)) {
            places.insert(slot, needs.count_in(&board.host(slot).free));
        }
    }
    let mut s = Shadow::default();
    for (at, slot, t) in board.ends(now) {
        if !usable(slot) {
            continue;
        }
        s.freed.entry(slot).or_default().add(&t.needs);
        let fit = needs.count_in(&s.left(board, slot));
        if fit == 0 || fit == places.insert(slot, fit).unwrap_or(0) {
            continue;
        }
        if let Some(chosen) = spread(board, w, &places, n) {
            s.after = at.saturating_duration_since(now);
            for (slot, tasks) in chosen {
                s.reserved.insert(slot, needs.times(f64::from(tasks)));
            }
            return Some(s);
        }
    }
    None
}

/// Which of `places` take `n` tasks of a job together, if they do.
fn spread(
    board: &Board,
    w: &Waiting,
    places: &BTreeMap<usize, u32>,
    n: u32,
) -> Option<Vec<(usize, u32)>> {
    let take = |zone: Option<&str>| {
        let mut left = n;
        let mut by_zone = w.zones.clone();
        let mut chosen = Vec::new();
        for (&slot, &fit) in places {
            let here = board.zone_of(slot);
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
                chosen.push((slot, most));
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
    let zones: BTreeSet<&str> = places.keys().map(|s| board.zone_of(*s)).collect();
    let mut allowed = zones.into_iter().filter(|z| w.zone_allows(z));
    allowed.find_map(|z| take(Some(z)))
}

fn units(room: &Resources, unit: f64, whole: &Resources) -> usize {
    let smallest = |x: f64, of: f64| if of > 0.0 { x / of } else { f64::INFINITY };
    let share = smallest(room.cpus, whole.cpus).min(smallest(room.ram, whole.ram));
    if share.is_finite() {
        ((share + 1e-9) / unit).floor().max(0.0) as usize
    } else {
        0
    }
}

fn anywhere(_: &Board, _: usize) -> bool {
    true
}

/// One planning step. The board's free room shows afterwards what the plan has taken; whoever
/// carries it out puts the machines again.
pub fn plan(
    board: &mut Board,
    queue: &mut [Waiting],
    teams: &mut [TeamUse],
    now: Instant,
    scratch: &mut Scratch,
) -> Plan {
    let mut plan = Plan::default();
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
    let open: Vec<usize> = board.open().collect();
    let hosts: Vec<usize> = open
        .into_iter()
        .filter(|&s| smallest.fits(&board.host(s).free))
        .collect();
    let mut head: Option<usize> = None;
    // Heads start one after the other as long as first-fit places them.
    'queue: for (job, w) in queue.iter_mut().enumerate() {
        if w.whole {
            // A team at its limit waits for itself, not for room: it is no head.
            if !teams[w.team].takes(&w.spec.resources, w.per_entry()) {
                continue;
            }
            match place_whole(board, &hosts, job, w, teams, now, &anywhere) {
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
            let finder = finder.get_or_insert_with(|| Finder::new(board, &hosts, w));
            match finder.place(board, w, teams, &anywhere) {
                Some((host, _)) => plan.starts.push(Start { job, row, host }),
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
    let reservation = shadow(board, &hosts, &queue[head], now);
    plan.head = Some((head, reservation.as_ref().map(|s| s.after)));
    backfill(
        board,
        &hosts,
        queue,
        head,
        teams,
        now,
        reservation.as_ref(),
        &mut plan,
        scratch,
    );
    let placed = plan.starts.iter().filter(|s| s.job == head).count();
    let waiting = queue[head].rows(now).count().saturating_sub(placed);
    preempt(
        board,
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
    board: &mut Board,
    hosts: &[usize],
    queue: &mut [Waiting],
    head: usize,
    teams: &mut [TeamUse],
    now: Instant,
    reservation: Option<&Shadow>,
    plan: &mut Plan,
    scratch: &mut Scratch,
) {
    let hosts: Vec<usize> = hosts
        .iter()
        .copied()
        .filter(|&s| board.host(s).free.cpus > 0.0)
        .collect();
    // The first entries behind the head that fit, within their teams' limits. The head's other
    // tasks are as large as the one that did not fit.
    let mut entries: Vec<(usize, Option<u32>, bool)> = Vec::new();
    let mut use_with = teams.to_vec();
    'jobs: for (job, w) in queue.iter().enumerate().skip(head + 1) {
        let needs = &w.spec.resources;
        let fits = |&s: &usize| {
            let h = board.host(s);
            needs.fits(&h.free) && w.takes(&board.classes[h.class])
        };
        if !hosts.iter().any(fits) {
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
            entries.push((job, (!w.whole).then_some(row), outlasts));
            if w.whole {
                break;
            }
        }
    }
    if entries.is_empty() {
        return;
    }
    let whole = board.largest();
    // An eighth of the largest machine at most; finer where these tasks are small, since with a
    // coarse unit small machines and rounded-up tasks would count as no room at all.
    let size = |w: &Waiting, unit: f64| {
        let share = w.spec.resources.share_of(&whole) * f64::from(w.per_entry());
        ((share - 1e-9) / unit).ceil().max(1.0) as usize
    };
    let shares = entries
        .iter()
        .map(|e| queue[e.0].spec.resources.share_of(&whole));
    let mut unit = shares
        .filter(|s| *s > 0.0)
        .fold(0.125, |u: f64, s| u.min(s / 4.0));
    let total = |unit: f64| -> usize {
        let room = |&s: &usize| units(&board.host(s).free, unit, &whole);
        hosts.iter().map(room).sum()
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
            .map(|&slot| {
                let now = board.host(slot).free;
                let mut then = now;
                then.add(&s.freed[&slot]);
                units(&then, unit, &whole).saturating_sub(units(&now, unit, &whole))
            })
            .sum();
        (n + gained).saturating_sub(size(&queue[head], unit))
    });
    let items: Vec<Candidate> = entries
        .iter()
        .map(|(job, _, outlasts)| {
            let size = size(&queue[*job], unit);
            Candidate {
                size,
                shadow_size: if *outlasts { size } else { 0 },
                merit: queue[*job].merit,
            }
        })
        .collect();
    // What is given to work that ends by the shadow time is there again for the head.
    let mut back: BTreeMap<usize, Resources> = BTreeMap::new();
    for chosen in choose(&items, n, extra, scratch) {
        let (job, row, outlasts) = entries[chosen];
        let w = &mut queue[job];
        let needs = w.spec.resources;
        // The sums do not say which machine the head waits for; its place there is kept.
        let allowed = |board: &Board, slot: usize| match reservation {
            Some(s) if outlasts => {
                let mut left = s.left(board, slot);
                if let Some(b) = back.get(&slot) {
                    left.add(b);
                }
                needs.fits(&left)
            }
            _ => true,
        };
        let starts = match row {
            Some(row) => {
                let found = Finder::new(board, &hosts, w).place(board, w, teams, &allowed);
                found.map(|(host, _)| vec![Start { job, row, host }])
            }
            None => place_whole(board, &hosts, job, w, teams, now, &allowed),
        };
        for s in starts.into_iter().flatten() {
            if !outlasts {
                back.entry(s.host).or_default().add(&needs);
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
struct Victims {
    free: Resources,
    tasks: Vec<(Duration, usize)>,
}

/// Stops work so that the head's job can start: of lower rank, or borrowed beyond a guarantee
/// where the head is within its own. Per task the host with the least work at stake is chosen.
fn preempt(
    board: &Board,
    w: &mut Waiting,
    waiting: usize,
    teams: &mut [TeamUse],
    now: Instant,
    reservation: Option<&Shadow>,
    plan: &mut Plan,
) {
    if !w.may_preempt || reservation.is_some_and(|s| s.after <= SOON) {
        return;
    }
    let borrows = |t: &TeamUse| t.cpus > t.cpus_own + 1e-6 || t.gpus > t.gpus_own + 1e-6;
    let owed = w.guaranteed && teams.iter().any(borrows);
    // Mostly there is nothing that could be stopped, and no machine need be looked at.
    if !owed && !board.has_below(w.rank) {
        return;
    }
    let borrowed = if owed {
        borrowed(board, teams, now)
    } else {
        BTreeSet::new()
    };
    let mut at: BTreeMap<usize, Victims> = BTreeMap::new();
    for (slot, h) in board.hosts() {
        if h.usage != Use::Open || !w.takes(&board.classes[h.class]) {
            continue;
        }
        if w.avoid.contains(&slot) {
            continue;
        }
        let mut v = Victims {
            free: h.free,
            tasks: Vec::new(),
        };
        for (n, t) in h.tasks.iter().enumerate() {
            if t.stopping {
                // Room that earlier stops are about to free is spoken for by the head first.
                v.free.add(&t.needs);
            } else if t.key.job != w.spec.id && (t.rank > w.rank || borrowed.contains(&(slot, n))) {
                v.tasks.push((t.at_stake(now), n));
            }
        }
        v.tasks.sort();
        if w.spec.resources.fits(&v.free) || !v.tasks.is_empty() {
            at.insert(slot, v);
        }
    }
    // What must be stopped on a machine to fit one more task, and the work it throws away.
    let needs = w.spec.resources;
    let price = |v: &Victims, h: &crate::planning::cluster_snapshot::Host| {
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
        .filter_map(|(&slot, v)| price(v, board.host(slot)).map(|(loss, n)| (loss, slot, n)))
        .collect();
    let per = w.per_entry() as usize;
    let mut wanted = waiting.min(MAX_PREEMPTED_TASKS.max(per));
    while wanted > 0
        && teams[w.team].takes(&needs, 1)
        && let Some((loss, slot, n)) = offers.pop_first()
    {
        if !w.zone_allows(board.zone_of(slot)) {
            continue;
        }
        // Work is not thrown away to gain less time than was spent on it.
        if reservation.is_some_and(|s| s.after < loss * 3 + SOON) {
            break;
        }
        let (h, Some(v)) = (board.host(slot), at.get_mut(&slot)) else {
            break;
        };
        for (_, task) in v.tasks.drain(..n) {
            v.free.add(&h.tasks[task].needs);
            plan.stops.push((slot, h.tasks[task].key.clone()));
        }
        v.free.sub(&needs);
        teams[w.team].add(&needs, 1.0);
        if w.bound_to_zones() {
            let zone = board.zone_of(slot).to_string();
            *w.zones.entry(zone).or_default() += 1;
        }
        if let Some((loss, n)) = price(v, h) {
            offers.insert((loss, slot, n));
        }
        wanted -= 1;
    }
}

/// What teams run beyond their guarantees: their youngest tasks.
fn borrowed(board: &Board, teams: &[TeamUse], now: Instant) -> BTreeSet<(usize, usize)> {
    let mut tasks: Vec<(Duration, usize, usize, usize)> = Vec::new();
    for (slot, h) in board.hosts().filter(|(_, h)| h.usage == Use::Open) {
        for (n, t) in h.tasks.iter().enumerate() {
            if let Some(team) = t.team {
                tasks.push((t.at_stake(now), slot, n, team));
            }
        }
    }
    tasks.sort_by_key(|t| std::cmp::Reverse(t.0));
    let mut sums = vec![Resources::default(); teams.len()];
    let mut out = BTreeSet::new();
    for (_, slot, n, team) in tasks {
        sums[team].add(&board.host(slot).tasks[n].needs);
        let over = sums[team].cpus > teams[team].cpus_own + 1e-6
            || sums[team].gpus > teams[team].gpus_own + 1e-6;
        if over {
            out.insert((slot, n));
        }
    }
    out
}

#[cfg(test)]
mod tests;
