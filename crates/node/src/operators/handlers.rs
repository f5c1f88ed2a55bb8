//! One handler a path of the operators listener.

use std::time::Duration;

use coltsfootport_core::timeline::{EventKind, Filter};
use salvo::http::StatusCode;
use salvo::http::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use salvo::{Depot, FlowCtrl, Handler, Request, Response, async_trait};
use serde::Serialize;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use super::query::OperatorQuery;
use crate::metrics::Metrics;

/// Time that a node's task has to answer an operator.
const REPLY_TIME: Duration = Duration::from_secs(2);

/// Number of records that the node has dropped from its time line.
const DROPPED: HeaderName = HeaderName::from_static("coltsfootport-timeline-dropped");

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const JSON_LINES: HeaderValue = HeaderValue::from_static("application/x-ndjson");
const METRICS_TEXT: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");
const PLAIN: HeaderValue = HeaderValue::from_static("text/plain; charset=utf-8");

type Queries = mpsc::Sender<OperatorQuery>;

/// `GET /status`.
pub(super) struct Status {
    pub(super) queries: Queries,
}

/// `GET /metrics`.
pub(super) struct MetricsText {
    pub(super) metrics: Metrics,
}

/// `GET /timeline`.
pub(super) struct Timeline {
    pub(super) queries: Queries,
}

/// `GET /nodes`.
pub(super) struct Nodes {
    pub(super) queries: Queries,
}

/// `GET /health`.
pub(super) struct Health {
    pub(super) queries: Queries,
}

/// `POST /drain`.
pub(super) struct Drain {
    pub(super) queries: Queries,
}

#[async_trait]
impl Handler for Status {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        match ask(&self.queries, OperatorQuery::Status).await {
            Some(report) => json(res, StatusCode::OK, &report),
            None => no_reply(res),
        }
    }
}

#[async_trait]
impl Handler for MetricsText {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        text(res, StatusCode::OK, METRICS_TEXT, self.metrics.encode());
    }
}

#[async_trait]
impl Handler for Timeline {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let filter = match filter(req) {
            Ok(filter) => filter,
            Err(fault) => return text(res, StatusCode::BAD_REQUEST, PLAIN, fault),
        };
        let query = |reply| OperatorQuery::Timeline { filter, reply };
        let Some(page) = ask(&self.queries, query).await else {
            return no_reply(res);
        };
        let lines = page
            .records
            .iter()
            .filter_map(|record| serde_json::to_string(record).ok());
        let body: String = lines.map(|line| line + "\n").collect();
        res.headers_mut()
            .insert(DROPPED, HeaderValue::from(page.dropped));
        text(res, StatusCode::OK, JSON_LINES, body);
    }
}

#[async_trait]
impl Handler for Nodes {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        match ask(&self.queries, OperatorQuery::Nodes).await {
            Some(nodes) => json(res, StatusCode::OK, &nodes),
            None => no_reply(res),
        }
    }
}

#[async_trait]
impl Handler for Health {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        match ask(&self.queries, OperatorQuery::Health).await {
            Some(report) if report.ready => json(res, StatusCode::OK, &report),
            Some(report) => json(res, StatusCode::SERVICE_UNAVAILABLE, &report),
            None => no_reply(res),
        }
    }
}

#[async_trait]
impl Handler for Drain {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        match ask(&self.queries, OperatorQuery::Drain).await {
            Some(reply) => json(res, StatusCode::ACCEPTED, &reply),
            None => no_reply(res),
        }
    }
}

/// Asks the node's tasks; no answer where they are too busy or gone.
async fn ask<T, F>(queries: &Queries, query: F) -> Option<T>
where
    F: FnOnce(oneshot::Sender<T>) -> OperatorQuery,
{
    let (tx, rx) = oneshot::channel();
    // Operators who ask again and again of a stuck node would pile up questions without bound; the queue's bound and
    // the time limit turn them into `503`.
    queries.try_send(query(tx)).ok()?;
    timeout(REPLY_TIME, rx).await.ok()?.ok()
}

fn filter(req: &Request) -> Result<Filter, String> {
    let mut filter = Filter::default();
    for (name, value) in req.queries().iter() {
        match name.as_str() {
            "request" => filter.request = Some(parsed(name, value)?),
            "since" => filter.since = Some(parsed(name, value)?),
            "limit" => filter.limit = parsed(name, value)?,
            "kind" => filter.kinds.push(parsed::<EventKind>(name, value)?),
            _ => return Err(format!("unknown parameter `{name}`\n")),
        }
    }
    Ok(filter)
}

fn parsed<T>(name: &str, value: &str) -> Result<T, String>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    value
        .parse()
        .map_err(|fault| format!("parameter `{name}`: {fault}\n"))
}

fn json<T>(res: &mut Response, status: StatusCode, value: &T)
where
    T: Serialize,
{
    match serde_json::to_string(value) {
        Ok(body) => text(res, status, JSON, body),
        Err(fault) => text(
            res,
            StatusCode::INTERNAL_SERVER_ERROR,
            PLAIN,
            fault.to_string(),
        ),
    }
}

fn text(res: &mut Response, status: StatusCode, kind: HeaderValue, body: String) {
    res.status_code(status);
    res.headers_mut().insert(CONTENT_TYPE, kind);
    res.body(body);
}

fn no_reply(res: &mut Response) {
    let body = String::from("the node did not answer in time\n");
    text(res, StatusCode::SERVICE_UNAVAILABLE, PLAIN, body);
}
