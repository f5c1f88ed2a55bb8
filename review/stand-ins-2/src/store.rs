//! Stand-in for the platform's store: the reading calls of nodes, with one revision counter.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

use crate::http::read_head;

/// The store; clones share their state.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
}

#[derive(Default)]
struct State {
    /// All changes: revision, key, and the value unless the key was removed.
    log: Vec<(u64, String, Option<String>)>,
    created: BTreeMap<String, u64>,
}

impl Store {
    pub async fn start(ip: &str) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let store = Self {
            addr: listener.local_addr()?,
            state: Arc::default(),
            changed: watch::Sender::new(1),
        };
        let serving = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serving.clone().serve(stream));
            }
        });
        Ok(store)
    }

    pub fn put(&self, key: &str, value: &str) {
        self.write(key, Some(value.to_owned()));
    }

    pub fn remove(&self, key: &str) {
        self.write(key, None);
    }

    fn write(&self, key: &str, value: Option<String>) {
        let mut state = self.state.lock().expect("no panic beside the lock");
        let revision = state.log.last().map_or(1, |(revision, ..)| *revision) + 1;
        match &value {
            Some(_) => {
                state.created.entry(key.to_owned()).or_insert(revision);
            }
            None => {
                state.created.remove(key);
            }
        }
        state.log.push((revision, key.to_owned(), value));
        drop(state);
        self.changed.send_replace(revision);
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut buf = Vec::new();
        while let Ok(head) = read_head(&mut stream, &mut buf).await {
            let (status, body) = self.answer(head.second_word()).await;
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, target: &str) -> (u16, String) {
        if target.starts_with("/coltsfootport/kv-range") {
            return (200, self.range());
        }
        if !target.starts_with("/coltsfootport/kv-watch") {
            return (404, String::new());
        }
        let after = query_number(target, "after=");
        let wait = Duration::from_millis(query_number(target, "wait_ms="));
        let mut changed = self.changed.subscribe();
        let newer = async {
            while *changed.borrow_and_update() <= after {
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        let _ = timeout(wait, newer).await;
        (200, self.events(after))
    }

    fn range(&self) -> String {
        let state = self.state.lock().expect("no panic beside the lock");
        let mut items = BTreeMap::new();
        for (revision, key, value) in &state.log {
            match value {
                Some(value) => items.insert(key.as_str(), (*revision, value.as_str())),
                None => items.remove(key.as_str()),
            };
        }
        let items = items.into_iter();
        let items = items.map(|(key, (revision, value))| item(&state, key, revision, value));
        let items: Vec<String> = items.collect();
        let revision = state.log.last().map_or(1, |(revision, ..)| *revision);
        format!(
            r#"{{"items":[{}],"has_more":false,"store_revision":{revision}}}"#,
            items.join(",")
        )
    }

    fn events(&self, after: u64) -> String {
        let state = self.state.lock().expect("no panic beside the lock");
        let newer = state.log.iter().filter(|(revision, ..)| *revision > after);
        let events = newer.map(|(revision, key, value)| match value {
            Some(value) => item(&state, key, *revision, value),
            None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
        });
        let events: Vec<String> = events.collect();
        let revision = state.log.last().map_or(1, |(revision, ..)| *revision);
        format!(
            r#"{{"events":[{}],"store_revision":{}}}"#,
            events.join(","),
            revision.max(after)
        )
    }
}

fn item(state: &State, key: &str, revision: u64, value: &str) -> String {
    let created = state.created.get(key).copied().unwrap_or(revision);
    let value = STANDARD.encode(value);
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":0}}"#
    )
}

fn query_number(target: &str, name: &str) -> u64 {
    let rest = target.split(name).nth(1).unwrap_or_default();
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}
