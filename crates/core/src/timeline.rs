//! The time line: typed events of every node, stamped so that they can be merged over all nodes.

mod event;
mod event_kind;
mod filter;
mod hlc;
mod label;
mod merge;
mod record;
mod render;
mod ring;
mod stamp;

pub use event::Event;
pub use event_kind::{EventKind, ParseEventKindError};
pub use filter::Filter;
pub use hlc::{Hlc, Observed};
pub use merge::{merge, merge_by};
pub use record::Record;
pub use render::render;
pub use ring::Ring;
pub use stamp::{ParseStampError, Stamp};
