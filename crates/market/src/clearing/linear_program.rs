//! The linear program of a clearing, solved by the simplex method and rounded to whole machines.

use super::columns::{LIFETIME_SEGMENTS, SEGMENT_ENDS};
use super::{Clearing, EPSILON};
use microlp::{ComparisonOp, OptimizationDirection, Problem, SolveOptions, Variable};
use std::collections::BTreeMap;

/// As many machines as this are as good as any number.
const MAX_MACHINES: u32 = 1_000_000;
/// What is a rounding error below a whole machine is a whole one.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// One side of a constraint: variables with their coefficients.
type Terms = Vec<(usize, f64)>;

/// A linear program: the greatest sum of `gains` times variables, each between 0 and its
/// `upper_bounds`, so that the sum of each constraint's terms is no more than its bound.
#[derive(Clone, Debug, Default)]
pub struct LinearProgram {
    /// Coefficients of the objective, by variable.
    pub gains: Vec<f64>,
    /// By variable.
    pub upper_bounds: Vec<f64>,
    /// Terms, each a variable with its coefficient, and their bound.
    pub constraints: Vec<(Terms, f64)>,
}

impl LinearProgram {
    fn add_variable(&mut self, gain: f64, upper_bound: f64) -> usize {
        self.gains.push(gain);
        self.upper_bounds.push(upper_bound);
        self.gains.len() - 1
    }

    /// The variables' values, by the simplex method; `None` if it finds none.
    pub fn solve(&self) -> Option<Vec<f64>> {
        let mut problem = Problem::new(OptimizationDirection::Maximize);
        let variables: Vec<Variable> = self
            .gains
            .iter()
            .zip(&self.upper_bounds)
            .map(|(gain, upper_bound)| problem.add_var(*gain, (0.0, *upper_bound)))
            .collect();
        for (terms, bound) in &self.constraints {
            let terms: Vec<(Variable, f64)> = terms
                .iter()
                .map(|(variable, coefficient)| (variables[*variable], *coefficient))
                .collect();
            problem.add_constraint(&terms, ComparisonOp::Le, *bound);
        }
        let outcome = problem.solve_with(SolveOptions::default()).ok()?;
        let solution = outcome.into_solution().ok()?;
        Some(variables.iter().map(|v| solution.var_value(*v)).collect())
    }
}

/// The variables of one column.
pub(super) struct ColumnVariables {
    column: usize,
    /// How many machines of it are added.
    machines: usize,
    served: Vec<ServedVariable>,
}

/// How many tasks of a bid are served in one part of a column's stay.
struct ServedVariable {
    bid: usize,
    /// What a task saves.
    value: f64,
    variable: usize,
}

impl Clearing<'_> {
    /// The linear program of what is left.
    pub(super) fn build_program(&self) -> (LinearProgram, Vec<ColumnVariables>) {
        let mut program = LinearProgram::default();
        let mut tasks_by_bid: Vec<Terms> = vec![Vec::new(); self.remaining.len()];
        let mut machines_by_batch: BTreeMap<usize, Terms> = BTreeMap::new();
        let mut variables: Vec<ColumnVariables> = Vec::new();
        for (index, column) in self.columns.iter().enumerate() {
            if self.fits[index].iter().all(Option::is_none) {
                continue;
            }
            let added = self.add_column(&mut program, index);
            for served in &added.served {
                tasks_by_bid[served.bid].push((served.variable, 1.0));
            }
            let machines = machines_by_batch.entry(column.batch).or_default();
            machines.push((added.machines, 1.0));
            variables.push(added);
        }
        for (bid, terms) in tasks_by_bid.into_iter().enumerate() {
            if !terms.is_empty() {
                program.constraints.push((terms, self.remaining[bid]));
            }
        }
        for (batch, terms) in machines_by_batch {
            let bound = self.available_machines(batch);
            program.constraints.push((terms, bound));
        }
        (program, variables)
    }

    fn available_machines(&self, batch: usize) -> f64 {
        f64::from(self.available[batch].min(MAX_MACHINES))
    }

    /// Adds a column's variables, and the constraints on its machines' room.
    fn add_column(&self, program: &mut LinearProgram, index: usize) -> ColumnVariables {
        let column = &self.columns[index];
        let machines = program.add_variable(-column.cost, self.available_machines(column.batch));
        let mut capacity: [Terms; LIFETIME_SEGMENTS] = Default::default();
        let mut served = Vec::new();
        for (bid, fit) in self.fits[index].iter().enumerate() {
            let Some(fit) = fit else { continue };
            for (segment, value) in fit.value.iter().enumerate() {
                if *value <= EPSILON {
                    continue;
                }
                let variable = program.add_variable(*value, self.remaining[bid]);
                let machine_seconds = fit.machine_seconds[segment];
                for (terms, seconds) in capacity.iter_mut().zip(machine_seconds).skip(segment) {
                    terms.push((variable, seconds));
                }
                served.push(ServedVariable {
                    bid,
                    value: *value,
                    variable,
                });
            }
        }
        // Room in seconds of a machine, until the end of each part.
        for (mut terms, end) in capacity.into_iter().zip(SEGMENT_ENDS) {
            terms.push((machines, -column.lifetime_s * end));
            program.constraints.push((terms, 0.0));
        }
        ColumnVariables {
            column: index,
            machines,
            served,
        }
    }

    /// Takes in the program's answer rounded down to whole machines; false if there is none.
    pub(super) fn solve_program(&mut self) -> bool {
        let (program, variables) = self.build_program();
        if variables.is_empty() {
            return true;
        }
        let Some(values) = program.solve() else {
            return false;
        };
        for column_variables in variables {
            self.apply_solution(&column_variables, &values);
        }
        true
    }

    fn apply_solution(&mut self, variables: &ColumnVariables, values: &[f64]) {
        let wanted = values[variables.machines];
        let whole = (wanted + ROUNDING_TOLERANCE).floor();
        if whole < 1.0 {
            return;
        }
        let scale = (whole / wanted).min(1.0);
        let column = &self.columns[variables.column];
        let count = (whole as u32).min(self.available[column.batch]);
        self.add_machines(column, count);
        for served in &variables.served {
            let tasks = (values[served.variable] * scale).clamp(0.0, self.remaining[served.bid]);
            self.remaining[served.bid] -= tasks;
            self.saved += served.value * tasks;
        }
    }
}
