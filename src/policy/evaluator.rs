//! Evaluator of checked expressions.

use crate::policy::expression::{BinaryOperator, Expression, ExpressionNode, Function};
use crate::policy::facts::bool_to_number;

/// Returns an expression's value with these facts; booleans are 0 or 1. The value is not finite where
/// it is undefined, as after a division by zero.
pub(super) fn evaluate(node: &ExpressionNode, facts: &[f64]) -> f64 {
    match &node.expression {
        Expression::Number(number) => *number,
        Expression::Boolean(truth) => bool_to_number(*truth),
        // The checker has resolved all names, so this case does not occur.
        Expression::Name(_) => f64::NAN,
        Expression::Fact(index) => facts.get(*index).copied().unwrap_or(f64::NAN),
        Expression::Not(operand) => bool_to_number(evaluate(operand, facts) == 0.0),
        Expression::Negate(operand) => -evaluate(operand, facts),
        Expression::Conditional(conditional) => {
            if evaluate(&conditional.condition, facts) != 0.0 {
                evaluate(&conditional.consequence, facts)
            } else {
                evaluate(&conditional.alternative, facts)
            }
        }
        Expression::Call(function, arguments) => evaluate_call(*function, arguments, facts),
        Expression::Binary(operator, left, right) => {
            evaluate_binary(*operator, evaluate(left, facts), evaluate(right, facts))
        }
    }
}

/// Returns a function's value. `min` and `max` return NaN if any argument is NaN, unlike `f64::min`
/// and `f64::max`.
fn evaluate_call(function: Function, arguments: &[ExpressionNode], facts: &[f64]) -> f64 {
    let mut values = arguments.iter().map(|argument| evaluate(argument, facts));
    let first = values.next().unwrap_or(f64::NAN);
    let min = |a: f64, b: f64| if b < a || b.is_nan() { b } else { a };
    let max = |a: f64, b: f64| if b > a || b.is_nan() { b } else { a };
    match function {
        Function::Abs => first.abs(),
        Function::Min => values.fold(first, min),
        Function::Max => values.fold(first, max),
    }
}

fn evaluate_binary(operator: BinaryOperator, left: f64, right: f64) -> f64 {
    match operator {
        BinaryOperator::Add => left + right,
        BinaryOperator::Subtract => left - right,
        BinaryOperator::Multiply => left * right,
        BinaryOperator::Divide => left / right,
        BinaryOperator::Less => bool_to_number(left < right),
        BinaryOperator::LessOrEqual => bool_to_number(left <= right),
        BinaryOperator::Greater => bool_to_number(left > right),
        BinaryOperator::GreaterOrEqual => bool_to_number(left >= right),
        BinaryOperator::Equal => bool_to_number(left == right),
        BinaryOperator::NotEqual => bool_to_number(left != right),
        BinaryOperator::And => bool_to_number(left != 0.0 && right != 0.0),
        BinaryOperator::Or => bool_to_number(left != 0.0 || right != 0.0),
    }
}
