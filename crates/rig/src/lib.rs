//! Stand-ins, fault proxy, load generator and process harness for testing coltsfootport.

pub mod cli;
pub mod error;
pub mod http;
pub mod platform;
pub mod target;
