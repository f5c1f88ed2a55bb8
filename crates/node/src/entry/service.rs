//! Answers the HTTP requests of callers and of the node's own target.

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

use super::prepare::Prepared;
use super::tokens::TokenIssuer;
use super::{Dispatcher, Inbound, Origin, Outgoing};
use crate::clock::{SharedClock, micros};
use crate::data::{Refused, Verdict};
use crate::gate::{ContextHandle, DownstreamPermit, GateHandle};
use crate::http::{BodyError, CallerConnection, HttpAnswer, names, read_whole};
use crate::metrics::{Listener, Metrics, Rejected};
use crate::recorder::Recorder;
use crate::spread::Published;

/// Limits of what an entry takes in.
#[derive(Clone, Copy, Debug)]
pub struct EntryLimits {
    /// Largest body in bytes.
    pub body_bytes: usize,
    /// Time in which a body must arrive.
    pub body_time: Duration,
    /// Whether requests bring one allowance for their whole chain; off only for comparison, when each hop has its own.
    pub allowance_enabled: bool,
}

/// Answers HTTP requests; cheap to clone.
#[derive(Clone)]
pub struct EntryService {
    /// Sends calls to hosts.
    pub dispatcher: Dispatcher,
    /// Hands out tokens.
    pub tokens: TokenIssuer,
    /// Knows the calls in flight that the target's own calls serve.
    pub gate: GateHandle,
    /// What is published.
    pub published: watch::Receiver<Arc<Published>>,
    /// Limits.
    pub limits: EntryLimits,
    /// Places for calls at a time, which bound the memory that callers can take.
    pub places: Arc<Semaphore>,
    /// The process's clock.
    pub clock: SharedClock,
    /// Where events are recorded.
    pub recorder: Recorder,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// The node's log.
    pub log: Logger,
}

impl EntryService {
    /// Answers a request of a caller outside the graph.
    pub async fn serve_caller(
        self,
        req: Request<Incoming>,
        connection: CallerConnection,
    ) -> Response<HttpAnswer> {
        self.serve_any(req, connection, Listener::Callers).await
    }

    /// Answers a call of the node's own target.
    pub async fn serve_target(
        self,
        req: Request<Incoming>,
        connection: CallerConnection,
    ) -> Response<HttpAnswer> {
        self.serve_any(req, connection, Listener::Egress).await
    }

    async fn serve_any(
        self,
        req: Request<Incoming>,
        connection: CallerConnection,
        listener: Listener,
    ) -> Response<HttpAnswer> {
        if req.uri().path() == TOKENS_PATH {
            return Box::pin(self.serve_tokens(&req)).await;
        }
        self.serve(req, connection, listener).await
    }

    async fn serve(
        self,
        req: Request<Incoming>,
        connection: CallerConnection,
        listener: Listener,
    ) -> Response<HttpAnswer> {
        let started = self.clock.now();
        let identity = identity_of(req.headers());
        let Answered { class, outgoing } = match self.places.try_acquire() {
            Ok(_place) => {
                self.take(req, identity, connection, listener, started)
                    .await
            }
            Err(_) => Answered::aside(RequestId::random(), ErrorKind::Shed, identity),
        };
        let (outcome, error) = (outgoing.outcome(), outgoing.error());
        self.metrics.calls.answered(listener, class, outcome, error);
        let elapsed_us = micros(self.clock.now(), started);
        let event = match &outgoing.verdict {
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
        self.recorder.record(Some(outgoing.request), event);
        debug!(self.log, "request ended";
            "request" => %outgoing.request,
            "outcome" => outcome.as_str(),
            "error" => error.map(ErrorKind::as_str),
            "elapsed_us" => elapsed_us);
        outgoing.into_response()
    }

    async fn take(
        &self,
        req: Request<Incoming>,
        identity: Identity,
        connection: CallerConnection,
        listener: Listener,
        started: Instant,
    ) -> Answered {
        // A sender that stops halfway would keep its place and its buffer for ever.
        let reading = tokio::time::timeout(self.limits.body_time, self.read(req));
        match reading.await.unwrap_or(Err(ErrorKind::BadRequest)) {
            // Boxed, so that a caller that has not sent its whole body takes little memory.
            Ok(inbound) => {
                Box::pin(self.answer(inbound, identity, connection, listener, started)).await
            }
            Err(kind) => Answered::aside(RequestId::random(), kind, identity),
        }
    }

    async fn read(&self, req: Request<Incoming>) -> Result<Inbound, ErrorKind> {
        let (parts, body) = req.into_parts();
        let (service, path) = Inbound::split(&parts.uri)?;
        let body = read_whole(body, self.limits.body_bytes)
            .await
            .map_err(|e| match e {
                BodyError::TooLarge => ErrorKind::TooLarge,
                BodyError::Cut => ErrorKind::BadRequest,
            })?;
        Ok(Inbound {
            service,
            method: parts.method,
            path,
            headers: parts.headers,
            body,
        })
    }

    async fn answer(
        &self,
        inbound: Inbound,
        identity: Identity,
        connection: CallerConnection,
        listener: Listener,
        started: Instant,
    ) -> Answered {
        let origin = match self.origin(&inbound, listener).await {
            Ok(origin) => origin,
            Err(kind) => return Answered::aside(RequestId::random(), kind, identity),
        };
        let request = origin.request();
        let mut prepared = match self.prepare(&inbound, &origin, request, started) {
            Ok(prepared) => prepared,
            Err(kind) => {
                return self
                    .refuse_early(request, &inbound.service, kind, identity)
                    .await;
            }
        };
        let class = prepared.call.class;
        // A paused process finds a request together with its caller's close; running it would serve nobody.
        if !prepared.call.idempotent && connection.is_closed() {
            return Answered::aside(request, ErrorKind::Cancelled, identity);
        }
        let event = Event::Received {
            service: inbound.service.clone(),
            class,
            depth: prepared.call.depth,
            allowance: 0,
        };
        self.recorder.record(Some(request), event);
        let below = match &origin {
            Origin::Flight(parent) => Some(self.gate.downstream_started(parent.key)),
            _ => None,
        };
        let outgoing = match self.own_call(&origin, &inbound, &mut prepared).await {
            Ok(own) => {
                let outgoing = self.dispatch(prepared, identity).await;
                // A target that left while its answer was made will ask again.
                if let Some(own) = own.filter(|_| outgoing.is_success() && !connection.is_closed())
                {
                    own.succeeded();
                }
                outgoing
            }
            Err(kind) => Outgoing::new(request, Verdict::Refused(Refused::unsent(kind, identity))),
        };
        if let Some(below) = below.filter(|_| outgoing.is_success()) {
            below.succeeded();
        }
        Answered { class, outgoing }
    }

    async fn dispatch(&self, prepared: Prepared, identity: Identity) -> Outgoing {
        let Prepared {
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
        let mut outgoing = Outgoing::new(request, verdict);
        if identity != Identity::None && needs_fresh_token(&outgoing) {
            outgoing.token = self.tokens.issue_one(&service).await;
        }
        outgoing
    }

    /// Lets a target's own call begin, which is new or pays for its repetition.
    ///
    /// A target that retries by itself would multiply the attempts beyond the allowance of its request.
    async fn own_call(
        &self,
        origin: &Origin,
        inbound: &Inbound,
        prepared: &mut Prepared,
    ) -> Result<Option<DownstreamPermit>, ErrorKind> {
        let Origin::Flight(parent) = origin else {
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

    async fn refuse_early(
        &self,
        request: RequestId,
        service: &ServiceName,
        kind: ErrorKind,
        identity: Identity,
    ) -> Answered {
        if kind == ErrorKind::BadToken {
            self.metrics.faults.rejected(Rejected::Token);
        }
        let mut answered = Answered::aside(request, kind, identity);
        let refused_token = identity != Identity::None && needs_fresh_token(&answered.outgoing);
        if kind == ErrorKind::TokenRequired || refused_token {
            answered.outgoing.token = self.tokens.issue_one(service).await;
        }
        answered
    }

    async fn origin(&self, inbound: &Inbound, listener: Listener) -> Result<Origin, ErrorKind> {
        if listener != Listener::Egress {
            return Ok(Origin::Caller);
        }
        let Some(text) = inbound.text(&names::CONTEXT)? else {
            self.metrics.calls.without_context();
            return Ok(Origin::Uncontexted);
        };
        let handle: ContextHandle = text.parse().map_err(|_| ErrorKind::UnknownContext)?;
        let parent = self
            .gate
            .parent(handle)
            .await
            .ok_or(ErrorKind::UnknownContext)?;
        Ok(Origin::Flight(parent))
    }
}

/// Path under which callers ask for tokens.
const TOKENS_PATH: &str = "/coltsfootport/tokens";

/// An answer with the class that it is counted under.
struct Answered {
    class: Class,
    outgoing: Outgoing,
}

impl Answered {
    /// The end of a call of which nothing was sent.
    fn aside(request: RequestId, kind: ErrorKind, identity: Identity) -> Self {
        let refused = Refused::unsent(kind, identity);
        Self {
            class: Class::LOWEST,
            outgoing: Outgoing::new(request, Verdict::Refused(refused)),
        }
    }
}

/// What the headers say of whether the caller holds a token and has sent it before.
fn identity_of(headers: &HeaderMap) -> Identity {
    let number = headers.get(names::TRY);
    let number = number.and_then(|value| value.to_str().ok()?.parse().ok());
    Identity::of(headers.contains_key(names::TOKEN), number.map(Try))
}

/// Whether the caller's token is of no more use, and the call is known not to have run.
///
/// After any other outcome a fresh token would invite a second run.
fn needs_fresh_token(outgoing: &Outgoing) -> bool {
    outgoing.outcome() == Outcome::NotRun
        && matches!(
            outgoing.error(),
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
