//! The next step after the reply of a host.

use coltsfootport_core::mesh::{Idempotency, Refusal, SendOutcome};

use super::{AttemptResult, Attempts, Step};
use crate::mesh::call::{Body, HostReply, Refused, Report};
use crate::mesh::controller::{RetryRequest, SendGuard};
use crate::mesh::target::announces_leaving;

/// Maximum number of reroutes of a request after hosts refused it without involving their targets. Each one costs a
/// round trip between nodes, and more of them would only shift the load of an overloaded service around.
const MAX_REROUTES: usize = 2;

impl Attempts<'_> {
    pub(super) async fn handle_reply(&mut self, reply: HostReply, mut guard: SendGuard) -> Step {
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
                let clears = answer.shows_normal_run(self.entry.dialect.not_run);
                if let Body::Stream { rx, length } = &mut answer.body {
                    rx.guard(guard.answer_guard(clears), *length);
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
    pub(super) fn reroute(&mut self, refusal: Refusal) -> Step {
        self.reroutes += 1;
        match self.reroutes <= MAX_REROUTES {
            true => Step::Retry(Err(Refused::from(refusal))),
            false => Step::Finish(Err(Refused::from(refusal))),
        }
    }

    /// Next step after a target failed: a retry if it is safe, allowed by the route and covered by the retry budget.
    pub(super) async fn retry_after_failure(
        &self,
        result: AttemptResult,
        may_have_run: bool,
    ) -> Step {
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
}
