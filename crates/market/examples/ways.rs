//! Compares ways to clear, on made-up markets as large as those that burlusher serves: what each
//! saves beyond its cost, and the processor time it takes.
//!
//!     cargo run --release -p burlusher-market --example ways

use burlusher_market::clearing::{LinearProgram, build_program, clear, clear_greedy};
use burlusher_market::{
    Bid, DelayCost, MachineFit, OfferBatch, ServiceLevelObjective, ZoneBalance,
};
use clarabel::algebra::CscMatrix;
use clarabel::solver::{DefaultSettings, DefaultSolver, IPSolver, NonnegativeConeT};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::{Duration, Instant};

fn s(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Six machine types in three zones, spot and ordinary; `bids` groups of `tasks` tasks in all.
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
                    offer: (format!("k{kind}"), zone.into(), spot),
                    price: price * rng.random_range(0.8..1.2),
                    ready: s(boot),
                    minimum_billed: s(60.0),
                    available: if spot {
                        rng.random_range(0..20)
                    } else {
                        u32::MAX
                    },
                    loss_rate: if spot { 3e-4 } else { 3e-5 },
                    size: cpus,
                });
            }
        }
    }
    let make = |_| {
        let run: f64 = rng.random_range(5.0..120.0);
        let nominal_cost = run * 0.033 * 4.0;
        let aims = vec![
            ServiceLevelObjective {
                by: s(rng.random_range(5.0..60.0)),
                unsure: Duration::ZERO,
                loss: nominal_cost * rng.random_range(1.0..12.0),
            },
            ServiceLevelObjective {
                by: s(rng.random_range(60.0..180.0)),
                unsure: Duration::ZERO,
                loss: nominal_cost * rng.random_range(1.0..12.0),
            },
        ];
        Bid {
            tasks: (tasks / bids as f64).ceil(),
            run: s(run),
            arrives: Duration::ZERO,
            after: s(rng.random_range(5.0..240.0)),
            delay_cost: DelayCost::new(aims, nominal_cost / 100.0),
            nominal_cost,
            machine_fits: batches
                .iter()
                .map(|l| {
                    Some(MachineFit {
                        tasks_per_machine: (l.size / 4.0) as u32,
                        fetch: s(1.6 / (0.2 + 0.1 * l.size / 4.0)),
                    })
                })
                .collect(),
        }
    };
    ((0..bids).map(make).collect(), batches)
}

/// The same program by an interior-point method: its value, or none.
fn interior(p: &LinearProgram) -> Option<f64> {
    let n = p.gains.len();
    // Rows, then upper bounds, then lower ones: A x + s = b with s at least 0.
    let m = p.rows.len() + 2 * n;
    let mut columns: Vec<Vec<(usize, f64)>> = vec![Vec::new(); n];
    let mut b = vec![0.0; m];
    for (r, (row, bound)) in p.rows.iter().enumerate() {
        b[r] = *bound;
        for (x, c) in row {
            columns[*x].push((r, *c));
        }
    }
    for (x, column) in columns.iter_mut().enumerate() {
        b[p.rows.len() + x] = p.most[x];
        column.push((p.rows.len() + x, 1.0));
        column.push((p.rows.len() + n + x, -1.0));
    }
    let mut starts = vec![0];
    let (mut rows, mut values) = (Vec::new(), Vec::new());
    for mut column in columns {
        column.sort_by_key(|e| e.0);
        rows.extend(column.iter().map(|e| e.0));
        values.extend(column.iter().map(|e| e.1));
        starts.push(rows.len());
    }
    let a = CscMatrix::new(m, n, starts, rows, values);
    let none = CscMatrix::zeros((n, n));
    let q: Vec<f64> = p.gains.iter().map(|g| -g).collect();
    let settings = DefaultSettings {
        verbose: false,
        ..DefaultSettings::default()
    };
    let cones = [NonnegativeConeT(m)];
    let mut solver = DefaultSolver::new(&none, &q, &a, &b, &cones, settings).ok()?;
    solver.solve();
    let x = &solver.solution.x;
    Some(p.gains.iter().zip(x).map(|(g, x)| g * x).sum())
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
            let spread = ZoneBalance::new(["a", "b", "c"], 0.2);
            let timed = |i: usize, sums: &mut [f64; 8], f: &dyn Fn() -> f64| {
                let begin = Instant::now();
                sums[i] += f();
                sums[i + 1] += begin.elapsed().as_secs_f64() * 1e6;
            };
            let program = build_program(&bids, &batches, &spread);
            variables = program.gains.len();
            timed(0, &mut sums, &|| {
                let x = program.solve().unwrap_or_default();
                program.gains.iter().zip(x).map(|(g, x)| g * x).sum()
            });
            let net = |c: burlusher_market::clearing::ClearingResult| c.saved - c.cost;
            timed(2, &mut sums, &|| net(clear(&bids, &batches, &spread)));
            timed(4, &mut sums, &|| {
                net(clear_greedy(&bids, &batches, &spread))
            });
            timed(6, &mut sums, &|| interior(&program).unwrap_or(f64::NAN));
        }
        let mean = sums.map(|x| x / SEEDS as f64);
        print!("{bids:>6} {tasks:>7} {variables:>9} ");
        for pair in mean.chunks(2) {
            print!("| {:>10.0} {:>9.0} ", pair[0], pair[1]);
        }
        println!();
    }
}
