//! Least-squares line through measured points.

use serde::{Deserialize, Serialize};

/// One measurement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Value of the varied quantity.
    pub x: f64,
    /// Measured value.
    pub y: f64,
}

/// Line that minimizes the sum of squared residuals in `y`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Change of `y` per unit of `x`.
    pub slope: f64,
    /// Value of `y` at `x = 0`.
    pub intercept: f64,
}

impl Line {
    /// Fits a line to `points`; the slope is 0 if all have the same `x`.
    pub fn fit(points: &[Point]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
        let products = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y));
        let squares = points.iter().map(|p| (p.x - mean_x).powi(2));
        let (products, squares) = (products.sum::<f64>(), squares.sum::<f64>());
        let slope = if squares > 0.0 {
            products / squares
        } else {
            0.0
        };
        Self {
            slope,
            intercept: mean_y - slope * mean_x,
        }
    }
}
