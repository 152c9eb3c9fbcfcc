//! Measures real controllers in front of hollow workers: one size, or several in turn.

use burlusher_scale::run::{self, Figures};
use burlusher_scale::{fit::Line, plot};
use burlusher_standin::scenario::Scenario;
use clap::{Parser, Subcommand};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The scenario that is played when none is named.
const SAMPLE: &str = include_str!("../../../scenarios/hollow.toml");

/// Real controllers on loopback in front of thousands of hollow workers.
#[derive(Parser)]
#[command(version)]
struct Cli {
    /// The scenario to play (TOML, as the stand-ins'); a small built-in one if none is named.
    #[arg(long, value_name = "FILE", global = true)]
    scenario: Option<PathBuf>,
    /// The controllers' program; by default the one beside this program.
    #[arg(long, value_name = "FILE", global = true)]
    program: Option<PathBuf>,
    /// Where settings and logs go; by default a new folder for temporary files.
    #[arg(long, value_name = "DIR", global = true)]
    dir: Option<PathBuf>,
    /// Another load than the scenario's.
    #[arg(long, global = true)]
    seed: Option<u64>,
    /// The report goes here as JSON as well.
    #[arg(long, value_name = "FILE", global = true)]
    json: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Plays the scenario at several sizes in turn, and puts lines through the figures.
    Sweep {
        /// How many times the scenario's machines and tasks.
        #[arg(long, value_delimiter = ',', default_value = "1,2,3,4")]
        sizes: Vec<f64>,
        /// Figures by size go here as comma-separated values.
        #[arg(long, value_name = "FILE")]
        csv: Option<PathBuf>,
        /// A picture of processor and memory by size goes into this folder.
        #[arg(long, value_name = "DIR")]
        svg: Option<PathBuf>,
    },
}

fn write(path: &Path, text: &[u8]) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

fn scenario(cli: &Cli) -> Result<Scenario, String> {
    let (name, text) = match &cli.scenario {
        Some(path) => {
            let name = path.display().to_string();
            let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
            (name, text)
        }
        None => ("hollow.toml".into(), SAMPLE.into()),
    };
    let mut scenario = Scenario::parse(&name, &text)?;
    scenario.seed = cli.seed.unwrap_or(scenario.seed);
    Ok(scenario)
}

fn program(cli: &Cli) -> Result<PathBuf, String> {
    let beside = || std::env::current_exe().map(|p| p.with_file_name("burlusher"));
    let program = match &cli.program {
        Some(path) => path.clone(),
        None => beside().map_err(|e| e.to_string())?,
    };
    if program.exists() {
        return Ok(program);
    }
    let build = "build it with `cargo build --release`, or name it with --program";
    Err(format!("{}: not there; {build}", program.display()))
}

fn told(figures: &Figures) -> String {
    let values = figures.values();
    let lines = values
        .iter()
        .map(|(name, value)| format!("{name:24} {value:.3}\n"));
    lines.collect()
}

fn told_line(name: &str, line: &Line) -> String {
    format!(
        "{name:24} {:.5} + {:.7} a machine, off by {:.5} at most\n",
        line.intercept, line.slope, line.residual
    )
}

/// Plays the scenario at these sizes; says whether the rules held at all of them.
fn sweep(cli: &Cli, sizes: &[f64], csv: Option<&Path>, svg: Option<&Path>) -> Result<bool, String> {
    let (scenario, program) = (scenario(cli)?, program(cli)?);
    let dir = dir(cli);
    let mut all = Vec::new();
    let mut held = true;
    for (n, size) in sizes.iter().enumerate() {
        println!("size {size}");
        let scaled = run::scaled(&scenario, *size);
        let measured = run::measure(&scaled, &program, &dir.join(format!("size-{n}")))?;
        held &= measured.outcome.broken.is_empty();
        print!("{}{}", measured.outcome.text(), told(&measured.figures));
        all.push(measured.figures);
    }
    let lines = run::lines(&all);
    lines
        .iter()
        .for_each(|(name, line)| print!("{}", told_line(name, line)));
    if let Some(path) = csv {
        write(path, run::table(&all).as_bytes())?;
    }
    if let Some(dir) = svg {
        for (name, label) in [
            ("leader_cores", "leader, parts of a core"),
            ("memory_mb", "largest controller, MB"),
        ] {
            let points: Vec<(f64, f64)> =
                all.iter().map(|f| (f.machines, f.values()[name])).collect();
            plot::draw(&dir.join(format!("{name}.svg")), label, &points)?;
        }
    }
    if let Some(path) = &cli.json {
        let both = serde_json::json!({"figures": all, "lines": lines});
        write(path, both.to_string().as_bytes())?;
    }
    Ok(held)
}

fn dir(cli: &Cli) -> PathBuf {
    let new = || std::env::temp_dir().join(format!("burlusher-scale-{}", std::process::id()));
    cli.dir.clone().unwrap_or_else(new)
}

fn play(cli: &Cli) -> Result<bool, String> {
    let (scenario, program, dir) = (scenario(cli)?, program(cli)?, dir(cli));
    println!(
        "about {:.0} s; logs in {}",
        scenario.load_s * 2.0,
        dir.display()
    );
    let measured = run::measure(&scenario, &program, &dir)?;
    print!("{}{}", measured.outcome.text(), told(&measured.figures));
    if let Some(path) = &cli.json {
        let json = serde_json::to_vec_pretty(&measured).map_err(|e| e.to_string())?;
        write(path, &json)?;
    }
    Ok(measured.outcome.broken.is_empty())
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let played = match &cli.command {
        None => play(&cli),
        Some(Command::Sweep { sizes, csv, svg }) => {
            sweep(&cli, sizes, csv.as_deref(), svg.as_deref())
        }
    };
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("burlusher-scale: {e}");
            ExitCode::FAILURE
        }
    }
}
