//! Fleet and load of the demo.

use std::net::SocketAddr;

use serde_json::json;
use smol_str::SmolStr;

use crate::error::RigError;
use crate::fleet::{FleetPlan, ServicePlan};
use crate::load::{Behaviour, LoadPlan, Operation, Stage};
use crate::target;

/// Chain of services, from the first to the deepest.
pub(super) const CHAIN: [&str; 4] = ["bidding", "watchlists", "prices", "lots"];

/// First service of the chain; its bids are non-idempotent and must not run twice.
pub(super) const FIRST: &str = CHAIN[0];

/// Last service of the chain, the bottleneck.
pub(super) const DEEPEST: &str = CHAIN[3];

/// Name of the node that is killed during the surge.
pub(super) const KILLED: &str = "bidding-2";

/// Requests per second that the deepest service can serve: instances * slots / service time.
pub(super) const CAPACITY: f64 = 3.0 * 4.0 / 0.08;

/// Retry allowance per request in the documents.
pub(super) const ALLOWANCE: u16 = 2;

/// Maximum number of attempts per call by the clients.
pub(super) const TRIES: u32 = 4;

/// Durations in seconds of the warm-up, the normal load, the surge and the normal load after it.
pub(super) const WARM_UP: f64 = 3.0;
pub(super) const BEFORE: f64 = 5.0;
pub(super) const SURGE: f64 = 10.0;
pub(super) const AFTER: f64 = 12.0;

/// Normal load as a share of the capacity.
const NORMAL_SHARE: f64 = 0.6;
/// Load during the surge as a multiple of the normal load.
const SURGE_FACTOR: f64 = 4.0;
/// Failure domains of the instances.
const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Returns a chain of four services with three instances each, one per failure domain.
pub(super) fn fleet() -> Result<FleetPlan, RigError> {
    let mut services = Vec::new();
    for (index, name) in CHAIN.iter().enumerate() {
        let next = CHAIN.get(index + 1);
        let downstream = next.map(|next| format!("GET /{next}/items/1").parse());
        let target = target::Settings {
            slots: if next.is_some() { 64 } else { 4 },
            service_ms: if next.is_some() { 2.0 } else { 80.0 },
            downstream: downstream.into_iter().collect::<Result<_, _>>()?,
            ..target::Settings::default()
        };
        services.push(ServicePlan {
            target,
            document: ServicePlan::document(name, ALLOWANCE),
            ..ServicePlan::new(name, &DOMAINS)
        });
    }
    Ok(FleetPlan {
        services,
        node: json!({ "timeline": { "capacity": 16384 } }),
        proxied: true,
        ..FleetPlan::default()
    })
}

/// Returns normal load with a surge in between, from clients that retry immediately.
pub(super) fn load(entries: Vec<SocketAddr>) -> Result<LoadPlan, RigError> {
    let normal = CAPACITY * NORMAL_SHARE;
    let stage = |rate, seconds| Stage { rate, seconds };
    let bid = Operation {
        class: SmolStr::new("bid"),
        weight: 20,
        non_idempotent: true,
        ..Operation::new(format!("POST /{FIRST}/bids").parse()?, "bid")
    };
    let browse = Operation {
        weight: 50,
        ..Operation::new(format!("GET /{FIRST}/lots/1").parse()?, "browse")
    };
    let lookup = Operation {
        weight: 30,
        ..Operation::new(format!("GET /{FIRST}/lookup").parse()?, "lookup")
    };
    Ok(LoadPlan {
        entries,
        stages: vec![
            stage(normal, WARM_UP + BEFORE),
            stage(normal * SURGE_FACTOR, SURGE),
            stage(normal, AFTER),
        ],
        operations: vec![bid, browse, lookup],
        behaviour: Behaviour::HardRetry { tries: TRIES },
        deadline_ms: Some(1500),
        timeout_ms: 2000,
        record_keys: true,
        ..LoadPlan::default()
    })
}
