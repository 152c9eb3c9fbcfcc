//! Errors of commands.

use std::error::Error;
use std::fmt::Display;

/// An error that ends the program; `main` prints it with its causes.
pub type CommandError = Box<dyn Error + Send + Sync>;

/// An error with its subject, such as a file or an address.
#[derive(Debug, thiserror::Error)]
#[error("{subject}")]
pub struct WithSubject {
    subject: String,
    source: CommandError,
}

/// Returns a function that adds the subject to an error, for use with `map_err`.
pub fn with_subject<E: Into<CommandError>>(subject: impl Display) -> impl FnOnce(E) -> WithSubject {
    move |error| WithSubject {
        subject: subject.to_string(),
        source: error.into(),
    }
}
