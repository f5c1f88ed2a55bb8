//! Runs the scenarios of an experiment and writes their results.

use std::fs;
use std::path::Path;
use std::time::{Duration, Instant};

use smol_str::SmolStr;
use tokio::time::{sleep, sleep_until};

use crate::error::RigError;
use crate::fleet::{Fleet, FleetPlan};
use crate::load::{self, Arrivals, Behaviour, LoadPlan};
use crate::plot;

use super::client_links::{ClientLinks, set_domain_latency};
use super::deployment::Deployment;
use super::measures::{Measures, TargetWork, stats_by_second};
use super::options::ExperimentOptions;
use super::outcome::Outcome;
use super::scenario::Scenario;
use super::snapshot::Snapshot;
use super::table;
use super::trigger;
use super::user::User;
use super::variant::Variant;

/// Normal load as a share of the physical capacity.
const NORMAL_SHARE: f64 = 0.6;

/// Wait after the fleet's start for nodes to discover each other and targets to warm up.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Time after which a client abandons an attempt, in milliseconds.
const CLIENT_TIMEOUT_MS: u64 = 3_000;

/// Maximum number of calls in flight.
const MAX_IN_FLIGHT: usize = 8_192;

/// Runs every scenario for every user with the variants in turn, and prints a table for each scenario.
pub async fn run(options: &ExperimentOptions) -> Result<(), RigError> {
    for &user in &options.users {
        for &scenario in &options.scenarios {
            let outcomes = run_scenario(options, user, scenario).await?;
            print!("{}", table::markdown(user, scenario, &outcomes));
            if let Some(folder) = &options.out {
                write_results(folder, &format!("{user}-{scenario}"), &outcomes)?;
            }
        }
    }
    Ok(())
}

async fn run_scenario(
    options: &ExperimentOptions,
    user: User,
    scenario: Scenario,
) -> Result<Vec<Outcome>, RigError> {
    let mut outcomes = Vec::new();
    for repeat in 1..=options.repeat {
        for &variant in &options.variants {
            eprintln!("{user} {scenario} {variant} {repeat}/{}", options.repeat);
            let run = Run {
                user,
                scenario,
                variant,
                repeat,
            };
            outcomes.push(run.perform(options).await?);
        }
    }
    Ok(outcomes)
}

/// Identifies one run of one variant.
#[derive(Clone, Copy, Debug)]
struct Run {
    user: User,
    scenario: Scenario,
    variant: Variant,
    repeat: u32,
}

impl Run {
    async fn perform(self, options: &ExperimentOptions) -> Result<Outcome, RigError> {
        let load_average = load_average();
        let retries = self.variant.target_retries();
        let deployment = Deployment::new(self.user, options.scale, retries)?;
        let mut fleet = Fleet::start(self.fleet_plan(&deployment)).await?;
        set_domain_latency(&mut fleet);
        let links = ClientLinks::open(&fleet).await?;
        sleep(SETTLE_TIME).await;
        trigger::prepare(self.scenario, &fleet).await?;

        let phases = options.phases;
        let normal = deployment.capacity * NORMAL_SHARE;
        let plan = LoadPlan {
            entries: links.entries.clone(),
            stages: phases.stages(normal, self.scenario.surge()),
            ..self.load_plan(&deployment)
        };
        let start = Instant::now();
        let load = tokio::spawn(load::run(plan));

        wait_until(start, phases.trigger_start()).await;
        let at_trigger_start = Snapshot::take(&fleet).await?;
        trigger::begin(self.scenario, &mut fleet, &deployment).await?;
        wait_until(start, phases.trigger_end()).await;
        let at_trigger_end = Snapshot::take(&fleet).await?;
        trigger::end(self.scenario, &mut fleet, &deployment).await?;
        let report = load
            .await
            .map_err(|e| RigError::Settings(e.to_string()))??;
        let at_run_end = Snapshot::take(&fleet).await?;

        let work = TargetWork {
            deepest: at_trigger_end.since(&at_trigger_start, deployment.deepest),
            all: at_run_end.since(&at_trigger_start, ""),
        };
        let trigger_capacity = deployment.capacity * self.scenario.capacity_share();
        let attainable = trigger_capacity.min(normal * self.scenario.surge());
        Ok(Outcome {
            user: self.user,
            scenario: self.scenario,
            variant: self.variant,
            repeat: self.repeat,
            scale: options.scale,
            capacity: deployment.capacity,
            normal,
            phases,
            load_average,
            measures: Measures::of(&report, phases, work, attainable),
            seconds: stats_by_second(&report),
            breaches: fleet.breaches().await?,
        })
    }

    fn fleet_plan(self, deployment: &Deployment) -> FleetPlan {
        FleetPlan {
            services: deployment.services.clone(),
            node: self.variant.node_settings(),
            proxied: true,
            seed: self.repeat.into(),
            ..FleetPlan::default()
        }
    }

    fn load_plan(self, deployment: &Deployment) -> LoadPlan {
        LoadPlan {
            operations: deployment.operations.clone(),
            behaviour: Behaviour::HardRetry {
                tries: self.scenario.tries(),
            },
            // Random arrivals would hide a goodput that is 5 % too low.
            arrivals: Arrivals::Even,
            timeout_ms: CLIENT_TIMEOUT_MS,
            max_in_flight: MAX_IN_FLIGHT,
            seed: self.repeat.into(),
            ..LoadPlan::default()
        }
    }
}

async fn wait_until(start: Instant, seconds: usize) {
    sleep_until((start + Duration::from_secs(seconds as u64)).into()).await;
}

/// Returns the machine's one-minute load average, or an empty string if it can't be read.
pub(crate) fn load_average() -> SmolStr {
    let text = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    text.split(' ').next().unwrap_or_default().into()
}

/// Writes the results as JSON and their plots as SVG.
fn write_results(folder: &Path, name: &str, outcomes: &[Outcome]) -> Result<(), RigError> {
    fs::create_dir_all(folder)?;
    let json = serde_json::to_string_pretty(outcomes)?;
    fs::write(folder.join(format!("{name}.json")), json)?;
    plot::goodput_over_time(&folder.join(format!("{name}-goodput.svg")), name, outcomes)?;
    plot::variant_bars(&folder.join(format!("{name}-variants.svg")), name, outcomes)
}
