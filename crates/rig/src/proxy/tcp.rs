//! Forwarding of TCP connections.

use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::proxy::direction::Direction;
use crate::proxy::links::Link;
use crate::proxy::{Cut, LinkFaults, Pacer};
use crate::timer;

/// Read buffer size per chunk.
const CHUNK_BYTES: usize = 16 << 10;

/// Chunks buffered in one direction of a connection before backpressure stops reading from the sender.
const MAX_BUFFERED_CHUNKS: usize = 256;

/// Delay after a failed accept, for example when the process has run out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Interval between attempts to connect to an upstream that refused connections.
const UPSTREAM_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Part of a stream with its due time. An empty chunk marks the end of the stream.
struct Chunk {
    due: Instant,
    bytes: Bytes,
}

/// Reason why one direction of a connection stopped.
enum StopReason {
    /// The sender closed the direction and the close was forwarded to the receiver.
    Ended,
    /// The whole connection must be closed.
    Broken,
}

/// Accepts and forwards connections until the task is aborted.
pub async fn run(mut listener: TcpListener, link: Link) {
    let mut connections = JoinSet::new();
    let refused = Arc::new(Notify::new());
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let index = link.counters.add_connection();
                    let refused = Arc::clone(&refused);
                    connections.spawn(connection(stream, link.clone(), index, refused));
                }
                Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
            },
            () = refused.notified(), if link.mirrors_refusal => {
                listener = rebind_once_reachable(listener, &link).await;
            }
        }
        while connections.try_join_next().is_some() {}
    }
}

/// Closes the listener and binds its address again once the upstream accepts connections.
async fn rebind_once_reachable(listener: TcpListener, link: &Link) -> TcpListener {
    let addr = listener.local_addr();
    drop(listener);
    loop {
        sleep(UPSTREAM_RETRY_INTERVAL).await;
        if TcpStream::connect(link.to).await.is_err() {
            continue;
        }
        // The address belongs to this link. If another socket holds it for a moment, binding is retried.
        if let Ok(addr) = &addr
            && let Ok(listener) = TcpListener::bind(addr).await
        {
            return listener;
        }
    }
}

/// Forwards one connection. A cut drops both streams, which closes them towards both peers.
async fn connection(client: TcpStream, link: Link, index: u64, refused: Arc<Notify>) {
    let mut faults = link.faults.clone();
    tokio::select! {
        // Polled first, so that a link that starts out cut never connects to the upstream.
        biased;
        _ = faults.wait_for(LinkFaults::closes_connections) => {}
        // An error on either stream ends both; the peers see a closed connection.
        result = forward_connection(client, &link, index) => {
            if result.is_err_and(|e| e.kind() == io::ErrorKind::ConnectionRefused) {
                refused.notify_one();
            }
        }
    }
}

async fn forward_connection(client: TcpStream, link: &Link, index: u64) -> io::Result<()> {
    // The kernel has already completed the handshake with the client, but nothing may reach the upstream while a
    // blackhole would have prevented that handshake.
    let mut faults = link.faults.clone();
    let _ = faults.wait_for(|faults| !faults.blocks_handshake()).await;
    let upstream = TcpStream::connect(link.to).await?;
    client.set_nodelay(true)?;
    upstream.set_nodelay(true)?;
    let (client_rx, client_tx) = client.into_split();
    let (upstream_rx, upstream_tx) = upstream.into_split();

    let forward = forward_direction(
        client_rx,
        upstream_tx,
        link.clone(),
        index,
        Direction::Forward,
    );
    let backward = forward_direction(
        upstream_rx,
        client_tx,
        link.clone(),
        index,
        Direction::Backward,
    );
    tokio::pin!(forward, backward);
    // A peer may close its direction and still wait for the response in the other.
    let (mut forward_open, mut backward_open) = (true, true);
    while forward_open || backward_open {
        let stopped = tokio::select! {
            stopped = &mut forward, if forward_open => { forward_open = false; stopped }
            stopped = &mut backward, if backward_open => { backward_open = false; stopped }
        };
        if matches!(stopped, StopReason::Broken) {
            return Ok(());
        }
    }
    Ok(())
}

async fn forward_direction(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    link: Link,
    index: u64,
    direction: Direction,
) -> StopReason {
    let (tx, rx) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let seed = direction.seed(link.seed, index);
    let reading = read(from, tx, link.faults.clone(), direction, seed);
    let writing = write(to, rx, link, direction);
    tokio::pin!(writing);
    tokio::select! {
        // A broken receiver ends the direction immediately, even while the sender is idle.
        stopped = &mut writing => stopped,
        () = reading => writing.await,
    }
}

async fn read(
    mut from: OwnedReadHalf,
    tx: mpsc::Sender<Chunk>,
    faults: watch::Receiver<LinkFaults>,
    direction: Direction,
    seed: u64,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut pacer = Pacer::default();
    loop {
        let mut buf = BytesMut::with_capacity(CHUNK_BYTES);
        // A reset surfaces as a read error. It is forwarded as the end of the stream, after the bytes before it.
        let is_end = !matches!(from.read_buf(&mut buf).await, Ok(n) if n > 0);
        let current = direction.faults(&faults.borrow());
        let due = pacer.due(Instant::now(), &current, &mut rng);
        let chunk = Chunk {
            due,
            bytes: buf.freeze(),
        };
        if tx.send(chunk).await.is_err() || is_end {
            return;
        }
    }
}

async fn write(
    mut to: OwnedWriteHalf,
    mut rx: mpsc::Receiver<Chunk>,
    link: Link,
    direction: Direction,
) -> StopReason {
    let mut faults = link.faults.clone();
    let mut written = 0;
    while let Some(mut chunk) = rx.recv().await {
        timer::sleep_until(chunk.due).await;
        let held = |faults: &LinkFaults| direction.faults(faults).cut == Cut::Blackhole;
        let _ = faults.wait_for(|faults| !held(faults)).await;
        if chunk.bytes.is_empty() {
            return shut_down(to).await;
        }
        let limit = direction.faults(&faults.borrow()).truncate_bytes;
        let remaining = limit.map_or(u64::MAX, |limit| limit.saturating_sub(written));
        let is_truncated = chunk.bytes.len() as u64 >= remaining;
        if is_truncated {
            chunk.bytes.truncate(remaining as usize);
        }
        if to.write_all(&chunk.bytes).await.is_err() || is_truncated {
            return StopReason::Broken;
        }
        written += chunk.bytes.len() as u64;
        direction
            .counters(&link.counters)
            .add_passed(chunk.bytes.len());
    }
    StopReason::Ended
}

async fn shut_down(mut to: OwnedWriteHalf) -> StopReason {
    match to.shutdown().await {
        Ok(()) => StopReason::Ended,
        Err(_) => StopReason::Broken,
    }
}
