//! Creates metrics and registers them under the `coltsfootport` namespace.

use prometheus::core::Collector;
use prometheus::{
    Error, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry,
};

pub(super) fn counter(reg: &Registry, name: &str, help: &str) -> Result<IntCounter, Error> {
    register(reg, IntCounter::with_opts(opts(name, help))?)
}

pub(super) fn counter_vec(
    reg: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, Error> {
    register(reg, IntCounterVec::new(opts(name, help), labels)?)
}

pub(super) fn gauge(reg: &Registry, name: &str, help: &str) -> Result<IntGauge, Error> {
    register(reg, IntGauge::with_opts(opts(name, help))?)
}

pub(super) fn gauge_vec(
    reg: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntGaugeVec, Error> {
    register(reg, IntGaugeVec::new(opts(name, help), labels)?)
}

pub(super) fn histogram(
    reg: &Registry,
    name: &str,
    help: &str,
    buckets: &[f64],
) -> Result<Histogram, Error> {
    let opts = HistogramOpts::new(name, help).namespace("coltsfootport");
    register(reg, Histogram::with_opts(opts.buckets(buckets.to_vec()))?)
}

fn opts(name: &str, help: &str) -> Opts {
    Opts::new(name, help).namespace("coltsfootport")
}

fn register<M>(reg: &Registry, metric: M) -> Result<M, Error>
where
    M: Collector + Clone + 'static,
{
    reg.register(Box::new(metric.clone()))?;
    Ok(metric)
}
