//! Checks of the demo's guarantees after the load has ended.

use std::time::Duration;

use crate::error::RigError;
use crate::fleet::Fleet;
use crate::load::{Ending, LoadReport};
use crate::target::TargetCounts;

use super::events::DocumentChange;
use super::guarantee::Guarantee;
use super::plan::{
    AFTER, ALLOWANCE, BEFORE, CAPACITY, CHAIN, DEEPEST, FIRST, SURGE, TRIES, WARM_UP,
};

/// Share of the goodput before the surge that must be reached again afterwards.
const RECOVERY_RATIO: f64 = 0.95;

/// Minimum goodput during the surge, as a share of the capacity.
const MIN_GOODPUT: f64 = 0.6;

/// Time limit for a document to be in force on all nodes.
const DOCUMENT_TIMEOUT: Duration = Duration::from_secs(5);

/// Seconds at the end of the load over which the recovered goodput is measured.
const RECOVERY_WINDOW: usize = 5;

/// Measurements that the guarantees are checked against.
#[derive(Debug)]
pub(super) struct Measurements {
    /// Report of the load generator.
    pub report: LoadReport,
    /// Rollout of the changed document.
    pub change: DocumentChange,
    /// Counters of the first service's targets.
    pub first_counts: Vec<TargetCounts>,
    /// Calls received by the targets of the deepest service.
    pub deepest_arrived: u64,
    /// Invariant breaches reported by the nodes.
    pub breaches: Vec<String>,
}

impl Measurements {
    /// Reads the counters of targets and nodes.
    pub async fn collect(
        fleet: &Fleet,
        report: LoadReport,
        change: DocumentChange,
    ) -> Result<Self, RigError> {
        let deepest = fleet.counts(DEEPEST).await?;
        Ok(Self {
            report,
            change,
            first_counts: fleet.counts(FIRST).await?,
            deepest_arrived: deepest.iter().map(|counts| counts.arrived).sum(),
            breaches: fleet.breaches().await?,
        })
    }

    /// Checks all guarantees.
    pub fn check_all(&self) -> Vec<Guarantee> {
        vec![
            self.check_whole_answers(),
            self.check_shed_order(),
            self.check_goodput(),
            self.check_recovery(),
            self.check_at_most_once(),
            self.check_not_run(),
            self.check_retry_bound(),
            self.check_document_rollout(),
            self.check_invariants(),
        ]
    }

    fn check_whole_answers(&self) -> Guarantee {
        let endings = self.report.endings;
        let seen = format!("{} whole, {} wrong", endings.whole, endings.wrong);
        let held = endings.whole > 0 && endings.wrong == 0;
        Guarantee::new(
            "a caller gets the whole answer to its own request",
            seen,
            held,
        )
    }

    fn check_shed_order(&self) -> Guarantee {
        let share = |class: &str| self.surge_share(class);
        let (bid, browse, lookup) = (share("bid"), share("browse"), share("lookup"));
        let seen = format!(
            "served during the surge: bid {:.0} %, browse {:.0} %, lookup {:.0} %",
            bid * 100.0,
            browse * 100.0,
            lookup * 100.0
        );
        let held = bid >= browse && browse >= lookup;
        Guarantee::new("bids are shed last, internal lookups first", seen, held)
    }

    /// Share of a class's calls during the surge that got whole answers.
    fn surge_share(&self, class: &str) -> f64 {
        let Some(report) = self.report.class(class) else {
            return 0.0;
        };
        let whole = sum(&report.goodput, surge_seconds());
        // The report counts calls per second over all classes; the class's share of all calls gives its part.
        let calls: u64 = self.report.by_second[surge_seconds()]
            .iter()
            .map(|s| s.calls)
            .sum();
        let mix = report.calls as f64 / self.report.calls.max(1) as f64;
        (whole / (calls as f64 * mix).max(1.0)).min(1.0)
    }

    fn check_goodput(&self) -> Guarantee {
        let ratio = self.rate(surge_seconds().start, surge_seconds().end) / CAPACITY;
        let seen = format!(
            "{:.0} % of the capacity of the deepest service",
            ratio * 100.0
        );
        let text = "goodput holds during 4x load with immediate retries (60 %)";
        Guarantee::new(text, seen, ratio >= MIN_GOODPUT)
    }

    fn check_recovery(&self) -> Guarantee {
        let before = self.rate(WARM_UP as usize, (WARM_UP + BEFORE) as usize);
        let end = surge_seconds().end + AFTER as usize;
        let after = self.rate(end - RECOVERY_WINDOW, end);
        let seen = format!("{before:.0}/s before, {after:.0}/s in the last {RECOVERY_WINDOW} s");
        let text = "goodput recovers after the surge (to 95 % of before)";
        Guarantee::new(text, seen, after >= before * RECOVERY_RATIO)
    }

    fn check_at_most_once(&self) -> Guarantee {
        let most = self.most_runs();
        let bids = self.report.keys.len();
        let seen = format!("{bids} bids, at most {most} runs of one bid");
        let text = "a bid runs at most once, also when it is retried";
        Guarantee::new(text, seen, bids > 0 && most <= 1)
    }

    fn most_runs(&self) -> u64 {
        let bids = self.report.keys.iter().map(|bid| self.runs(&bid.key));
        bids.max().unwrap_or(0)
    }

    fn runs(&self, key: &str) -> u64 {
        let runs = self
            .first_counts
            .iter()
            .filter_map(|counts| counts.keys.get(key));
        runs.map(|runs| runs.started).sum()
    }

    fn check_not_run(&self) -> Guarantee {
        let not_run: Vec<_> = self
            .report
            .keys
            .iter()
            .filter(|bid| bid.ending == Ending::NotRun)
            .collect();
        let executed = not_run.iter().filter(|bid| self.runs(&bid.key) > 0).count();
        let seen = format!(
            "{} bids reported as not run, {executed} of them ran",
            not_run.len()
        );
        Guarantee::new(
            "a bid reported as \"not run\" did not run",
            seen,
            executed == 0,
        )
    }

    fn check_retry_bound(&self) -> Guarantee {
        let sent = self.report.sent.max(1);
        let per_attempt = self.deepest_arrived as f64 / sent as f64;
        let bound = u64::from(ALLOWANCE) + 1;
        let seen = format!(
            "{:.2} calls at {DEEPEST} for each of {sent} attempts",
            per_attempt
        );
        let text = "attempts of a request stay bounded over the chain (at most 3)";
        Guarantee::new(text, seen, self.deepest_arrived <= sent * bound)
    }

    fn check_document_rollout(&self) -> Guarantee {
        let DocumentChange {
            in_force,
            nodes,
            took,
        } = self.change;
        let seen = format!("{in_force} of {nodes} nodes after {} ms", took.as_millis());
        let held = in_force == nodes && took <= DOCUMENT_TIMEOUT;
        Guarantee::new("a document is in force on all nodes within 5 s", seen, held)
    }

    fn check_invariants(&self) -> Guarantee {
        let seen = match self.breaches.first() {
            None => "0 breaches on all nodes".into(),
            Some(first) => format!("{} breaches, first: {first}", self.breaches.len()),
        };
        Guarantee::new(
            "the invariants checked by the nodes hold",
            seen,
            self.breaches.is_empty(),
        )
    }

    /// Average number of whole answers per second in the seconds `from..to`.
    fn rate(&self, from: usize, to: usize) -> f64 {
        let seconds = self.report.by_second.iter().take(to).skip(from);
        let whole: u64 = seconds.map(|second| second.endings.whole).sum();
        whole as f64 / (to - from).max(1) as f64
    }
}

/// Describes the behaviour of the clients.
pub(super) fn describe_clients() -> String {
    format!(
        "clients make up to {TRIES} attempts without backoff, {} services deep",
        CHAIN.len()
    )
}

/// Seconds of the load that belong to the surge.
fn surge_seconds() -> std::ops::Range<usize> {
    let start = (WARM_UP + BEFORE) as usize;
    start..start + SURGE as usize
}

fn sum(series: &[u64], seconds: std::ops::Range<usize>) -> f64 {
    let within = series.iter().take(seconds.end).skip(seconds.start);
    within.sum::<u64>() as f64
}
