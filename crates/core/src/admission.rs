//! Admission of calls at the node beside a target: how many run, which wait and which are refused.
//!
//! [`Admission`] takes offers, ends of calls and the time, and answers with [`Action`]s. [`DownstreamLevels`] keeps what
//! was heard of the levels of services further down, so that an entry refuses early what would be shed deep below.

mod call;
mod config;
mod controller;
mod counters;
mod downstream_levels;
mod estimate;
mod level;
mod level_control;
mod limit;
mod queue;
mod refusal;
mod window;

pub use call::{Action, CallKey, Finish, Offer};
pub use config::{AdmissionConfig, AdmissionMode, LimitRule};
pub use controller::Admission;
pub use counters::ClassCounters;
pub use downstream_levels::{DownstreamLevels, DownstreamLevelsConfig};
pub use level::Level;
