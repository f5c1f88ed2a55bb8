//! Checked reading of JSON with comments: every fault is reported with its position and key.

mod fault;
mod faults;
mod item;
mod nearest;
mod need;
mod place;
mod section;
mod shape;
mod text;
mod words;

pub use fault::{Fault, FaultKind};
pub use faults::Faults;
pub use item::Item;
pub use nearest::nearest;
pub use need::Need;
pub use place::Place;
pub use section::Section;
pub use text::{Parsed, parse};
