//! Prometheus metrics of a mesh node.

use std::time::Duration;

use coltsfootport_core::mesh::EntryFault;
use coltsfootport_core::workspace::QuotaBasis;
use prometheus::{
    Encoder, Error, Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

/// Upper bounds of the latency histogram's buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0,
];

/// All metrics of a node; cheap to clone.
#[derive(Clone, Debug)]
pub struct MeshMetrics {
    registry: Registry,
    /// Responses to callers, by status and, if the node itself refused the request, by reason.
    answers: IntCounterVec,
    /// Time from the arrival of a request to its response.
    latency: Histogram,
    /// Time for which responses waited for earlier ones on their connection.
    pub response_wait: Histogram,
    /// Time that requests spent in the queue of the local target.
    pub queue_wait: Histogram,
    /// Requests without a response when their connection ended, by reason.
    lost_responses: IntCounterVec,
    /// Failed requests, by retry decision.
    retries: IntCounterVec,
    /// Decisions about workspace quotas, by basis and outcome.
    quota_decisions: IntCounterVec,
    /// Connections that could not be accepted, by listener.
    accept_failures: IntCounterVec,
    /// Open connections of callers.
    pub caller_connections: IntGauge,
    /// Open connections of other nodes.
    pub peer_connections: IntGauge,
    /// Bytes held for callers and other nodes.
    pub held_bytes: IntGauge,
    /// Connections that were closed because they held the most bytes.
    pub evictions: IntCounter,
    /// Requests identified as calls made by a request that is running on the local target.
    pub inner: IntCounter,
    /// Requests shed because of their cost, which would be admitted if all routes of their rank were shed alike.
    pub shed_by_cost: IntCounter,
    /// Requests that were running on the local target when its process crashed.
    pub ended_by_crash: IntCounter,
    /// Crashes of the local target's process.
    pub target_crashes: IntCounter,
    /// Times that the local target has stopped responding.
    pub target_silences: IntCounter,
    /// Requests that waited until no other request suspected of crashing targets was running.
    pub isolated: IntCounter,
    /// Number of requests currently suspected of crashing targets.
    pub suspects: IntGauge,
    /// Log lines dropped by the rate limit.
    pub lines_dropped: IntCounter,
    /// Published configurations that were rejected.
    pub config_faults: IntCounter,
    /// Words of the configuration in force that this version does not know.
    pub config_unknown_words: IntGauge,
    /// Published entries that do not describe a valid instance, by reason.
    entry_faults: IntCounterVec,
    /// Reads of the publisher, by outcome.
    pub reads: IntCounterVec,
    /// Overload level of the local target.
    pub level: Gauge,
    /// Slowness of the local target relative to the median of its service, as reported to this node; 1 if unknown.
    pub slowness: Gauge,
    /// Requests running on the local target.
    pub running: IntGauge,
    /// Requests queued for the local target.
    pub waiting: IntGauge,
    /// Number of known instances.
    pub instances: IntGauge,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Age of the publisher's last response, in milliseconds.
    pub publisher_age_ms: IntGauge,
}

impl MeshMetrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics have the same name, which a test rules out.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let gauge = |name: &str, help: &str| -> Result<IntGauge, Error> {
            let gauge = IntGauge::with_opts(opts(name, help))?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        let counter = |name: &str, help: &str| -> Result<IntCounter, Error> {
            let counter = IntCounter::with_opts(opts(name, help))?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let counter_vec =
            |name: &str, help: &str, labels: &[&str]| -> Result<IntCounterVec, Error> {
                let counter = IntCounterVec::new(opts(name, help), labels)?;
                registry.register(Box::new(counter.clone()))?;
                Ok(counter)
            };
        let level = Gauge::with_opts(opts("level", "level of overload at the own target"))?;
        registry.register(Box::new(level.clone()))?;
        let slowness = Gauge::with_opts(opts(
            "slowness",
            "reported slowness of the own target, 1 for the median of its service",
        ))?;
        registry.register(Box::new(slowness.clone()))?;
        let histogram = |name: &str, help: &str| -> Result<Histogram, Error> {
            let opts = HistogramOpts::new(name, help).namespace(NAMESPACE);
            let histogram = Histogram::with_opts(opts.buckets(LATENCY_BUCKETS.to_vec()))?;
            registry.register(Box::new(histogram.clone()))?;
            Ok(histogram)
        };
        Ok(Self {
            answers: counter_vec(
                "answers_total",
                "answers to callers",
                &["status", "refusal"],
            )?,
            latency: histogram("answer_seconds", "time from a request to its answer")?,
            response_wait: histogram(
                "response_wait_seconds",
                "time for which a response waited for those before it on its connection",
            )?,
            queue_wait: histogram(
                "queue_wait_seconds",
                "time that a request spent in the queue of the own target",
            )?,
            lost_responses: counter_vec(
                "lost_responses_total",
                "requests without an answer when their connection ended",
                &["reason"],
            )?,
            retries: counter_vec("repeats_total", "requests that failed", &["decision"])?,
            quota_decisions: counter_vec(
                "quota_decisions_total",
                "requests counted towards the quota of a workspace",
                &["basis", "outcome"],
            )?,
            accept_failures: counter_vec(
                "accept_failures_total",
                "connections that could not be accepted",
                &["listener"],
            )?,
            caller_connections: gauge("caller_connections", "open connections of callers")?,
            peer_connections: gauge("peer_connections", "open connections of other nodes")?,
            held_bytes: gauge("held_bytes", "bytes held for callers and other nodes")?,
            evictions: counter(
                "evictions_total",
                "connections closed to make room for others",
            )?,
            inner: counter("inner_total", "requests of the own target's runs")?,
            shed_by_cost: counter(
                "shed_by_cost_total",
                "requests shed for their cost at a constrained service",
            )?,
            ended_by_crash: counter(
                "ended_by_crash_total",
                "requests at work at the own target when it crashed",
            )?,
            target_crashes: counter(
                "target_crashes_total",
                "unplanned ends of the own target's process",
            )?,
            target_silences: counter(
                "target_silences_total",
                "times that the own target has stopped responding",
            )?,
            isolated: counter("isolated_total", "requests that waited in isolation")?,
            suspects: gauge("suspects", "requests suspected of crashing targets")?,
            lines_dropped: counter("log_lines_dropped_total", "log lines above their rate")?,
            config_faults: counter("config_faults_total", "published configurations not usable")?,
            config_unknown_words: gauge(
                "config_unknown_words",
                "words in force that this version does not know",
            )?,
            entry_faults: counter_vec(
                "entry_faults_total",
                "published entries that name no instance",
                &["reason"],
            )?,
            reads: counter_vec(
                "publisher_reads_total",
                "reads of the publisher",
                &["outcome"],
            )?,
            level,
            slowness,
            running: gauge("running", "requests running at the own target")?,
            waiting: gauge("waiting", "requests waiting for the own target")?,
            instances: gauge("instances", "instances known")?,
            config_version: gauge("config_version", "version of the configuration in force")?,
            publisher_age_ms: gauge("publisher_age_ms", "age of the publisher's last answer")?,
            registry,
        })
    }

    /// Records a response to a caller and its latency.
    pub fn record_answer(&self, status: u16, refusal: &str, latency: Duration) {
        self.answers
            .with_label_values(&[status.to_string().as_str(), refusal])
            .inc();
        self.latency.observe(latency.as_secs_f64());
    }

    /// Records the retry decision for a failed request.
    pub fn repeat(&self, decision: &str) {
        self.retries.with_label_values(&[decision]).inc();
    }

    /// Records requests that were admitted or refused by the quotas of their workspaces.
    pub fn record_quota_decisions(&self, basis: QuotaBasis, admitted: u32, refused: u32) {
        for (outcome, requests) in [("admitted", admitted), ("refused", refused)] {
            if requests > 0 {
                self.quota_decisions
                    .with_label_values(&[basis.as_str(), outcome])
                    .inc_by(u64::from(requests));
            }
        }
    }

    /// Records that a published entry has become invalid.
    pub fn entry_fault(&self, fault: EntryFault) {
        self.entry_faults.with_label_values(&[fault.as_str()]).inc();
    }

    /// Records a connection that could not be accepted.
    pub fn accept_failed(&self, listener: &str) {
        self.accept_failures.with_label_values(&[listener]).inc();
    }

    /// Records a request without a response at the end of its connection.
    pub fn response_lost(&self, reason: &str) {
        self.lost_responses.with_label_values(&[reason]).inc();
    }

    /// Records a read of the publisher.
    pub fn read(&self, outcome: &str) {
        self.reads.with_label_values(&[outcome]).inc();
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => text,
            Err(e) => format!("# {e}\n").into_bytes(),
        }
    }
}

/// Prefix of the names of all metrics.
const NAMESPACE: &str = "coltsfootport_mesh";

fn opts(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace(NAMESPACE)
}
