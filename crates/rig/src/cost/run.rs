//! Runs the cost measurements and prints the points and slopes of each dimension.

use std::fs;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::error::RigError;
use crate::experiment::load_average;

use super::dimension::Dimension;
use super::line::{Line, Point};
use super::measure::Cost;
use super::options::CostOptions;
use super::sweep::measure_point;

/// Cost at one value of a dimension.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct CostPoint {
    value: usize,
    load_average: SmolStr,
    cost: Cost,
}

/// Cost at all values of a dimension, with a line fitted to each kind of cost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct CostSeries {
    dimension: Dimension,
    points: Vec<CostPoint>,
    processor_ms: Line,
    resident_kib: Line,
    control_bytes: Line,
    platform_calls: Line,
}

/// Measures each dimension, prints a table for it and writes the results to the output file.
pub async fn run(options: &CostOptions) -> Result<(), RigError> {
    let mut all = Vec::new();
    for &dimension in &options.dimensions {
        let mut points = Vec::new();
        for value in dimension.values(options.most_nodes) {
            eprintln!("{dimension} {value}");
            points.push(CostPoint {
                value,
                load_average: load_average(),
                cost: measure_point(dimension, value, options.window).await?,
            });
        }
        let series = CostSeries::of(dimension, points);
        print!("{}", series.markdown());
        all.push(series);
    }
    if let Some(file) = &options.out {
        fs::write(file, serde_json::to_string_pretty(&all)?)?;
    }
    Ok(())
}

impl CostSeries {
    fn of(dimension: Dimension, points: Vec<CostPoint>) -> Self {
        let line = |figure: fn(&Cost) -> f64| {
            let points = points.iter().map(|point| Point {
                x: point.value as f64,
                y: figure(&point.cost),
            });
            Line::fit(&points.collect::<Vec<_>>())
        };
        Self {
            dimension,
            processor_ms: line(|cost| cost.processor_ms),
            resident_kib: line(|cost| cost.resident_kib),
            control_bytes: line(|cost| cost.control_bytes),
            platform_calls: line(|cost| cost.platform_calls),
            points,
        }
    }

    fn markdown(&self) -> String {
        let mut text = format!(
            "| {} | processor ms/s a node | resident KiB a node | control bytes/s a node | platform calls/s of all | load average |\n|---|---|---|---|---|---|\n",
            self.dimension
        );
        for point in &self.points {
            let Cost {
                processor_ms,
                resident_kib,
                control_bytes,
                platform_calls,
            } = point.cost;
            text.push_str(&format!(
                "| {} | {processor_ms:.2} | {resident_kib:.0} | {control_bytes:.0} | {platform_calls:.2} | {} |\n",
                point.value, point.load_average
            ));
        }
        text.push_str(&format!(
            "| slope | {:.4} | {:.3} | {:.2} | {:.4} | |\n\n",
            self.processor_ms.slope,
            self.resident_kib.slope,
            self.control_bytes.slope,
            self.platform_calls.slope
        ));
        text
    }
}
