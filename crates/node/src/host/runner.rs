//! Runs a call at this node's target.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::id::{Incarnation, ServiceName};
use coltsfootport_core::once::{Refusal, Token, Try};
use coltsfootport_core::timeline::Event;
use tokio::sync::oneshot;

use super::{TargetClient, TargetError};
use crate::clock::SharedClock;
use crate::data::{Answer, AttemptId, Call, HostReport, Refused, Reply, Verdict};
use crate::gate::{
    AdmissionDecision, AdmissionRequest, Completion, CompletionReply, ContextHandle, GateHandle,
    InFlightGuard,
};
use crate::metrics::Metrics;
use crate::recorder::Recorder;

/// Dependencies of a host.
#[derive(Clone)]
pub struct HostSetup {
    /// Service that the target implements.
    pub service: ServiceName,
    /// Admission gate in front of the target.
    pub gate: GateHandle,
    /// Client of the target.
    pub target: TargetClient,
    /// Identifies this run of the process.
    pub incarnation: Incarnation,
    /// Clock shared by the whole process.
    pub clock: SharedClock,
    /// Records timeline events.
    pub recorder: Recorder,
    /// Metrics of the process.
    pub metrics: Metrics,
}

/// Runs calls at this node's target; cheap to clone.
#[derive(Clone)]
pub struct Host {
    setup: Arc<HostSetup>,
}

impl Host {
    /// Creates a host.
    pub fn new(setup: HostSetup) -> Self {
        Self {
            setup: Arc::new(setup),
        }
    }

    /// Runs a call and returns its reply. Dropping the future cancels the call.
    ///
    /// An at-most-once call is not cancelled once it is dispatched: its answer is kept for the caller's next try.
    pub async fn run(&self, call: Call) -> Option<Reply> {
        let event = Event::Received {
            service: call.service.clone(),
            class: call.class,
            depth: call.depth,
            allowance: call.allowance,
        };
        self.setup.recorder.record(Some(call.request), event);
        // A lagging instance list may still list this node's name with the service of the instance that it replaced.
        if call.service != self.setup.service {
            return self
                .reply_without_flight(&call, Verdict::from(ErrorKind::NoTarget))
                .await;
        }
        match self.setup.gate.admit(AdmissionRequest::from(&call)).await {
            AdmissionDecision::Admitted(guard) if call.once.is_some() => {
                self.run_detached(call, guard).await
            }
            AdmissionDecision::Admitted(guard) => {
                let (attempt, deadline) = (call.attempt, call.deadline);
                Some(
                    self.execute(call, guard, deadline, None)
                        .await?
                        .into_reply(attempt),
                )
            }
            AdmissionDecision::Replayed(answer) => {
                let answer = Answer {
                    replayed: true,
                    ..(*answer).clone()
                };
                self.reply_without_flight(&call, Verdict::Answered(answer))
                    .await
            }
            AdmissionDecision::Refused(refused) => {
                self.reply_without_flight(&call, Verdict::Refused(refused))
                    .await
            }
        }
    }

    /// Returns the state of this host for use outside of a call.
    pub async fn report(&self) -> Option<HostReport> {
        self.setup.gate.report(Default::default()).await
    }

    /// Permanently refuses all tries of a token of this node up to and including `up_to`.
    pub async fn refuse(&self, token: Token, up_to: Try) -> Refusal<Arc<Answer>> {
        self.setup.gate.refuse(token, up_to).await
    }

    /// Builds the reply to a call that was never in flight. It returns the whole allowance.
    async fn reply_without_flight(&self, call: &Call, verdict: Verdict) -> Option<Reply> {
        let report = self.setup.gate.report(call.operation.clone()).await?;
        Some(Reply {
            attempt: call.attempt,
            allowance_left: call.allowance,
            verdict,
            report,
        })
    }

    /// Runs a call in a separate task, so that its answer is kept even if the caller disconnects.
    async fn run_detached(&self, call: Call, guard: InFlightGuard) -> Option<Reply> {
        let (tx, rx) = oneshot::channel();
        let host = self.clone();
        let attempt = call.attempt;
        let answer_deadline = call.deadline + ONCE_ANSWER_GRACE;
        tokio::spawn(async move {
            let finished = host.execute(call, guard, answer_deadline, Some(&tx)).await;
            let _ = tx.send(finished);
        });
        Some(rx.await.ok()??.into_reply(attempt))
    }

    /// Dispatches an admitted call to the target and waits for the answer until `answer_deadline`. `caller` is given for
    /// detached calls; if it is closed before the dispatch, the call is withdrawn.
    async fn execute(
        &self,
        call: Call,
        guard: InFlightGuard,
        answer_deadline: Instant,
        caller: Option<&oneshot::Sender<Option<FinishedCall>>>,
    ) -> Option<FinishedCall> {
        let started = self.setup.clock.now();
        let connection = self.setup.target.connection().await;
        let Some(connection) = connection else {
            return self.finish_withdrawn(guard, ErrorKind::NoTarget).await;
        };
        let context = ContextHandle::new(self.setup.incarnation, guard.key());
        let now = self.setup.clock.now();
        let req = match self.setup.target.request(&call, context, now) {
            Ok(req) => req,
            Err(kind) => return self.finish_withdrawn(guard, kind).await,
        };
        if caller.is_some_and(oneshot::Sender::is_closed) {
            return self.finish_withdrawn(guard, ErrorKind::Cancelled).await;
        }
        if let Err(kind) = self.setup.gate.dispatch(guard.key()).await {
            return self.finish_withdrawn(guard, kind).await;
        }
        self.record_added_latency(started);
        let exchange = self.setup.target.exchange(connection, req);
        let result = tokio::time::timeout_at(answer_deadline.into(), exchange).await;
        match result.unwrap_or(Err(TargetError::Lost(ErrorKind::ExpiredInFlight))) {
            Ok(answer) => self.finish_answered(guard, answer).await,
            // The dispatch is already recorded and the token can't be dispatched again. The call is therefore reported as lost
            // with an unknown outcome, although it is known not to have been sent.
            Err(TargetError::NotSent) => self.finish_lost(guard, ErrorKind::TargetFailed).await,
            Err(TargetError::Lost(kind)) => self.finish_lost(guard, kind).await,
        }
    }

    /// Records the time from admission to dispatch, which this host adds to the latency of the call.
    fn record_added_latency(&self, started: Instant) {
        let now = self.setup.clock.now();
        let added = now.saturating_duration_since(started);
        self.setup.metrics.calls.record_added_time(added);
    }

    /// Ends a flight whose target answered.
    async fn finish_answered(
        &self,
        guard: InFlightGuard,
        answer: Arc<Answer>,
    ) -> Option<FinishedCall> {
        let end = Completion::Answered(Arc::clone(&answer));
        let completion = self.setup.gate.finish(guard.release(), end).await?;
        Some(FinishedCall {
            verdict: Verdict::Answered((*answer).clone()),
            completion,
        })
    }

    /// Ends a flight that was dispatched but got no complete answer.
    async fn finish_lost(&self, guard: InFlightGuard, kind: ErrorKind) -> Option<FinishedCall> {
        let completion = self
            .setup
            .gate
            .finish(guard.release(), Completion::Lost(kind))
            .await?;
        Some(FinishedCall {
            verdict: Verdict::Refused(Refused::from(kind)),
            completion,
        })
    }

    /// Ends a flight that was not dispatched.
    async fn finish_withdrawn(
        &self,
        guard: InFlightGuard,
        kind: ErrorKind,
    ) -> Option<FinishedCall> {
        let end = Completion::Withdrawn(kind);
        let completion = self.setup.gate.finish(guard.release(), end).await?;
        let refused = Refused::new(kind, WITHDRAWN_RETRY_AFTER);
        Some(FinishedCall {
            verdict: Verdict::Refused(refused),
            completion,
        })
    }
}

/// Time after its deadline for which an at-most-once call still waits for its answer, so that the answer can be kept.
const ONCE_ANSWER_GRACE: Duration = Duration::from_secs(10);

/// Retry-after hint in the refusal of a withdrawn call.
const WITHDRAWN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Result of a call that was in flight.
#[derive(Debug)]
struct FinishedCall {
    verdict: Verdict,
    completion: CompletionReply,
}

impl FinishedCall {
    fn into_reply(self, attempt: AttemptId) -> Reply {
        Reply {
            attempt,
            allowance_left: self.completion.allowance_left,
            verdict: self.verdict,
            report: self.completion.report,
        }
    }
}
