//! Plots latency and coverage over time as SVG.

use super::report::{PlotPoint, Report};
use berylpin_core::rank::Rank;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::path::Path;

/// Width and height of the plot.
const SIZE_PX: (u32, u32) = (1000, 700);

/// Colours of the ranks, in the order of [`Rank::ALL`].
const RANK_COLOURS: [RGBColor; Rank::COUNT] = [RED, BLUE, GREEN];

type PlotError = Box<dyn std::error::Error>;

/// Writes the plot to a file.
///
/// The upper chart shows latency, the lower one coverage. Each query is a dot, and a vertical line
/// marks the start of the fault phase.
pub(crate) fn plot(report: &Report, path: &Path) -> Result<(), PlotError> {
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let areas = root.split_evenly((2, 1));
    let duration_s = report.points.iter().map(|point| point.second).fold(1.0, f64::max);
    let max_latency_ms = report.points.iter().map(|point| point.latency_ms).fold(10.0, f64::max);
    draw(&areas[0], report, ("latency in ms", duration_s, max_latency_ms), |point| {
        point.latency_ms
    })?;
    draw(&areas[1], report, ("coverage", duration_s, 1.05), |point| point.coverage)?;
    root.present()?;
    Ok(())
}

/// Draws one chart with a dot per query, coloured by rank.
fn draw<F>(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    report: &Report,
    (title, x_max, y_max): (&str, f64, f64),
    value: F,
) -> Result<(), PlotError>
where
    F: Fn(&PlotPoint) -> f64,
{
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max)?;
    chart.configure_mesh().x_desc("seconds").y_desc(title).draw()?;
    for rank in Rank::ALL {
        let points = report.points.iter().filter(|point| point.rank == rank);
        let colour = RANK_COLOURS[rank.index()].mix(0.5).filled();
        chart.draw_series(
            points.map(|point| Circle::new((point.second, value(point)), 1, colour)),
        )?;
    }
    let fault_second = report.fault_second;
    chart.draw_series([PathElement::new([(fault_second, 0.0), (fault_second, y_max)], BLACK)])?;
    Ok(())
}
