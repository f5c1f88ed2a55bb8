//! Measures the latency of calls sent alternately through the nodes and directly to the target.

use std::fs;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Method;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until};

use crate::error::RigError;
use crate::experiment::{Spread, load_average};
use crate::fleet::{Fleet, FleetPlan, ServicePlan};
use crate::http::{Client, ClientCall};
use crate::target;

use super::options::LatencyOptions;
use super::quantiles::Quantiles;

/// Slots of the target.
const SLOTS: usize = 4;

/// Service time of the target in milliseconds.
const SERVICE_MS: f64 = 2.0;

/// Utilization of the target by the calls on both paths together.
const UTILIZATION: f64 = 0.3;

/// Calls that open the connections before the first run and aren't measured.
const WARM_UP_CALLS: usize = 300;

/// Wait after the fleet's start for nodes to discover each other.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Latencies of one run on both paths, and the latency that the nodes add.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct LatencyRun {
    load_average: SmolStr,
    direct: Quantiles,
    through_nodes: Quantiles,
    added: Quantiles,
}

/// Runs the measurements, prints a table and writes the results to the output file.
pub async fn run(options: &LatencyOptions) -> Result<(), RigError> {
    let fleet = Fleet::start(fleet_plan()).await?;
    sleep(SETTLE_TIME).await;
    let paths = Paths::of(&fleet);
    paths.measure(&fleet.client, WARM_UP_CALLS).await?;
    let rate = UTILIZATION * SLOTS as f64 / (SERVICE_MS / 1000.0);
    let calls = (rate * options.seconds) as usize;
    let mut runs = Vec::new();
    for _ in 0..options.repeat {
        let load_average = load_average();
        let measured = paths.measure(&fleet.client, calls).await?;
        runs.push(LatencyRun {
            load_average,
            added: measured.through_nodes.minus(&measured.direct),
            ..measured
        });
    }
    print!("{}", table(&runs));
    if let Some(file) = &options.out {
        fs::write(file, serde_json::to_string_pretty(&runs)?)?;
    }
    Ok(())
}

/// Plans a fleet with an entry node of service `front` and the host of the measured service `served`.
fn fleet_plan() -> FleetPlan {
    let served = ServicePlan {
        target: target::Settings {
            slots: SLOTS,
            service_ms: SERVICE_MS,
            ..target::Settings::default()
        },
        ..ServicePlan::new("served", &["a"])
    };
    FleetPlan {
        services: vec![ServicePlan::new("front", &["a"]), served],
        ..FleetPlan::default()
    }
}

/// Addresses that calls on each path are sent to.
#[derive(Clone, Copy, Debug)]
struct Paths {
    entry: SocketAddr,
    target: SocketAddr,
}

impl Paths {
    fn of(fleet: &Fleet) -> Self {
        Self {
            entry: fleet.member("front-1").addresses.callers,
            target: fleet.member("served-1").addresses.target,
        }
    }

    /// Sends calls at equal intervals, every second one through the nodes.
    async fn measure(self, client: &Client, calls: usize) -> Result<LatencyRun, RigError> {
        let interval = Duration::from_secs_f64(SERVICE_MS / 1000.0 / SLOTS as f64 / UTILIZATION);
        let start = Instant::now();
        let mut running = JoinSet::new();
        let mut latencies = Latencies::default();
        for i in 0..calls {
            sleep_until((start + interval * i as u32).into()).await;
            let is_direct = i % 2 == 0;
            let call = match is_direct {
                true => ClientCall::new(self.target, Method::GET, "/items/1"),
                false => ClientCall::new(self.entry, Method::GET, "/served/items/1"),
            };
            running.spawn(send_timed(client.clone(), call, is_direct));
            while let Some(Ok(call)) = running.try_join_next() {
                latencies.record(call)?;
            }
        }
        while let Some(Ok(call)) = running.join_next().await {
            latencies.record(call)?;
        }
        Ok(LatencyRun {
            load_average: SmolStr::default(),
            direct: Quantiles::of(latencies.direct),
            through_nodes: Quantiles::of(latencies.through_nodes),
            added: Quantiles::default(),
        })
    }
}

struct TimedCall {
    is_direct: bool,
    took: Result<Duration, RigError>,
}

/// Latencies by path.
#[derive(Default)]
struct Latencies {
    direct: Vec<Duration>,
    through_nodes: Vec<Duration>,
}

impl Latencies {
    fn record(&mut self, call: TimedCall) -> Result<(), RigError> {
        let took = call.took?;
        match call.is_direct {
            true => self.direct.push(took),
            false => self.through_nodes.push(took),
        }
        Ok(())
    }
}

async fn send_timed(client: Client, call: ClientCall, is_direct: bool) -> TimedCall {
    let start = Instant::now();
    let took = match client.send(call).await {
        Ok(answer) if answer.status.is_success() => Ok(start.elapsed()),
        Ok(answer) => Err(RigError::Status {
            status: answer.status.as_u16(),
            body: String::from_utf8_lossy(&answer.body).into_owned(),
        }),
        Err(e) => Err(e),
    };
    TimedCall { is_direct, took }
}

fn table(runs: &[LatencyRun]) -> String {
    let loads: Vec<&str> = runs.iter().map(|run| run.load_average.as_str()).collect();
    let mut text = format!(
        "{} runs, load average {}; median (least..largest) in milliseconds\n\n| way | p50 | p99 | p99.9 |\n|---|---|---|---|\n",
        runs.len(),
        loads.join(", ")
    );
    text.push_str(&row("caller, target", runs, |run| run.direct));
    text.push_str(&row("caller, entry, host, target", runs, |run| {
        run.through_nodes
    }));
    text.push_str(&row("added", runs, |run| run.added));
    text
}

fn row<F>(name: &str, runs: &[LatencyRun], quantiles_of: F) -> String
where
    F: Fn(&LatencyRun) -> Quantiles,
{
    let spread = |quantile: fn(&Quantiles) -> f64| {
        Spread::of(
            runs.iter()
                .map(|run| quantile(&quantiles_of(run)))
                .collect(),
        )
    };
    format!(
        "| {name} | {} | {} | {} |\n",
        spread(|q| q.p50_ms),
        spread(|q| q.p99_ms),
        spread(|q| q.p999_ms)
    )
}
