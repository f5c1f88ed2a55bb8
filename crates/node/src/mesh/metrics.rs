//! Counters of a mesh node.

use std::time::Duration;

use coltsfootport_core::mesh::EntryFault;
use coltsfootport_core::workspace::QuotaBasis;
use prometheus::{
    Encoder, Error, Gauge, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

/// Upper ends of the latency histogram's buckets, in seconds.
const LATENCY_BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0,
];

/// All counters; cheap to clone.
#[derive(Clone, Debug)]
pub struct MeshMetrics {
    registry: Registry,
    /// Answers to callers, by status and by the reason of the node's own answers.
    answers: IntCounterVec,
    latency: Histogram,
    repeats: IntCounterVec,
    /// Decisions about quotas of workspaces, by what they went by and by outcome.
    quota_decisions: IntCounterVec,
    /// Requests recognised as calls of a run at the own target.
    pub inner: IntCounter,
    /// Requests that were at work at the own target when its process ended unplanned.
    pub ended_by_crash: IntCounter,
    /// Unplanned ends of the own target's process.
    pub target_crashes: IntCounter,
    /// Requests that waited until no other suspect of crashes was at work.
    pub isolated: IntCounter,
    /// Requests that are suspected of crashing targets.
    pub suspects: IntGauge,
    /// Log lines above their rate.
    pub lines_dropped: IntCounter,
    /// Published configurations that could not be used.
    pub config_faults: IntCounter,
    /// Published entries that name no instance, by reason.
    entry_faults: IntCounterVec,
    /// Reads of the publisher, by outcome.
    pub reads: IntCounterVec,
    /// Level of overload at the own target.
    pub level: Gauge,
    /// Requests running at the own target.
    pub running: IntGauge,
    /// Requests waiting for the own target.
    pub waiting: IntGauge,
    /// Instances known.
    pub instances: IntGauge,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Age of the publisher's last answer in milliseconds.
    pub publisher_age_ms: IntGauge,
}

impl MeshMetrics {
    /// Registers all counters.
    ///
    /// # Errors
    ///
    /// Two have the same name, which a test excludes.
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
        let counters = |name: &str, help: &str, labels: &[&str]| -> Result<IntCounterVec, Error> {
            let counters = IntCounterVec::new(opts(name, help), labels)?;
            registry.register(Box::new(counters.clone()))?;
            Ok(counters)
        };
        let level = Gauge::with_opts(opts("level", "level of overload at the own target"))?;
        registry.register(Box::new(level.clone()))?;
        let latency = HistogramOpts::new("answer_seconds", "time from a request to its answer")
            .namespace(NAMESPACE)
            .buckets(LATENCY_BUCKETS.to_vec());
        let latency = Histogram::with_opts(latency)?;
        registry.register(Box::new(latency.clone()))?;
        Ok(Self {
            answers: counters(
                "answers_total",
                "answers to callers",
                &["status", "refusal"],
            )?,
            latency,
            repeats: counters("repeats_total", "requests that failed", &["decision"])?,
            quota_decisions: counters(
                "quota_decisions_total",
                "requests counted towards the quota of a workspace",
                &["basis", "outcome"],
            )?,
            inner: counter("inner_total", "requests of the own target's runs")?,
            ended_by_crash: counter(
                "ended_by_crash_total",
                "requests at work at the own target when it crashed",
            )?,
            target_crashes: counter(
                "target_crashes_total",
                "unplanned ends of the own target's process",
            )?,
            isolated: counter("isolated_total", "requests that waited in isolation")?,
            suspects: gauge("suspects", "requests suspected of crashing targets")?,
            lines_dropped: counter("log_lines_dropped_total", "log lines above their rate")?,
            config_faults: counter("config_faults_total", "published configurations not usable")?,
            entry_faults: counters(
                "entry_faults_total",
                "published entries that name no instance",
                &["reason"],
            )?,
            reads: counters(
                "publisher_reads_total",
                "reads of the publisher",
                &["outcome"],
            )?,
            level,
            running: gauge("running", "requests running at the own target")?,
            waiting: gauge("waiting", "requests waiting for the own target")?,
            instances: gauge("instances", "instances known")?,
            config_version: gauge("config_version", "version of the configuration in force")?,
            publisher_age_ms: gauge("publisher_age_ms", "age of the publisher's last answer")?,
            registry,
        })
    }

    /// A caller got its answer.
    pub fn ended(&self, status: u16, refusal: &str, took: Duration) {
        self.answers
            .with_label_values(&[status.to_string().as_str(), refusal])
            .inc();
        self.latency.observe(took.as_secs_f64());
    }

    /// A failed request was or was not sent again.
    pub fn repeat(&self, decision: &str) {
        self.repeats.with_label_values(&[decision]).inc();
    }

    /// Requests were admitted or refused by the quotas of their workspaces.
    pub fn quota_decided(&self, basis: QuotaBasis, admitted: u32, refused: u32) {
        for (outcome, requests) in [("admitted", admitted), ("refused", refused)] {
            if requests > 0 {
                self.quota_decisions
                    .with_label_values(&[basis.as_str(), outcome])
                    .inc_by(u64::from(requests));
            }
        }
    }

    /// An entry has turned into one that names no instance.
    pub fn entry_fault(&self, fault: EntryFault) {
        self.entry_faults.with_label_values(&[fault.as_str()]).inc();
    }

    /// The publisher was read.
    pub fn read(&self, outcome: &str) {
        self.reads.with_label_values(&[outcome]).inc();
    }

    /// All counters as text.
    pub fn text(&self) -> Vec<u8> {
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => text,
            Err(e) => format!("# {e}\n").into_bytes(),
        }
    }
}

const NAMESPACE: &str = "coltsfootport_mesh";

fn opts(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace(NAMESPACE)
}
