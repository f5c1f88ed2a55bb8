//! State reports of nodes, and selection of a node's current incarnation.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::id::Incarnation;
use crate::once::Tick;

/// State that a node reports about itself in its messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum NodeState {
    /// The node is not ready for work yet.
    Starting,
    /// The node accepts work.
    Serving,
    /// The node accepts no new work.
    Leaving,
}

/// Result of recording a state report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StateReportOutcome {
    /// The report changed the current incarnation or its state.
    Changed,
    /// The report confirms the known state.
    Confirmed,
    /// The report is outdated and ignored.
    Stale,
}

/// Maximum number of past incarnations remembered for each node.
const MAX_PAST_INCARNATIONS: usize = 8;

/// Last state reports of one node, by incarnation.
#[derive(Clone, Debug)]
pub(super) struct NodeReports {
    current: StateReport,
    last_report_at: Instant,
    past: Vec<StateReport>,
    return_candidate: Option<ReturnCandidate>,
}

/// Last state report of one incarnation.
#[derive(Clone, Copy, Debug)]
struct StateReport {
    incarnation: Incarnation,
    state: NodeState,
    tick: Tick,
}

/// A past incarnation that still sends reports while the current one is silent.
#[derive(Clone, Copy, Debug)]
struct ReturnCandidate {
    incarnation: Incarnation,
    since: Instant,
}

impl NodeReports {
    pub(super) fn new(
        incarnation: Incarnation,
        state: NodeState,
        tick: Tick,
        now: Instant,
    ) -> Self {
        let current = StateReport {
            incarnation,
            state,
            tick,
        };
        Self {
            current,
            last_report_at: now,
            past: Vec::new(),
            return_candidate: None,
        }
    }

    pub(super) fn incarnation(&self) -> Incarnation {
        self.current.incarnation
    }

    pub(super) fn state(&self) -> NodeState {
        self.current.state
    }

    pub(super) fn last_report_at(&self) -> Instant {
        self.last_report_at
    }

    /// Records a state report. `silence` is [`MembershipConfig::silence`](super::MembershipConfig::silence).
    pub(super) fn record(
        &mut self,
        incarnation: Incarnation,
        state: NodeState,
        tick: Tick,
        silence: Duration,
        now: Instant,
    ) -> StateReportOutcome {
        let report = StateReport {
            incarnation,
            state,
            tick,
        };
        if incarnation == self.current.incarnation {
            return self.record_current(report, now);
        }
        match self
            .past
            .iter()
            .position(|past| past.incarnation == incarnation)
        {
            Some(index) => self.record_past(index, report, silence, now),
            None => {
                self.replace(report, now);
                StateReportOutcome::Changed
            }
        }
    }

    fn record_current(&mut self, report: StateReport, now: Instant) -> StateReportOutcome {
        if report.tick > self.current.tick {
            self.last_report_at = now;
            self.return_candidate = None;
        }
        // States of one incarnation only move forward, so the highest state wins regardless of the order of arrival. A
        // delayed `serving` report after `leaving` would make a stopping node live again, and it would refuse calls.
        if report.state > self.current.state {
            self.current = StateReport {
                tick: report.tick.max(self.current.tick),
                ..report
            };
            return StateReportOutcome::Changed;
        }
        if report.state < self.current.state || report.tick <= self.current.tick {
            return StateReportOutcome::Stale;
        }
        self.current.tick = report.tick;
        StateReportOutcome::Confirmed
    }

    /// Records a report of a replaced incarnation. It is usually a late one and therefore ignored.
    ///
    /// Incarnations are not ordered, however: if a late report is the first one received from a dead incarnation, it
    /// replaces the live one, whose instance would then never get work. A past incarnation therefore becomes current
    /// again if it keeps sending reports for the duration of `silence` while the current one sends none.
    fn record_past(
        &mut self,
        index: usize,
        report: StateReport,
        silence: Duration,
        now: Instant,
    ) -> StateReportOutcome {
        if report.tick <= self.past[index].tick {
            return StateReportOutcome::Stale;
        }
        self.past[index].tick = report.tick;
        self.past[index].state = self.past[index].state.max(report.state);
        let candidate = match self.return_candidate {
            Some(candidate) if candidate.incarnation == report.incarnation => candidate,
            _ => ReturnCandidate {
                incarnation: report.incarnation,
                since: now,
            },
        };
        self.return_candidate = Some(candidate);
        if now.saturating_duration_since(candidate.since) < silence {
            return StateReportOutcome::Stale;
        }
        let returning = self.past.remove(index);
        self.replace(returning, now);
        StateReportOutcome::Changed
    }

    fn replace(&mut self, report: StateReport, now: Instant) {
        if self.past.len() == MAX_PAST_INCARNATIONS {
            self.past.remove(0);
        }
        self.past.push(self.current);
        self.current = report;
        self.last_report_at = now;
        self.return_candidate = None;
    }
}
