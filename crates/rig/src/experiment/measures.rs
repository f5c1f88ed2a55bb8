//! Measures computed from one run.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::load::{EndingCounts, LoadReport};

use super::phases::Phases;
use super::recovery::{Recovery, SecondStats};
use super::snapshot::Work;

/// Measures of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Measures {
    /// Complete responses per second during the trigger.
    pub goodput: f64,
    /// Upper bound of the goodput: the lesser of load and physical capacity during the trigger, per second.
    pub attainable: f64,
    /// `goodput` divided by `attainable`.
    pub goodput_ratio: f64,
    /// Complete responses before the trigger divided by the requests due in that phase.
    pub before_ratio: f64,
    /// Time from the end of the trigger until the load is served as before it.
    pub recovery: Recovery,
    /// Calls that arrived at the deepest service during the trigger, per request due in that phase.
    pub deepest_per_request: f64,
    /// Share of all targets' work that failed or was cancelled, from the start of the trigger to the end of the run.
    pub wasted_share: f64,
    /// Median over the seconds of the trigger of the 99th percentile latency of complete responses, in milliseconds.
    pub trigger_p99_ms: f64,
    /// Measures by class, most important class first.
    pub classes: Vec<ClassMeasure>,
    /// Requests of the whole run by how they ended.
    pub endings: EndingCounts,
    /// Longest delay of the load generator in starting a request, in milliseconds.
    pub max_start_lag_ms: f64,
}

/// Measures of one class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassMeasure {
    /// Name of the class.
    pub class: SmolStr,
    /// Complete responses during the trigger, divided by the class's share of the requests due in that phase.
    pub served_share: f64,
    /// Requests of the class in the whole run by how they ended.
    pub endings: EndingCounts,
}

/// Work that the targets did during a run.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TargetWork {
    /// Work of the deepest service during the trigger.
    pub deepest: Work,
    /// Work of all services from the start of the trigger to the end of the run.
    pub all: Work,
}

impl Measures {
    pub(super) fn of(
        report: &LoadReport,
        phases: Phases,
        work: TargetWork,
        attainable: f64,
    ) -> Self {
        let seconds = stats_by_second(report);
        let trigger = phases.trigger_range();
        let due = |range: std::ops::Range<usize>| -> f64 {
            let within = report.by_second.iter().take(range.end).skip(range.start);
            within.map(|second| second.calls).sum::<u64>() as f64
        };
        let whole = |range: std::ops::Range<usize>| -> f64 {
            let within = seconds.iter().take(range.end).skip(range.start);
            within.map(|second| second.whole).sum()
        };
        let goodput = whole(trigger.clone()) / phases.trigger as f64;
        let before = phases.before_range();
        let mut p99: Vec<f64> = seconds
            .iter()
            .take(trigger.end)
            .skip(trigger.start)
            .map(|second| second.p99_ms)
            .collect();
        p99.sort_by(f64::total_cmp);
        Self {
            goodput,
            attainable,
            goodput_ratio: goodput / attainable,
            before_ratio: whole(before.clone()) / due(before.clone()).max(1.0),
            recovery: Recovery::of(&seconds, before, phases.trigger_end()),
            deepest_per_request: work.deepest.arrived as f64 / due(trigger.clone()).max(1.0),
            wasted_share: work.all.wasted_ms / work.all.work_ms.max(1.0),
            trigger_p99_ms: p99.get(p99.len() / 2).copied().unwrap_or(0.0),
            classes: class_measures(report, phases, due(trigger)),
            endings: report.endings,
            max_start_lag_ms: report.max_start_lag_ms,
        }
    }
}

/// Returns the complete responses and the p99 latency of each second.
pub(super) fn stats_by_second(report: &LoadReport) -> Vec<SecondStats> {
    let seconds = report.by_second.iter().map(|second| SecondStats {
        whole: second.endings.whole as f64,
        p99_ms: second.p99_ms,
    });
    seconds.collect()
}

fn class_measures(report: &LoadReport, phases: Phases, due: f64) -> Vec<ClassMeasure> {
    let trigger = phases.trigger_range();
    let measures = report.classes.iter().map(|class| {
        let within = class.goodput.iter().take(trigger.end).skip(trigger.start);
        let whole = within.sum::<u64>() as f64;
        let share = class.calls as f64 / report.calls.max(1) as f64;
        ClassMeasure {
            class: class.class.clone(),
            served_share: whole / (due * share).max(1.0),
            endings: class.endings,
        }
    });
    measures.collect()
}
