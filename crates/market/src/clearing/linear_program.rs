//! The linear program of a clearing, solved by the simplex method and rounded to whole machines.

use super::columns::{LIFETIME_SEGMENTS, SEGMENT_ENDS};
use super::{Clearing, EPSILON};
use microlp::{ComparisonOp, OptimizationDirection, Problem, SolveOptions, Variable};
use std::collections::BTreeMap;

/// Upper bound of the number of machines of a batch, in place of an unlimited one.
const MAX_MACHINES: u32 = 1_000_000;
/// Rounding error up to which a number below a whole machine counts as the whole.
const ROUNDING_TOLERANCE: f64 = 1e-6;

/// Left side of a constraint: variables with their coefficients.
type Terms = Vec<(usize, f64)>;

/// Linear program that maximizes the sum of `gains` times the variables. Each variable lies between 0
/// and its upper bound, and the sum of each constraint's terms must not exceed its bound.
#[derive(Clone, Debug, Default)]
pub struct LinearProgram {
    /// Coefficients of the objective, by variable.
    pub gains: Vec<f64>,
    /// Upper bounds, by variable.
    pub upper_bounds: Vec<f64>,
    /// Constraints, each with its terms and the bound of their sum.
    pub constraints: Vec<(Terms, f64)>,
}

impl LinearProgram {
    fn add_variable(&mut self, gain: f64, upper_bound: f64) -> usize {
        self.gains.push(gain);
        self.upper_bounds.push(upper_bound);
        self.gains.len() - 1
    }

    /// Solves the program by the simplex method and returns the values of the variables; `None` if
    /// there is no solution.
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

/// Variables of one column.
pub(super) struct ColumnVariables {
    column: usize,
    /// Variable for the number of machines to add.
    machines: usize,
    served: Vec<ServedVariable>,
}

/// Variable for the number of tasks of a bid that begin in one segment of a column's lifetime.
struct ServedVariable {
    bid: usize,
    /// Amount that one task saves.
    value: f64,
    variable: usize,
}

impl Clearing<'_> {
    /// Builds the linear program of the remaining tasks and available machines.
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

    /// Adds a column's variables and the constraints on the capacity of its machines.
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
        // Capacity is in machine seconds up to the end of each segment.
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

    /// Solves the program and adds its solution, rounded down to whole machines. Returns false if
    /// there is no solution.
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
