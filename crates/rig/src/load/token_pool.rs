//! Idempotency tokens, asked for ahead and in batches.

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

/// Tokens asked for at once.
const BATCH: usize = 64;

/// New tokens are asked for when fewer are in stock.
const LOW: usize = 32;

/// Calls that wait for the pool at most.
const QUEUE: usize = 1024;

/// A call's wish for a token.
struct Want {
    service: SmolStr,
    reply: oneshot::Sender<SmolStr>,
}

/// Answer of `POST /coltsfootport/tokens`.
#[derive(Deserialize)]
struct TokensAnswer {
    tokens: Vec<SmolStr>,
}

/// Tokens of one service.
#[derive(Default)]
struct Stock {
    tokens: VecDeque<SmolStr>,
    waiting: VecDeque<oneshot::Sender<SmolStr>>,
    is_fetching: bool,
}

/// A finished request for tokens.
struct Fetched {
    service: SmolStr,
    result: Result<Vec<SmolStr>, RigError>,
}

/// The way to the pool; the pool ends with its last clone.
#[derive(Clone, Debug)]
pub struct TokenPool {
    tx: mpsc::Sender<Want>,
}

impl TokenPool {
    /// Starts a pool that asks the entries in turn.
    pub fn start(client: Client, entries: Vec<SocketAddr>) -> Self {
        let (tx, rx) = mpsc::channel(QUEUE);
        let pool = Pool {
            client,
            entries,
            next_entry: 0,
            stocks: Map::default(),
            fetches: JoinSet::new(),
        };
        tokio::spawn(pool.run(rx));
        Self { tx }
    }

    /// A token for the service; `None` where no entry gave one.
    pub async fn take(&self, service: SmolStr) -> Option<SmolStr> {
        let (reply, rx) = oneshot::channel();
        self.tx.send(Want { service, reply }).await.ok()?;
        rx.await.ok()
    }
}

struct Pool {
    client: Client,
    entries: Vec<SocketAddr>,
    next_entry: usize,
    stocks: Map<SmolStr, Stock>,
    fetches: JoinSet<Fetched>,
}

impl Pool {
    async fn run(mut self, mut rx: mpsc::Receiver<Want>) {
        loop {
            tokio::select! {
                want = rx.recv() => match want {
                    Some(want) => self.on_want(want),
                    None => return,
                },
                Some(fetched) = self.fetches.join_next() => {
                    if let Ok(fetched) = fetched {
                        self.on_fetched(fetched);
                    }
                }
            }
        }
    }

    fn on_want(&mut self, want: Want) {
        let stock = self.stocks.entry(want.service.clone()).or_default();
        match stock.tokens.pop_front() {
            Some(token) => {
                let _ = want.reply.send(token);
            }
            None => stock.waiting.push_back(want.reply),
        }
        self.fetch_if_low(want.service);
    }

    fn on_fetched(&mut self, fetched: Fetched) {
        let stock = self.stocks.entry(fetched.service.clone()).or_default();
        stock.is_fetching = false;
        match fetched.result {
            Ok(tokens) => stock.tokens.extend(tokens),
            // Those who wait are told by the drop; the next wish asks another entry.
            Err(_) => stock.waiting.clear(),
        }
        while let Some(token) = stock.tokens.pop_front() {
            let Some(reply) = stock.waiting.pop_front() else {
                stock.tokens.push_front(token);
                break;
            };
            let _ = reply.send(token);
        }
        if !stock.waiting.is_empty() {
            self.fetch_if_low(fetched.service);
        }
    }

    fn fetch_if_low(&mut self, service: SmolStr) {
        let stock = self.stocks.entry(service.clone()).or_default();
        if stock.is_fetching || stock.tokens.len() >= LOW {
            return;
        }
        stock.is_fetching = true;
        let entry = self.entries[self.next_entry % self.entries.len()];
        self.next_entry += 1;
        self.fetches
            .spawn(fetch(self.client.clone(), entry, service));
    }
}

async fn fetch(client: Client, entry: SocketAddr, service: SmolStr) -> Fetched {
    let path = format!("/coltsfootport/tokens?service={service}&count={BATCH}");
    let answer = client
        .send(ClientCall::new(entry, Method::POST, path))
        .await;
    let result = answer.and_then(|answer| match answer.status.is_success() {
        true => Ok(serde_json::from_slice::<TokensAnswer>(&answer.body)?.tokens),
        false => Err(RigError::Connection(format!(
            "no tokens: {}",
            answer.status
        ))),
    });
    // An empty list would be asked for again and again.
    let result = result.and_then(|tokens| match tokens.is_empty() {
        true => Err(RigError::Connection("no tokens in the answer".into())),
        false => Ok(tokens),
    });
    Fetched { service, result }
}
