//! Compares the answers to callers with the runs at targets.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::load::{Ending, KeyEnding};
use crate::target::TargetCounts;

/// Observations after a round.
#[derive(Clone, Copy, Debug)]
pub struct Evidence<'a> {
    /// Outcomes of calls that must run at most once, from this and all earlier rounds.
    pub keys: &'a [KeyEnding],
    /// Number of calls that got something other than their own complete answer.
    pub wrong_answers: u64,
    /// Counts of all targets of the service.
    pub targets: &'a [TargetCounts],
    /// Invariant breaches reported by the nodes themselves.
    pub node_breaches: &'a [String],
}

/// Describes every violated guarantee; empty if there is none.
pub fn find_breaches(evidence: &Evidence<'_>) -> Vec<String> {
    let mut runs: BTreeMap<&SmolStr, u64> = BTreeMap::new();
    for (key, key_runs) in evidence.targets.iter().flat_map(|counts| &counts.keys) {
        *runs.entry(key).or_default() += key_runs.started;
    }
    let mut found = evidence.node_breaches.to_vec();
    if evidence.wrong_answers > 0 {
        found.push(format!("{} wrong answers", evidence.wrong_answers));
    }
    for key in evidence.keys {
        let runs = runs.get(&SmolStr::new(&key.key)).copied().unwrap_or(0);
        let broken = match key.ending {
            _ if runs > 1 => "ran more than once",
            Ending::NotRun if runs > 0 => "ran after \"not run\"",
            Ending::NoToken | Ending::Skipped if runs > 0 => "ran without having been sent",
            Ending::Whole if runs == 0 => "was answered without having run",
            _ => continue,
        };
        found.push(format!(
            "{} {broken}: {runs} runs, outcome {:?} after {} attempts",
            key.key, key.ending, key.sent
        ));
    }
    found
}
