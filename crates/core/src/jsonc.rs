//! Validating reader for JSON with comments. Every fault is reported with its position and key.

mod fault;
mod faults;
mod formats;
mod item;
mod location;
mod nearest;
mod parser;
mod presence;
mod section;
mod structure;

pub use fault::{Fault, FaultKind};
pub use faults::Faults;
pub use item::Item;
pub use location::Location;
pub use nearest::nearest;
pub use parser::{Parsed, parse};
pub use presence::Presence;
pub use section::Section;
