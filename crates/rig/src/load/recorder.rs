//! Collects the results of calls into a report.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::load::call::CallResult;
use crate::load::{
    ClassReport, Ending, KeyEnding, LatencyReport, LoadPlan, LoadReport, Operation, SecondReport,
};

/// Significant decimal digits of the latency histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Upper bound of the latency histograms in microseconds; longer latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Highest index of the per-second series; later seconds are counted there.
const MAX_SECOND_INDEX: usize = 100_000;

/// A completed call. Times are relative to the start of the run.
#[derive(Clone, Debug)]
pub struct EndedCall {
    /// Index of its operation in the plan.
    pub operation: usize,
    /// Key of the call.
    pub key: String,
    /// Scheduled start time.
    pub due: Duration,
    /// Actual start time.
    pub started: Duration,
    /// Completion time.
    pub ended: Duration,
    /// Ending and number of attempts.
    pub result: CallResult,
}

struct ClassRecord {
    report: ClassReport,
    latency: Histogram<u64>,
    latency_from_start: Histogram<u64>,
}

/// Aggregates completed calls into a [`LoadReport`].
pub struct Recorder {
    report: LoadReport,
    /// Latencies of whole answers by the second of their arrival.
    latencies: Vec<Vec<Duration>>,
    classes: Vec<ClassRecord>,
    /// Index in `classes` of each operation.
    class_index: Vec<usize>,
    /// Whether the keys of each operation are reported.
    records_key: Vec<bool>,
}

impl Recorder {
    /// Creates an empty recorder with the classes of the plan.
    pub fn new(plan: &LoadPlan) -> Self {
        let mut classes: Vec<ClassRecord> = Vec::new();
        let mut class_index = Vec::new();
        for operation in &plan.operations {
            let known = classes
                .iter()
                .position(|record| record.report.class == operation.class);
            class_index.push(known.unwrap_or(classes.len()));
            if known.is_none() {
                classes.push(ClassRecord::new(operation));
            }
        }
        let records_key = plan
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
            class_index,
            records_key: records_key.collect(),
        }
    }

    /// Records a call that was scheduled for `due` and starts `lag` later.
    pub fn record_due(&mut self, operation: usize, due: Duration, lag: Duration) {
        self.report.calls += 1;
        self.report.max_start_lag_ms = self.report.max_start_lag_ms.max(millis(lag));
        self.class_mut(operation).report.calls += 1;
        self.second_mut(due).calls += 1;
    }

    /// Records a completed or skipped call.
    pub fn record_ended(&mut self, call: EndedCall) {
        let CallResult { ending, sent } = call.result;
        self.report.sent += u64::from(sent);
        self.report.endings.add(ending);
        self.second_mut(call.ended).endings.add(ending);

        let class = self.class_mut(call.operation);
        class.report.sent += u64::from(sent);
        class.report.endings.add(ending);
        if ending == Ending::Whole {
            class.record_whole(&call);
            let latency = call.ended.saturating_sub(call.due);
            series_entry(&mut self.latencies, call.ended).push(latency);
        }
        if self.records_key[call.operation] {
            self.report.keys.push(KeyEnding {
                key: call.key,
                ending,
                sent,
            });
        }
    }

    /// Returns the report of all recorded calls.
    pub fn finish(mut self) -> LoadReport {
        for (second, latencies) in self.report.by_second.iter_mut().zip(self.latencies) {
            second.p99_ms = p99_ms(latencies);
        }
        self.report.classes = self.classes.into_iter().map(ClassRecord::finish).collect();
        self.report
    }

    fn class_mut(&mut self, operation: usize) -> &mut ClassRecord {
        &mut self.classes[self.class_index[operation]]
    }

    fn second_mut(&mut self, at: Duration) -> &mut SecondReport {
        series_entry(&mut self.report.by_second, at)
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

    fn record_whole(&mut self, call: &EndedCall) {
        self.latency
            .saturating_record(micros(call.ended.saturating_sub(call.due)));
        let from_start = micros(call.ended.saturating_sub(call.started));
        self.latency_from_start.saturating_record(from_start);
        *series_entry(&mut self.report.goodput, call.ended) += 1;
    }

    fn finish(mut self) -> ClassReport {
        self.report.latency = latency_report(&self.latency);
        self.report.latency_from_start = latency_report(&self.latency_from_start);
        self.report
    }
}

/// Returns the 99th percentile in milliseconds (nearest rank), or 0 if there are no latencies.
fn p99_ms(mut latencies: Vec<Duration>) -> f64 {
    latencies.sort_unstable();
    let rank = (latencies.len() * 99).div_ceil(100);
    match rank.checked_sub(1) {
        Some(index) => millis(latencies[index]),
        None => 0.0,
    }
}

fn histogram() -> Histogram<u64> {
    let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
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

fn series_entry<T>(series: &mut Vec<T>, at: Duration) -> &mut T
where
    T: Clone + Default,
{
    let second = (at.as_secs() as usize).min(MAX_SECOND_INDEX);
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
