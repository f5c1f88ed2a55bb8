//! Plots experiment results as SVG.

mod bars;
mod error;
mod lines;
mod palette;

pub use self::bars::variant_bars;
pub use self::lines::goodput_over_time;
