//! Runs requests at the local target.

use std::sync::Arc;
use std::time::Duration;

use coltsfootport_core::mesh::{Announcement, Dialect, Idempotency, Refusal};
use coltsfootport_core::quarantine::SuspicionLevel;
use http::StatusCode;
use tokio::time::timeout;

use crate::clock::SharedClock;
use crate::mesh::call::{Body, HostReply, HostedRequest, Refused, Report, RunEnd, TargetAnswer};
use crate::mesh::controller::{AcquireSlotRequest, ControllerHandle, SlotGuard, SlotRefusal};
use crate::mesh::journal::Journal;
use crate::mesh::target::{
    CheckedResponse, ExchangeError, TargetConn, TargetPool, WireRequest, exchange,
};

/// Time after its deadline for which an at-most-once request keeps its slot. The target itself stops at the deadline;
/// the grace time leaves room for its response to arrive, and bounds the wait for a target that fails to stop.
const AT_MOST_ONCE_GRACE: Duration = Duration::from_millis(500);

/// Everything needed to run requests at the local target. Cheap to clone.
#[derive(Clone)]
pub struct Host {
    /// Grants slots.
    pub controller: ControllerHandle,
    /// Connections to the target.
    pub pool: TargetPool,
    /// Header names.
    pub dialect: Arc<Dialect>,
    /// Clock.
    pub clock: SharedClock,
    /// Journal in which failures are logged.
    pub journal: Journal,
}

/// The result of a run at the target.
struct RunResult {
    result: Result<TargetAnswer, Refused>,
    end: RunEnd,
    /// What the target announced, if it responded.
    announcement: Option<Announcement>,
}

/// The reason why an exchange with the target yielded no response.
struct ExchangeFailure {
    refused: Refused,
    end: RunEnd,
}

impl From<Refusal> for ExchangeFailure {
    /// Converts the reason why the wait for a response has ended.
    fn from(refusal: Refusal) -> Self {
        Self {
            refused: Refused::from(refusal),
            end: RunEnd::Unanswered,
        }
    }
}

impl Host {
    /// Runs a request, or returns the reason why it did not run.
    ///
    /// If the returned future is dropped early, an idempotent request is aborted at the target, which would otherwise
    /// work on a response that no one reads. An at-most-once request continues, since an aborted one may or may not
    /// have taken effect.
    pub async fn run(&self, req: HostedRequest) -> HostReply {
        let slot_request = AcquireSlotRequest {
            instance: req.instance.clone(),
            id: req.id.clone(),
            fingerprint: req.fingerprint,
            attempt: req.attempt,
            rank: req.rank,
            workspace: req.workspace.clone(),
            admitted_share: req.admitted_share,
            kind: req.kind,
            inner: req.inner,
            began: req.began,
            deadline: req.deadline,
            queue_timeout: req.queue_timeout,
            cut_off: req.cut_off.clone(),
        };
        let granted = match self.controller.acquire_slot(slot_request).await {
            Ok(granted) => granted,
            Err(refused) => return slot_refused(refused),
        };
        if granted.new_connection {
            self.pool.clear();
        }
        let slot = granted.guard;
        // Until something is written to the target, a request of either kind can be cancelled.
        let conn = match self.connect(&req).await {
            Ok(conn) => conn,
            Err(refused) => return not_sent(refused, slot).await,
        };
        match req.repeat {
            Idempotency::Idempotent => self.run_in_slot(req, conn, slot, Duration::ZERO).await,
            Idempotency::AtMostOnce => {
                let host = self.clone();
                let running = tokio::spawn(async move {
                    host.run_in_slot(req, conn, slot, AT_MOST_ONCE_GRACE).await
                });
                running.await.unwrap_or_else(|_| task_failed())
            }
        }
    }

    /// Takes an idle connection to the target, or opens one before the deadline of the request.
    async fn connect(&self, req: &HostedRequest) -> Result<TargetConn, Refused> {
        let at_most_once = req.repeat == Idempotency::AtMostOnce;
        if let Some(conn) = self.pool.take(at_most_once) {
            return Ok(conn);
        }
        let left = req.deadline.saturating_duration_since(self.clock.now());
        match timeout(left, self.pool.connect()).await {
            Ok(Ok(conn)) => Ok(conn),
            Ok(Err(e)) => Err(self.log_failure(req, Refusal::NoInstance, &e.to_string())),
            Err(_) => Err(Refused::from(Refusal::ExpiredUnsent)),
        }
    }

    async fn run_in_slot(
        &self,
        req: HostedRequest,
        conn: TargetConn,
        mut slot: SlotGuard,
        grace: Duration,
    ) -> HostReply {
        if matches!(req.body, Body::Whole(_)) {
            slot.mark_sent();
        }
        let fingerprint = req.fingerprint;
        let RunResult {
            mut result,
            end,
            announcement,
        } = self.run_at_target(req, conn, grace).await;
        let is_normal = |answer: &TargetAnswer| answer.shows_normal_run(self.dialect.not_run);
        let clears = result.as_ref().is_ok_and(is_normal).then_some(fingerprint);
        let outcome = match &mut result {
            Ok(TargetAnswer {
                body: Body::Stream { rx, length },
                ..
            }) => {
                let (outcome, guard) = slot.release_answering(end, clears, announcement).await;
                rx.guard(guard, *length);
                outcome
            }
            _ => slot.release(end, announcement).await,
        };
        // The refusal tells the caller not to retry: a retry would crash the next target.
        if outcome.standing == SuspicionLevel::Refused && matches!(end, RunEnd::Crashed(_)) {
            result = Err(Refused::from(Refusal::CrashesTargets));
        }
        HostReply {
            result,
            report: outcome.report,
        }
    }

    async fn run_at_target(
        &self,
        mut req: HostedRequest,
        conn: TargetConn,
        grace: Duration,
    ) -> RunResult {
        match self.exchange_with_target(&mut req, conn, grace).await {
            Ok(exchanged) => {
                let end = match exchanged.answer.completed_normally(self.dialect.not_run) {
                    true => RunEnd::Answered,
                    false => RunEnd::Other,
                };
                if let Some(invalid) = &exchanged.invalid_limit {
                    self.journal
                        .announcement_ignored(&req.id, &req.instance, invalid);
                }
                // Unsigned responses may come from elsewhere.
                let is_from_target = exchanged.signed || exchanged.not_run;
                let announcement = is_from_target.then_some(exchanged.announcement);
                let result = self.check_answer(&req, exchanged);
                RunResult {
                    result,
                    end,
                    announcement,
                }
            }
            Err(ExchangeFailure { refused, end }) => RunResult {
                result: Err(refused),
                end,
                announcement: None,
            },
        }
    }

    async fn exchange_with_target(
        &self,
        req: &mut HostedRequest,
        conn: TargetConn,
        grace: Duration,
    ) -> Result<CheckedResponse, ExchangeFailure> {
        // Last check before the request leaves the node. Unlike the runtime's timers, the clock also advances while the
        // machine is suspended.
        let left = req.deadline.saturating_duration_since(self.clock.now());
        if left.is_zero() {
            return Err(Refusal::ExpiredUnsent.into());
        }
        let body = std::mem::replace(&mut req.body, Body::empty());
        let wire = WireRequest::new(req, left, &self.dialect);
        let exchanged = exchange(conn, &self.pool, wire, body, &self.dialect, &req.account);
        match timeout(left + grace, exchanged).await {
            Ok(Ok(exchanged)) => Ok(exchanged),
            Ok(Err(ExchangeError::RequestTruncated)) => Err(Refusal::CallerGone.into()),
            Ok(Err(fault @ ExchangeError::ConnectionClosed(_))) => {
                Err(self.exchange_broken(req, Refusal::Lost, &fault).await)
            }
            Ok(Err(fault @ ExchangeError::InvalidResponse(_))) => Err(self
                .exchange_broken(req, Refusal::BrokenAnswer, &fault)
                .await),
            Err(_) => Err(Refusal::Expired.into()),
        }
    }

    /// Handles an exchange that broke off, and determines whether the target crashed during it.
    async fn exchange_broken(
        &self,
        req: &HostedRequest,
        refusal: Refusal,
        fault: &ExchangeError,
    ) -> ExchangeFailure {
        let crash = self.pool.detect_crash(self.clock.now()).await;
        if let Some(crash) = crash {
            let Self { journal, .. } = self;
            journal.target_crashed(&req.id, req.fingerprint, &req.instance, crash);
        }
        ExchangeFailure {
            refused: self.log_failure(req, refusal, &fault.to_string()),
            end: crash.map_or(RunEnd::Other, RunEnd::Crashed),
        }
    }

    /// Checks whether a response may be passed on to the caller.
    fn check_answer(
        &self,
        req: &HostedRequest,
        exchanged: CheckedResponse,
    ) -> Result<TargetAnswer, Refused> {
        let status = exchanged.answer.status;
        if status == StatusCode::MISDIRECTED_REQUEST {
            return Err(self.log_failure(req, Refusal::WrongInstance, "another instance answers"));
        }
        if exchanged.not_run && status != StatusCode::BAD_REQUEST {
            return Err(self.log_failure(req, Refusal::TargetRefused, status.as_str()));
        }
        // A success without the target's signature may come from elsewhere and must not reach the caller as the
        // response to its request.
        if status.is_success() && !exchanged.signed {
            return Err(self.log_failure(req, Refusal::BrokenAnswer, "an unsigned success"));
        }
        // These statuses guarantee that nothing ran, which the target has not confirmed without its not-run marker.
        if guarantees_not_run(status) {
            return Err(self.log_failure(req, Refusal::BrokenAnswer, status.as_str()));
        }
        Ok(exchanged.answer)
    }

    /// Logs the failure of a request at the target and converts the reason for the reply.
    fn log_failure(&self, req: &HostedRequest, refusal: Refusal, detail: &str) -> Refused {
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

/// Whether callers conclude from this status that the request has not run and never will.
fn guarantees_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Releases the slot of a request of which nothing was sent to the target.
async fn not_sent(refused: Refused, slot: SlotGuard) -> HostReply {
    HostReply {
        result: Err(refused),
        report: slot.release(RunEnd::Unanswered, None).await.report,
    }
}

fn slot_refused(refused: SlotRefusal) -> HostReply {
    HostReply {
        result: Err(Refused {
            refusal: refused.refusal,
            retry_after: refused.retry_after,
        }),
        report: refused.report,
    }
}

/// Reply for a request whose task ended without one. Only a bug causes this, and the outcome of the request is unknown.
fn task_failed() -> HostReply {
    HostReply {
        result: Err(Refused::from(Refusal::Lost)),
        report: Report::default(),
    }
}
