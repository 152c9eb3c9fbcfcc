//! The operators' own settings: a small expression language with a checker.
//!
//! A policy is a list of entries, `name = expression`. Expressions are numbers and truth values,
//! `+ - * /`, comparisons, `and or not`, `if … then … else …`, `min max abs`, and the names that
//! the entry is asked with. There are no loops and nesting is bounded, so evaluation ends.
//! An expression that fails at run time falls back to the built-in one and is logged once.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::atomic::{AtomicBool, Ordering};
use winnow::ascii::{digit1, multispace1};
use winnow::combinator::{alt, opt, repeat};
use winnow::prelude::*;
use winnow::stream::{LocatingSlice, Location};
use winnow::token::{take_till, take_while};

const BUILT_IN: &str = include_str!("policy.default");
const MAX_NESTING: u32 = 40;
const MAX_FILE_BYTES: usize = 64 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ValueType {
    Number,
    Boolean,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Subject {
    Job,
    Machine,
    Fleet,
}

/// The entries of a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Entry {
    PriorityWeight,
    QueueOrder,
    MaxWait,
    MaxSpotWait,
    MaxPriceRatio,
    MayPreempt,
    Overdue,
    ObjectiveWeight,
    TimeValue,
    IdleTimeout,
    Bidding,
    ForecastHorizon,
    ZoneTolerance,
    DelegateWorkers,
}

const ENTRIES: [(Entry, &str, ValueType, Subject); 14] = [
    (
        Entry::PriorityWeight,
        "merit",
        ValueType::Number,
        Subject::Job,
    ),
    (Entry::QueueOrder, "order", ValueType::Number, Subject::Job),
    (Entry::MaxWait, "patience", ValueType::Number, Subject::Job),
    (
        Entry::MaxSpotWait,
        "spot_patience",
        ValueType::Number,
        Subject::Job,
    ),
    (
        Entry::MaxPriceRatio,
        "dearest",
        ValueType::Number,
        Subject::Job,
    ),
    (
        Entry::MayPreempt,
        "preempt",
        ValueType::Boolean,
        Subject::Job,
    ),
    (Entry::Overdue, "overdue", ValueType::Boolean, Subject::Job),
    (
        Entry::ObjectiveWeight,
        "worth",
        ValueType::Number,
        Subject::Job,
    ),
    (Entry::TimeValue, "haste", ValueType::Number, Subject::Job),
    (
        Entry::IdleTimeout,
        "idle_keep",
        ValueType::Number,
        Subject::Machine,
    ),
    (
        Entry::Bidding,
        "bidding",
        ValueType::Boolean,
        Subject::Fleet,
    ),
    (
        Entry::ForecastHorizon,
        "foresight",
        ValueType::Number,
        Subject::Fleet,
    ),
    (
        Entry::ZoneTolerance,
        "tolerance",
        ValueType::Number,
        Subject::Fleet,
    ),
    (
        Entry::DelegateWorkers,
        "delegate",
        ValueType::Boolean,
        Subject::Fleet,
    ),
];

const JOB_NAMES: [(&str, ValueType); 19] = [
    ("wait", ValueType::Number),
    ("estimate", ValueType::Number),
    ("tasks", ValueType::Number),
    ("waiting", ValueType::Number),
    ("submitted", ValueType::Number),
    ("cpus", ValueType::Number),
    ("gpus", ValueType::Number),
    ("ram", ValueType::Number),
    ("image_gb", ValueType::Number),
    ("rank", ValueType::Number),
    ("guaranteed", ValueType::Boolean),
    ("start_goal", ValueType::Number),
    ("finish_goal", ValueType::Number),
    ("has_deadline", ValueType::Boolean),
    ("deadline_left", ValueType::Number),
    ("spot", ValueType::Boolean),
    ("slack", ValueType::Number),
    ("pipeline", ValueType::Boolean),
    ("begun", ValueType::Boolean),
];

const MACHINE_NAMES: [(&str, ValueType); 7] = [
    ("spot", ValueType::Boolean),
    ("price", ValueType::Number),
    ("cpus", ValueType::Number),
    ("ram", ValueType::Number),
    ("age", ValueType::Number),
    ("boot", ValueType::Number),
    ("pause", ValueType::Number),
];

const FLEET_NAMES: [(&str, ValueType); 3] = [
    ("machines", ValueType::Number),
    ("zones", ValueType::Number),
    ("pause", ValueType::Number),
];

fn names(about: Subject) -> &'static [(&'static str, ValueType)] {
    match about {
        Subject::Job => &JOB_NAMES,
        Subject::Machine => &MACHINE_NAMES,
        Subject::Fleet => &FLEET_NAMES,
    }
}

/// What a job's expressions are asked with, in the order of the names.
#[derive(Clone, Copy, Debug, Default)]
pub struct JobFacts {
    pub wait: f64,
    pub estimate: f64,
    pub tasks: f64,
    pub waiting: f64,
    pub submitted: f64,
    pub cpus: f64,
    pub gpus: f64,
    pub ram: f64,
    pub image_gb: f64,
    pub rank: f64,
    pub guaranteed: bool,
    pub start_goal: f64,
    pub finish_goal: f64,
    pub has_deadline: bool,
    /// Until it should be done, so that all that needs it can be done by its deadline.
    pub deadline_left: f64,
    pub spot: bool,
    /// What is left of that when it has run; a million without a deadline.
    pub slack: f64,
    /// It awaits others, or others await it.
    pub pipeline: bool,
    /// Something of it is done, or on a machine.
    pub begun: bool,
}

impl JobFacts {
    fn values(&self) -> [f64; JOB_NAMES.len()] {
        let t = |b: bool| f64::from(u8::from(b));
        [
            self.wait,
            self.estimate,
            self.tasks,
            self.waiting,
            self.submitted,
            self.cpus,
            self.gpus,
            self.ram,
            self.image_gb,
            self.rank,
            t(self.guaranteed),
            self.start_goal,
            self.finish_goal,
            t(self.has_deadline),
            self.deadline_left,
            t(self.spot),
            self.slack,
            t(self.pipeline),
            t(self.begun),
        ]
    }
}

#[derive(Clone, Copy, Debug, Default)]
pub struct MachineFacts {
    pub spot: bool,
    pub price: f64,
    pub cpus: f64,
    pub ram: f64,
    pub age: f64,
    pub boot: f64,
    /// Mean time between the arrivals of jobs.
    pub pause: f64,
}

impl MachineFacts {
    fn values(&self) -> [f64; MACHINE_NAMES.len()] {
        [
            f64::from(u8::from(self.spot)),
            self.price,
            self.cpus,
            self.ram,
            self.age,
            self.boot,
            self.pause,
        ]
    }
}

/// What entries on the fleet as a whole are asked with.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetFacts {
    pub machines: f64,
    pub zones: f64,
    /// Mean time between the arrivals of jobs.
    pub pause: f64,
}

impl FleetFacts {
    fn values(&self) -> [f64; FLEET_NAMES.len()] {
        [self.machines, self.zones, self.pause]
    }
}

#[derive(Clone, Debug)]
struct ExpressionNode {
    at: usize,
    expression: Expression,
}

#[derive(Clone, Debug)]
enum Expression {
    Number(f64),
    Boolean(bool),
    Name(String),
    /// A name, resolved by the checker to its place among the facts.
    Fact(usize),
    Not(Box<ExpressionNode>),
    Negate(Box<ExpressionNode>),
    Binary(BinaryOperator, Box<ExpressionNode>, Box<ExpressionNode>),
    If(
        Box<ExpressionNode>,
        Box<ExpressionNode>,
        Box<ExpressionNode>,
    ),
    Call(Function, Vec<ExpressionNode>),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BinaryOperator {
    Add,
    Sub,
    Mul,
    Div,
    Less,
    LessEq,
    More,
    MoreEq,
    Equal,
    Unequal,
    And,
    Or,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Function {
    Min,
    Max,
    Abs,
}

/// What is wrong with a policy, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PolicyError {
    pub file: String,
    pub line: usize,
    pub column: usize,
    pub reason: String,
}

impl fmt::Display for PolicyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}:{}:{}: {}",
            self.file, self.line, self.column, self.reason
        )
    }
}

impl std::error::Error for PolicyError {}

type Input<'a> = LocatingSlice<&'a str>;
type SyntaxFault = (usize, String);

struct PolicyParser<'a> {
    input: Input<'a>,
    nesting: u32,
}

fn blank(input: &mut Input<'_>) -> winnow::ModalResult<()> {
    let comment = ('#', take_till(0.., '\n')).void();
    repeat::<_, _, (), _, _>(0.., alt((multispace1.void(), comment))).parse_next(input)
}

fn word<'a>(input: &mut Input<'a>) -> winnow::ModalResult<&'a str> {
    (
        take_while(1, |c: char| c.is_ascii_alphabetic() || c == '_'),
        take_while(0.., |c: char| c.is_ascii_alphanumeric() || c == '_'),
    )
        .take()
        .parse_next(input)
}

fn number(input: &mut Input<'_>) -> winnow::ModalResult<f64> {
    (digit1, opt(('.', digit1)))
        .take()
        .parse_to()
        .parse_next(input)
}

impl<'a> PolicyParser<'a> {
    fn skip(&mut self) {
        // Blank space may always be empty, so this cannot fail.
        let _ = blank(&mut self.input);
    }

    fn at(&mut self) -> usize {
        self.skip();
        self.input.current_token_start()
    }

    fn symbol(&mut self, mut s: &'static str) -> bool {
        self.skip();
        let r: winnow::ModalResult<&str> = s.parse_next(&mut self.input);
        r.is_ok()
    }

    fn word(&mut self) -> Option<&'a str> {
        self.skip();
        opt(word).parse_next(&mut self.input).ok().flatten()
    }

    fn peek_word(&mut self) -> Option<&'a str> {
        let saved = self.input;
        let w = self.word();
        self.input = saved;
        w
    }

    fn keyword(&mut self, k: &str) -> bool {
        if self.peek_word() == Some(k) {
            self.word();
            return true;
        }
        false
    }

    fn fail<T>(&mut self, reason: &str) -> Result<T, SyntaxFault> {
        Err((self.at(), reason.to_string()))
    }

    fn expression(&mut self) -> Result<ExpressionNode, SyntaxFault> {
        self.nesting += 1;
        if self.nesting > MAX_NESTING {
            return self.fail("nested too deeply");
        }
        let at = self.at();
        let node = if self.keyword("if") {
            let cond = self.expression()?;
            if !self.keyword("then") {
                return self.fail("expected `then`");
            }
            let yes = self.expression()?;
            if !self.keyword("else") {
                return self.fail("expected `else`");
            }
            let no = self.expression()?;
            ExpressionNode {
                at,
                expression: Expression::If(Box::new(cond), Box::new(yes), Box::new(no)),
            }
        } else {
            self.level(0)?
        };
        self.nesting -= 1;
        Ok(node)
    }

    /// Binary operators, loosest first.
    fn level(&mut self, level: usize) -> Result<ExpressionNode, SyntaxFault> {
        const LEVELS: [&[(&str, BinaryOperator)]; 5] = [
            &[("or", BinaryOperator::Or)],
            &[("and", BinaryOperator::And)],
            &[
                ("<=", BinaryOperator::LessEq),
                (">=", BinaryOperator::MoreEq),
                ("==", BinaryOperator::Equal),
                ("!=", BinaryOperator::Unequal),
                ("<", BinaryOperator::Less),
                (">", BinaryOperator::More),
            ],
            &[("+", BinaryOperator::Add), ("-", BinaryOperator::Sub)],
            &[("*", BinaryOperator::Mul), ("/", BinaryOperator::Div)],
        ];
        let Some(ops) = LEVELS.get(level) else {
            return self.unary();
        };
        let mut left = self.level(level + 1)?;
        let mut length = 0;
        'more: loop {
            let at = self.at();
            for (text, op) in *ops {
                let found = if text.as_bytes()[0].is_ascii_alphabetic() {
                    self.keyword(text)
                } else {
                    self.symbol(text)
                };
                if found {
                    length += 1;
                    if length > 100 {
                        return self.fail("too long");
                    }
                    let right = self.level(level + 1)?;
                    left = ExpressionNode {
                        at,
                        expression: Expression::Binary(*op, Box::new(left), Box::new(right)),
                    };
                    continue 'more;
                }
            }
            return Ok(left);
        }
    }

    fn unary(&mut self) -> Result<ExpressionNode, SyntaxFault> {
        let at = self.at();
        let wrap: Option<fn(Box<ExpressionNode>) -> Expression> = if self.keyword("not") {
            Some(Expression::Not)
        } else if self.symbol("-") {
            Some(Expression::Negate)
        } else {
            None
        };
        if let Some(wrap) = wrap {
            self.nesting += 1;
            if self.nesting > MAX_NESTING {
                return self.fail("nested too deeply");
            }
            let inner = self.unary()?;
            self.nesting -= 1;
            return Ok(ExpressionNode {
                at,
                expression: wrap(Box::new(inner)),
            });
        }
        self.atom()
    }

    fn atom(&mut self) -> Result<ExpressionNode, SyntaxFault> {
        let at = self.at();
        let node = |expression| Ok(ExpressionNode { at, expression });
        if self.symbol("(") {
            let inner = self.expression()?;
            if !self.symbol(")") {
                return self.fail("expected `)`");
            }
            return Ok(inner);
        }
        if let Ok(Some(n)) = opt(number).parse_next(&mut self.input) {
            return node(Expression::Number(n));
        }
        let function = match self.word() {
            None => return self.fail("expected a number, a name or `(`"),
            Some("true") => return node(Expression::Boolean(true)),
            Some("false") => return node(Expression::Boolean(false)),
            Some("min") => Function::Min,
            Some("max") => Function::Max,
            Some("abs") => Function::Abs,
            Some(k @ ("if" | "then" | "else" | "and" | "or" | "not")) => {
                return Err((at, format!("`{k}` is out of place")));
            }
            Some(name) => return node(Expression::Name(name.to_string())),
        };
        if !self.symbol("(") {
            return self.fail("expected `(`");
        }
        let mut args = vec![self.expression()?];
        while self.symbol(",") {
            args.push(self.expression()?);
        }
        if !self.symbol(")") {
            return self.fail("expected `,` or `)`");
        }
        node(Expression::Call(function, args))
    }
}

/// Resolves names and finds the type, or says what does not fit.
fn check_types(node: &mut ExpressionNode, about: Subject) -> Result<ValueType, SyntaxFault> {
    let at = node.at;
    let expect = |node: &mut ExpressionNode, want: ValueType| -> Result<(), SyntaxFault> {
        let got = check_types(node, about)?;
        let name = |t| match t {
            ValueType::Number => "a number",
            ValueType::Boolean => "true or false",
        };
        if got == want {
            Ok(())
        } else {
            Err((
                node.at,
                format!("this is {}, but {} is needed", name(got), name(want)),
            ))
        }
    };
    match &mut node.expression {
        Expression::Number(_) => Ok(ValueType::Number),
        Expression::Boolean(_) => Ok(ValueType::Boolean),
        Expression::Fact(i) => Ok(names(about)[*i].1),
        Expression::Name(name) => {
            let known = names(about);
            let Some(i) = known.iter().position(|(n, _)| n == name) else {
                let list: Vec<&str> = known.iter().map(|(n, _)| *n).collect();
                return Err((
                    at,
                    format!("unknown name `{name}`; known here: {}", list.join(", ")),
                ));
            };
            node.expression = Expression::Fact(i);
            Ok(known[i].1)
        }
        Expression::Not(x) => expect(x, ValueType::Boolean).map(|()| ValueType::Boolean),
        Expression::Negate(x) => expect(x, ValueType::Number).map(|()| ValueType::Number),
        Expression::Binary(op, a, b) => {
            let (from, to) = match op {
                BinaryOperator::Add
                | BinaryOperator::Sub
                | BinaryOperator::Mul
                | BinaryOperator::Div => (ValueType::Number, ValueType::Number),
                BinaryOperator::And | BinaryOperator::Or => {
                    (ValueType::Boolean, ValueType::Boolean)
                }
                _ => (ValueType::Number, ValueType::Boolean),
            };
            expect(a, from)?;
            expect(b, from)?;
            Ok(to)
        }
        Expression::If(cond, yes, no) => {
            expect(cond, ValueType::Boolean)?;
            let t = check_types(yes, about)?;
            expect(no, t)?;
            Ok(t)
        }
        Expression::Call(function, args) => {
            let fits = match function {
                Function::Abs => args.len() == 1,
                Function::Min | Function::Max => args.len() >= 2,
            };
            if !fits {
                return Err((at, "wrong number of arguments".into()));
            }
            for a in args {
                expect(a, ValueType::Number)?;
            }
            Ok(ValueType::Number)
        }
    }
}

fn evaluate(node: &ExpressionNode, facts: &[f64]) -> f64 {
    let truth = |b: bool| f64::from(u8::from(b));
    match &node.expression {
        Expression::Number(n) => *n,
        Expression::Boolean(b) => truth(*b),
        // The checker leaves no name unresolved.
        Expression::Name(_) => f64::NAN,
        Expression::Fact(i) => facts.get(*i).copied().unwrap_or(f64::NAN),
        Expression::Not(x) => truth(evaluate(x, facts) == 0.0),
        Expression::Negate(x) => -evaluate(x, facts),
        Expression::If(c, y, n) => {
            if evaluate(c, facts) != 0.0 {
                evaluate(y, facts)
            } else {
                evaluate(n, facts)
            }
        }
        Expression::Call(f, args) => {
            let mut values = args.iter().map(|a| evaluate(a, facts));
            let first = values.next().unwrap_or(f64::NAN);
            match f {
                Function::Abs => first.abs(),
                Function::Min => values.fold(first, |a, b| if b < a || b.is_nan() { b } else { a }),
                Function::Max => values.fold(first, |a, b| if b > a || b.is_nan() { b } else { a }),
            }
        }
        Expression::Binary(op, a, b) => {
            let (x, y) = (evaluate(a, facts), evaluate(b, facts));
            match op {
                BinaryOperator::Add => x + y,
                BinaryOperator::Sub => x - y,
                BinaryOperator::Mul => x * y,
                BinaryOperator::Div => x / y,
                BinaryOperator::Less => truth(x < y),
                BinaryOperator::LessEq => truth(x <= y),
                BinaryOperator::More => truth(x > y),
                BinaryOperator::MoreEq => truth(x >= y),
                BinaryOperator::Equal => truth(x == y),
                BinaryOperator::Unequal => truth(x != y),
                BinaryOperator::And => truth(x != 0.0 && y != 0.0),
                BinaryOperator::Or => truth(x != 0.0 || y != 0.0),
            }
        }
    }
}

struct Rule {
    node: ExpressionNode,
    text: String,
    own: bool,
    failed: AtomicBool,
}

pub struct Policy {
    rules: BTreeMap<Entry, Rule>,
    built_in: BTreeMap<Entry, ExpressionNode>,
}

impl fmt::Debug for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.describe())
    }
}

fn locate(file: &str, text: &str, (at, reason): SyntaxFault) -> PolicyError {
    let before = &text[..at.min(text.len())];
    let line = before.matches('\n').count() + 1;
    let column = before.rsplit('\n').next().unwrap_or("").chars().count() + 1;
    PolicyError {
        file: file.to_string(),
        line,
        column,
        reason,
    }
}

fn parse(text: &str) -> Result<Vec<(Entry, ExpressionNode, String)>, SyntaxFault> {
    if text.len() > MAX_FILE_BYTES {
        return Err((MAX_FILE_BYTES, "the file is too large".into()));
    }
    let mut p = PolicyParser {
        input: LocatingSlice::new(text),
        nesting: 0,
    };
    let mut out: Vec<(Entry, ExpressionNode, String)> = Vec::new();
    loop {
        let at = p.at();
        if at >= text.len() {
            return Ok(out);
        }
        let Some(name) = p.word() else {
            return Err((at, "expected the name of an entry".into()));
        };
        let Some((entry, _, wanted, about)) = ENTRIES.iter().find(|e| e.1 == name) else {
            let list: Vec<&str> = ENTRIES.iter().map(|e| e.1).collect();
            let reason = format!("unknown entry `{name}`; known: {}", list.join(", "));
            return Err((at, reason));
        };
        if out.iter().any(|(e, _, _)| e == entry) {
            return Err((at, format!("`{name}` is set twice")));
        }
        if !p.symbol("=") {
            return p.fail("expected `=`");
        }
        let from = p.at();
        let mut node = p.expression()?;
        let got = check_types(&mut node, *about)?;
        if got != *wanted {
            let need = match wanted {
                ValueType::Number => "a number",
                ValueType::Boolean => "true or false",
            };
            return Err((from, format!("`{name}` must be {need}")));
        }
        let to = p.input.current_token_start();
        let source: Vec<&str> = text[from..to]
            .lines()
            .map(|l| l.split('#').next().unwrap_or("").trim())
            .filter(|l| !l.is_empty())
            .collect();
        out.push((*entry, node, source.join(" ")));
    }
}

impl Policy {
    /// The built-in policy.
    pub fn built_in() -> Policy {
        Policy::with("built-in", "").unwrap_or_else(|e| unreachable!("built-in policy: {e}"))
    }

    /// The built-in policy with the entries of `text` in place of its own.
    pub fn with(file: &str, text: &str) -> Result<Policy, PolicyError> {
        let base = parse(BUILT_IN).map_err(|f| locate("built-in", BUILT_IN, f))?;
        let own = parse(text).map_err(|f| locate(file, text, f))?;
        let mut rules = BTreeMap::new();
        let mut built_in = BTreeMap::new();
        for (list, is_own) in [(base, false), (own, true)] {
            for (entry, node, text) in list {
                if !is_own {
                    built_in.insert(entry, node.clone());
                }
                let failed = AtomicBool::new(false);
                rules.insert(
                    entry,
                    Rule {
                        node,
                        text,
                        own: is_own,
                        failed,
                    },
                );
            }
        }
        Ok(Policy { rules, built_in })
    }

    pub fn load(path: &std::path::Path) -> Result<Policy, String> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
        Policy::with(&name, &text).map_err(|e| e.to_string())
    }

    /// What is in force, one entry a line.
    pub fn describe(&self) -> String {
        let mut out = String::new();
        for (entry, name, _, about) in ENTRIES {
            let Some(rule) = self.rules.get(&entry) else {
                continue;
            };
            let from = if rule.own { "file" } else { "built-in" };
            let known: Vec<&str> = names(about).iter().map(|(n, _)| *n).collect();
            out.push_str(&format!(
                "{name} = {}\n    [{from}; may use {}]\n",
                rule.text,
                known.join(", ")
            ));
        }
        out
    }

    fn value(&self, entry: Entry, facts: &[f64]) -> f64 {
        if let Some(rule) = self.rules.get(&entry) {
            let x = evaluate(&rule.node, facts);
            if x.is_finite() {
                return x;
            }
            if !rule.failed.swap(true, Ordering::Relaxed) {
                tracing::warn!(
                    "policy: `{}` gave {x}; the built-in expression is used instead",
                    rule.text
                );
            }
        }
        match self.built_in.get(&entry).map(|n| evaluate(n, facts)) {
            Some(x) if x.is_finite() => x,
            _ => 0.0,
        }
    }

    pub fn number(&self, entry: Entry, facts: &JobFacts) -> f64 {
        self.value(entry, &facts.values())
    }

    pub fn truth(&self, entry: Entry, facts: &JobFacts) -> bool {
        self.value(entry, &facts.values()) != 0.0
    }

    pub fn fleet_number(&self, entry: Entry, facts: &FleetFacts) -> f64 {
        self.value(entry, &facts.values())
    }

    pub fn fleet_truth(&self, entry: Entry, facts: &FleetFacts) -> bool {
        self.value(entry, &facts.values()) != 0.0
    }

    pub fn machine_number(&self, entry: Entry, facts: &MachineFacts) -> f64 {
        self.value(entry, &facts.values())
    }
}

#[cfg(test)]
mod tests;
