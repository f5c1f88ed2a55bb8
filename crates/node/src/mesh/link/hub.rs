//! Links to other nodes: one connection each, made when first needed.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootport_core::collections::Map;
use quinn::{Connection, Endpoint};
use slog::{Logger, info};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;

use super::health::{Watched, watch_links};
use super::tls::SERVER_NAME;
use crate::clock::SharedClock;

/// Longest time for a handshake: two lost packets in a row fit in, a node that is gone does not hold a request up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// A connection to another node.
#[derive(Clone, Debug)]
pub struct Link {
    /// The connection.
    pub connection: Connection,
    /// Whether it carries packets out and brings none back.
    pub silent: watch::Receiver<bool>,
}

/// Asks the hub for links.
#[derive(Clone, Debug)]
pub struct LinkHub {
    tx: mpsc::UnboundedSender<HubEvent>,
}

/// Everything that the hub hears.
#[derive(Debug)]
pub enum HubEvent {
    /// A request needs the link to a node.
    Get(SocketAddr, oneshot::Sender<Option<Link>>),
    /// An attempt to connect has ended.
    Connected(SocketAddr, Option<Link>),
}

enum State {
    Up(Link),
    Connecting(Vec<oneshot::Sender<Option<Link>>>),
}

impl LinkHub {
    /// A hub's handle and the channel for [`run_hub`].
    pub fn new() -> (Self, mpsc::UnboundedReceiver<HubEvent>) {
        let (tx, rx) = mpsc::unbounded_channel();
        (Self { tx }, rx)
    }

    /// The link to a node; `None` where it can't be reached.
    pub async fn get(&self, peer: SocketAddr) -> Option<Link> {
        let (tx, rx) = oneshot::channel();
        self.tx.send(HubEvent::Get(peer, tx)).ok()?;
        rx.await.ok().flatten()
    }
}

/// Owns all links until every handle is gone.
pub async fn run_hub(
    endpoint: Endpoint,
    hub: LinkHub,
    clock: SharedClock,
    mut rx: mpsc::UnboundedReceiver<HubEvent>,
    log: Logger,
) {
    let mut links: Map<SocketAddr, State> = Map::default();
    let (watch_tx, watch_rx) = mpsc::unbounded_channel();
    tokio::spawn(watch_links(watch_rx, clock.clone()));
    while let Some(event) = rx.recv().await {
        match event {
            HubEvent::Get(peer, reply) => match links.get_mut(&peer) {
                Some(State::Up(link)) if link.connection.close_reason().is_none() => {
                    drop(reply.send(Some(link.clone())));
                }
                Some(State::Connecting(waiting)) => waiting.push(reply),
                _ => {
                    if let Some(State::Up(link)) = links.get(&peer) {
                        let reason = link
                            .connection
                            .close_reason()
                            .map(|reason| reason.to_string());
                        info!(log, "peer lost"; "peer" => peer, "reason" => reason);
                    }
                    links.insert(peer, State::Connecting(vec![reply]));
                    tokio::spawn(connect(
                        endpoint.clone(),
                        peer,
                        hub.tx.clone(),
                        watch_tx.clone(),
                        clock.clone(),
                    ));
                }
            },
            HubEvent::Connected(peer, link) => {
                info!(log, "peer connected"; "peer" => peer, "reached" => link.is_some());
                let before = match &link {
                    Some(link) => links.insert(peer, State::Up(link.clone())),
                    None => links.remove(&peer),
                };
                let Some(State::Connecting(waiting)) = before else {
                    continue;
                };
                for reply in waiting {
                    drop(reply.send(link.clone()));
                }
            }
        }
    }
}

async fn connect(
    endpoint: Endpoint,
    peer: SocketAddr,
    tx: mpsc::UnboundedSender<HubEvent>,
    watch_tx: mpsc::UnboundedSender<Watched>,
    clock: SharedClock,
) {
    let connection = match endpoint.connect(peer, SERVER_NAME) {
        Ok(connecting) => timeout(CONNECT_TIMEOUT, connecting).await,
        Err(_) => return drop(tx.send(HubEvent::Connected(peer, None))),
    };
    let connection = connection.ok().and_then(Result::ok);
    let link = connection.map(|connection| {
        let (watched, silent) = Watched::new(connection.clone(), clock.now());
        // The one who looks lives as long as the hub.
        drop(watch_tx.send(watched));
        Link { connection, silent }
    });
    // The hub lives as long as the process.
    drop(tx.send(HubEvent::Connected(peer, link)));
}
