//! Sends a call to hosts until one answers or no further attempt is possible.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use coltsfootport_core::allowance::{Backoff, RetryPolicy};
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::id::NodeName;
use coltsfootport_core::invariant::Invariant;
use coltsfootport_core::once::Try;
use coltsfootport_core::routing::{PeerKey, RouteResult};
use coltsfootport_core::timeline::Event;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::RetryBudget;
use super::call_progress::{CallProgress, Step};
use super::tokens::TokenIssuer;
use crate::clock::{SharedClock, elapsed_micros};
use crate::data::{AttemptId, Call, OnceCall, Refused, Reply, Verdict};
use crate::host::Host;
use crate::metrics::Metrics;
use crate::peers::{HubHandle, LinkError};
use crate::recorder::Recorder;
use crate::routes::{Choice, PickRequest, Route, RoutesHandle};

/// Dependencies and settings of a [`Dispatcher`].
pub struct DispatcherSetup {
    /// Name of this node; calls to its own target bypass the network.
    pub node: NodeName,
    /// Runs calls at this node's target.
    pub host: Host,
    /// Handle to the task that chooses hosts.
    pub routes: RoutesHandle,
    /// Connections to peers.
    pub hub: HubHandle,
    /// Mints the tokens of non-idempotent calls.
    pub tokens: TokenIssuer,
    /// Rules by which failed calls are retried.
    pub policy: RetryPolicy,
    /// Delays before retries.
    pub backoff: Backoff,
    /// Clock of the process.
    pub clock: SharedClock,
    /// Records the events of the timeline.
    pub recorder: Recorder,
    /// Metrics of the process.
    pub metrics: Metrics,
}

/// Sends calls to hosts; cheap to clone.
#[derive(Clone)]
pub struct Dispatcher {
    pub(super) setup: Arc<DispatcherSetup>,
    attempts: Arc<AtomicU64>,
}

/// Result of one attempt.
#[derive(Debug)]
pub(super) enum Attempt {
    /// The host replied.
    Replied(Box<Reply>),
    /// Nothing was sent.
    NotSent,
    /// The call was sent at least in part, and no complete reply arrived.
    Lost,
    /// The deadline passed during the attempt.
    Expired,
}

impl Dispatcher {
    /// Creates a dispatcher.
    pub fn new(setup: DispatcherSetup) -> Self {
        Self {
            setup: Arc::new(setup),
            attempts: Arc::new(AtomicU64::new(1)),
        }
    }

    /// Sends a call without a token from its caller, which may be tried at several hosts.
    pub async fn send(&self, mut call: Call, budget: &mut RetryBudget) -> Verdict {
        let mut progress = CallProgress::default();
        loop {
            let failure = match self.step(&mut call, &mut progress, budget).await {
                Step::Answered(answer) => return Verdict::Answered(answer),
                Step::GiveUp(refused) => return progress.final_verdict(refused),
                Step::SkipHost => continue,
                Step::Failed(refused) => refused,
            };
            progress.record_failure(failure);
            if !self.may_retry(&call, failure.kind, budget).await {
                return progress.final_verdict(failure);
            }
            self.record_retry(&call, failure.kind, progress.retries);
            self.sleep_backoff(progress.retries).await;
            progress.retries += 1;
        }
    }

    /// Chooses a host and makes an attempt there.
    async fn step(
        &self,
        call: &mut Call,
        progress: &mut CallProgress,
        budget: &mut RetryBudget,
    ) -> Step {
        if self.setup.clock.now() >= call.deadline {
            return Step::GiveUp(Refused::from(ErrorKind::ExpiredBeforeDispatch));
        }
        let route = match self
            .setup
            .routes
            .pick(pick_request(call, &progress.excluded))
            .await
        {
            Choice::Send(route) => *route,
            Choice::Shed(retry_after) => {
                return Step::GiveUp(Refused::new(ErrorKind::Shed, retry_after));
            }
            Choice::NoHost => return Step::GiveUp(progress.last_failure),
        };
        progress.excluded.extend(route.guard.peer());
        if !call.idempotent && !self.bind_to_home(call, &route).await {
            route.guard.finish(RouteResult::Lost, None);
            return progress.skip_host();
        }
        match self.attempt(call, route, budget).await {
            Attempt::Replied(reply) if call.idempotent => Step::from(reply.verdict),
            Attempt::Replied(reply) => Step::from(refused_token_as_no_target(
                lost_home_as_no_target(reply.verdict),
            )),
            Attempt::NotSent => progress.skip_host(),
            Attempt::Lost if !call.idempotent => Step::from(refused_token_as_no_target(
                self.retry_at_home(call, budget).await,
            )),
            Attempt::Expired if !call.idempotent => {
                Step::from(refused_token_as_no_target(self.resolve_outcome(call).await))
            }
            Attempt::Lost => Step::Failed(Refused::from(ErrorKind::AnswerLost)),
            Attempt::Expired => Step::Failed(Refused::from(ErrorKind::ExpiredInFlight)),
        }
    }

    /// Makes one attempt at a host and grants it a share of the retry allowance.
    pub(super) async fn attempt(
        &self,
        call: &mut Call,
        route: Route,
        budget: &mut RetryBudget,
    ) -> Attempt {
        let setup = &self.setup;
        call.attempt = AttemptId(self.attempts.fetch_add(1, Ordering::Relaxed));
        call.attempt_number += 1;
        let granted = budget.grant().await;
        call.allowance = granted;
        let event = Event::Sent {
            peer: route.node.clone(),
            attempt: call.attempt_number,
        };
        setup.recorder.record(Some(call.request), event);
        let sent = setup.clock.now();
        let exchange = self.exchange(call, &route);
        let give_up_at = call.deadline + ANSWER_GRACE;
        let done = tokio::time::timeout_at(give_up_at.into(), exchange).await;
        match done.unwrap_or(Attempt::Expired) {
            Attempt::Replied(reply) if reply.attempt != call.attempt => {
                setup.recorder.report_breach(Invariant::AnswerToWrongCall);
                route.guard.finish(RouteResult::Lost, None);
                Attempt::Lost
            }
            Attempt::Replied(reply) => {
                if let Err(breach) = budget.reclaim(granted, reply.allowance_left) {
                    setup.recorder.report_breach(breach);
                }
                budget.record_downstream_level(reply.report.level);
                route
                    .guard
                    .finish(route_result(&reply.verdict), Some(reply.report.clone()));
                Attempt::Replied(reply)
            }
            Attempt::NotSent => {
                let _ = budget.reclaim(granted, granted);
                route.guard.finish(RouteResult::Lost, None);
                Attempt::NotSent
            }
            ended @ (Attempt::Lost | Attempt::Expired) => {
                let event = Event::Lost {
                    peer: route.node.clone(),
                    attempt: call.attempt_number,
                    elapsed_us: elapsed_micros(setup.clock.now(), sent),
                };
                setup.recorder.record(Some(call.request), event);
                route.guard.finish(RouteResult::Lost, None);
                ended
            }
        }
    }

    async fn exchange(&self, call: &Call, route: &Route) -> Attempt {
        let setup = &self.setup;
        if route.node == setup.node {
            return match setup.host.run(call.clone()).await {
                Some(reply) => Attempt::Replied(Box::new(reply)),
                None => Attempt::Lost,
            };
        }
        let link = match call.once {
            Some(_) => setup.hub.link_to_home(&route.node, route.address).await,
            None => setup.hub.link(&route.node, route.address).await,
        };
        let Some(link) = link else {
            return Attempt::NotSent;
        };
        match link.call(call, &setup.recorder).await {
            Ok(reply) => Attempt::Replied(Box::new(reply)),
            Err(LinkError::NotSent) => Attempt::NotSent,
            Err(LinkError::Lost(_)) => Attempt::Lost,
        }
    }

    /// Binds a non-idempotent call to the current incarnation of one host by a new token.
    async fn bind_to_home(&self, call: &mut Call, route: &Route) -> bool {
        let Some(token) = self.setup.tokens.mint_at(route, &call.service).await else {
            return false;
        };
        call.once = Some(OnceCall {
            token,
            number: Try(1),
        });
        true
    }

    async fn may_retry(&self, call: &Call, kind: ErrorKind, budget: &mut RetryBudget) -> bool {
        if !self.setup.policy.may_retry(kind, call.idempotent, false) {
            return false;
        }
        if self.setup.clock.now() + MIN_TIME_FOR_RETRY >= call.deadline {
            return false;
        }
        // The allowance of the request is checked first, so that a request without one doesn't consume the budget of
        // the service, which other requests share.
        budget.spend().await && self.setup.routes.spend_retry(&call.service).await
    }

    fn record_retry(&self, call: &Call, error: ErrorKind, retries: u16) {
        let event = Event::Retried {
            error,
            attempt: retries + 1,
            allowance: call.allowance,
        };
        self.setup.recorder.record(Some(call.request), event);
    }

    async fn sleep_backoff(&self, retries: u16) {
        let mut rng = SmallRng::from_os_rng();
        let delay = self.setup.backoff.delay(retries, &mut rng);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }
}

/// Minimum time left before the deadline for a retry.
const MIN_TIME_FOR_RETRY: Duration = Duration::from_millis(2);

/// Time after the deadline in which the host's refusal is still accepted, as it is more precise than the entry's own.
const ANSWER_GRACE: Duration = Duration::from_millis(20);

fn pick_request(call: &Call, excluded: &[PeerKey]) -> PickRequest {
    PickRequest {
        service: call.service.clone(),
        operation: call.operation.clone(),
        class: call.class,
        bucket: call.bucket(),
        excluded: excluded.to_vec(),
    }
}

/// Turns a home's refusal of a token that was minted for this call into "no target", so that another host is tried.
///
/// The token was never given to anyone else. A home that refuses it, or that has another incarnation than the token
/// names, has therefore not run the call.
fn refused_token_as_no_target(verdict: Verdict) -> Verdict {
    let Verdict::Refused(refused) = verdict else {
        return verdict;
    };
    match refused.kind {
        ErrorKind::TokenRefused | ErrorKind::BadToken | ErrorKind::TokenExpired => {
            Verdict::Refused(Refused::new(ErrorKind::NoTarget, refused.retry_after))
        }
        _ => Verdict::Refused(refused),
    }
}

/// Turns "home lost" into "no target" for a call that was sent only to the answering host: as that has another
/// incarnation than the token names, it can't have run the call.
fn lost_home_as_no_target(verdict: Verdict) -> Verdict {
    match verdict {
        Verdict::Refused(refused) if refused.kind == ErrorKind::HomeLost => {
            Verdict::Refused(Refused::new(ErrorKind::NoTarget, refused.retry_after))
        }
        other => other,
    }
}

pub(super) fn route_result(verdict: &Verdict) -> RouteResult {
    match verdict {
        Verdict::Answered(_) => RouteResult::Served,
        Verdict::Refused(refused) => match refused.kind {
            ErrorKind::TargetFailed | ErrorKind::AnswerLost | ErrorKind::NoTarget => {
                RouteResult::Failed
            }
            _ => RouteResult::Shed,
        },
    }
}
