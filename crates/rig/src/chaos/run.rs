//! Runs a plan on real processes.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep_until};

use super::at_rest;
use super::fault::Fault;
use super::plan::{BIDDING, ChaosPlan, Round};
use super::strike::{begin, end, recover};
use super::verdict::{Evidence, breaches_of};
use crate::error::RigError;
use crate::fleet::{Fleet, READY_TIME};
use crate::load::{self, EndingCounts, KeyEnding, LoadPlan, LoadReport, Operation, Stage};

/// Time limit of a caller in milliseconds, as told to the node.
const DEADLINE_MS: u64 = 1000;

/// Time after which a caller gives up a sending, in milliseconds.
const TIMEOUT_MS: u64 = 1300;

/// What came of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChaosReport {
    /// The seed of the plan.
    pub seed: u64,
    /// Rounds that were run to their end.
    pub rounds: usize,
    /// Faults that struck.
    pub strikes: usize,
    /// Calls with tokens.
    pub keys: usize,
    /// How all calls ended.
    pub endings: EndingCounts,
    /// Broken promises, in words; the run ends with the first round that has any.
    pub breaches: Vec<String>,
}

/// Runs the plan until its end or the first broken promise.
pub async fn run(plan: &ChaosPlan) -> Result<ChaosReport, RigError> {
    let mut fleet = Fleet::start(plan.fleet()).await?;
    let mut report = ChaosReport {
        seed: plan.seed,
        ..ChaosReport::default()
    };
    let mut keys: Vec<KeyEnding> = Vec::new();
    for (number, round) in plan.rounds.iter().enumerate() {
        let load = tokio::spawn(load::run(load_plan(&fleet, round, number)));
        strike_all(&mut fleet, round).await?;
        recover(&mut fleet).await?;
        let load = load
            .await
            .map_err(|e| RigError::Settings(format!("the load has failed: {e}")))??;
        at_rest(&fleet, READY_TIME).await?;
        add(&mut report.endings, &load.endings);
        keys.extend(load.keys.iter().cloned());
        report.rounds += 1;
        report.strikes += round.strikes.len();
        report.keys = keys.len();
        report.breaches = judge(&fleet, &keys, &load).await?;
        if !report.breaches.is_empty() {
            break;
        }
    }
    Ok(report)
}

/// Whether a moment of a plan begins or ends a fault.
#[derive(Clone, Copy, Debug)]
enum Edge {
    Begin,
    End,
}

async fn strike_all(fleet: &mut Fleet, round: &Round) -> Result<(), RigError> {
    let started_at = Instant::now();
    let mut moments: Vec<(u64, Edge, &Fault)> = Vec::new();
    for strike in &round.strikes {
        moments.push((strike.at_ms, Edge::Begin, &strike.fault));
        moments.push((strike.until_ms, Edge::End, &strike.fault));
    }
    moments.sort_by_key(|(at_ms, ..)| *at_ms);
    for (at_ms, edge, fault) in moments {
        sleep_until(started_at + Duration::from_millis(at_ms)).await;
        match edge {
            Edge::Begin => begin(fleet, fault).await?,
            Edge::End => end(fleet, fault).await?,
        }
    }
    sleep_until(started_at + Duration::from_millis(round.length_ms)).await;
    Ok(())
}

async fn judge(
    fleet: &Fleet,
    keys: &[KeyEnding],
    load: &LoadReport,
) -> Result<Vec<String>, RigError> {
    let targets = fleet.counts(BIDDING).await?;
    let counted = fleet.breaches().await?;
    Ok(breaches_of(&Evidence {
        keys,
        wrong: load.endings.wrong,
        targets: &targets,
        counted: &counted,
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

fn add(sum: &mut EndingCounts, round: &EndingCounts) {
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
