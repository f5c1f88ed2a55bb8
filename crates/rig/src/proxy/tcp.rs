//! TCP links.

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

/// Largest piece of a stream.
const PIECE: usize = 16 << 10;

/// Pieces on their way in one direction of a connection; then the sender is held back.
const PIECES: usize = 256;

/// Pause after a failed accept, such as when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Time between looks at whether a far end that refused connections accepts them again.
const FAR_PAUSE: Duration = Duration::from_millis(20);

/// A part of a stream and when it is due; no bytes stand for its end.
struct Piece {
    due: Instant,
    bytes: Bytes,
}

/// Why a direction of a connection stopped.
enum Stopped {
    /// The sender closed it and the receiver has been told.
    Ended,
    /// The whole connection has to be closed.
    Broken,
}

/// Accepts and passes on until the task is aborted.
pub async fn run(mut listener: TcpListener, link: Link) {
    let mut connections = JoinSet::new();
    let refused = Arc::new(Notify::new());
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let number = link.counters.add_connection();
                    let refused = Arc::clone(&refused);
                    connections.spawn(connection(stream, link.clone(), number, refused));
                }
                Err(_) => sleep(ACCEPT_PAUSE).await,
            },
            () = refused.notified(), if link.mirrors_refusal => {
                listener = reopened(listener, &link).await;
            }
        }
        while connections.try_join_next().is_some() {}
    }
}

/// Closes a listener until the far end accepts connections again.
async fn reopened(listener: TcpListener, link: &Link) -> TcpListener {
    let addr = listener.local_addr();
    drop(listener);
    loop {
        sleep(FAR_PAUSE).await;
        if TcpStream::connect(link.to).await.is_err() {
            continue;
        }
        // The address is its own; while something else holds it for a moment, it is tried again.
        if let Ok(addr) = &addr
            && let Ok(listener) = TcpListener::bind(addr).await
        {
            return listener;
        }
    }
}

/// Dropping both streams closes them, which is how a cut reaches the two ends.
async fn connection(near: TcpStream, link: Link, number: u64, refused: Arc<Notify>) {
    let mut faults = link.faults.clone();
    tokio::select! {
        // Looked at first, so that a link which is cut from the start never connects to the far end.
        biased;
        _ = faults.wait_for(LinkFaults::closes_connections) => {}
        // A fault of either stream ends both; the ends see a closed connection.
        passed = pass(near, &link, number) => {
            if passed.is_err_and(|e| e.kind() == io::ErrorKind::ConnectionRefused) {
                refused.notify_one();
            }
        }
    }
}

async fn pass(near: TcpStream, link: &Link, number: u64) -> io::Result<()> {
    // The system has already accepted for us, but nothing may reach the far end while the handshake couldn't.
    let mut faults = link.faults.clone();
    let _ = faults.wait_for(|faults| !faults.blocks_handshake()).await;
    let far = TcpStream::connect(link.to).await?;
    near.set_nodelay(true)?;
    far.set_nodelay(true)?;
    let (near_rx, near_tx) = near.into_split();
    let (far_rx, far_tx) = far.into_split();

    let forward = one_way(near_rx, far_tx, link.clone(), number, Direction::Forward);
    let backward = one_way(far_rx, near_tx, link.clone(), number, Direction::Backward);
    tokio::pin!(forward, backward);
    // One end may close its direction and still wait for the other's answer.
    let (mut forward_open, mut backward_open) = (true, true);
    while forward_open || backward_open {
        let stopped = tokio::select! {
            stopped = &mut forward, if forward_open => { forward_open = false; stopped }
            stopped = &mut backward, if backward_open => { backward_open = false; stopped }
        };
        if matches!(stopped, Stopped::Broken) {
            return Ok(());
        }
    }
    Ok(())
}

async fn one_way(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    link: Link,
    number: u64,
    direction: Direction,
) -> Stopped {
    let (tx, rx) = mpsc::channel(PIECES);
    let seed = direction.seed(link.seed, number);
    let reading = read(from, tx, link.faults.clone(), direction, seed);
    let writing = write(to, rx, link, direction);
    tokio::pin!(writing);
    tokio::select! {
        // A broken receiver ends the direction at once, also while the sender is silent.
        stopped = &mut writing => stopped,
        () = reading => writing.await,
    }
}

async fn read(
    mut from: OwnedReadHalf,
    tx: mpsc::Sender<Piece>,
    faults: watch::Receiver<LinkFaults>,
    direction: Direction,
    seed: u64,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut pacer = Pacer::default();
    loop {
        let mut buf = BytesMut::with_capacity(PIECE);
        // A reset reads as an error; it is passed on as an end, as the bytes before it are.
        let is_end = !matches!(from.read_buf(&mut buf).await, Ok(n) if n > 0);
        let current = direction.faults(&faults.borrow());
        let due = pacer.due(Instant::now(), &current, &mut rng);
        let piece = Piece {
            due,
            bytes: buf.freeze(),
        };
        if tx.send(piece).await.is_err() || is_end {
            return;
        }
    }
}

async fn write(
    mut to: OwnedWriteHalf,
    mut rx: mpsc::Receiver<Piece>,
    link: Link,
    direction: Direction,
) -> Stopped {
    let mut faults = link.faults.clone();
    let mut written = 0;
    while let Some(mut piece) = rx.recv().await {
        timer::sleep_until(piece.due).await;
        let held = |faults: &LinkFaults| direction.faults(faults).cut == Cut::Blackhole;
        let _ = faults.wait_for(|faults| !held(faults)).await;
        if piece.bytes.is_empty() {
            return end(to).await;
        }
        let limit = direction.faults(&faults.borrow()).truncate_bytes;
        let room = limit.map_or(u64::MAX, |limit| limit.saturating_sub(written));
        let is_cut_short = piece.bytes.len() as u64 >= room;
        if is_cut_short {
            piece.bytes.truncate(room as usize);
        }
        if to.write_all(&piece.bytes).await.is_err() || is_cut_short {
            return Stopped::Broken;
        }
        written += piece.bytes.len() as u64;
        direction
            .counters(&link.counters)
            .add_passed(piece.bytes.len());
    }
    Stopped::Ended
}

async fn end(mut to: OwnedWriteHalf) -> Stopped {
    match to.shutdown().await {
        Ok(()) => Stopped::Ended,
        Err(_) => Stopped::Broken,
    }
}
