//! QUIC between nodes: one stream a request, in plain frames.

mod client;
mod endpoint;
mod frames;
mod health;
mod hub;
mod reset_guard;
mod server;
mod tls;

pub use client::{LinkFault, send};
pub use endpoint::{LinkError, bind};
pub use frames::StreamHead;
pub use hub::{Link, LinkHub, run_hub};
pub use reset_guard::ResetGuard;
pub use server::{Serving, serve};
