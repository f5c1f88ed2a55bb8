//! Faults and changes applied to the fleet during the load.

use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::time::sleep;

use crate::error::RigError;
use crate::fleet::{Fleet, ServicePlan};

use super::plan::{ALLOWANCE, BEFORE, CHAIN, DEEPEST, KILLED, SURGE, WARM_UP};

/// Delay between the start of the surge and the kill.
const KILL_AFTER: Duration = Duration::from_secs(3);

/// Delay between the kill and the change of a document.
const CHANGE_AFTER: Duration = Duration::from_secs(2);

/// Time limit for waiting until the change is in force on all nodes.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(10);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Observed rollout of a changed document.
#[derive(Clone, Copy, Debug)]
pub(super) struct DocumentChange {
    /// Number of running nodes on which it is in force.
    pub in_force: usize,
    /// Number of running nodes.
    pub nodes: usize,
    /// Time from publication until it was in force on all nodes or the wait timed out.
    pub took: Duration,
}

/// Kills a node and changes a document during the surge, and restarts the node after it.
pub(super) async fn run_events(fleet: &mut Fleet) -> Result<DocumentChange, RigError> {
    let started = Instant::now();
    sleep(Duration::from_secs_f64(WARM_UP + BEFORE) + KILL_AFTER).await;
    println!("  killing {KILLED}");
    fleet.member_mut(KILLED).kill_node()?;
    sleep(CHANGE_AFTER).await;
    println!("  changing the document of {DEEPEST}");
    let change = change_document(fleet).await?;
    let surge_end = Duration::from_secs_f64(WARM_UP + BEFORE + SURGE);
    sleep(surge_end.saturating_sub(started.elapsed())).await;
    println!("  end of the surge; restarting {KILLED}");
    fleet.member_mut(KILLED).start_node()?;
    fleet.all_ready().await?;
    Ok(change)
}

async fn change_document(fleet: &Fleet) -> Result<DocumentChange, RigError> {
    // One node has been killed before.
    let nodes = fleet.members.len() - 1;
    let document = ServicePlan::document(DEEPEST, ALLOWANCE - 1);
    let started = Instant::now();
    let revision = fleet.publish(DEEPEST, &document).await?;
    loop {
        let in_force = count_in_force(fleet, revision).await;
        let took = started.elapsed();
        if in_force == nodes || took >= CHANGE_TIMEOUT {
            return Ok(DocumentChange {
                in_force,
                nodes,
                took,
            });
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Counts the running nodes on which this revision of the deepest service's document is in force; nodes that don't
/// respond are not counted.
async fn count_in_force(fleet: &Fleet, revision: u64) -> usize {
    let mut count = 0;
    for member in fleet
        .members
        .values()
        .filter(|member| member.node.is_some())
    {
        let status = fleet.status(&member.name).await.unwrap_or_default();
        count += usize::from(is_in_force(&status, revision));
    }
    count
}

fn is_in_force(status: &Value, revision: u64) -> bool {
    let documents = status["documents"].as_array();
    documents.into_iter().flatten().any(|document| {
        document["service"] == DEEPEST && document["in_force"].as_u64() == Some(revision)
    })
}

/// Formats the chain of services.
pub(super) fn describe_chain() -> String {
    CHAIN.join(" -> ")
}
