//! UDP links.

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

/// Largest datagram.
const DATAGRAM: usize = 65_535;

/// Datagrams of one sender that wait for its session.
const QUEUE: usize = 4096;

/// Senders at one time; datagrams of further ones are lost.
const SESSIONS: usize = 4096;

/// A session without datagrams for so long ends.
const IDLE: Duration = Duration::from_secs(120);

/// Pause after a failed receive that isn't about a single datagram.
const RECEIVE_PAUSE: Duration = Duration::from_millis(1);

/// Receives and passes on until the task is aborted.
pub async fn run(socket: UdpSocket, link: Link) {
    let socket = Arc::new(socket);
    let mut sessions: Map<SocketAddr, mpsc::Sender<Bytes>> = Map::default();
    let mut tasks = JoinSet::new();
    let mut buf = vec![0; DATAGRAM];
    loop {
        let Ok((len, sender)) = socket.recv_from(&mut buf).await else {
            // An earlier answer met a closed port; the socket itself goes on.
            sleep(RECEIVE_PAUSE).await;
            continue;
        };
        while tasks.try_join_next().is_some() {}
        if !sessions.contains_key(&sender) {
            sessions.retain(|_, session| !session.is_closed());
            if sessions.len() >= SESSIONS {
                link.counters.forward.add_lost();
                continue;
            }
            let (tx, rx) = mpsc::channel(QUEUE);
            let number = link.counters.add_connection();
            let near = Near {
                socket: Arc::clone(&socket),
                sender,
            };
            tasks.spawn(session(near, link.clone(), number, rx));
            sessions.insert(sender, tx);
        }
        let datagram = Bytes::copy_from_slice(&buf[..len]);
        match sessions
            .get(&sender)
            .map(|session| session.try_send(datagram))
        {
            Some(Ok(())) => {}
            Some(Err(TrySendError::Closed(_))) => {
                // The session has just ended for lack of datagrams; the next one opens another.
                sessions.remove(&sender);
                link.counters.forward.add_lost();
            }
            Some(Err(TrySendError::Full(_))) | None => link.counters.forward.add_lost(),
        }
    }
}

/// The way back to a sender.
struct Near {
    socket: Arc<UdpSocket>,
    sender: SocketAddr,
}

/// Both directions between one sender and the target address.
async fn session(near: Near, link: Link, number: u64, mut rx: mpsc::Receiver<Bytes>) {
    let Some(far) = far_socket(link.to).await else {
        return;
    };
    let mut forward = Schedule::new(Direction::Forward.seed(link.seed, number));
    let mut backward = Schedule::new(Direction::Backward.seed(link.seed, number));
    let mut buf = vec![0; DATAGRAM];
    loop {
        tokio::select! {
            datagram = rx.recv() => {
                let Some(datagram) = datagram else { return };
                push(&mut forward, datagram, Direction::Forward, &link, near.sender);
            }
            received = far.recv(&mut buf) => match received {
                Ok(len) => {
                    let datagram = Bytes::copy_from_slice(&buf[..len]);
                    push(&mut backward, datagram, Direction::Backward, &link, near.sender);
                }
                // Nobody listens at the target address at the moment.
                Err(_) => sleep(RECEIVE_PAUSE).await,
            },
            () = wait_for(forward.next_due()) => {}
            () = wait_for(backward.next_due()) => {}
            () = sleep(IDLE) => return,
        }
        while let Some(datagram) = forward.pop(Instant::now()) {
            if far.send(&datagram).await.is_ok() {
                link.counters.forward.add_passed(datagram.len());
            }
        }
        while let Some(datagram) = backward.pop(Instant::now()) {
            if near.socket.send_to(&datagram, near.sender).await.is_ok() {
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
    let faults = direction.faults_of(&link.faults.borrow(), sender);
    if !schedule.push(datagram, Instant::now(), &faults) {
        direction.counters(&link.counters).add_lost();
    }
}

async fn wait_for(due: Option<Instant>) {
    match due {
        Some(due) => timer::sleep_until(due).await,
        None => future::pending().await,
    }
}

async fn far_socket(to: SocketAddr) -> Option<UdpSocket> {
    let any = match to {
        SocketAddr::V4(_) => SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        SocketAddr::V6(_) => SocketAddr::from((Ipv6Addr::UNSPECIFIED, 0)),
    };
    let socket = UdpSocket::bind(any).await.ok()?;
    socket.connect(to).await.ok()?;
    Some(socket)
}
