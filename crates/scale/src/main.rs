//! Measures the resource usage of real controllers with hollow workers, at one size or at several in turn.

use burlusher_scale::error::ScaleError;
use burlusher_scale::run::{self, Figures};
use burlusher_scale::{fit::Line, plot};
use burlusher_standin::command_line::{
    BuiltInScenario, controller_program, load_scenario, work_dir, write_file,
};
use burlusher_standin::scenario::Scenario;
use clap::{Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The scenario that runs if the command line names none.
const SAMPLE: BuiltInScenario = BuiltInScenario {
    name: "hollow.toml",
    text: include_str!("../../../scenarios/hollow.toml"),
};

/// Measures real controllers on loopback with thousands of hollow workers, which only simulate tasks.
#[derive(Parser)]
#[command(version)]
struct Cli {
    /// The scenario to run (TOML, as for burlusher-standin); by default a small built-in one.
    #[arg(long, value_name = "FILE", global = true)]
    scenario: Option<PathBuf>,
    /// The controllers' program; by default the one in the folder of this program.
    #[arg(long, value_name = "FILE", global = true)]
    program: Option<PathBuf>,
    /// Folder for settings and logs; by default a new temporary one.
    #[arg(long, value_name = "DIR", global = true)]
    dir: Option<PathBuf>,
    /// Seed of the load, instead of the scenario's.
    #[arg(long, global = true)]
    seed: Option<u64>,
    /// Also writes the report as JSON to this file.
    #[arg(long, value_name = "FILE", global = true)]
    json: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Runs the scenario at several sizes in turn, and fits a line through each figure.
    Sweep {
        /// Factors by which the scenario's machines and tasks are multiplied.
        #[arg(long, value_delimiter = ',', default_value = "1,2,3,4")]
        sizes: Vec<f64>,
        /// Writes the figures by size to this file, as comma-separated values.
        #[arg(long, value_name = "FILE")]
        csv: Option<PathBuf>,
        /// Writes charts of CPU and memory usage by size into this folder.
        #[arg(long, value_name = "DIR")]
        svg: Option<PathBuf>,
    },
}

/// Inputs of a measurement, resolved from the command line.
struct Inputs {
    scenario: Scenario,
    program: PathBuf,
    dir: PathBuf,
}

impl Inputs {
    fn new(cli: &Cli) -> Result<Inputs, ScaleError> {
        let loaded = load_scenario(cli.scenario.as_deref(), &SAMPLE, cli.seed)?;
        Ok(Inputs {
            scenario: loaded.scenario,
            program: controller_program(cli.program.as_deref())?,
            dir: work_dir(cli.dir.as_deref(), "burlusher-scale"),
        })
    }
}

/// Formats the figures, one per line.
fn figures_text(figures: &Figures) -> String {
    let values = figures.values();
    let lines = values
        .iter()
        .map(|(name, value)| format!("{name:24} {value:.3}\n"));
    lines.collect()
}

fn line_text(name: &str, line: &Line) -> String {
    format!(
        "{name:24} {:.5} + {:.7} a machine, off by {:.5} at most\n",
        line.intercept, line.slope, line.residual
    )
}

/// Charts that a sweep draws: the figure, and the label of its axis.
const CHARTS: [(&str, &str); 2] = [
    ("leader_cores", "leader, parts of a core"),
    ("memory_mb", "largest controller, MB"),
];

/// Runs the scenario at these sizes; returns whether all runs ended without violations.
fn sweep(
    cli: &Cli,
    sizes: &[f64],
    csv: Option<&Path>,
    svg: Option<&Path>,
) -> Result<bool, ScaleError> {
    let inputs = Inputs::new(cli)?;
    let mut all = Vec::new();
    let mut all_passed = true;
    for (n, size) in sizes.iter().enumerate() {
        println!("size {size}");
        let scaled = run::scale_scenario(&inputs.scenario, *size);
        let dir = inputs.dir.join(format!("size-{n}"));
        let measured = run::measure(&scaled, &inputs.program, &dir)?;
        all_passed &= measured.outcome.violations.is_empty();
        print!(
            "{}{}",
            measured.outcome.text(),
            figures_text(&measured.figures)
        );
        all.push(measured.figures);
    }
    let lines = run::fit_lines(&all);
    for (name, line) in &lines {
        print!("{}", line_text(name, line));
    }
    if let Some(path) = csv {
        write_file(path, run::csv_table(&all).as_bytes())?;
    }
    if let Some(dir) = svg {
        draw_charts(dir, &all)?;
    }
    if let Some(path) = &cli.json {
        let report = serde_json::json!({"figures": all, "lines": lines});
        write_file(path, report.to_string().as_bytes())?;
    }
    Ok(all_passed)
}

fn draw_charts(dir: &Path, all: &[Figures]) -> Result<(), ScaleError> {
    for (name, label) in CHARTS {
        let point = |figures: &Figures| (figures.machines, figures.values()[name]);
        let points: Vec<(f64, f64)> = all.iter().map(point).collect();
        plot::draw(&dir.join(format!("{name}.svg")), label, &points)?;
    }
    Ok(())
}

/// Runs the scenario once; returns whether it ended without violations.
fn run_once(cli: &Cli) -> Result<bool, ScaleError> {
    let inputs = Inputs::new(cli)?;
    println!(
        "about {:.0} s; logs in {}",
        inputs.scenario.load_s * 2.0,
        inputs.dir.display()
    );
    let measured = run::measure(&inputs.scenario, &inputs.program, &inputs.dir)?;
    print!(
        "{}{}",
        measured.outcome.text(),
        figures_text(&measured.figures)
    );
    if let Some(path) = &cli.json {
        write_file(path, &serde_json::to_vec_pretty(&measured)?)?;
    }
    Ok(measured.outcome.violations.is_empty())
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = match &cli.command {
        None => run_once(&cli),
        Some(Command::Sweep { sizes, csv, svg }) => {
            sweep(&cli, sizes, csv.as_deref(), svg.as_deref())
        }
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("burlusher-scale: {e}");
            ExitCode::FAILURE
        }
    }
}
