//! Latency that the nodes add: caller, entry, host and target against caller and target alone.

mod options;
mod quantiles;
mod run;

pub use self::options::LatencyOptions;
pub use self::quantiles::Quantiles;
pub use self::run::run;
