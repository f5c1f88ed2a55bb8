//! Options of `load`.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

use crate::error::RigError;
use crate::load::{self, Behaviour, LoadPlan, Operation, Stage};

/// Options of `load`.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct LoadOptions {
    /// JSON file with the plan; other options override its fields
    #[bpaf(argument("FILE"), optional)]
    plan: Option<PathBuf>,
    /// Address of a node's listener for callers (repeatable)
    #[bpaf(argument("ADDR"))]
    entry: Vec<SocketAddr>,
    /// Load stage as RATE:SECONDS, with the rate in calls per second (repeatable; stages run one after the other)
    #[bpaf(argument("STAGE"))]
    stage: Vec<Stage>,
    /// Operation as "METHOD /service/path [class=NAME] [weight=N] [body=BYTES] [non-idempotent]" (repeatable)
    #[bpaf(argument("OPERATION"))]
    operation: Vec<Operation>,
    /// Retry unsuccessful calls immediately, with at most N attempts per call
    #[bpaf(argument("N"), optional)]
    hard_retry: Option<u32>,
    /// Retry only calls that did not run, after the delay given in the answer, with at most N attempts per call
    #[bpaf(argument("N"), optional)]
    polite: Option<u32>,
    /// Deadline sent to the node, in milliseconds
    #[bpaf(argument("MS"), optional)]
    deadline_ms: Option<u64>,
    /// Client timeout per attempt, in milliseconds
    #[bpaf(argument("MS"), optional)]
    timeout_ms: Option<u64>,
    /// Maximum number of calls in flight
    #[bpaf(argument("N"), optional)]
    max_in_flight: Option<usize>,
    /// Prefix of the calls' keys
    #[bpaf(argument("TEXT"), optional)]
    key_prefix: Option<String>,
    /// Include the outcome of each non-idempotent call in the report
    record_keys: bool,
    /// Seed for arrival times and the choice of operations and entries
    #[bpaf(argument("N"), optional)]
    seed: Option<u64>,
}

impl LoadOptions {
    fn into_plan(self) -> Result<LoadPlan, RigError> {
        let base = match &self.plan {
            Some(path) => serde_json::from_slice(&fs::read(path)?)?,
            None => LoadPlan::default(),
        };
        let behaviour = match (self.hard_retry, self.polite) {
            (Some(tries), None) => Behaviour::HardRetry { tries },
            (None, Some(tries)) => Behaviour::Polite { tries },
            (None, None) => base.behaviour,
            (Some(_), Some(_)) => {
                let reason = "--hard-retry and --polite are mutually exclusive";
                return Err(RigError::Settings(reason.into()));
            }
        };
        Ok(LoadPlan {
            entries: non_empty(self.entry).unwrap_or(base.entries),
            stages: non_empty(self.stage).unwrap_or(base.stages),
            operations: non_empty(self.operation).unwrap_or(base.operations),
            behaviour,
            deadline_ms: self.deadline_ms.or(base.deadline_ms),
            timeout_ms: self.timeout_ms.unwrap_or(base.timeout_ms),
            max_in_flight: self.max_in_flight.unwrap_or(base.max_in_flight),
            key_prefix: self.key_prefix.unwrap_or(base.key_prefix),
            record_keys: self.record_keys || base.record_keys,
            seed: self.seed.unwrap_or(base.seed),
            ..base
        })
    }
}

fn non_empty<T>(list: Vec<T>) -> Option<Vec<T>> {
    (!list.is_empty()).then_some(list)
}

/// Runs the plan and prints the report.
pub async fn run(options: LoadOptions) -> Result<(), RigError> {
    let report = load::run(options.into_plan()?).await?;
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(())
}
