//! Measures the cost of a fleet's nodes over a time window.

use std::time::{Duration, Instant};

use http::Method;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::error::RigError;
use crate::fleet::Fleet;
use crate::http::ClientCall;

use super::process_cost::{processor_time, resident_kib};

/// Metric that counts the bytes of control messages sent by a node.
const CONTROL_METRIC: &str = "control_sent_bytes_total";

/// Mean cost of one node, and the platform calls of the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Processor time in milliseconds per second.
    pub processor_ms: f64,
    /// Resident memory in KiB.
    pub resident_kib: f64,
    /// Bytes of control messages sent per second.
    pub control_bytes: f64,
    /// Platform calls of the whole fleet per second.
    pub platform_calls: f64,
}

/// Cumulative counters summed over the fleet at one moment.
#[derive(Clone, Copy, Debug)]
struct Totals {
    at: Instant,
    processor: Duration,
    control_bytes: f64,
    platform_calls: f64,
}

/// Measures the cost of the fleet over `window`.
pub(super) async fn measure(fleet: &Fleet, window: Duration) -> Result<Cost, RigError> {
    let before = read_totals(fleet).await?;
    sleep(window).await;
    let after = read_totals(fleet).await?;
    let seconds = (after.at - before.at).as_secs_f64();
    let nodes = fleet.members.len() as f64;
    let mut resident = 0.0;
    for pid in pids(fleet) {
        resident += resident_kib(pid)?;
    }
    let processor = after.processor.saturating_sub(before.processor);
    Ok(Cost {
        processor_ms: processor.as_secs_f64() * 1000.0 / seconds / nodes,
        resident_kib: resident / nodes,
        control_bytes: (after.control_bytes - before.control_bytes) / seconds / nodes,
        platform_calls: (after.platform_calls - before.platform_calls) / seconds,
    })
}

async fn read_totals(fleet: &Fleet) -> Result<Totals, RigError> {
    let mut control_bytes = 0.0;
    for member in fleet.members.values() {
        control_bytes += control_bytes_sent(fleet, member.addresses.operators).await?;
    }
    let counts = fleet.platform_counts().await?;
    let mut processor = Duration::ZERO;
    for pid in pids(fleet) {
        processor += processor_time(pid)?;
    }
    Ok(Totals {
        at: Instant::now(),
        processor,
        control_bytes,
        platform_calls: counts.iter().map(|counts| counts.calls as f64).sum(),
    })
}

fn pids(fleet: &Fleet) -> impl Iterator<Item = i32> {
    let nodes = fleet.members.values().filter_map(|m| m.node.as_ref());
    nodes.map(|node| node.pid())
}

/// Reads the control bytes that a node has sent from its metrics.
async fn control_bytes_sent(
    fleet: &Fleet,
    operators: std::net::SocketAddr,
) -> Result<f64, RigError> {
    let call = ClientCall::new(operators, Method::GET, "/metrics");
    let answer = fleet.client.send(call).await?;
    let text = String::from_utf8_lossy(&answer.body);
    let lines = text
        .lines()
        .filter(|line| !line.starts_with('#') && line.contains(CONTROL_METRIC));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    Ok(values.sum())
}
