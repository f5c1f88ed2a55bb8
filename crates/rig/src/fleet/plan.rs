//! Configuration of a test fleet.

use std::time::Duration;

use serde_json::{Value, json};
use smol_str::SmolStr;

use crate::http::Client;
use crate::process::Output;
use crate::target;

/// Configuration of a service and its instances.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name of the service.
    pub name: SmolStr,
    /// The service's document, as JSON text.
    pub document: String,
    /// Failure domain of each instance; instance `i` is named `{name}-{i+1}`.
    pub domains: Vec<SmolStr>,
    /// Settings of the targets.
    pub target: target::Settings,
    /// Overrides merged into the settings of this service's nodes.
    pub node: Value,
}

/// Configuration of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Services of the fleet.
    pub services: Vec<ServicePlan>,
    /// Overrides merged into the settings of every node.
    pub node: Value,
    /// Routes traffic between nodes through the fault proxy and runs one platform stand-in per failure domain.
    pub proxied: bool,
    /// Destination of the nodes' output; [`Output::File`] names a directory that gets one log file per node.
    pub output: Output,
    /// Seed for the jitter and packet loss of the fault proxy.
    pub seed: u64,
}

impl ServicePlan {
    /// Creates a service with one instance per entry of `domains` and the classes `bid`, `browse` and `lookup`.
    pub fn new(name: &str, domains: &[&str]) -> Self {
        Self {
            name: SmolStr::new(name),
            document: Self::document(name, 2),
            domains: domains.iter().map(SmolStr::new).collect(),
            target: target::Settings::default(),
            node: json!({}),
        }
    }

    /// Returns a document in which `POST /bids` is non-idempotent and shed last, and `/lookup` is shed first.
    pub fn document(service: &str, retry_allowance: u16) -> String {
        json!({
            "service": service,
            "classes": ["bid", "browse", "lookup"],
            "default_class": "browse",
            "operations": [
                {"method": "POST", "path": "/bids", "class": "bid", "idempotent": false},
                {"path": "/lookup", "class": "lookup"},
            ],
            "retry_allowance": retry_allowance,
        })
        .to_string()
    }
}

impl FleetPlan {
    /// Creates a client that drops idle connections before the nodes do, so that no request goes out on a connection
    /// that a node is about to close.
    pub(super) fn client(&self) -> Client {
        match self.node["limits"]["idle_timeout_ms"].as_u64() {
            Some(idle_ms) => Client::with_idle_timeout(Duration::from_millis(idle_ms) * 4 / 5),
            None => Client::default(),
        }
    }
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            services: Vec::new(),
            node: json!({}),
            proxied: false,
            output: Output::Null,
            seed: 1,
        }
    }
}
