//! Columns of the linear program: the tasks that a machine could serve in its lifetime, and its cost.

use super::{Bid, EPSILON, OfferBatch, tie_break};
use crate::zone_balance::ZoneBalance;
use std::time::Duration;

/// Minimum lifetime of a machine after it is ready, in seconds, even if the billed time is shorter.
const MIN_LIFETIME_S: f64 = 20.0;
/// Lifetimes considered, in seconds beyond the minimum billed time.
const LIFETIME_EXTENSIONS_S: [f64; 3] = [0.0, 60.0, 180.0];
/// Number of segments of a lifetime.
pub(super) const LIFETIME_SEGMENTS: usize = 3;
/// End of each segment as a fraction of the lifetime. The first segment is short, as its tasks start
/// soonest.
pub(super) const SEGMENT_ENDS: [f64; LIFETIME_SEGMENTS] = [1.0 / 6.0, 0.5, 1.0];
/// Fraction of a task's nominal cost that is credited to the machine that runs the task, as the task
/// does not have to be paid for elsewhere.
const NOMINAL_CREDIT: f64 = 1.0;
/// Fraction of tasks that have to fetch their image: the first tasks of a machine do, later ones
/// usually do not.
const FETCH_FRACTION: f64 = 0.5;
/// Minimum run time assumed for a task, in seconds.
const MIN_TASK_S: f64 = 0.1;
/// Relative weight of the tie break in a price, just large enough to make the optimum unique.
const TIE_BREAK_WEIGHT: f64 = 1e-6;

/// Machines of one batch with one lifetime.
pub(super) struct Column {
    /// Index of the batch.
    pub batch: usize,
    /// Time for which a machine accepts work, in seconds.
    pub lifetime_s: f64,
    /// Cost of one machine.
    pub cost: f64,
}

impl Column {
    /// Returns the begin of a segment, in seconds since the machine was ready.
    fn segment_begin_s(&self, segment: usize) -> f64 {
        match segment {
            0 => 0.0,
            _ => self.segment_end_s(segment - 1),
        }
    }

    /// Returns the end of a segment, in seconds since the machine was ready.
    fn segment_end_s(&self, segment: usize) -> f64 {
        self.lifetime_s * SEGMENT_ENDS[segment]
    }
}

/// Amount that one task of a bid saves on a column's machine, and the machine time it uses.
#[derive(Clone, Copy)]
pub(super) struct ColumnFit {
    /// Amount saved, by the segment in which the task begins.
    pub value: [f64; LIFETIME_SEGMENTS],
    /// Seconds of a whole machine that the task uses until the end of a segment. The first index is
    /// the segment in which the task begins, the second the segment at whose end it is measured.
    pub machine_seconds: [[f64; LIFETIME_SEGMENTS]; LIFETIME_SEGMENTS],
}

/// Returns the price of a batch's machine with the factor of its zone and the tie break.
fn effective_price(batch: &OfferBatch, balance: &ZoneBalance) -> f64 {
    let zone_factor = balance.price_factor(&batch.offer.zone);
    batch.price * zone_factor * (1.0 + TIE_BREAK_WEIGHT * tie_break(&batch.offer))
}

/// Returns the columns of all batches that have machines available.
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

/// Returns the fit of each bid to each column, by column and bid.
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

/// Returns the fit of a bid to a column; `None` where it saves nothing.
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
        // A task that is longer than the lifetime can only begin in the first segment.
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
        // A task on a lost machine is repeated, so the gain is weighted with the chance that the
        // machine survives the task. A task that outlasts the lifetime occupies the machine for
        // longer and is charged for that time.
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
