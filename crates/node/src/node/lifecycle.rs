//! A node's life as seen from outside: ready when it has documents, stopped gracefully.

use std::sync::Arc;
use std::time::Duration;

use coltsfootport_core::lifecycle::LifecycleEvent;
use coltsfootport_core::membership::NodeState;
use slog::{Logger, info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};

use crate::gate::GateHandle;
use crate::host::Host;
use crate::http::ListenerStage;
use crate::peers::HubHandle;
use crate::recorder::Recorder;
use crate::spread::{Published, SpreadHandle};
use crate::wire::{ControlRequest, HelloFrame};

/// Starts and stops the node's work.
pub struct NodeLifecycle {
    /// Takes and refuses work.
    pub gate: GateHandle,
    /// Knows the node's own state.
    pub host: Host,
    /// Passes on that this node serves.
    pub spread: SpreadHandle,
    /// Connections to tell of the leaving.
    pub hub: HubHandle,
    /// Stamps announcements.
    pub recorder: Recorder,
    /// What is published; the first documents make the node ready.
    pub published: watch::Receiver<Arc<Published>>,
    /// Turns true when an operator asks the node to drain.
    pub stopping: watch::Receiver<bool>,
    /// Winds the listeners up.
    pub listeners: watch::Sender<ListenerStage>,
    /// What the lifecycle asks for.
    pub events: mpsc::UnboundedReceiver<LifecycleEvent>,
    /// The node's log.
    pub log: Logger,
}

impl NodeLifecycle {
    /// Runs until the node has drained after a stop was asked for.
    pub async fn run(mut self) {
        let mut terminate = signal_stream(SignalKind::terminate());
        let mut interrupt = signal_stream(SignalKind::interrupt());
        let mut ready = false;
        loop {
            tokio::select! {
                _ = self.published.changed(), if !ready => {}
                _ = recv_signal(&mut terminate) => break,
                _ = recv_signal(&mut interrupt) => break,
                _ = self.stopping.wait_for(|stopping| *stopping) => break,
            }
            if !ready && self.try_ready() {
                ready = true;
                self.announce().await;
            }
        }
        self.stop().await;
    }

    fn try_ready(&self) -> bool {
        if !self.published.borrow().ready {
            return false;
        }
        self.gate.ready();
        self.spread.state(NodeState::Serving);
        info!(self.log, "node serves");
        true
    }

    /// Announces, lets everything in flight end, then closes the listeners.
    ///
    /// The callers' listener stays open until the node has drained: requests that arrive meanwhile are served by other
    /// hosts, so that a planned stop cuts off nobody.
    async fn stop(&mut self) {
        info!(self.log, "node leaves");
        self.spread.state(NodeState::Leaving);
        let _ = self.listeners.send(ListenerStage::Leaving);
        let gate = self.gate.clone();
        let drained = gate.leave();
        tokio::pin!(drained);
        loop {
            tokio::select! {
                () = &mut drained => break,
                Some(event) = self.events.recv() => self.handle(event).await,
            }
        }
        let _ = self.listeners.send(ListenerStage::Closing);
        info!(self.log, "node drained");
    }

    async fn handle(&self, event: LifecycleEvent) {
        match event {
            LifecycleEvent::Announce => self.announce().await,
            LifecycleEvent::DrainDeadline { left } => {
                warn!(self.log, "calls are left at the drain limit"; "left" => left);
            }
            LifecycleEvent::Drained => {}
        }
    }

    async fn announce(&self) {
        let Some(report) = self.host.report().await else {
            return;
        };
        let hello = HelloFrame::new(&report, self.recorder.stamp());
        self.hub
            .tell_all(ControlRequest::Announce(hello), ANNOUNCE_TIMEOUT);
    }
}

const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

fn signal_stream(kind: SignalKind) -> Option<Signal> {
    signal(kind).ok()
}

async fn recv_signal(signal: &mut Option<Signal>) {
    match signal {
        Some(signal) => {
            signal.recv().await;
        }
        None => std::future::pending().await,
    }
}
