//! Demo: a short overload with faults on a fleet of real processes, followed by a table of checked guarantees.

mod checks;
mod events;
mod guarantee;
mod plan;
mod probe;
mod run;

pub use self::guarantee::{Guarantee, Verdict};
pub use self::run::run;
