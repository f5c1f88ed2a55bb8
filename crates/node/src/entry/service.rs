//! Answers the HTTP requests of callers and of the node's own target.

use std::sync::Arc;
use std::time::Instant;

use coltsfootport_core::allowance::Allowance;
use coltsfootport_core::class::Class;
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::id::{RequestId, ServiceName};
use coltsfootport_core::once::{Identity, Try};
use coltsfootport_core::timeline::Event;
use http::{HeaderMap, Method, Request, Response};
use hyper::body::Incoming;
use smol_str::SmolStr;
use tokio::sync::watch;

use super::tokens::TokenIssuer;
use super::{Budget, Dispatcher, Inbound, Origin, Outgoing};
use crate::clock::SharedClock;
use crate::data::{AttemptId, Call, OnceCall, Refused, Verdict};
use crate::gate::{ContextHandle, GateHandle, Parent};
use crate::http::{
    BodyError, CallerConnection, HttpAnswer, end_to_end, json, names, read_whole, refuse,
};
use crate::metrics::{Listener, Metrics, Rejected};
use crate::recorder::Recorder;
use crate::spread::{DocumentInForce, Published};

/// Limits of what an entry takes in.
#[derive(Clone, Copy, Debug)]
pub struct EntryLimits {
    /// Largest body in bytes.
    pub body_bytes: usize,
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
    /// The process's clock.
    pub clock: SharedClock,
    /// Where events are recorded.
    pub recorder: Recorder,
    /// Metrics of the process.
    pub metrics: Metrics,
}

/// A call with everything that decides how it is sent.
struct Prepared {
    call: Call,
    budget: Budget,
    once: Option<OnceCall>,
    identity: Identity,
}

impl EntryService {
    /// Answers a request of a caller outside the graph.
    pub async fn serve_caller(
        self,
        req: Request<Incoming>,
        connection: CallerConnection,
    ) -> Response<HttpAnswer> {
        if req.uri().path() == TOKENS_PATH {
            return self.serve_tokens(&req).await;
        }
        self.serve(req, connection, Listener::Callers).await
    }

    /// Answers a call of the node's own target.
    pub async fn serve_target(
        self,
        req: Request<Incoming>,
        connection: CallerConnection,
    ) -> Response<HttpAnswer> {
        self.serve(req, connection, Listener::Egress).await
    }

    async fn serve(
        self,
        req: Request<Incoming>,
        connection: CallerConnection,
        listener: Listener,
    ) -> Response<HttpAnswer> {
        let started = self.clock.now();
        let identity = identity_of(req.headers());
        let answered = match self.read(req).await {
            Ok(inbound) => {
                self.answer(inbound, identity, connection, listener, started)
                    .await
            }
            Err(kind) => Answered::aside(RequestId::random(), identity, kind),
        };
        let Answered { class, outgoing } = answered;
        let (outcome, error) = (outgoing.outcome(), outgoing.error());
        self.metrics.calls.answered(listener, class, outcome, error);
        let elapsed_us = self
            .clock
            .now()
            .saturating_duration_since(started)
            .as_micros() as u64;
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
        outgoing.into_response()
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
            Err(kind) => return Answered::aside(RequestId::random(), identity, kind),
        };
        let request = origin.request();
        let prepared = match self.prepare(&inbound, &origin, request, identity, started) {
            Ok(prepared) => prepared,
            Err(kind) => {
                let answered = Answered::aside(request, identity, kind);
                return self.refuse_early(answered, &inbound.service, kind).await;
            }
        };
        let class = prepared.call.class;
        // A paused process finds a request together with its caller's close; running it would serve nobody.
        if !prepared.call.idempotent && connection.is_closed() {
            return Answered::aside(request, identity, ErrorKind::Cancelled);
        }
        let event = Event::Received {
            service: inbound.service.clone(),
            class,
            depth: prepared.call.depth,
            allowance: 0,
        };
        self.recorder.record(Some(request), event);
        let outgoing = self.dispatch(prepared, &inbound, &origin).await;
        Answered { class, outgoing }
    }

    async fn dispatch(&self, prepared: Prepared, inbound: &Inbound, origin: &Origin) -> Outgoing {
        let Prepared {
            call,
            mut budget,
            once,
            identity,
        } = prepared;
        let request = call.request;
        if let Origin::Flight(parent) = origin
            && !self.may_call(parent, inbound, &mut budget).await
        {
            return Outgoing {
                ended_here: Some(identity),
                ..Outgoing::new(request, Verdict::from(ErrorKind::Shed))
            };
        }
        let service = call.service.clone();
        let held = once.is_some();
        let verdict = match once {
            Some(once) => {
                self.dispatcher
                    .send_pinned(call, once, identity, &mut budget)
                    .await
            }
            None => self.dispatcher.send(call, &mut budget).await,
        };
        let mut outgoing = Outgoing::new(request, verdict);
        if let (Origin::Flight(parent), Some(_)) = (origin, outgoing.error()) {
            self.gate
                .own_call_failed(parent.flight, inbound.fingerprint());
        }
        if held && outgoing.error().is_some_and(needs_fresh_token) {
            outgoing.token = self.tokens.issue_one(&service).await;
        }
        outgoing
    }

    /// Whether a target's own call is new or pays for its repetition.
    ///
    /// A target that retries by itself would multiply the attempts beyond the allowance of its request.
    async fn may_call(&self, parent: &Parent, inbound: &Inbound, budget: &mut Budget) -> bool {
        if !self.limits.allowance_enabled {
            return true;
        }
        if !self
            .gate
            .is_repeat(parent.flight, inbound.fingerprint())
            .await
        {
            return true;
        }
        budget.spend().await
    }

    async fn refuse_early(
        &self,
        mut answered: Answered,
        service: &ServiceName,
        kind: ErrorKind,
    ) -> Answered {
        if kind == ErrorKind::BadToken {
            self.metrics.faults.rejected(Rejected::Token);
        }
        if kind == ErrorKind::TokenRequired {
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

    fn prepare(
        &self,
        inbound: &Inbound,
        origin: &Origin,
        request: RequestId,
        identity: Identity,
        started: Instant,
    ) -> Result<Prepared, ErrorKind> {
        let DocumentInForce { revision, document } = self.document(&inbound.service)?;
        let profile = document.profile(inbound.method.as_str(), &inbound.path);
        let limit = inbound
            .time_limit()?
            .unwrap_or(profile.deadline)
            .min(profile.deadline);
        let class = origin.class(profile.class, profile.class_name);
        let once = self.once(inbound, profile.idempotent)?;
        let call = Call {
            request,
            attempt: AttemptId(0),
            service: inbound.service.clone(),
            method: inbound.method.clone(),
            path: inbound.path.clone(),
            headers: end_to_end(&inbound.headers),
            class: class.class,
            class_name: class.name,
            operation: operation_of(inbound),
            deadline: origin.deadline(started + limit),
            allowance: 0,
            depth: origin.depth(),
            idempotent: profile.idempotent,
            revision,
            once: None,
            body: inbound.body.clone(),
        };
        let budget = match origin {
            Origin::Flight(parent) if self.limits.allowance_enabled => {
                Budget::Flight(self.gate.clone(), parent.flight)
            }
            _ => Budget::Own(Allowance::new(document.retry_allowance)),
        };
        Ok(Prepared {
            call,
            budget,
            once,
            identity,
        })
    }

    fn document(&self, service: &ServiceName) -> Result<DocumentInForce, ErrorKind> {
        let published = self.published.borrow();
        if published.documents.is_empty() {
            return Err(ErrorKind::NotReady);
        }
        published
            .documents
            .get(service)
            .cloned()
            .ok_or(ErrorKind::UnknownService)
    }

    fn once(&self, inbound: &Inbound, idempotent: bool) -> Result<Option<OnceCall>, ErrorKind> {
        let number = inbound.number()?.unwrap_or(Try::FIRST);
        if let Some(text) = inbound.text(&names::TOKEN)? {
            let token = self.tokens.open(text, &inbound.service)?;
            return Ok(Some(OnceCall { token, number }));
        }
        let keyed = inbound.headers.contains_key(names::IDEMPOTENCY_KEY);
        if keyed && !idempotent {
            return Err(ErrorKind::TokenRequired);
        }
        Ok(None)
    }

    async fn serve_tokens(&self, req: &Request<Incoming>) -> Response<HttpAnswer> {
        if req.method() != Method::POST {
            return refuse(Refused::from(ErrorKind::BadRequest));
        }
        let query = TokenQuery::parse(req.uri().query().unwrap_or_default());
        let Some(query) = query else {
            return refuse(Refused::from(ErrorKind::BadRequest));
        };
        if let Err(kind) = self.document(&query.service) {
            return refuse(super::dispatcher::with_time(Refused::from(kind)));
        }
        match self.tokens.issue(&query.service, query.count).await {
            Ok(page) => {
                let count = page.tokens.len() as u32;
                let event = Event::TokenMinted {
                    service: query.service,
                    count,
                };
                self.recorder.record(None, event);
                json(serde_json::to_string(&page).unwrap_or_default())
            }
            Err(kind) => refuse(super::dispatcher::with_time(Refused::from(kind))),
        }
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
    /// A call that this entry ends before it has sent anything.
    fn aside(request: RequestId, identity: Identity, kind: ErrorKind) -> Self {
        let refused = super::dispatcher::with_time(Refused::from(kind));
        Self {
            class: Class::LOWEST,
            outgoing: Outgoing {
                ended_here: Some(identity),
                ..Outgoing::new(request, Verdict::Refused(refused))
            },
        }
    }
}

/// Whether an earlier sending of the same call may be under way, by what its caller says.
///
/// A second entry that said "not run" of a call it can't read, or has no document for, would be wrong where the first
/// sending sits in a frozen entry.
fn identity_of(headers: &HeaderMap) -> Identity {
    let number = headers.get(names::TRY).and_then(|text| text.to_str().ok());
    let number = number.and_then(|text| text.parse().ok()).map(Try);
    Identity::of(headers.contains_key(names::TOKEN), number)
}

struct TokenQuery {
    service: ServiceName,
    count: usize,
}

impl TokenQuery {
    fn parse(query: &str) -> Option<Self> {
        let mut service = None;
        let mut count = 1;
        for pair in query.split('&') {
            match pair.split_once('=')? {
                ("service", name) => service = Some(ServiceName::from(name)),
                ("count", number) => count = number.parse().ok().filter(|count| *count > 0)?,
                _ => return None,
            }
        }
        Some(Self {
            service: service?,
            count,
        })
    }
}

/// Whether the caller's token is of no more use after this error.
fn needs_fresh_token(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::NoTarget | ErrorKind::Leaving | ErrorKind::TableFull
    )
}

/// The operation by which levels of the subtree are kept: the method and the first segment of the path.
fn operation_of(inbound: &Inbound) -> SmolStr {
    let path = inbound.path.split('?').next().unwrap_or_default();
    let first = path
        .trim_start_matches('/')
        .split('/')
        .next()
        .unwrap_or_default();
    let first: String = first.chars().take(LONGEST_OPERATION).collect();
    SmolStr::from(format!("{} {first}", inbound.method))
}

const LONGEST_OPERATION: usize = 24;
