//! Validation of single values. Each function returns the value, converted to the type in use.

use super::error::{Reason, SettingsError};
use std::net::SocketAddrV4;
use std::time::Duration;

/// Parses an IPv4 address with a port.
pub(super) fn address(field: &str, text: &str) -> Result<SocketAddrV4, SettingsError> {
    text.parse()
        .map_err(|_| SettingsError::field(field, Reason::NotAnAddress(text.to_string())))
}

/// Validates a number of seconds against bounds, both inclusive.
pub(super) fn seconds(
    field: &str,
    value: f64,
    min: f64,
    max: f64,
) -> Result<Duration, SettingsError> {
    if value.is_finite() && (min..=max).contains(&value) {
        Ok(Duration::from_secs_f64(value))
    } else {
        let reason = Reason::OutOfRange { value, min, max };
        Err(SettingsError::field(field, reason))
    }
}

/// Checks that an amount is finite and above zero.
pub(super) fn positive(field: &str, value: f64) -> Result<f64, SettingsError> {
    if value.is_finite() && value > 0.0 {
        Ok(value)
    } else {
        Err(SettingsError::field(field, Reason::NotPositive(value)))
    }
}

/// Checks that an amount is finite and not negative.
pub(super) fn not_negative(field: &str, value: f64) -> Result<f64, SettingsError> {
    if value.is_finite() && value >= 0.0 {
        Ok(value)
    } else {
        Err(SettingsError::field(field, Reason::Negative(value)))
    }
}

/// Checks that an amount is finite, positive, and not less than `min`.
pub(super) fn at_least(field: &str, value: f64, min: f64) -> Result<f64, SettingsError> {
    let value = positive(field, value)?;
    if value < min {
        let reason = Reason::TooLittle { value, min };
        return Err(SettingsError::field(field, reason));
    }
    Ok(value)
}
