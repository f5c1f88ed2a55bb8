//! What happens to the fleet while the load runs.

use std::time::{Duration, Instant};

use serde_json::Value;
use tokio::time::sleep;

use crate::error::RigError;
use crate::fleet::{Fleet, ServicePlan};

use super::plan::{ALLOWANCE, BEFORE, CHAIN, DEEPEST, KILLED, SURGE, WARM_UP};

/// From the begin of the surge to the kill.
const KILL_AFTER: Duration = Duration::from_secs(3);

/// From the kill to the change of a document.
const CHANGE_AFTER: Duration = Duration::from_secs(2);

/// Longest wait for the change to be in force everywhere.
const CHANGE_LIMIT: Duration = Duration::from_secs(10);

const POLL: Duration = Duration::from_millis(20);

/// What was seen of the change of a document.
#[derive(Clone, Copy, Debug)]
pub(super) struct Change {
    /// Nodes that have it in force.
    pub in_force: usize,
    /// Nodes that run.
    pub nodes: usize,
    /// From the write to the last node.
    pub took: Duration,
}

/// Kills a node and changes a document during the surge, and starts the node again after it.
pub(super) async fn play(fleet: &mut Fleet) -> Result<Change, RigError> {
    let started = Instant::now();
    sleep(Duration::from_secs_f64(WARM_UP + BEFORE) + KILL_AFTER).await;
    println!("  {KILLED} is killed");
    fleet.member_mut(KILLED).kill_node()?;
    sleep(CHANGE_AFTER).await;
    println!("  the document of {DEEPEST} is changed");
    let change = change_document(fleet).await?;
    let surge_end = Duration::from_secs_f64(WARM_UP + BEFORE + SURGE);
    sleep(surge_end.saturating_sub(started.elapsed())).await;
    println!("  the surge ends; {KILLED} starts again");
    fleet.member_mut(KILLED).start_node()?;
    fleet.all_ready().await?;
    Ok(change)
}

async fn change_document(fleet: &Fleet) -> Result<Change, RigError> {
    let nodes = fleet.members.len() - 1;
    let document = ServicePlan::document(DEEPEST, ALLOWANCE - 1);
    let started = Instant::now();
    let revision = fleet.publish(DEEPEST, &document).await?;
    loop {
        let in_force = count_in_force(fleet, revision).await;
        let took = started.elapsed();
        if in_force == nodes || took >= CHANGE_LIMIT {
            return Ok(Change {
                in_force,
                nodes,
                took,
            });
        }
        sleep(POLL).await;
    }
}

/// Running nodes that act on this revision of the deepest service's document; a node that doesn't answer doesn't count.
async fn count_in_force(fleet: &Fleet, revision: u64) -> usize {
    let mut count = 0;
    for member in fleet
        .members
        .values()
        .filter(|member| member.node.is_some())
    {
        let status = fleet.status(&member.name).await.unwrap_or_default();
        count += usize::from(acts_on(&status, revision));
    }
    count
}

fn acts_on(status: &Value, revision: u64) -> bool {
    let documents = status["documents"].as_array();
    documents.into_iter().flatten().any(|document| {
        document["service"] == DEEPEST && document["in_force"].as_u64() == Some(revision)
    })
}

/// The chain in words.
pub(super) fn chain() -> String {
    CHAIN.join(" -> ")
}
