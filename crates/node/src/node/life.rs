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
pub struct Life {
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

impl Life {
    /// Runs until the node has drained after a stop was asked for.
    pub async fn run(mut self) {
        let mut terminate = stop_signal(SignalKind::terminate());
        let mut interrupt = stop_signal(SignalKind::interrupt());
        let mut ready = false;
        loop {
            tokio::select! {
                _ = self.published.changed(), if !ready => {}
                _ = received(&mut terminate) => break,
                _ = received(&mut interrupt) => break,
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
        self.spread.set_state(NodeState::Serving);
        info!(self.log, "node serves");
        true
    }

    /// Announces, lets everything in flight end, then closes the listeners.
    ///
    /// The callers' listener stays open until the node has drained: requests that arrive meanwhile are served by other
    /// hosts, so that a planned stop cuts off nobody.
    async fn stop(&mut self) {
        info!(self.log, "node leaves");
        self.spread.set_state(NodeState::Leaving);
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
            .broadcast(ControlRequest::Announce(hello), ANNOUNCE_PATIENCE);
    }
}

const ANNOUNCE_PATIENCE: Duration = Duration::from_millis(500);

fn stop_signal(kind: SignalKind) -> Option<Signal> {
    signal(kind).ok()
}

async fn received(signal: &mut Option<Signal>) {
    match signal {
        Some(signal) => {
            signal.recv().await;
        }
        None => std::future::pending().await,
    }
}
