//! The columns of the program: what a machine that stays for some time would serve, and its cost.

use super::{Bid, EPSILON, OfferBatch, tie_break};
use crate::zone_balance::ZoneBalance;
use std::time::Duration;

/// A machine stays at least this long after it is up, whatever it is billed for.
const MIN_LIFETIME_S: f64 = 20.0;
/// Stays: the billed minimum, and this much longer.
const LIFETIME_EXTENSIONS_S: [f64; 3] = [0.0, 60.0, 180.0];
/// Into how many parts a stay is divided.
pub(super) const LIFETIME_SEGMENTS: usize = 3;
/// Where each part ends, as a part of the stay: the first is short, as what comes first starts at
/// once.
pub(super) const SEGMENT_ENDS: [f64; LIFETIME_SEGMENTS] = [1.0 / 6.0, 0.5, 1.0];
/// Work that is served on a new machine need not be paid for elsewhere: this part of its
/// cheapest cost is set against the machine's.
const NOMINAL_CREDIT: f64 = 1.0;
/// The part of all tasks that fetch their image: the first tasks of a machine do, those that
/// follow mostly need not.
const FETCH_FRACTION: f64 = 0.5;
/// Shorter tasks count as this long, in seconds.
const MIN_TASK_S: f64 = 0.1;
/// The weight of the tie break in a price: enough to make each answer the only best one.
const TIE_BREAK_WEIGHT: f64 = 1e-6;

/// One stay of one batch's machines.
pub(super) struct Column {
    /// Index of the batch.
    pub batch: usize,
    /// How long a machine accepts work, in seconds.
    pub lifetime_s: f64,
    /// What a machine costs.
    pub cost: f64,
}

impl Column {
    /// When a part of the stay begins, in seconds.
    fn segment_begin_s(&self, segment: usize) -> f64 {
        match segment {
            0 => 0.0,
            _ => self.segment_end_s(segment - 1),
        }
    }

    /// When a part of the stay ends, in seconds.
    fn segment_end_s(&self, segment: usize) -> f64 {
        self.lifetime_s * SEGMENT_ENDS[segment]
    }
}

/// What one task of a bid saves on a column's machine, and what it takes.
#[derive(Clone, Copy)]
pub(super) struct ColumnFit {
    /// What it saves if it begins in each part of the stay.
    pub value: [f64; LIFETIME_SEGMENTS],
    /// Begun in the first index's part: seconds of a whole machine until the second one's end.
    pub machine_seconds: [[f64; LIFETIME_SEGMENTS]; LIFETIME_SEGMENTS],
}

fn effective_price(batch: &OfferBatch, balance: &ZoneBalance) -> f64 {
    let zone_factor = balance.price_factor(&batch.offer.zone);
    batch.price * zone_factor * (1.0 + TIE_BREAK_WEIGHT * tie_break(&batch.offer))
}

/// All stays of all batches that may give machines.
pub(super) fn build_columns(batches: &[OfferBatch], balance: &ZoneBalance) -> Vec<Column> {
    let mut columns = Vec::new();
    for (index, batch) in batches.iter().enumerate() {
        if batch.available == 0 || batch.price < 0.0 || !batch.price.is_finite() {
            continue;
        }
        let price = effective_price(batch, balance);
        let ready_s = batch.ready_in.as_secs_f64();
        let billed_s = batch.minimum_billed.as_secs_f64();
        for extension_s in LIFETIME_EXTENSIONS_S {
            let lifetime_s = (billed_s - ready_s).max(MIN_LIFETIME_S) + extension_s;
            columns.push(Column {
                batch: index,
                lifetime_s,
                cost: price * (ready_s + lifetime_s).max(billed_s),
            });
        }
    }
    columns
}

/// How each column serves each bid.
pub(super) fn column_fits(
    bids: &[Bid],
    batches: &[OfferBatch],
    columns: &[Column],
) -> Vec<Vec<Option<ColumnFit>>> {
    let fits_of = |column: &Column| {
        let batch = &batches[column.batch];
        bids.iter()
            .map(|bid| column_fit(bid, batch, column))
            .collect()
    };
    columns.iter().map(fits_of).collect()
}

/// How a column serves a bid; `None` where it saves nothing.
fn column_fit(bid: &Bid, batch: &OfferBatch, column: &Column) -> Option<ColumnFit> {
    let machine_fit = bid.machine_fits.get(column.batch).copied().flatten()?;
    let fetch_s = machine_fit.fetch.as_secs_f64();
    let task_s = (bid.runtime.as_secs_f64() + fetch_s * FETCH_FRACTION).max(MIN_TASK_S);
    let tasks_per_machine = f64::from(machine_fit.tasks_per_machine.max(1));
    let ready_s = batch.ready_in.as_secs_f64();
    let arrives_s = bid.arrives_in.as_secs_f64();
    let wait = bid.wait();
    let survival = (1.0 - batch.loss_rate * task_s).max(0.0);
    let mut value = [0.0; LIFETIME_SEGMENTS];
    let mut machine_seconds = [[0.0; LIFETIME_SEGMENTS]; LIFETIME_SEGMENTS];
    for segment in 0..LIFETIME_SEGMENTS {
        let begin_s = column.segment_begin_s(segment);
        for (end, seconds) in machine_seconds[segment]
            .iter_mut()
            .enumerate()
            .skip(segment)
        {
            *seconds = task_s.min(column.segment_end_s(end) - begin_s) / tasks_per_machine;
        }
        // What is longer than the stay can only begin at once.
        if segment > 0 && task_s > column.lifetime_s - begin_s {
            continue;
        }
        let length_s = column.segment_end_s(segment) - begin_s;
        let mean_begin_s = (length_s - task_s).max(0.0) / 2.0;
        let task_begin_s = (ready_s + begin_s + mean_begin_s).max(arrives_s);
        let delay_s = task_begin_s + fetch_s - arrives_s;
        if delay_s >= wait.as_secs_f64() {
            continue;
        }
        let gain = bid.delay_cost.gain(wait, Duration::from_secs_f64(delay_s));
        // Work done twice is not saved: what a lost machine had begun is repeated. What runs
        // longer than the stay keeps its place, and pays for that.
        let overrun_cost = (task_s - column.lifetime_s).max(0.0) / tasks_per_machine * batch.price;
        let credit = if gain > 0.0 {
            NOMINAL_CREDIT * bid.nominal_cost
        } else {
            0.0
        };
        value[segment] = (gain * survival + credit - overrun_cost).max(0.0);
    }
    let saves_anything = value.iter().any(|v| *v > EPSILON);
    saves_anything.then_some(ColumnFit {
        value,
        machine_seconds,
    })
}
