//! A plot of the bench: each policy's goodput against the upper bound's.

use plotters::chart::ChartBuilder;
use plotters::drawing::IntoDrawingArea;
use plotters::prelude::{Palette, Palette99, Rectangle, SVGBackend};
use plotters::style::{BLACK, Color, WHITE};

use super::scenario::SCENARIOS;
use super::score::RunScore;
use super::world::PolicyKind;

/// The size of the plot, in pixels.
const SIZE: (u32, u32) = (1100, 460);

/// The part of a scenario's width that its bars take.
const BARS: f64 = 0.8;

/// Draws the goodput of every policy in every scenario, in parts of the upper bound's.
pub fn draw_goodput(
    file: &str,
    scores: &[Vec<(PolicyKind, RunScore)>],
) -> Result<(), Box<dyn std::error::Error>> {
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(60)
        .y_label_area_size(50)
        .caption("Goodput, in parts of the upper bound's", ("sans-serif", 18))
        .build_cartesian_2d(0.0..scores.len() as f64, 0.0..1.1)?;
    let name = |place: &f64| {
        let scenario = SCENARIOS.get(*place as usize);
        scenario.map_or(String::new(), |scenario| scenario.name.to_owned())
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(scores.len())
        .x_label_formatter(&name)
        .x_label_style(("sans-serif", 9))
        .draw()?;
    let width = BARS / PolicyKind::ALL.len() as f64;
    for (index, kind) in PolicyKind::ALL.iter().enumerate() {
        let color = Palette99::pick(index).mix(0.9);
        let bars = scores.iter().enumerate().filter_map(|(place, row)| {
            let goodput = row.iter().find(|(other, _)| other == kind)?.1.goodput();
            let ideal = row.last()?.1.goodput();
            let left = place as f64 + 0.1 + index as f64 * width;
            Some(Rectangle::new(
                [(left, 0.0), (left + width, goodput / ideal)],
                color.filled(),
            ))
        });
        chart.draw_series(bars)?.label(kind.name()).legend(move |(x, y)| {
            Rectangle::new([(x, y - 5), (x + 12, y + 5)], color.filled())
        });
    }
    chart
        .configure_series_labels()
        .background_style(WHITE)
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
