//! Latency and coverage over time as a picture.

use super::report::{Point, Report};
use berylpin_core::rank::Rank;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::path::Path;

/// Width and height in pixels.
const SIZE: (u32, u32) = (1000, 700);

const COLOURS: [RGBColor; Rank::COUNT] = [RED, BLUE, GREEN];

type Failure = Box<dyn std::error::Error>;

/// Writes the picture: latency above, coverage below, a dot a request, a line where faults begin.
pub(crate) fn plot(report: &Report, path: &Path) -> Result<(), Failure> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let areas = root.split_evenly((2, 1));
    let end = report.points.iter().map(|point| point.second).fold(1.0, f64::max);
    let longest = report.points.iter().map(|point| point.latency_ms).fold(10.0, f64::max);
    draw(&areas[0], report, ("latency in ms", end, longest), |point| point.latency_ms)?;
    draw(&areas[1], report, ("coverage", end, 1.05), |point| point.coverage)?;
    root.present()?;
    Ok(())
}

fn draw<F>(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    report: &Report,
    (title, end, highest): (&str, f64, f64),
    value: F,
) -> Result<(), Failure>
where
    F: Fn(&Point) -> f64,
{
    let mut chart = ChartBuilder::on(area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..end, 0.0..highest)?;
    chart.configure_mesh().x_desc("seconds").y_desc(title).draw()?;
    for rank in Rank::ALL {
        let points = report.points.iter().filter(|point| point.rank == rank);
        let colour = COLOURS[rank.index()].mix(0.5).filled();
        chart.draw_series(
            points.map(|point| Circle::new((point.second, value(point)), 1, colour)),
        )?;
    }
    let at = report.fault_second;
    chart.draw_series([PathElement::new([(at, 0.0), (at, highest)], BLACK)])?;
    Ok(())
}
