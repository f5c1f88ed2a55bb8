//! Forwarding of UDP datagrams.

use std::future;
use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use coltsfootport_core::collections::Map;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::proxy::Schedule;
use crate::proxy::direction::Direction;
use crate::proxy::links::Link;
use crate::timer;

/// Receive buffer size, which fits the largest UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// Datagrams queued for the session of one sender; further ones are dropped.
const SESSION_QUEUE_LEN: usize = 4096;

/// Maximum number of concurrent sessions; datagrams of further senders are dropped.
const MAX_SESSIONS: usize = 4096;

/// Time without activity after which a session ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Delay after a receive error, which concerns the socket rather than a single datagram.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(1);

/// Receives and forwards datagrams until the task is aborted.
pub async fn run(socket: UdpSocket, link: Link) {
    let socket = Arc::new(socket);
    let mut sessions: Map<SocketAddr, mpsc::Sender<Bytes>> = Map::default();
    let mut tasks = JoinSet::new();
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, sender)) = socket.recv_from(&mut buf).await else {
            // A datagram sent earlier to a sender reached a closed port; the socket itself remains usable.
            sleep(RECEIVE_RETRY_DELAY).await;
            continue;
        };
        while tasks.try_join_next().is_some() {}
        if !sessions.contains_key(&sender) {
            sessions.retain(|_, session| !session.is_closed());
            if sessions.len() >= MAX_SESSIONS {
                link.counters.forward.add_lost();
                continue;
            }
            let (tx, rx) = mpsc::channel(SESSION_QUEUE_LEN);
            let index = link.counters.add_connection();
            let return_path = ReturnPath {
                socket: Arc::clone(&socket),
                sender,
            };
            tasks.spawn(session(return_path, link.clone(), index, rx));
            sessions.insert(sender, tx);
        }
        let datagram = Bytes::copy_from_slice(&buf[..len]);
        match sessions
            .get(&sender)
            .map(|session| session.try_send(datagram))
        {
            Some(Ok(())) => {}
            Some(Err(TrySendError::Closed(_))) => {
                // The session has just timed out; the next datagram opens a new one.
                sessions.remove(&sender);
                link.counters.forward.add_lost();
            }
            Some(Err(TrySendError::Full(_))) | None => link.counters.forward.add_lost(),
        }
    }
}

/// Return path to a sender.
struct ReturnPath {
    socket: Arc<UdpSocket>,
    sender: SocketAddr,
}

/// Forwards both directions between one sender and the target address.
async fn session(return_path: ReturnPath, link: Link, index: u64, mut rx: mpsc::Receiver<Bytes>) {
    let Some(upstream) = connect_upstream(link.to).await else {
        return;
    };
    let mut forward = Schedule::new(Direction::Forward.seed(link.seed, index));
    let mut backward = Schedule::new(Direction::Backward.seed(link.seed, index));
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        tokio::select! {
            datagram = rx.recv() => {
                let Some(datagram) = datagram else { return };
                push(&mut forward, datagram, Direction::Forward, &link, return_path.sender);
            }
            received = upstream.recv(&mut buf) => match received {
                Ok(len) => {
                    let datagram = Bytes::copy_from_slice(&buf[..len]);
                    push(&mut backward, datagram, Direction::Backward, &link, return_path.sender);
                }
                // No socket is bound to the target address at the moment.
                Err(_) => sleep(RECEIVE_RETRY_DELAY).await,
            },
            () = sleep_until_due(forward.next_due()) => {}
            () = sleep_until_due(backward.next_due()) => {}
            () = sleep(IDLE_TIMEOUT) => return,
        }
        while let Some(datagram) = forward.pop(Instant::now()) {
            if upstream.send(&datagram).await.is_ok() {
                link.counters.forward.add_passed(datagram.len());
            }
        }
        while let Some(datagram) = backward.pop(Instant::now()) {
            if return_path
                .socket
                .send_to(&datagram, return_path.sender)
                .await
                .is_ok()
            {
                link.counters.backward.add_passed(datagram.len());
            }
        }
    }
}

fn push(
    schedule: &mut Schedule,
    datagram: Bytes,
    direction: Direction,
    link: &Link,
    sender: SocketAddr,
) {
    let faults = direction.faults_for_sender(&link.faults.borrow(), sender);
    if !schedule.push(datagram, Instant::now(), &faults) {
        direction.counters(&link.counters).add_lost();
    }
}

async fn sleep_until_due(due: Option<Instant>) {
    match due {
        Some(due) => timer::sleep_until(due).await,
        None => future::pending().await,
    }
}

async fn connect_upstream(to: SocketAddr) -> Option<UdpSocket> {
    let any = match to {
        SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
    };
    let socket = UdpSocket::bind(any).await.ok()?;
    socket.connect(to).await.ok()?;
    Some(socket)
}
