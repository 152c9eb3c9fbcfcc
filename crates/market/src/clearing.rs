//! Clearing: determines which machines to add so that the delay costs they save exceed their price.
//!
//! An added machine serves bids during its *lifetime*, which begins when the machine is ready. Each
//! combination of a batch and a lifetime is a column of a linear program. A lifetime is divided into
//! three segments, and bids share the capacity of each; tasks in the first segment start soonest.
//! The program weighs all bids against all batches at once. Its solution is rounded down to whole
//! machines, and the remaining tasks are cleared by a greedy algorithm, which repeatedly adds the
//! best machine. If the program would exceed its size limit, the greedy algorithm clears all bids:
//! its result is also valid but slightly more expensive.

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

/// Maximum number of variables of the linear program; larger inputs are cleared greedily.
const MAX_VARIABLES: usize = 400;
/// Amounts at or below this value are treated as zero.
const EPSILON: f64 = 1e-9;

/// Fit of a bid's tasks to the machines of a batch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineFit {
    /// Number of tasks that run on one machine at a time; at least 1.
    pub tasks_per_machine: u32,
    /// Time to fetch the image on a machine that does not have it.
    pub fetch: Duration,
}

/// Group of similar tasks, waiting or expected, with the cost of their delay.
#[derive(Clone, Debug)]
pub struct Bid {
    /// Number of tasks; may be a fraction for expected tasks.
    pub tasks: f64,
    /// Expected run time of a task.
    pub runtime: Duration,
    /// Time from now until the tasks arrive; zero for waiting tasks.
    pub arrives_in: Duration,
    /// Time from now until the tasks would start if no machine were added.
    pub starts_in: Duration,
    /// Cost of a start as a function of the delay since arrival.
    pub delay_cost: DelayCost,
    /// Cost of running one task on the cheapest machine type.
    pub nominal_cost: f64,
    /// Fit for each batch, by its index; `None` where the tasks must not or cannot run.
    pub machine_fits: Vec<Option<MachineFit>>,
}

impl Bid {
    /// Returns the delay from arrival to start if no machine is added.
    fn wait(&self) -> Duration {
        self.starts_in.saturating_sub(self.arrives_in)
    }
}

/// Machines of one market that can be requested now.
#[derive(Clone, Debug)]
pub struct OfferBatch {
    /// The market.
    pub offer: Offer,
    /// Price per machine and hour.
    pub price: f64,
    /// Time from now until a machine that is requested now accepts work.
    pub ready_in: Duration,
    /// Minimum time for which a machine is billed.
    pub minimum_billed: Duration,
    /// Number of machines that the market is likely to grant.
    pub available: u32,
    /// Probability per second that a machine is lost.
    pub loss_rate: f64,
    /// Capacity that one machine adds to its zone, in the measure of the zone balance.
    pub machine_size: f64,
}

/// Method by which bids were cleared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Method {
    /// No machine was worth its price.
    Nothing,
    /// The linear program, followed by the greedy algorithm for the remaining tasks.
    LinearProgram,
    /// The greedy algorithm alone, as the linear program was too large or found no solution.
    Greedy,
}

impl Method {
    /// Returns the name of the method in the status view.
    pub fn name(self) -> &'static str {
        match self {
            Method::Nothing => "nothing",
            Method::LinearProgram => "program",
            Method::Greedy => "greedy",
        }
    }
}

/// Number of machines of one batch to add.
#[derive(Clone, Debug, PartialEq)]
pub struct Award {
    /// Index of the batch.
    pub batch: usize,
    /// Number of machines.
    pub count: u32,
}

/// Result of clearing all bids.
#[derive(Clone, Debug)]
pub struct ClearingResult {
    /// Awards in the order of the batches.
    pub awards: Vec<Award>,
    /// Method by which the awards were found.
    pub method: Method,
    /// Delay cost that the awards save according to the model, in units of money.
    pub saved: f64,
    /// Price of the awards according to the model, in units of money.
    pub cost: f64,
    /// Number of tasks for which no machine was worth its price.
    pub unserved: f64,
    /// Number of columns, as a measure of the computing effort.
    pub columns: usize,
}

/// Clears all bids against all batches. `balance` holds the present capacity of each zone.
pub fn clear(bids: &[Bid], batches: &[OfferBatch], balance: &ZoneBalance) -> ClearingResult {
    clear_with(bids, batches, balance, Solver::ProgramThenGreedy)
}

/// Clears all bids by the greedy algorithm alone, for comparison.
pub fn clear_greedy(bids: &[Bid], batches: &[OfferBatch], balance: &ZoneBalance) -> ClearingResult {
    clear_with(bids, batches, balance, Solver::Greedy)
}

/// Builds the linear program that [`clear`] would solve, for comparisons of solvers.
pub fn build_program(bids: &[Bid], batches: &[OfferBatch], balance: &ZoneBalance) -> LinearProgram {
    let bids = similar_bids::limit_count(bids);
    let columns = columns::build_columns(batches, balance);
    let fits = columns::column_fits(&bids, batches, &columns);
    Clearing::new(&bids, batches, &columns, &fits)
        .build_program()
        .0
}

/// Algorithms that a clearing may use.
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

/// State of a clearing in progress.
struct Clearing<'a> {
    /// Number of tasks of each bid that are not served yet.
    remaining: Vec<f64>,
    /// Number of machines of each batch that can still be added.
    available: Vec<u32>,
    /// Number of machines of each batch to add.
    counts: Vec<u32>,
    saved: f64,
    cost: f64,
    columns: &'a [Column],
    /// Fits by column and bid.
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

    /// Adds machines of a column and their cost; the caller adds the amount they save.
    fn add_machines(&mut self, column: &Column, count: u32) {
        self.available[column.batch] -= count;
        self.counts[column.batch] += count;
        self.cost += column.cost * f64::from(count);
    }
}

/// Returns a hash of the text as a fraction between 0 and 1. It is the same in every process and
/// breaks exact ties, so that a new leader clears bids as its predecessor would have.
pub fn stable_fraction(text: &str) -> f64 {
    const KEYS: (u64, u64) = (0x6275_726c, 0x7573_6865);
    const MANTISSA_BITS: u32 = 53;
    let mut hasher = SipHasher13::new_with_keys(KEYS.0, KEYS.1);
    hasher.write(text.as_bytes());
    (hasher.finish() >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
}

/// Returns the rank of a market among equivalent ones.
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
