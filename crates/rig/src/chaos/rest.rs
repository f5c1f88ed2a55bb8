//! Waiting until a fleet is at rest.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::error::RigError;
use crate::fleet::{Fleet, Member};

/// Pause between two looks.
const POLL: Duration = Duration::from_millis(10);

/// A further wait after nothing is in flight, in which a call that was wrongly kept would run.
const REST: Duration = Duration::from_millis(200);

/// Waits until every node answers, nothing is in flight at any node or target, and a while longer.
pub async fn at_rest(fleet: &Fleet, limit: Duration) -> Result<(), RigError> {
    let deadline = Instant::now() + limit;
    // A second look finds what a process that has just woken read only after the first.
    for _ in 0..2 {
        while let Some(busy) = busy_member(fleet).await {
            if Instant::now() >= deadline {
                return Err(RigError::NotReady(format!("{busy}, which is not at rest,")));
            }
            sleep(POLL).await;
        }
        sleep(REST).await;
    }
    Ok(())
}

async fn busy_member(fleet: &Fleet) -> Option<String> {
    for member in fleet.members.values() {
        if !is_idle(fleet, member).await {
            return Some(member.name.to_string());
        }
    }
    None
}

async fn is_idle(fleet: &Fleet, member: &Member) -> bool {
    let Ok(counts) = member.counts(&fleet.client).await else {
        return false;
    };
    let Ok(status) = fleet.status(&member.name).await else {
        return false;
    };
    let admission = &status["admission"];
    let at_node = [&admission["in_flight"], &admission["queued"]];
    counts.in_flight + counts.queued == 0 && at_node.iter().all(|n| n.as_u64() == Some(0))
}
