//! Waits until a fleet is idle.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::error::RigError;
use crate::fleet::{Fleet, Member};

/// Interval between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Additional wait once nothing is in flight, in which a call that was wrongly kept would run.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// Waits until every node responds and no node or target has calls in flight or queued, checking
/// twice with an additional wait after each check.
pub async fn wait_until_idle(fleet: &Fleet, limit: Duration) -> Result<(), RigError> {
    let deadline = Instant::now() + limit;
    // The second check covers a process that resumed and read its pending calls only after the first.
    for _ in 0..2 {
        while let Some(busy) = busy_member(fleet).await {
            if Instant::now() >= deadline {
                return Err(RigError::NotReady(format!("{busy}, which is not idle,")));
            }
            sleep(POLL_INTERVAL).await;
        }
        sleep(SETTLE_TIME).await;
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
