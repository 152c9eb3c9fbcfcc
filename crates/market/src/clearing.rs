//! Clearing: which machines to rent, so that what waiting work saves outweighs what they cost.
//!
//! A machine that is rented serves bids over a *stay*: from when it is up for some time. Each
//! stay of each market is a column of a linear program; bids share its room in three parts, the
//! first of which starts work soonest. The program weighs all bids against all markets at once;
//! its answer is rounded down to whole machines, and what is left over is cleared greedily, one
//! best machine after the other. Where there is more than the program may take in, the greedy
//! way clears all of it: its answer is as sound, and a little dearer.

use crate::delay_cost::DelayCost;
use crate::zone_balance::ZoneBalance;
use crate::{Offer, delay_cost};
use microlp::{ComparisonOp, OptimizationDirection, Problem, SolveOptions, Variable};
use siphasher::sip::SipHasher13;
use std::borrow::Cow;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};
use std::hash::Hasher;
use std::time::Duration;

/// How a lot's machines would carry a bid's tasks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineFit {
    /// Tasks at a time on one machine; at least 1.
    pub tasks_per_machine: u32,
    /// Time until the image is there, on a machine that has none.
    pub fetch: Duration,
}

/// Like tasks that wait, or are expected, and what they pay to start sooner.
#[derive(Clone, Debug)]
pub struct Bid {
    pub tasks: f64,
    pub run: Duration,
    /// When they come, from now on; zero for those that wait.
    pub arrives: Duration,
    /// When they would start without another machine, from now on.
    pub after: Duration,
    /// What a start costs that much after they came.
    pub delay_cost: DelayCost,
    /// What a task costs where it is cheapest.
    pub nominal_cost: f64,
    /// For each lot: how it carries these; `None` where they may or can not go.
    pub machine_fits: Vec<Option<MachineFit>>,
}

/// A market as it is offered now.
#[derive(Clone, Debug)]
pub struct OfferBatch {
    pub offer: Offer,
    /// Per hour.
    pub price: f64,
    /// When a machine rented now takes work, from now on.
    pub ready: Duration,
    /// A machine is paid for at least this long.
    pub minimum_billed: Duration,
    /// How many it is likely to give.
    pub available: u32,
    /// Chance of losing a machine, for each second.
    pub loss_rate: f64,
    /// What one of its machines adds to its zone, in the measure of the spread.
    pub size: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Nothing was worth its money.
    Nothing,
    LinearProgram,
    /// More than the program may take in, or it found no answer.
    Greedy,
}

/// Machines worth renting.
#[derive(Clone, Debug, PartialEq)]
pub struct Award {
    pub batch: usize,
    pub count: u32,
}

#[derive(Clone, Debug)]
pub struct ClearingResult {
    /// In the order of the lots.
    pub awards: Vec<Award>,
    pub method: Method,
    /// What the awards save and cost by the model, in money.
    pub saved: f64,
    pub cost: f64,
    /// Tasks for which no market was worth its money.
    pub unserved: f64,
    /// Columns that the program had; for judging what it costs.
    pub columns: usize,
}

/// Bids beyond this are joined with their likes.
const MAX_BIDS: usize = 24;
/// The program takes in this many variables at most; beyond that the greedy way clears.
const MAX_VARIABLES: usize = 400;
/// As many as this are as good as any number.
const MAX_MACHINES: u32 = 1_000_000;
/// A rented machine stays at least this long after it is up, whatever it is paid for.
const MIN_STAY_S: f64 = 20.0;
/// Stays: the paid minute, and this much longer.
const STAY_EXTENSIONS_S: [f64; 3] = [0.0, 60.0, 180.0];
/// Parts of a stay, and where each ends: the first is short, as what comes first starts at once.
const STAY_PARTS: usize = 3;
const PART_ENDS: [f64; STAY_PARTS] = [1.0 / 6.0, 0.5, 1.0];
/// Work that is served on a new machine need not be paid for elsewhere: this part of its
/// cheapest cost is set against the machine's.
const NOMINAL_CREDIT: f64 = 1.0;
/// No fewer gains than this are worth a variable.
const EPSILON: f64 = 1e-9;

/// One stay of one lot.
struct Column {
    batch: usize,
    stay: f64,
    cost: f64,
}

/// What one task of a bid saves in each part of a column, and what it takes.
#[derive(Clone, Copy)]
struct Cell {
    value: [f64; STAY_PARTS],
    /// Begun in the first index's part: seconds of a whole machine until the second one's end.
    takes: [[f64; STAY_PARTS]; STAY_PARTS],
}

/// When a part of a stay begins, in seconds.
fn begin(stay: f64, part: usize) -> f64 {
    match part {
        0 => 0.0,
        _ => stay * PART_ENDS[part - 1],
    }
}

/// What one machine of a column would serve at best: tasks of each bid.
struct MachineFill {
    /// What that saves for each unit of its cost.
    rate: f64,
    saved: f64,
    served: Vec<(usize, f64)>,
}

/// A column as the program knows it, by the numbers of its variables.
struct ColumnVariables {
    column: usize,
    machines: usize,
    /// Bids, what a task of theirs saves, and how many of them are served.
    served: Vec<(usize, f64, usize)>,
}

/// A linear program: the greatest sum of `gains` times variables, each between 0 and its `most`,
/// so that each row's sum is no more than its bound.
#[derive(Clone, Debug, Default)]
pub struct LinearProgram {
    pub gains: Vec<f64>,
    pub most: Vec<f64>,
    pub rows: Vec<(Vec<(usize, f64)>, f64)>,
}

impl LinearProgram {
    fn variable(&mut self, gain: f64, most: f64) -> usize {
        self.gains.push(gain);
        self.most.push(most);
        self.gains.len() - 1
    }

    /// The variables' values, by the simplex method; `None` if it finds none.
    pub fn solve(&self) -> Option<Vec<f64>> {
        let mut p = Problem::new(OptimizationDirection::Maximize);
        let bounds = self.gains.iter().zip(&self.most);
        let vars: Vec<Variable> = bounds.map(|(g, m)| p.add_var(*g, (0.0, *m))).collect();
        for (row, bound) in &self.rows {
            let row: Vec<(Variable, f64)> = row.iter().map(|(x, c)| (vars[*x], *c)).collect();
            p.add_constraint(&row, ComparisonOp::Le, *bound);
        }
        let outcome = p.solve_with(SolveOptions::default()).ok()?;
        let solution = outcome.into_solution().ok()?;
        Some(vars.iter().map(|x| solution.var_value(*x)).collect())
    }
}

/// A place between 0 and 1 that is the same in every process: what settles exact ties, so that
/// a new leader clears as the old one would have.
pub fn stable_fraction(text: &str) -> f64 {
    let mut h = SipHasher13::new_with_keys(0x6275_726c, 0x7573_6865);
    h.write(text.as_bytes());
    (h.finish() >> 11) as f64 / (1u64 << 53) as f64
}

/// The place of a market among others that are its equals.
fn place(offer: &Offer) -> f64 {
    stable_fraction(&format!("{}/{}/{}", offer.0, offer.1, offer.2))
}

fn effective_price(batch: &OfferBatch, spread: &ZoneBalance) -> f64 {
    // A millionth: enough to make each answer the only best one.
    batch.price * spread.price_factor(&batch.offer.1) * (1.0 + 1e-6 * place(&batch.offer))
}

fn columns(batches: &[OfferBatch], spread: &ZoneBalance) -> Vec<Column> {
    let mut out = Vec::new();
    for (i, batch) in batches.iter().enumerate() {
        if batch.available == 0 || batch.price < 0.0 || !batch.price.is_finite() {
            continue;
        }
        let price = effective_price(batch, spread);
        let ready = batch.ready.as_secs_f64();
        let paid = batch.minimum_billed.as_secs_f64();
        for more in STAY_EXTENSIONS_S {
            let stay = (paid - ready).max(MIN_STAY_S) + more;
            out.push(Column {
                batch: i,
                stay,
                cost: price * (ready + stay).max(paid),
            });
        }
    }
    out
}

fn cell(bid: &Bid, batch: &OfferBatch, column: &Column) -> Option<Cell> {
    let machine_fit = bid.machine_fits.get(column.batch).copied().flatten()?;
    let (run, fetch) = (bid.run.as_secs_f64(), machine_fit.fetch.as_secs_f64());
    // The first tasks of a machine fetch, those that follow mostly need not.
    let time = (run + fetch * 0.5).max(0.1);
    let tasks_per_machine = f64::from(machine_fit.tasks_per_machine.max(1));
    let ready = batch.ready.as_secs_f64();
    let arrives = bid.arrives.as_secs_f64();
    let later = bid.after.saturating_sub(bid.arrives);
    let survives = (1.0 - batch.loss_rate * time).max(0.0);
    let mut value = [0.0; STAY_PARTS];
    let mut takes = [[0.0; STAY_PARTS]; STAY_PARTS];
    for part in 0..STAY_PARTS {
        let from = begin(column.stay, part);
        for (end, takes) in takes[part].iter_mut().enumerate().skip(part) {
            *takes = time.min(column.stay * PART_ENDS[end] - from) / tasks_per_machine;
        }
        // What is longer than the stay can only begin at once.
        if part > 0 && time > column.stay - from {
            continue;
        }
        let length = column.stay * PART_ENDS[part] - from;
        let within = (length - time).max(0.0) / 2.0;
        let begins = (ready + from + within).max(arrives);
        let sooner = begins + fetch - arrives;
        if sooner >= later.as_secs_f64() {
            continue;
        }
        let gain = bid.delay_cost.gain(later, Duration::from_secs_f64(sooner));
        // Work done twice is not saved: what a lost machine had begun is repeated. What runs
        // longer than the stay keeps its place, and pays for that.
        let longer = (time - column.stay).max(0.0) / tasks_per_machine * batch.price;
        let credit = if gain > 0.0 {
            NOMINAL_CREDIT * bid.nominal_cost
        } else {
            0.0
        };
        value[part] = (gain * survives + credit - longer).max(0.0);
    }
    let any = value.iter().any(|v| *v > EPSILON);
    any.then_some(Cell { value, takes })
}

/// Bids that are alike, joined, so that a queue of thousands clears as fast as one of dozens.
fn join(bids: &[Bid]) -> Vec<Bid> {
    let bucket = |x: f64, per: f64| ((x + 1.0).ln() * per).round() as i64;
    let mut joined: BTreeMap<(Vec<u32>, [i64; 4]), (Bid, f64)> = BTreeMap::new();
    for bid in bids.iter().filter(|b| b.tasks > 0.0) {
        let tasks_per_machine = bid
            .machine_fits
            .iter()
            .map(|c| c.map_or(0, |c| c.tasks_per_machine));
        let waits = bid.after.saturating_sub(bid.arrives);
        let ratio = bid.delay_cost.loss(waits) / bid.nominal_cost.max(EPSILON);
        let key = (
            tasks_per_machine.collect(),
            [
                bucket(bid.run.as_secs_f64(), 2.0),
                bucket(waits.as_secs_f64(), 2.0),
                bucket(bid.arrives.as_secs_f64(), 1.0),
                bucket(ratio, 1.0),
            ],
        );
        match joined.get_mut(&key) {
            Some((kept, largest)) => {
                // The largest of them stands for all.
                let tasks = kept.tasks + bid.tasks;
                if bid.tasks > *largest {
                    (*kept, *largest) = (bid.clone(), bid.tasks);
                }
                kept.tasks = tasks;
            }
            None => {
                joined.insert(key, (bid.clone(), bid.tasks));
            }
        }
    }
    joined.into_values().map(|(bid, _)| bid).collect()
}

/// Clears all bids against all lots. `spread` tells what each zone holds already.
pub fn clear(bids: &[Bid], batches: &[OfferBatch], spread: &ZoneBalance) -> ClearingResult {
    clear_by(bids, batches, spread, true)
}

/// The same without the linear program, for comparison.
pub fn clear_greedy(bids: &[Bid], batches: &[OfferBatch], spread: &ZoneBalance) -> ClearingResult {
    clear_by(bids, batches, spread, false)
}

/// The program that clearing would solve, for measuring other ways to solve it.
pub fn build_program(bids: &[Bid], batches: &[OfferBatch], spread: &ZoneBalance) -> LinearProgram {
    let bids = few(bids);
    let columns = columns(batches, spread);
    let cells = cells(&bids, batches, &columns);
    Clearing::new(&bids, batches, &columns, &cells)
        .build_program()
        .0
}

fn few(bids: &[Bid]) -> Cow<'_, [Bid]> {
    if bids.len() > MAX_BIDS {
        Cow::Owned(join(bids))
    } else {
        Cow::Borrowed(bids)
    }
}

fn cells(bids: &[Bid], batches: &[OfferBatch], columns: &[Column]) -> Vec<Vec<Option<Cell>>> {
    let row = |c: &Column| bids.iter().map(|b| cell(b, &batches[c.batch], c)).collect();
    columns.iter().map(row).collect()
}

fn clear_by(
    bids: &[Bid],
    batches: &[OfferBatch],
    spread: &ZoneBalance,
    program: bool,
) -> ClearingResult {
    let bids = few(bids);
    let columns = columns(batches, spread);
    let cells = cells(&bids, batches, &columns);
    let mut market = Clearing::new(&bids, batches, &columns, &cells);
    let mut method = Method::Greedy;
    let variables: usize = cells.iter().flatten().flatten().count() * STAY_PARTS + columns.len();
    if program && variables <= MAX_VARIABLES && market.solve() {
        method = Method::LinearProgram;
    }
    market.greedy();
    if market.counts.iter().all(|n| *n == 0) {
        method = Method::Nothing;
    }
    even(&mut market.counts, batches, spread);
    let awards = market.counts.iter().enumerate();
    ClearingResult {
        awards: awards
            .filter(|(_, n)| **n > 0)
            .map(|(batch, n)| Award { batch, count: *n })
            .collect(),
        method,
        saved: market.saved,
        cost: market.cost,
        unserved: market.left.iter().sum(),
        columns: columns.len(),
    }
}

struct Clearing<'a> {
    /// Tasks of each bid that are not served yet.
    left: Vec<f64>,
    /// Machines that each lot may still give.
    available: Vec<u32>,
    counts: Vec<u32>,
    saved: f64,
    cost: f64,
    columns: &'a [Column],
    cells: &'a [Vec<Option<Cell>>],
}

impl<'a> Clearing<'a> {
    fn new(
        bids: &[Bid],
        batches: &[OfferBatch],
        columns: &'a [Column],
        cells: &'a [Vec<Option<Cell>>],
    ) -> Clearing<'a> {
        Clearing {
            left: bids.iter().map(|b| b.tasks.max(0.0)).collect(),
            available: batches.iter().map(|l| l.available).collect(),
            counts: vec![0; batches.len()],
            saved: 0.0,
            cost: 0.0,
            columns,
            cells,
        }
    }

    /// The linear program of what is left.
    fn build_program(&self) -> (LinearProgram, Vec<ColumnVariables>) {
        let mut p = LinearProgram::default();
        let mut per_bid: Vec<Vec<(usize, f64)>> = vec![Vec::new(); self.left.len()];
        let mut per_lot: BTreeMap<usize, Vec<(usize, f64)>> = BTreeMap::new();
        let mut posed: Vec<ColumnVariables> = Vec::new();
        for (c, column) in self.columns.iter().enumerate() {
            if self.cells[c].iter().all(Option::is_none) {
                continue;
            }
            let most = f64::from(self.available[column.batch].min(MAX_MACHINES));
            let machines = p.variable(-column.cost, most);
            let mut room: [Vec<(usize, f64)>; STAY_PARTS] = Default::default();
            let mut served = Vec::new();
            for (b, cell) in self.cells[c].iter().enumerate() {
                let Some(cell) = cell else { continue };
                for (part, value) in cell.value.iter().enumerate() {
                    if *value <= EPSILON {
                        continue;
                    }
                    let x = p.variable(*value, self.left[b]);
                    per_bid[b].push((x, 1.0));
                    for (row, takes) in room.iter_mut().zip(cell.takes[part]).skip(part) {
                        row.push((x, takes));
                    }
                    served.push((b, *value, x));
                }
            }
            // Room in seconds of a machine, until the end of each part.
            for (mut row, end) in room.into_iter().zip(PART_ENDS) {
                row.push((machines, -column.stay * end));
                p.rows.push((row, 0.0));
            }
            per_lot
                .entry(column.batch)
                .or_default()
                .push((machines, 1.0));
            posed.push(ColumnVariables {
                column: c,
                machines,
                served,
            });
        }
        for (b, row) in per_bid.into_iter().enumerate() {
            if !row.is_empty() {
                p.rows.push((row, self.left[b]));
            }
        }
        for (batch, row) in per_lot {
            let most = f64::from(self.available[batch].min(MAX_MACHINES));
            p.rows.push((row, most));
        }
        (p, posed)
    }

    /// The program's answer rounded down to whole machines; false if there is none.
    fn solve(&mut self) -> bool {
        let (program, posed) = self.build_program();
        if posed.is_empty() {
            return true;
        }
        let Some(values) = program.solve() else {
            return false;
        };
        for ColumnVariables {
            column: c,
            machines,
            served,
        } in posed
        {
            let wanted = values[machines];
            // What is a rounding error below a whole machine is a whole one.
            let whole = (wanted + 1e-6).floor();
            if whole < 1.0 {
                continue;
            }
            let kept = (whole / wanted).min(1.0);
            let batch = self.columns[c].batch;
            let count = (whole as u32).min(self.available[batch]);
            self.available[batch] -= count;
            self.counts[batch] += count;
            self.cost += self.columns[c].cost * f64::from(count);
            for (b, value, x) in served {
                let tasks = (values[x] * kept).clamp(0.0, self.left[b]);
                self.left[b] -= tasks;
                self.saved += value * tasks;
            }
        }
        true
    }

    /// What one machine of a column would serve at best.
    fn fill(&self, c: usize) -> MachineFill {
        let column = &self.columns[c];
        let cells = &self.cells[c];
        let mut order: Vec<(f64, usize, usize)> = Vec::new();
        for (b, cell) in cells.iter().enumerate() {
            let Some(cell) = cell.filter(|_| self.left[b] > EPSILON) else {
                continue;
            };
            for (part, value) in cell.value.iter().enumerate() {
                if *value > EPSILON {
                    order.push((value / cell.takes[part][STAY_PARTS - 1], b, part));
                }
            }
        }
        order.sort_by(|a, b| b.0.total_cmp(&a.0).then((a.1, a.2).cmp(&(b.1, b.2))));
        let mut room = PART_ENDS.map(|end| column.stay * end);
        let mut saved = 0.0;
        let mut served: BTreeMap<usize, f64> = BTreeMap::new();
        for (_, b, part) in order {
            let Some(cell) = cells[b] else { continue };
            let had = served.get(&b).copied().unwrap_or(0.0);
            let fits = room.iter().zip(cell.takes[part]).skip(part);
            let fits = fits.map(|(room, takes)| room / takes.max(EPSILON));
            let n = fits.fold(self.left[b] - had, f64::min);
            if n <= EPSILON {
                continue;
            }
            for (room, takes) in room.iter_mut().zip(cell.takes[part]).skip(part) {
                *room -= n * takes;
            }
            saved += n * cell.value[part];
            *served.entry(b).or_default() += n;
        }
        MachineFill {
            rate: saved / column.cost.max(EPSILON),
            saved,
            served: served.into_iter().collect(),
        }
    }

    /// Rents the machine that saves most for each unit of its cost, as many of it as find the same
    /// to do, until none is worth its money. What a column saves only falls as tasks are served,
    /// so a column is looked at again only when its last answer is the best of all.
    fn greedy(&mut self) {
        let mut order: BinaryHeap<RankedColumn> = BinaryHeap::new();
        for column in 0..self.columns.len() {
            let rate = f64::INFINITY;
            order.push(RankedColumn { rate, column });
        }
        while let Some(RankedColumn { column: c, .. }) = order.pop() {
            let column = &self.columns[c];
            let batch = column.batch;
            if self.available[batch] == 0 {
                continue;
            }
            let fill = self.fill(c);
            if fill.saved <= column.cost {
                continue;
            }
            let rated = RankedColumn {
                rate: fill.rate,
                column: c,
            };
            if order.peek().is_some_and(|next| *next > rated) {
                order.push(rated);
                continue;
            }
            let served = fill.served.iter();
            let alike = served.map(|(b, n)| (self.left[*b] / n).floor());
            let alike = alike.fold(f64::INFINITY, f64::min).clamp(1.0, 1e6);
            let count = (alike as u32).min(self.available[batch]);
            self.available[batch] -= count;
            self.counts[batch] += count;
            self.cost += column.cost * f64::from(count);
            self.saved += fill.saved * f64::from(count);
            for (b, n) in fill.served {
                self.left[b] = (self.left[b] - n * f64::from(count)).max(0.0);
            }
            order.push(rated);
        }
    }
}

/// A column and what it saves for each unit of its cost, at most.
#[derive(PartialEq)]
struct RankedColumn {
    rate: f64,
    column: usize,
}

impl Eq for RankedColumn {}

impl Ord for RankedColumn {
    fn cmp(&self, other: &RankedColumn) -> Ordering {
        // Among equals the first column.
        (self.rate.total_cmp(&other.rate)).then(other.column.cmp(&self.column))
    }
}

impl PartialOrd for RankedColumn {
    fn partial_cmp(&self, other: &RankedColumn) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// Machines of one kind at the same price are the same to the bids: they go where the zone holds
/// least, one by one, as far as each market is likely to give them.
fn even(counts: &mut [u32], batches: &[OfferBatch], spread: &ZoneBalance) {
    const SAME: f64 = 0.01;
    let mut done = vec![false; batches.len()];
    let mut spread = spread.clone();
    for i in 0..batches.len() {
        if done[i] {
            continue;
        }
        let alike: Vec<usize> = (i..batches.len())
            .filter(|&j| {
                let (a, b) = (&batches[i], &batches[j]);
                a.offer.0 == b.offer.0
                    && a.offer.2 == b.offer.2
                    && b.available > 0
                    && (a.price - b.price).abs() <= SAME * a.price.max(b.price)
            })
            .collect();
        let mut all: u32 = alike.iter().map(|&j| counts[j]).sum();
        alike.iter().for_each(|&j| done[j] = true);
        if alike.len() < 2 || all == 0 {
            for &j in &alike {
                spread.add(&batches[j].offer.1, batches[j].size * f64::from(counts[j]));
            }
            continue;
        }
        alike.iter().for_each(|&j| counts[j] = 0);
        while all > 0 {
            let open = alike.iter().filter(|&&j| counts[j] < batches[j].available);
            let next = open.min_by(|&&a, &&b| {
                let part = |j: usize| spread.share(&batches[j].offer.1);
                let tie = |j: usize| place(&batches[j].offer);
                // By their place, not by the order in which they were listed.
                (part(a).total_cmp(&part(b))).then(tie(a).total_cmp(&tie(b)))
            });
            let Some(&j) = next else { break };
            // A few at a time, as there may be hundreds.
            let some = (all / 16).clamp(1, batches[j].available - counts[j]);
            counts[j] += some;
            all -= some;
            spread.add(
                &batches[j].offer.1,
                batches[j].size.max(EPSILON) * f64::from(some),
            );
        }
    }
}

/// What missing an aim of this share costs a task, of which each costs `nominal_cost` at least, where
/// an aim's weight counts `times`.
pub fn missed_objective_cost(nominal_cost: f64, share: f64, times: f64) -> f64 {
    let times = if times.is_finite() {
        times.max(0.0)
    } else {
        0.0
    };
    nominal_cost * delay_cost::weight(share) * times
}

#[cfg(test)]
mod tests;
