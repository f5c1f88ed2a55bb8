//! Failure detector: probes peers that have requests in flight but send nothing.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, timeout};

use super::PeerPool;
use super::health::Peer;

/// Interval between checks of all peers.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time without a message from a peer with requests in flight after which it is probed. Most replies arrive sooner, so
/// that probes are rare.
const PROBE_AFTER: Duration = Duration::from_millis(200);

/// Time within which a peer must answer a probe. A node under load answers within tens of milliseconds, and a lost
/// packet is retransmitted within this time.
const PROBE_TIMEOUT: Duration = Duration::from_millis(350);

/// Interval between probes of a silent peer.
const SILENT_PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Number of checks between two prunings of the pool.
const CHECKS_PER_PRUNE: u32 = 10;

/// Monitors all peers for the lifetime of the process.
///
/// A machine that loses power or pauses sends nothing, and the kernel drops a connection only when sent bytes stay
/// unacknowledged. Until then, requests to that machine would occupy slots in all upstream services: a single
/// such machine made 535 requests time out within four seconds.
pub async fn monitor_peers(links: PeerPool, log: Logger) {
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (done_tx, mut done) = mpsc::unbounded_channel();
    let mut probing: Vec<SocketAddr> = Vec::new();
    for check in 0_u32.. {
        ticks.tick().await;
        while let Ok(address) = done.try_recv() {
            probing.retain(|other| *other != address);
        }
        if check % CHECKS_PER_PRUNE == 0 {
            links.prune();
        }
        for (address, peer) in links.peers() {
            if probing.contains(&address) || !is_probe_due(&peer, &links) {
                continue;
            }
            probing.push(address);
            let (links, done_tx, log) = (links.clone(), done_tx.clone(), log.clone());
            tokio::spawn(async move {
                probe(&links, address, &peer, &log).await;
                // The receiver lives as long as the process.
                let _ = done_tx.send(address);
            });
        }
    }
}

fn is_probe_due(peer: &Peer, links: &PeerPool) -> bool {
    let silence = peer.time_since_activity(links.now());
    match peer.is_silent() {
        true => silence >= SILENT_PROBE_INTERVAL,
        false => peer.has_requests_in_flight() && silence >= PROBE_AFTER,
    }
}

async fn probe(links: &PeerPool, address: SocketAddr, peer: &Arc<Peer>, log: &Logger) {
    let was_silent = peer.is_silent();
    // Uses a new connection, because a failed idle connection does not mean that the peer has failed.
    let connected = timeout(PROBE_TIMEOUT, links.connect(address)).await;
    let now = links.now();
    match connected {
        Ok(Ok(link)) => {
            if was_silent {
                info!(log, "peer answers"; "peer" => address, "boot" => link.host.boot);
            }
            links.put_idle(address, link);
        }
        // The peer has sent something over another connection meanwhile.
        Ok(Err(_)) | Err(_) if peer.time_since_activity(now) < PROBE_TIMEOUT => {}
        Ok(Err(_)) | Err(_) => {
            if !was_silent {
                let quiet_ms = peer.time_since_activity(now).as_millis() as u64;
                warn!(log, "peer silent"; "peer" => address, "quiet_ms" => quiet_ms);
            }
            peer.mark_silent();
        }
    }
}
