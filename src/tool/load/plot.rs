//! Plots of a comparison: the three measures against the load, one line a policy.

use std::path::Path;

use plotters::prelude::*;

use super::compare::RunFigures;
use super::table::{MEASURES, Measure, over_seeds, policies_and_loads, runs_of};

const SIZE: (u32, u32) = (640, 400);
/// The users' own measures stand first.
const PLOTTED: usize = 3;

/// Writes one SVG file a measure into a folder.
///
/// # Errors
/// A file cannot be written.
pub fn write(figures: &[RunFigures], folder: &Path, prefix: &str) -> anyhow::Result<()> {
    for (index, measure) in MEASURES.iter().take(PLOTTED).enumerate() {
        let path = folder.join(format!("{prefix}-{}.svg", FILE_NAMES[index]));
        write_one(figures, measure, &path)?;
    }
    Ok(())
}

const FILE_NAMES: [&str; PLOTTED] = ["stall", "preemptions", "between-tokens"];

fn write_one(figures: &[RunFigures], measure: &Measure, path: &Path) -> anyhow::Result<()> {
    let (policies, loads) = policies_and_loads(figures);
    let highest = figures.iter().map(measure.value).fold(1.0, f64::max);
    let from = loads.iter().min().copied().unwrap_or(0).saturating_sub(5);
    let to = loads.iter().max().copied().unwrap_or(100) + 5;
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(measure.name, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(60)
        .build_cartesian_2d(from..to, 0.0..highest * 1.1)?;
    chart
        .configure_mesh()
        .x_desc("load, percent of what the engines carry")
        .draw()?;
    for (index, policy) in policies.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = loads.iter().map(|load| {
            let runs = runs_of(figures, policy, *load);
            (*load, over_seeds(&runs, measure.value).median)
        });
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(*policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 15, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    root.present()?;
    Ok(())
}
