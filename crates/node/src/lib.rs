//! The coltsfootport node as a library, so that tests can load settings and start a node in their own process.

pub mod commands;
pub mod config;
