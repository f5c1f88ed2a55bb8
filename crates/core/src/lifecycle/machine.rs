//! The node lifecycle state machine.

use std::time::{Duration, Instant};

use crate::invariant::Invariant;
use crate::membership::NodeState;

use super::{LifecycleConfig, LifecycleEvent, Phase};

/// Lifecycle of a node: decides which work may be accepted and dispatched, and when the process may exit.
///
/// Work admitted before the node began to leave is still executed. Refusing it would cost the request a retry at
/// another target, and the queue that holds it is short. Work that arrives later is refused, at the latest after
/// [`LifecycleConfig::accept_for`].
#[derive(Clone, Debug)]
pub struct Lifecycle {
    cfg: LifecycleConfig,
    phase: Phase,
    waiting: usize,
    in_flight: usize,
    leaving_since: Option<Instant>,
    accepts_while_leaving: bool,
    next_announce: Option<Instant>,
    deadline_reported: bool,
    drained_reported: bool,
}

impl Lifecycle {
    /// Creates the lifecycle of a node that has just started.
    pub fn new(cfg: LifecycleConfig) -> Self {
        Self {
            cfg,
            phase: Phase::Starting,
            waiting: 0,
            in_flight: 0,
            leaving_since: None,
            accepts_while_leaving: false,
            next_announce: None,
            deadline_reported: false,
            drained_reported: false,
        }
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// The state that this node announces to its peers.
    pub fn node_state(&self) -> NodeState {
        match self.phase {
            Phase::Starting => NodeState::Starting,
            Phase::Serving => NodeState::Serving,
            Phase::Leaving | Phase::Stopped => NodeState::Leaving,
        }
    }

    /// Number of admitted calls waiting for dispatch.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Number of calls in flight at the target.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Starts serving once the node has its documents. Returns whether the phase changed.
    pub fn ready(&mut self, _now: Instant) -> bool {
        // A start that completes after a stop was requested must not return the node to service: it would accept work
        // after announcing that it is leaving.
        if self.phase != Phase::Starting {
            return false;
        }
        self.phase = Phase::Serving;
        true
    }

    /// Starts leaving when a stop is requested. Returns whether the phase changed; repeated requests have no effect.
    pub fn leave(&mut self, now: Instant) -> bool {
        if self.phase >= Phase::Leaving {
            return false;
        }
        self.accepts_while_leaving =
            self.phase == Phase::Serving && !self.acceptance_period().is_zero();
        self.phase = Phase::Leaving;
        self.leaving_since = Some(now);
        self.next_announce = Some(now);
        true
    }

    /// Whether new work may be admitted.
    pub fn may_accept(&self) -> bool {
        match self.phase {
            Phase::Serving => true,
            Phase::Leaving => self.accepts_while_leaving,
            Phase::Starting | Phase::Stopped => false,
        }
    }

    /// Counts new work that waits for dispatch. Returns false, without counting it, if no work may be accepted.
    pub fn accepted(&mut self) -> bool {
        if !self.may_accept() {
            return false;
        }
        self.waiting += 1;
        true
    }

    /// Removes admitted work that was refused, cancelled or expired before dispatch.
    pub fn withdrawn(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Whether work may be dispatched to the target; to be checked just before its first byte is sent.
    ///
    /// While leaving, only work counted by [`Lifecycle::accepted`] may be dispatched.
    pub fn may_dispatch(&self) -> bool {
        match self.phase {
            Phase::Starting | Phase::Stopped => false,
            Phase::Serving => true,
            Phase::Leaving => self.waiting > 0,
        }
    }

    /// Counts work dispatched to the target. Returns the violated invariant, if any; the work must not be sent then.
    ///
    /// Dispatch before the node serves is reported as the same breach, since work is not accepted in that phase either.
    pub fn dispatched(&mut self) -> Option<Invariant> {
        // Work that arrived after the announcement could be interrupted by the end of the process, so dispatching it
        // is a defect of the node's checks. The count of admitted work detects it before the first byte is sent.
        if !self.may_dispatch() {
            return Some(Invariant::WorkAfterLeaving);
        }
        self.waiting = self.waiting.saturating_sub(1);
        self.in_flight += 1;
        None
    }

    /// Removes work that has ended at the target, with its answer sent or dropped.
    pub fn finished(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Stops without waiting for unfinished work. Returns the number of interrupted calls.
    pub fn abandon(&mut self) -> usize {
        let unfinished = self.unfinished();
        self.phase = Phase::Stopped;
        unfinished
    }

    /// Returns the next event that is due. To be called until it returns `None`.
    pub fn poll(&mut self, now: Instant) -> Option<LifecycleEvent> {
        let since = self.leaving_since?;
        if now.saturating_duration_since(since) >= self.acceptance_period() {
            self.accepts_while_leaving = false;
        }
        if self.phase == Phase::Leaving && self.may_stop(since, now) {
            self.phase = Phase::Stopped;
        }
        if self.phase == Phase::Stopped {
            return self.report_drained();
        }
        self.announce(now)
            .or_else(|| self.report_deadline(since, now))
    }

    /// Time at which [`Lifecycle::poll`] should be called next, unless another event happens before.
    pub fn wake_at(&self) -> Option<Instant> {
        if self.phase != Phase::Leaving {
            return None;
        }
        let since = self.leaving_since?;
        let refusal = since + self.acceptance_period();
        let end = since + self.cfg.announce_for;
        self.next_announce
            .into_iter()
            .chain(self.accepts_while_leaving.then_some(refusal))
            .chain([end])
            .min()
    }

    fn acceptance_period(&self) -> Duration {
        self.cfg.accept_for.min(self.cfg.announce_for)
    }

    fn unfinished(&self) -> usize {
        self.waiting + self.in_flight
    }

    fn may_stop(&self, since: Instant, now: Instant) -> bool {
        self.unfinished() == 0 && now.saturating_duration_since(since) >= self.cfg.announce_for
    }

    fn report_drained(&mut self) -> Option<LifecycleEvent> {
        if self.drained_reported {
            return None;
        }
        self.drained_reported = true;
        Some(LifecycleEvent::Drained)
    }

    fn announce(&mut self, now: Instant) -> Option<LifecycleEvent> {
        let due = self.next_announce?;
        if now < due {
            return None;
        }
        self.next_announce = Some(now + self.cfg.announce_every);
        Some(LifecycleEvent::Announce)
    }

    fn report_deadline(&mut self, since: Instant, now: Instant) -> Option<LifecycleEvent> {
        if self.deadline_reported || now.saturating_duration_since(since) < self.cfg.drain_limit {
            return None;
        }
        self.deadline_reported = true;
        Some(LifecycleEvent::DrainDeadline {
            left: self.unfinished(),
        })
    }
}
