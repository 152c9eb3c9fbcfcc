//! Scheduling policy set by operators: a small expression language with a type checker.
//!
//! A policy is a list of entries, `name = expression`. Expressions consist of numbers and booleans,
//! `+ - * /`, comparisons, `and or not`, `if … then … else …`, `min max abs`, and the names of the
//! facts that the entry is evaluated with. The language has no loops and bounds nesting, so
//! evaluation always terminates. If an expression evaluates to a non-finite number, the built-in
//! expression is used instead, and the failure is logged once per expression.

mod checker;
mod entries;
mod evaluator;
mod expression;
mod facts;
mod parser;
mod value_type;

pub use entries::Entry;
pub use facts::{FleetFacts, JobFacts, MachineFacts};

use entries::ENTRIES;
use evaluator::evaluate;
use expression::{ExpressionNode, ParseError};
use parser::{ParsedRule, parse_rules};
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::{fmt, io};

const BUILT_IN: &str = include_str!("policy.default");
const BUILT_IN_NAME: &str = "built-in";

/// Error in a policy, with its position.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}:{column}: {reason}")]
pub struct PolicyError {
    /// Name of the file.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// Description of the error.
    pub reason: String,
}

impl PolicyError {
    /// Converts the byte offset of an error in a file's text to line and column.
    fn locate(file: &str, text: &str, error: ParseError) -> PolicyError {
        let before = &text[..error.offset.min(text.len())];
        let last_line = before.rsplit('\n').next().unwrap_or("");
        PolicyError {
            file: file.to_string(),
            line: before.matches('\n').count() + 1,
            column: last_line.chars().count() + 1,
            reason: error.reason,
        }
    }
}

/// Error when loading a policy file.
#[derive(Debug, thiserror::Error)]
pub enum PolicyLoadError {
    /// The file could not be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// Name of the file.
        file: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file is not a valid policy.
    #[error(transparent)]
    Invalid(#[from] PolicyError),
}

/// Expression in effect for an entry.
struct Rule {
    expression: ExpressionNode,
    /// Source text of the expression.
    text: String,
    /// Whether the expression comes from the operators' file rather than from the built-in policy.
    from_file: bool,
    /// Whether a failure of the expression at run time has been logged.
    failed: AtomicBool,
}

impl Rule {
    fn new(parsed: ParsedRule, from_file: bool) -> Rule {
        Rule {
            expression: parsed.expression,
            text: parsed.text,
            from_file,
            failed: AtomicBool::new(false),
        }
    }
}

/// Checked policy, in which every entry has an expression.
pub struct Policy {
    rules: BTreeMap<Entry, Rule>,
    built_in: BTreeMap<Entry, ExpressionNode>,
}

impl fmt::Debug for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.describe())
    }
}

impl Policy {
    /// Returns the built-in policy.
    pub fn built_in() -> Policy {
        Policy::parse(BUILT_IN_NAME, "")
            .unwrap_or_else(|error| unreachable!("the built-in policy is invalid: {error}"))
    }

    /// Returns the built-in policy overridden by the entries of `text`. Errors name `file` as their
    /// source.
    pub fn parse(file: &str, text: &str) -> Result<Policy, PolicyError> {
        let defaults = parse_rules(BUILT_IN)
            .map_err(|error| PolicyError::locate(BUILT_IN_NAME, BUILT_IN, error))?;
        let overrides =
            parse_rules(text).map_err(|error| PolicyError::locate(file, text, error))?;
        let mut rules = BTreeMap::new();
        let mut built_in = BTreeMap::new();
        for rule in defaults {
            built_in.insert(rule.entry, rule.expression.clone());
            rules.insert(rule.entry, Rule::new(rule, false));
        }
        for rule in overrides {
            rules.insert(rule.entry, Rule::new(rule, true));
        }
        Ok(Policy { rules, built_in })
    }

    /// Returns the built-in policy overridden by the entries of a file.
    pub fn load(path: &Path) -> Result<Policy, PolicyLoadError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| PolicyLoadError::Unreadable {
            file: file.clone(),
            source,
        })?;
        Ok(Policy::parse(&file, &text)?)
    }

    /// Describes the expressions in effect, with the origin of each and the facts that it may use.
    pub fn describe(&self) -> String {
        let mut description = String::new();
        for info in &ENTRIES {
            let Some(rule) = self.rules.get(&info.entry) else {
                continue;
            };
            let origin = if rule.from_file {
                "file"
            } else {
                BUILT_IN_NAME
            };
            let facts: Vec<&str> = info.subject.facts().iter().map(|f| f.name).collect();
            description.push_str(&format!(
                "{} = {}\n    [{origin}; may use {}]\n",
                info.name,
                rule.text,
                facts.join(", ")
            ));
        }
        description
    }

    /// Returns an entry's value; booleans are 0 or 1.
    fn value(&self, entry: Entry, facts: &[f64]) -> f64 {
        if let Some(rule) = self.rules.get(&entry) {
            let value = evaluate(&rule.expression, facts);
            if value.is_finite() {
                return value;
            }
            if !rule.failed.swap(true, Ordering::Relaxed) {
                tracing::warn!(
                    "policy: `{}` evaluated to {value}; using the built-in expression instead",
                    rule.text
                );
            }
        }
        let built_in = self.built_in.get(&entry);
        match built_in.map(|expression| evaluate(expression, facts)) {
            Some(value) if value.is_finite() => value,
            _ => 0.0,
        }
    }

    /// Returns the value of a numeric entry for a job.
    pub fn number(&self, entry: Entry, facts: &JobFacts) -> f64 {
        self.value(entry, &facts.values())
    }

    /// Returns the value of a boolean entry for a job.
    pub fn boolean(&self, entry: Entry, facts: &JobFacts) -> bool {
        self.value(entry, &facts.values()) != 0.0
    }

    /// Returns the value of a numeric entry for all machines together.
    pub fn fleet_number(&self, entry: Entry, facts: &FleetFacts) -> f64 {
        self.value(entry, &facts.values())
    }

    /// Returns the value of a boolean entry for all machines together.
    pub fn fleet_boolean(&self, entry: Entry, facts: &FleetFacts) -> bool {
        self.value(entry, &facts.values()) != 0.0
    }

    /// Returns the value of a numeric entry for a machine.
    pub fn machine_number(&self, entry: Entry, facts: &MachineFacts) -> f64 {
        self.value(entry, &facts.values())
    }
}

#[cfg(test)]
mod tests;
