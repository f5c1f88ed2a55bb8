//! The attempts to serve one request: it is sent to a host, then rerouted or retried until one answers.

mod end;
mod exchange;
mod hosted_request;
mod reply;

use std::time::{Duration, Instant};

use coltsfootport_core::mesh::{InstanceKey, Refusal, RequestLimits, SendOutcome};
use coltsfootport_core::quarantine::{Fingerprint, RequestParts};
use http::header::HOST;
use smol_str::SmolStr;

use super::{Entry, text_header};
use crate::h1::{RequestHead, strip_hop_by_hop};
use crate::mesh::call::{Body, CallerRequest, Refused, TargetAnswer};
use crate::mesh::controller::{AdmittedRequest, InstanceGrant, InstanceRequest};
use crate::mesh::held_bytes::Account;
use crate::mesh::link::LinkError;

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
    /// Account of the caller's connection.
    account: Account,
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
            account: req.account,
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

    /// Remaining time until the caller gives up, if the caller sent it.
    pub(super) fn time_left(&self) -> Option<Duration> {
        let now = self.entry.clock.now();
        self.caller_deadline
            .map(|deadline| deadline.saturating_duration_since(now))
    }

    fn route_name(&self) -> SmolStr {
        let route = self.admitted.config.route(self.admitted.route);
        route.name.clone()
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
