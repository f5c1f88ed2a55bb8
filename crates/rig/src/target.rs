//! Stand-in for a target: slots, service time, cold start, calls to further services, cancel, drain, lying health.

mod counters;
mod counts;
mod echo;
mod egress;
mod owner;
mod routes;
mod run;
mod settings;
mod slots;

use std::io;
use std::net::SocketAddr;

use smol_str::SmolStr;
use tokio::net::TcpListener;

use crate::http::{Client, Server};
use crate::target::egress::Egress;
use crate::target::routes::Context;

pub use self::counts::{ClassCounts, KeyRuns, TargetCounts};
pub use self::echo::{DownstreamEcho, Echo};
pub use self::owner::Load;
pub use self::settings::{DownstreamMode, Health, PathCalls, ServiceTime, Settings, WhenFull};

/// Header that names a request of a test; echoed and counted.
pub const KEY_HEADER: &str = "x-rig-key";

/// Where a target stands.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The service that the target runs.
    pub service: SmolStr,
    /// Address of its node's egress listener; calls to further services fail without one.
    pub egress: Option<SocketAddr>,
}

/// A running stand-in target; dropping it ends it as a crash would.
#[derive(Debug)]
pub struct Target {
    server: Server,
}

impl Target {
    /// Serves calls on `listener`.
    pub fn start(
        listener: TcpListener,
        placement: Placement,
        settings: Settings,
    ) -> io::Result<Self> {
        let cx = Context {
            owner: owner::start(settings),
            egress: Egress::new(Client::default(), placement.egress),
            service: placement.service,
        };
        let server = Server::start(listener, move |req| routes::handle(cx.clone(), req))?;
        Ok(Self { server })
    }

    /// The address that the target listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }
}
