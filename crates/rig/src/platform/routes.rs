//! HTTP routes of the stand-in platform.

use std::time::Duration;

use http::{Method, Request, StatusCode, Uri};
use hyper::body::Incoming;
use serde::Serialize;
use smol_str::SmolStr;
use tokio::sync::oneshot;
use tokio::time::{Instant, timeout_at};

use crate::http::{Answer, Handled, Query, empty, json, read_body, text};
use crate::platform::owner::{Call, Command, OwnerHandle, ReadAnswer, ReadKind};
use crate::platform::{FaultRequest, Instance};

/// Maximum size of a configuration value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Maximum size of an instance list, in bytes.
const MAX_INSTANCES_BYTES: usize = 16 << 20;

/// Maximum body size of a fault request, in bytes.
const MAX_FAULT_BYTES: usize = 4096;

/// Maximum wait time of a watch.
const MAX_WAIT: Duration = Duration::from_secs(600);

/// Handles a request.
pub async fn handle(owner: OwnerHandle, req: Request<Incoming>) -> Handled {
    let path = req.uri().path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::GET, "/config") => read(owner, ReadKind::Config, req.uri()).await,
        (&Method::GET, "/instances") => read(owner, ReadKind::Instances, req.uri()).await,
        (&Method::GET, "/counts") => {
            json_or_error(query_owner(&owner, Command::Counts).await).into()
        }
        (&Method::PUT, "/instances") => put_instances(owner, req).await.into(),
        (&Method::POST, "/fault") => set_fault(owner, req).await.into(),
        (&Method::PUT, path) => match path.strip_prefix("/config/") {
            Some(key) if !key.is_empty() => put_key(owner, key.into(), req).await.into(),
            _ => empty(StatusCode::NOT_FOUND).into(),
        },
        _ => empty(StatusCode::NOT_FOUND).into(),
    }
}

async fn read(owner: OwnerHandle, kind: ReadKind, uri: &Uri) -> Handled {
    let query = Query::of(uri);
    let (Some(after), Some(wait_ms)) = (query.number("after"), query.number("wait_ms")) else {
        return text(
            StatusCode::BAD_REQUEST,
            "after and wait_ms are whole numbers",
        )
        .into();
    };
    let wait = Duration::from_millis(wait_ms).min(MAX_WAIT);
    let waits = !wait.is_zero();
    let Some(sequence) = query_owner(&owner, |reply| Command::Begin { kind, waits, reply }).await
    else {
        return Handled::Drop;
    };
    let answer = read_until_changed(&owner, kind, Call { sequence, after }, wait).await;
    if matches!(answer, Some(ReadAnswer::Down { .. })) {
        let _ = owner.tx.send(Command::Failed).await;
    }
    answer.map_or(Handled::Drop, into_handled)
}

async fn read_until_changed(
    owner: &OwnerHandle,
    kind: ReadKind,
    call: Call,
    wait: Duration,
) -> Option<ReadAnswer> {
    let deadline = Instant::now() + wait;
    let mut changes = owner.changes.clone();
    loop {
        // Marked before reading, so that a write between the read and the wait still ends the wait.
        changes.mark_unchanged();
        let answer = query_owner(owner, |reply| Command::Read { kind, call, reply }).await?;
        let ReadAnswer::Unchanged(last) = answer else {
            return Some(answer);
        };
        match timeout_at(deadline, changes.changed()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return Some(*last),
        }
    }
}

fn into_handled(answer: ReadAnswer) -> Handled {
    match answer {
        ReadAnswer::Config(answer) => json(StatusCode::OK, &answer).into(),
        ReadAnswer::Instances(answer) => json(StatusCode::OK, &answer).into(),
        ReadAnswer::Unchanged(answer) => into_handled(*answer),
        ReadAnswer::Down { drop: true } => Handled::Drop,
        ReadAnswer::Down { drop: false } => empty(StatusCode::SERVICE_UNAVAILABLE).into(),
    }
}

async fn put_key(owner: OwnerHandle, key: SmolStr, req: Request<Incoming>) -> Answer {
    let Some(body) = read_body(req.into_body(), MAX_VALUE_BYTES).await else {
        return empty(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let Ok(value) = std::str::from_utf8(&body) else {
        return text(StatusCode::BAD_REQUEST, "the value is UTF-8 text");
    };
    let value = value.into();
    json_or_error(query_owner(&owner, |reply| Command::PutKey { key, value, reply }).await)
}

async fn put_instances(owner: OwnerHandle, req: Request<Incoming>) -> Answer {
    let Some(body) = read_body(req.into_body(), MAX_INSTANCES_BYTES).await else {
        return empty(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let instances: Vec<Instance> = match serde_json::from_slice(&body) {
        Ok(instances) => instances,
        Err(e) => return text(StatusCode::BAD_REQUEST, &e.to_string()),
    };
    json_or_error(query_owner(&owner, |reply| Command::PutInstances { instances, reply }).await)
}

async fn set_fault(owner: OwnerHandle, req: Request<Incoming>) -> Answer {
    let Some(body) = read_body(req.into_body(), MAX_FAULT_BYTES).await else {
        return empty(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let fault: FaultRequest = match serde_json::from_slice(&body) {
        Ok(fault) => fault,
        Err(e) => return text(StatusCode::BAD_REQUEST, &e.to_string()),
    };
    match owner.tx.send(Command::Fault(fault)).await {
        Ok(()) => json(StatusCode::OK, &fault),
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

async fn query_owner<T, C>(owner: &OwnerHandle, command: C) -> Option<T>
where
    C: FnOnce(oneshot::Sender<T>) -> Command,
{
    let (tx, rx) = oneshot::channel();
    owner.tx.send(command(tx)).await.ok()?;
    rx.await.ok()
}

fn json_or_error<T>(value: Option<T>) -> Answer
where
    T: Serialize,
{
    match value {
        Some(value) => json(StatusCode::OK, &value),
        None => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
