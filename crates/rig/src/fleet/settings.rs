//! Generates the settings of the nodes.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::member::Addresses;
use super::plan::ServicePlan;

/// Region of all instances.
pub(super) const REGION: &str = "one";

/// Builds the settings of a node and merges `overrides` into them in order.
pub(super) fn node_settings(
    name: &str,
    domain: &str,
    service: &ServicePlan,
    addresses: &Addresses,
    platform: SocketAddr,
    overrides: &[Value],
) -> Value {
    let mut settings = json!({
        "node": {
            "name": name,
            "service": service.name.as_str(),
            "domain": domain,
            "region": REGION,
        },
        "listen": {
            "callers": addresses.callers,
            "egress": addresses.egress,
            "peers": addresses.peers,
            "operators": addresses.operators,
        },
        "target": {
            "address": addresses.target,
            "slots": service.target.slots,
        },
        "platform": { "address": platform },
        // The defaults are for 1,400 nodes; a test fleet is small and all its nodes start at once.
        "spread": { "start_fleet": 2, "start_wait_ms": 200 },
    });
    for patch in overrides {
        merge(&mut settings, patch);
    }
    settings
}

/// Merges `patch` into `base` recursively; values other than objects are replaced.
fn merge(base: &mut Value, patch: &Value) {
    match (base, patch) {
        (Value::Object(base), Value::Object(patch)) => {
            for (key, value) in patch {
                merge(base.entry(key).or_insert(Value::Null), value);
            }
        }
        (base, patch) => *base = patch.clone(),
    }
}
