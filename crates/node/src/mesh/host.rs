//! Runs requests at the target beside the node.

use std::sync::Arc;
use std::time::Duration;

use coltsfootport_core::mesh::{Dialect, Idempotency, Refusal};
use coltsfootport_core::quarantine::{CrashId, Standing};
use http::StatusCode;
use tokio::time::timeout;

use crate::clock::SharedClock;
use crate::mesh::call::{Body, HostReply, HostedRequest, Refused, Report, RunEnd, TargetAnswer};
use crate::mesh::controller::{ControllerHandle, EnterAsk, NotGranted, SlotGuard};
use crate::mesh::journal::Journal;
use crate::mesh::target::{ExchangeFault, Exchanged, TargetPool, WireRequest, exchange};

/// Time beyond its deadline for which a request that may run once only keeps its slot. Its target stops by itself at the
/// deadline; this is for its answer, and for a target that forgets to stop.
const ONCE_GRACE: Duration = Duration::from_millis(500);

/// What is needed to run requests; cheap to clone.
#[derive(Clone)]
pub struct Host {
    /// Gives slots.
    pub controller: ControllerHandle,
    /// Connections to the target.
    pub pool: TargetPool,
    /// Header names.
    pub dialect: Arc<Dialect>,
    /// Time.
    pub clock: SharedClock,
    /// Lines about failures.
    pub journal: Journal,
}

/// How a run at the target has ended.
struct Ran {
    result: Result<TargetAnswer, Refused>,
    end: RunEnd,
}

/// Why a target has not answered.
struct NoAnswer {
    refused: Refused,
    /// The end of the target's process that cost the answer.
    crash: Option<CrashId>,
}

impl From<Refused> for NoAnswer {
    fn from(refused: Refused) -> Self {
        Self {
            refused,
            crash: None,
        }
    }
}

impl Host {
    /// Runs a request, or tells why it did not run.
    ///
    /// Dropped before the end, an idempotent request is broken off at the target, so that it does not work for nobody.
    /// One that may run once only goes on: broken off it may or may not have had its effect.
    pub async fn run(&self, req: HostedRequest) -> HostReply {
        let ask = EnterAsk {
            instance: req.instance.clone(),
            id: req.id.clone(),
            fingerprint: req.fingerprint,
            rank: req.rank,
            workspace: req.workspace.clone(),
            admitted: req.admitted,
            kind: req.kind,
            inner: req.inner,
            began: req.began,
            deadline: req.deadline,
            queue_timeout: req.queue_timeout,
            cut_off: req.cut_off.clone(),
        };
        let slot = match self.controller.enter(ask).await {
            Ok(granted) => granted.guard,
            Err(refused) => return not_granted(refused),
        };
        match req.repeat {
            Idempotency::Idempotent => self.run_in_slot(req, slot, Duration::ZERO).await,
            Idempotency::AtMostOnce => {
                let host = self.clone();
                let running =
                    tokio::spawn(async move { host.run_in_slot(req, slot, ONCE_GRACE).await });
                running.await.unwrap_or_else(|_| lost())
            }
        }
    }

    async fn run_in_slot(&self, req: HostedRequest, slot: SlotGuard, grace: Duration) -> HostReply {
        let Ran { mut result, end } = self.at_target(req, grace).await;
        let left = slot.leave(end).await;
        // Told to come again, its caller would end the next target.
        if left.standing == Standing::Refused && matches!(end, RunEnd::Crashed(_)) {
            result = Err(Refused::from(Refusal::CrashesTargets));
        }
        HostReply {
            result,
            report: left.report,
        }
    }

    async fn at_target(&self, mut req: HostedRequest, grace: Duration) -> Ran {
        match self.exchanged(&mut req, grace).await {
            Ok(exchanged) => {
                let end = match exchanged.answer.ended_well(self.dialect.not_run) {
                    true => RunEnd::Answered,
                    false => RunEnd::Other,
                };
                let result = self.judge(&req, exchanged);
                Ran { result, end }
            }
            Err(NoAnswer { refused, crash }) => Ran {
                result: Err(refused),
                end: crash.map_or(RunEnd::Other, RunEnd::Crashed),
            },
        }
    }

    async fn exchanged(
        &self,
        req: &mut HostedRequest,
        grace: Duration,
    ) -> Result<Exchanged, NoAnswer> {
        let careful = req.repeat == Idempotency::AtMostOnce;
        let kept = self.pool.take(careful);
        let conn = match kept {
            Some(conn) => conn,
            None => self
                .pool
                .connect()
                .await
                .map_err(|e| self.failed(req, Refusal::NoInstance, &e.to_string()))?,
        };
        // The clock counts suspensions, the runtime's timers don't: the last look before the request leaves the node.
        let left = req.deadline.saturating_duration_since(self.clock.now());
        if left.is_zero() {
            return Err(Refused::from(Refusal::ExpiredUnsent).into());
        }
        let body = std::mem::replace(&mut req.body, Body::empty());
        let wire = WireRequest::new(req, left, &self.dialect);
        let exchanged = exchange(conn, &self.pool, wire, body, &self.dialect);
        match timeout(left + grace, exchanged).await {
            Ok(Ok(exchanged)) => Ok(exchanged),
            Ok(Err(ExchangeFault::CallerCut)) => Err(Refused::from(Refusal::CallerGone).into()),
            Ok(Err(fault @ ExchangeFault::Closed(_))) => {
                Err(self.lost(req, Refusal::Lost, &fault).await)
            }
            Ok(Err(fault @ ExchangeFault::Broken(_))) => {
                Err(self.lost(req, Refusal::BrokenAnswer, &fault).await)
            }
            Err(_) => Err(Refused::from(Refusal::Expired).into()),
        }
    }

    /// A request without a whole answer, and whether the target has ended under it.
    async fn lost(&self, req: &HostedRequest, refusal: Refusal, fault: &ExchangeFault) -> NoAnswer {
        let crash = self.pool.crash(self.clock.now()).await;
        if let Some(crash) = crash {
            let Self { journal, .. } = self;
            journal.crashed_under(&req.id, req.fingerprint, &req.instance, crash);
        }
        NoAnswer {
            refused: self.failed(req, refusal, &fault.to_string()),
            crash,
        }
    }

    /// Decides whether an answer may be passed on.
    fn judge(&self, req: &HostedRequest, exchanged: Exchanged) -> Result<TargetAnswer, Refused> {
        let status = exchanged.answer.status;
        if status == StatusCode::MISDIRECTED_REQUEST {
            return Err(self.failed(req, Refusal::WrongInstance, "another instance answers"));
        }
        if exchanged.not_run && status != StatusCode::BAD_REQUEST {
            return Err(self.failed(req, Refusal::TargetRefused, status.as_str()));
        }
        // A success that the target did not sign is not its own; a caller would take foreign bytes for its answer.
        if status.is_success() && !exchanged.signed {
            return Err(self.failed(req, Refusal::BrokenAnswer, "an unsigned success"));
        }
        // These statuses promise that nothing ran, and without its mark the target has not said so.
        if promises_not_run(status) {
            return Err(self.failed(req, Refusal::BrokenAnswer, status.as_str()));
        }
        Ok(exchanged.answer)
    }

    fn failed(&self, req: &HostedRequest, refusal: Refusal, detail: &str) -> Refused {
        self.journal.target_failed(
            &req.id,
            req.fingerprint,
            &req.instance,
            refusal.as_str(),
            detail,
        );
        Refused::from(refusal)
    }
}

/// Statuses by which callers know that a request has not run and never will.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

fn not_granted(not: NotGranted) -> HostReply {
    HostReply {
        result: Err(Refused {
            refusal: not.refusal,
            retry_after: not.retry_after,
        }),
        report: not.report,
    }
}

/// The task that ran the request has ended without a reply, which only a defect causes: nothing is known.
fn lost() -> HostReply {
    HostReply {
        result: Err(Refused::from(Refusal::Lost)),
        report: Report::default(),
    }
}
