//! Runs a chaos plan on real processes.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep_until};

use super::evidence::{Evidence, find_breaches};
use super::fault::Fault;
use super::idle::wait_until_idle;
use super::inject::{begin, end, recover};
use super::plan::{BIDDING, ChaosPlan, Round};
use crate::error::RigError;
use crate::fleet::{Fleet, READY_TIME};
use crate::load::{self, EndingCounts, KeyEnding, LoadPlan, LoadReport, Operation, Stage};

/// Deadline in milliseconds that callers send to the node.
const DEADLINE_MS: u64 = 1000;

/// Timeout in milliseconds after which a caller abandons an attempt.
const TIMEOUT_MS: u64 = 1300;

/// Result of a chaos run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChaosReport {
    /// Seed of the plan.
    pub seed: u64,
    /// Number of completed rounds.
    pub rounds: usize,
    /// Number of injected faults.
    #[serde(rename = "strikes")]
    pub faults: usize,
    /// Number of calls with tokens.
    pub keys: usize,
    /// Outcomes of all calls.
    pub endings: EndingCounts,
    /// Descriptions of violated guarantees. The run ends after the first round that has any.
    pub breaches: Vec<String>,
}

/// Runs the plan until it is complete or a round violates a guarantee.
pub async fn run(plan: &ChaosPlan) -> Result<ChaosReport, RigError> {
    let mut fleet = Fleet::start(plan.fleet()).await?;
    let mut report = ChaosReport {
        seed: plan.seed,
        ..ChaosReport::default()
    };
    let mut keys: Vec<KeyEnding> = Vec::new();
    for (number, round) in plan.rounds.iter().enumerate() {
        let load = tokio::spawn(load::run(load_plan(&fleet, round, number)));
        inject_all(&mut fleet, round).await?;
        recover(&mut fleet).await?;
        let load = load
            .await
            .map_err(|e| RigError::Settings(format!("load task failed: {e}")))??;
        wait_until_idle(&fleet, READY_TIME).await?;
        add_endings(&mut report.endings, &load.endings);
        keys.extend(load.keys.iter().cloned());
        report.rounds += 1;
        report.faults += round.faults.len();
        report.keys = keys.len();
        report.breaches = check_round(&fleet, &keys, &load).await?;
        if !report.breaches.is_empty() {
            break;
        }
    }
    Ok(report)
}

/// Whether a scheduled event begins or ends a fault.
#[derive(Clone, Copy, Debug)]
enum Edge {
    Begin,
    End,
}

async fn inject_all(fleet: &mut Fleet, round: &Round) -> Result<(), RigError> {
    let started_at = Instant::now();
    let mut events: Vec<(u64, Edge, &Fault)> = Vec::new();
    for scheduled in &round.faults {
        events.push((scheduled.at_ms, Edge::Begin, &scheduled.fault));
        events.push((scheduled.until_ms, Edge::End, &scheduled.fault));
    }
    events.sort_by_key(|(at_ms, ..)| *at_ms);
    for (at_ms, edge, fault) in events {
        sleep_until(started_at + Duration::from_millis(at_ms)).await;
        match edge {
            Edge::Begin => begin(fleet, fault).await?,
            Edge::End => end(fleet, fault).await?,
        }
    }
    sleep_until(started_at + Duration::from_millis(round.length_ms)).await;
    Ok(())
}

async fn check_round(
    fleet: &Fleet,
    keys: &[KeyEnding],
    load: &LoadReport,
) -> Result<Vec<String>, RigError> {
    let targets = fleet.counts(BIDDING).await?;
    let node_breaches = fleet.breaches().await?;
    Ok(find_breaches(&Evidence {
        keys,
        wrong_answers: load.endings.wrong,
        targets: &targets,
        node_breaches: &node_breaches,
    }))
}

fn load_plan(fleet: &Fleet, round: &Round, number: usize) -> LoadPlan {
    let bids = Operation {
        weight: 3,
        non_idempotent: true,
        body_bytes: 64,
        ..Operation::new(
            "POST /bidding/bids".parse().expect("a method and a path"),
            "bid",
        )
    };
    let lots = "GET /bidding/lots/1".parse().expect("a method and a path");
    LoadPlan {
        entries: fleet.entries(),
        stages: vec![Stage {
            rate: round.rate,
            seconds: round.length_ms as f64 / 1000.0,
        }],
        operations: vec![bids, Operation::new(lots, "browse")],
        behaviour: round.behaviour,
        deadline_ms: Some(DEADLINE_MS),
        timeout_ms: TIMEOUT_MS,
        key_prefix: format!("round-{number}"),
        record_keys: true,
        seed: round.load_seed,
        ..LoadPlan::default()
    }
}

fn add_endings(sum: &mut EndingCounts, round: &EndingCounts) {
    sum.whole += round.whole;
    sum.wrong += round.wrong;
    sum.not_run += round.not_run;
    sum.unknown += round.unknown;
    sum.failed += round.failed;
    sum.broken += round.broken;
    sum.timeout += round.timeout;
    sum.no_token += round.no_token;
    sum.skipped += round.skipped;
}
