//! Requests that crash targets: who runs, waits or is refused at this host, and what other nodes are told.

use std::collections::VecDeque;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use coltsfootport_core::mesh::{Refusal, Ticket};
use coltsfootport_core::quarantine::{
    CrashId, Finding, Fingerprint, QuarantineConfig, Register, Standing,
};
use rand::seq::IndexedRandom;
use slog::{info, warn};

use super::Controller;
use super::state::Waiter;
use crate::mesh::call::RunEnd;
use crate::mesh::findings::FindingsMessage;
use crate::mesh::link::MAX_FINDINGS;

/// Isolated requests that wait at a host at most.
const MOST_ISOLATED: usize = 64;

/// When a request is to come back that found too many others waiting.
const RETRY_AFTER_ISOLATED: Duration = Duration::from_millis(500);

/// Peers that a node sends new findings to. They forward them, so nearly all nodes have them within a few rounds.
const FAN_OUT: usize = 6;

/// Time between two pulls from a random peer, which bring what pushes have missed: after a start, a partition, or by chance.
const PULL_INTERVAL: Duration = Duration::from_millis(1000);

/// The quarantine of one node.
pub(super) struct Quarantine {
    pub register: Register,
    /// The isolated request that has the target.
    isolated: Option<Ticket>,
    /// Isolated requests that wait for it, oldest first.
    waiting: VecDeque<Waiter>,
    /// The latest crash of the own target.
    crash: Option<OwnCrash>,
    pulled: Option<Instant>,
}

/// A crash of the own target.
struct OwnCrash {
    id: CrashId,
    /// Requests at work then that had been suspected before.
    suspects: Vec<Fingerprint>,
}

impl OwnCrash {
    fn was_alone(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.contains(&fingerprint)
            && self.suspects.iter().all(|other| *other == fingerprint)
    }
}

impl Quarantine {
    pub fn new(cfg: QuarantineConfig) -> Self {
        Self {
            register: Register::new(cfg),
            isolated: None,
            waiting: VecDeque::new(),
            crash: None,
            pulled: None,
        }
    }

    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}

impl Controller {
    /// Lets a request go on to the gate, wait for others that are isolated, or refuses it.
    pub(super) fn enter_by_standing(&mut self, waiter: Waiter, now: Instant) {
        let fingerprint = waiter.req.fingerprint;
        match self.quarantine.register.standing(fingerprint, now) {
            Standing::Unsuspected | Standing::Suspected => {
                self.enter_gate(waiter, now);
            }
            Standing::Isolated if self.quarantine.isolated.is_none() => {
                self.quarantine.isolated = self.enter_gate(waiter, now);
            }
            Standing::Isolated if self.quarantine.waiting.len() < MOST_ISOLATED => {
                self.metrics.isolated.inc();
                self.quarantine.waiting.push_back(waiter);
            }
            Standing::Isolated => {
                let refused = self.slot_refusal(Refusal::Isolated, Some(RETRY_AFTER_ISOLATED));
                drop(waiter.reply.send(Err(refused)));
            }
            Standing::Refused => {
                self.log_refused(fingerprint, now);
                let refused = self.slot_refusal(Refusal::CrashesTargets, None);
                drop(waiter.reply.send(Err(refused)));
            }
        }
    }

    /// A request that may have been isolated is gone from the target.
    pub(super) fn leave_isolation(&mut self, ticket: Ticket, now: Instant) {
        if self.quarantine.isolated == Some(ticket) {
            self.quarantine.isolated = None;
            self.review_isolated(now);
        }
    }

    /// Looks again at the isolated requests that wait, as something may have changed for them.
    pub(super) fn review_isolated(&mut self, now: Instant) {
        for waiter in std::mem::take(&mut self.quarantine.waiting) {
            let refusal = match &waiter.req {
                ask if self.is_draining_or_removed(&ask.instance) => Refusal::Stopping,
                ask if ask.deadline <= now => Refusal::ExpiredUnsent,
                _ => {
                    self.enter_by_standing(waiter, now);
                    continue;
                }
            };
            drop(waiter.reply.send(Err(self.slot_refusal(refusal, None))));
        }
    }

    /// Takes those out of the queue whose callers have left.
    pub(super) fn forget_isolated(&mut self) {
        let waiting = &mut self.quarantine.waiting;
        waiting.retain(|waiter| !waiter.reply.is_closed());
        let gone =
            |ticket: &Ticket| !self.runs.holds(*ticket) && !self.waiting.contains_key(ticket);
        if self.quarantine.isolated.as_ref().is_some_and(gone) {
            self.quarantine.isolated = None;
            self.review_isolated(self.clock.now());
        }
    }

    /// Takes in how a run has ended.
    pub(super) fn run_ended(&mut self, ticket: Ticket, end: RunEnd, now: Instant) -> Standing {
        let Some(run) = self.runs.get(ticket) else {
            return Standing::Unsuspected;
        };
        let fingerprint = run.fingerprint;
        match end {
            RunEnd::Answered => self.answered(fingerprint, now),
            // A target that has said that it leaves ends as planned.
            RunEnd::Crashed(crash) if !self.is_draining_or_removed(&run.instance) => {
                return self.crashed_under(fingerprint, crash, now);
            }
            RunEnd::Crashed(_) | RunEnd::Other => {}
        }
        self.quarantine.register.standing(fingerprint, now)
    }

    /// A target, the own one or that of another node, has answered a request whole.
    pub(super) fn answered(&mut self, fingerprint: Fingerprint, now: Instant) {
        if self.quarantine.register.answered(fingerprint, now) {
            self.review_isolated(now);
        }
    }

    /// What the entry of a request is told after a crash.
    pub(super) fn finding_after(
        &self,
        end: RunEnd,
        fingerprint: Fingerprint,
        now: Instant,
    ) -> Option<Finding> {
        match end {
            RunEnd::Crashed(_) => self.quarantine.register.finding(fingerprint, now),
            RunEnd::Answered | RunEnd::Other => None,
        }
    }

    fn crashed_under(
        &mut self,
        fingerprint: Fingerprint,
        crash: CrashId,
        now: Instant,
    ) -> Standing {
        let known = self.quarantine.crash.take();
        let crash = match known.filter(|known| known.id == crash) {
            Some(known) => known,
            None => self.own_crash(crash, now),
        };
        let alone = crash.was_alone(fingerprint);
        let register = &mut self.quarantine.register;
        let before = register.standing(fingerprint, now);
        let standing = register.crashed(fingerprint, crash.id, alone, now);
        self.quarantine.crash = Some(crash);
        if standing != before && standing >= Standing::Isolated {
            warn!(self.journal.log(), "request suspected"; "fingerprint" => fingerprint.to_string(),
                "standing" => standing.as_str(), "was" => before.as_str(), "alone" => alone);
        }
        standing
    }

    fn own_crash(&self, id: CrashId, now: Instant) -> OwnCrash {
        let at_work = self.runs.iter().map(|run| run.fingerprint);
        let register = &self.quarantine.register;
        let is_suspect =
            |other: &Fingerprint| register.standing(*other, now) >= Standing::Suspected;
        let suspects: Vec<Fingerprint> = at_work.filter(is_suspect).collect();
        self.metrics.target_crashes.inc();
        warn!(self.journal.log(), "target's process has ended"; "crash" => id.to_string(),
            "at_work" => self.runs.len(), "suspects" => suspects.len());
        OwnCrash { id, suspects }
    }

    /// Takes in what other nodes know.
    pub(super) fn findings_heard(&mut self, findings: &[Finding]) {
        let now = self.clock.now();
        let mut heard = false;
        for finding in findings {
            heard |= self.quarantine.register.hear(finding, now);
        }
        if heard {
            self.review_isolated(now);
        }
    }

    /// What this node knows, where it differs from what the digest stands for.
    pub(super) fn findings_unlike(&self, digest: u64) -> Vec<Finding> {
        let register = &self.quarantine.register;
        register.unlike(digest, MAX_FINDINGS, self.clock.now())
    }

    /// Lets time pass: pushes new findings to peers, and pulls from one of them from time to time.
    pub(super) fn tend_quarantine(&mut self, now: Instant) {
        let was_pulled = self.quarantine.pulled;
        self.quarantine.register.tick(now);
        self.review_expired(now);
        let untold = self.quarantine.register.take_untold(MAX_FINDINGS, now);
        if !untold.is_empty() {
            let nodes = self.other_nodes(FAN_OUT);
            self.spread(FindingsMessage::Push(nodes, untold));
        }
        let is_due = |at| now.saturating_duration_since(at) >= PULL_INTERVAL;
        if was_pulled.is_none_or(is_due)
            && let [node] = self.other_nodes(1)[..]
        {
            self.quarantine.pulled = Some(now);
            let digest = self.quarantine.register.digest();
            self.spread(FindingsMessage::Pull(node, digest));
        }
        let suspects = self.quarantine.register.suspects();
        self.metrics.suspects.set(suspects as i64);
    }

    fn review_expired(&mut self, now: Instant) {
        let mut waiting = self.quarantine.waiting.iter();
        if waiting.any(|waiter| waiter.req.deadline <= now) {
            self.review_isolated(now);
        }
    }

    /// Some other nodes, drawn anew each time.
    fn other_nodes(&mut self, most: usize) -> Vec<IpAddr> {
        let own = self.cfg.target.ip();
        let listed = self.fleet.iter();
        let nodes = listed.map(|(instance, _)| instance.address.ip());
        let nodes: Vec<IpAddr> = nodes.filter(|node| *node != own).collect();
        nodes
            .choose_multiple(&mut self.rng, most)
            .copied()
            .collect()
    }

    /// Requests of others that wait or run here.
    pub(super) fn hosted(&self) -> usize {
        self.runs.len() + self.waiting.len() + self.quarantine.waiting()
    }

    /// Logs that a request is refused, and why.
    pub(super) fn log_refused(&self, fingerprint: Fingerprint, now: Instant) {
        if let Some(finding) = self.quarantine.register.finding(fingerprint, now) {
            self.journal.quarantined(&finding);
        }
    }

    fn spread(&self, message: FindingsMessage) {
        if self.findings.send(message).is_err() {
            info!(self.journal.log(), "findings are not told"; "reason" => "the task that tells them has ended");
        }
    }
}
