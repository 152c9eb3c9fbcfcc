//! One command that plays a scenario on this machine with controllers of the real program.

use burlusher_standin::cluster;
use burlusher_standin::scenario::Scenario;
use clap::Parser;
use std::path::PathBuf;
use std::process::ExitCode;

/// The scenario that is played when none is named.
const SAMPLE: &str = include_str!("../../../scenarios/three-zones.toml");

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

fn run(cli: Cli) -> Result<bool, String> {
    let (name, text) = match &cli.scenario {
        Some(path) => {
            let name = path.display().to_string();
            let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
            (name, text)
        }
        None => ("three-zones.toml".into(), SAMPLE.into()),
    };
    let mut scenario = Scenario::parse(&name, &text)?;
    scenario.seed = cli.seed.unwrap_or(scenario.seed);
    let program = match cli.program {
        Some(p) => p,
        None => std::env::current_exe()
            .map_err(|e| e.to_string())?
            .with_file_name("burlusher"),
    };
    if !program.exists() {
        let build = "build it with `cargo build --release`, or name it with --program";
        return Err(format!("{}: not there; {build}", program.display()));
    }
    let dir = cli.dir.unwrap_or_else(|| {
        std::env::temp_dir().join(format!("burlusher-standin-{}", std::process::id()))
    });
    println!(
        "playing {name}, about {:.0} s; logs in {}",
        scenario.load_s * 2.0,
        dir.display()
    );
    let outcome = cluster::play(&scenario, &program, &dir)?;
    print!("{}", outcome.text());
    if let Some(path) = &cli.report {
        let json = serde_json::to_vec_pretty(&outcome).map_err(|e| e.to_string())?;
        std::fs::write(path, json).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(outcome.broken.is_empty())
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
