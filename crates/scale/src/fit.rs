//! A straight line through measured points, by least squares.

use serde::Serialize;

/// A straight line, and how well it fits.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Its value at zero.
    pub intercept: f64,
    /// By how much it rises with each unit.
    pub slope: f64,
    /// How far the point that is farthest off lies from the line.
    pub residual: f64,
}

impl Line {
    /// Its value at `x`.
    pub fn value_at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}

/// The line that fits best; `None` where the points do not lie at two places at least.
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
