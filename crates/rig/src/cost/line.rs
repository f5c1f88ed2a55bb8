//! A straight line through measured points.

use serde::{Deserialize, Serialize};

/// A measured point.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// What was varied.
    pub x: f64,
    /// What was measured.
    pub y: f64,
}

/// The line with the least sum of squared distances in `y`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Growth of `y` for each unit of `x`.
    pub slope: f64,
    /// `y` at zero.
    pub intercept: f64,
}

impl Line {
    /// The line through some points; level where they have one `x` only.
    pub fn through(points: &[Point]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
        let together = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y));
        let alone = points.iter().map(|p| (p.x - mean_x).powi(2));
        let (together, alone) = (together.sum::<f64>(), alone.sum::<f64>());
        let slope = if alone > 0.0 { together / alone } else { 0.0 };
        Self {
            slope,
            intercept: mean_y - slope * mean_x,
        }
    }
}
