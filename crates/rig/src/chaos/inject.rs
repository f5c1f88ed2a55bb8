//! Injects faults into a fleet and reverts them.

use serde_json::json;

use super::fault::{Direction, Fault};
use super::plan::{BIDDING, RETRY_ALLOWANCE, SERVICE_MS};
use crate::error::RigError;
use crate::fleet::{Fleet, ServicePlan};
use crate::platform::{FaultMode, FaultScope, InstanceState};
use crate::process::Signal;
use crate::proxy::{Cut, DirectionFaults, LinkFaults};

/// Begins a fault. Skips actions that another fault has made impossible, such as freezing a killed
/// node.
pub(super) async fn begin(fleet: &mut Fleet, fault: &Fault) -> Result<(), RigError> {
    match fault {
        Fault::Kill { node } => kill(fleet, node),
        Fault::Stop { node } => signal(fleet, node, Signal::TERM),
        Fault::Restart { node } => {
            kill(fleet, node)?;
            start(fleet, node)
        }
        Fault::Freeze { node } => signal(fleet, node, Signal::STOP),
        Fault::Cut {
            from,
            to,
            direction,
        } => {
            fleet.set_links(from, to, &cut(*direction));
            Ok(())
        }
        Fault::Scramble { from, to } => {
            fleet.set_links(from, to, &LinkFaults::both(scrambled()));
            Ok(())
        }
        Fault::Platform { domain, mode } => {
            fleet
                .platform_fault_in(domain, *mode, FaultScope::All)
                .await
        }
        Fault::Target {
            node,
            service_ms,
            fail_ratio,
        } => set_target(fleet, node, (*service_ms).into(), *fail_ratio).await,
        Fault::Unlist { node } => {
            let listed = |name: &str| (name != node).then_some(InstanceState::Live);
            fleet.publish_instances(|member| listed(&member.name)).await
        }
        Fault::Publish { retry_allowance } => publish(fleet, *retry_allowance).await,
    }
}

/// Ends a fault and reverts its effects.
pub(super) async fn end(fleet: &mut Fleet, fault: &Fault) -> Result<(), RigError> {
    match fault {
        Fault::Kill { node } => start(fleet, node),
        Fault::Stop { node } => {
            kill(fleet, node)?;
            start(fleet, node)
        }
        Fault::Restart { .. } => Ok(()),
        Fault::Freeze { node } => signal(fleet, node, Signal::CONT),
        Fault::Cut { from, to, .. } | Fault::Scramble { from, to } => {
            fleet.set_links(from, to, &LinkFaults::default());
            Ok(())
        }
        Fault::Platform { domain, .. } => {
            fleet
                .platform_fault_in(domain, FaultMode::Up, FaultScope::All)
                .await
        }
        Fault::Target { node, .. } => set_target(fleet, node, SERVICE_MS, 0.0).await,
        Fault::Unlist { .. } => fleet.publish_instances(|_| Some(InstanceState::Live)).await,
        Fault::Publish { .. } => publish(fleet, RETRY_ALLOWANCE).await,
    }
}

/// Clears all link faults, resumes suspended nodes, starts nodes that are not running, and restarts
/// nodes that are stopping.
pub(super) async fn recover(fleet: &mut Fleet) -> Result<(), RigError> {
    fleet.heal();
    for name in fleet.members.keys().cloned().collect::<Vec<_>>() {
        signal(fleet, &name, Signal::CONT)?;
        let is_stopping = match fleet.status(&name).await {
            Ok(status) => status["phase"] == "leaving" || status["phase"] == "stopped",
            Err(_) => true,
        };
        if is_stopping {
            kill(fleet, &name)?;
        }
        start(fleet, &name)?;
    }
    fleet.all_ready().await
}

fn kill(fleet: &mut Fleet, node: &str) -> Result<(), RigError> {
    let member = fleet.member_mut(node);
    match member.node {
        Some(_) => member.kill_node(),
        None => Ok(()),
    }
}

fn start(fleet: &mut Fleet, node: &str) -> Result<(), RigError> {
    let member = fleet.member_mut(node);
    match member.node {
        Some(_) => Ok(()),
        None => member.start_node(),
    }
}

fn signal(fleet: &mut Fleet, node: &str, signal: Signal) -> Result<(), RigError> {
    let Some(process) = &mut fleet.member_mut(node).node else {
        return Ok(());
    };
    // A node that was told to stop may have exited, and its process id may have been reused.
    if process.is_running()? {
        process.signal(signal)?;
    }
    Ok(())
}

async fn set_target(
    fleet: &Fleet,
    node: &str,
    service_ms: f64,
    fail_ratio: f64,
) -> Result<(), RigError> {
    let patch = json!({"service_ms": service_ms, "fail_ratio": fail_ratio});
    let address = fleet.member(node).addresses.target;
    fleet.client.put_json(address, "/settings", &patch).await?;
    Ok(())
}

async fn publish(fleet: &Fleet, retry_allowance: u16) -> Result<(), RigError> {
    let document = ServicePlan::document(BIDDING, retry_allowance);
    fleet.publish(BIDDING, &document).await?;
    Ok(())
}

fn cut(direction: Direction) -> LinkFaults {
    let lost = DirectionFaults::cut(Cut::Blackhole);
    let passed = DirectionFaults::default();
    let (forward, backward) = match direction {
        Direction::Both => (lost, lost),
        Direction::Requests => (lost, passed),
        Direction::Answers => (passed, lost),
    };
    LinkFaults {
        forward,
        backward,
        ..LinkFaults::default()
    }
}

fn scrambled() -> DirectionFaults {
    DirectionFaults {
        loss: 0.05,
        duplicate: 0.3,
        reorder: 0.3,
        reorder_ms: 15.0,
        ..DirectionFaults::default()
    }
}
