//! Scenarios played with a guard taken out of the program, to show that the rule which it keeps is
//! checked.

use crate::fault_injection::{DISABLED, Safeguard};
use std::any::Any;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// What a scenario fails with when a guard is taken out, if it does.
pub fn failure_without(safeguard: Safeguard, scenario: impl FnOnce()) -> Option<String> {
    DISABLED.set(Some(safeguard));
    let failure = catch_unwind(AssertUnwindSafe(scenario)).err();
    DISABLED.set(None);
    failure.and_then(message)
}

/// Fails unless a scenario breaks this rule when a guard is taken out.
pub fn fails_without(safeguard: Safeguard, expected: &str, scenario: impl FnOnce()) {
    let message = failure_without(safeguard, scenario);
    let message =
        message.unwrap_or_else(|| panic!("{safeguard:?} is disabled, and no check failed"));
    assert!(
        message.contains(expected),
        "{safeguard:?} is disabled, and the message is: {message}"
    );
}

/// The message of a panic.
fn message(panic: Box<dyn Any + Send>) -> Option<String> {
    let text = panic.downcast_ref::<&str>().map(|s| s.to_string());
    text.or_else(|| panic.downcast::<String>().ok().map(|s| *s))
}
