//! Draws charts of figures against the number of machines, each with its fitted line.

use crate::error::ScaleError;
use crate::fit::fit_line;
use plotters::prelude::*;
use std::path::Path;

/// Width and height of a chart, in pixels.
const SIZE_PX: (u32, u32) = (760, 420);

/// Draws a chart of one figure against the number of machines; `label` is the label of the vertical axis.
pub fn draw(path: &Path, label: &str, points: &[(f64, f64)]) -> Result<(), ScaleError> {
    draw_chart(path, label, points).map_err(|source| ScaleError::Plot {
        path: path.to_path_buf(),
        source,
    })
}

fn draw_chart(
    path: &Path,
    label: &str,
    points: &[(f64, f64)],
) -> Result<(), Box<dyn std::error::Error>> {
    let axis_max = |of: fn(&(f64, f64)) -> f64| points.iter().map(of).fold(1e-9, f64::max) * 1.1;
    let (right, top) = (axis_max(|p| p.0), axis_max(|p| p.1));
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(16)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart
        .configure_mesh()
        .x_desc("machines")
        .y_desc(label)
        .draw()?;
    if let Some(line) = fit_line(points) {
        let ends = [0.0, right].map(|x| (x, line.value_at(x).max(0.0)));
        chart.draw_series(LineSeries::new(ends, BLUE.stroke_width(2)))?;
    }
    let dots = points.iter().map(|p| Circle::new(*p, 4, RED.filled()));
    chart.draw_series(dots)?;
    root.present()?;
    Ok(())
}
