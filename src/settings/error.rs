//! What can be wrong with a settings file.

use std::io;
use std::path::PathBuf;

/// Why settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: io::Error,
    },
    /// The file's contents are at fault.
    #[error("{}", path.display())]
    Contents {
        /// The file.
        path: PathBuf,
        /// What is wrong in it.
        source: Box<SettingsError>,
    },
    /// Not JSON, a field is missing, or one has another type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The value of a field cannot be used.
    #[error("{field}: {reason}")]
    Field {
        /// Its place in the file, names separated by dots.
        field: String,
        /// What is wrong with the value.
        reason: Reason,
    },
}

impl SettingsError {
    pub(super) fn field(field: impl Into<String>, reason: Reason) -> SettingsError {
        let field = field.into();
        SettingsError::Field { field, reason }
    }
}

/// What is wrong with a field's value.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Reason {
    /// Not "a.b.c.d:port".
    #[error("\"{0}\" is not an IPv4 address with a port")]
    NotAnAddress(String),
    /// A time beyond its bounds, all in seconds.
    #[error("{value} is not between {min} and {max} seconds")]
    OutOfRange {
        /// The value.
        value: f64,
        /// The smallest value allowed.
        min: f64,
        /// The largest value allowed.
        max: f64,
    },
    /// Zero, negative, or not a number.
    #[error("{0} must be above 0")]
    NotPositive(f64),
    /// Negative, or not a number.
    #[error("{0} must not be negative")]
    Negative(f64),
    /// Less than a controller needs.
    #[error("{value} is too little, at least {min} are needed")]
    TooLittle {
        /// The value.
        value: f64,
        /// The smallest value allowed.
        min: f64,
    },
    /// Fewer changes in a transaction than the smallest one of ours has.
    #[error("at least {0} are needed")]
    TooFew(usize),
    /// There are no teams.
    #[error("at least one team is needed")]
    NoTeam,
    /// An empty text.
    #[error("must not be empty")]
    Empty,
}
