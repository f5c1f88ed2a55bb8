//! The demo: a short overload with faults on real processes, and a table of what held.

mod checks;
mod events;
mod plan;
mod probe;
mod promise;
mod run;

pub use self::promise::{Promise, Verdict};
pub use self::run::run;
