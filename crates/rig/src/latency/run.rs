//! Calls by both ways in turn.

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

/// Slots and service time of the target.
const SLOTS: usize = 4;
const SERVICE_MS: f64 = 2.0;

/// Load of the target by both ways together.
const LOAD: f64 = 0.3;

/// Calls that open the connections and aren't measured.
const WARM_UP_CALLS: usize = 300;

const SETTLE: Duration = Duration::from_secs(2);

/// One run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct LatencyRun {
    load_average: SmolStr,
    direct: Quantiles,
    through_nodes: Quantiles,
    added: Quantiles,
}

/// Runs and prints a table.
pub async fn run(options: &LatencyOptions) -> Result<(), RigError> {
    let fleet = Fleet::start(plan()).await?;
    sleep(SETTLE).await;
    let ways = Ways::of(&fleet);
    ways.measure(&fleet.client, WARM_UP_CALLS).await?;
    let rate = LOAD * SLOTS as f64 / (SERVICE_MS / 1000.0);
    let calls = (rate * options.seconds) as usize;
    let mut runs = Vec::new();
    for _ in 0..options.repeat {
        let load_average = load_average();
        let measured = ways.measure(&fleet.client, calls).await?;
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

/// An entry beside another target, and a host.
fn plan() -> FleetPlan {
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

#[derive(Clone, Copy, Debug)]
struct Ways {
    entry: SocketAddr,
    target: SocketAddr,
}

impl Ways {
    fn of(fleet: &Fleet) -> Self {
        Self {
            entry: fleet.member("front-1").addresses.callers,
            target: fleet.member("served-1").addresses.target,
        }
    }

    /// Sends calls at equal gaps, every second one through the nodes.
    async fn measure(self, client: &Client, calls: usize) -> Result<LatencyRun, RigError> {
        let gap = Duration::from_secs_f64(SERVICE_MS / 1000.0 / SLOTS as f64 / LOAD);
        let start = Instant::now();
        let mut running = JoinSet::new();
        let mut ended = Ended::default();
        for i in 0..calls {
            sleep_until((start + gap * i as u32).into()).await;
            let is_direct = i % 2 == 0;
            let call = match is_direct {
                true => ClientCall::new(self.target, Method::GET, "/items/1"),
                false => ClientCall::new(self.entry, Method::GET, "/served/items/1"),
            };
            running.spawn(timed(client.clone(), call, is_direct));
            while let Some(Ok(call)) = running.try_join_next() {
                ended.take(call)?;
            }
        }
        while let Some(Ok(call)) = running.join_next().await {
            ended.take(call)?;
        }
        Ok(LatencyRun {
            load_average: SmolStr::default(),
            direct: Quantiles::of(ended.direct),
            through_nodes: Quantiles::of(ended.through_nodes),
            added: Quantiles::default(),
        })
    }
}

struct TimedCall {
    is_direct: bool,
    took: Result<Duration, RigError>,
}

#[derive(Default)]
struct Ended {
    direct: Vec<Duration>,
    through_nodes: Vec<Duration>,
}

impl Ended {
    fn take(&mut self, call: TimedCall) -> Result<(), RigError> {
        let took = call.took?;
        match call.is_direct {
            true => self.direct.push(took),
            false => self.through_nodes.push(took),
        }
        Ok(())
    }
}

async fn timed(client: Client, call: ClientCall, is_direct: bool) -> TimedCall {
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

fn row<W>(name: &str, runs: &[LatencyRun], way: W) -> String
where
    W: Fn(&LatencyRun) -> Quantiles,
{
    let spread = |quantile: fn(&Quantiles) -> f64| {
        Spread::of(runs.iter().map(|run| quantile(&way(run))).collect())
    };
    format!(
        "| {name} | {} | {} | {} |\n",
        spread(|q| q.p50_ms),
        spread(|q| q.p99_ms),
        spread(|q| q.p999_ms)
    )
}
