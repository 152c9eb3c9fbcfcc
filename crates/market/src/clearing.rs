//! Clearing: which machines to add, so that what waiting work saves outweighs what they cost.
//!
//! A machine that is added serves bids over a *stay*: from when it is up, for some time. Each
//! stay of each batch is a column of a linear program; bids share its room in three parts, the
//! first of which starts work soonest. The program weighs all bids against all batches at once;
//! its answer is rounded down to whole machines, and what is left over is cleared greedily, one
//! best machine after the other. Where there is more than the program may take in, the greedy
//! way clears all of it: its answer is as sound, and a little more expensive.

mod columns;
mod greedy;
mod linear_program;
mod similar_bids;
mod zones;

pub use linear_program::LinearProgram;

use crate::Offer;
use crate::delay_cost::DelayCost;
use crate::zone_balance::ZoneBalance;
use columns::{Column, ColumnFit, LIFETIME_SEGMENTS};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;
use std::time::Duration;

/// The program takes in this many variables at most; beyond that the greedy way clears.
const MAX_VARIABLES: usize = 400;
/// No fewer gains than this are worth a variable.
const EPSILON: f64 = 1e-9;

/// How a batch's machines would carry a bid's tasks.
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
    /// How many tasks; expected ones may be a fraction.
    pub tasks: f64,
    /// Expected run time of a task.
    pub runtime: Duration,
    /// When they arrive, from now on; zero for those that wait.
    pub arrives_in: Duration,
    /// When they would start without another machine, from now on.
    pub starts_in: Duration,
    /// What a start costs that much after they have arrived.
    pub delay_cost: DelayCost,
    /// What a task costs where it is cheapest.
    pub nominal_cost: f64,
    /// For each batch: how it carries these; `None` where they may or can not go.
    pub machine_fits: Vec<Option<MachineFit>>,
}

impl Bid {
    /// The delay of the start without another machine.
    fn wait(&self) -> Duration {
        self.starts_in.saturating_sub(self.arrives_in)
    }
}

/// The machines of a market as they are offered now.
#[derive(Clone, Debug)]
pub struct OfferBatch {
    /// The market.
    pub offer: Offer,
    /// Per machine and hour.
    pub price: f64,
    /// When a machine requested now accepts work, from now on.
    pub ready_in: Duration,
    /// A machine is billed for at least this long.
    pub minimum_billed: Duration,
    /// How many the market is likely to give.
    pub available: u32,
    /// Chance of losing a machine, for each second.
    pub loss_rate: f64,
    /// What one of its machines adds to its zone, in the measure of the zone balance.
    pub machine_size: f64,
}

/// How bids were cleared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// Nothing was worth its money.
    Nothing,
    /// The linear program, and the greedy way for what it left over.
    LinearProgram,
    /// There was more than the program may take in, or it found no answer.
    Greedy,
}

impl Method {
    /// The method's name in the status view.
    pub fn name(self) -> &'static str {
        match self {
            Method::Nothing => "nothing",
            Method::LinearProgram => "program",
            Method::Greedy => "greedy",
        }
    }
}

/// Machines worth adding.
#[derive(Clone, Debug, PartialEq)]
pub struct Award {
    /// Index of the batch.
    pub batch: usize,
    /// How many of its machines.
    pub count: u32,
}

/// What clearing has made of all bids.
#[derive(Clone, Debug)]
pub struct ClearingResult {
    /// In the order of the batches.
    pub awards: Vec<Award>,
    /// How they were found.
    pub method: Method,
    /// What the awards save by the model, in money.
    pub saved: f64,
    /// What the awards cost by the model, in money.
    pub cost: f64,
    /// Tasks for which no market was worth its money.
    pub unserved: f64,
    /// Columns that the program had; for judging what it costs.
    pub columns: usize,
}

/// Clears all bids against all batches. `balance` tells what each zone holds already.
pub fn clear(bids: &[Bid], batches: &[OfferBatch], balance: &ZoneBalance) -> ClearingResult {
    clear_with(bids, batches, balance, Solver::ProgramThenGreedy)
}

/// The same without the linear program, for comparison.
pub fn clear_greedy(bids: &[Bid], batches: &[OfferBatch], balance: &ZoneBalance) -> ClearingResult {
    clear_with(bids, batches, balance, Solver::Greedy)
}

/// The program that clearing would solve, for measuring other ways to solve it.
pub fn build_program(bids: &[Bid], batches: &[OfferBatch], balance: &ZoneBalance) -> LinearProgram {
    let bids = similar_bids::limit_count(bids);
    let columns = columns::build_columns(batches, balance);
    let fits = columns::column_fits(&bids, batches, &columns);
    Clearing::new(&bids, batches, &columns, &fits)
        .build_program()
        .0
}

/// Which ways of clearing are taken.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Solver {
    ProgramThenGreedy,
    Greedy,
}

fn clear_with(
    bids: &[Bid],
    batches: &[OfferBatch],
    balance: &ZoneBalance,
    solver: Solver,
) -> ClearingResult {
    let bids = similar_bids::limit_count(bids);
    let columns = columns::build_columns(batches, balance);
    let fits = columns::column_fits(&bids, batches, &columns);
    let mut clearing = Clearing::new(&bids, batches, &columns, &fits);
    let mut method = Method::Greedy;
    let variables = fits.iter().flatten().flatten().count() * LIFETIME_SEGMENTS + columns.len();
    let try_program = solver == Solver::ProgramThenGreedy && variables <= MAX_VARIABLES;
    if try_program && clearing.solve_program() {
        method = Method::LinearProgram;
    }
    clearing.clear_greedily();
    if clearing.counts.iter().all(|count| *count == 0) {
        method = Method::Nothing;
    }
    zones::balance_zones(&mut clearing.counts, batches, balance);
    let awards = clearing.counts.iter().enumerate();
    ClearingResult {
        awards: awards
            .filter(|(_, count)| **count > 0)
            .map(|(batch, count)| Award {
                batch,
                count: *count,
            })
            .collect(),
        method,
        saved: clearing.saved,
        cost: clearing.cost,
        unserved: clearing.remaining.iter().sum(),
        columns: columns.len(),
    }
}

/// A clearing in progress.
struct Clearing<'a> {
    /// Tasks of each bid that are not served yet.
    remaining: Vec<f64>,
    /// Machines that each batch may still give.
    available: Vec<u32>,
    /// Machines of each batch that are to be added.
    counts: Vec<u32>,
    saved: f64,
    cost: f64,
    columns: &'a [Column],
    /// By column and bid.
    fits: &'a [Vec<Option<ColumnFit>>],
}

impl<'a> Clearing<'a> {
    fn new(
        bids: &[Bid],
        batches: &[OfferBatch],
        columns: &'a [Column],
        fits: &'a [Vec<Option<ColumnFit>>],
    ) -> Clearing<'a> {
        Clearing {
            remaining: bids.iter().map(|bid| bid.tasks.max(0.0)).collect(),
            available: batches.iter().map(|batch| batch.available).collect(),
            counts: vec![0; batches.len()],
            saved: 0.0,
            cost: 0.0,
            columns,
            fits,
        }
    }

    /// Adds machines of a column; what they save is counted by the caller.
    fn add_machines(&mut self, column: &Column, count: u32) {
        self.available[column.batch] -= count;
        self.counts[column.batch] += count;
        self.cost += column.cost * f64::from(count);
    }
}

/// A fraction between 0 and 1 that is the same in every process: what settles exact ties, so that
/// a new leader clears as the old one would have.
pub fn stable_fraction(text: &str) -> f64 {
    const KEYS: (u64, u64) = (0x6275_726c, 0x7573_6865);
    const MANTISSA_BITS: u32 = 53;
    let mut hasher = SipHasher13::new_with_keys(KEYS.0, KEYS.1);
    hasher.write(text.as_bytes());
    (hasher.finish() >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
}

/// The place of a market among others that are its equals.
fn tie_break(offer: &Offer) -> f64 {
    let Offer {
        machine_type,
        zone,
        spot,
    } = offer;
    stable_fraction(&format!("{machine_type}/{zone}/{spot}"))
}

#[cfg(test)]
mod tests;
