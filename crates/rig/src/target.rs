//! Stand-in target with slots, service times, a cold start, calls to downstream services, cancellation, draining and
//! configurable health and load reports.

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

/// Header with the key of a test request. The key is echoed in the response, and runs are counted by it.
pub const KEY_HEADER: &str = "x-rig-key";

/// Service and node that a target belongs to.
#[derive(Clone, Debug)]
pub struct Placement {
    /// The service that the target runs.
    pub service: SmolStr,
    /// Address of the node's egress listener; calls to downstream services fail without one.
    pub egress: Option<SocketAddr>,
}

/// A running stand-in target. Dropping it stops the target abruptly, like a crash.
#[derive(Debug)]
pub struct Target {
    server: Server,
}

impl Target {
    /// Starts serving calls on `listener`.
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

    /// Returns the listen address of the target.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }
}
