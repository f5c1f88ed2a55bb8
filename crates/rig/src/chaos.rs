//! Long random runs: faults drawn from a seed strike real processes under load, and every promise is checked after each
//! round.

mod fault;
mod plan;
mod rest;
mod run;
mod strike;
mod verdict;

pub use self::fault::{Direction, Fault, Strike};
pub use self::plan::{ChaosPlan, Round};
pub use self::rest::at_rest;
pub use self::run::{ChaosReport, run};
pub use self::verdict::{Evidence, breaches_of};
