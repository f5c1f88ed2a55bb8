//! Compares what callers were told with what targets have run.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::load::{Ending, KeyEnding};
use crate::target::TargetCounts;

/// What is known after a round.
#[derive(Clone, Copy, Debug)]
pub struct Evidence<'a> {
    /// How calls that must run at most once have ended, of this round and all earlier ones.
    pub keys: &'a [KeyEnding],
    /// Calls that were answered with something other than their own whole answer.
    pub wrong: u64,
    /// Counts of all targets of the service.
    pub targets: &'a [TargetCounts],
    /// Breaches that nodes have counted themselves.
    pub counted: &'a [String],
}

/// Every broken promise, in words; empty where all was kept.
pub fn breaches_of(evidence: &Evidence<'_>) -> Vec<String> {
    let mut runs: BTreeMap<&SmolStr, u64> = BTreeMap::new();
    for (key, of_target) in evidence.targets.iter().flat_map(|counts| &counts.keys) {
        *runs.entry(key).or_default() += of_target.started;
    }
    let mut found = evidence.counted.to_vec();
    if evidence.wrong > 0 {
        found.push(format!("{} wrong answers", evidence.wrong));
    }
    for key in evidence.keys {
        let runs = runs.get(&SmolStr::new(&key.key)).copied().unwrap_or(0);
        let broken = match key.ending {
            _ if runs > 1 => "ran more than once",
            Ending::NotRun if runs > 0 => "ran after \"not run\"",
            Ending::NoToken | Ending::Skipped if runs > 0 => "ran without having been sent",
            Ending::Whole if runs == 0 => "has an answer without a run",
            _ => continue,
        };
        found.push(format!(
            "{} {broken}: {runs} runs, told {:?} at sending {}",
            key.key, key.ending, key.sent
        ));
    }
    found
}
