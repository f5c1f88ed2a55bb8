//! Timeline of typed events.
//!
//! Nodes stamp events with a hybrid logical clock, so that the timelines of all nodes can be merged.

mod event;
mod event_kind;
mod filter;
mod hlc;
mod merge;
mod record;
mod render;
mod ring;
mod serde_labels;
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
