//! Injects and clears the faults of a scenario.

use crate::error::RigError;
use crate::fleet::Fleet;
use crate::platform::{FaultMode, FaultScope};
use crate::proxy::Cut;
use crate::target::{Health, Settings};

use super::client_links::set_domain_latency;
use super::deployment::Deployment;
use super::scenario::Scenario;

/// Failure domain that is killed or partitioned.
const FAULTY_DOMAIN: &str = "c";

/// Duration of a cold start in milliseconds.
const COLD_MS: u64 = 10_000;

/// Factor on the service time during a cold start.
const COLD_FACTOR: f64 = 5.0;

/// Share of calls to the deepest service that fail in the retry storm.
const STORM_FAIL_RATIO: f64 = 0.5;

/// Injects faults that are active from the start of the load.
pub(super) async fn prepare(scenario: Scenario, fleet: &Fleet) -> Result<(), RigError> {
    match scenario {
        Scenario::PlatformDown => fleet.platform_fault(FaultMode::Down, FaultScope::All).await,
        _ => Ok(()),
    }
}

/// Injects the faults of the trigger phase.
pub(super) async fn begin(
    scenario: Scenario,
    fleet: &mut Fleet,
    deployment: &Deployment,
) -> Result<(), RigError> {
    let normal = deployment.target_of(deployment.deepest);
    match scenario {
        Scenario::SlowDeep | Scenario::SurgeSlowDeep => {
            let slow = Settings {
                service_ms: normal.service_ms * scenario.slowness(),
                ..normal
            };
            set_deepest(fleet, deployment, &slow).await
        }
        Scenario::RetryStorm => {
            let failing = Settings {
                fail_ratio: STORM_FAIL_RATIO,
                ..normal
            };
            set_deepest(fleet, deployment, &failing).await
        }
        Scenario::ColdStart => replace_with_cold_targets(fleet, deployment).await,
        Scenario::DomainGone => stop_domain(fleet),
        Scenario::LyingHealth => misreport_health(fleet, deployment).await,
        Scenario::Partition => {
            fleet.cut(FAULTY_DOMAIN, "a", Cut::Blackhole);
            fleet.cut(FAULTY_DOMAIN, "b", Cut::Blackhole);
            Ok(())
        }
        Scenario::Surge2x | Scenario::Surge4x | Scenario::Surge8x | Scenario::PlatformDown => {
            Ok(())
        }
    }
}

/// Clears the faults of the trigger phase.
pub(super) async fn end(
    scenario: Scenario,
    fleet: &mut Fleet,
    deployment: &Deployment,
) -> Result<(), RigError> {
    match scenario {
        Scenario::SlowDeep
        | Scenario::SurgeSlowDeep
        | Scenario::RetryStorm
        | Scenario::LyingHealth => {
            let normal = deployment.target_of(deployment.deepest);
            set_deepest(fleet, deployment, &normal).await
        }
        Scenario::DomainGone => start_domain(fleet, deployment).await,
        Scenario::Partition => {
            set_domain_latency(fleet);
            Ok(())
        }
        Scenario::ColdStart
        | Scenario::Surge2x
        | Scenario::Surge4x
        | Scenario::Surge8x
        | Scenario::PlatformDown => Ok(()),
    }
}

async fn set_deepest(
    fleet: &Fleet,
    deployment: &Deployment,
    settings: &Settings,
) -> Result<(), RigError> {
    for member in fleet.of_service(deployment.deepest) {
        member.set_target(&fleet.client, settings).await?;
    }
    Ok(())
}

/// Lets the first target of the deepest service fail every call but report healthy; its working peers report unhealthy.
async fn misreport_health(fleet: &Fleet, deployment: &Deployment) -> Result<(), RigError> {
    let normal = deployment.target_of(deployment.deepest);
    for (index, member) in fleet.of_service(deployment.deepest).enumerate() {
        let (fail_ratio, health) = match index {
            0 => (1.0, Health::AlwaysHealthy),
            _ => (0.0, Health::AlwaysUnhealthy),
        };
        let lying = Settings {
            fail_ratio,
            health,
            ..normal.clone()
        };
        member.set_target(&fleet.client, &lying).await?;
    }
    Ok(())
}

/// Replaces the first target of each service with a cold one.
async fn replace_with_cold_targets(
    fleet: &mut Fleet,
    deployment: &Deployment,
) -> Result<(), RigError> {
    let client = fleet.client.clone();
    for service in &deployment.services {
        let cold = Settings {
            cold_ms: COLD_MS,
            cold_factor: COLD_FACTOR,
            ..service.target.clone()
        };
        let member = fleet.member_mut(&format!("{}-1", service.name));
        member.target = None;
        member.start_target(&client, &cold).await?;
    }
    Ok(())
}

fn stop_domain(fleet: &mut Fleet) -> Result<(), RigError> {
    for member in fleet
        .members
        .values_mut()
        .filter(|m| m.domain == FAULTY_DOMAIN)
    {
        member.kill_node()?;
        member.target = None;
    }
    Ok(())
}

async fn start_domain(fleet: &mut Fleet, deployment: &Deployment) -> Result<(), RigError> {
    let client = fleet.client.clone();
    for member in fleet
        .members
        .values_mut()
        .filter(|m| m.domain == FAULTY_DOMAIN)
    {
        let settings = deployment.target_of(&member.service);
        member.start_target(&client, &settings).await?;
        member.start_node()?;
    }
    fleet.all_ready().await
}
