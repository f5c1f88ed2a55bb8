//! Updates the metric gauges from the state of the node's tasks.

use std::time::Duration;

use crate::gate::GateHandle;
use crate::metrics::{Metrics, PeerState, Stage};
use crate::routes::{PeerLoad, RoutesHandle};

/// Updates the gauges once a second until the gate has stopped.
pub async fn update_gauges(
    gate: GateHandle,
    routes: RoutesHandle,
    metrics: Metrics,
    capacity: usize,
) {
    let mut tick = tokio::time::interval(UPDATE_INTERVAL);
    loop {
        tick.tick().await;
        let Some(status) = gate.status().await else {
            return;
        };
        metrics.admission.set_queue_length(status.queued as usize);
        metrics.admission.set_limit(status.limit as usize);
        metrics.admission.set_level(status.level.position().into());
        metrics.tokens.set_table_size(status.records, capacity);
        let peers = routes.peers().await;
        set_peers(&metrics, &peers);
        let at_peers: u32 = peers.iter().map(|peer| peer.in_flight).sum();
        let calls = &metrics.calls;
        calls.set_in_flight(Stage::AtTarget, status.in_flight as usize);
        calls.set_in_flight(Stage::AtPeers, at_peers as usize);
    }
}

const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

fn set_peers(metrics: &Metrics, peers: &[PeerLoad]) {
    let leaving = peers.iter().filter(|peer| peer.leaving).count();
    let ejected = peers
        .iter()
        .filter(|peer| peer.ejected && !peer.leaving)
        .count();
    metrics.peers.set(PeerState::Leaving, leaving);
    metrics.peers.set(PeerState::Ejected, ejected);
    metrics
        .peers
        .set(PeerState::Up, peers.len() - leaving - ejected);
}
