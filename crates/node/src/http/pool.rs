//! Connection pool for the node's own target.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};

use super::listener::MIN_HEADER_BYTES;

/// Sender half of one connection.
type Sender = SendRequest<Full<Bytes>>;

/// Task that owns the idle connections to the target.
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

/// Connection taken from the pool.
#[derive(Debug)]
pub struct PooledSender {
    /// Sender for requests on the connection.
    pub sender: Sender,
    tx: mpsc::UnboundedSender<PoolMessage>,
}

#[derive(Debug)]
enum PoolMessage {
    Take(oneshot::Sender<Option<Sender>>),
    Return(Sender),
}

impl TargetPool {
    /// Creates a pool that keeps at most `capacity` idle connections and accepts answer heads of up to `header_bytes`.
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
            header_bytes: header_bytes.max(MIN_HEADER_BYTES),
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

    /// Runs until all handles and connections taken from the pool have been dropped.
    pub async fn run(mut self) {
        while let Some(message) = self.rx.recv().await {
            match message {
                PoolMessage::Take(reply) => self.take(reply),
                PoolMessage::Return(sender) => self.return_to_pool(sender),
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

    fn return_to_pool(&mut self, sender: Sender) {
        if sender.is_closed() || self.idle.len() >= self.capacity {
            return;
        }
        self.idle.push(sender);
    }
}

impl PoolHandle {
    /// Returns an idle connection or opens a new one; `None` if the target can't be reached.
    pub async fn take(&self) -> Option<PooledSender> {
        let (reply, idle) = oneshot::channel();
        self.tx.send(PoolMessage::Take(reply)).ok()?;
        match idle.await.ok()? {
            Some(sender) => Some(self.pooled(sender)),
            None => self.connect().await,
        }
    }

    /// Opens a new connection; returns `None` if the target can't be reached.
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
    /// Returns the connection to the pool after a complete answer; a connection that is dropped instead is closed.
    pub fn return_to_pool(self) {
        let Self { mut sender, tx } = self;
        tokio::spawn(async move {
            if sender.ready().await.is_ok() {
                let _ = tx.send(PoolMessage::Return(sender));
            }
        });
    }
}
