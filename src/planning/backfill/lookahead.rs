//! Backfilling behind the head of the queue: selects the later entries that use the remaining
//! capacity (thesis, section 3.2, steps 2 to 5, with the limited lookahead of section 3.5.1).

use crate::job::Resources;
use crate::planning::backfill::knapsack::{KnapsackItem, KnapsackTables, select_items};
use crate::planning::backfill::node_search::{NodeFinder, place_all};
use crate::planning::backfill::queue::QueuedJob;
use crate::planning::backfill::reservation::Reservation;
use crate::planning::backfill::{Assignment, StepContext};
use crate::planning::cluster_snapshot::ClusterSnapshot;
use std::collections::BTreeMap;

/// Maximum number of fitting entries that the dynamic program considers (limited lookahead,
/// section 3.5.1).
pub const LOOKAHEAD: usize = 50;
/// Maximum number of units per dimension of the dynamic program's tables, which bounds its memory and
/// time. Where the entries together are larger, the unit is made coarser.
const MAX_KNAPSACK_UNITS: usize = 128;
/// Upper bound on the unit, as a share of the largest machine, unless the tables would exceed
/// `MAX_KNAPSACK_UNITS`.
const COARSEST_UNIT: f64 = 0.125;
/// Minimum number of units that the smallest candidate's task takes, unless the tables would exceed
/// `MAX_KNAPSACK_UNITS`.
const UNITS_PER_SMALLEST_TASK: f64 = 4.0;
/// Tolerance for rounding errors when shares are converted to whole units.
const EPSILON: f64 = 1e-9;

/// Queue entry that is considered for backfilling: a single task, or a gang with all of its tasks.
struct Candidate {
    job_index: usize,
    /// Index of the task in its job; `None` for a gang.
    task_index: Option<u32>,
    /// Whether the entry is expected to run beyond the shadow time.
    outlasts_reservation: bool,
}

/// Starts the best set of queue entries behind the head.
pub(super) fn backfill(
    step: &mut StepContext,
    nodes: &[usize],
    queue: &mut [QueuedJob],
    head: usize,
    reservation: Option<&Reservation>,
    tables: &mut KnapsackTables,
) -> Vec<Assignment> {
    let nodes: Vec<usize> = nodes
        .iter()
        .copied()
        .filter(|n| step.snapshot.node(*n).free.cpus > 0.0)
        .collect();
    let candidates = fitting_candidates(step, &nodes, queue, head, reservation);
    if candidates.is_empty() {
        return Vec::new();
    }
    let scale = KnapsackScale::new(step.snapshot, &nodes, queue, &candidates);
    let capacity = scale.free_units(step.snapshot, &nodes);
    if capacity == 0 {
        return Vec::new();
    }
    let shadow_capacity = reservation.map_or(0, |reservation| {
        let freed_units = scale.freed_units(step.snapshot, reservation);
        (capacity + freed_units).saturating_sub(scale.job_size(&queue[head]))
    });
    let item = |candidate: &Candidate| {
        let job = &queue[candidate.job_index];
        let size = scale.job_size(job);
        KnapsackItem {
            size,
            shadow_size: if candidate.outlasts_reservation {
                size
            } else {
                0
            },
            priority_weight: job.priority_weight,
        }
    };
    let items: Vec<KnapsackItem> = candidates.iter().map(item).collect();
    let selected = select_items(&items, capacity, shadow_capacity, tables);
    let selected = selected.into_iter().map(|index| &candidates[index]);
    start_selected(step, &nodes, queue, selected, reservation)
}

/// Returns the first entries behind the head that fit on a node and are within their teams' limits,
/// up to `LOOKAHEAD`. The head's own tasks are skipped, as they are as large as the one that did not
/// fit.
fn fitting_candidates(
    step: &StepContext,
    nodes: &[usize],
    queue: &[QueuedJob],
    head: usize,
    reservation: Option<&Reservation>,
) -> Vec<Candidate> {
    let mut candidates: Vec<Candidate> = Vec::new();
    let mut team_usage = step.teams.to_vec();
    for (job_index, job) in queue.iter().enumerate().skip(head + 1) {
        let resources = &job.spec.resources;
        let fits = |&node_index: &usize| {
            resources.fits(&step.snapshot.node(node_index).free)
                && job.accepts(step.snapshot.class_of(node_index))
        };
        if !nodes.iter().any(fits) {
            continue;
        }
        let outlasts_reservation = reservation.is_some_and(|reservation| {
            job.spec.estimate.is_zero() || job.expected_runtime > reservation.starts_in
        });
        for task_index in job.startable_tasks(step.now) {
            if !team_usage[job.team].allows(resources, job.tasks_per_entry()) {
                break;
            }
            if candidates.len() >= LOOKAHEAD {
                return candidates;
            }
            team_usage[job.team].add(resources, f64::from(job.tasks_per_entry()));
            candidates.push(Candidate {
                job_index,
                task_index: (!job.all_or_nothing).then_some(task_index),
                outlasts_reservation,
            });
            if job.all_or_nothing {
                break;
            }
        }
    }
    candidates
}

/// Unit in which the dynamic program counts capacity.
struct KnapsackScale {
    /// Largest amount of each resource that a machine has.
    largest: Resources,
    /// Size of the unit, as a share of the largest machine.
    unit: f64,
}

impl KnapsackScale {
    /// Chooses the unit: at most an eighth of the largest machine, and finer where the tasks are small.
    /// With a coarse unit, small tasks are rounded up to a whole unit and small machines are rounded
    /// down to none.
    fn new(
        snapshot: &ClusterSnapshot,
        nodes: &[usize],
        queue: &[QueuedJob],
        candidates: &[Candidate],
    ) -> KnapsackScale {
        let largest = snapshot.largest_capacity();
        let share = |c: &Candidate| queue[c.job_index].spec.resources.dominant_share(&largest);
        let shares = candidates.iter().map(share).filter(|share| *share > 0.0);
        let unit = shares.fold(COARSEST_UNIT, |unit: f64, share| {
            unit.min(share / UNITS_PER_SMALLEST_TASK)
        });
        let mut scale = KnapsackScale { largest, unit };
        let requested: usize = candidates
            .iter()
            .map(|c| scale.job_size(&queue[c.job_index]))
            .sum();
        // No set is larger than all candidates together, so the tables need no more units than these.
        let side = scale.free_units(snapshot, nodes).min(requested);
        if side > MAX_KNAPSACK_UNITS {
            scale.unit *= side as f64 / MAX_KNAPSACK_UNITS as f64;
        }
        scale
    }

    /// Returns the units that one queue entry of a job takes, rounded up.
    fn job_size(&self, job: &QueuedJob) -> usize {
        let share = job.spec.resources.dominant_share(&self.largest);
        let share = share * f64::from(job.tasks_per_entry());
        ((share - EPSILON) / self.unit).ceil().max(1.0) as usize
    }

    /// Returns the units of an amount of free resources, rounded down, by the scarcer of CPUs and
    /// memory.
    fn units(&self, free: &Resources) -> usize {
        let part = |amount: f64, whole: f64| {
            if whole > 0.0 {
                amount / whole
            } else {
                f64::INFINITY
            }
        };
        let share = part(free.cpus, self.largest.cpus).min(part(free.ram, self.largest.ram));
        if share.is_finite() {
            ((share + EPSILON) / self.unit).floor().max(0.0) as usize
        } else {
            0
        }
    }

    /// Returns the units that are free on these nodes.
    fn free_units(&self, snapshot: &ClusterSnapshot, nodes: &[usize]) -> usize {
        let free = nodes.iter().map(|n| self.units(&snapshot.node(*n).free));
        free.sum()
    }

    /// Returns the units that become free by the shadow time.
    fn freed_units(&self, snapshot: &ClusterSnapshot, reservation: &Reservation) -> usize {
        let freed_units = |(node_index, freed): (usize, &Resources)| {
            let now = snapshot.node(node_index).free;
            let mut then = now;
            then.add(freed);
            self.units(&then).saturating_sub(self.units(&now))
        };
        reservation.freed().map(freed_units).sum()
    }
}

/// Places the selected entries. The dynamic program counts capacity as a sum over all nodes, so here
/// each placement is checked against the resources reserved for the head on its node.
fn start_selected<'a>(
    step: &mut StepContext,
    nodes: &[usize],
    queue: &mut [QueuedJob],
    selected: impl Iterator<Item = &'a Candidate>,
    reservation: Option<&Reservation>,
) -> Vec<Assignment> {
    let mut starts = Vec::new();
    // Resources of started entries that end by the shadow time are available to the head again.
    let mut released_before_head: BTreeMap<usize, Resources> = BTreeMap::new();
    for candidate in selected {
        let job = &mut queue[candidate.job_index];
        let resources = job.spec.resources;
        let allowed = |snapshot: &ClusterSnapshot, node_index: usize| match reservation {
            Some(reservation) if candidate.outlasts_reservation => {
                let mut remaining = reservation.remaining(snapshot, node_index);
                if let Some(released) = released_before_head.get(&node_index) {
                    remaining.add(released);
                }
                resources.fits(&remaining)
            }
            _ => true,
        };
        let assignments = match candidate.task_index {
            Some(task_index) => {
                let mut finder = NodeFinder::new(step.snapshot, nodes, job);
                let allocation = finder.place(step, job, &allowed);
                allocation.map(|allocation| {
                    vec![Assignment {
                        job_index: candidate.job_index,
                        task_index,
                        node_index: allocation.node_index,
                    }]
                })
            }
            None => place_all(step, nodes, candidate.job_index, job, &allowed),
        };
        for assignment in assignments.into_iter().flatten() {
            if !candidate.outlasts_reservation {
                let released = released_before_head
                    .entry(assignment.node_index)
                    .or_default();
                released.add(&resources);
            }
            starts.push(assignment);
        }
    }
    starts
}
