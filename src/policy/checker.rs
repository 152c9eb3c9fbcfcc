//! Type checker: resolves names and determines the types of expressions.

use crate::policy::entries::Subject;
use crate::policy::expression::{BinaryOperator, Expression, ExpressionNode, Function, ParseError};
use crate::policy::value_type::ValueType;

/// Resolves the names in an expression and returns its type, or the first error.
pub(super) fn check(node: &mut ExpressionNode, subject: Subject) -> Result<ValueType, ParseError> {
    match &mut node.expression {
        Expression::Number(_) => Ok(ValueType::Number),
        Expression::Boolean(_) => Ok(ValueType::Boolean),
        Expression::Fact(index) => Ok(subject.facts()[*index].value_type),
        Expression::Name(name) => {
            let index = resolve(name, subject, node.offset)?;
            node.expression = Expression::Fact(index);
            Ok(subject.facts()[index].value_type)
        }
        Expression::Not(operand) => {
            expect_type(operand, ValueType::Boolean, subject)?;
            Ok(ValueType::Boolean)
        }
        Expression::Negate(operand) => {
            expect_type(operand, ValueType::Number, subject)?;
            Ok(ValueType::Number)
        }
        Expression::Binary(operator, left, right) => {
            let (operands, result) = signature(*operator);
            expect_type(left, operands, subject)?;
            expect_type(right, operands, subject)?;
            Ok(result)
        }
        Expression::Conditional(conditional) => {
            expect_type(&mut conditional.condition, ValueType::Boolean, subject)?;
            let value_type = check(&mut conditional.consequence, subject)?;
            expect_type(&mut conditional.alternative, value_type, subject)?;
            Ok(value_type)
        }
        Expression::Call(function, arguments) => {
            if !accepts_arguments(*function, arguments.len()) {
                return Err(ParseError::new(node.offset, "wrong number of arguments"));
            }
            for argument in arguments {
                expect_type(argument, ValueType::Number, subject)?;
            }
            Ok(ValueType::Number)
        }
    }
}

/// Checks an expression that must have the expected type.
fn expect_type(
    node: &mut ExpressionNode,
    expected: ValueType,
    subject: Subject,
) -> Result<(), ParseError> {
    let found = check(node, subject)?;
    if found == expected {
        return Ok(());
    }
    let reason = format!("this is {found}, but {expected} is needed");
    Err(ParseError::new(node.offset, reason))
}

/// Returns the index of a fact among those of the subject.
fn resolve(name: &str, subject: Subject, offset: usize) -> Result<usize, ParseError> {
    let facts = subject.facts();
    let index = facts.iter().position(|fact| fact.name == name);
    index.ok_or_else(|| {
        let known: Vec<&str> = facts.iter().map(|fact| fact.name).collect();
        let reason = format!("unknown name `{name}`; known here: {}", known.join(", "));
        ParseError::new(offset, reason)
    })
}

/// Returns the type of an operator's operands and that of its result.
fn signature(operator: BinaryOperator) -> (ValueType, ValueType) {
    match operator {
        BinaryOperator::Add
        | BinaryOperator::Subtract
        | BinaryOperator::Multiply
        | BinaryOperator::Divide => (ValueType::Number, ValueType::Number),
        BinaryOperator::And | BinaryOperator::Or => (ValueType::Boolean, ValueType::Boolean),
        BinaryOperator::Less
        | BinaryOperator::LessOrEqual
        | BinaryOperator::Greater
        | BinaryOperator::GreaterOrEqual
        | BinaryOperator::Equal
        | BinaryOperator::NotEqual => (ValueType::Number, ValueType::Boolean),
    }
}

fn accepts_arguments(function: Function, count: usize) -> bool {
    match function {
        Function::Abs => count == 1,
        Function::Min | Function::Max => count >= 2,
    }
}
