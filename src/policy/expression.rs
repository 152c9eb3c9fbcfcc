//! Syntax tree of expressions.

/// Syntax or type error in a policy's text, with its byte offset.
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

/// Expression with a byte offset in the text, at which errors are reported.
#[derive(Clone, Debug)]
pub(super) struct ExpressionNode {
    pub offset: usize,
    pub expression: Expression,
}

#[derive(Clone, Debug)]
pub(super) enum Expression {
    Number(f64),
    Boolean(bool),
    /// Name of a fact that has not been resolved yet.
    Name(String),
    /// Index of a fact, to which the checker resolves a name.
    Fact(usize),
    Not(Box<ExpressionNode>),
    Negate(Box<ExpressionNode>),
    Binary(BinaryOperator, Box<ExpressionNode>, Box<ExpressionNode>),
    Conditional(Box<Conditional>),
    Call(Function, Vec<ExpressionNode>),
}

/// Conditional expression: `if condition then consequence else alternative`.
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
