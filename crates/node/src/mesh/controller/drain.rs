//! Admission while the node drains before it stops.

use std::time::{Duration, Instant};

use coltsfootport_core::mesh::{Drain, DrainConfig, Route, SlotRequest};

use super::route_stats::RouteStats;
use super::{AdmissionRequest, Controller};

impl Controller {
    /// Starts draining after a stop signal.
    pub(super) fn start_drain(&mut self, grace_period: Duration) {
        let cfg = DrainConfig {
            grace_period,
            ..self.cfg.drain
        };
        self.drain = Some(Drain::new(cfg, self.clock.now()));
    }

    /// Whether draining, if it has started, still allows a request from an external caller.
    pub(super) fn drain_admits_caller(
        &self,
        route: &Route,
        req: &AdmissionRequest,
        now: Instant,
    ) -> bool {
        let Some(drain) = &self.drain else {
            return true;
        };
        let stats = self.route_stats.get(&route.name);
        let expected = stats.map_or(Duration::ZERO, RouteStats::expected_completion);
        let left = req
            .time_left
            .map_or(route.timeout, |left| left.min(route.timeout));
        drain.admits_caller(expected, left, now)
    }

    /// Logs a call of a run that is admitted while the node drains.
    pub(super) fn log_call_while_draining(&self, route: &Route, req: &AdmissionRequest) {
        if self.drain.is_some() {
            let stats = self.route_stats.get(&route.name);
            let expected = stats.map_or(Duration::ZERO, RouteStats::expected_completion);
            let left = req.time_left.unwrap_or(route.timeout);
            self.journal.call_while_draining(&req.id, expected, left);
        }
    }

    /// Whether draining, if it has started, still allows a request from another node.
    pub(super) fn drain_admits_peer(&self, req: &SlotRequest, now: Instant) -> bool {
        let Some(drain) = &self.drain else {
            return true;
        };
        let left = req.deadline.saturating_duration_since(now);
        drain.admits_peer(self.gate.expected_completion(req), left, now)
    }

    /// Logs the requests that still run or wait on this node at the end of the grace period.
    pub(super) fn log_unfinished(&self) {
        let now = self.clock.now();
        for run in self.runs.iter() {
            let left = run.deadline.saturating_duration_since(now);
            self.journal.unfinished(&run.id, "running", left);
        }
        for waiter in self.waiting.values() {
            let left = waiter.req.deadline.saturating_duration_since(now);
            self.journal.unfinished(&waiter.req.id, "waiting", left);
        }
    }
}
