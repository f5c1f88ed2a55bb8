//! Counts of the requests that faults and planned work strike, by the state of the request.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::Serialize;

use super::runs::{Run, Runs};
use super::{Evidence, Fault};

/// Moment at which a fault or planned work begins.
#[derive(Clone, Debug)]
pub struct Strike {
    /// Name of its kind.
    pub kind: String,
    /// Index of the affected machine; `None` for all machines.
    pub machine: Option<usize>,
    /// The moment.
    pub at: Instant,
}

impl Strike {
    /// Whether it concerns a request at `machine` with these runs.
    pub(super) fn concerns(&self, machine: usize, runs: &[Run<'_>]) -> bool {
        self.machine
            .is_none_or(|struck| struck == machine || runs.iter().any(|(host, _)| *host == struck))
    }
}

/// How often a kind struck, and how many requests in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct StrikeCounts {
    /// Number of strikes.
    pub times: usize,
    /// Requests that a target was running.
    pub at_work: usize,
    /// Requests that had not reached a target.
    pub queued: usize,
    /// Requests that a target had run, behind an unanswered one on their connection.
    pub ready_behind: usize,
}

impl Fault {
    /// Name of its kind, as in the printed plan.
    pub(super) fn name(&self) -> String {
        let text = format!("{self:?}");
        let name = text.split([' ', '{']).next().unwrap_or_default();
        let mut kebab = String::new();
        for letter in name.chars() {
            if letter.is_uppercase() && !kebab.is_empty() {
                kebab.push('-');
            }
            kebab.push(letter.to_ascii_lowercase());
        }
        kebab
    }

    /// Whether it begins with a signal, whose moment the runner knows later.
    pub(super) fn is_signal(&self) -> bool {
        matches!(
            self,
            Self::Stop { .. } | Self::StopInBodies { .. } | Self::Hangup { .. } | Self::Roll { .. }
        )
    }

    /// Index of the machine that it affects; `None` for all machines.
    pub(super) fn machine(&self) -> Option<usize> {
        match *self {
            Self::Kill { machine, .. }
            | Self::Pause { machine, .. }
            | Self::Stop { machine }
            | Self::Hangup { machine }
            | Self::Leave { machine, .. }
            | Self::Target { machine, .. }
            | Self::Slow { machine, .. }
            | Self::Silence { machine, .. }
            | Self::Reset { machine, .. }
            | Self::CrashTarget { machine, .. }
            | Self::Limit { machine, .. }
            | Self::AnnounceLeaving { machine }
            | Self::StopInBodies { machine, .. }
            | Self::RestartEarlier { machine, .. }
            | Self::StandStill { machine, .. }
            | Self::Roll { machine }
            | Self::Crowd { machine, .. } => Some(machine),
            Self::Store { .. }
            | Self::Forget { .. }
            | Self::Configs { .. }
            | Self::GoBack { .. }
            | Self::Crashing { .. }
            | Self::WorkLimits { .. } => None,
        }
    }
}

/// A request as far as the counts need it.
struct Open<'e> {
    machine: usize,
    sent: Instant,
    ended: Instant,
    behind: bool,
    runs: &'e [Run<'e>],
}

/// Counts what each kind struck.
pub fn count_strikes(evidence: &Evidence) -> BTreeMap<String, StrikeCounts> {
    let runs = Runs::of(evidence);
    let kept = evidence.kept.iter().map(|one| Open {
        machine: one.machine,
        sent: one.sent,
        ended: one.ended,
        behind: one.behind,
        runs: runs.of_request(&one.id),
    });
    let alone = evidence.records.iter().map(|one| Open {
        machine: one.machine,
        sent: one.sent,
        ended: one.ended,
        behind: false,
        runs: runs.of_request(&one.id),
    });
    let all: Vec<Open<'_>> = kept.chain(alone).collect();
    let mut counts: BTreeMap<String, StrikeCounts> = BTreeMap::new();
    for strike in &evidence.strikes {
        let count = counts.entry(strike.kind.clone()).or_default();
        count.times += 1;
        for one in all.iter().filter(|one| one.is_struck_by(strike)) {
            one.count_at(strike.at, count);
        }
    }
    counts
}

/// Lists the kinds that struck no request in some state.
pub(super) fn never_struck(counts: &BTreeMap<String, StrikeCounts>) -> Vec<String> {
    let states = counts.iter().flat_map(|(kind, count)| {
        [
            (kind, "at work", count.at_work),
            (kind, "queued", count.queued),
            (kind, "ready behind another", count.ready_behind),
        ]
    });
    let never = states.filter(|(_, _, count)| *count == 0);
    never
        .map(|(kind, state, _)| format!("{kind}: {state}"))
        .collect()
}

impl Open<'_> {
    /// Returns whether it was open at a machine that was struck, or with a target there.
    fn is_struck_by(&self, strike: &Strike) -> bool {
        strike.concerns(self.machine, self.runs) && self.sent <= strike.at && strike.at < self.ended
    }

    fn count_at(&self, at: Instant, count: &mut StrikeCounts) {
        let mut began = self.runs.iter().filter(|(_, run)| run.at <= at).peekable();
        if began.peek().is_none() {
            count.queued += 1;
        } else if began.any(|(_, run)| run.ended.is_none_or(|end| end > at)) {
            count.at_work += 1;
        } else if self.behind {
            count.ready_behind += 1;
        }
    }
}
