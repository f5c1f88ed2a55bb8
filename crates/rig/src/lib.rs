//! Test tools for coltsfootport: stand-ins for target and platform, fault proxy, load generator and process harness.

pub mod chaos;
pub mod cli;
pub mod cost;
pub mod demo;
pub mod error;
pub mod experiment;
pub mod fleet;
pub mod http;
pub mod latency;
pub mod load;
pub mod platform;
pub mod plot;
pub mod process;
pub mod proxy;
pub mod soak;
pub mod target;
pub mod timer;
