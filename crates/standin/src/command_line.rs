//! Command-line inputs shared by the programs that run scenarios: scenario, controllers' program and
//! work folder.

use crate::error::StandinError;
use crate::scenario::Scenario;
use std::path::{Path, PathBuf};

/// File name of the controllers' program, which cargo puts into the folder of the running program.
const CONTROLLER_PROGRAM: &str = "burlusher";

/// A scenario that is compiled into a program.
pub struct BuiltInScenario {
    /// Name of the scenario's file, for error messages.
    pub name: &'static str,
    /// Text of the scenario (TOML).
    pub text: &'static str,
}

/// A scenario and the file that it was read from.
pub struct LoadedScenario {
    /// Name of the file.
    pub name: String,
    /// The scenario, with the seed of the command line if one was given.
    pub scenario: Scenario,
}

/// Reads the scenario from `path`, or takes the built-in one. `seed` replaces the scenario's seed.
pub fn load_scenario(
    path: Option<&Path>,
    built_in: &BuiltInScenario,
    seed: Option<u64>,
) -> Result<LoadedScenario, StandinError> {
    let (name, text) = match path {
        Some(path) => {
            let text = std::fs::read_to_string(path).map_err(StandinError::at(path))?;
            (path.display().to_string(), text)
        }
        None => (built_in.name.to_string(), built_in.text.to_string()),
    };
    let mut scenario = Scenario::parse(&name, &text)?;
    scenario.seed = seed.unwrap_or(scenario.seed);
    Ok(LoadedScenario { name, scenario })
}

/// Returns the path of the controllers' program: `named`, or else the one in the folder of the
/// running program.
pub fn controller_program(named: Option<&Path>) -> Result<PathBuf, StandinError> {
    let program = match named {
        Some(path) => path.to_path_buf(),
        None => std::env::current_exe()?.with_file_name(CONTROLLER_PROGRAM),
    };
    if program.exists() {
        Ok(program)
    } else {
        Err(StandinError::NoProgram(program))
    }
}

/// Returns the folder for settings and logs: `named`, or else a new temporary one whose name begins
/// with `prefix`.
pub fn work_dir(named: Option<&Path>, prefix: &str) -> PathBuf {
    let new = || std::env::temp_dir().join(format!("{prefix}-{}", std::process::id()));
    named.map_or_else(new, Path::to_path_buf)
}

/// Writes a file; the error names its path.
pub fn write_file(path: &Path, contents: &[u8]) -> Result<(), StandinError> {
    std::fs::write(path, contents).map_err(StandinError::at(path))
}
