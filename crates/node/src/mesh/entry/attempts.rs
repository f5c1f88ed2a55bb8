//! The attempts of one request: sent to a host, rerouted or retried until one answers.

use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use coltsfootport_core::mesh::{
    Idempotency, InstanceKey, QueueTimeoutRequest, Refusal, RequestLimits, SendOutcome,
};
use coltsfootport_core::quarantine::{Fingerprint, RequestParts};
use http::header::HOST;
use smol_str::SmolStr;

use super::{Entry, text_header};
use crate::h1::{RequestHead, strip_hop_by_hop};
use crate::mesh::call::{
    Body, CallerRequest, HostReply, HostedRequest, Refused, Report, TargetAnswer,
};
use crate::mesh::controller::{Admitted, ControllerEvent, RetryAsk, SendAsk, SendGuard, SendTo};
use crate::mesh::journal::Ending;
use crate::mesh::link::{self, LinkFault};

/// Reroutes of a request at most, after hosts that refused it without asking their targets. Each costs a round trip between
/// nodes; more of them would only carry the load of a full service around.
const MAX_REROUTES: usize = 2;

/// A request with its attempts so far.
pub(super) struct Attempts<'e> {
    entry: &'e Entry,
    admitted: Admitted,
    head: RequestHead,
    body: Option<Body>,
    pub(super) id: SmolStr,
    fingerprint: Fingerprint,
    arrived: Instant,
    pub(super) deadline: Instant,
    caller_deadline: Option<Instant>,
    tried: Vec<InstanceKey>,
    at_targets: u32,
    reroutes: usize,
    last_instance: SmolStr,
    /// Whether a host has it now, so that its target may be at work on it.
    at_target: bool,
    /// What its caller is told if nothing more comes of it.
    so_far: AttemptResult,
}

/// A target's answer, or why there is none.
type AttemptResult = Result<TargetAnswer, Refused>;

/// What to do after an attempt.
enum Step {
    /// Its caller gets this.
    Finish(AttemptResult),
    /// Try elsewhere; if there is nowhere else, this is the result.
    Retry(AttemptResult),
}

impl<'e> Attempts<'e> {
    pub(super) fn new(
        entry: &'e Entry,
        req: CallerRequest,
        id: SmolStr,
        admitted: Admitted,
        time_left: Option<Duration>,
    ) -> Self {
        let route = admitted.config.route(admitted.route);
        let caller_deadline = time_left.map(|left| req.arrived + left);
        let deadline = entry.limits.deadline(&RequestLimits {
            arrived: req.arrived,
            route_timeout: route.timeout,
            caller_timeout: time_left,
            outer_deadline: admitted.outer.as_ref().map(|outer| outer.deadline),
        });
        let fingerprint = fingerprint(entry, &req, &admitted);
        let mut head = req.head;
        strip_hop_by_hop(&mut head.headers);
        // The host sets them anew, so they need not travel between nodes.
        head.headers.remove(entry.dialect.time_left_ms);
        if !id.is_empty() {
            head.headers.remove(entry.dialect.request_id);
        }
        Self {
            entry,
            admitted,
            head,
            body: Some(req.body),
            id,
            fingerprint,
            arrived: req.arrived,
            deadline,
            caller_deadline,
            tried: Vec::new(),
            at_targets: 0,
            reroutes: 0,
            last_instance: SmolStr::default(),
            at_target: false,
            so_far: Err(Refused::from(Refusal::NoInstance)),
        }
    }

    /// Sends the request to instances until one answers or nothing is left to try.
    pub(super) async fn run(&mut self) -> AttemptResult {
        loop {
            let to = match self.next_instance().await {
                Ok(to) => to,
                Err(Refusal::CrashesTargets) => return Err(Refusal::CrashesTargets.into()),
                Err(_) => return self.take_result(),
            };
            let Some(body) = self.take_body() else {
                return self.take_result();
            };
            let instance = to.chosen.id.clone();
            self.tried.push(to.chosen.key);
            self.last_instance = instance.clone();
            self.at_target = true;
            let next = self.attempt(to, body).await;
            self.at_target = false;
            match next {
                Step::Finish(result) => {
                    self.ended(result);
                    return self.take_result();
                }
                Step::Retry(result) => {
                    let reason = reason(&result);
                    self.entry.journal.attempt_failed(
                        &self.id,
                        self.fingerprint,
                        &instance,
                        &reason,
                    );
                    self.ended(result);
                }
            }
        }
    }

    /// An attempt has ended. One that has not run says nothing about an earlier one that may have.
    fn ended(&mut self, result: AttemptResult) {
        if may_have_run(&result) || !may_have_run(&self.so_far) {
            self.so_far = result;
        }
    }

    fn take_result(&mut self) -> AttemptResult {
        std::mem::replace(&mut self.so_far, Err(Refused::from(Refusal::NoInstance)))
    }

    async fn next_instance(&self) -> Result<SendTo, Refusal> {
        let ask = SendAsk {
            service: self.admitted.service.clone(),
            route: self.route_name(),
            fingerprint: self.fingerprint,
            outer: self.admitted.outer.as_ref().map(|outer| outer.id.clone()),
            tried: self.tried.clone(),
            key: self.admitted.key.clone(),
        };
        self.entry.controller.send(ask).await
    }

    /// The body, and a copy kept for another attempt where it is held.
    fn take_body(&mut self) -> Option<Body> {
        let body = self.body.take()?;
        self.body = body.copy();
        Some(body)
    }

    async fn attempt(&mut self, to: SendTo, body: Body) -> Step {
        let req = self.hosted(&to, body);
        let reply = match to.own {
            true => Ok(self.entry.host.run(req).await),
            false => self.over_link(to.chosen.address.ip(), req).await,
        };
        match reply {
            Ok(reply) => self.replied(reply, to.guard).await,
            Err(LinkFault::NotSent) => {
                to.guard.end(SendOutcome::HostUnreachable, None);
                self.rerouted(Refusal::NoInstance)
            }
            Err(fault) => {
                let reason = fault.to_string();
                self.entry
                    .journal
                    .reply_lost(&self.id, &self.last_instance, &reason);
                to.guard.end(SendOutcome::HostUnreachable, None);
                self.at_targets += 1;
                self.failed(Err(Refused::from(Refusal::Lost)), true).await
            }
        }
    }

    async fn over_link(&self, ip: IpAddr, req: HostedRequest) -> Result<HostReply, LinkFault> {
        let peer = SocketAddr::new(ip, self.entry.peers_port);
        link::send(&self.entry.links, peer, req).await
    }

    async fn replied(&mut self, reply: HostReply, mut guard: SendGuard) -> Step {
        let HostReply { result, report } = reply;
        if matches!(&result, Ok(answer) if answer.ended_well(self.entry.dialect.not_run)) {
            guard.answered_whole();
        }
        match result {
            Ok(answer) if answer.status.is_server_error() => {
                self.at_targets += 1;
                guard.end(SendOutcome::Failed, Some(report));
                self.failed(Ok(answer), true).await
            }
            Ok(answer) => {
                let outcome = SendOutcome::Answered {
                    relative_latency: 1.0,
                };
                guard.end(outcome, Some(report));
                Step::Finish(Ok(answer))
            }
            Err(refused) => self.refused(refused, report, guard).await,
        }
    }

    async fn refused(&mut self, refused: Refused, report: Report, guard: SendGuard) -> Step {
        let outcome = match refused.refusal {
            _ if report.finding.is_some() => SendOutcome::TargetGone,
            Refusal::Busy => SendOutcome::HostBusy,
            Refusal::Stopping => SendOutcome::HostStopping,
            Refusal::NoInstance | Refusal::WrongInstance => SendOutcome::TargetGone,
            Refusal::ExpiredUnsent | Refusal::CallerGone | Refusal::Expired => {
                SendOutcome::Abandoned
            }
            Refusal::CrashesTargets | Refusal::Isolated => SendOutcome::Abandoned,
            _ => SendOutcome::Failed,
        };
        guard.end(outcome, Some(report));
        match refused.refusal {
            // The target was not asked: moving costs nothing but time.
            Refusal::Busy | Refusal::Stopping | Refusal::NoInstance => {
                let mut next = self.rerouted(refused.refusal);
                if let Step::Retry(Err(last)) | Step::Finish(Err(last)) = &mut next {
                    last.retry_after = refused.retry_after;
                }
                next
            }
            Refusal::TargetRefused | Refusal::WrongInstance => {
                self.at_targets += 1;
                self.failed(Err(refused), false).await
            }
            Refusal::Lost | Refusal::BrokenAnswer => {
                self.at_targets += 1;
                self.failed(Err(refused), true).await
            }
            _ => Step::Finish(Err(refused)),
        }
    }

    /// After a host has refused without asking its target.
    fn rerouted(&mut self, refusal: Refusal) -> Step {
        self.reroutes += 1;
        match self.reroutes <= MAX_REROUTES {
            true => Step::Retry(Err(Refused::from(refusal))),
            false => Step::Finish(Err(Refused::from(refusal))),
        }
    }

    /// After a target has failed: sent again where that is harmless, allowed and affordable.
    async fn failed(&self, result: AttemptResult, may_have_run: bool) -> Step {
        let route = self.admitted.config.route(self.admitted.route);
        let harmless = !may_have_run || route.idempotency == Idempotency::Idempotent;
        if !harmless || self.at_targets >= route.max_attempts || self.body.is_none() {
            return Step::Finish(result);
        }
        let ask = RetryAsk {
            service: self.admitted.service.clone(),
            route: self.route_name(),
            may_have_run,
            inner: self.admitted.outer.is_some(),
            rank: self.admitted.rank,
        };
        match self.entry.controller.retry(ask).await {
            true => Step::Retry(result),
            false => Step::Finish(result),
        }
    }

    fn hosted(&self, to: &SendTo, body: Body) -> HostedRequest {
        let route = self.admitted.config.route(self.admitted.route);
        HostedRequest {
            head: self.head.clone(),
            body,
            id: self.id.clone(),
            fingerprint: self.fingerprint,
            instance: to.chosen.id.clone(),
            rank: self.admitted.rank,
            workspace: self.admitted.workspace.clone(),
            inner: self.admitted.outer.is_some(),
            began: self.began(),
            admitted: self.admitted.share,
            kind: route.kind(),
            repeat: route.idempotency,
            deadline: self.deadline,
            queue_timeout: self.queue_timeout(),
            origin: self.entry.service.borrow().clone(),
            cut_off: to.cut_off.clone(),
        }
    }

    /// How long the request may be expected to wait for a target.
    fn queue_timeout(&self) -> Duration {
        let route = self.admitted.config.route(self.admitted.route);
        let req = QueueTimeoutRequest {
            inner: self.admitted.outer.is_some(),
            arrived: self.arrived,
            latency_target: route.latency_target,
            deadline: self.deadline,
        };
        self.entry
            .queue_timeout
            .timeout_for(&req, self.entry.clock.now())
    }

    /// What its caller is told when its time is over.
    pub(super) fn expired(&self) -> Refused {
        match self.at_target || may_have_run(&self.so_far) {
            true => Refused::from(Refusal::Expired),
            false => Refused::from(Refusal::ExpiredUnsent),
        }
    }

    /// Time that its caller will still wait, where it said so.
    pub(super) fn time_left(&self) -> Option<Duration> {
        let now = self.entry.clock.now();
        self.caller_deadline
            .map(|deadline| deadline.saturating_duration_since(now))
    }

    /// When the request from outside that all of this serves entered the mesh.
    fn began(&self) -> Instant {
        let outer = self.admitted.outer.as_ref();
        outer.map_or(self.arrived, |outer| outer.began)
    }

    fn route_name(&self) -> SmolStr {
        let route = self.admitted.config.route(self.admitted.route);
        route.name.clone()
    }

    /// Gives back what a request that has not run took of its workspace's quota.
    pub(super) fn settle_quota(&self, result: &AttemptResult) {
        let Err(refused) = result else {
            return;
        };
        let of_caller = self
            .admitted
            .workspace
            .as_ref()
            .filter(|_| self.admitted.outer.is_none());
        if let Some(workspace) = of_caller.filter(|_| refused.refusal.is_not_run()) {
            let unused = ControllerEvent::QuotaUnused(workspace.clone());
            self.entry.controller.tell(unused);
        }
    }

    /// Tells the journal what its caller gets.
    pub(super) fn log(&self, result: &AttemptResult) {
        let (status, refusal) = match result {
            Ok(answer) => (answer.status.as_u16(), ""),
            Err(refused) => (refused.refusal.rule().status, refused.refusal.as_str()),
        };
        let now = self.entry.clock.now();
        self.entry.journal.ended(Ending {
            id: &self.id,
            fingerprint: Some(self.fingerprint),
            route: &self.route_name(),
            service: self.admitted.service.as_str(),
            instance: &self.last_instance,
            status,
            refusal,
            attempts: self.tried.len(),
            took: now.saturating_duration_since(self.arrived),
            limit: self.deadline.saturating_duration_since(self.arrived),
            config: self.admitted.config.version().0,
            inner: self.admitted.outer.is_some(),
        });
    }
}

fn fingerprint(entry: &Entry, req: &CallerRequest, admitted: &Admitted) -> Fingerprint {
    entry.fingerprinter.fingerprint(&RequestParts {
        method: req.head.method.as_str(),
        host: &text_header(&req.head.headers, HOST.as_str()),
        target: &req.head.target,
        workspace: admitted.workspace.as_deref(),
        body: req.digest,
    })
}

/// Whether a target may have worked on a request that ended so.
fn may_have_run(result: &AttemptResult) -> bool {
    match result {
        Ok(_) => true,
        Err(refused) => !refused.refusal.is_not_run(),
    }
}

fn reason(result: &AttemptResult) -> SmolStr {
    match result {
        Ok(answer) => SmolStr::new(answer.status.as_str()),
        Err(refused) => SmolStr::new_static(refused.refusal.as_str()),
    }
}
