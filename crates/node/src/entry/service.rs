//! Serves HTTP requests of callers and of the node's own target.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootport_core::class::Class;
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::id::{RequestId, ServiceName};
use coltsfootport_core::once::{Identity, Try};
use coltsfootport_core::outcome::Outcome;
use coltsfootport_core::timeline::Event;
use http::{HeaderMap, Request, Response};
use hyper::body::Incoming;
use slog::{Logger, debug};
use tokio::sync::{Semaphore, watch};

use super::prepare::PreparedCall;
use super::tokens::TokenIssuer;
use super::{CallerResponse, Dispatcher, InboundCall, Origin};
use crate::clock::{SharedClock, elapsed_micros};
use crate::data::{Refused, Verdict};
use crate::gate::{ContextHandle, DownstreamPermit, GateHandle};
use crate::http::{BodyError, CallerConnection, ResponseBody, names, read_to_end};
use crate::metrics::{Listener, Metrics, RejectedInput};
use crate::recorder::Recorder;
use crate::spread::Published;

/// Limits on the requests that an entry accepts.
#[derive(Clone, Copy, Debug)]
pub struct EntryLimits {
    /// Maximum size of a body in bytes.
    pub body_bytes: usize,
    /// Time within which the complete body must arrive.
    pub body_timeout: Duration,
    /// Whether a request has one retry allowance for its whole call chain. If disabled, each hop has its own; this
    /// serves only for comparison.
    pub allowance_enabled: bool,
}

/// Serves HTTP requests; cheap to clone.
#[derive(Clone)]
pub struct EntryService {
    /// Sends calls to hosts.
    pub dispatcher: Dispatcher,
    /// Issues tokens.
    pub tokens: TokenIssuer,
    /// Holds the calls in flight on whose behalf the target makes calls.
    pub gate: GateHandle,
    /// Published documents and instances.
    pub published: watch::Receiver<Arc<Published>>,
    /// Limits on accepted requests.
    pub limits: EntryLimits,
    /// Limits the number of concurrent calls and so the memory that callers can occupy.
    pub call_slots: Arc<Semaphore>,
    /// Clock of the process.
    pub clock: SharedClock,
    /// Records the events of the timeline.
    pub recorder: Recorder,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Log of the node.
    pub log: Logger,
}

impl EntryService {
    /// Serves a request of a caller outside the call graph.
    pub async fn serve_caller(
        self,
        req: Request<Incoming>,
        connection: CallerConnection,
    ) -> Response<ResponseBody> {
        self.serve(req, connection, Listener::Callers).await
    }

    /// Serves a call of the node's own target.
    pub async fn serve_target(
        self,
        req: Request<Incoming>,
        connection: CallerConnection,
    ) -> Response<ResponseBody> {
        self.serve(req, connection, Listener::Egress).await
    }

    async fn serve(
        self,
        req: Request<Incoming>,
        connection: CallerConnection,
        listener: Listener,
    ) -> Response<ResponseBody> {
        if req.uri().path() == TOKENS_PATH {
            return Box::pin(self.serve_tokens(&req)).await;
        }
        self.serve_call(req, connection, listener).await
    }

    async fn serve_call(
        self,
        req: Request<Incoming>,
        connection: CallerConnection,
        listener: Listener,
    ) -> Response<ResponseBody> {
        let started = self.clock.now();
        let identity = identity_of(req.headers());
        let ClassifiedResponse { class, response } = match self.call_slots.try_acquire() {
            Ok(_slot) => {
                self.read_and_answer(req, identity, connection, listener, started)
                    .await
            }
            Err(_) => ClassifiedResponse::unsent(RequestId::random(), ErrorKind::Shed, identity),
        };
        let (outcome, error) = (response.outcome(), response.error());
        self.metrics
            .calls
            .record_answer(listener, class, outcome, error);
        let elapsed_us = elapsed_micros(self.clock.now(), started);
        let event = match &response.verdict {
            Verdict::Answered(answer) => Event::Answered {
                status: answer.status.as_u16(),
                elapsed_us,
                allowance: 0,
            },
            Verdict::Refused(refused) => Event::Refused {
                error: refused.kind,
                elapsed_us,
            },
        };
        self.recorder.record(Some(response.request), event);
        debug!(self.log, "request ended";
            "request" => %response.request,
            "outcome" => outcome.as_str(),
            "error" => error.map(ErrorKind::as_str),
            "elapsed_us" => elapsed_us);
        response.into_response()
    }

    async fn read_and_answer(
        &self,
        req: Request<Incoming>,
        identity: Identity,
        connection: CallerConnection,
        listener: Listener,
        started: Instant,
    ) -> ClassifiedResponse {
        // Without the timeout, a caller that stops halfway through its body would hold its slot and buffer forever.
        let reading = tokio::time::timeout(self.limits.body_timeout, self.read(req));
        match reading.await.unwrap_or(Err(ErrorKind::BadRequest)) {
            // Boxed, so that the future takes little memory until the whole body has arrived.
            Ok(inbound) => {
                Box::pin(self.answer(inbound, identity, connection, listener, started)).await
            }
            Err(kind) => {
                connection.close_after_answer();
                ClassifiedResponse::unsent(RequestId::random(), kind, identity)
            }
        }
    }

    async fn read(&self, req: Request<Incoming>) -> Result<InboundCall, ErrorKind> {
        let (parts, body) = req.into_parts();
        let (service, path) = InboundCall::split_uri(&parts.uri)?;
        let body = read_to_end(body, self.limits.body_bytes)
            .await
            .map_err(|e| match e {
                BodyError::TooLarge => ErrorKind::TooLarge,
                BodyError::Truncated => ErrorKind::BadRequest,
            })?;
        Ok(InboundCall {
            service,
            method: parts.method,
            path,
            headers: parts.headers,
            body,
        })
    }

    async fn answer(
        &self,
        inbound: InboundCall,
        identity: Identity,
        connection: CallerConnection,
        listener: Listener,
        started: Instant,
    ) -> ClassifiedResponse {
        let origin = match self.origin(&inbound, listener).await {
            Ok(origin) => origin,
            Err(kind) => return ClassifiedResponse::unsent(RequestId::random(), kind, identity),
        };
        let request = origin.request();
        let mut prepared = match self.prepare(&inbound, &origin, request, started) {
            Ok(prepared) => prepared,
            Err(kind) => {
                return self
                    .refuse_unprepared(request, &inbound.service, kind, identity)
                    .await;
            }
        };
        let class = prepared.call.class;
        // A process that was paused may read a request whose caller has closed the connection in the meantime. Nobody
        // would receive the answer.
        if !prepared.call.idempotent && connection.is_closed() {
            return ClassifiedResponse::unsent(request, ErrorKind::Cancelled, identity);
        }
        let event = Event::Received {
            service: inbound.service.clone(),
            class,
            depth: prepared.call.depth,
            allowance: 0,
        };
        self.recorder.record(Some(request), event);
        let downstream = match &origin {
            Origin::InFlight(parent) => Some(self.gate.downstream_started(parent.key)),
            _ => None,
        };
        let response = match self.own_call(&origin, &inbound, &mut prepared).await {
            Ok(own) => {
                let response = self.dispatch(prepared, identity).await;
                // A target that closed the connection in the meantime did not receive the answer and will repeat the
                // call.
                if let Some(own) = own.filter(|_| response.is_success() && !connection.is_closed())
                {
                    own.succeeded();
                }
                response
            }
            Err(kind) => {
                CallerResponse::new(request, Verdict::Refused(Refused::unsent(kind, identity)))
            }
        };
        if let Some(downstream) = downstream.filter(|_| response.is_success()) {
            downstream.succeeded();
        }
        ClassifiedResponse { class, response }
    }

    async fn dispatch(&self, prepared: PreparedCall, identity: Identity) -> CallerResponse {
        let PreparedCall {
            call,
            mut budget,
            once,
        } = prepared;
        let request = call.request;
        let service = call.service.clone();
        let verdict = match once {
            Some(once) => {
                self.dispatcher
                    .send_pinned(call, once, identity, &mut budget)
                    .await
            }
            None => self.dispatcher.send(call, &mut budget).await,
        };
        let mut response = CallerResponse::new(request, verdict);
        if identity != Identity::None && needs_fresh_token(&response) {
            response.token = self.tokens.issue_one(&service).await;
        }
        response
    }

    /// Registers a call that the target makes on behalf of a call in flight, and charges a repetition to the retry
    /// budget.
    ///
    /// Otherwise a target that retries by itself would multiply the attempts beyond the retry allowance of its request.
    async fn own_call(
        &self,
        origin: &Origin,
        inbound: &InboundCall,
        prepared: &mut PreparedCall,
    ) -> Result<Option<DownstreamPermit>, ErrorKind> {
        let Origin::InFlight(parent) = origin else {
            return Ok(None);
        };
        if !self.limits.allowance_enabled {
            return Ok(None);
        }
        let begun = self
            .gate
            .downstream_permit(parent.key, inbound.fingerprint());
        let own = tokio::time::timeout_at(prepared.call.deadline.into(), begun)
            .await
            .map_err(|_| ErrorKind::ExpiredBeforeDispatch)?
            .ok_or(ErrorKind::UnknownContext)?;
        if own.is_repeat() && !prepared.budget.spend().await {
            return Err(ErrorKind::Shed);
        }
        Ok(Some(own))
    }

    async fn refuse_unprepared(
        &self,
        request: RequestId,
        service: &ServiceName,
        kind: ErrorKind,
        identity: Identity,
    ) -> ClassifiedResponse {
        if kind == ErrorKind::BadToken {
            self.metrics.faults.record_rejected(RejectedInput::Token);
        }
        let mut refusal = ClassifiedResponse::unsent(request, kind, identity);
        let refused_token = identity != Identity::None && needs_fresh_token(&refusal.response);
        if kind == ErrorKind::TokenRequired || refused_token {
            refusal.response.token = self.tokens.issue_one(service).await;
        }
        refusal
    }

    async fn origin(&self, inbound: &InboundCall, listener: Listener) -> Result<Origin, ErrorKind> {
        if listener != Listener::Egress {
            return Ok(Origin::Caller);
        }
        let Some(text) = inbound.single_header(&names::CONTEXT)? else {
            self.metrics.calls.record_call_without_context();
            return Ok(Origin::WithoutContext);
        };
        let handle: ContextHandle = text.parse().map_err(|_| ErrorKind::UnknownContext)?;
        let parent = self
            .gate
            .parent(handle)
            .await
            .ok_or(ErrorKind::UnknownContext)?;
        Ok(Origin::InFlight(parent))
    }
}

/// Path of the token endpoint.
const TOKENS_PATH: &str = "/coltsfootport/tokens";

/// Response with the class under which it is counted in the metrics.
struct ClassifiedResponse {
    class: Class,
    response: CallerResponse,
}

impl ClassifiedResponse {
    /// Creates the response to a call of which nothing was sent, counted under the lowest class.
    fn unsent(request: RequestId, kind: ErrorKind, identity: Identity) -> Self {
        let refused = Refused::unsent(kind, identity);
        Self {
            class: Class::LOWEST,
            response: CallerResponse::new(request, Verdict::Refused(refused)),
        }
    }
}

/// Determines from the headers whether the call carries a token and whether that may have been sent before.
fn identity_of(headers: &HeaderMap) -> Identity {
    let number = headers.get(names::TRY);
    let number = number.and_then(|value| value.to_str().ok()?.parse().ok());
    Identity::of(headers.contains_key(names::TOKEN), number.map(Try))
}

/// Returns whether the caller's token can no longer be used and the call is known not to have run.
///
/// After any other outcome, a new token could make the call run a second time.
fn needs_fresh_token(response: &CallerResponse) -> bool {
    response.outcome() == Outcome::NotRun
        && matches!(
            response.error(),
            Some(
                ErrorKind::NoTarget
                    | ErrorKind::Leaving
                    | ErrorKind::TableFull
                    | ErrorKind::TokenRefused
                    | ErrorKind::HomeLost
                    | ErrorKind::BadToken
                    | ErrorKind::TokenExpired
            )
        )
}
