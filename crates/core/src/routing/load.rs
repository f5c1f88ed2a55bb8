//! Load estimate of a peer, from local observations and the peer's own load reports.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::config::RoutingConfig;
use super::peer::RouteResult;

/// Minimum decayed count of served calls for a latency estimate.
const MIN_SERVED: f64 = 0.5;

/// Concurrency limit assumed for a peer that has not reported one.
const ASSUMED_LIMIT: f64 = 16.0;

/// Load of a node's target, reported with its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Calls in flight at the target.
    pub in_flight: u32,
    /// Calls waiting for dispatch.
    pub queued: u32,
    /// Concurrency limit; 0 if no load is reported.
    pub limit: u32,
}

/// Exponentially decaying load statistics of a peer.
#[derive(Clone, Debug)]
pub(super) struct Load {
    in_flight: u32,
    /// Total time that calls spent in flight, in seconds, decayed.
    flight_time: f64,
    /// Count of served calls, decayed.
    served: f64,
    /// Moving average of the fraction of calls refused or failed, decayed.
    failure_rate: f64,
    updated: Instant,
    report: LoadReport,
    reported: Option<Instant>,
}

impl Load {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            in_flight: 0,
            flight_time: 0.0,
            served: 0.0,
            failure_rate: 0.0,
            updated: now,
            report: LoadReport::default(),
            reported: None,
        }
    }

    pub(super) fn record_sent(&mut self, cfg: &RoutingConfig, now: Instant) {
        self.decay(cfg, now);
        if self.lacks_samples() {
            self.flight_time = 0.0;
            self.served = 0.0;
        }
        self.in_flight += 1;
    }

    pub(super) fn record_done(
        &mut self,
        cfg: &RoutingConfig,
        result: RouteResult,
        report: LoadReport,
        now: Instant,
    ) {
        self.decay(cfg, now);
        self.in_flight = self.in_flight.saturating_sub(1);
        if report.limit > 0 {
            self.report = report;
            self.reported = Some(now);
        }
        match result {
            RouteResult::Served => {
                self.served += 1.0;
                self.failure_rate *= 0.8;
            }
            RouteResult::Shed | RouteResult::Failed | RouteResult::Lost => {
                self.failure_rate += (1.0 - self.failure_rate) * 0.2;
            }
            RouteResult::Cancelled => {}
        }
    }

    /// Mean latency of a served call by Little's law: time in flight over calls served, both decayed.
    ///
    /// The estimate rises while calls hang, before any of them fails, so a peer that stops answering is detected early.
    /// A mean over finished calls would not change until the first timeout. Returns `None` without enough recent calls.
    pub(super) fn latency(&self, cfg: &RoutingConfig, now: Instant) -> Option<Duration> {
        let mut load = self.clone();
        load.decay(cfg, now);
        if self.served < MIN_SERVED || load.lacks_samples() {
            return None;
        }
        let seconds = load.flight_time / load.served.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(seconds).ok()
    }

    /// Calls at the peer divided by its limit. Calls of other nodes are taken from load reports, discounted by age.
    pub(super) fn utilisation(&self, cfg: &RoutingConfig, now: Instant) -> f64 {
        let own = f64::from(self.in_flight);
        let Some(reported) = self.reported else {
            return own / ASSUMED_LIMIT;
        };
        let age = now.saturating_duration_since(reported).as_secs_f64();
        let fresh = (1.0 - age / cfg.report_lifetime.as_secs_f64().max(f64::EPSILON)).max(0.0);
        let reported_load = f64::from(self.report.in_flight) + f64::from(self.report.queued);
        own.max(own + (reported_load - own) * fresh) / f64::from(self.report.limit)
    }

    /// Recent fraction of calls refused or failed, from 0 to 1.
    pub(super) fn failure_rate(&self, cfg: &RoutingConfig, now: Instant) -> f64 {
        self.failure_rate * self.decay_factor(cfg, now)
    }

    pub(super) fn has_report(&self) -> bool {
        self.reported.is_some()
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether there are too few recent calls for a latency estimate.
    ///
    /// The estimate of an idle peer is dropped because no call updates it. Otherwise a peer whose last call was slow
    /// would lose every comparison and a healthy target would stay without work.
    fn lacks_samples(&self) -> bool {
        self.in_flight == 0 && self.served < MIN_SERVED
    }

    fn decay(&mut self, cfg: &RoutingConfig, now: Instant) {
        let factor = self.decay_factor(cfg, now);
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.flight_time = self.flight_time * factor + f64::from(self.in_flight) * elapsed;
        self.served *= factor;
        self.failure_rate *= factor;
        self.updated = self.updated.max(now);
    }

    fn decay_factor(&self, cfg: &RoutingConfig, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        0.5f64.powf(elapsed / cfg.half_life.as_secs_f64().max(f64::EPSILON))
    }
}
