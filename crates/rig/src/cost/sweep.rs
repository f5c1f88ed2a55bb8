//! Starts a fleet for each value of a dimension and measures its cost.

use std::time::Duration;

use tokio::time::{interval, sleep};

use crate::error::RigError;
use crate::fleet::{Fleet, FleetPlan, ServicePlan};
use crate::load::{self, Arrivals, LoadPlan, Operation, Stage};

use super::dimension::Dimension;
use super::measure::{Cost, measure};

/// Number of nodes when a dimension other than [`Dimension::Nodes`] is varied.
const DEFAULT_NODES: usize = 6;

/// Maximum number of nodes of one service.
const NODES_PER_SERVICE: usize = 4;

/// Wait for nodes to discover each other after the start, and for a change to spread before measuring.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Idempotency tokens used per second while the nodes' tables are filled.
const TOKEN_RATE: f64 = 400.0;

/// Starts a fleet with the dimension at `value` and measures its cost.
pub(super) async fn measure_point(
    dimension: Dimension,
    value: usize,
    window: Duration,
) -> Result<Cost, RigError> {
    let nodes = match dimension {
        Dimension::Nodes => value,
        _ => DEFAULT_NODES,
    };
    let fleet = Fleet::start(fleet_plan(nodes)).await?;
    sleep(SETTLE_TIME).await;
    match dimension {
        Dimension::Nodes => {}
        Dimension::Documents => publish_documents(&fleet, value).await?,
        Dimension::Tokens => fill_tokens(&fleet, value).await?,
        Dimension::Calls => return measure_with_calls(&fleet, value, window).await,
        Dimension::Changes => return measure_with_changes(&fleet, value, window).await,
    }
    measure(&fleet, window).await
}

fn fleet_plan(nodes: usize) -> FleetPlan {
    let domains = ["a", "b", "c"];
    let mut services = Vec::new();
    for first in (0..nodes).step_by(NODES_PER_SERVICE) {
        let last = (first + NODES_PER_SERVICE).min(nodes);
        let node_domains: Vec<&str> = (first..last).map(|i| domains[i % domains.len()]).collect();
        let name = format!("svc{}", first / NODES_PER_SERVICE);
        services.push(ServicePlan::new(&name, &node_domains));
    }
    FleetPlan {
        services,
        ..FleetPlan::default()
    }
}

/// Publishes `count` documents of services that have no instances.
async fn publish_documents(fleet: &Fleet, count: usize) -> Result<(), RigError> {
    for i in 0..count {
        let name = format!("extra{i}");
        let document = ServicePlan::document(&name, 2);
        fleet.publish(&name, &document).await?;
    }
    sleep(SETTLE_TIME).await;
    Ok(())
}

/// Uses about `count` idempotency tokens at each node of the first service.
async fn fill_tokens(fleet: &Fleet, count: usize) -> Result<(), RigError> {
    if count == 0 {
        return Ok(());
    }
    let seconds = (count * NODES_PER_SERVICE) as f64 / TOKEN_RATE;
    let operation: Operation = "POST /svc0/bids non-idempotent".parse()?;
    let report = load::run(load_plan(fleet, TOKEN_RATE, seconds, operation)).await?;
    let incomplete = report.calls - report.endings.whole;
    if incomplete > 0 {
        eprintln!(
            "{incomplete} of {} calls with idempotency tokens got no complete response",
            report.calls
        );
    }
    sleep(SETTLE_TIME).await;
    Ok(())
}

/// Measures the cost while clients make `rate` calls per second.
async fn measure_with_calls(
    fleet: &Fleet,
    rate: usize,
    window: Duration,
) -> Result<Cost, RigError> {
    let operation: Operation = "GET /svc0/items/1".parse()?;
    let seconds = (SETTLE_TIME + window).as_secs_f64() + 1.0;
    let load = load_plan(fleet, rate as f64, seconds, operation);
    let load = tokio::spawn(load::run(load));
    sleep(SETTLE_TIME).await;
    let cost = measure(fleet, window).await;
    let report = load
        .await
        .map_err(|e| RigError::Settings(e.to_string()))??;
    let incomplete = report.calls - report.endings.whole;
    if incomplete > 0 {
        eprintln!(
            "{incomplete} of {} calls got no complete response",
            report.calls
        );
    }
    cost
}

/// Measures the cost while a document changes `rate` times per second.
async fn measure_with_changes(
    fleet: &Fleet,
    rate: usize,
    window: Duration,
) -> Result<Cost, RigError> {
    if rate == 0 {
        return measure(fleet, window).await;
    }
    let publish_changes = async {
        let mut ticks = interval(Duration::from_secs(1) / rate as u32);
        for allowance in (0..8).cycle() {
            ticks.tick().await;
            let document = ServicePlan::document("svc0", allowance);
            fleet.publish("svc0", &document).await?;
        }
        Ok::<_, RigError>(())
    };
    tokio::select! {
        cost = measure(fleet, window) => cost,
        result = publish_changes => {
            result?;
            Err(RigError::Stopped)
        }
    }
}

fn load_plan(fleet: &Fleet, rate: f64, seconds: f64, operation: Operation) -> LoadPlan {
    LoadPlan {
        entries: fleet.entries(),
        stages: vec![Stage { rate, seconds }],
        operations: vec![operation],
        arrivals: Arrivals::Even,
        ..LoadPlan::default()
    }
}
