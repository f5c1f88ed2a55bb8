//! Measures of each variant side by side as bars.

use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;

use crate::error::RigError;
use crate::experiment::{Outcome, Spread, Variant};

use super::fault::fault;
use super::palette::colour;

const SIZE: (u32, u32) = (900, 360);

/// Half the width of a bar, where bars are one apart.
const HALF_WIDTH: f64 = 0.35;

/// A measure with its heading.
struct Panel {
    title: &'static str,
    figure: fn(&Outcome) -> f64,
}

const PANELS: [Panel; 4] = [
    Panel {
        title: "goodput ratio",
        figure: |outcome| outcome.measures.goodput_ratio,
    },
    Panel {
        title: "recovery (s)",
        figure: |outcome| {
            outcome
                .measures
                .recovery
                .seconds_within(outcome.course.after)
        },
    },
    Panel {
        title: "deepest calls a request",
        figure: |outcome| outcome.measures.deepest_per_request,
    },
    Panel {
        title: "wasted share of work",
        figure: |outcome| outcome.measures.wasted_share,
    },
];

/// Draws one field for each measure, with the median as a bar and the spread as a line.
pub fn variant_bars(path: &Path, title: &str, outcomes: &[Outcome]) -> Result<(), RigError> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE).map_err(fault)?;
    let root = root.titled(title, ("sans-serif", 18)).map_err(fault)?;
    let (legend, fields) = root.split_vertically(24);
    draw_legend(&legend, outcomes)?;
    for (panel, area) in PANELS.iter().zip(fields.split_evenly((1, PANELS.len()))) {
        draw(panel, &area, outcomes)?;
    }
    root.present().map_err(fault)
}

/// Positions of the variants that have runs.
fn present(outcomes: &[Outcome]) -> Vec<(usize, Variant)> {
    let variants = Variant::ALL.into_iter().enumerate();
    let has_run = |variant| outcomes.iter().any(|outcome| outcome.variant == variant);
    variants.filter(|(_, variant)| has_run(*variant)).collect()
}

fn draw_legend(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    outcomes: &[Outcome],
) -> Result<(), RigError> {
    for (position, (index, variant)) in present(outcomes).into_iter().enumerate() {
        let x = 20 + 145 * position as i32;
        let mark = Rectangle::new([(x, 4), (x + 12, 16)], colour(index).filled());
        area.draw(&mark).map_err(fault)?;
        let label = Text::new(variant.as_str(), (x + 18, 4), ("sans-serif", 13));
        area.draw(&label).map_err(fault)?;
    }
    Ok(())
}

fn draw(
    panel: &Panel,
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    outcomes: &[Outcome],
) -> Result<(), RigError> {
    let variants = present(outcomes);
    let top = outcomes
        .iter()
        .map(panel.figure)
        .fold(0.0, f64::max)
        .max(0.01)
        * 1.1;
    let mut chart = ChartBuilder::on(area)
        .caption(panel.title, ("sans-serif", 14))
        .margin(8)
        .y_label_area_size(38)
        .x_label_area_size(6)
        .build_cartesian_2d(-0.5..variants.len() as f64 - 0.5, 0.0..top)
        .map_err(fault)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(0)
        .draw()
        .map_err(fault)?;
    for (position, (index, variant)) in variants.into_iter().enumerate() {
        let runs = outcomes.iter().filter(|outcome| outcome.variant == variant);
        let spread = Spread::of(runs.map(panel.figure).collect());
        let x = position as f64;
        let corners = [(x - HALF_WIDTH, 0.0), (x + HALF_WIDTH, spread.median)];
        let bar = Rectangle::new(corners, colour(index).filled());
        let line = PathElement::new([(x, spread.min), (x, spread.max)], BLACK);
        chart.draw_series([bar]).map_err(fault)?;
        chart.draw_series([line]).map_err(fault)?;
    }
    Ok(())
}
