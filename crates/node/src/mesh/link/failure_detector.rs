//! Asks nodes that have requests of this one, and say nothing, whether they are still there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::PeerPool;
use super::health::Peer;

/// Time between looks at the nodes.
const LOOK: Duration = Duration::from_millis(100);

/// Time without anything from a node that has requests of this one, after which it is asked. Most answers come sooner, so
/// few questions are asked.
const ASK_AFTER: Duration = Duration::from_millis(200);

/// Time within which it must answer the question. A loaded node answers within tens of milliseconds; a lost packet is
/// repeated within it.
const ANSWER: Duration = Duration::from_millis(350);

/// Time between questions to a node that is silent.
const ASK_AGAIN: Duration = Duration::from_millis(400);

/// Looks between two sweeps for connections that are not used any more.
const PRUNE_LOOKS: u32 = 10;

/// Looks at all nodes for as long as the process lives.
///
/// A machine that loses power or pauses sends nothing, and the system below gives a connection up only where bytes stay
/// without acknowledgement. Until then requests sent there would hold the slots of all services above: in a day with one
/// such machine 535 requests ran out of time within four seconds.
pub async fn monitor_peers(links: PeerPool, log: Logger) {
    let mut looks = interval(LOOK);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (done_tx, mut done) = mpsc::unbounded_channel();
    let mut asking: Vec<SocketAddr> = Vec::new();
    for look in 0_u32.. {
        looks.tick().await;
        while let Ok(address) = done.try_recv() {
            asking.retain(|other| *other != address);
        }
        if look % PRUNE_LOOKS == 0 {
            links.prune();
        }
        for (address, peer) in links.peers() {
            if asking.contains(&address) || !is_asked(&peer, &links) {
                continue;
            }
            asking.push(address);
            let (links, done_tx, log) = (links.clone(), done_tx.clone(), log.clone());
            tokio::spawn(async move {
                ask(&links, address, &peer, &log).await;
                // The one who looks lives as long as the process.
                let _ = done_tx.send(address);
            });
        }
    }
}

fn is_asked(peer: &Peer, links: &PeerPool) -> bool {
    let quiet = peer.time_since_activity(links.now());
    match peer.is_silent() {
        true => quiet >= ASK_AGAIN,
        false => peer.has_requests_in_flight() && quiet >= ASK_AFTER,
    }
}

async fn ask(links: &PeerPool, address: SocketAddr, peer: &Arc<Peer>, log: &Logger) {
    let was_silent = peer.is_silent();
    // A new connection: kept ones may have gone silent alone, and the node is to be asked, not one of them.
    let connected = timeout(ANSWER, links.connect(address)).await;
    let now = links.now();
    match connected {
        Ok(Ok(link)) => {
            if was_silent {
                info!(log, "peer answers"; "peer" => address, "boot" => link.host.boot);
            }
            links.put_idle(address, link);
        }
        // Something else may have come from it meanwhile, over another connection.
        Ok(Err(_)) | Err(_) if peer.time_since_activity(now) < ANSWER => {}
        Ok(Err(_)) | Err(_) => {
            if !was_silent {
                let quiet_ms = peer.time_since_activity(now).as_millis() as u64;
                warn!(log, "peer silent"; "peer" => address, "quiet_ms" => quiet_ms);
            }
            peer.mark_silent();
        }
    }
}
