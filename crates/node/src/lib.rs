//! Node of coltsfootport, which provides overload control for a target, and its commands.

pub mod cli;
pub mod clock;
pub mod commands;
pub mod config;
pub mod data;
pub mod entry;
pub mod exit;
pub mod gate;
pub mod h1;
pub mod host;
pub mod http;
pub mod http_client;
pub mod log;
pub mod mesh;
pub mod metrics;
pub mod node;
pub mod operators;
pub mod peers;
pub mod recorder;
pub mod routes;
pub mod socket_input;
pub mod spread;
pub mod wire;
