//! Bar charts that compare the variants by several measures.

use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;

use crate::error::RigError;
use crate::experiment::{Outcome, Spread, Variant};

use super::error::draw_error;
use super::palette::colour;

/// Width and height of the image in pixels.
const SIZE: (u32, u32) = (900, 360);

/// Half the width of a bar; bars are spaced one unit apart.
const BAR_HALF_WIDTH: f64 = 0.35;

/// Bar chart of one measure.
struct Panel {
    title: &'static str,
    measure: fn(&Outcome) -> f64,
}

const PANELS: [Panel; 4] = [
    Panel {
        title: "goodput ratio",
        measure: |outcome| outcome.measures.goodput_ratio,
    },
    Panel {
        title: "recovery (s)",
        measure: |outcome| outcome.measures.recovery.seconds_or(outcome.phases.after),
    },
    Panel {
        title: "deepest calls a request",
        measure: |outcome| outcome.measures.deepest_per_request,
    },
    Panel {
        title: "wasted share of work",
        measure: |outcome| outcome.measures.wasted_share,
    },
];

/// Draws one panel for each measure, with the median as a bar and the range from minimum to maximum as a line.
pub fn variant_bars(path: &Path, title: &str, outcomes: &[Outcome]) -> Result<(), RigError> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(draw_error)?;
    let root = root.titled(title, ("sans-serif", 18)).map_err(draw_error)?;
    let (legend, panels) = root.split_vertically(24);
    draw_legend(&legend, outcomes)?;
    for (panel, area) in PANELS.iter().zip(panels.split_evenly((1, PANELS.len()))) {
        draw_panel(panel, &area, outcomes)?;
    }
    root.present().map_err(draw_error)
}

/// Returns the variants that have runs, with their index in [`Variant::ALL`], which selects the colour.
fn variants_with_runs(outcomes: &[Outcome]) -> Vec<(usize, Variant)> {
    let variants = Variant::ALL.into_iter().enumerate();
    let has_run = |variant| outcomes.iter().any(|outcome| outcome.variant == variant);
    variants.filter(|(_, variant)| has_run(*variant)).collect()
}

fn draw_legend(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    outcomes: &[Outcome],
) -> Result<(), RigError> {
    for (position, (index, variant)) in variants_with_runs(outcomes).into_iter().enumerate() {
        let x = 20 + 145 * position as i32;
        let swatch = Rectangle::new([(x, 4), (x + 12, 16)], colour(index).filled());
        area.draw(&swatch).map_err(draw_error)?;
        let label = Text::new(variant.as_str(), (x + 18, 4), ("sans-serif", 13));
        area.draw(&label).map_err(draw_error)?;
    }
    Ok(())
}

fn draw_panel(
    panel: &Panel,
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    outcomes: &[Outcome],
) -> Result<(), RigError> {
    let variants = variants_with_runs(outcomes);
    let y_max = outcomes
        .iter()
        .map(panel.measure)
        .fold(0.0, f64::max)
        .max(0.01)
        * 1.1;
    let mut chart = ChartBuilder::on(area)
        .caption(panel.title, ("sans-serif", 14))
        .margin(8)
        .y_label_area_size(38)
        .x_label_area_size(6)
        .build_cartesian_2d(-0.5..variants.len() as f64 - 0.5, 0.0..y_max)
        .map_err(draw_error)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(0)
        .draw()
        .map_err(draw_error)?;
    for (position, (index, variant)) in variants.into_iter().enumerate() {
        let runs = outcomes.iter().filter(|outcome| outcome.variant == variant);
        let spread = Spread::of(runs.map(panel.measure).collect());
        let x = position as f64;
        let corners = [
            (x - BAR_HALF_WIDTH, 0.0),
            (x + BAR_HALF_WIDTH, spread.median),
        ];
        let bar = Rectangle::new(corners, colour(index).filled());
        let line = PathElement::new([(x, spread.min), (x, spread.max)], BLACK);
        chart.draw_series([bar]).map_err(draw_error)?;
        chart.draw_series([line]).map_err(draw_error)?;
    }
    Ok(())
}
