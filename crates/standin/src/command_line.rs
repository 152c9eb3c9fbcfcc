//! What the programs that play scenarios share: which scenario, with which program, and where.

use crate::error::StandinError;
use crate::scenario::Scenario;
use std::path::{Path, PathBuf};

/// The controllers' program, beside the one that runs.
const CONTROLLER_PROGRAM: &str = "burlusher";

/// A scenario that is part of a program.
pub struct BuiltInScenario {
    /// Its file's name.
    pub name: &'static str,
    /// Its text (TOML).
    pub text: &'static str,
}

/// A scenario and where it comes from.
pub struct LoadedScenario {
    /// The file's name.
    pub name: String,
    /// The scenario, with the seed of the command line.
    pub scenario: Scenario,
}

/// Reads the scenario in a file, or the built-in one if none is named, with another seed if one is
/// given.
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

/// The controllers' program: the one that is named, or the one beside this program.
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

/// Where settings and logs go: the folder that is named, or a new one for temporary files with this
/// prefix.
pub fn work_dir(named: Option<&Path>, prefix: &str) -> PathBuf {
    let new = || std::env::temp_dir().join(format!("{prefix}-{}", std::process::id()));
    named.map_or_else(new, Path::to_path_buf)
}

/// Writes a file.
pub fn write_file(path: &Path, contents: &[u8]) -> Result<(), StandinError> {
    std::fs::write(path, contents).map_err(StandinError::at(path))
}
