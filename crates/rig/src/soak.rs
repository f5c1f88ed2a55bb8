//! Injects random faults into real mesh nodes and checks what callers and targets observe.

mod callers;
mod evidence;
mod key;
mod leaving;
mod limits;
mod long_bodies;
mod lost;
mod machine;
mod pipelined;
mod plan;
mod planned;
mod rolls;
mod run;
mod runs;
mod strikes;

pub use self::evidence::{Evidence, RequestKind, RequestRecord, Span, find_breaches};
pub use self::key::{CHANGING_WORKSPACE, Key, LASTING_WORKSPACE};
pub use self::limits::NamedLimit;
pub use self::long_bodies::{LONG_BODY, LongBodyCounts};
pub use self::lost::{GRACE, WorkLimit};
pub use self::machine::{NodeLimits, NodeSettings, settings_text};
pub use self::pipelined::KeptRequest;
pub use self::plan::{Fault, Link, ScheduledFault, SoakPlan, StopAt, Work};
pub use self::run::{SoakReport, run};
pub use self::strikes::{Strike, StrikeCounts, count_strikes};
