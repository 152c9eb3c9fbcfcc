//! Greedy clearing: adds the best machine first, until none is worth its price.

use super::columns::{LIFETIME_SEGMENTS, SEGMENT_ENDS};
use super::{Clearing, EPSILON};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};

/// Maximum number of machines that one step adds.
const MAX_MACHINES_AT_ONCE: f64 = 1e6;

/// Best assignment of tasks to one machine of a column.
struct MachineFill {
    /// Amount saved per unit of the machine's cost.
    rate: f64,
    saved: f64,
    /// Number of tasks of each bid, with the bid's index.
    served: Vec<(usize, f64)>,
}

/// Tasks of one bid that could begin in one segment of a column's lifetime.
struct FillOption {
    /// Amount that a task saves per second of machine time.
    rate: f64,
    bid: usize,
    segment: usize,
}

/// Column with an upper bound of the amount it saves per unit of its cost.
#[derive(PartialEq)]
struct RankedColumn {
    rate: f64,
    column: usize,
}

impl Eq for RankedColumn {}

impl Ord for RankedColumn {
    fn cmp(&self, other: &RankedColumn) -> Ordering {
        // On a tie, the column with the lowest index ranks first.
        let by_rate = self.rate.total_cmp(&other.rate);
        by_rate.then(other.column.cmp(&self.column))
    }
}

impl PartialOrd for RankedColumn {
    fn partial_cmp(&self, other: &RankedColumn) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Clearing<'_> {
    /// Repeatedly adds the machine that saves most per unit of its cost, until none is worth its
    /// price. Each step adds as many machines as can take the same assignment of tasks. The savings
    /// of a column can only fall as tasks are served, so a column is evaluated again only when its
    /// previous rate is the highest of all.
    pub(super) fn clear_greedily(&mut self) {
        let unranked = |column| RankedColumn {
            rate: f64::INFINITY,
            column,
        };
        let mut ranking: BinaryHeap<RankedColumn> = (0..self.columns.len()).map(unranked).collect();
        while let Some(RankedColumn { column: index, .. }) = ranking.pop() {
            let column = &self.columns[index];
            if self.available[column.batch] == 0 {
                continue;
            }
            let fill = self.best_fill(index);
            if fill.saved <= column.cost {
                continue;
            }
            let ranked = RankedColumn {
                rate: fill.rate,
                column: index,
            };
            if ranking.peek().is_some_and(|next| *next > ranked) {
                ranking.push(ranked);
                continue;
            }
            let served = fill.served.iter();
            let repeats = served.map(|(bid, tasks)| (self.remaining[*bid] / tasks).floor());
            let repeats = repeats
                .fold(f64::INFINITY, f64::min)
                .clamp(1.0, MAX_MACHINES_AT_ONCE);
            let count = (repeats as u32).min(self.available[column.batch]);
            self.add_machines(column, count);
            self.saved += fill.saved * f64::from(count);
            for (bid, tasks) in fill.served {
                let remaining = self.remaining[bid] - tasks * f64::from(count);
                self.remaining[bid] = remaining.max(0.0);
            }
            ranking.push(ranked);
        }
    }

    /// Returns the best assignment of remaining tasks to one machine of a column.
    fn best_fill(&self, index: usize) -> MachineFill {
        let column = &self.columns[index];
        let fits = &self.fits[index];
        let mut capacity = SEGMENT_ENDS.map(|end| column.lifetime_s * end);
        let mut saved = 0.0;
        let mut served: BTreeMap<usize, f64> = BTreeMap::new();
        for FillOption { bid, segment, .. } in self.fill_options(index) {
            let Some(fit) = fits[bid] else { continue };
            let machine_seconds = fit.machine_seconds[segment];
            let already_served = served.get(&bid).copied().unwrap_or(0.0);
            let limits = capacity
                .iter()
                .zip(machine_seconds)
                .skip(segment)
                .map(|(capacity, seconds)| capacity / seconds.max(EPSILON));
            let tasks = limits.fold(self.remaining[bid] - already_served, f64::min);
            if tasks <= EPSILON {
                continue;
            }
            for (capacity, seconds) in capacity.iter_mut().zip(machine_seconds).skip(segment) {
                *capacity -= tasks * seconds;
            }
            saved += tasks * fit.value[segment];
            *served.entry(bid).or_default() += tasks;
        }
        MachineFill {
            rate: saved / column.cost.max(EPSILON),
            saved,
            served: served.into_iter().collect(),
        }
    }

    /// Returns the tasks that a column's machine could serve, those that save most per second first.
    fn fill_options(&self, index: usize) -> Vec<FillOption> {
        let mut options: Vec<FillOption> = Vec::new();
        for (bid, fit) in self.fits[index].iter().enumerate() {
            let Some(fit) = fit.filter(|_| self.remaining[bid] > EPSILON) else {
                continue;
            };
            for (segment, value) in fit.value.iter().enumerate() {
                if *value > EPSILON {
                    options.push(FillOption {
                        rate: value / fit.machine_seconds[segment][LIFETIME_SEGMENTS - 1],
                        bid,
                        segment,
                    });
                }
            }
        }
        options.sort_by(|a, b| {
            let by_rate = b.rate.total_cmp(&a.rate);
            by_rate.then((a.bid, a.segment).cmp(&(b.bid, b.segment)))
        });
        options
    }
}
