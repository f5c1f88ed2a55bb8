//! TCP between nodes: plain frames, one request at a time on a connection.

mod client;
mod conn;
mod frames;
mod health;
mod hub;
mod pieces;
mod server;
mod watch;

pub use client::{LinkFault, send};
pub use conn::PeerConn;
pub use frames::StreamHead;
pub use hub::LinkHub;
pub use server::{Serving, serve};
pub use watch::watch_peers;
