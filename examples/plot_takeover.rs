//! Draws `docs/takeover.svg` from `docs/takeover.csv`: the duration of a takeover against the number of machines, with
//! heartbeats received by the leader alone and by every controller.

use plotters::prelude::*;
use std::error::Error;

const DATA: &str = "docs/takeover.csv";
const CHART: &str = "docs/takeover.svg";

/// Reads one column as points of machine count and milliseconds, from the rows with this value of `delegate`.
fn read_series(text: &str, name: &str, delegate: &str) -> Result<Vec<(f64, f64)>, Box<dyn Error>> {
    let mut lines = text.lines();
    let header: Vec<&str> = lines.next().unwrap_or_default().split(',').collect();
    let find = |wanted: &str| {
        let at = header.iter().position(|h| *h == wanted);
        at.ok_or_else(|| format!("{DATA} has no column {wanted}"))
    };
    let (x, filter, y) = (find("machines")?, find("delegate")?, find(name)?);
    let mut out = Vec::new();
    for (n, line) in lines.enumerate() {
        let cells: Vec<&str> = line.split(',').collect();
        if cells.len() != header.len() {
            return Err(format!("{DATA}, line {}: {} cells", n + 2, cells.len()).into());
        }
        if cells[filter] == delegate {
            out.push((cells[x].parse()?, cells[y].parse()?));
        }
    }
    Ok(out)
}

fn main() -> Result<(), Box<dyn Error>> {
    let text = std::fs::read_to_string(DATA).map_err(|e| format!("{DATA}: {e}"))?;
    let series = [
        ("known_ms", "false", "99 % known, leader alone", BLUE),
        ("known_ms", "true", "99 % known, every controller", RED),
        ("leader_ms", "false", "computed, leader alone", CYAN),
        ("leader_ms", "true", "computed, every controller", MAGENTA),
    ];
    let root = SVGBackend::new(CHART, (760, 440)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(16)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d(
            (250.0..11_000.0f64).log_scale(),
            (3.0..5000.0f64).log_scale(),
        )?;
    (chart.configure_mesh())
        .x_desc("machines")
        .y_desc("milliseconds")
        .draw()?;
    for (name, delegate, label, colour) in series {
        let points = read_series(&text, name, delegate)?;
        let drawn = chart.draw_series(LineSeries::new(points.clone(), colour.stroke_width(2)))?;
        drawn.label(label).legend(move |(x, y)| {
            PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2))
        });
        let markers = points
            .into_iter()
            .map(|p| Circle::new(p, 3, colour.filled()));
        chart.draw_series(markers)?;
    }
    (chart.configure_series_labels())
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    println!("{CHART}");
    Ok(())
}
