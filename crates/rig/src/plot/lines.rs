//! Line chart of goodput over time, with one line per variant.

use std::path::Path;

use plotters::prelude::*;

use crate::error::RigError;
use crate::experiment::{Outcome, Spread, Variant};

use super::error::draw_error;
use super::palette::colour;

/// Width and height of the image in pixels.
const SIZE: (u32, u32) = (900, 420);

/// Draws the median goodput of each variant by second, with the trigger phase shaded grey and the capacity as a line.
pub fn goodput_over_time(path: &Path, title: &str, outcomes: &[Outcome]) -> Result<(), RigError> {
    let Some(first) = outcomes.first() else {
        return Ok(());
    };
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(draw_error)?;
    let seconds = first.phases.seconds();
    let y_max = outcomes.iter().flat_map(|outcome| &outcome.seconds);
    let y_max = y_max
        .map(|second| second.whole)
        .fold(first.capacity, f64::max)
        * 1.1;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..seconds as f64, 0.0..y_max)
        .map_err(draw_error)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("whole requests a second")
        .draw()
        .map_err(draw_error)?;

    let trigger = first.phases.trigger_range();
    let corners = [(trigger.start as f64, 0.0), (trigger.end as f64, y_max)];
    let shading = Rectangle::new(corners, BLACK.mix(0.08).filled());
    chart.draw_series([shading]).map_err(draw_error)?;
    let capacity = [(0.0, first.capacity), (seconds as f64, first.capacity)];
    chart
        .draw_series(LineSeries::new(capacity, BLACK.mix(0.4)))
        .map_err(draw_error)?
        .label("capacity")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], BLACK.mix(0.4)));

    for (index, variant) in Variant::ALL.into_iter().enumerate() {
        let points = median_goodput(outcomes, variant, seconds);
        if points.is_empty() {
            continue;
        }
        let style = colour(index).stroke_width(2);
        chart
            .draw_series(LineSeries::new(points, style))
            .map_err(draw_error)?
            .label(variant.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], style));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(draw_error)?;
    root.present().map_err(draw_error)
}

/// Returns the median goodput over a variant's runs at the middle of each second; empty if it has no runs.
fn median_goodput(outcomes: &[Outcome], variant: Variant, seconds: usize) -> Vec<(f64, f64)> {
    let runs: Vec<&Outcome> = outcomes
        .iter()
        .filter(|outcome| outcome.variant == variant)
        .collect();
    if runs.is_empty() {
        return Vec::new();
    }
    let point = |second: usize| {
        let whole = runs
            .iter()
            .map(|run| run.seconds.get(second).map_or(0.0, |s| s.whole));
        (second as f64 + 0.5, Spread::of(whole.collect()).median)
    };
    (0..seconds).map(point).collect()
}
