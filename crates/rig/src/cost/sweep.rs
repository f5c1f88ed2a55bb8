//! One fleet for each value of a dimension.

use std::time::Duration;

use tokio::time::{interval, sleep};

use crate::error::RigError;
use crate::fleet::{Fleet, FleetPlan, ServicePlan};
use crate::load::{self, Arrivals, LoadPlan, Operation, Stage};

use super::dimension::Dimension;
use super::measure::{Cost, measure};

/// Nodes of the fleet where their number isn't varied.
const USUAL_NODES: usize = 6;

/// Nodes of one service.
const NODES_PER_SERVICE: usize = 4;

/// Time after the start in which nodes find each other.
const SETTLE: Duration = Duration::from_secs(4);

/// Tokens used a second while a table is filled.
const TOKEN_RATE: f64 = 400.0;

/// Starts a fleet, brings it to the value and measures.
pub(super) async fn point(
    dimension: Dimension,
    value: usize,
    window: Duration,
) -> Result<Cost, RigError> {
    let nodes = match dimension {
        Dimension::Nodes => value,
        _ => USUAL_NODES,
    };
    let fleet = Fleet::start(plan(nodes)).await?;
    sleep(SETTLE).await;
    match dimension {
        Dimension::Nodes => {}
        Dimension::Documents => publish_documents(&fleet, value).await?,
        Dimension::Tokens => fill_tokens(&fleet, value).await?,
        Dimension::Calls => return with_calls(&fleet, value, window).await,
        Dimension::Changes => return with_changes(&fleet, value, window).await,
    }
    measure(&fleet, window).await
}

fn plan(nodes: usize) -> FleetPlan {
    let domains = ["a", "b", "c"];
    let mut services = Vec::new();
    for first in (0..nodes).step_by(NODES_PER_SERVICE) {
        let last = (first + NODES_PER_SERVICE).min(nodes);
        let of_nodes: Vec<&str> = (first..last).map(|i| domains[i % domains.len()]).collect();
        let name = format!("svc{}", first / NODES_PER_SERVICE);
        services.push(ServicePlan::new(&name, &of_nodes));
    }
    FleetPlan {
        services,
        ..FleetPlan::default()
    }
}

/// Documents of services without instances.
async fn publish_documents(fleet: &Fleet, count: usize) -> Result<(), RigError> {
    for i in 0..count {
        let name = format!("extra{i}");
        let document = ServicePlan::document(&name, 2);
        fleet.publish(&name, &document).await?;
    }
    sleep(SETTLE).await;
    Ok(())
}

/// Uses so many tokens at each node of the first service.
async fn fill_tokens(fleet: &Fleet, count: usize) -> Result<(), RigError> {
    if count == 0 {
        return Ok(());
    }
    let seconds = (count * NODES_PER_SERVICE) as f64 / TOKEN_RATE;
    let operation: Operation = "POST /svc0/bids non-idempotent".parse()?;
    let report = load::run(load_plan(fleet, TOKEN_RATE, seconds, operation)).await?;
    let lost = report.calls - report.endings.whole;
    if lost > 0 {
        eprintln!("{lost} of {} tokens weren't used", report.calls);
    }
    sleep(SETTLE).await;
    Ok(())
}

async fn with_calls(fleet: &Fleet, rate: usize, window: Duration) -> Result<Cost, RigError> {
    let operation: Operation = "GET /svc0/items/1".parse()?;
    let seconds = (SETTLE + window).as_secs_f64() + 1.0;
    let plan = load_plan(fleet, rate as f64, seconds, operation);
    let load = tokio::spawn(load::run(plan));
    sleep(SETTLE).await;
    let cost = measure(fleet, window).await;
    let report = load
        .await
        .map_err(|e| RigError::Settings(e.to_string()))??;
    let lost = report.calls - report.endings.whole;
    if lost > 0 {
        eprintln!("{lost} of {} calls weren't answered whole", report.calls);
    }
    cost
}

async fn with_changes(fleet: &Fleet, rate: usize, window: Duration) -> Result<Cost, RigError> {
    if rate == 0 {
        return measure(fleet, window).await;
    }
    let change = async {
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
        changed = change => {
            changed?;
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
