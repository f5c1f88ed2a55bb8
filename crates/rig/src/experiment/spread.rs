//! Least, middle and largest of repeated figures.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Spread of a figure over repeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// The least.
    pub min: f64,
    /// The middle one, the upper of two.
    pub median: f64,
    /// The largest.
    pub max: f64,
}

impl Spread {
    /// Spread of some figures; zeros where there are none.
    pub fn of(mut figures: Vec<f64>) -> Self {
        figures.sort_by(f64::total_cmp);
        let at = |index: usize| figures.get(index).copied().unwrap_or(0.0);
        Self {
            min: at(0),
            median: at(figures.len() / 2),
            max: at(figures.len().saturating_sub(1)),
        }
    }
}

impl fmt::Display for Spread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let digits = f.precision().unwrap_or(2);
        let Self { min, median, max } = self;
        write!(f, "{median:.digits$} ({min:.digits$}..{max:.digits$})")
    }
}
