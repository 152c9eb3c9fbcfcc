//! Linear regression by least squares.

use serde::Serialize;

/// A fitted line.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Value at zero.
    pub intercept: f64,
    /// Increase per unit.
    pub slope: f64,
    /// Largest absolute deviation of a point from the line.
    pub residual: f64,
}

impl Line {
    /// Returns the value at `x`.
    pub fn value_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// Fits a line to the points; `None` unless they have at least two different x values.
pub fn fit_line(points: &[(f64, f64)]) -> Option<Line> {
    let count = points.len() as f64;
    let mean = |of: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(of).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(&|p| p.0), mean(&|p| p.1));
    let variance_sum: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
    if points.len() < 2 || variance_sum <= 0.0 {
        return None;
    }
    let covariance_sum: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
    let slope = covariance_sum / variance_sum;
    let mut line = Line {
        intercept: mean_y - slope * mean_x,
        slope,
        residual: 0.0,
    };
    let deviation = |p: &(f64, f64)| (p.1 - line.value_at(p.0)).abs();
    line.residual = points.iter().map(deviation).fold(0.0, f64::max);
    Some(line)
}

#[cfg(test)]
mod tests;
