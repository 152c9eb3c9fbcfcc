//! Value types of the policy language.

use std::fmt;

/// Type of an expression.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ValueType {
    Number,
    Boolean,
}

impl fmt::Display for ValueType {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ValueType::Number => "a number",
            ValueType::Boolean => "true or false",
        })
    }
}
