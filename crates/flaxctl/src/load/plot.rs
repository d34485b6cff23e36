//! A plot of a load: each class's attainment over time.

use std::collections::BTreeMap;

use plotters::chart::ChartBuilder;
use plotters::drawing::IntoDrawingArea;
use plotters::prelude::{LineSeries, Palette, Palette99, PathElement, SVGBackend};
use plotters::style::{BLACK, ShapeStyle, WHITE};

use super::plan::LoadPlan;
use super::report::met_target;
use super::send::CallOutcome;

/// The size of a plot, in pixels.
const SIZE: (u32, u32) = (900, 420);

/// Attainment is shown for pieces of this many milliseconds.
const PIECE_MS: u64 = 500;

/// Draws attainment by class over time as an SVG file.
pub(crate) fn draw_plot(
    plan: &LoadPlan,
    outcomes: &[CallOutcome],
    file: &str,
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let seconds = plan.millis as f64 / 1000.0;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .caption("Requests that met their target, by class", ("sans-serif", 18))
        .build_cartesian_2d(0.0..seconds, 0.0..1.05)?;
    chart.configure_mesh().x_desc("seconds").y_desc("attainment").draw()?;
    for (index, (class, points)) in series(plan, outcomes).into_iter().enumerate() {
        let style = ShapeStyle::from(&Palette99::pick(index)).stroke_width(2);
        chart
            .draw_series(LineSeries::new(points, style))?
            .label(class)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], style));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

/// Returns each class's attainment in each piece of time.
fn series(
    plan: &LoadPlan,
    outcomes: &[CallOutcome],
) -> BTreeMap<String, Vec<(f64, f64)>> {
    let mut counts: BTreeMap<(String, u64), (u32, u32)> = BTreeMap::new();
    for outcome in outcomes {
        let stream = &plan.streams[outcome.stream];
        let piece = outcome.at.as_millis() as u64 / PIECE_MS;
        let (met, sent) = counts.entry((stream.class.clone(), piece)).or_default();
        *met += u32::from(met_target(stream, outcome));
        *sent += 1;
    }
    let mut series: BTreeMap<String, Vec<(f64, f64)>> = BTreeMap::new();
    for ((class, piece), (met, sent)) in counts {
        let middle = (piece as f64 + 0.5) * PIECE_MS as f64 / 1000.0;
        let points = series.entry(class).or_default();
        points.push((middle, f64::from(met) / f64::from(sent)));
    }
    series
}
