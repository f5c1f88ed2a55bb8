//! Overload and fault experiments on both users' fleets, comparing variants of the admission and retry policy.

mod client_links;
mod deployment;
mod measures;
mod options;
mod outcome;
mod phases;
mod recovery;
mod run;
mod scenario;
mod snapshot;
mod spread;
mod table;
mod trigger;
mod user;
mod variant;

pub use self::deployment::Deployment;
pub use self::measures::{ClassMeasure, Measures};
pub use self::options::ExperimentOptions;
pub use self::outcome::Outcome;
pub use self::phases::Phases;
pub use self::recovery::{Recovery, SecondStats};
pub(crate) use self::run::load_average;
pub use self::run::run;
pub use self::scenario::Scenario;
pub use self::spread::Spread;
pub use self::user::User;
pub use self::variant::Variant;
