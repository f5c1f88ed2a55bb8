//! Queries to the operators listeners of multiple nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde::de::DeserializeOwned;
use tokio::task::JoinSet;

use crate::http_client::{self, FetchError};
use crate::operators::NodeAddress;

/// Timeout for the response of one node.
const QUERY_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of concurrent queries.
const MAX_CONCURRENT_QUERIES: usize = 64;

/// Failure of the query to one node.
#[derive(Debug, thiserror::Error)]
pub(super) enum QueryError {
    /// No complete response was received.
    #[error(transparent)]
    Fetch(#[from] FetchError),
    /// The response status is not `200`.
    #[error("{0} answered {1}: {2}")]
    UnexpectedStatus(SocketAddr, StatusCode, String),
    /// The response can't be parsed.
    #[error("failed to parse the response of {0}: {1}")]
    Malformed(SocketAddr, serde_json::Error),
    /// The request can't be built.
    #[error("{0}")]
    InvalidRequest(#[from] http::Error),
}

/// Results by address, with the errors of the queries that failed.
#[derive(Debug)]
pub(super) struct QueryResults<T> {
    pub(super) by_address: BTreeMap<SocketAddr, T>,
    pub(super) errors: Vec<QueryError>,
}

/// Sends a GET request for the given path to each address and parses each response body with `read`.
pub(super) async fn query_all<T, F>(paths: BTreeMap<SocketAddr, String>, read: F) -> QueryResults<T>
where
    F: Fn(SocketAddr, &[u8]) -> Result<T, QueryError>,
{
    let mut results = QueryResults {
        by_address: BTreeMap::new(),
        errors: Vec::new(),
    };
    let mut pending = paths.into_iter();
    let mut in_flight = JoinSet::new();
    loop {
        while in_flight.len() < MAX_CONCURRENT_QUERIES {
            let Some((addr, path)) = pending.next() else {
                break;
            };
            in_flight.spawn(async move { (addr, query(addr, &path).await) });
        }
        let Some(joined) = in_flight.join_next().await else {
            return results;
        };
        // These tasks don't panic and are never cancelled.
        let Ok((addr, response)) = joined else {
            continue;
        };
        match response.and_then(|body| read(addr, &body)) {
            Ok(value) => drop(results.by_address.insert(addr, value)),
            Err(err) => results.errors.push(err),
        }
    }
}

/// Parses a response body that is a single JSON value.
pub(super) fn read_json<T>(addr: SocketAddr, body: &[u8]) -> Result<T, QueryError>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|err| QueryError::Malformed(addr, err))
}

/// Returns the given addresses and, if `all` is set, those of every node known to them.
pub(super) async fn resolve_addresses(given: &[SocketAddr], all: bool) -> QueryResults<()> {
    let mut addresses: BTreeSet<SocketAddr> = given.iter().copied().collect();
    let mut errors = Vec::new();
    if all {
        let paths = addresses
            .iter()
            .map(|addr| (*addr, String::from("/nodes")))
            .collect();
        let results = query_all(paths, read_json::<Vec<NodeAddress>>).await;
        addresses.extend(
            results
                .by_address
                .into_values()
                .flatten()
                .map(|node| node.operators),
        );
        errors = results.errors;
    }
    QueryResults {
        by_address: addresses.into_iter().map(|addr| (addr, ())).collect(),
        errors,
    }
}

/// Prints errors to standard error.
pub(super) fn print_errors(errors: &[QueryError]) {
    for err in errors {
        eprintln!("coltsfootport: {err}");
    }
}

async fn query(addr: SocketAddr, path: &str) -> Result<Bytes, QueryError> {
    let req = Request::get(path).body(Full::new(Bytes::new()))?;
    let response = http_client::fetch(addr, req, QUERY_TIMEOUT).await?;
    if response.status() == StatusCode::OK {
        return Ok(response.into_body());
    }
    let text = String::from_utf8_lossy(response.body()).trim().to_owned();
    Err(QueryError::UnexpectedStatus(addr, response.status(), text))
}
