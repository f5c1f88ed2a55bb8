//! Stand-in for the platform: configuration service and instance list, with faults and counted calls.

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

/// A running stand-in platform; dropping it ends it.
#[derive(Debug)]
pub struct Platform {
    server: Server,
}

impl Platform {
    /// Serves the platform's interface on `listener`, with `seed` already written.
    pub fn start(listener: TcpListener, seed: Seed) -> io::Result<Self> {
        let owner = owner::start(seed);
        let server = Server::start(listener, move |req| routes::handle(owner.clone(), req))?;
        Ok(Self { server })
    }

    /// The address that the platform listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }
}
