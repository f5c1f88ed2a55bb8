//! Injects random faults into real mesh nodes and checks what callers and targets observe.

mod callers;
mod evidence;
mod key;
mod leaving;
mod limits;
mod long_bodies;
mod machine;
mod plan;
mod run;

pub use self::evidence::{Evidence, RequestKind, RequestRecord, Span, find_breaches};
pub use self::key::{CHANGING_WORKSPACE, Key, LASTING_WORKSPACE};
pub use self::limits::NamedLimit;
pub use self::long_bodies::{LONG_BODY, LongBodyCounts};
pub use self::machine::{NodeSettings, settings_text};
pub use self::plan::{Fault, Link, ScheduledFault, SoakPlan, StopAt};
pub use self::run::{SoakReport, run};
