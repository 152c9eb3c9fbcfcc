//! One command that plays a scenario on this machine with controllers of the real program.

use burlusher_standin::cluster;
use burlusher_standin::command_line::{
    BuiltInScenario, controller_program, load_scenario, work_dir, write_file,
};
use burlusher_standin::error::StandinError;
use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;

/// The scenario that is played when none is named.
const SAMPLE: BuiltInScenario = BuiltInScenario {
    name: "three-zones.toml",
    text: include_str!("../../../scenarios/three-zones.toml"),
};

/// A small cluster on loopback: state service, cloud, machines and users, and real controllers.
#[derive(Parser)]
#[command(version)]
struct Cli {
    /// The scenario to play (TOML); the built-in one, of three zones, if none is named.
    scenario: Option<PathBuf>,
    /// The controllers' program; by default the one beside this program.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Where settings and logs of the controllers go; by default a new folder for temporary files.
    #[arg(long, value_name = "DIR")]
    dir: Option<PathBuf>,
    /// The report goes here as JSON as well.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// Another load than the scenario's.
    #[arg(long)]
    seed: Option<u64>,
}

/// Runs the scenario; returns whether every rule held.
fn run(cli: Cli) -> Result<bool, StandinError> {
    let loaded = load_scenario(cli.scenario.as_deref(), &SAMPLE, cli.seed)?;
    let program = controller_program(cli.program.as_deref())?;
    let dir = work_dir(cli.dir.as_deref(), "burlusher-standin");
    println!(
        "playing {}, about {:.0} s; logs in {}",
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
