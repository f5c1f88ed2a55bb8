//! Metrics of calls.

use std::time::Duration;

use coltsfootport_core::class::Class;
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::outcome::Outcome;
use prometheus::{Error, Histogram, IntCounter, IntCounterVec, IntGaugeVec, Registry};

use super::register;

/// Upper bounds of the buckets in seconds. 0.61 ms is the most that the fleet may add to 99 % of calls.
const ADDED_BUCKETS: [f64; 12] = [
    0.000_05, 0.000_1, 0.000_2, 0.000_3, 0.000_4, 0.000_61, 0.001, 0.002, 0.005, 0.02, 0.1, 1.0,
];

/// Value of the label `error` for answers of the target.
const NO_ERROR: &str = "none";

/// Listener at which a call arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Listener {
    /// Listener for callers outside the service graph.
    Callers,
    /// Listener for calls of the local target.
    Egress,
    /// Listener for peers.
    Peers,
}

/// Stage of a call in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Stage {
    /// Sent to a peer and not answered yet.
    AtPeers,
    /// Dispatched to the local target and not answered yet.
    AtTarget,
}

/// Metrics of calls, retries and added latency.
#[derive(Clone, Debug)]
pub struct CallMetrics {
    answered: IntCounterVec,
    retries: IntCounterVec,
    allowance_spent: IntCounter,
    in_flight: IntGaugeVec,
    added_time: Histogram,
    calls_without_context: IntCounter,
    late_answers: IntCounter,
}

impl CallMetrics {
    pub(super) fn new(reg: &Registry) -> Result<Self, Error> {
        let metrics = Self {
            answered: register::counter_vec(
                reg,
                "calls_total",
                "Calls answered, by listener, rank of class, outcome and error kind.",
                &["listener", "class", "outcome", "error"],
            )?,
            retries: register::counter_vec(
                reg,
                "retries_total",
                "Attempts that this node sent again, by the error before.",
                &["error"],
            )?,
            allowance_spent: register::counter(
                reg,
                "allowance_spent_total",
                "Retry allowance that was used up or did not come back.",
            )?,
            in_flight: register::gauge_vec(
                reg,
                "in_flight",
                "Calls in flight, by stage.",
                &["stage"],
            )?,
            added_time: register::histogram(
                reg,
                "added_seconds",
                "Time that this node added to a call, without the target's and the peer's.",
                &ADDED_BUCKETS,
            )?,
            calls_without_context: register::counter(
                reg,
                "egress_without_context_total",
                "Calls of the own target that carried no context and began new requests.",
            )?,
            late_answers: register::counter(
                reg,
                "late_answers_total",
                "Answers to attempts that this node had given up, dropped.",
            )?,
        };
        for stage in [Stage::AtPeers, Stage::AtTarget] {
            metrics.set_in_flight(stage, 0);
        }
        Ok(metrics)
    }

    /// Counts an answer; `error` is `None` for answers of the target.
    pub fn record_answer(
        &self,
        listener: Listener,
        class: Class,
        outcome: Outcome,
        error: Option<ErrorKind>,
    ) {
        const RANKS: [&str; Class::COUNT] = ["0", "1", "2", "3", "4", "5", "6", "7"];
        let rank = RANKS[usize::from(class.0).min(Class::COUNT - 1)];
        let error = error.map_or(NO_ERROR, ErrorKind::as_str);
        let labels = [listener.as_str(), rank, outcome.as_str(), error];
        self.answered.with_label_values(&labels).inc();
    }

    /// Counts a retry of an attempt that failed with `error`.
    pub fn record_retry(&self, error: ErrorKind) {
        self.retries.with_label_values(&[error.as_str()]).inc();
    }

    /// Counts retry allowance that was used or not returned.
    pub fn record_spent_allowance(&self, retries: u64) {
        self.allowance_spent.inc_by(retries);
    }

    /// Sets the number of calls at a stage.
    pub fn set_in_flight(&self, stage: Stage, calls: usize) {
        self.in_flight
            .with_label_values(&[stage.as_str()])
            .set(gauge_value(calls));
    }

    /// Records the latency that this node added to a call.
    pub fn record_added_time(&self, time: Duration) {
        self.added_time.observe(time.as_secs_f64());
    }

    /// Counts a call of the local target without a context.
    pub fn record_call_without_context(&self) {
        self.calls_without_context.inc();
    }

    /// Counts an answer to an attempt that this node had given up.
    pub fn record_late_answer(&self) {
        self.late_answers.inc();
    }
}

impl Listener {
    /// Returns the label value used in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Egress => "egress",
            Self::Peers => "peers",
        }
    }
}

impl Stage {
    /// Returns the label value used in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::AtPeers => "at-peers",
            Self::AtTarget => "at-target",
        }
    }
}

/// Converts a count to the value of a gauge.
pub(super) fn gauge_value(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
