//! What a node costs: processor, memory, control bytes and platform calls against what it has to carry.

mod dimension;
mod line;
mod measure;
mod options;
mod process_cost;
mod run;
mod sweep;

pub use self::dimension::Dimension;
pub use self::line::{Line, Point};
pub use self::options::CostOptions;
pub use self::run::run;
