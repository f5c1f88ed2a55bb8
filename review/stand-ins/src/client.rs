//! A client: sends requests to a node and reads the responses.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

use crate::wire::{BodySum, Input, header};

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete response.
    Answered {
        status: u16,
        signed: bool,
        bytes: u64,
    },
    /// The connection ended within the response; `bytes` of its body had arrived.
    CutShort { status: u16, bytes: u64 },
    /// The connection ended before a response.
    Closed,
    /// The connection couldn't be established.
    Unreachable,
    /// The client's time limit passed.
    GaveUp,
}

/// A connection to a node.
pub struct Client {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Client {
    /// Opens a connection.
    pub async fn connect(addr: SocketAddr) -> Option<Self> {
        let connecting = timeout(Duration::from_secs(1), TcpStream::connect(addr));
        let stream = connecting.await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self {
            stream,
            buf: Vec::new(),
        })
    }

    /// Sends a request with a small body and reads the response; also returns whether the connection may be used again.
    pub async fn request(&mut self, text: &str, limit: Duration) -> (Outcome, bool) {
        let deadline = Instant::now() + limit;
        if self.stream.write_all(text.as_bytes()).await.is_err() {
            return (Outcome::Closed, false);
        }
        self.answer(deadline).await
    }

    /// Reads a response.
    pub async fn answer(&mut self, deadline: Instant) -> (Outcome, bool) {
        let (read, _write) = self.stream.split();
        let mut input = Input {
            read,
            buf: std::mem::take(&mut self.buf),
        };
        let head = match timeout_at(deadline, input.head()).await {
            Ok(Some(head)) => head,
            Ok(None) => return (Outcome::Closed, false),
            Err(_) => return (Outcome::GaveUp, false),
        };
        let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
        let status = status.unwrap_or(0);
        let mut sum = BodySum::default();
        let body = timeout_at(deadline, input.body(&head, &mut sum)).await;
        self.buf = input.buf;
        match body {
            Ok(Some(())) => {
                let signed = header(&head, "server-signature").is_some();
                let closes = header(&head, "connection").is_some_and(|text| text.contains("close"));
                let bytes = sum.bytes;
                let outcome = Outcome::Answered {
                    status,
                    signed,
                    bytes,
                };
                (outcome, !closes)
            }
            Ok(None) => {
                let bytes = sum.bytes;
                (Outcome::CutShort { status, bytes }, false)
            }
            Err(_) => (Outcome::GaveUp, false),
        }
    }

    /// The socket, for requests that are sent in parts.
    pub fn stream(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// Sends one request on a new connection.
    pub async fn once(addr: SocketAddr, text: &str, limit: Duration) -> Outcome {
        match Self::connect(addr).await {
            Some(mut client) => client.request(text, limit).await.0,
            None => Outcome::Unreachable,
        }
    }
}
