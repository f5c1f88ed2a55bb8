//! Test harness that runs a fleet as child processes: platform stand-ins, targets and nodes, with an optional fault
//! proxy between the nodes.

mod keys;
mod member;
mod plan;
mod programs;
mod running;
mod settings;

pub use self::keys::FleetKeys;
pub use self::member::Member;
pub use self::plan::{FleetPlan, ServicePlan};
pub use self::programs::Programs;
pub use self::running::{Fleet, READY_TIME};
