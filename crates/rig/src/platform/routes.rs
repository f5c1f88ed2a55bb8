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

/// Largest value of a key in bytes.
const VALUE_LIMIT: usize = 1 << 20;

/// Largest instance list in bytes.
const INSTANCES_LIMIT: usize = 16 << 20;

/// Largest body of a control call in bytes.
const CONTROL_LIMIT: usize = 4096;

/// Longest wait of a watch.
const WAIT_LIMIT: Duration = Duration::from_secs(600);

/// Answers one request.
pub async fn handle(owner: OwnerHandle, req: Request<Incoming>) -> Handled {
    let path = req.uri().path().to_owned();
    match (req.method(), path.as_str()) {
        (&Method::GET, "/config") => read(owner, ReadKind::Config, req.uri()).await,
        (&Method::GET, "/instances") => read(owner, ReadKind::Instances, req.uri()).await,
        (&Method::GET, "/counts") => reply(ask(&owner, Command::Counts).await).into(),
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
    let wait = Duration::from_millis(wait_ms).min(WAIT_LIMIT);
    let waits = !wait.is_zero();
    let Some(serial) = ask(&owner, |reply| Command::Begin { kind, waits, reply }).await else {
        return Handled::Drop;
    };
    let answer = look_until_changed(&owner, kind, Call { serial, after }, wait).await;
    if matches!(answer, Some(ReadAnswer::Down { .. })) {
        let _ = owner.tx.send(Command::Failed).await;
    }
    answer.map_or(Handled::Drop, handled)
}

async fn look_until_changed(
    owner: &OwnerHandle,
    kind: ReadKind,
    call: Call,
    wait: Duration,
) -> Option<ReadAnswer> {
    let deadline = Instant::now() + wait;
    let mut changes = owner.changes.clone();
    loop {
        // Seen before the look: a write between look and wait is then still noticed by the wait.
        changes.mark_unchanged();
        let answer = ask(owner, |reply| Command::Read { kind, call, reply }).await?;
        let ReadAnswer::Unchanged(last) = answer else {
            return Some(answer);
        };
        match timeout_at(deadline, changes.changed()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return Some(*last),
        }
    }
}

fn handled(answer: ReadAnswer) -> Handled {
    match answer {
        ReadAnswer::Config(answer) => json(StatusCode::OK, &answer).into(),
        ReadAnswer::Instances(answer) => json(StatusCode::OK, &answer).into(),
        ReadAnswer::Unchanged(answer) => handled(*answer),
        ReadAnswer::Down { drop: true } => Handled::Drop,
        ReadAnswer::Down { drop: false } => empty(StatusCode::SERVICE_UNAVAILABLE).into(),
    }
}

async fn put_key(owner: OwnerHandle, key: SmolStr, req: Request<Incoming>) -> Answer {
    let Some(body) = read_body(req.into_body(), VALUE_LIMIT).await else {
        return empty(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let Ok(value) = std::str::from_utf8(&body) else {
        return text(StatusCode::BAD_REQUEST, "the value is UTF-8 text");
    };
    let value = value.into();
    reply(ask(&owner, |reply| Command::PutKey { key, value, reply }).await)
}

async fn put_instances(owner: OwnerHandle, req: Request<Incoming>) -> Answer {
    let Some(body) = read_body(req.into_body(), INSTANCES_LIMIT).await else {
        return empty(StatusCode::PAYLOAD_TOO_LARGE);
    };
    let instances: Vec<Instance> = match serde_json::from_slice(&body) {
        Ok(instances) => instances,
        Err(e) => return text(StatusCode::BAD_REQUEST, &e.to_string()),
    };
    reply(ask(&owner, |reply| Command::PutInstances { instances, reply }).await)
}

async fn set_fault(owner: OwnerHandle, req: Request<Incoming>) -> Answer {
    let Some(body) = read_body(req.into_body(), CONTROL_LIMIT).await else {
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

async fn ask<T, C>(owner: &OwnerHandle, command: C) -> Option<T>
where
    C: FnOnce(oneshot::Sender<T>) -> Command,
{
    let (tx, rx) = oneshot::channel();
    owner.tx.send(command(tx)).await.ok()?;
    rx.await.ok()
}

fn reply<T>(value: Option<T>) -> Answer
where
    T: Serialize,
{
    match value {
        Some(value) => json(StatusCode::OK, &value),
        None => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}
