//! The demo's fleet and load.

use std::net::SocketAddr;

use serde_json::json;
use smol_str::SmolStr;

use crate::error::RigError;
use crate::fleet::{FleetPlan, ServicePlan};
use crate::load::{Behaviour, LoadPlan, Operation, Stage};
use crate::target;

/// Services from the entry to the deepest.
pub(super) const CHAIN: [&str; 4] = ["bidding", "watchlists", "prices", "lots"];

/// Service whose calls must not run twice.
pub(super) const FIRST: &str = CHAIN[0];

/// Service at the end of the chain, which limits the whole.
pub(super) const DEEPEST: &str = CHAIN[3];

/// Node that is killed during the surge.
pub(super) const KILLED: &str = "bidding-2";

/// Requests a second that the deepest service can serve: instances times slots over service time.
pub(super) const CAPACITY: f64 = 3.0 * 4.0 / 0.08;

/// Retries that the documents allow one request.
pub(super) const ALLOWANCE: u16 = 2;

/// Sendings of a call by the clients.
pub(super) const TRIES: u32 = 4;

/// Seconds of warm-up, of normal load, of the surge, and of normal load afterwards.
pub(super) const WARM_UP: f64 = 3.0;
pub(super) const BEFORE: f64 = 5.0;
pub(super) const SURGE: f64 = 10.0;
pub(super) const AFTER: f64 = 12.0;

const NORMAL_SHARE: f64 = 0.6;
const SURGE_FACTOR: f64 = 4.0;
const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Four services in a row, three instances each, in three failure domains.
pub(super) fn fleet() -> Result<FleetPlan, RigError> {
    let mut services = Vec::new();
    for (index, name) in CHAIN.iter().enumerate() {
        let below = CHAIN.get(index + 1);
        let downstream = below.map(|below| format!("GET /{below}/items/1").parse());
        let target = target::Settings {
            slots: if below.is_some() { 64 } else { 4 },
            service_ms: if below.is_some() { 2.0 } else { 80.0 },
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

/// A surge of clients that send again at once.
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
