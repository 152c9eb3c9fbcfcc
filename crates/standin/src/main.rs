//! Runs a scenario on this machine: simulated services and real controllers, with one command.

use burlusher_standin::cluster;
use burlusher_standin::command_line::{
    BuiltInScenario, controller_program, load_scenario, work_dir, write_file,
};
use burlusher_standin::error::StandinError;
use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;

/// The scenario that runs if the command line names none.
const SAMPLE: BuiltInScenario = BuiltInScenario {
    name: "three-zones.toml",
    text: include_str!("../../../scenarios/three-zones.toml"),
};

/// A small cluster on loopback: state service, cloud, machines and users, and real controllers.
#[derive(Parser)]
#[command(version)]
struct Cli {
    /// The scenario to run (TOML); by default a built-in one with three zones.
    scenario: Option<PathBuf>,
    /// The controllers' program; by default the one in the folder of this program.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Folder for settings and logs of the controllers; by default a new temporary one.
    #[arg(long, value_name = "DIR")]
    dir: Option<PathBuf>,
    /// Also writes the report as JSON to this file.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// Seed of the load, instead of the scenario's.
    #[arg(long)]
    seed: Option<u64>,
}

/// Runs the scenario; returns whether it ended without violations.
fn run(cli: Cli) -> Result<bool, StandinError> {
    let loaded = load_scenario(cli.scenario.as_deref(), &SAMPLE, cli.seed)?;
    let program = controller_program(cli.program.as_deref())?;
    let dir = work_dir(cli.dir.as_deref(), "burlusher-standin");
    println!(
        "running {}, about {:.0} s; logs in {}",
        loaded.name,
        loaded.scenario.load_s * 2.0,
        dir.display()
    );
    let outcome = cluster::run_scenario(&loaded.scenario, &program, &dir)?;
    print!("{}", outcome.text());
    if let Some(path) = &cli.report {
        write_file(path, &serde_json::to_vec_pretty(&outcome)?)?;
    }
    Ok(outcome.violations.is_empty())
}

fn main() -> ExitCode {
    match run(Cli::parse()) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(e) => {
            eprintln!("burlusher-standin: {e}");
            ExitCode::FAILURE
        }
    }
}
