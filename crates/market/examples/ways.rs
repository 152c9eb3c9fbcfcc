//! Compares clearing algorithms on synthetic markets of the sizes that burlusher serves: the net
//! savings of each and the time it takes.
//!
//!     cargo run --release -p burlusher-market --example ways

use burlusher_market::clearing::{LinearProgram, build_program, clear, clear_greedy};
use burlusher_market::{
    Bid, DelayCost, MachineFit, Offer, OfferBatch, ServiceLevelObjective, ZoneBalance,
};
use clarabel::algebra::CscMatrix;
use clarabel::solver::{DefaultSettings, DefaultSolver, IPSolver, NonnegativeConeT};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::{Duration, Instant};

fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

/// Generates the batches of three machine types in three zones, spot and on-demand, and `bids` bids
/// with about `tasks` tasks in total.
fn market(seed: u64, bids: usize, tasks: f64) -> (Vec<Bid>, Vec<OfferBatch>) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut batches = Vec::new();
    for kind in 0..3u32 {
        let cpus = f64::from(4u32 << (2 * kind));
        let boot = rng.random_range(12.0..40.0);
        for zone in ["a", "b", "c"] {
            for spot in [true, false] {
                let price = cpus * if spot { 0.033 } else { 0.085 };
                batches.push(OfferBatch {
                    offer: Offer::new(&format!("k{kind}"), zone, spot),
                    price: price * rng.random_range(0.8..1.2),
                    ready_in: seconds(boot),
                    minimum_billed: seconds(60.0),
                    available: if spot {
                        rng.random_range(0..20)
                    } else {
                        u32::MAX
                    },
                    loss_rate: if spot { 3e-4 } else { 3e-5 },
                    machine_size: cpus,
                });
            }
        }
    }
    let make_bid = |_| {
        let run: f64 = rng.random_range(5.0..120.0);
        let nominal_cost = run * 0.033 * 4.0;
        let objectives = vec![
            ServiceLevelObjective {
                start_within: seconds(rng.random_range(5.0..60.0)),
                uncertainty: Duration::ZERO,
                miss_cost: nominal_cost * rng.random_range(1.0..12.0),
            },
            ServiceLevelObjective {
                start_within: seconds(rng.random_range(60.0..180.0)),
                uncertainty: Duration::ZERO,
                miss_cost: nominal_cost * rng.random_range(1.0..12.0),
            },
        ];
        Bid {
            tasks: (tasks / bids as f64).ceil(),
            runtime: seconds(run),
            arrives_in: Duration::ZERO,
            starts_in: seconds(rng.random_range(5.0..240.0)),
            delay_cost: DelayCost::new(objectives, nominal_cost / 100.0),
            nominal_cost,
            machine_fits: batches
                .iter()
                .map(|batch| {
                    Some(MachineFit {
                        tasks_per_machine: (batch.machine_size / 4.0) as u32,
                        fetch: seconds(1.6 / (0.2 + 0.1 * batch.machine_size / 4.0)),
                    })
                })
                .collect(),
        }
    };
    ((0..bids).map(make_bid).collect(), batches)
}

/// Returns the program's value by an interior-point method; `None` if the solver cannot be created.
///
/// The solver minimizes `q x` subject to `A x + s = b` with slack variables `s` of at least 0. The
/// rows of `A` are the constraints, the upper bounds of all variables, and their lower bounds.
fn interior_point_value(program: &LinearProgram) -> Option<f64> {
    let variables = program.gains.len();
    let constraints = program.constraints.len();
    let rows = constraints + 2 * variables;
    let mut columns: Vec<Vec<(usize, f64)>> = vec![Vec::new(); variables];
    let mut bounds = vec![0.0; rows];
    for (row, (terms, bound)) in program.constraints.iter().enumerate() {
        bounds[row] = *bound;
        for (variable, coefficient) in terms {
            columns[*variable].push((row, *coefficient));
        }
    }
    for (variable, column) in columns.iter_mut().enumerate() {
        bounds[constraints + variable] = program.upper_bounds[variable];
        column.push((constraints + variable, 1.0));
        column.push((constraints + variables + variable, -1.0));
    }
    let matrix = sparse_matrix(rows, columns);
    let no_quadratic_part = CscMatrix::zeros((variables, variables));
    let costs: Vec<f64> = program.gains.iter().map(|gain| -gain).collect();
    let settings = DefaultSettings {
        verbose: false,
        ..DefaultSettings::default()
    };
    let cones = [NonnegativeConeT(rows)];
    let solver = DefaultSolver::new(
        &no_quadratic_part,
        &costs,
        &matrix,
        &bounds,
        &cones,
        settings,
    );
    let mut solver = solver.ok()?;
    solver.solve();
    let solution = &solver.solution.x;
    Some(value_of(program, solution))
}

/// Builds a matrix in compressed sparse column format from the rows and values of each column.
fn sparse_matrix(rows: usize, columns: Vec<Vec<(usize, f64)>>) -> CscMatrix<f64> {
    let count = columns.len();
    let mut starts = vec![0];
    let (mut row_indices, mut values) = (Vec::new(), Vec::new());
    for mut column in columns {
        column.sort_by_key(|(row, _)| *row);
        row_indices.extend(column.iter().map(|(row, _)| *row));
        values.extend(column.iter().map(|(_, value)| *value));
        starts.push(row_indices.len());
    }
    CscMatrix::new(rows, count, starts, row_indices, values)
}

/// Returns the value of the program's objective for these values of the variables.
fn value_of(program: &LinearProgram, values: &[f64]) -> f64 {
    let terms = program.gains.iter().zip(values);
    terms.map(|(gain, value)| gain * value).sum()
}

fn main() {
    println!(
        "{:>6} {:>7} {:>9} | {:>10} {:>9} | {:>10} {:>9} | {:>10} {:>9} | {:>10} {:>9}",
        "bids",
        "tasks",
        "variables",
        "bound",
        "us",
        "simplex+",
        "us",
        "greedy",
        "us",
        "interior",
        "us"
    );
    for (bids, tasks) in [
        (6, 300.0),
        (24, 2_000.0),
        (120, 6_000.0),
        (400, 20_000.0),
        (2_000, 100_000.0),
    ] {
        const SEEDS: u64 = 7;
        let mut sums = [0.0; 8];
        let mut variables = 0;
        for seed in 0..SEEDS {
            let (bids, batches) = market(seed, bids, tasks);
            let balance = ZoneBalance::new(["a", "b", "c"], 0.2);
            let timed = |i: usize, sums: &mut [f64; 8], f: &dyn Fn() -> f64| {
                let started = Instant::now();
                sums[i] += f();
                sums[i + 1] += started.elapsed().as_secs_f64() * 1e6;
            };
            let program = build_program(&bids, &batches, &balance);
            variables = program.gains.len();
            timed(0, &mut sums, &|| {
                value_of(&program, &program.solve().unwrap_or_default())
            });
            let net = |c: burlusher_market::clearing::ClearingResult| c.saved - c.cost;
            timed(2, &mut sums, &|| net(clear(&bids, &batches, &balance)));
            timed(4, &mut sums, &|| {
                net(clear_greedy(&bids, &batches, &balance))
            });
            timed(6, &mut sums, &|| {
                interior_point_value(&program).unwrap_or(f64::NAN)
            });
        }
        let mean = sums.map(|x| x / SEEDS as f64);
        print!("{bids:>6} {tasks:>7} {variables:>9} ");
        for pair in mean.chunks(2) {
            print!("| {:>10.0} {:>9.0} ", pair[0], pair[1]);
        }
        println!();
    }
}
