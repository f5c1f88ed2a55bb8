//! The coltsfootport node and its commands: overload control beside each target instance.

pub mod cli;
pub mod commands;
pub mod exit;
pub mod http_client;
pub mod log;
pub mod metrics;
pub mod operators;
