//! Connections to the node's own target.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};

use super::listener::LEAST_HEADER_BYTES;

/// Sends requests over one connection.
type Sender = SendRequest<Full<Bytes>>;

/// The task that owns the idle connections to the target.
#[derive(Debug)]
pub struct TargetPool {
    idle: Vec<Sender>,
    capacity: usize,
    rx: mpsc::UnboundedReceiver<PoolMessage>,
}

/// Handle to the pool.
#[derive(Clone, Debug)]
pub struct PoolHandle {
    tx: mpsc::UnboundedSender<PoolMessage>,
    address: SocketAddr,
    connect_timeout: Duration,
    header_bytes: usize,
}

/// A connection taken out of the pool.
#[derive(Debug)]
pub struct PooledSender {
    /// The connection.
    pub sender: Sender,
    tx: mpsc::UnboundedSender<PoolMessage>,
}

#[derive(Debug)]
enum PoolMessage {
    Take(oneshot::Sender<Option<Sender>>),
    GiveBack(Sender),
}

impl TargetPool {
    /// A pool that keeps at most `capacity` idle connections and reads answers whose heads have at most `header_bytes`.
    pub fn new(
        address: SocketAddr,
        capacity: usize,
        connect_timeout: Duration,
        header_bytes: usize,
    ) -> (Self, PoolHandle) {
        let (tx, rx) = mpsc::unbounded_channel();
        let handle = PoolHandle {
            tx,
            address,
            connect_timeout,
            header_bytes: header_bytes.max(LEAST_HEADER_BYTES),
        };
        (
            Self {
                idle: Vec::new(),
                capacity,
                rx,
            },
            handle,
        )
    }

    /// Runs until every handle is gone.
    pub async fn run(mut self) {
        while let Some(message) = self.rx.recv().await {
            match message {
                PoolMessage::Take(reply) => self.take(reply),
                PoolMessage::GiveBack(sender) => self.give_back(sender),
            }
        }
    }

    fn take(&mut self, reply: oneshot::Sender<Option<Sender>>) {
        while let Some(sender) = self.idle.pop() {
            if sender.is_ready() {
                if let Err(Some(unused)) = reply.send(Some(sender)) {
                    self.idle.push(unused);
                }
                return;
            }
        }
        let _ = reply.send(None);
    }

    fn give_back(&mut self, sender: Sender) {
        if sender.is_closed() || self.idle.len() >= self.capacity {
            return;
        }
        self.idle.push(sender);
    }
}

impl PoolHandle {
    /// An idle connection, or a new one; `None` when the target can't be reached.
    pub async fn take(&self) -> Option<PooledSender> {
        let (reply, idle) = oneshot::channel();
        self.tx.send(PoolMessage::Take(reply)).ok()?;
        match idle.await.ok()? {
            Some(sender) => Some(self.pooled(sender)),
            None => self.connect().await,
        }
    }

    /// A new connection; `None` when the target can't be reached.
    pub async fn connect(&self) -> Option<PooledSender> {
        let connecting = TcpStream::connect(self.address);
        let stream = tokio::time::timeout(self.connect_timeout, connecting)
            .await
            .ok()?
            .ok()?;
        let _ = stream.set_nodelay(true);
        let mut builder = Builder::new();
        builder.max_buf_size(self.header_bytes);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.ok()?;
        tokio::spawn(connection);
        Some(self.pooled(sender))
    }

    fn pooled(&self, sender: Sender) -> PooledSender {
        PooledSender {
            sender,
            tx: self.tx.clone(),
        }
    }
}

impl PooledSender {
    /// Returns the connection after a whole answer was read; dropping it instead closes the connection.
    pub fn give_back(self) {
        let Self { mut sender, tx } = self;
        tokio::spawn(async move {
            if sender.ready().await.is_ok() {
                let _ = tx.send(PoolMessage::GiveBack(sender));
            }
        });
    }
}
