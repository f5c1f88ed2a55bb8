//! Pool of idempotency tokens, prefetched in batches.

use std::collections::VecDeque;
use std::net::SocketAddr;

use coltsfootport_core::collections::Map;
use http::Method;
use serde::Deserialize;
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;

use crate::error::RigError;
use crate::http::{Client, ClientCall};

/// Tokens requested at once.
const BATCH_SIZE: usize = 64;

/// More tokens are requested when fewer than this are available.
const REFILL_THRESHOLD: usize = 32;

/// Capacity of the request channel; further calls wait to enqueue.
const QUEUE_CAPACITY: usize = 1024;

/// Request of a call for a token.
struct TokenRequest {
    service: SmolStr,
    reply: oneshot::Sender<SmolStr>,
}

/// Response body of `POST /coltsfootport/tokens`.
#[derive(Deserialize)]
struct TokensAnswer {
    tokens: Vec<SmolStr>,
}

/// Available tokens and waiting calls of one service.
#[derive(Default)]
struct ServiceTokens {
    tokens: VecDeque<SmolStr>,
    waiters: VecDeque<oneshot::Sender<SmolStr>>,
    is_fetching: bool,
}

/// Result of a batch request to an entry.
struct FetchResult {
    service: SmolStr,
    result: Result<Vec<SmolStr>, RigError>,
}

/// Handle to the pool task, which stops when the last clone is dropped.
#[derive(Clone, Debug)]
pub struct TokenPool {
    tx: mpsc::Sender<TokenRequest>,
}

impl TokenPool {
    /// Starts a pool that requests tokens from the entries in rotation.
    pub fn start(client: Client, entries: Vec<SocketAddr>) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
        let pool = PoolTask {
            client,
            entries,
            next_entry: 0,
            services: Map::default(),
            fetches: JoinSet::new(),
        };
        tokio::spawn(pool.run(rx));
        Self { tx }
    }

    /// Returns a token for the service, or `None` if the request for tokens failed.
    pub async fn take(&self, service: SmolStr) -> Option<SmolStr> {
        let (reply, rx) = oneshot::channel();
        self.tx.send(TokenRequest { service, reply }).await.ok()?;
        rx.await.ok()
    }
}

struct PoolTask {
    client: Client,
    entries: Vec<SocketAddr>,
    next_entry: usize,
    services: Map<SmolStr, ServiceTokens>,
    fetches: JoinSet<FetchResult>,
}

impl PoolTask {
    async fn run(mut self, mut rx: mpsc::Receiver<TokenRequest>) {
        loop {
            tokio::select! {
                request = rx.recv() => match request {
                    Some(request) => self.handle_request(request),
                    None => return,
                },
                Some(fetched) = self.fetches.join_next() => {
                    if let Ok(fetched) = fetched {
                        self.handle_fetch_result(fetched);
                    }
                }
            }
        }
    }

    fn handle_request(&mut self, request: TokenRequest) {
        let available = self.services.entry(request.service.clone()).or_default();
        match available.tokens.pop_front() {
            Some(token) => {
                let _ = request.reply.send(token);
            }
            None => available.waiters.push_back(request.reply),
        }
        self.refill_if_low(request.service);
    }

    fn handle_fetch_result(&mut self, fetched: FetchResult) {
        let available = self.services.entry(fetched.service.clone()).or_default();
        available.is_fetching = false;
        match fetched.result {
            Ok(tokens) => available.tokens.extend(tokens),
            // Dropping the reply channels makes the waiting calls fail. The next request goes to another entry.
            Err(_) => available.waiters.clear(),
        }
        while let Some(token) = available.tokens.pop_front() {
            let Some(reply) = available.waiters.pop_front() else {
                available.tokens.push_front(token);
                break;
            };
            let _ = reply.send(token);
        }
        if !available.waiters.is_empty() {
            self.refill_if_low(fetched.service);
        }
    }

    fn refill_if_low(&mut self, service: SmolStr) {
        let available = self.services.entry(service.clone()).or_default();
        if available.is_fetching || available.tokens.len() >= REFILL_THRESHOLD {
            return;
        }
        available.is_fetching = true;
        let entry = self.entries[self.next_entry % self.entries.len()];
        self.next_entry += 1;
        self.fetches
            .spawn(fetch(self.client.clone(), entry, service));
    }
}

async fn fetch(client: Client, entry: SocketAddr, service: SmolStr) -> FetchResult {
    let path = format!("/coltsfootport/tokens?service={service}&count={BATCH_SIZE}");
    let answer = client
        .send(ClientCall::new(entry, Method::POST, path))
        .await;
    let result = answer.and_then(|answer| match answer.status.is_success() {
        true => Ok(serde_json::from_slice::<TokensAnswer>(&answer.body)?.tokens),
        false => Err(RigError::Connection(format!(
            "token request failed with status {}",
            answer.status
        ))),
    });
    // Accepting an empty list would repeat the request without end.
    let result = result.and_then(|tokens| match tokens.is_empty() {
        true => Err(RigError::Connection(
            "token response contains no tokens".into(),
        )),
        false => Ok(tokens),
    });
    FetchResult { service, result }
}
