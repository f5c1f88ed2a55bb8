//! What the demo checks after its run.

use std::time::Duration;

use crate::error::RigError;
use crate::fleet::Fleet;
use crate::load::{Ending, LoadReport};
use crate::target::TargetCounts;

use super::events::Change;
use super::plan::{
    AFTER, ALLOWANCE, BEFORE, CAPACITY, CHAIN, DEEPEST, FIRST, SURGE, TRIES, WARM_UP,
};
use super::promise::Promise;

/// Share of the normal goodput from which the load counts as recovered.
const RECOVERED: f64 = 0.95;

/// Least share of the physical capacity that must come out as whole answers during the surge.
const LEAST_GOODPUT: f64 = 0.6;

/// Longest time until a document is in force everywhere.
const DOCUMENT_LIMIT: Duration = Duration::from_secs(5);

/// Seconds at the end by which the goodput must be back.
const LAST: usize = 5;

/// Everything that the promises are judged by.
#[derive(Debug)]
pub(super) struct Seen {
    pub report: LoadReport,
    pub change: Change,
    /// Counts of the first service's targets.
    pub first: Vec<TargetCounts>,
    /// Calls that arrived at the deepest service's targets.
    pub deepest_arrived: u64,
    pub breaches: Vec<String>,
}

impl Seen {
    /// Asks targets and nodes.
    pub async fn collect(
        fleet: &Fleet,
        report: LoadReport,
        change: Change,
    ) -> Result<Self, RigError> {
        let deepest = fleet.counts(DEEPEST).await?;
        Ok(Self {
            report,
            change,
            first: fleet.counts(FIRST).await?,
            deepest_arrived: deepest.iter().map(|counts| counts.arrived).sum(),
            breaches: fleet.breaches().await?,
        })
    }

    /// Every promise with its verdict.
    pub fn promises(&self) -> Vec<Promise> {
        vec![
            self.whole(),
            self.order(),
            self.goodput(),
            self.recovery(),
            self.at_most_once(),
            self.not_run(),
            self.retries(),
            self.document(),
            self.invariants(),
        ]
    }

    fn whole(&self) -> Promise {
        let endings = self.report.endings;
        let seen = format!("{} whole, {} wrong", endings.whole, endings.wrong);
        let held = endings.whole > 0 && endings.wrong == 0;
        Promise::new(
            "a caller gets the whole answer to its own request",
            seen,
            held,
        )
    }

    fn order(&self) -> Promise {
        let share = |class: &str| self.surge_share(class);
        let (bid, browse, lookup) = (share("bid"), share("browse"), share("lookup"));
        let seen = format!(
            "served in the surge: bid {:.0} %, browse {:.0} %, lookup {:.0} %",
            bid * 100.0,
            browse * 100.0,
            lookup * 100.0
        );
        let held = bid >= browse && browse >= lookup;
        Promise::new("bids are shed last, internal lookups first", seen, held)
    }

    /// Whole answers of a class during the surge over its calls in that time.
    fn surge_share(&self, class: &str) -> f64 {
        let Some(report) = self.report.class(class) else {
            return 0.0;
        };
        let whole = sum(&report.goodput, surge());
        let calls: u64 = self.report.by_second[surge()].iter().map(|s| s.calls).sum();
        let mix = report.calls as f64 / self.report.calls.max(1) as f64;
        (whole / (calls as f64 * mix).max(1.0)).min(1.0)
    }

    fn goodput(&self) -> Promise {
        let ratio = self.rate(surge().start, surge().end) / CAPACITY;
        let seen = format!("{:.0} % of what the deepest targets can do", ratio * 100.0);
        let text = "whole answers go on during 4x load with hard retries (60 %)";
        Promise::new(text, seen, ratio >= LEAST_GOODPUT)
    }

    fn recovery(&self) -> Promise {
        let before = self.rate(WARM_UP as usize, (WARM_UP + BEFORE) as usize);
        let end = surge().end + AFTER as usize;
        let after = self.rate(end - LAST, end);
        let seen = format!("{before:.0}/s before, {after:.0}/s in the last {LAST} s");
        let text = "the overload ends with the surge (95 % of before)";
        Promise::new(text, seen, after >= before * RECOVERED)
    }

    fn at_most_once(&self) -> Promise {
        let most = self.most_runs();
        let tokens = self.report.keys.len();
        let seen = format!("{tokens} bids, most runs of one: {most}");
        let text = "a bid runs at most once, whoever sends it again";
        Promise::new(text, seen, tokens > 0 && most <= 1)
    }

    fn most_runs(&self) -> u64 {
        let bids = self.report.keys.iter().map(|bid| self.runs(&bid.key));
        bids.max().unwrap_or(0)
    }

    fn runs(&self, key: &str) -> u64 {
        let runs = self.first.iter().filter_map(|counts| counts.keys.get(key));
        runs.map(|runs| runs.started).sum()
    }

    fn not_run(&self) -> Promise {
        let told: Vec<_> = self
            .report
            .keys
            .iter()
            .filter(|bid| bid.ending == Ending::NotRun)
            .collect();
        let untrue = told.iter().filter(|bid| self.runs(&bid.key) > 0).count();
        let seen = format!("{} bids told so, {untrue} of them ran", told.len());
        Promise::new("\"not run\" is true", seen, untrue == 0)
    }

    fn retries(&self) -> Promise {
        let sent = self.report.sent.max(1);
        let per_sending = self.deepest_arrived as f64 / sent as f64;
        let bound = u64::from(ALLOWANCE) + 1;
        let seen = format!(
            "{:.2} calls at {DEEPEST} for each of {sent} sendings",
            per_sending
        );
        let text = "retries of a request stay bounded over the chain (at most 3)";
        Promise::new(text, seen, self.deepest_arrived <= sent * bound)
    }

    fn document(&self) -> Promise {
        let Change {
            in_force,
            nodes,
            took,
        } = self.change;
        let seen = format!("{in_force} of {nodes} nodes after {} ms", took.as_millis());
        let held = in_force == nodes && took <= DOCUMENT_LIMIT;
        Promise::new(
            "a document is in force everywhere within seconds",
            seen,
            held,
        )
    }

    fn invariants(&self) -> Promise {
        let seen = match self.breaches.first() {
            None => "0 breaches on all nodes".into(),
            Some(first) => format!("{} breaches, {first}", self.breaches.len()),
        };
        Promise::new(
            "the nodes' own invariants hold",
            seen,
            self.breaches.is_empty(),
        )
    }

    /// Whole answers a second in these seconds.
    fn rate(&self, from: usize, to: usize) -> f64 {
        let seconds = self.report.by_second.iter().take(to).skip(from);
        let whole: u64 = seconds.map(|second| second.endings.whole).sum();
        whole as f64 / (to - from).max(1) as f64
    }
}

/// What the clients do, in words.
pub(super) fn clients() -> String {
    format!(
        "clients send up to {TRIES} times without pause, {} services deep",
        CHAIN.len()
    )
}

fn surge() -> std::ops::Range<usize> {
    let start = (WARM_UP + BEFORE) as usize;
    start..start + SURGE as usize
}

fn sum(series: &[u64], seconds: std::ops::Range<usize>) -> f64 {
    let within = series.iter().take(seconds.end).skip(seconds.start);
    within.sum::<u64>() as f64
}
