//! Parser: converts a policy's text to checked entries.

use crate::policy::checker::check;
use crate::policy::entries::{ENTRIES, Entry, EntryInfo};
use crate::policy::expression::{
    BinaryOperator, Conditional, Expression, ExpressionNode, Function, ParseError,
};
use winnow::ascii::{digit1, multispace1};
use winnow::combinator::{alt, opt, repeat};
use winnow::prelude::*;
use winnow::stream::{LocatingSlice, Location};
use winnow::token::{take_till, take_while};

/// Maximum nesting of expressions, which bounds the recursion of parser, checker and evaluator.
const MAX_NESTING: u32 = 40;
/// Maximum number of operators of one precedence in a chain; each of them adds a level to the syntax
/// tree.
const MAX_CHAINED_OPERATORS: u32 = 100;
/// Maximum size of a policy file, in bytes.
const MAX_FILE_BYTES: usize = 64 * 1024;

/// Binary operators by precedence, the lowest first. An operator precedes any other that is a prefix
/// of it, as the first match is taken.
const OPERATORS: [&[(&str, BinaryOperator)]; 5] = [
    &[("or", BinaryOperator::Or)],
    &[("and", BinaryOperator::And)],
    &[
        ("<=", BinaryOperator::LessOrEqual),
        (">=", BinaryOperator::GreaterOrEqual),
        ("==", BinaryOperator::Equal),
        ("!=", BinaryOperator::NotEqual),
        ("<", BinaryOperator::Less),
        (">", BinaryOperator::Greater),
    ],
    &[("+", BinaryOperator::Add), ("-", BinaryOperator::Subtract)],
    &[
        ("*", BinaryOperator::Multiply),
        ("/", BinaryOperator::Divide),
    ],
];

/// Entry with its checked expression.
pub(super) struct ParsedRule {
    pub entry: Entry,
    pub expression: ExpressionNode,
    /// Source text of the expression, on one line and without comments.
    pub text: String,
}

/// Parses and checks the text of a policy.
pub(super) fn parse_rules(text: &str) -> Result<Vec<ParsedRule>, ParseError> {
    if text.len() > MAX_FILE_BYTES {
        let reason = format!("the file is larger than {MAX_FILE_BYTES} bytes");
        return Err(ParseError::new(MAX_FILE_BYTES, reason));
    }
    let mut parser = PolicyParser {
        input: LocatingSlice::new(text),
        nesting: 0,
    };
    let mut rules: Vec<ParsedRule> = Vec::new();
    while parser.next_offset() < text.len() {
        let rule = parser.rule(text, &rules)?;
        rules.push(rule);
    }
    Ok(rules)
}

type Input<'a> = LocatingSlice<&'a str>;

fn skip_whitespace_and_comments(input: &mut Input<'_>) -> winnow::ModalResult<()> {
    let comment = ('#', take_till(0.., '\n')).void();
    repeat::<_, _, (), _, _>(0.., alt((multispace1.void(), comment))).parse_next(input)
}

fn identifier<'a>(input: &mut Input<'a>) -> winnow::ModalResult<&'a str> {
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

struct PolicyParser<'a> {
    input: Input<'a>,
    /// Nesting depth at the current position.
    nesting: u32,
}

impl<'a> PolicyParser<'a> {
    fn skip_blanks(&mut self) {
        // The parser also accepts empty input, so it cannot fail.
        let _ = skip_whitespace_and_comments(&mut self.input);
    }

    /// Skips whitespace and comments and returns the offset of the next token.
    fn next_offset(&mut self) -> usize {
        self.skip_blanks();
        self.input.current_token_start()
    }

    /// Consumes a symbol if it comes next, and returns whether it did.
    fn symbol(&mut self, mut symbol: &'static str) -> bool {
        self.skip_blanks();
        let parsed: winnow::ModalResult<&str> = symbol.parse_next(&mut self.input);
        parsed.is_ok()
    }

    /// Consumes and returns an identifier if one comes next.
    fn identifier(&mut self) -> Option<&'a str> {
        self.skip_blanks();
        let parsed = opt(identifier).parse_next(&mut self.input);
        parsed.ok().flatten()
    }

    /// Consumes a keyword if it comes next, and returns whether it did.
    fn keyword(&mut self, keyword: &str) -> bool {
        let start = self.input;
        if self.identifier() == Some(keyword) {
            return true;
        }
        self.input = start;
        false
    }

    /// Returns an error at the next token.
    fn fail<T>(&mut self, reason: &str) -> Result<T, ParseError> {
        Err(ParseError::new(self.next_offset(), reason))
    }

    fn expect_keyword(&mut self, keyword: &str) -> Result<(), ParseError> {
        if self.keyword(keyword) {
            return Ok(());
        }
        self.fail(&format!("expected `{keyword}`"))
    }

    fn expect_symbol(&mut self, symbol: &'static str) -> Result<(), ParseError> {
        if self.symbol(symbol) {
            return Ok(());
        }
        self.fail(&format!("expected `{symbol}`"))
    }

    /// Increments the nesting depth, or fails if it exceeds the maximum.
    fn enter_nesting(&mut self) -> Result<(), ParseError> {
        self.nesting += 1;
        if self.nesting > MAX_NESTING {
            return self.fail("nested too deeply");
        }
        Ok(())
    }

    /// Parses `name = expression`, with a name that is not among `preceding`.
    fn rule(&mut self, text: &str, preceding: &[ParsedRule]) -> Result<ParsedRule, ParseError> {
        let NamedEntry { info, offset } = self.entry()?;
        if preceding.iter().any(|rule| rule.entry == info.entry) {
            let reason = format!("`{}` is set twice", info.name);
            return Err(ParseError::new(offset, reason));
        }
        self.expect_symbol("=")?;
        let start = self.next_offset();
        let mut expression = self.expression()?;
        let value_type = check(&mut expression, info.subject)?;
        if value_type != info.value_type {
            let reason = format!("`{}` must be {}", info.name, info.value_type);
            return Err(ParseError::new(start, reason));
        }
        let end = self.input.current_token_start();
        Ok(ParsedRule {
            entry: info.entry,
            expression,
            text: single_line(&text[start..end]),
        })
    }

    /// Parses the name of an entry.
    fn entry(&mut self) -> Result<NamedEntry, ParseError> {
        let offset = self.next_offset();
        let Some(name) = self.identifier() else {
            return Err(ParseError::new(offset, "expected the name of an entry"));
        };
        let info = ENTRIES.iter().find(|info| info.name == name);
        let info = info.ok_or_else(|| {
            let known: Vec<&str> = ENTRIES.iter().map(|info| info.name).collect();
            let reason = format!("unknown entry `{name}`; known: {}", known.join(", "));
            ParseError::new(offset, reason)
        })?;
        Ok(NamedEntry { info, offset })
    }

    fn expression(&mut self) -> Result<ExpressionNode, ParseError> {
        self.enter_nesting()?;
        let offset = self.next_offset();
        let node = if self.keyword("if") {
            self.conditional(offset)?
        } else {
            self.binary(0)?
        };
        self.nesting -= 1;
        Ok(node)
    }

    /// Parses the part of a conditional after `if`.
    fn conditional(&mut self, offset: usize) -> Result<ExpressionNode, ParseError> {
        let condition = self.expression()?;
        self.expect_keyword("then")?;
        let consequence = self.expression()?;
        self.expect_keyword("else")?;
        let alternative = self.expression()?;
        let conditional = Conditional {
            condition,
            consequence,
            alternative,
        };
        Ok(ExpressionNode {
            offset,
            expression: Expression::Conditional(Box::new(conditional)),
        })
    }

    /// Parses a left-associative chain of operators of this precedence.
    fn binary(&mut self, precedence: usize) -> Result<ExpressionNode, ParseError> {
        let Some(operators) = OPERATORS.get(precedence) else {
            return self.unary();
        };
        let mut left = self.binary(precedence + 1)?;
        let mut length = 0;
        loop {
            let offset = self.next_offset();
            let Some(operator) = self.operator(operators) else {
                return Ok(left);
            };
            length += 1;
            if length > MAX_CHAINED_OPERATORS {
                return self.fail(&format!(
                    "more than {MAX_CHAINED_OPERATORS} operators in a row"
                ));
            }
            let right = self.binary(precedence + 1)?;
            left = ExpressionNode {
                offset,
                expression: Expression::Binary(operator, Box::new(left), Box::new(right)),
            };
        }
    }

    /// Consumes and returns one of these operators if it comes next.
    fn operator(&mut self, operators: &[(&'static str, BinaryOperator)]) -> Option<BinaryOperator> {
        let mut operators = operators.iter();
        let found = operators.find(|(text, _)| {
            if text.starts_with(|c: char| c.is_ascii_alphabetic()) {
                self.keyword(text)
            } else {
                self.symbol(text)
            }
        });
        found.map(|(_, operator)| *operator)
    }

    fn unary(&mut self) -> Result<ExpressionNode, ParseError> {
        let offset = self.next_offset();
        let operator: fn(Box<ExpressionNode>) -> Expression = if self.keyword("not") {
            Expression::Not
        } else if self.symbol("-") {
            Expression::Negate
        } else {
            return self.primary();
        };
        self.enter_nesting()?;
        let operand = self.unary()?;
        self.nesting -= 1;
        Ok(ExpressionNode {
            offset,
            expression: operator(Box::new(operand)),
        })
    }

    /// Parses a literal, a name, a call, or an expression in parentheses.
    fn primary(&mut self) -> Result<ExpressionNode, ParseError> {
        let offset = self.next_offset();
        if self.symbol("(") {
            let inner = self.expression()?;
            self.expect_symbol(")")?;
            return Ok(inner);
        }
        let expression = if let Ok(Some(number)) = opt(number).parse_next(&mut self.input) {
            Expression::Number(number)
        } else {
            match self.identifier() {
                None => return self.fail("expected a number, a name or `(`"),
                Some("true") => Expression::Boolean(true),
                Some("false") => Expression::Boolean(false),
                Some("min") => self.call(Function::Min)?,
                Some("max") => self.call(Function::Max)?,
                Some("abs") => self.call(Function::Abs)?,
                Some(keyword @ ("if" | "then" | "else" | "and" | "or" | "not")) => {
                    let reason = format!("unexpected keyword `{keyword}`");
                    return Err(ParseError::new(offset, reason));
                }
                Some(name) => Expression::Name(name.to_string()),
            }
        };
        Ok(ExpressionNode { offset, expression })
    }

    /// Parses the arguments of a function.
    fn call(&mut self, function: Function) -> Result<Expression, ParseError> {
        self.expect_symbol("(")?;
        let mut arguments = vec![self.expression()?];
        while self.symbol(",") {
            arguments.push(self.expression()?);
        }
        if !self.symbol(")") {
            return self.fail("expected `,` or `)`");
        }
        Ok(Expression::Call(function, arguments))
    }
}

/// Entry with the byte offset of its name.
struct NamedEntry {
    info: &'static EntryInfo,
    offset: usize,
}

/// Returns an expression's text on one line and without comments.
fn single_line(text: &str) -> String {
    let lines: Vec<&str> = text
        .lines()
        .map(|line| line.split('#').next().unwrap_or("").trim())
        .filter(|line| !line.is_empty())
        .collect();
    lines.join(" ")
}
