//! Admission control at the node beside a target: which calls run, which are queued and which are refused.
//!
//! [`Admission`] is driven by offers, finished calls and the time, and returns [`Action`]s. [`DownstreamLevels`] tracks
//! the admission levels of downstream services, so that an entry refuses early the calls that would be shed there.

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
