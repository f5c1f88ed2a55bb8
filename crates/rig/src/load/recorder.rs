//! Collects how calls ended.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::load::call::CallEnd;
use crate::load::{
    ClassReport, Ending, KeyEnding, LatencyReport, LoadPlan, LoadReport, Operation, SecondReport,
};

/// Significant digits of latencies.
const DIGITS: u8 = 3;

/// Longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Seconds of a run that are told apart; later ones count as the last.
const MAX_SECONDS: usize = 100_000;

/// A call that has ended, with times from the start of the run.
#[derive(Clone, Debug)]
pub struct EndedCall {
    /// Position of its operation in the plan.
    pub operation: usize,
    /// Its key.
    pub key: String,
    /// When it was due to start.
    pub due: Duration,
    /// When it was started.
    pub started: Duration,
    /// When it ended.
    pub ended: Duration,
    /// How it ended.
    pub end: CallEnd,
}

struct ClassRecord {
    report: ClassReport,
    latency: Histogram<u64>,
    latency_from_start: Histogram<u64>,
}

/// Collects calls into a report.
pub struct Recorder {
    report: LoadReport,
    /// Latencies of whole answers by the second in which they came.
    latencies: Vec<Vec<Duration>>,
    classes: Vec<ClassRecord>,
    /// Position in `classes` of each operation.
    class_of: Vec<usize>,
    /// Whether each operation's keys are reported.
    keeps_key: Vec<bool>,
}

impl Recorder {
    /// An empty record of the plan's classes.
    pub fn new(plan: &LoadPlan) -> Self {
        let mut classes: Vec<ClassRecord> = Vec::new();
        let mut class_of = Vec::new();
        for operation in &plan.operations {
            let known = classes
                .iter()
                .position(|record| record.report.class == operation.class);
            class_of.push(known.unwrap_or(classes.len()));
            if known.is_none() {
                classes.push(ClassRecord::new(operation));
            }
        }
        let keeps_key = plan
            .operations
            .iter()
            .map(|op| plan.record_keys && op.non_idempotent);
        Self {
            report: LoadReport {
                seconds: plan.seconds(),
                ..LoadReport::default()
            },
            latencies: Vec::new(),
            classes,
            class_of,
            keeps_key: keeps_key.collect(),
        }
    }

    /// A call was due at `due` and is started `lag` later.
    pub fn on_due(&mut self, operation: usize, due: Duration, lag: Duration) {
        self.report.calls += 1;
        self.report.max_start_lag_ms = self.report.max_start_lag_ms.max(millis(lag));
        self.class(operation).report.calls += 1;
        self.second(due).calls += 1;
    }

    /// A call ended.
    pub fn on_ended(&mut self, call: EndedCall) {
        let CallEnd { ending, sent } = call.end;
        self.report.sent += u64::from(sent);
        self.report.endings.add(ending);
        self.second(call.ended).endings.add(ending);

        let class = self.class(call.operation);
        class.report.sent += u64::from(sent);
        class.report.endings.add(ending);
        if ending == Ending::Whole {
            class.on_whole(&call);
            let latency = call.ended.saturating_sub(call.due);
            entry_of_second(&mut self.latencies, call.ended).push(latency);
        }
        if self.keeps_key[call.operation] {
            self.report.keys.push(KeyEnding {
                key: call.key,
                ending,
                sent,
            });
        }
    }

    /// The report.
    pub fn finish(mut self) -> LoadReport {
        for (second, latencies) in self.report.by_second.iter_mut().zip(self.latencies) {
            second.p99_ms = p99_ms(latencies);
        }
        self.report.classes = self.classes.into_iter().map(ClassRecord::finish).collect();
        self.report
    }

    fn class(&mut self, operation: usize) -> &mut ClassRecord {
        &mut self.classes[self.class_of[operation]]
    }

    fn second(&mut self, at: Duration) -> &mut SecondReport {
        entry_of_second(&mut self.report.by_second, at)
    }
}

impl ClassRecord {
    fn new(operation: &Operation) -> Self {
        let report = ClassReport {
            class: operation.class.clone(),
            ..ClassReport::default()
        };
        Self {
            report,
            latency: histogram(),
            latency_from_start: histogram(),
        }
    }

    fn on_whole(&mut self, call: &EndedCall) {
        self.latency
            .saturating_record(micros(call.ended.saturating_sub(call.due)));
        let from_start = micros(call.ended.saturating_sub(call.started));
        self.latency_from_start.saturating_record(from_start);
        *entry_of_second(&mut self.report.goodput, call.ended) += 1;
    }

    fn finish(mut self) -> ClassReport {
        self.report.latency = latency_report(&self.latency);
        self.report.latency_from_start = latency_report(&self.latency_from_start);
        self.report
    }
}

/// The latency that 99 in 100 stay within; 0 where there is none.
fn p99_ms(mut latencies: Vec<Duration>) -> f64 {
    latencies.sort_unstable();
    let rank = (latencies.len() * 99).div_ceil(100);
    match rank.checked_sub(1) {
        Some(index) => millis(latencies[index]),
        None => 0.0,
    }
}

fn histogram() -> Histogram<u64> {
    let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, DIGITS);
    histogram.expect("the bounds are constants in their valid range")
}

fn latency_report(histogram: &Histogram<u64>) -> LatencyReport {
    let ms = |us: u64| us as f64 / 1000.0;
    LatencyReport {
        p50_ms: ms(histogram.value_at_quantile(0.5)),
        p99_ms: ms(histogram.value_at_quantile(0.99)),
        p999_ms: ms(histogram.value_at_quantile(0.999)),
        max_ms: ms(histogram.max()),
    }
}

fn entry_of_second<T>(series: &mut Vec<T>, at: Duration) -> &mut T
where
    T: Clone + Default,
{
    let second = (at.as_secs() as usize).min(MAX_SECONDS);
    if series.len() <= second {
        series.resize(second + 1, T::default());
    }
    &mut series[second]
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
