//! Errors of the settings file.

use std::io;
use std::path::PathBuf;

/// Reason why a settings file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}", path.display())]
    Read {
        /// Path of the file.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The file's contents are invalid.
    #[error("{}", path.display())]
    Contents {
        /// Path of the file.
        path: PathBuf,
        /// The error in the contents.
        source: Box<SettingsError>,
    },
    /// The text is not JSON, a field is missing, or a field has the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The value of a field is invalid.
    #[error("{field}: {reason}")]
    Field {
        /// Path of the field in the file, separated by dots.
        field: String,
        /// Reason why the value is invalid.
        reason: Reason,
    },
}

impl SettingsError {
    pub(super) fn field(field: impl Into<String>, reason: Reason) -> SettingsError {
        let field = field.into();
        SettingsError::Field { field, reason }
    }
}

/// Reason why the value of a field is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Reason {
    /// The text does not have the form "a.b.c.d:port".
    #[error("\"{0}\" is not an IPv4 address with a port")]
    NotAnAddress(String),
    /// A duration is out of bounds; all values in seconds.
    #[error("{value} is not between {min} and {max} seconds")]
    OutOfRange {
        /// The value.
        value: f64,
        /// The smallest value allowed.
        min: f64,
        /// The largest value allowed.
        max: f64,
    },
    /// A number is zero, negative, or not finite.
    #[error("{0} must be above 0")]
    NotPositive(f64),
    /// A number is negative or not finite.
    #[error("{0} must not be negative")]
    Negative(f64),
    /// A quota is less than a controller needs.
    #[error("{value} is too little, at least {min} are needed")]
    TooLittle {
        /// The value.
        value: f64,
        /// The smallest value allowed.
        min: f64,
    },
    /// The limit of changes in a transaction is below the smallest transaction of a controller.
    #[error("at least {0} are needed")]
    TooFew(usize),
    /// The list of teams is empty.
    #[error("at least one team is needed")]
    NoTeam,
    /// A text is empty.
    #[error("must not be empty")]
    Empty,
}
