//! Plan of a chaos run, generated from its seed.

use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use serde_json::json;
use smol_str::SmolStr;

use super::fault::{Direction, Fault, ScheduledFault};
use crate::fleet::{FleetPlan, ServicePlan};
use crate::load::Behaviour;
use crate::platform::FaultMode;
use crate::target::{self, ServiceTime};

/// Service whose non-idempotent calls must run at most once.
pub(super) const BIDDING: &str = "bidding";

/// Downstream service of the [`BIDDING`] targets.
const PRICES: &str = "prices";

const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Retry allowance in documents that no fault has changed.
pub(super) const RETRY_ALLOWANCE: u16 = 2;

/// Mean service time, in milliseconds, of targets that no fault slows down. It is long enough for
/// faults to hit running calls.
pub(super) const SERVICE_MS: f64 = 25.0;

/// Nodes that faults can affect.
const NODES: [&str; 5] = [
    "bidding-1",
    "bidding-2",
    "bidding-3",
    "prices-1",
    "prices-2",
];

/// Number of faults per second of a round, rounded up over the round.
const FAULTS_PER_SECOND: f64 = 1.5;

/// Range of fault durations in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 50..1500;

/// Range of the load's rate in calls per second.
const RATE_RANGE: std::ops::Range<f64> = 60.0..200.0;

/// One round of load and faults.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Round {
    /// Length in milliseconds.
    pub length_ms: u64,
    /// Calls per second.
    pub rate: f64,
    /// How clients retry calls that did not succeed.
    pub behaviour: Behaviour,
    /// Seed of the load.
    pub load_seed: u64,
    /// Faults of the round, ordered by start time.
    #[serde(rename = "strikes")]
    pub faults: Vec<ScheduledFault>,
}

/// Plan of a run. The same seed, length and number of rounds give the same plan.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChaosPlan {
    /// Seed of the plan.
    pub seed: u64,
    /// Rounds, run in sequence on the same processes.
    pub rounds: Vec<Round>,
}

impl ChaosPlan {
    /// Generates the plan for a seed: `seconds` of load in `rounds` rounds of equal length.
    pub fn of_seed(seed: u64, seconds: f64, rounds: u32) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let rounds = rounds.max(1);
        let length_ms = (seconds * 1000.0 / f64::from(rounds)) as u64;
        let rounds = (0..rounds)
            .map(|_| random_round(&mut rng, length_ms))
            .collect();
        Self { seed, rounds }
    }

    /// Returns the plan of the fleet that the rounds run on.
    pub fn fleet(&self) -> FleetPlan {
        let target = target::Settings {
            downstream: vec!["GET /prices/p/1".parse().expect("a method and a path")],
            downstream_required: false,
            service_ms: SERVICE_MS,
            service_time: ServiceTime::Exponential,
            ignore_cancel: self.seed.is_multiple_of(2),
            ..target::Settings::default()
        };
        let bidding = ServicePlan {
            target,
            ..ServicePlan::new(BIDDING, &DOMAINS)
        };
        FleetPlan {
            services: vec![bidding, ServicePlan::new(PRICES, &DOMAINS[..2])],
            proxied: true,
            seed: self.seed,
            node: json!({
                "limits": {"idle_timeout_ms": 700},
                "shutdown": {"announce_ms": 100, "drain_ms": 1000},
                "once": {"retention_ms": 4000, "record_margin_ms": 1000},
            }),
            ..FleetPlan::default()
        }
    }
}

fn random_round(rng: &mut StdRng, length_ms: u64) -> Round {
    let count = (length_ms as f64 / 1000.0 * FAULTS_PER_SECOND).ceil() as u32;
    let mut faults: Vec<ScheduledFault> = (0..count)
        .map(|_| random_scheduled_fault(rng, length_ms))
        .collect();
    faults.sort_by_key(|scheduled| scheduled.at_ms);
    Round {
        length_ms,
        rate: rng.random_range(RATE_RANGE),
        behaviour: match rng.random_bool(0.7) {
            true => Behaviour::HardRetry { tries: 5 },
            false => Behaviour::Polite { tries: 3 },
        },
        load_seed: rng.random(),
        faults,
    }
}

fn random_scheduled_fault(rng: &mut StdRng, length_ms: u64) -> ScheduledFault {
    let at_ms = rng.random_range(0..length_ms.max(1));
    ScheduledFault {
        at_ms,
        until_ms: at_ms + rng.random_range(FAULT_DURATION_MS),
        fault: random_fault(rng),
    }
}

fn random_fault(rng: &mut StdRng) -> Fault {
    let node = random_name(rng, &NODES);
    let (from, to) = (random_name(rng, &DOMAINS), random_name(rng, &DOMAINS));
    let directions = [Direction::Both, Direction::Requests, Direction::Answers];
    let modes = [FaultMode::Down, FaultMode::Stale, FaultMode::Flap];
    match rng.random_range(0..14) {
        0 | 1 => Fault::Kill { node },
        2 => Fault::Stop { node },
        3 | 4 => Fault::Restart { node },
        5..=7 => Fault::Freeze { node },
        8 | 9 => Fault::Cut {
            from,
            to,
            direction: *directions.choose(rng).unwrap_or(&Direction::Both),
        },
        10 => Fault::Scramble { from, to },
        11 => Fault::Platform {
            domain: to,
            mode: *modes.choose(rng).unwrap_or(&FaultMode::Down),
        },
        12 => Fault::Target {
            node,
            service_ms: rng.random_range(50..600),
            fail_ratio: rng.random_range(0.0..0.5),
        },
        _ if rng.random_bool(0.5) => Fault::Unlist { node },
        _ => Fault::Publish {
            retry_allowance: rng.random_range(0..5),
        },
    }
}

fn random_name(rng: &mut StdRng, names: &[&str]) -> SmolStr {
    names.choose(rng).map(SmolStr::new).unwrap_or_default()
}
