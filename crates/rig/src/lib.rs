//! Stand-ins, fault proxy, load generator and process harness for testing coltsfootport.

pub mod chaos;
pub mod cli;
pub mod error;
pub mod fleet;
pub mod http;
pub mod load;
pub mod platform;
pub mod process;
pub mod proxy;
pub mod target;
pub mod timer;
