//! Latency that the nodes add: calls through entry and host compared with calls sent directly to the target.

mod options;
mod quantiles;
mod run;

pub use self::options::LatencyOptions;
pub use self::quantiles::Quantiles;
pub use self::run::run;
