//! Routes of a mesh configuration.

use std::hash::{Hash, Hasher};
use std::time::Duration;

use smol_str::SmolStr;

use crate::collections::FastHasher;
use crate::id::ServiceName;
use crate::mesh::RequestKind;

/// Whether the requests of a route may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Executing it more than once has no further effect.
    Idempotent,
    /// It must not be executed more than once.
    AtMostOnce,
}

/// Which bodies of a route are large.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LargeBodies {
    /// Neither.
    #[default]
    None,
    /// Those of requests.
    Requests,
    /// Those of responses.
    Responses,
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight, relative to the sum over all services of the route.
    pub weight: f64,
}

/// Maps requests for a host name and path prefix to services, and configures how they are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name; identifies the route across configuration versions.
    pub name: SmolStr,
    /// Host name, in lower case and without port.
    pub host: SmolStr,
    /// Path prefix; starts and ends with a slash.
    pub prefix: SmolStr,
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
    /// Which of its bodies are large.
    pub large_bodies: LargeBodies,
    /// Maximum time until a caller gets a response.
    pub timeout: Duration,
    /// Latency up to which a response has its full value.
    pub latency_target: Duration,
    /// Urgency; 0 is the most urgent and shed last.
    pub rank: u8,
    /// Services that receive its requests; more than one if the traffic is split.
    pub services: Vec<WeightedService>,
    /// Maximum number of targets that a request may be sent to.
    pub max_attempts: u32,
    /// Whether its requests need no key even if workspaces are configured.
    pub public: bool,
}

impl Route {
    /// Identifies the route in reports and frames. It is a hash of the name; routes that collide only share their mean
    /// service times.
    pub fn kind(&self) -> RequestKind {
        let mut hasher = FastHasher::default();
        self.name.hash(&mut hasher);
        RequestKind(hasher.finish() as u32)
    }
}
