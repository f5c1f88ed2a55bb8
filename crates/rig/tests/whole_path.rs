//! Requests that pass through separate processes: caller, entry, host, target and a downstream service.

use std::time::{Duration, Instant};

use coltsfootport_rig::fleet::{Fleet, FleetPlan, ServicePlan};
use coltsfootport_rig::http::ClientCall;
use coltsfootport_rig::target;
use http::Method;
use serde_json::Value;

fn plan() -> FleetPlan {
    let target = target::Settings {
        downstream: vec!["GET /prices/p/1".parse().expect("a call")],
        ..target::Settings::default()
    };
    let bidding = ServicePlan {
        target,
        ..ServicePlan::new("bidding", &["a", "b"])
    };
    let prices = ServicePlan::new("prices", &["a", "b"]);
    FleetPlan {
        services: vec![bidding, prices],
        proxied: true,
        ..FleetPlan::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_served_from_end_to_end() {
    let fleet = Fleet::start(plan()).await.expect("a fleet");
    for (i, entry) in fleet.entries().into_iter().enumerate() {
        let mut call = ClientCall::new(entry, Method::GET, "/bidding/lots/5");
        call.timeout = Duration::from_secs(10);
        let key = format!("whole-{i}");
        call.headers
            .insert("x-rig-key", key.parse().expect("a header"));
        let answer = fleet.client.send(call).await.expect("an answer");
        assert_eq!(answer.status, 200);
        assert_eq!(answer.header("coltsfootport-outcome"), Some("ran"));
        let echo: Value = serde_json::from_slice(&answer.body).expect("an echo");
        assert_eq!(echo["key"], key.as_str());
        assert_eq!(echo["path"], "/lots/5");
        assert_eq!(echo["downstream"][0]["echo"]["service"], "prices");
        assert_eq!(fleet.runs("bidding", &key).await.expect("counts"), 1);
    }
    assert_eq!(
        fleet.breaches().await.expect("statuses"),
        Vec::<String>::new()
    );
}

// Guards against a node that answers "no-target" for its own service during the first half minute after its start,
// while other nodes can reach that service. All nodes start together and connect while they are still starting; then
// each of them begins to serve. The failure occurs if a node announces that it serves only to the peers it is
// connected to, and doesn't record it for itself.
#[tokio::test(flavor = "multi_thread")]
async fn every_node_serves_every_service_from_the_start() {
    let mut plan = plan();
    plan.node = serde_json::json!({ "spread": { "start_wait_ms": 2000, "start_fleet": 1400 } });
    let fleet = Fleet::start(plan).await.expect("a fleet");
    let deadline = Instant::now() + Duration::from_secs(5);
    for entry in fleet.entries() {
        for path in ["/bidding/lots/5", "/prices/p/1"] {
            while fleet
                .client
                .send(ClientCall::new(entry, Method::GET, path))
                .await
                .expect("an answer")
                .status
                != 200
            {
                assert!(Instant::now() < deadline, "{entry} does not serve {path}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}
