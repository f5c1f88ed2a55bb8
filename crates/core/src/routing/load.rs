//! Load of a peer, from own observation and its reports.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::config::RoutingConfig;
use super::peer::RouteResult;

/// Served calls that must be in the observation before the latency is believed.
const MIN_SERVED: f64 = 0.5;

/// Limit of a peer that has not reported one.
const ASSUMED_LIMIT: f64 = 16.0;

/// What an answer says about the load of its host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Calls at the target.
    pub in_flight: u32,
    /// Calls that wait.
    pub queued: u32,
    /// Calls that may run at once; 0 where nothing is reported.
    pub limit: u32,
}

/// Moving view of a peer's load.
#[derive(Clone, Debug)]
pub(super) struct Load {
    in_flight: u32,
    /// Time spent in flight by all calls, in seconds, fading.
    flight_time: f64,
    /// Served calls, fading.
    served: f64,
    /// Refused or failed calls as a share, fading.
    trouble: f64,
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
            trouble: 0.0,
            updated: now,
            report: LoadReport::default(),
            reported: None,
        }
    }

    pub(super) fn sent(&mut self, cfg: &RoutingConfig, now: Instant) {
        self.fade(cfg, now);
        if self.is_forgotten() {
            self.flight_time = 0.0;
            self.served = 0.0;
        }
        self.in_flight += 1;
    }

    pub(super) fn done(
        &mut self,
        cfg: &RoutingConfig,
        result: RouteResult,
        report: LoadReport,
        now: Instant,
    ) {
        self.fade(cfg, now);
        self.in_flight = self.in_flight.saturating_sub(1);
        if report.limit > 0 {
            self.report = report;
            self.reported = Some(now);
        }
        match result {
            RouteResult::Served => {
                self.served += 1.0;
                self.trouble *= 0.8;
            }
            RouteResult::Shed | RouteResult::Failed | RouteResult::Lost => {
                self.trouble += (1.0 - self.trouble) * 0.2;
            }
            RouteResult::Cancelled => {}
        }
    }

    /// Mean time of a served call by Little's law: time in flight over calls served, both fading.
    ///
    /// A peer that stops answering gets slower with every moment that its calls hang, before any of them has failed; a
    /// mean over finished calls alone would not see it until the first timeout. None where little was seen of late.
    pub(super) fn latency(&self, cfg: &RoutingConfig, now: Instant) -> Option<Duration> {
        let mut load = self.clone();
        load.fade(cfg, now);
        if self.served < MIN_SERVED || load.is_forgotten() {
            return None;
        }
        let seconds = load.flight_time / load.served.max(f64::MIN_POSITIVE);
        Duration::try_from_secs_f64(seconds).ok()
    }

    /// Calls at the peer over its limit; the part of other callers is known from reports and fades with their age.
    pub(super) fn utilisation(&self, cfg: &RoutingConfig, now: Instant) -> f64 {
        let own = f64::from(self.in_flight);
        let Some(reported) = self.reported else {
            return own / ASSUMED_LIMIT;
        };
        let age = now.saturating_duration_since(reported).as_secs_f64();
        let fresh = (1.0 - age / cfg.report_lifetime.as_secs_f64().max(f64::EPSILON)).max(0.0);
        let told = f64::from(self.report.in_flight) + f64::from(self.report.queued);
        own.max(own + (told - own) * fresh) / f64::from(self.report.limit)
    }

    /// Share of calls that were refused or failed of late, from 0 to 1.
    pub(super) fn trouble(&self, cfg: &RoutingConfig, now: Instant) -> f64 {
        self.trouble * self.fading(cfg, now)
    }

    pub(super) fn has_report(&self) -> bool {
        self.reported.is_some()
    }

    pub(super) fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Whether too little was seen of late to speak of a mean.
    ///
    /// Without calls nothing corrects the mean: were it kept, a peer whose last call was slow would lose each comparison
    /// and never get the call that shows it to be fast again, seen as a healthy target without work.
    fn is_forgotten(&self) -> bool {
        self.in_flight == 0 && self.served < MIN_SERVED
    }

    fn fade(&mut self, cfg: &RoutingConfig, now: Instant) {
        let factor = self.fading(cfg, now);
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        self.flight_time = self.flight_time * factor + f64::from(self.in_flight) * elapsed;
        self.served *= factor;
        self.trouble *= factor;
        self.updated = self.updated.max(now);
    }

    fn fading(&self, cfg: &RoutingConfig, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        0.5f64.powf(elapsed / cfg.half_life.as_secs_f64().max(f64::EPSILON))
    }
}
