//! Goodput over time, one line a variant.

use std::path::Path;

use plotters::prelude::*;

use crate::error::RigError;
use crate::experiment::{Outcome, Spread, Variant};

use super::fault::fault;
use super::palette::colour;

const SIZE: (u32, u32) = (900, 420);

/// Draws the median goodput of each variant by second, and the trigger as a grey field.
pub fn goodput_over_time(path: &Path, title: &str, outcomes: &[Outcome]) -> Result<(), RigError> {
    let Some(first) = outcomes.first() else {
        return Ok(());
    };
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(fault)?;
    let seconds = first.course.seconds();
    let top = outcomes.iter().flat_map(|outcome| &outcome.seconds);
    let top = top
        .map(|second| second.whole)
        .fold(first.capacity, f64::max)
        * 1.1;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(36)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..seconds as f64, 0.0..top)
        .map_err(fault)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("whole requests a second")
        .draw()
        .map_err(fault)?;

    let trigger = first.course.trigger_range();
    let corners = [(trigger.start as f64, 0.0), (trigger.end as f64, top)];
    let field = Rectangle::new(corners, BLACK.mix(0.08).filled());
    chart.draw_series([field]).map_err(fault)?;
    let capacity = [(0.0, first.capacity), (seconds as f64, first.capacity)];
    chart
        .draw_series(LineSeries::new(capacity, BLACK.mix(0.4)))
        .map_err(fault)?
        .label("capacity")
        .legend(|(x, y)| PathElement::new([(x, y), (x + 16, y)], BLACK.mix(0.4)));

    for (index, variant) in Variant::ALL.into_iter().enumerate() {
        let points = medians(outcomes, variant, seconds);
        if points.is_empty() {
            continue;
        }
        let style = colour(index).stroke_width(2);
        chart
            .draw_series(LineSeries::new(points, style))
            .map_err(fault)?
            .label(variant.as_str())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], style));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(fault)?;
    root.present().map_err(fault)
}

fn medians(outcomes: &[Outcome], variant: Variant, seconds: usize) -> Vec<(f64, f64)> {
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
