//! Questions to the operators listeners of many nodes.

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

/// Time that a node has to answer.
const ANSWER_TIME: Duration = Duration::from_secs(3);

/// Nodes that are asked at the same time.
const ASKED_AT_ONCE: usize = 64;

/// A node's usable answer is missing.
#[derive(Debug, thiserror::Error)]
pub(super) enum AskError {
    /// There is no whole answer.
    #[error(transparent)]
    Fetch(#[from] FetchError),
    /// The answer is not `200`.
    #[error("{0} answered {1}: {2}")]
    Refused(SocketAddr, StatusCode, String),
    /// The answer can't be read.
    #[error("{0} answered what this version can't read: {1}")]
    Malformed(SocketAddr, serde_json::Error),
    /// The question can't be put into a request.
    #[error("{0}")]
    Question(#[from] http::Error),
}

/// What was found out, by address, and the faults of the others.
#[derive(Debug)]
pub(super) struct Answers<T> {
    pub(super) found: BTreeMap<SocketAddr, T>,
    pub(super) faults: Vec<AskError>,
}

/// Asks each address for its path and reads each answer with `read`.
pub(super) async fn ask_all<T, F>(paths: BTreeMap<SocketAddr, String>, read: F) -> Answers<T>
where
    F: Fn(SocketAddr, &[u8]) -> Result<T, AskError>,
{
    let mut answers = Answers {
        found: BTreeMap::new(),
        faults: Vec::new(),
    };
    let mut waiting = paths.into_iter();
    let mut asked = JoinSet::new();
    loop {
        while asked.len() < ASKED_AT_ONCE {
            let Some((addr, path)) = waiting.next() else {
                break;
            };
            asked.spawn(async move { (addr, ask(addr, &path).await) });
        }
        let Some(end) = asked.join_next().await else {
            return answers;
        };
        // Such a task neither panics nor is it cancelled.
        let Ok((addr, answer)) = end else { continue };
        match answer.and_then(|body| read(addr, &body)) {
            Ok(value) => drop(answers.found.insert(addr, value)),
            Err(fault) => answers.faults.push(fault),
        }
    }
}

/// Reads an answer that is one JSON value.
pub(super) fn read_json<T>(addr: SocketAddr, body: &[u8]) -> Result<T, AskError>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(body).map_err(|fault| AskError::Malformed(addr, fault))
}

/// The given addresses and, where `all` is set, those of every node that they know.
pub(super) async fn addresses(given: &[SocketAddr], all: bool) -> Answers<()> {
    let mut found: BTreeSet<SocketAddr> = given.iter().copied().collect();
    let mut faults = Vec::new();
    if all {
        let paths = found
            .iter()
            .map(|addr| (*addr, String::from("/nodes")))
            .collect();
        let answers = ask_all(paths, read_json::<Vec<NodeAddress>>).await;
        found.extend(
            answers
                .found
                .into_values()
                .flatten()
                .map(|node| node.operators),
        );
        faults = answers.faults;
    }
    Answers {
        found: found.into_iter().map(|addr| (addr, ())).collect(),
        faults,
    }
}

/// Prints faults to standard error.
pub(super) fn print_faults(faults: &[AskError]) {
    for fault in faults {
        eprintln!("coltsfootport: {fault}");
    }
}

async fn ask(addr: SocketAddr, path: &str) -> Result<Bytes, AskError> {
    let req = Request::get(path).body(Full::new(Bytes::new()))?;
    let answer = http_client::fetch(addr, req, ANSWER_TIME).await?;
    if answer.status() == StatusCode::OK {
        return Ok(answer.into_body());
    }
    let text = String::from_utf8_lossy(answer.body()).trim().to_owned();
    Err(AskError::Refused(addr, answer.status(), text))
}
