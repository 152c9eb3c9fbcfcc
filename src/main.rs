//! Entry point of the program: parses the command line, runs the command, and prints an error with
//! its causes.

mod cli;

use clap::Parser;
use std::error::Error;
use std::process::ExitCode;

fn main() -> ExitCode {
    burlusher::service::limit_malloc_arenas();
    match cli::run(cli::Cli::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("burlusher: {}", with_causes(error.as_ref()));
            ExitCode::FAILURE
        }
    }
}

/// Returns the message of an error, followed by those of its causes.
fn with_causes(error: &dyn Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(&format!(": {cause}"));
        source = cause.source();
    }
    text
}
