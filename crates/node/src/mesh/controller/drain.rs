//! Admission while the node drains before it stops.

use std::time::{Duration, Instant};

use coltsfootport_core::mesh::{Drain, DrainConfig, Route, SlotRequest};

use super::route_stats::RouteStats;
use super::{AcquireSlotRequest, AdmissionRequest, Controller, InstanceRequest, ParentRun};

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
        let expected = self.expected_completion(&route.name);
        drain.admits_caller(expected, time_left(route, req), now)
    }

    /// Whether draining, if it has started, still allows a call of a run. Logs a call that it allows.
    pub(super) fn drain_admits_call(
        &self,
        route: &Route,
        req: &AdmissionRequest,
        parent: &ParentRun,
        now: Instant,
    ) -> bool {
        let Some(drain) = &self.drain else {
            return true;
        };
        let expected = self.expected_completion(&route.name);
        let parent_left = parent.deadline.saturating_duration_since(now);
        let left = time_left(route, req).min(parent_left);
        let admits = drain.lets_start(expected, left, now);
        if admits {
            self.journal.call_while_draining(&req.id, expected, left);
        }
        admits
    }

    /// Whether draining, if it has started, still allows an attempt to serve a request that has been admitted.
    pub(super) fn drain_allows_attempt(&self, req: &InstanceRequest, now: Instant) -> bool {
        let Some(drain) = &self.drain else {
            return true;
        };
        let left = req.deadline.saturating_duration_since(now);
        drain.lets_start(self.expected_completion(&req.route), left, now)
    }

    /// Expected time until the whole answer of a route has been passed on; zero if it is not known.
    fn expected_completion(&self, route: &str) -> Duration {
        let stats = self.route_stats.get(route);
        stats.map_or(Duration::ZERO, RouteStats::expected_completion)
    }

    /// Whether draining, if it has started, still allows a request from another node.
    pub(super) fn drain_admits_peer(&self, req: &SlotRequest, now: Instant) -> bool {
        let Some(drain) = &self.drain else {
            return true;
        };
        let left = req.deadline.saturating_duration_since(now);
        drain.admits_peer(self.gate.expected_completion(req), left, now)
    }

    /// Refuses waiting requests that would not end before the forced end of this node. Their entry nodes send them
    /// elsewhere.
    pub(super) fn refuse_late_waiters(&mut self, now: Instant) {
        let Some(drain) = self.drain else {
            return;
        };
        let is_late = |controller: &Self, req: &AcquireSlotRequest| {
            let left = req.deadline.saturating_duration_since(now);
            let expected = controller.gate.mean_completion(req.kind);
            !drain.lets_wait(expected, left, now)
        };
        self.refuse_waiting(is_late);
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

/// Time until the caller gives up or the route's timeout expires.
fn time_left(route: &Route, req: &AdmissionRequest) -> Duration {
    req.time_left
        .map_or(route.timeout, |left| left.min(route.timeout))
}
