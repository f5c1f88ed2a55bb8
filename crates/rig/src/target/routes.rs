//! HTTP routes of the stand-in target.

use std::future;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use hyper::body::Incoming;
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::http::{Answer, AnswerBody, Handled, Query, empty, json, read_body, text};
use crate::target::egress::{CONTEXT_HEADER, Egress, ParentCall};
use crate::target::owner::Command;
use crate::target::run::{CallId, Run, RunEnd};
use crate::target::slots::Waiter;
use crate::target::{DownstreamEcho, Echo, KEY_HEADER, Settings};
use crate::timer;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Header with the class of a call.
const CLASS_HEADER: &str = "coltsfootport-class";

/// State shared by all request handlers.
#[derive(Clone, Debug)]
pub struct Context {
    /// Sends commands to the owner of the target's state.
    pub owner: mpsc::UnboundedSender<Command>,
    /// Client for downstream calls.
    pub egress: Egress,
    /// The service that the target runs.
    pub service: SmolStr,
}

/// Handles a request. Dropping the future cancels the call.
pub async fn handle(cx: Context, req: Request<Incoming>) -> Handled {
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/health") => health(&cx).await.into(),
        (&Method::GET, "/load") => json_or_error(query_owner(&cx, Command::Load).await).into(),
        (&Method::GET, "/counts") => counts(&cx, req.uri()).await.into(),
        (&Method::GET, "/settings") => settings(&cx).await.into(),
        (&Method::PUT, "/settings") => configure(&cx, req).await.into(),
        (&Method::POST, "/drain") => json_or_error(query_owner(&cx, Command::Drain).await).into(),
        _ => call(cx, req).await.into(),
    }
}

async fn health(cx: &Context) -> Answer {
    match query_owner(cx, Command::Health).await {
        Some(true) => text(StatusCode::OK, "healthy"),
        Some(false) | None => text(StatusCode::SERVICE_UNAVAILABLE, "unhealthy"),
    }
}

/// `?keys=repeated` omits keys with at most one run, `?keys=none` omits all keys.
async fn counts(cx: &Context, uri: &Uri) -> Answer {
    let Some(mut counts) = query_owner(cx, Command::Counts).await else {
        return empty(StatusCode::INTERNAL_SERVER_ERROR);
    };
    match Query::of(uri).get("keys") {
        Some("none") => counts.keys.clear(),
        Some("repeated") => counts.keys.retain(|_, runs| runs.started > 1),
        _ => {}
    }
    json(StatusCode::OK, &counts)
}

async fn settings(cx: &Context) -> Answer {
    match query_owner(cx, Command::Settings).await {
        Some(settings) => json(StatusCode::OK, &*settings),
        None => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

async fn configure(cx: &Context, req: Request<Incoming>) -> Answer {
    let Some(body) = read_body(req.into_body(), MAX_BODY_BYTES).await else {
        return empty(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let Some(current) = query_owner(cx, Command::Settings).await else {
        return empty(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let patched = match current.with_patch(&body) {
        Ok(patched) => patched,
        Err(e) => return text(StatusCode::BAD_REQUEST, &e.to_string()),
    };
    let answer = json(StatusCode::OK, &patched);
    match cx.owner.send(Command::Configure(Box::new(patched))) {
        Ok(()) => answer,
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

async fn call(cx: Context, req: Request<Incoming>) -> Answer {
    let (parts, body) = req.into_parts();
    let Some(body) = read_body(body, MAX_BODY_BYTES).await else {
        return empty(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let id = CallId {
        key: header_text(&parts.headers, KEY_HEADER),
        class: header_text(&parts.headers, CLASS_HEADER),
    };
    let slot = query_owner(&cx, |reply| Command::Arrived(Waiter { id, reply })).await;
    let Some(run) = slot.flatten() else {
        return text(StatusCode::SERVICE_UNAVAILABLE, "no slot");
    };
    if !run.plan.settings.ignore_cancel {
        return work(cx, run, parts, body).await;
    }
    // A separate task keeps running when the connection closes and this future is dropped.
    let worker = tokio::spawn(work(cx, run, parts, body));
    worker
        .await
        .unwrap_or_else(|_| empty(StatusCode::INTERNAL_SERVER_ERROR))
}

async fn work(cx: Context, mut run: Run, parts: Parts, body: Bytes) -> Answer {
    run.begin(Instant::now());
    let settings = run.plan.settings.clone();
    if settings.hang {
        return future::pending().await;
    }
    timer::sleep(run.plan.work).await;
    run.work_done(Instant::now());

    let mut echo = echo(&cx.service, &parts, &body, &settings);
    let parent = ParentCall {
        key: echo.key.clone(),
        context: parts.headers.get(CONTEXT_HEADER).cloned(),
    };
    echo.downstream = cx.egress.call_all(&parent, &echo.path, &settings).await;

    let status = status(run.plan.fails, &echo.downstream, &settings);
    run.end(if status.is_success() {
        RunEnd::Finished
    } else {
        RunEnd::Failed
    });
    truncate(json(status, &echo), &echo, &settings)
}

fn status(fails: bool, downstream: &[DownstreamEcho], settings: &Settings) -> StatusCode {
    if fails {
        return StatusCode::INTERNAL_SERVER_ERROR;
    }
    let any_failed = downstream.iter().any(|nested| !nested.is_success());
    match settings.downstream_required && any_failed {
        true => StatusCode::BAD_GATEWAY,
        false => StatusCode::OK,
    }
}

fn echo(service: &SmolStr, parts: &Parts, body: &Bytes, settings: &Settings) -> Echo {
    Echo {
        service: service.clone(),
        key: header_text(&parts.headers, KEY_HEADER),
        method: parts.method.as_str().into(),
        path: parts
            .uri
            .path_and_query()
            .map(ToString::to_string)
            .unwrap_or_default(),
        body_bytes: body.len(),
        body_crc32: crc32fast::hash(body),
        downstream: Vec::new(),
        padding_bytes: settings.answer_bytes,
        padding: "x".repeat(settings.answer_bytes),
    }
}

fn truncate(answer: Answer, echo: &Echo, settings: &Settings) -> Answer {
    let Some(sent) = settings.truncate_bytes else {
        return answer;
    };
    let Ok(body) = serde_json::to_vec(echo) else {
        return answer;
    };
    answer.map(|_| AnswerBody::truncated(body, sent))
}

fn header_text(headers: &HeaderMap, name: &str) -> SmolStr {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.map(SmolStr::from).unwrap_or_default()
}

fn json_or_error<T>(value: Option<T>) -> Answer
where
    T: serde::Serialize,
{
    match value {
        Some(value) => json(StatusCode::OK, &value),
        None => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

async fn query_owner<T, C>(cx: &Context, command: C) -> Option<T>
where
    C: FnOnce(oneshot::Sender<T>) -> Command,
{
    let (tx, rx) = oneshot::channel();
    cx.owner.send(command(tx)).ok()?;
    rx.await.ok()
}
