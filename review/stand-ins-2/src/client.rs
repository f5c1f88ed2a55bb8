//! A client that sends raw requests and tells what came back.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncRead, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::http::{Head, read_chunks, read_exactly, read_head, read_to_end};

/// Client connection to a node.
pub struct Client {
    pub stream: TcpStream,
    pub buf: Vec<u8>,
}

/// What came back for a request.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A response with its whole body.
    Whole(Head, Vec<u8>),
    /// A response whose body ended early, after this many bytes.
    Cut(Head, usize),
    /// The connection ended without a response.
    Closed(String),
    /// Neither a response nor the end of the connection within the time limit.
    Nothing,
}

impl Outcome {
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::Whole(head, _) | Self::Cut(head, _) => head.second_word().parse().ok(),
            Self::Closed(_) | Self::Nothing => None,
        }
    }

    pub fn describe(&self) -> String {
        match self {
            Self::Whole(head, body) => {
                let signed = head.get("server-signature").is_some();
                format!(
                    "{} whole, {} bytes, signed {signed}",
                    head.second_word(),
                    body.len()
                )
            }
            Self::Cut(head, len) => format!(
                "{} cut after {len} bytes of {:?}",
                head.second_word(),
                head.get("content-length").unwrap_or("chunks")
            ),
            Self::Closed(reason) => format!("connection ended without a response: {reason}"),
            Self::Nothing => "nothing within the time limit".into(),
        }
    }
}

/// Builds the head of a request without a body; `more` holds further header lines.
pub fn head(method: &str, host: &str, path: &str, id: &str, left: Duration, more: &str) -> String {
    let left = left.as_millis();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {id}\r\nDeadline-Remaining: {left}\r\n{more}\r\n"
    )
}

impl Client {
    pub async fn connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = timeout(Duration::from_secs(1), TcpStream::connect(addr)).await??;
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            buf: Vec::new(),
        })
    }

    pub async fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Reads the next response.
    pub async fn outcome(&mut self, limit: Duration) -> Outcome {
        Self::outcome_from(&mut self.stream, &mut self.buf, limit).await
    }

    /// Reads the next response from `rx`, behind what `buf` holds.
    pub async fn outcome_from<R>(rx: &mut R, buf: &mut Vec<u8>, limit: Duration) -> Outcome
    where
        R: AsyncRead + Unpin,
    {
        let ends = Instant::now() + limit;
        let head = match timeout(limit, read_head(rx, buf)).await {
            Ok(Ok(head)) => head,
            Ok(Err(e)) => return Outcome::Closed(e.to_string()),
            Err(_) => return Outcome::Nothing,
        };
        let left = ends.saturating_duration_since(Instant::now());
        let body = match (head.is_chunked(), head.length()) {
            (true, _) => timeout(left, read_chunks(rx, buf)).await,
            (false, Some(len)) => timeout(left, read_exactly(rx, buf, len)).await,
            (false, None) => timeout(left, read_to_end(rx, buf)).await,
        };
        match body {
            Ok(Ok(body)) => Outcome::Whole(head, body),
            Ok(Err(_)) => Outcome::Cut(head, buf.len()),
            // The connection is still open.
            Err(_) => Outcome::Nothing,
        }
    }

    /// Sends a request and waits for its outcome.
    pub async fn request(&mut self, bytes: &[u8], limit: Duration) -> Outcome {
        match self.send(bytes).await {
            Ok(()) => self.outcome(limit).await,
            Err(e) => Outcome::Closed(e.to_string()),
        }
    }

    /// Sends a request on a new connection.
    pub async fn once(addr: SocketAddr, bytes: &[u8], limit: Duration) -> Outcome {
        match Self::connect(addr).await {
            Ok(mut client) => client.request(bytes, limit).await,
            Err(e) => Outcome::Closed(format!("not connected: {e}")),
        }
    }
}
