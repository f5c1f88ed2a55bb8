//! What a fleet consists of.

use std::time::Duration;

use serde_json::{Value, json};
use smol_str::SmolStr;

use crate::http::Client;
use crate::process::Output;
use crate::target;

/// One service with its instances.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// Name of the service.
    pub name: SmolStr,
    /// Text of its document.
    pub document: String,
    /// Failure domain of each instance; instance `i` is named `{name}-{i+1}`.
    pub domains: Vec<SmolStr>,
    /// Behaviour of its targets.
    pub target: target::Settings,
    /// Fields that replace those of the nodes' settings.
    pub node: Value,
}

/// A fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The services.
    pub services: Vec<ServicePlan>,
    /// Fields that replace those of every node's settings.
    pub node: Value,
    /// Whether nodes reach each other through the fault proxy, with a platform for each failure domain.
    pub proxied: bool,
    /// Where the output of the nodes goes.
    pub output: Output,
    /// Seed of the proxy's jitter and losses.
    pub seed: u64,
}

impl ServicePlan {
    /// A service with one instance in each of the named failure domains and the classes `bid`, `browse` and `lookup`.
    pub fn new(name: &str, domains: &[&str]) -> Self {
        Self {
            name: SmolStr::new(name),
            document: Self::document(name, 2),
            domains: domains.iter().map(SmolStr::new).collect(),
            target: target::Settings::default(),
            node: json!({}),
        }
    }

    /// A document in which `POST /bids` is non-idempotent and shed last, and `/lookup` is shed first.
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
    /// A client that does not use connections which the nodes may be closing at that moment.
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
