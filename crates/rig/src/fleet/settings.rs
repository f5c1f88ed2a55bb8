//! The settings of one node of a fleet.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::member::Addresses;
use super::plan::ServicePlan;

/// Region of every instance.
pub(super) const REGION: &str = "one";

/// The settings of a node; later parts replace fields of earlier ones.
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
        // A test fleet is small and starts all at once; the defaults are for 1,400 nodes.
        "spread": { "start_fleet": 2, "start_wait_ms": 200 },
    });
    for part in overrides {
        merge(&mut settings, part);
    }
    settings
}

fn merge(into: &mut Value, part: &Value) {
    match (into, part) {
        (Value::Object(into), Value::Object(part)) => {
            for (key, value) in part {
                merge(into.entry(key).or_insert(Value::Null), value);
            }
        }
        (into, part) => *into = part.clone(),
    }
}
