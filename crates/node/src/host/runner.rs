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

/// What a host is made of.
#[derive(Clone)]
pub struct HostSetup {
    /// The service of the target.
    pub service: ServiceName,
    /// The gate in front of the target.
    pub gate: GateHandle,
    /// The target.
    pub target: TargetClient,
    /// This run of the node.
    pub incarnation: Incarnation,
    /// The process's clock.
    pub clock: SharedClock,
    /// Where events are recorded.
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
    /// A host.
    pub fn new(setup: HostSetup) -> Self {
        Self {
            setup: Arc::new(setup),
        }
    }

    /// Runs a call and answers with its reply; dropping the future cancels the call.
    ///
    /// A call that runs at most once is not cancelled after its dispatch: its answer is kept for the caller's next try.
    pub async fn run(&self, call: Call) -> Option<Reply> {
        let event = Event::Received {
            service: call.service.clone(),
            class: call.class,
            depth: call.depth,
            allowance: call.allowance,
        };
        self.setup.recorder.record(Some(call.request), event);
        // A list that lags may still show this node's name with the service of the instance that it replaced.
        if call.service != self.setup.service {
            return self.aside(&call, Verdict::from(ErrorKind::NoTarget)).await;
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
                self.aside(&call, Verdict::Answered(answer)).await
            }
            AdmissionDecision::Refused(refused) => {
                self.aside(&call, Verdict::Refused(refused)).await
            }
        }
    }

    /// The state of this host outside of any call.
    pub async fn report(&self) -> Option<HostReport> {
        self.setup.gate.report(Default::default()).await
    }

    /// Refuses all tries of a token of this node up to a number for good.
    pub async fn refuse(&self, token: Token, up_to: Try) -> Refusal<Arc<Answer>> {
        self.setup.gate.refuse(token, up_to).await
    }

    /// A reply about a call that never was in flight; its whole allowance goes back.
    async fn aside(&self, call: &Call, verdict: Verdict) -> Option<Reply> {
        let report = self.setup.gate.report(call.operation.clone()).await?;
        Some(Reply {
            attempt: call.attempt,
            allowance_left: call.allowance,
            verdict,
            report,
        })
    }

    /// Runs a call in a task of its own, so that its answer is kept even where its caller goes.
    async fn run_detached(&self, call: Call, guard: InFlightGuard) -> Option<Reply> {
        let (reply, replied) = oneshot::channel();
        let host = self.clone();
        let attempt = call.attempt;
        let patience = call.deadline + ONCE_GRACE;
        tokio::spawn(async move {
            let done = host.execute(call, guard, patience, Some(&reply)).await;
            let _ = reply.send(done);
        });
        Some(replied.await.ok()??.into_reply(attempt))
    }

    async fn execute(
        &self,
        call: Call,
        guard: InFlightGuard,
        patience: Instant,
        caller: Option<&oneshot::Sender<Option<Executed>>>,
    ) -> Option<Executed> {
        let began = self.setup.clock.now();
        let connection = self.setup.target.connection().await;
        let Some(connection) = connection else {
            return self.withdraw(guard, ErrorKind::NoTarget).await;
        };
        let context = ContextHandle::new(self.setup.incarnation, guard.key());
        let now = self.setup.clock.now();
        let req = match self.setup.target.request(&call, context, now) {
            Ok(req) => req,
            Err(kind) => return self.withdraw(guard, kind).await,
        };
        if caller.is_some_and(oneshot::Sender::is_closed) {
            return self.withdraw(guard, ErrorKind::Cancelled).await;
        }
        if let Err(kind) = self.setup.gate.dispatch(guard.key()).await {
            return self.withdraw(guard, kind).await;
        }
        self.note_added(began);
        let exchange = self.setup.target.exchange(connection, req);
        let done = tokio::time::timeout_at(patience.into(), exchange).await;
        match done.unwrap_or(Err(TargetError::Lost(ErrorKind::ExpiredInFlight))) {
            Ok(answer) => self.answered(guard, answer).await,
            // The dispatch stands recorded, so that this token can't be sent again; the caller hears "unknown", which is
            // more careful than the truth.
            Err(TargetError::NotSent) => self.lose(guard, ErrorKind::TargetFailed).await,
            Err(TargetError::Lost(kind)) => self.lose(guard, kind).await,
        }
    }

    fn note_added(&self, began: Instant) {
        let now = self.setup.clock.now();
        let added = now.saturating_duration_since(began);
        self.setup.metrics.calls.added(added);
    }

    async fn answered(&self, guard: InFlightGuard, answer: Arc<Answer>) -> Option<Executed> {
        let end = Completion::Answered(Arc::clone(&answer));
        let completion = self.setup.gate.finish(guard.release(), end).await?;
        Some(Executed {
            verdict: Verdict::Answered((*answer).clone()),
            completion,
        })
    }

    async fn lose(&self, guard: InFlightGuard, kind: ErrorKind) -> Option<Executed> {
        let completion = self
            .setup
            .gate
            .finish(guard.release(), Completion::Lost(kind))
            .await?;
        Some(Executed {
            verdict: Verdict::Refused(Refused::from(kind)),
            completion,
        })
    }

    async fn withdraw(&self, guard: InFlightGuard, kind: ErrorKind) -> Option<Executed> {
        let end = Completion::Withdrawn(kind);
        let completion = self.setup.gate.finish(guard.release(), end).await?;
        let refused = Refused::new(kind, WITHDRAWN_RETRY_AFTER);
        Some(Executed {
            verdict: Verdict::Refused(refused),
            completion,
        })
    }
}

/// How long past its deadline the answer of a call that runs at most once is still waited for, to be kept.
const ONCE_GRACE: Duration = Duration::from_secs(10);

const WITHDRAWN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// A call that was in flight and has ended.
#[derive(Debug)]
struct Executed {
    verdict: Verdict,
    completion: CompletionReply,
}

impl Executed {
    fn into_reply(self, attempt: AttemptId) -> Reply {
        Reply {
            attempt,
            allowance_left: self.completion.allowance_left,
            verdict: self.verdict,
            report: self.completion.report,
        }
    }
}
