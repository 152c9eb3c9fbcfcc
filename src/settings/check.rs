//! Checks of single values. All return the value in the form in which it is used.

use super::error::{Reason, SettingsError};
use std::net::SocketAddrV4;
use std::time::Duration;

/// An IPv4 address with a port.
pub(super) fn address(field: &str, text: &str) -> Result<SocketAddrV4, SettingsError> {
    text.parse()
        .map_err(|_| SettingsError::field(field, Reason::NotAnAddress(text.to_string())))
}

/// Seconds within bounds, both included.
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

/// A finite amount above zero.
pub(super) fn positive(field: &str, value: f64) -> Result<f64, SettingsError> {
    if value.is_finite() && value > 0.0 {
        Ok(value)
    } else {
        Err(SettingsError::field(field, Reason::NotPositive(value)))
    }
}

/// A finite amount, zero or above.
pub(super) fn not_negative(field: &str, value: f64) -> Result<f64, SettingsError> {
    if value.is_finite() && value >= 0.0 {
        Ok(value)
    } else {
        Err(SettingsError::field(field, Reason::Negative(value)))
    }
}

/// A finite amount of `min` or more.
pub(super) fn at_least(field: &str, value: f64, min: f64) -> Result<f64, SettingsError> {
    let value = positive(field, value)?;
    if value < min {
        let reason = Reason::TooLittle { value, min };
        return Err(SettingsError::field(field, reason));
    }
    Ok(value)
}
