//! HTTP handlers of the operators listener, one per path.

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

/// Timeout for the reply of a node task to a query.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// Response header with the number of records that the node has dropped from its timeline.
const TIMELINE_DROPPED: HeaderName = HeaderName::from_static("coltsfootport-timeline-dropped");

const JSON: HeaderValue = HeaderValue::from_static("application/json");
const NDJSON: HeaderValue = HeaderValue::from_static("application/x-ndjson");
const PROMETHEUS_TEXT: HeaderValue = HeaderValue::from_static("text/plain; version=0.0.4");
const PLAIN_TEXT: HeaderValue = HeaderValue::from_static("text/plain; charset=utf-8");

type QuerySender = mpsc::Sender<OperatorQuery>;

/// `GET /status`.
pub(super) struct Status {
    pub(super) queries: QuerySender,
}

/// `GET /metrics`.
pub(super) struct MetricsText {
    pub(super) metrics: Metrics,
}

/// `GET /timeline`.
pub(super) struct Timeline {
    pub(super) queries: QuerySender,
}

/// `GET /nodes`.
pub(super) struct Nodes {
    pub(super) queries: QuerySender,
}

/// `GET /health`.
pub(super) struct Health {
    pub(super) queries: QuerySender,
}

/// `POST /drain`.
pub(super) struct Drain {
    pub(super) queries: QuerySender,
}

#[async_trait]
impl Handler for Status {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        match send_query(&self.queries, OperatorQuery::Status).await {
            Some(report) => write_json(res, StatusCode::OK, &report),
            None => write_unavailable(res),
        }
    }
}

#[async_trait]
impl Handler for MetricsText {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        write_text(res, StatusCode::OK, PROMETHEUS_TEXT, self.metrics.encode());
    }
}

#[async_trait]
impl Handler for Timeline {
    async fn handle(&self, req: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        let filter = match parse_filter(req) {
            Ok(filter) => filter,
            Err(err) => return write_text(res, StatusCode::BAD_REQUEST, PLAIN_TEXT, err),
        };
        let query = |reply| OperatorQuery::Timeline { filter, reply };
        let Some(page) = send_query(&self.queries, query).await else {
            return write_unavailable(res);
        };
        let lines = page
            .records
            .iter()
            .filter_map(|record| serde_json::to_string(record).ok());
        let body: String = lines.map(|line| line + "\n").collect();
        res.headers_mut()
            .insert(TIMELINE_DROPPED, HeaderValue::from(page.dropped));
        write_text(res, StatusCode::OK, NDJSON, body);
    }
}

#[async_trait]
impl Handler for Nodes {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        match send_query(&self.queries, OperatorQuery::Nodes).await {
            Some(nodes) => write_json(res, StatusCode::OK, &nodes),
            None => write_unavailable(res),
        }
    }
}

#[async_trait]
impl Handler for Health {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        match send_query(&self.queries, OperatorQuery::Health).await {
            Some(report) if report.ready => write_json(res, StatusCode::OK, &report),
            Some(report) => write_json(res, StatusCode::SERVICE_UNAVAILABLE, &report),
            None => write_unavailable(res),
        }
    }
}

#[async_trait]
impl Handler for Drain {
    async fn handle(&self, _: &mut Request, _: &mut Depot, res: &mut Response, _: &mut FlowCtrl) {
        match send_query(&self.queries, OperatorQuery::Drain).await {
            Some(reply) => write_json(res, StatusCode::ACCEPTED, &reply),
            None => write_unavailable(res),
        }
    }
}

/// Sends a query to the node tasks; returns `None` if the queue is full, the reply times out or the tasks have ended.
async fn send_query<T, F>(queries: &QuerySender, query: F) -> Option<T>
where
    F: FnOnce(oneshot::Sender<T>) -> OperatorQuery,
{
    let (tx, rx) = oneshot::channel();
    // If a node task hangs, repeated requests would otherwise queue up without limit. The bounded queue and the timeout
    // turn them into `503` responses.
    queries.try_send(query(tx)).ok()?;
    timeout(REPLY_TIMEOUT, rx).await.ok()?.ok()
}

fn parse_filter(req: &Request) -> Result<Filter, String> {
    let mut filter = Filter::default();
    for (name, value) in req.queries().iter() {
        match name.as_str() {
            "request" => filter.request = Some(parse_param(name, value)?),
            "since" => filter.since = Some(parse_param(name, value)?),
            "limit" => filter.limit = parse_param(name, value)?,
            "kind" => filter.kinds.push(parse_param::<EventKind>(name, value)?),
            _ => return Err(format!("unknown parameter `{name}`\n")),
        }
    }
    Ok(filter)
}

fn parse_param<T>(name: &str, value: &str) -> Result<T, String>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    value
        .parse()
        .map_err(|err| format!("parameter `{name}`: {err}\n"))
}

fn write_json<T>(res: &mut Response, status: StatusCode, value: &T)
where
    T: Serialize,
{
    match serde_json::to_string(value) {
        Ok(body) => write_text(res, status, JSON, body),
        Err(err) => write_text(
            res,
            StatusCode::INTERNAL_SERVER_ERROR,
            PLAIN_TEXT,
            err.to_string(),
        ),
    }
}

fn write_text(res: &mut Response, status: StatusCode, content_type: HeaderValue, body: String) {
    res.status_code(status);
    res.headers_mut().insert(CONTENT_TYPE, content_type);
    res.body(body);
}

fn write_unavailable(res: &mut Response) {
    let body = String::from("the node did not answer in time\n");
    write_text(res, StatusCode::SERVICE_UNAVAILABLE, PLAIN_TEXT, body);
}
