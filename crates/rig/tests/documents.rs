//! An accepted document is in force on every instance and never falls back.

use std::time::{Duration, Instant};

use coltsfootport_rig::fleet::{Fleet, FleetPlan, ServicePlan};
use coltsfootport_rig::http::ClientCall;
use coltsfootport_rig::platform::{FaultMode, FaultScope};
use coltsfootport_rig::proxy::Cut;
use http::Method;
use serde_json::{Value, json};

/// The promise; each test also prints what it saw.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);

/// How long a state that must not change is watched.
const WATCHED: Duration = Duration::from_millis(1500);

const SERVICE: &str = "bidding";

fn plan() -> FleetPlan {
    let bidding = ServicePlan::new(SERVICE, &["a", "a", "b", "b", "c", "c"]);
    FleetPlan {
        services: vec![bidding],
        proxied: true,
        // A node that starts alone waits for its peers, as in production, before the platform's word is enough.
        node: json!({ "spread": { "start_wait_ms": 2000 } }),
        ..FleetPlan::default()
    }
}

async fn fleet() -> Fleet {
    Fleet::start(plan()).await.expect("a fleet")
}

/// The revision in force at a node, 0 where there is none.
async fn in_force(fleet: &Fleet, node: &str) -> u64 {
    let status = fleet.status(node).await.expect("a status");
    let documents = status["documents"].as_array().cloned().unwrap_or_default();
    let document = documents
        .iter()
        .find(|document| document["service"] == SERVICE);
    document
        .and_then(|document| document["in_force"].as_u64())
        .unwrap_or(0)
}

fn nodes(fleet: &Fleet) -> Vec<String> {
    let running = fleet
        .members
        .values()
        .filter(|member| member.node.is_some());
    running.map(|member| member.name.to_string()).collect()
}

/// Waits until a revision is in force at all of the nodes; no node may show a lower one after a higher one.
async fn all_in_force(
    fleet: &Fleet,
    nodes: &[String],
    revision: u64,
    within: Duration,
) -> Duration {
    let started = Instant::now();
    let mut seen = vec![0; nodes.len()];
    loop {
        for (seen, node) in seen.iter_mut().zip(nodes) {
            let now = in_force(fleet, node).await;
            assert!(now >= *seen, "{node} fell back from {seen} to {now}");
            *seen = now;
        }
        if seen.iter().all(|seen| *seen >= revision) {
            return started.elapsed();
        }
        assert!(
            started.elapsed() < within,
            "{revision} not in force: {nodes:?} {seen:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn stays_in_force(fleet: &Fleet, nodes: &[String], revision: u64) {
    let until = Instant::now() + WATCHED;
    while Instant::now() < until {
        for node in nodes {
            assert_eq!(in_force(fleet, node).await, revision, "{node}");
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

async fn no_breach(fleet: &Fleet) {
    assert_eq!(
        fleet.breaches().await.expect("statuses"),
        Vec::<String>::new()
    );
}

fn document(retries: u16) -> String {
    ServicePlan::document(SERVICE, retries)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_in_force_everywhere() {
    let fleet = fleet().await;
    let all = nodes(&fleet);
    let mut slowest = Duration::ZERO;
    for round in 0..6 {
        let revision = fleet
            .publish(SERVICE, &document(round))
            .await
            .expect("a write");
        slowest = slowest.max(all_in_force(&fleet, &all, revision, IN_FORCE_WITHIN).await);
    }
    println!("slowest of 6 changes on 6 nodes: {slowest:?}");
    no_breach(&fleet).await;
}

// Symptom: after an outage of the platform some nodes act on a document older than the one that their team saw accepted.
// Sequence: a change is accepted; all readers of two failure domains lose the platform; one domain still reads.
// Cause: nodes that depend on their own reads don't hear of a change while these fail.
#[tokio::test(flavor = "multi_thread")]
async fn one_domain_that_reads_is_enough() {
    for mode in [FaultMode::Down, FaultMode::Stale] {
        let fleet = fleet().await;
        let all = nodes(&fleet);
        for domain in ["b", "c"] {
            let fault = fleet.platform_fault_in(domain, mode, FaultScope::Config);
            fault.await.expect("a fault");
        }
        let revision = fleet.publish(SERVICE, &document(3)).await.expect("a write");
        let took = all_in_force(&fleet, &all, revision, IN_FORCE_WITHIN).await;
        println!("{mode:?} in two of three domains: {took:?}");
        no_breach(&fleet).await;
    }
}

// Symptom: a node flaps between two versions.
// Sequence: the platform answers now with an old snapshot, now with the current one.
// Cause: whatever was read last is put in force.
#[tokio::test(flavor = "multi_thread")]
async fn a_flapping_platform_takes_no_node_back() {
    let fleet = fleet().await;
    let all = nodes(&fleet);
    fleet
        .platform_fault(FaultMode::Flap, FaultScope::All)
        .await
        .expect("a fault");
    let revision = fleet.publish(SERVICE, &document(3)).await.expect("a write");
    all_in_force(&fleet, &all, revision, IN_FORCE_WITHIN).await;
    stays_in_force(&fleet, &all, revision).await;
    no_breach(&fleet).await;
}

// Symptom: a node that was paused classifies calls by a document that was replaced three times.
// Sequence: SIGSTOP, three changes, SIGCONT; the platform is down when it wakes.
// Cause: its own watch is the only way by which it hears of changes.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_node_catches_up_from_its_peers() {
    let mut fleet = fleet().await;
    let all = nodes(&fleet);
    fleet.member_mut("bidding-1").freeze().expect("a signal");
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
            .expect("a write");
        all_in_force(&fleet, &others, revision, IN_FORCE_WITHIN).await;
    }
    fleet
        .platform_fault(FaultMode::Down, FaultScope::All)
        .await
        .expect("a fault");
    fleet.member_mut("bidding-1").wake().expect("a signal");
    let took = all_in_force(&fleet, &all, revision, IN_FORCE_WITHIN).await;
    println!("caught up after waking with the platform down: {took:?}");
    no_breach(&fleet).await;
}

// Symptom: a replaced node serves by an older document than all of its peers.
// Sequence: a change is accepted; the configuration service turns stale; a node is killed and started again.
// Cause: a new node takes the platform's word alone.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_started_beside_a_stale_platform_takes_the_newest_of_its_peers() {
    for mode in [FaultMode::Stale, FaultMode::Down] {
        let mut fleet = fleet().await;
        let all = nodes(&fleet);
        // A stale platform freezes at the revision of the moment, so the change comes after.
        fleet
            .platform_fault_in("c", mode, FaultScope::Config)
            .await
            .expect("a fault");
        let revision = fleet.publish(SERVICE, &document(3)).await.expect("a write");
        all_in_force(&fleet, &all, revision, IN_FORCE_WITHIN).await;
        fleet
            .platform_fault_in("a", FaultMode::Down, FaultScope::Config)
            .await
            .expect("a fault");
        fleet
            .platform_fault_in("b", FaultMode::Down, FaultScope::Config)
            .await
            .expect("a fault");
        let client = fleet.client.clone();
        let member = fleet.member_mut("bidding-5");
        member.kill_node().expect("a kill");
        member.start_node().expect("a start");
        member.ready(&client).await.expect("a serving node");
        assert_eq!(
            in_force(&fleet, "bidding-5").await,
            revision,
            "as soon as it serves, {mode:?}"
        );
        no_breach(&fleet).await;
    }
}

// Symptom: half of the fleet stays on another version for good.
// Sequence: two operators publish at once, again and again, while one failure domain is cut off; then it heals.
// Cause: both sides take what came last by their own count.
#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_and_a_partition_leave_one_version() {
    let mut fleet = fleet().await;
    let all = nodes(&fleet);
    for other in ["a", "b"] {
        fleet.cut("c", other, Cut::Blackhole);
    }
    fleet
        .platform_fault_in("c", FaultMode::Down, FaultScope::All)
        .await
        .expect("a fault");
    let (one, two) = (document(1), document(2));
    let mut revision = 0;
    for _ in 0..5 {
        let (first, second) =
            tokio::join!(fleet.publish(SERVICE, &one), fleet.publish(SERVICE, &two));
        revision = first.expect("a write").max(second.expect("a write"));
    }
    let inside: Vec<String> = ["bidding-1", "bidding-2", "bidding-3", "bidding-4"]
        .map(Into::into)
        .into();
    all_in_force(&fleet, &inside, revision, IN_FORCE_WITHIN).await;
    fleet.heal();
    let took = all_in_force(&fleet, &all, revision, 3 * IN_FORCE_WITHIN).await;
    println!("after healing: {took:?}");
    stays_in_force(&fleet, &all, revision).await;
    no_breach(&fleet).await;
}

// Symptom: a typing error takes a service's rules away, or its faults are shown to nobody.
// Sequence: a document with a fault is published, then a node is replaced.
// Cause: the newest version is put in force or dropped unseen.
#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_document_leaves_the_last_good_one() {
    let mut fleet = fleet().await;
    let all = nodes(&fleet);
    let good = fleet.publish(SERVICE, &document(3)).await.expect("a write");
    all_in_force(&fleet, &all, good, IN_FORCE_WITHIN).await;
    let bad = r#"{ "service": "bidding", "clases": ["bid"] }"#;
    let revision = fleet.publish(SERVICE, bad).await.expect("a write");
    let shown = |status: &Value| {
        let document = status["documents"][0].clone();
        document["revision"] == revision && document["rejected"][0].is_string()
    };
    for node in &all {
        let until = Instant::now() + IN_FORCE_WITHIN;
        while !shown(&fleet.status(node).await.expect("a status")) {
            assert!(Instant::now() < until, "{node} doesn't show the faults");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(in_force(&fleet, node).await, good);
    }
    let client = fleet.client.clone();
    let member = fleet.member_mut("bidding-4");
    member.kill_node().expect("a kill");
    member.start_node().expect("a start");
    member.ready(&client).await.expect("a serving node");
    assert_eq!(
        in_force(&fleet, "bidding-4").await,
        good,
        "a new node gets the last good one"
    );
    let entry = fleet.member("bidding-4").addresses.callers;
    let call = ClientCall::new(entry, Method::GET, "/bidding/lots/1");
    assert_eq!(client.send(call).await.expect("an answer").status, 200);
    no_breach(&fleet).await;
}
