//! The attempts to serve one request: it is sent to a host, then rerouted or retried until one answers.

mod exchange;

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
    AttemptToken, Body, CallerRequest, HostReply, HostedRequest, Refused, Report, TargetAnswer,
};
use crate::mesh::controller::{
    AdmittedRequest, ControllerEvent, InstanceGrant, InstanceRequest, RetryRequest, SendGuard,
};
use crate::mesh::journal::RequestSummary;
use crate::mesh::link::LinkError;
use crate::mesh::target::announces_leaving;

/// Maximum number of reroutes of a request after hosts refused it without involving their targets. Each one costs a
/// round trip between nodes, and more of them would only shift the load of an overloaded service around.
const MAX_REROUTES: usize = 2;

/// A request and the state of its attempts.
pub(super) struct Attempts<'e> {
    entry: &'e Entry,
    admitted: AdmittedRequest,
    head: RequestHead,
    body: Option<Body>,
    pub(super) id: SmolStr,
    fingerprint: Fingerprint,
    arrived: Instant,
    pub(super) deadline: Instant,
    caller_deadline: Option<Instant>,
    tried: Vec<InstanceKey>,
    /// Number of attempts that reached a target or may have reached one.
    target_attempts: u32,
    reroutes: usize,
    last_instance: SmolStr,
    /// Whether an attempt is in progress, so that a target may be working on the request.
    attempt_in_progress: bool,
    /// Result for the caller if no further attempt changes it.
    result_so_far: AttemptResult,
}

/// A target's response, or the reason why there is none.
type AttemptResult = Result<TargetAnswer, Refused>;

/// The next step after an attempt.
enum Step {
    /// Return this result to the caller.
    Finish(AttemptResult),
    /// Try another instance. If there is none, this is the result.
    Retry(AttemptResult),
}

impl<'e> Attempts<'e> {
    pub(super) fn new(
        entry: &'e Entry,
        req: CallerRequest,
        admitted: AdmittedRequest,
        time_left: Option<Duration>,
    ) -> Self {
        let route = admitted.config.route(admitted.route);
        let caller_deadline = time_left.map(|left| req.arrived + left);
        let deadline = entry.limits.deadline(&RequestLimits {
            arrived: req.arrived,
            route_timeout: route.timeout,
            caller_timeout: time_left,
            parent_deadline: admitted.parent.as_ref().map(|parent| parent.deadline),
        });
        let fingerprint = fingerprint(entry, &req, &admitted);
        let mut head = req.head;
        strip_hop_by_hop(&mut head.headers);
        // The host sets these headers itself, so they are not sent between nodes.
        head.headers.remove(entry.dialect.time_left_ms);
        if !req.id.is_empty() {
            head.headers.remove(entry.dialect.request_id);
        }
        Self {
            entry,
            admitted,
            head,
            body: Some(req.body),
            id: req.id,
            fingerprint,
            arrived: req.arrived,
            deadline,
            caller_deadline,
            tried: Vec::new(),
            target_attempts: 0,
            reroutes: 0,
            last_instance: SmolStr::default(),
            attempt_in_progress: false,
            result_so_far: Err(Refused::from(Refusal::NoInstance)),
        }
    }

    /// Sends the request to instances until one answers or no further attempt is possible.
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
            self.attempt_in_progress = true;
            let next = self.attempt(to, body).await;
            self.attempt_in_progress = false;
            match next {
                Step::Finish(result) => {
                    self.record_result(result);
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
                    self.record_result(result);
                }
            }
        }
    }

    /// Records the result of an attempt. An attempt that has not run does not replace the result of an earlier one that
    /// may have run.
    fn record_result(&mut self, result: AttemptResult) {
        if may_have_run(&result) || !may_have_run(&self.result_so_far) {
            self.result_so_far = result;
        }
    }

    fn take_result(&mut self) -> AttemptResult {
        std::mem::replace(
            &mut self.result_so_far,
            Err(Refused::from(Refusal::NoInstance)),
        )
    }

    async fn next_instance(&self) -> Result<InstanceGrant, Refusal> {
        let req = InstanceRequest {
            service: self.admitted.service.clone(),
            route: self.route_name(),
            kind: self.admitted.config.route(self.admitted.route).kind(),
            fingerprint: self.fingerprint,
            parent: self
                .admitted
                .parent
                .as_ref()
                .map(|parent| parent.id.clone()),
            tried: self.tried.clone(),
            deadline: self.deadline,
            key: self.admitted.key.clone(),
        };
        self.entry.controller.select_instance(req).await
    }

    /// Takes the body. A copy is kept for another attempt if the body is buffered.
    fn take_body(&mut self) -> Option<Body> {
        let body = self.body.take()?;
        self.body = body.try_clone();
        Some(body)
    }

    async fn attempt(&mut self, to: InstanceGrant, body: Body) -> Step {
        let req = self.hosted_request(&to, body);
        match self.exchange(&to, req).await {
            Ok(reply) => self.handle_reply(reply, to.guard).await,
            Err(LinkError::NotSent) => {
                to.guard.end(SendOutcome::HostUnreachable, None);
                self.reroute(Refusal::NoInstance)
            }
            Err(fault) => {
                let reason = fault.to_string();
                self.entry
                    .journal
                    .reply_lost(&self.id, &self.last_instance, &reason);
                to.guard.end(SendOutcome::HostUnreachable, None);
                self.target_attempts += 1;
                self.retry_after_failure(Err(Refused::from(Refusal::Lost)), true)
                    .await
            }
        }
    }

    async fn handle_reply(&mut self, reply: HostReply, mut guard: SendGuard) -> Step {
        let HostReply { result, report } = reply;
        if matches!(&result, Ok(answer) if answer.completed_normally(self.entry.dialect.not_run)) {
            guard.set_answer_complete();
        }
        if matches!(&result, Ok(answer) if announces_leaving(&answer.headers, &self.entry.dialect))
        {
            guard.set_target_leaving();
        }
        match result {
            Ok(answer) if answer.status.is_server_error() => {
                self.target_attempts += 1;
                guard.end(SendOutcome::Failed, Some(report));
                self.retry_after_failure(Ok(answer), true).await
            }
            Ok(mut answer) => {
                if let Body::Stream { rx, length } = &mut answer.body {
                    rx.guard(guard.answer_guard(), *length);
                }
                let outcome = SendOutcome::Answered {
                    relative_latency: 1.0,
                };
                guard.end(outcome, Some(report));
                Step::Finish(Ok(answer))
            }
            Err(refused) => self.handle_refusal(refused, report, guard).await,
        }
    }

    async fn handle_refusal(&mut self, refused: Refused, report: Report, guard: SendGuard) -> Step {
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
            // The target was not involved, so a reroute costs only time.
            Refusal::Busy | Refusal::Stopping | Refusal::NoInstance => {
                let mut next = self.reroute(refused.refusal);
                if let Step::Retry(Err(last)) | Step::Finish(Err(last)) = &mut next {
                    last.retry_after = refused.retry_after;
                }
                next
            }
            Refusal::TargetRefused | Refusal::WrongInstance => {
                self.target_attempts += 1;
                self.retry_after_failure(Err(refused), false).await
            }
            Refusal::Lost | Refusal::BrokenAnswer => {
                self.target_attempts += 1;
                self.retry_after_failure(Err(refused), true).await
            }
            _ => Step::Finish(Err(refused)),
        }
    }

    /// Next step after a host refused the request without involving its target.
    fn reroute(&mut self, refusal: Refusal) -> Step {
        self.reroutes += 1;
        match self.reroutes <= MAX_REROUTES {
            true => Step::Retry(Err(Refused::from(refusal))),
            false => Step::Finish(Err(Refused::from(refusal))),
        }
    }

    /// Next step after a target failed: a retry if it is safe, allowed by the route and covered by the retry budget.
    async fn retry_after_failure(&self, result: AttemptResult, may_have_run: bool) -> Step {
        let route = self.admitted.config.route(self.admitted.route);
        let safe = !may_have_run || route.idempotency == Idempotency::Idempotent;
        if !safe || self.target_attempts >= route.max_attempts || self.body.is_none() {
            return Step::Finish(result);
        }
        let req = RetryRequest {
            service: self.admitted.service.clone(),
            route: self.route_name(),
            inner: self.admitted.parent.is_some(),
            rank: self.admitted.rank,
        };
        match self.entry.controller.allow_retry(req).await {
            true => Step::Retry(result),
            false => Step::Finish(result),
        }
    }

    fn hosted_request(&self, to: &InstanceGrant, body: Body) -> HostedRequest {
        let route = self.admitted.config.route(self.admitted.route);
        HostedRequest {
            head: self.head.clone(),
            body,
            id: self.id.clone(),
            fingerprint: self.fingerprint,
            attempt: AttemptToken::random(),
            instance: to.chosen.id.clone(),
            rank: self.admitted.rank,
            workspace: self.admitted.workspace.clone(),
            inner: self.admitted.parent.is_some(),
            began: self.began(),
            admitted_share: self.admitted.admitted_share,
            kind: route.kind(),
            repeat: route.idempotency,
            deadline: self.deadline,
            queue_timeout: self.queue_timeout(),
            origin: self.entry.service.borrow().clone(),
            cut_off: to.cut_off.clone(),
        }
    }

    /// Longest expected queueing time at which a host still enqueues the request; zero if it must start at once.
    fn queue_timeout(&self) -> Duration {
        if self.entry.shutdown.is_waiting_over() {
            return Duration::ZERO;
        }
        let route = self.admitted.config.route(self.admitted.route);
        let req = QueueTimeoutRequest {
            inner: self.admitted.parent.is_some(),
            arrived: self.arrived,
            latency_target: route.latency_target,
            deadline: self.deadline,
        };
        self.entry
            .queue_timeout
            .timeout_for(&req, self.entry.clock.now())
    }

    /// Refusal returned to the caller when the deadline has passed.
    pub(super) fn expired(&self) -> Refused {
        match self.may_be_running() {
            true => Refused::from(Refusal::Expired),
            false => Refused::from(Refusal::ExpiredUnsent),
        }
    }

    /// Refusal returned to the caller when the node stops before the request has ended.
    pub(super) fn given_up(&self) -> Refused {
        match self.may_be_running() {
            true => Refused::from(Refusal::Lost),
            false => Refused::from(Refusal::Stopping),
        }
    }

    /// Whether an attempt with this result, or one before it, was passed on to a target.
    pub(super) fn was_passed_on(&self, result: &AttemptResult) -> bool {
        self.target_attempts > 0 || may_have_run(result)
    }

    fn may_be_running(&self) -> bool {
        self.attempt_in_progress || may_have_run(&self.result_so_far)
    }

    /// Remaining time until the caller gives up, if the caller sent it.
    pub(super) fn time_left(&self) -> Option<Duration> {
        let now = self.entry.clock.now();
        self.caller_deadline
            .map(|deadline| deadline.saturating_duration_since(now))
    }

    /// When the originating external request entered the mesh.
    fn began(&self) -> Instant {
        let parent = self.admitted.parent.as_ref();
        parent.map_or(self.arrived, |parent| parent.began)
    }

    fn route_name(&self) -> SmolStr {
        let route = self.admitted.config.route(self.admitted.route);
        route.name.clone()
    }

    /// Gives back the workspace quota used by a request that did not run.
    pub(super) fn refund_quota(&self, result: &AttemptResult) {
        let Err(refused) = result else {
            return;
        };
        let workspace = self
            .admitted
            .workspace
            .as_ref()
            .filter(|_| self.admitted.parent.is_none());
        if let Some(workspace) = workspace.filter(|_| refused.refusal.is_not_run()) {
            let unused = ControllerEvent::QuotaUnused(workspace.clone());
            self.entry.controller.notify(unused);
        }
    }

    /// Logs the result that the caller gets.
    pub(super) fn log(&self, result: &AttemptResult) {
        let (status, refusal) = match result {
            Ok(answer) => (answer.status.as_u16(), ""),
            Err(refused) => (refused.refusal.rule().status, refused.refusal.as_str()),
        };
        let now = self.entry.clock.now();
        self.entry.journal.request_answered(RequestSummary {
            id: &self.id,
            fingerprint: Some(self.fingerprint),
            route: &self.route_name(),
            service: self.admitted.service.as_str(),
            instance: &self.last_instance,
            status,
            refusal,
            attempts: self.tried.len(),
            elapsed: now.saturating_duration_since(self.arrived),
            limit: self.deadline.saturating_duration_since(self.arrived),
            config: self.admitted.config.version().0,
            inner: self.admitted.parent.is_some(),
        });
    }
}

fn fingerprint(entry: &Entry, req: &CallerRequest, admitted: &AdmittedRequest) -> Fingerprint {
    entry.fingerprinter.fingerprint(&RequestParts {
        method: req.head.method.as_str(),
        host: &text_header(&req.head.headers, HOST.as_str()),
        target: &req.head.target,
        workspace: admitted.workspace.as_deref(),
        body: req.digest,
    })
}

/// Whether a target may have worked on a request with this result.
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
