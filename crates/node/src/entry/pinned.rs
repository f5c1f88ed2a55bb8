//! Calls with a token, which run at the home of the token or not at all.

use std::sync::Arc;
use std::time::Duration;

use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::once::{Identity, Refusal};
use coltsfootport_core::routing::RouteResult;
use http::StatusCode;

use super::RetryBudget;
use super::dispatcher::{Attempt, Dispatcher};
use crate::data::{Answer, Call, OnceCall, Refused, Verdict};
use crate::routes::Route;
use crate::wire::{ControlReply, ControlRequest, HeaderFrame, RefusalFrame};

impl Dispatcher {
    /// Sends a call with a token supplied by its caller. The call is never rerouted to another home.
    ///
    /// If it were, the caller's next try with the same token would reach the first home, which would report "not run"
    /// for a call that ran at the second.
    pub async fn send_pinned(
        &self,
        mut call: Call,
        once: OnceCall,
        identity: Identity,
        budget: &mut RetryBudget,
    ) -> Verdict {
        call.once = Some(once.clone());
        match self.attempt_at_home(&mut call, &once, budget).await {
            Attempt::Replied(reply) => reply.verdict,
            Attempt::NotSent => Verdict::Refused(Refused::unsent(ErrorKind::NoTarget, identity)),
            Attempt::Lost => self.retry_at_home(&mut call, budget).await,
            Attempt::Expired => self.resolve_outcome(&call).await,
        }
    }

    /// Repeats a call with a token after its reply was lost, and returns the verdict on it.
    ///
    /// The home recognizes the token and the try number, so that the repetition joins the running call or receives the
    /// stored answer.
    pub(super) async fn retry_at_home(&self, call: &mut Call, budget: &mut RetryBudget) -> Verdict {
        let Some(once) = call.once.clone() else {
            return Verdict::from(ErrorKind::AnswerLost);
        };
        while self.may_repeat(call, budget).await {
            match self.attempt_at_home(call, &once, budget).await {
                Attempt::Replied(reply) => return reply.verdict,
                Attempt::Lost => {}
                Attempt::NotSent | Attempt::Expired => break,
            }
        }
        self.resolve_outcome(call).await
    }

    async fn attempt_at_home(
        &self,
        call: &mut Call,
        once: &OnceCall,
        budget: &mut RetryBudget,
    ) -> Attempt {
        match self.setup.routes.home(&once.token).await {
            Some(route) => self.attempt(call, route, budget).await,
            None => Attempt::NotSent,
        }
    }

    /// Asks the home for the outcome of a call whose reply was lost or late, and makes it refuse the call if that did
    /// not run.
    pub(super) async fn resolve_outcome(&self, call: &Call) -> Verdict {
        let Some(once) = &call.once else {
            return Verdict::from(ErrorKind::AnswerLost);
        };
        let refusal = self.refuse_at_home(once).await;
        match refusal {
            Refusal::Ran(answer) => Verdict::Answered(Answer {
                replayed: true,
                ..(*answer).clone()
            }),
            Refusal::RefusedForGood => {
                Verdict::Refused(Refused::from(ErrorKind::TokenRefused).with_default_retry_after())
            }
            Refusal::AnswerGone => Verdict::from(ErrorKind::AnswerGone),
            Refusal::Running => Verdict::from(ErrorKind::ExpiredInFlight),
            Refusal::Unknown => Verdict::from(ErrorKind::HomeLost),
        }
    }

    async fn refuse_at_home(&self, once: &OnceCall) -> Refusal<Arc<Answer>> {
        let Some(route) = self.setup.routes.home(&once.token).await else {
            return Refusal::Unknown;
        };
        let refusal = self
            .request_refusal(&route, once)
            .await
            .unwrap_or(Refusal::Unknown);
        route.guard.finish(RouteResult::Cancelled, None);
        refusal
    }

    async fn request_refusal(
        &self,
        route: &Route,
        once: &OnceCall,
    ) -> Option<Refusal<Arc<Answer>>> {
        if route.node == self.setup.node {
            return Some(
                self.setup
                    .host
                    .refuse(once.token.clone(), once.number)
                    .await,
            );
        }
        let exchange = async {
            let link = self
                .setup
                .hub
                .link_to_home(&route.node, route.address)
                .await?;
            let request = ControlRequest::Refuse {
                token: once.token.clone(),
                up_to: once.number.0,
            };
            match link.control(request, REFUSE_TIMEOUT).await.ok()? {
                ControlReply::Refuse(frame) => refusal_from_frame(frame),
                _ => None,
            }
        };
        tokio::time::timeout(REFUSE_TIMEOUT, exchange)
            .await
            .ok()
            .flatten()
    }

    async fn may_repeat(&self, call: &Call, budget: &mut RetryBudget) -> bool {
        self.setup.clock.now() < call.deadline && budget.spend().await
    }
}

/// Time to wait for the home's response to a refusal request; short, so that a caller whose call was given up gets its
/// response without further delay.
const REFUSE_TIMEOUT: Duration = Duration::from_millis(250);

fn refusal_from_frame(frame: RefusalFrame) -> Option<Refusal<Arc<Answer>>> {
    Some(match frame {
        RefusalFrame::Running => Refusal::Running,
        RefusalFrame::Ran {
            status,
            headers,
            body,
        } => Refusal::Ran(Arc::new(Answer {
            status: StatusCode::from_u16(status).ok()?,
            headers: HeaderFrame::into_map(headers).ok()?,
            body: body.into(),
            replayed: true,
        })),
        RefusalFrame::AnswerGone => Refusal::AnswerGone,
        RefusalFrame::Unknown => Refusal::Unknown,
        RefusalFrame::RefusedForGood => Refusal::RefusedForGood,
    })
}
