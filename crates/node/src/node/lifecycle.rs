//! Readiness and graceful shutdown of a node.

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

/// Makes the node ready once it has documents, and shuts it down gracefully.
pub struct NodeLifecycle {
    /// Told when to accept work and when to leave.
    pub gate: GateHandle,
    /// Source of the host report in announcements.
    pub host: Host,
    /// Spreads this node's state to other nodes.
    pub spread: SpreadHandle,
    /// Sends announcements to the connected peers.
    pub hub: HubHandle,
    /// Source of the timestamps in announcements.
    pub recorder: Recorder,
    /// Published snapshot; the node becomes ready with the first documents.
    pub published: watch::Receiver<Arc<Published>>,
    /// Set to true when an operator requests a drain.
    pub stopping: watch::Receiver<bool>,
    /// Tells the listeners to leave and to close.
    pub listeners: watch::Sender<ListenerStage>,
    /// Lifecycle events from the gate.
    pub events: mpsc::UnboundedReceiver<LifecycleEvent>,
    /// Log of the node.
    pub log: Logger,
}

impl NodeLifecycle {
    /// Runs until a stop is requested and the node has drained.
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
        self.spread.set_state(NodeState::Serving);
        info!(self.log, "node is ready");
        true
    }

    /// Announces the shutdown, waits until no call is in flight, then closes the listeners.
    ///
    /// The callers' listener stays open until the node has drained. Requests that arrive in the meantime are run by
    /// other hosts, so a planned stop interrupts no caller.
    async fn stop(&mut self) {
        info!(self.log, "node is draining");
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
                warn!(self.log, "drain limit reached with unfinished calls"; "left" => left);
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
            .broadcast(ControlRequest::Announce(hello), ANNOUNCE_TIMEOUT);
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
