//! Sends a call to hosts until it has an answer or must be given up.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use coltsfootport_core::allowance::{Backoff, RetryPolicy};
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::id::NodeName;
use coltsfootport_core::invariant::Invariant;
use coltsfootport_core::once::Try;
use coltsfootport_core::outcome::Outcome;
use coltsfootport_core::routing::{PeerKey, RouteResult};
use coltsfootport_core::timeline::Event;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::Budget;
use super::tokens::TokenIssuer;
use crate::clock::SharedClock;
use crate::data::{AttemptId, Call, HostReport, OnceCall, Refused, Reply, Verdict};
use crate::host::Host;
use crate::metrics::Metrics;
use crate::peers::{HubHandle, LinkError};
use crate::recorder::Recorder;
use crate::routes::{Choice, PickRequest, Route, RoutesHandle};

/// What a dispatcher is made of.
pub struct DispatcherSetup {
    /// Name of this node, whose own target is reached without the network.
    pub node: NodeName,
    /// Runs calls at the own target.
    pub host: Host,
    /// Chooses hosts.
    pub routes: RoutesHandle,
    /// Connections to hosts.
    pub hub: HubHandle,
    /// Tokens for calls that run at most once.
    pub tokens: TokenIssuer,
    /// Rules of retrying.
    pub policy: RetryPolicy,
    /// Delays between attempts.
    pub backoff: Backoff,
    /// The process's clock.
    pub clock: SharedClock,
    /// Where events are recorded.
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

/// How one attempt ended.
#[derive(Debug)]
pub(super) enum Attempt {
    /// The host replied.
    Replied(Box<Reply>),
    /// Nothing left this node.
    NotSent,
    /// Something was sent and no whole reply came.
    Lost,
    /// The deadline passed with the attempt under way.
    Expired,
}

impl Dispatcher {
    /// A dispatcher.
    pub fn new(setup: DispatcherSetup) -> Self {
        Self {
            setup: Arc::new(setup),
            attempts: Arc::new(AtomicU64::new(1)),
        }
    }

    /// Sends a call that has no identity outside the system, which may move from host to host.
    pub async fn send(&self, mut call: Call, budget: &mut Budget) -> Verdict {
        let mut excluded = Vec::new();
        let mut unsent = 0;
        let mut retries = 0;
        let mut failure = Refused::from(ErrorKind::NoTarget);
        let mut lost = None;
        loop {
            let route = match self.setup.routes.pick(pick_of(&call, &excluded)).await {
                Choice::Go(route) => *route,
                Choice::Shed(retry_after) => {
                    let shed = Refused {
                        kind: ErrorKind::Shed,
                        retry_after,
                    };
                    return Verdict::Refused(told(shed, lost));
                }
                Choice::Nobody => return Verdict::Refused(told(failure, lost)),
            };
            let peer = route.guard.peer();
            if !call.idempotent && !self.bind(&mut call, &route).await {
                route.guard.done(RouteResult::Lost, None);
                unsent += 1;
                if unsent >= MOST_UNSENT {
                    return Verdict::Refused(told(failure, lost));
                }
                excluded.extend(peer);
                continue;
            }
            failure = match self.attempt(&mut call, route, budget).await {
                Attempt::Replied(reply) => match reply.verdict {
                    Verdict::Answered(answer) => return Verdict::Answered(answer),
                    Verdict::Refused(refused) => refused,
                },
                Attempt::NotSent if unsent < MOST_UNSENT => {
                    unsent += 1;
                    excluded.extend(peer);
                    continue;
                }
                Attempt::NotSent => Refused::from(ErrorKind::NoTarget),
                Attempt::Lost | Attempt::Expired if !call.idempotent => {
                    match self.settle(&call).await {
                        Verdict::Answered(answer) => return Verdict::Answered(answer),
                        Verdict::Refused(refused) => moved(refused),
                    }
                }
                Attempt::Lost => Refused::from(ErrorKind::AnswerLost),
                Attempt::Expired => Refused::from(ErrorKind::ExpiredInFlight),
            };
            if failure.kind.rule().outcome == Outcome::Unknown {
                lost = Some(failure);
            }
            if !self.may_retry(&call, failure.kind, budget).await {
                return Verdict::Refused(told(failure, lost));
            }
            self.setup.metrics.calls.retried(failure.kind);
            let event = Event::Retried {
                error: failure.kind,
                attempt: retries + 1,
                allowance: 0,
            };
            self.setup.recorder.record(Some(call.request), event);
            self.pause(retries).await;
            retries += 1;
            excluded.extend(peer);
        }
    }

    /// One attempt at a host, with its part of the allowance.
    pub(super) async fn attempt(
        &self,
        call: &mut Call,
        route: Route,
        budget: &mut Budget,
    ) -> Attempt {
        let setup = &self.setup;
        let now = setup.clock.now();
        if now >= call.deadline {
            return Attempt::NotSent;
        }
        call.attempt = AttemptId(self.attempts.fetch_add(1, Ordering::Relaxed));
        let granted = budget.grant().await;
        call.allowance = granted;
        let event = Event::Sent {
            peer: route.node.clone(),
            attempt: 0,
        };
        setup.recorder.record(Some(call.request), event);
        let exchange = self.exchange(call, &route);
        let patience = call.deadline + ANSWER_GRACE;
        let done = tokio::time::timeout_at(patience.into(), exchange).await;
        match done.unwrap_or(Attempt::Expired) {
            Attempt::Replied(reply) if reply.attempt != call.attempt => {
                setup.recorder.breach(Invariant::AnswerToWrongCall);
                route.guard.done(RouteResult::Lost, None);
                Attempt::Lost
            }
            Attempt::Replied(reply) => {
                if let Err(breach) = budget.give_back(granted, reply.allowance_left) {
                    setup.recorder.breach(breach);
                }
                route
                    .guard
                    .done(route_result(&reply.verdict), Some(reply.report.clone()));
                Attempt::Replied(reply)
            }
            Attempt::NotSent => {
                let _ = budget.give_back(granted, granted);
                route.guard.done(RouteResult::Lost, None);
                Attempt::NotSent
            }
            ended @ (Attempt::Lost | Attempt::Expired) => {
                let event = Event::Lost {
                    peer: route.node.clone(),
                    attempt: 0,
                    elapsed_us: 0,
                };
                setup.recorder.record(Some(call.request), event);
                route.guard.done(RouteResult::Lost, None);
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
        let Some(link) = setup.hub.link(&route.node, route.address).await else {
            return Attempt::NotSent;
        };
        match link.call(call, &setup.recorder).await {
            Ok(reply) => Attempt::Replied(Box::new(reply)),
            Err(LinkError::NotSent) => Attempt::NotSent,
            Err(LinkError::Lost(_)) => Attempt::Lost,
        }
    }

    /// Binds a call that must run at most once to the run of one host.
    async fn bind(&self, call: &mut Call, route: &Route) -> bool {
        let Some(token) = self.setup.tokens.mint_at(route, &call.service).await else {
            return false;
        };
        call.once = Some(OnceCall {
            token,
            number: Try(1),
        });
        true
    }

    async fn may_retry(&self, call: &Call, kind: ErrorKind, budget: &mut Budget) -> bool {
        if !self.setup.policy.may_retry(kind, call.idempotent, false) {
            return false;
        }
        if self.setup.clock.now() + LEAST_TIME_FOR_RETRY >= call.deadline {
            return false;
        }
        if !self.setup.routes.spend_retry(&call.service).await {
            return false;
        }
        budget.spend().await
    }

    async fn pause(&self, retries: u16) {
        let mut rng = SmallRng::from_os_rng();
        let delay = self.setup.backoff.delay(retries, &mut rng);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
    }

    /// The own report of this node, for its own calls.
    pub async fn own_report(&self) -> Option<HostReport> {
        self.setup.host.report().await
    }
}

/// Hosts that are passed over because nothing could be sent to them, before the call is given up.
const MOST_UNSENT: u32 = 4;

/// Time that must be left for a retry to make sense.
const LEAST_TIME_FOR_RETRY: Duration = Duration::from_millis(2);

/// How long past the deadline the host's own refusal is waited for; it is more exact than the entry's.
const ANSWER_GRACE: Duration = Duration::from_millis(20);

/// When a caller may come back where no host said so.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

fn pick_of(call: &Call, excluded: &[PeerKey]) -> PickRequest {
    PickRequest {
        service: call.service.clone(),
        operation: call.operation.clone(),
        class: call.class,
        bucket: call.bucket(),
        excluded: excluded.to_vec(),
    }
}

/// The failure of a call that no caller holds a token of: once its home refused it for good, it may run elsewhere.
fn moved(refused: Refused) -> Refused {
    match refused.kind {
        ErrorKind::TokenRefused => Refused {
            kind: ErrorKind::NoTarget,
            ..refused
        },
        _ => refused,
    }
}

/// What a caller is told after several attempts, the last of which ended with `failure`.
///
/// The last one alone would say "not run" where a host refused the call that an earlier host had run and whose answer was
/// lost.
fn told(failure: Refused, lost: Option<Refused>) -> Refused {
    match lost {
        Some(lost) if failure.kind.rule().outcome == Outcome::NotRun => with_time(lost),
        _ => with_time(failure),
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

pub(super) fn with_time(refused: Refused) -> Refused {
    if refused.retry_after.is_zero() {
        return Refused {
            retry_after: DEFAULT_RETRY_AFTER,
            ..refused
        };
    }
    refused
}
