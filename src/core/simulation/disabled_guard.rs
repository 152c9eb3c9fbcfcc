//! Runs scenarios with one safeguard of the program disabled, to show that the simulation checks the
//! invariant which the safeguard upholds.

use crate::fault_injection::{DISABLED, Safeguard};
use std::any::Any;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Runs a scenario with a safeguard disabled; returns the panic message if the scenario fails.
pub fn failure_without(safeguard: Safeguard, scenario: impl FnOnce()) -> Option<String> {
    DISABLED.set(Some(safeguard));
    let failure = catch_unwind(AssertUnwindSafe(scenario)).err();
    DISABLED.set(None);
    failure.and_then(message)
}

/// Runs a scenario with a safeguard disabled; panics unless it fails with a message that contains
/// `expected`.
pub fn fails_without(safeguard: Safeguard, expected: &str, scenario: impl FnOnce()) {
    let message = failure_without(safeguard, scenario);
    let message =
        message.unwrap_or_else(|| panic!("{safeguard:?} is disabled, and no check failed"));
    assert!(
        message.contains(expected),
        "{safeguard:?} is disabled, and the message is: {message}"
    );
}

/// Returns the message of a panic.
fn message(panic: Box<dyn Any + Send>) -> Option<String> {
    let text = panic.downcast_ref::<&str>().map(|s| s.to_string());
    text.or_else(|| panic.downcast::<String>().ok().map(|s| *s))
}
