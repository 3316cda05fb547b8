//! Plots a comparison: the three primary measures over the load, one line per policy.

use std::path::Path;

use plotters::prelude::*;

use super::compare::RunMetrics;
use super::table::{MEASURES, Measure, filter_runs, policies_and_loads, summarize_seeds};

const SIZE: (u32, u32) = (640, 400);
/// Only the primary measures are plotted: the first ones of [`MEASURES`], which users notice
/// directly.
const PLOTTED_MEASURES: usize = 3;

/// Writes one SVG file per primary measure into a folder.
///
/// # Errors
/// Fails if a file cannot be written.
pub fn write_plots(metrics: &[RunMetrics], folder: &Path, prefix: &str) -> anyhow::Result<()> {
    for (index, measure) in MEASURES.iter().take(PLOTTED_MEASURES).enumerate() {
        let path = folder.join(format!("{prefix}-{}.svg", FILE_NAMES[index]));
        write_plot(metrics, measure, &path)?;
    }
    Ok(())
}

const FILE_NAMES: [&str; PLOTTED_MEASURES] = ["stall", "preemptions", "between-tokens"];

fn write_plot(metrics: &[RunMetrics], measure: &Measure, path: &Path) -> anyhow::Result<()> {
    let (policies, loads) = policies_and_loads(metrics);
    let value_max = metrics.iter().map(measure.value).fold(1.0, f64::max);
    let load_min = loads.iter().min().copied().unwrap_or(0).saturating_sub(5);
    let load_max = loads.iter().max().copied().unwrap_or(100) + 5;
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(measure.name, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(60)
        .build_cartesian_2d(load_min..load_max, 0.0..value_max * 1.1)?;
    chart
        .configure_mesh()
        .x_desc("load, percent of what the engines carry")
        .draw()?;
    for (index, policy) in policies.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = loads.iter().map(|load| {
            let runs = filter_runs(metrics, policy, *load);
            (*load, summarize_seeds(&runs, measure.value).median)
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
