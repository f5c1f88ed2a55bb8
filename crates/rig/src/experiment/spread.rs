//! Minimum, median and maximum of repeated measurements.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Minimum, median and maximum of a measurement over repeated runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spread {
    /// Smallest value.
    pub min: f64,
    /// Median; the upper of the two middle values if their number is even.
    pub median: f64,
    /// Largest value.
    pub max: f64,
}

impl Spread {
    /// Computes the spread of `values`; all zeros if there are none.
    pub fn of(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let at = |index: usize| values.get(index).copied().unwrap_or(0.0);
        Self {
            min: at(0),
            median: at(values.len() / 2),
            max: at(values.len().saturating_sub(1)),
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
