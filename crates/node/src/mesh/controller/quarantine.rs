//! Quarantine of requests that crash targets: admits, queues or refuses them at this node and exchanges findings with
//! other nodes.

use std::collections::VecDeque;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use coltsfootport_core::mesh::{Refusal, Ticket};
use coltsfootport_core::quarantine::{
    CrashId, Finding, Fingerprint, QuarantineConfig, SuspectRegistry, SuspicionLevel,
};
use rand::seq::IndexedRandom;
use slog::{info, warn};

use super::waiters::Waiter;
use super::{AcquireSlotRequest, Controller};
use crate::mesh::call::RunEnd;
use crate::mesh::findings::FindingsMessage;
use crate::mesh::link::MAX_FINDINGS;

/// Maximum number of isolated requests waiting at a node.
const MAX_ISOLATED_WAITING: usize = 64;

/// Retry delay suggested to an isolated request that is refused because the queue is full.
const RETRY_AFTER_ISOLATED: Duration = Duration::from_millis(500);

/// Number of peers to which a node pushes new findings. They forward them in turn, so that nearly all nodes have them
/// within a few rounds.
const PUSH_FANOUT: usize = 6;

/// Interval between pulls from a random peer. Pulls recover findings that pushes have missed after a start, after a
/// partition, or by chance.
const PULL_INTERVAL: Duration = Duration::from_millis(1000);

/// Quarantine state of a node.
pub(super) struct Quarantine {
    pub registry: SuspectRegistry,
    /// Ticket of the isolated request that has entered the target's gate; all others wait for it to leave.
    isolated: Option<Ticket>,
    /// Isolated requests waiting for it, oldest first.
    waiting: VecDeque<Waiter>,
    /// The latest crash of the node's target.
    last_crash: Option<CrashId>,
    /// Time of the latest pull.
    last_pull: Option<Instant>,
}

impl Quarantine {
    pub fn new(cfg: QuarantineConfig) -> Self {
        Self {
            registry: SuspectRegistry::new(cfg),
            isolated: None,
            waiting: VecDeque::new(),
            last_crash: None,
            last_pull: None,
        }
    }

    /// Returns the number of waiting isolated requests.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }
}

impl Controller {
    /// Depending on the suspicion level of a request, passes it to the gate, queues it behind other isolated requests,
    /// or refuses it.
    pub(super) fn enter_by_suspicion(&mut self, waiter: Waiter, now: Instant) {
        let fingerprint = waiter.req.fingerprint;
        match self.quarantine.registry.suspicion_level(fingerprint, now) {
            SuspicionLevel::Unsuspected | SuspicionLevel::Suspected => {
                self.enter_gate(waiter, now);
            }
            SuspicionLevel::Isolated if self.quarantine.isolated.is_none() => {
                self.quarantine.isolated = self.enter_gate(waiter, now);
            }
            SuspicionLevel::Isolated
                if self.quarantine.waiting.len() < MAX_ISOLATED_WAITING
                    && waiter.req.may_wait() =>
            {
                self.metrics.isolated.inc();
                self.quarantine.waiting.push_back(waiter);
            }
            SuspicionLevel::Isolated => {
                let refused = self.slot_refusal(Refusal::Isolated, Some(RETRY_AFTER_ISOLATED));
                drop(waiter.reply.send(Err(refused)));
            }
            SuspicionLevel::Refused => {
                self.log_refused(fingerprint, now);
                let refused = self.slot_refusal(Refusal::CrashesTargets, None);
                drop(waiter.reply.send(Err(refused)));
            }
        }
    }

    /// Ends the isolation of a request that has left the target, if it was isolated, so that the next one can enter.
    pub(super) fn end_isolation(&mut self, ticket: Ticket, now: Instant) {
        if self.quarantine.isolated == Some(ticket) {
            self.quarantine.isolated = None;
            self.recheck_isolated(now);
        }
    }

    /// Re-evaluates the waiting isolated requests after a change that may admit or refuse them.
    pub(super) fn recheck_isolated(&mut self, now: Instant) {
        for waiter in std::mem::take(&mut self.quarantine.waiting) {
            let refusal = match &waiter.req {
                ask if self.is_draining_or_removed(&ask.instance) => Refusal::Stopping,
                ask if ask.deadline <= now => Refusal::ExpiredUnsent,
                _ => {
                    self.enter_by_suspicion(waiter, now);
                    continue;
                }
            };
            self.refuse_waiter(waiter, refusal);
        }
    }

    /// Refuses all waiting isolated requests for which `is_refused` holds, and returns their number.
    pub(super) fn refuse_isolated<F>(&mut self, is_refused: F) -> usize
    where
        F: Fn(&Self, &AcquireSlotRequest) -> bool,
    {
        let waiting = std::mem::take(&mut self.quarantine.waiting);
        let before = waiting.len();
        for waiter in waiting {
            match is_refused(self, &waiter.req) {
                true => self.refuse_waiter(waiter, Refusal::Stopping),
                false => self.quarantine.waiting.push_back(waiter),
            }
        }
        before - self.quarantine.waiting.len()
    }

    /// Removes waiting requests whose callers have disconnected.
    pub(super) fn prune_isolated(&mut self) {
        let waiting = &mut self.quarantine.waiting;
        waiting.retain(|waiter| !waiter.reply.is_closed());
        let gone =
            |ticket: &Ticket| !self.runs.contains(*ticket) && !self.waiting.contains_key(ticket);
        if self.quarantine.isolated.as_ref().is_some_and(gone) {
            self.quarantine.isolated = None;
            self.recheck_isolated(self.clock.now());
        }
    }

    /// Records how a run ended and returns the resulting suspicion level of its request.
    pub(super) fn record_run_end(
        &mut self,
        ticket: Ticket,
        end: RunEnd,
        now: Instant,
    ) -> SuspicionLevel {
        let Some(run) = self.runs.get(ticket) else {
            return SuspicionLevel::Unsuspected;
        };
        let fingerprint = run.fingerprint;
        match end {
            RunEnd::Answered => self.record_answer(fingerprint, now),
            // The exit of a target that has announced its shutdown is planned and not a crash.
            RunEnd::Crashed(crash) if !self.is_draining_or_removed(&run.instance) => {
                let is_probe = self.quarantine.isolated == Some(ticket);
                return self.record_crash(fingerprint, crash, is_probe, now);
            }
            RunEnd::Crashed(_) | RunEnd::Other | RunEnd::Unanswered => {}
        }
        self.quarantine.registry.suspicion_level(fingerprint, now)
    }

    /// Records that this node's target, or that of another node, answered a request completely.
    pub(super) fn record_answer(&mut self, fingerprint: Fingerprint, now: Instant) {
        if self.quarantine.registry.record_answer(fingerprint, now) {
            self.recheck_isolated(now);
        }
    }

    /// Returns the finding to report to the entry node if the run ended in a crash.
    pub(super) fn finding_after_run(
        &self,
        end: RunEnd,
        fingerprint: Fingerprint,
        now: Instant,
    ) -> Option<Finding> {
        match end {
            RunEnd::Crashed(_) => self.quarantine.registry.finding(fingerprint, now),
            RunEnd::Answered | RunEnd::Other | RunEnd::Unanswered => None,
        }
    }

    fn record_crash(
        &mut self,
        fingerprint: Fingerprint,
        crash: CrashId,
        is_probe: bool,
        now: Instant,
    ) -> SuspicionLevel {
        if self.quarantine.last_crash.replace(crash) != Some(crash) {
            self.metrics.target_crashes.inc();
            warn!(self.journal.log(), "target's process has ended"; "crash" => crash.to_string(),
                "at_work" => self.runs.len());
        }
        let registry = &mut self.quarantine.registry;
        let before = registry.suspicion_level(fingerprint, now);
        let level = registry.record_crash(fingerprint, crash, is_probe, now);
        if level != before && level >= SuspicionLevel::Isolated {
            warn!(self.journal.log(), "request suspected"; "fingerprint" => fingerprint.to_string(),
                "standing" => level.as_str(), "was" => before.as_str(), "probe" => is_probe);
        }
        level
    }

    /// Merges findings of other nodes.
    pub(super) fn merge_findings(&mut self, findings: &[Finding]) {
        let now = self.clock.now();
        let mut changed = false;
        for finding in findings {
            changed |= self.quarantine.registry.merge(finding, now);
        }
        if changed {
            self.recheck_isolated(now);
        }
    }

    /// Returns the findings to send to a peer whose registry has the given digest; empty if the registries are equal.
    pub(super) fn findings_for_peer(&self, digest: u64) -> Vec<Finding> {
        let registry = &self.quarantine.registry;
        registry.findings_for_peer(digest, MAX_FINDINGS, self.clock.now())
    }

    /// Expires old evidence, pushes new findings to random peers and periodically pulls from one of them.
    pub(super) fn tick_quarantine(&mut self, now: Instant) {
        let last_pull = self.quarantine.last_pull;
        self.quarantine.registry.tick(now);
        self.recheck_expired(now);
        let unsent = self.quarantine.registry.take_unsent(MAX_FINDINGS, now);
        if !unsent.is_empty() {
            let nodes = self.random_peers(PUSH_FANOUT);
            self.send_findings(FindingsMessage::Push(nodes, unsent));
        }
        let is_due = |at| now.saturating_duration_since(at) >= PULL_INTERVAL;
        if last_pull.is_none_or(is_due)
            && let [node] = self.random_peers(1)[..]
        {
            self.quarantine.last_pull = Some(now);
            let digest = self.quarantine.registry.digest();
            self.send_findings(FindingsMessage::Pull(node, digest));
        }
        let suspects = self.quarantine.registry.suspect_count();
        self.metrics.suspects.set(suspects as i64);
    }

    /// Re-evaluates the waiting requests if the deadline of one has passed.
    fn recheck_expired(&mut self, now: Instant) {
        let mut waiting = self.quarantine.waiting.iter();
        if waiting.any(|waiter| waiter.req.deadline <= now) {
            self.recheck_isolated(now);
        }
    }

    /// Chooses up to `count` other nodes at random.
    fn random_peers(&mut self, count: usize) -> Vec<IpAddr> {
        let own = self.cfg.target.ip();
        let members = self.fleet.iter();
        let nodes = members.map(|(instance, _)| instance.address.ip());
        let nodes: Vec<IpAddr> = nodes.filter(|node| *node != own).collect();
        nodes
            .choose_multiple(&mut self.rng, count)
            .copied()
            .collect()
    }

    /// Returns the number of requests waiting or running at this node's target.
    pub(super) fn hosted_count(&self) -> usize {
        self.runs.len() + self.waiting.len() + self.quarantine.waiting_count()
    }

    /// Logs the finding for which a request is refused.
    pub(super) fn log_refused(&self, fingerprint: Fingerprint, now: Instant) {
        if let Some(finding) = self.quarantine.registry.finding(fingerprint, now) {
            self.journal.quarantined(&finding);
        }
    }

    fn send_findings(&self, message: FindingsMessage) {
        if self.findings.send(message).is_err() {
            info!(self.journal.log(), "cannot send findings"; "reason" => "the exchange task has ended");
        }
    }
}
