//! An accepted document comes into force on every instance, and no instance returns to an older revision.

use std::time::{Duration, Instant};

use coltsfootport_rig::fleet::{Fleet, FleetPlan, ServicePlan};
use coltsfootport_rig::http::ClientCall;
use coltsfootport_rig::platform::{FaultMode, FaultScope};
use coltsfootport_rig::proxy::Cut;
use http::Method;
use serde_json::{Value, json};

/// Guaranteed time in which an accepted document is in force everywhere. Most tests also print the time they measured.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);

/// How long a state that must not change is observed.
const OBSERVED_FOR: Duration = Duration::from_millis(1500);

const SERVICE: &str = "bidding";

fn plan() -> FleetPlan {
    let bidding = ServicePlan::new(SERVICE, &["a", "a", "b", "b", "c", "c"]);
    FleetPlan {
        services: vec![bidding],
        proxied: true,
        // As in production, a node that starts alone waits for its peers before it relies on the platform only.
        node: json!({ "spread": { "start_wait_ms": 2000 } }),
        ..FleetPlan::default()
    }
}

async fn start_fleet() -> Fleet {
    Fleet::start(plan())
        .await
        .expect("failed to start the fleet")
}

/// Returns the documents that a node reports.
async fn documents(fleet: &Fleet, node: &str) -> Vec<Value> {
    let status = fleet
        .status(node)
        .await
        .expect("failed to read the node status");
    status["documents"].as_array().cloned().unwrap_or_default()
}

/// Kills a node, starts it again and waits until it is ready.
async fn restart(fleet: &mut Fleet, node: &str) {
    let client = fleet.client.clone();
    let member = fleet.member_mut(node);
    member.kill_node().expect("failed to kill the node");
    member.start_node().expect("failed to start the node");
    member
        .ready(&client)
        .await
        .expect("node did not become ready");
}

/// Returns the revision in force at a node, or 0 if there is none.
async fn revision_in_force(fleet: &Fleet, node: &str) -> u64 {
    let documents = documents(fleet, node).await;
    let document = documents
        .iter()
        .find(|document| document["service"] == SERVICE);
    document
        .and_then(|document| document["in_force"].as_u64())
        .unwrap_or(0)
}

/// Names of the nodes that are running.
fn running_nodes(fleet: &Fleet) -> Vec<String> {
    let running = fleet
        .members
        .values()
        .filter(|member| member.node.is_some());
    running.map(|member| member.name.to_string()).collect()
}

/// Waits until at least `revision` is in force at all `nodes` and returns the time it took.
///
/// Panics if a node returns to a lower revision or the wait exceeds `within`.
async fn wait_in_force(
    fleet: &Fleet,
    nodes: &[String],
    revision: u64,
    within: Duration,
) -> Duration {
    let started = Instant::now();
    let mut seen = vec![0; nodes.len()];
    loop {
        for (seen, node) in seen.iter_mut().zip(nodes) {
            let now = revision_in_force(fleet, node).await;
            assert!(
                now >= *seen,
                "{node} went back from revision {seen} to {now}"
            );
            *seen = now;
        }
        if seen.iter().all(|seen| *seen >= revision) {
            return started.elapsed();
        }
        assert!(
            started.elapsed() < within,
            "revision {revision} is not in force everywhere: nodes {nodes:?}, revisions {seen:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Asserts that `revision` stays in force at all `nodes` for [`OBSERVED_FOR`].
async fn assert_stays_in_force(fleet: &Fleet, nodes: &[String], revision: u64) {
    let deadline = Instant::now() + OBSERVED_FOR;
    while Instant::now() < deadline {
        for node in nodes {
            assert_eq!(revision_in_force(fleet, node).await, revision, "{node}");
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Asserts that no node reports a violated invariant.
async fn assert_no_breaches(fleet: &Fleet) {
    assert_eq!(
        fleet
            .breaches()
            .await
            .expect("failed to read the node statuses"),
        Vec::<String>::new()
    );
}

fn document(retries: u16) -> String {
    ServicePlan::document(SERVICE, retries)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_everywhere() {
    let fleet = start_fleet().await;
    let all = running_nodes(&fleet);
    let mut slowest = Duration::ZERO;
    for round in 0..6 {
        let revision = fleet
            .publish(SERVICE, &document(round))
            .await
            .expect("failed to publish the document");
        slowest = slowest.max(wait_in_force(&fleet, &all, revision, IN_FORCE_WITHIN).await);
    }
    println!("slowest of 6 changes on 6 nodes: in force after {slowest:?}");
    assert_no_breaches(&fleet).await;
}

// A change is accepted while the platform fails or serves stale data in two of three failure domains. If nodes relied on their
// own reads only, those in the two domains would keep using a document older than the one reported as accepted.
#[tokio::test(flavor = "multi_thread")]
async fn one_domain_that_reads_is_enough() {
    for mode in [FaultMode::Down, FaultMode::Stale] {
        let fleet = start_fleet().await;
        let all = running_nodes(&fleet);
        for domain in ["b", "c"] {
            let fault = fleet.platform_fault_in(domain, mode, FaultScope::Config);
            fault.await.expect("failed to inject the platform fault");
        }
        let revision = fleet
            .publish(SERVICE, &document(3))
            .await
            .expect("failed to publish the document");
        let took = wait_in_force(&fleet, &all, revision, IN_FORCE_WITHIN).await;
        println!("platform fault {mode:?} in two of three domains: in force after {took:?}");
        assert_no_breaches(&fleet).await;
    }
}

// The platform alternates between an old snapshot and the current one. If the last read always came into force, nodes would
// switch back and forth between two versions.
#[tokio::test(flavor = "multi_thread")]
async fn a_flapping_platform_takes_no_node_back() {
    let fleet = start_fleet().await;
    let all = running_nodes(&fleet);
    fleet
        .platform_fault(FaultMode::Flap, FaultScope::All)
        .await
        .expect("failed to inject the platform fault");
    let revision = fleet
        .publish(SERVICE, &document(3))
        .await
        .expect("failed to publish the document");
    wait_in_force(&fleet, &all, revision, IN_FORCE_WITHIN).await;
    assert_stays_in_force(&fleet, &all, revision).await;
    assert_no_breaches(&fleet).await;
}

// A node is paused by SIGSTOP during three changes, and the platform is down when SIGCONT resumes it. If its own platform watch
// were the only source of changes, it would classify calls by a document that has been replaced three times.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_node_catches_up_from_its_peers() {
    let mut fleet = start_fleet().await;
    let all = running_nodes(&fleet);
    fleet
        .member_mut("bidding-1")
        .freeze()
        .expect("failed to pause the node");
    let others: Vec<String> = all
        .iter()
        .filter(|node| *node != "bidding-1")
        .cloned()
        .collect();
    let mut revision = 0;
    for round in 3..6 {
        revision = fleet
            .publish(SERVICE, &document(round))
            .await
            .expect("failed to publish the document");
        wait_in_force(&fleet, &others, revision, IN_FORCE_WITHIN).await;
    }
    fleet
        .platform_fault(FaultMode::Down, FaultScope::All)
        .await
        .expect("failed to inject the platform fault");
    fleet
        .member_mut("bidding-1")
        .wake()
        .expect("failed to resume the node");
    let took = wait_in_force(&fleet, &all, revision, IN_FORCE_WITHIN).await;
    println!("resumed node caught up with the platform down after {took:?}");
    assert_no_breaches(&fleet).await;
}

// A change is accepted, the configuration service serves stale data or is down, and a node is killed and restarted. If a new
// node relied on the platform alone, it would serve by an older document than its peers.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_started_beside_a_stale_platform_takes_the_newest_of_its_peers() {
    for mode in [FaultMode::Stale, FaultMode::Down] {
        let mut fleet = start_fleet().await;
        let all = running_nodes(&fleet);
        // The stale mode serves the revision current when the fault is injected, so the change is published afterwards.
        fleet
            .platform_fault_in("c", mode, FaultScope::Config)
            .await
            .expect("failed to inject the platform fault");
        let revision = fleet
            .publish(SERVICE, &document(3))
            .await
            .expect("failed to publish the document");
        wait_in_force(&fleet, &all, revision, IN_FORCE_WITHIN).await;
        fleet
            .platform_fault_in("a", FaultMode::Down, FaultScope::Config)
            .await
            .expect("failed to inject the platform fault");
        fleet
            .platform_fault_in("b", FaultMode::Down, FaultScope::Config)
            .await
            .expect("failed to inject the platform fault");
        restart(&mut fleet, "bidding-5").await;
        assert_eq!(
            revision_in_force(&fleet, "bidding-5").await,
            revision,
            "revision in force once the node is ready, platform fault {mode:?}"
        );
        assert_no_breaches(&fleet).await;
    }
}

/// Guards against a started node that stays without documents because its peers send more at once than it accepts.
#[tokio::test(flavor = "multi_thread")]
async fn a_started_node_takes_several_megabytes_of_documents_from_its_peers() {
    let mut fleet = start_fleet().await;
    let all = running_nodes(&fleet);
    for number in 0..30 {
        let service = format!("other-{number}");
        let document = ServicePlan::document(&service, 1) + &" ".repeat(100_000);
        fleet
            .publish(&service, &document)
            .await
            .expect("failed to publish the document");
    }
    let revision = fleet
        .publish(SERVICE, &document(3))
        .await
        .expect("failed to publish the document");
    wait_in_force(&fleet, &all, revision, 3 * IN_FORCE_WITHIN).await;
    fleet
        .platform_fault(FaultMode::Down, FaultScope::Config)
        .await
        .expect("failed to inject the platform fault");
    restart(&mut fleet, "bidding-5").await;
    let documents = documents(&fleet, "bidding-5").await;
    let in_force = documents.iter().filter(|d| d["in_force"].is_u64()).count();
    assert_eq!(in_force, 31, "documents in force once the node is ready");
    assert_no_breaches(&fleet).await;
}

// Two operators publish concurrently several times while one failure domain is partitioned, then the partition heals. If each
// side chose the latest version by its own count, part of the fleet would stay on a different version permanently.
#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_and_a_partition_leave_one_version() {
    let mut fleet = start_fleet().await;
    let all = running_nodes(&fleet);
    for other in ["a", "b"] {
        fleet.cut("c", other, Cut::Blackhole);
    }
    fleet
        .platform_fault_in("c", FaultMode::Down, FaultScope::All)
        .await
        .expect("failed to inject the platform fault");
    let (one, two) = (document(1), document(2));
    let mut revision = 0;
    for _ in 0..5 {
        let (first, second) =
            tokio::join!(fleet.publish(SERVICE, &one), fleet.publish(SERVICE, &two));
        revision = first
            .expect("failed to publish the document")
            .max(second.expect("failed to publish the document"));
    }
    let connected: Vec<String> = ["bidding-1", "bidding-2", "bidding-3", "bidding-4"]
        .map(Into::into)
        .into();
    wait_in_force(&fleet, &connected, revision, IN_FORCE_WITHIN).await;
    fleet.heal();
    let took = wait_in_force(&fleet, &all, revision, 3 * IN_FORCE_WITHIN).await;
    println!("same revision everywhere {took:?} after the partition healed");
    assert_stays_in_force(&fleet, &all, revision).await;
    assert_no_breaches(&fleet).await;
}

// An invalid document is published, then a node is restarted. If the newest version came into force unchecked or were dropped
// silently, a typing error would remove the rules of a service, or its faults would not be reported to operators.
#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_document_leaves_the_last_good_one() {
    let mut fleet = start_fleet().await;
    let all = running_nodes(&fleet);
    let good = fleet
        .publish(SERVICE, &document(3))
        .await
        .expect("failed to publish the document");
    wait_in_force(&fleet, &all, good, IN_FORCE_WITHIN).await;
    let bad = r#"{ "service": "bidding", "clases": ["bid"] }"#;
    let revision = fleet
        .publish(SERVICE, bad)
        .await
        .expect("failed to publish the document");
    let shown = |status: &Value| {
        let document = status["documents"][0].clone();
        document["revision"] == revision && document["rejected"][0].is_string()
    };
    for node in &all {
        let deadline = Instant::now() + IN_FORCE_WITHIN;
        while !shown(
            &fleet
                .status(node)
                .await
                .expect("failed to read the node status"),
        ) {
            assert!(
                Instant::now() < deadline,
                "{node} does not report the document's faults"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(revision_in_force(&fleet, node).await, good);
    }
    restart(&mut fleet, "bidding-4").await;
    assert_eq!(
        revision_in_force(&fleet, "bidding-4").await,
        good,
        "a restarted node gets the last valid document"
    );
    let entry = fleet.member("bidding-4").addresses.callers;
    let call = ClientCall::new(entry, Method::GET, "/bidding/lots/1");
    let answer = fleet.client.send(call).await.expect("call failed");
    assert_eq!(answer.status, 200);
    assert_no_breaches(&fleet).await;
}
