//! The state machine of a node's life.

use std::time::{Duration, Instant};

use crate::invariant::Invariant;
use crate::membership::NodeState;

use super::{LifecycleConfig, LifecycleEvent, Phase};

/// A node's life: which work it may take and start, and when it may end.
///
/// Work admitted before the node began to leave still runs here. Its caller has been accepted once; refusing it would
/// cost a retry of its allowance at another target, and the queue that holds it is short. Only what arrives later is
/// new work, and it is refused, after [`LifecycleConfig::accept_for`] at the latest.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    cfg: LifecycleConfig,
    phase: Phase,
    waiting: usize,
    in_flight: usize,
    leaving_since: Option<Instant>,
    accepts_late: bool,
    next_announce: Option<Instant>,
    deadline_reported: bool,
    drained_reported: bool,
}

impl Lifecycle {
    /// A node that has just started.
    pub fn new(cfg: LifecycleConfig) -> Self {
        Self {
            cfg,
            phase: Phase::Starting,
            waiting: 0,
            in_flight: 0,
            leaving_since: None,
            accepts_late: false,
            next_announce: None,
            deadline_reported: false,
            drained_reported: false,
        }
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// What this node tells its peers about itself.
    pub fn node_state(&self) -> NodeState {
        match self.phase {
            Phase::Starting => NodeState::Starting,
            Phase::Serving => NodeState::Serving,
            Phase::Leaving | Phase::Stopped => NodeState::Leaving,
        }
    }

    /// Calls that were admitted and wait for dispatch.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Calls at the target.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// The node has its documents: it begins to serve. Returns whether the phase changed.
    pub fn ready(&mut self, _now: Instant) -> bool {
        // A start that completes after a stop was asked for must not revive the node: it would be seen as a node that
        // announced its leaving and then took work.
        if self.phase != Phase::Starting {
            return false;
        }
        self.phase = Phase::Serving;
        true
    }

    /// A stop was asked for. Returns whether the phase changed; asking again changes nothing.
    pub fn leave(&mut self, now: Instant) -> bool {
        if self.phase >= Phase::Leaving {
            return false;
        }
        self.accepts_late = self.phase == Phase::Serving && !self.late_acceptance().is_zero();
        self.phase = Phase::Leaving;
        self.leaving_since = Some(now);
        self.next_announce = Some(now);
        true
    }

    /// Whether new work may be admitted.
    pub fn may_accept(&self) -> bool {
        match self.phase {
            Phase::Serving => true,
            Phase::Leaving => self.accepts_late,
            Phase::Starting | Phase::Stopped => false,
        }
    }

    /// New work is admitted and waits for dispatch. Returns false, without counting it, where none may be.
    pub fn accepted(&mut self) -> bool {
        if !self.may_accept() {
            return false;
        }
        self.waiting += 1;
        true
    }

    /// Work that was admitted is given up before dispatch: refused, cancelled or expired.
    pub fn withdrawn(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Whether work may go to the target now; asked just before its first byte is sent.
    ///
    /// While leaving this holds only for work counted by [`Lifecycle::accepted`] before.
    pub fn may_dispatch(&self) -> bool {
        match self.phase {
            Phase::Starting | Phase::Stopped => false,
            Phase::Serving => true,
            Phase::Leaving => self.waiting > 0,
        }
    }

    /// Work goes to the target. Returns the invariant that this breaks, if any; the work must then not be sent.
    ///
    /// A dispatch before the node serves is reported as the same breach: work is taken outside of the time for it.
    pub fn dispatched(&mut self) -> Option<Invariant> {
        // Dispatch of work that arrived after the announcement is a defect of the node's own checks: the call could be
        // cut off by the end of the process. Counting admitted work shows it here, before the first byte is sent.
        if !self.may_dispatch() {
            return Some(Invariant::WorkAfterLeaving);
        }
        self.waiting = self.waiting.saturating_sub(1);
        self.in_flight += 1;
        None
    }

    /// Work at the target has ended and its answer is on its way or given up.
    pub fn finished(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Ends the wait for the work that is left and returns how many calls are cut off by it.
    pub fn abandon(&mut self) -> usize {
        let left = self.left();
        self.phase = Phase::Stopped;
        left
    }

    /// The next thing to do, if one is due; called until it returns `None`.
    pub fn poll(&mut self, now: Instant) -> Option<LifecycleEvent> {
        let since = self.leaving_since?;
        if now.saturating_duration_since(since) >= self.late_acceptance() {
            self.accepts_late = false;
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

    /// When [`Lifecycle::poll`] should be called next, if nothing else happens before.
    pub fn wake_at(&self) -> Option<Instant> {
        if self.phase != Phase::Leaving {
            return None;
        }
        let since = self.leaving_since?;
        let refusal = since + self.late_acceptance();
        let end = since + self.cfg.announce_for;
        self.next_announce
            .into_iter()
            .chain(self.accepts_late.then_some(refusal))
            .chain([end])
            .min()
    }

    fn late_acceptance(&self) -> Duration {
        self.cfg.accept_for.min(self.cfg.announce_for)
    }

    fn left(&self) -> usize {
        self.waiting + self.in_flight
    }

    fn may_stop(&self, since: Instant, now: Instant) -> bool {
        self.left() == 0 && now.saturating_duration_since(since) >= self.cfg.announce_for
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
        Some(LifecycleEvent::DrainDeadline { left: self.left() })
    }
}
