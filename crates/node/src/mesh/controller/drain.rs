//! What a node that has been told to stop still admits.

use std::time::{Duration, Instant};

use coltsfootport_core::mesh::{Drain, Route, SlotRequest};

use super::{AdmitAsk, Controller};

impl Controller {
    /// The node is about to stop.
    pub(super) fn stop(&mut self) {
        self.drain = Some(Drain::new(self.cfg.drain, self.clock.now()));
    }

    /// Whether a request of a caller is admitted although the node may be draining.
    pub(super) fn drain_admits_caller(&self, route: &Route, ask: &AdmitAsk, now: Instant) -> bool {
        let Some(drain) = &self.drain else {
            return true;
        };
        let stats = self.stats.get(&route.name);
        let expected = stats.map_or(Duration::ZERO, |stats| stats.usual());
        let left = ask
            .time_left
            .map_or(route.timeout, |left| left.min(route.timeout));
        drain.admits_caller(expected, left, now)
    }

    /// Whether a request of another node is admitted although this one may be draining.
    pub(super) fn drain_admits_peer(&self, req: &SlotRequest, now: Instant) -> bool {
        let Some(drain) = &self.drain else {
            return true;
        };
        let left = req.deadline.saturating_duration_since(now);
        drain.admits_peer(self.gate.expected_completion(req), left, now)
    }

    /// Logs what this host still has at the end of the grace period.
    pub(super) fn log_unfinished(&self) {
        let now = self.clock.now();
        for run in self.runs.iter() {
            let left = run.deadline.saturating_duration_since(now);
            self.journal.unfinished(&run.id, "running", left);
        }
        for waiter in self.waiting.values() {
            let left = waiter.ask.deadline.saturating_duration_since(now);
            self.journal.unfinished(&waiter.ask.id, "waiting", left);
        }
    }
}
