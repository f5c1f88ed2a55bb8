//! Injects random faults into real processes under load and checks every guarantee after each round.
//! The faults follow from a seed.

mod evidence;
mod fault;
mod idle;
mod inject;
mod plan;
mod run;

pub use self::evidence::{Evidence, find_breaches};
pub use self::fault::{Direction, Fault, ScheduledFault};
pub use self::idle::wait_until_idle;
pub use self::plan::{ChaosPlan, Round};
pub use self::run::{ChaosReport, run};
