//! Expressions as syntax trees.

/// What is wrong with a text, and at which byte.
#[derive(Debug)]
pub(super) struct ParseError {
    pub offset: usize,
    pub reason: String,
}

impl ParseError {
    pub fn new(offset: usize, reason: impl Into<String>) -> ParseError {
        ParseError {
            offset,
            reason: reason.into(),
        }
    }
}

/// An expression, and at which byte of the text it begins.
#[derive(Clone, Debug)]
pub(super) struct ExpressionNode {
    pub offset: usize,
    pub expression: Expression,
}

#[derive(Clone, Debug)]
pub(super) enum Expression {
    Number(f64),
    Boolean(bool),
    /// The name of a fact, not resolved yet.
    Name(String),
    /// A fact, by its index; the checker resolves names to these.
    Fact(usize),
    Not(Box<ExpressionNode>),
    Negate(Box<ExpressionNode>),
    Binary(BinaryOperator, Box<ExpressionNode>, Box<ExpressionNode>),
    Conditional(Box<Conditional>),
    Call(Function, Vec<ExpressionNode>),
}

/// `if condition then consequence else alternative`.
#[derive(Clone, Debug)]
pub(super) struct Conditional {
    pub condition: ExpressionNode,
    pub consequence: ExpressionNode,
    pub alternative: ExpressionNode,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum BinaryOperator {
    Add,
    Subtract,
    Multiply,
    Divide,
    Less,
    LessOrEqual,
    Greater,
    GreaterOrEqual,
    Equal,
    NotEqual,
    And,
    Or,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Function {
    Min,
    Max,
    Abs,
}
