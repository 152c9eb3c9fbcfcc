//! The operators' policy: a small expression language with a checker.
//!
//! A policy is a list of entries, `name = expression`. Expressions are numbers and truth values,
//! `+ - * /`, comparisons, `and or not`, `if … then … else …`, `min max abs`, and the names of the
//! facts that the entry is evaluated with. There are no loops and nesting is bounded, so
//! evaluation ends. An expression that fails at run time falls back to the built-in one and is
//! logged once.

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

/// What is wrong with a policy, and where.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}:{line}:{column}: {reason}")]
pub struct PolicyError {
    /// The file's name.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
    /// What is wrong there.
    pub reason: String,
}

impl PolicyError {
    /// A fault in a file's text, by line and column.
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

/// Why a policy file could not be loaded.
#[derive(Debug, thiserror::Error)]
pub enum PolicyLoadError {
    /// It could not be read.
    #[error("{file}: {source}")]
    Unreadable {
        /// The file's name.
        file: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// It is no valid policy.
    #[error(transparent)]
    Invalid(#[from] PolicyError),
}

/// The expression in force for an entry.
struct Rule {
    expression: ExpressionNode,
    /// The expression as it was written.
    text: String,
    /// It comes from the operators' file.
    from_file: bool,
    /// It has failed at run time, which has been logged.
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

/// A checked policy, in which every entry has an expression.
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
    /// The built-in policy.
    pub fn built_in() -> Policy {
        Policy::parse(BUILT_IN_NAME, "")
            .unwrap_or_else(|error| unreachable!("built-in policy: {error}"))
    }

    /// The built-in policy with the entries of `text` in place of its own. `file` is what errors
    /// call the text.
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

    /// The built-in policy with the entries of a file in place of its own.
    pub fn load(path: &Path) -> Result<Policy, PolicyLoadError> {
        let file = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| PolicyLoadError::Unreadable {
            file: file.clone(),
            source,
        })?;
        Ok(Policy::parse(&file, &text)?)
    }

    /// What is in force, one entry a line.
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

    /// An entry's value; truth values are 0 or 1.
    fn value(&self, entry: Entry, facts: &[f64]) -> f64 {
        if let Some(rule) = self.rules.get(&entry) {
            let value = evaluate(&rule.expression, facts);
            if value.is_finite() {
                return value;
            }
            if !rule.failed.swap(true, Ordering::Relaxed) {
                tracing::warn!(
                    "policy: `{}` gave {value}; the built-in expression is used instead",
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

    /// The value of a numeric entry on a job.
    pub fn number(&self, entry: Entry, facts: &JobFacts) -> f64 {
        self.value(entry, &facts.values())
    }

    /// The value of a boolean entry on a job.
    pub fn boolean(&self, entry: Entry, facts: &JobFacts) -> bool {
        self.value(entry, &facts.values()) != 0.0
    }

    /// The value of a numeric entry on all machines together.
    pub fn fleet_number(&self, entry: Entry, facts: &FleetFacts) -> f64 {
        self.value(entry, &facts.values())
    }

    /// The value of a boolean entry on all machines together.
    pub fn fleet_boolean(&self, entry: Entry, facts: &FleetFacts) -> bool {
        self.value(entry, &facts.values()) != 0.0
    }

    /// The value of a numeric entry on a machine.
    pub fn machine_number(&self, entry: Entry, facts: &MachineFacts) -> f64 {
        self.value(entry, &facts.values())
    }
}

#[cfg(test)]
mod tests;
