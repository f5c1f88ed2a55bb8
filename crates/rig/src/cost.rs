//! Resource cost of a node: processor time, memory, control traffic and platform calls as functions of fleet size and
//! load.

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
