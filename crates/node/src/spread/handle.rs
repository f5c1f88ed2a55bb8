//! Handle to the spread task.

use coltsfootport_core::membership::NodeState;
use tokio::sync::{mpsc, oneshot};

use super::SpreadMessage;
use crate::operators::{DocumentStatus, PlatformStatus};
use crate::wire::{ControlReply, ControlRequest};

/// Sends messages to the spread task; cheap to clone.
#[derive(Clone, Debug)]
pub struct SpreadHandle {
    tx: mpsc::UnboundedSender<SpreadMessage>,
}

impl SpreadHandle {
    /// Creates a handle that sends to `tx`.
    pub fn new(tx: mpsc::UnboundedSender<SpreadMessage>) -> Self {
        Self { tx }
    }

    /// Passes a peer's request to the task and returns the reply.
    pub async fn handle_request(&self, request: ControlRequest) -> ControlReply {
        self.request(|reply| SpreadMessage::Request(request, reply))
            .await
            .unwrap_or(ControlReply::Done)
    }

    /// Sets this node's own state in its view and reports it to peers.
    pub fn set_state(&self, state: NodeState) {
        let _ = self.tx.send(SpreadMessage::StateChanged(state));
    }

    /// Returns the state of every document.
    pub async fn document_status(&self) -> Vec<DocumentStatus> {
        self.request(SpreadMessage::DocumentStatus)
            .await
            .unwrap_or_default()
    }

    /// Returns the state of platform reads as seen by this node.
    pub async fn platform_status(&self) -> PlatformStatus {
        self.request(SpreadMessage::PlatformStatus)
            .await
            .unwrap_or_default()
    }

    async fn request<T, M>(&self, message: M) -> Option<T>
    where
        M: FnOnce(oneshot::Sender<T>) -> SpreadMessage,
    {
        let (tx, rx) = oneshot::channel();
        self.tx.send(message(tx)).ok()?;
        rx.await.ok()
    }
}
