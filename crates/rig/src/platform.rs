//! Stand-in for the platform: a configuration service and an instance list with fault injection and call counts.

mod fault;
mod owner;
mod routes;
mod seed;
mod state;
mod wire;

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;

use crate::http::Server;

pub use self::fault::{FaultMode, Faulty, ReadOutcome};
pub use self::seed::Seed;
pub use self::wire::{
    ConfigAnswer, ConfigEntry, Counts, FaultRequest, FaultScope, Instance, InstanceState,
    InstancesAnswer, WriteResponse,
};

/// A running stand-in platform. Dropping it stops the server.
#[derive(Debug)]
pub struct Platform {
    server: Server,
}

impl Platform {
    /// Starts serving the platform's interface on `listener`, with `seed` as the initial content.
    pub fn start(listener: TcpListener, seed: Seed) -> io::Result<Self> {
        let owner = owner::start(seed);
        let server = Server::start(listener, move |req| routes::handle(owner.clone(), req))?;
        Ok(Self { server })
    }

    /// Returns the listen address of the platform.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }
}
