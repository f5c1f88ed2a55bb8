//! Sends messages to the spread task.

use coltsfootport_core::membership::NodeState;
use tokio::sync::{mpsc, oneshot};

use super::SpreadMessage;
use crate::operators::{DocumentStatus, PlatformStatus};
use crate::wire::{ControlReply, ControlRequest};

/// Handle to the spread task.
#[derive(Clone, Debug)]
pub struct SpreadHandle {
    tx: mpsc::UnboundedSender<SpreadMessage>,
}

impl SpreadHandle {
    /// A handle that sends into `tx`.
    pub fn new(tx: mpsc::UnboundedSender<SpreadMessage>) -> Self {
        Self { tx }
    }

    /// Answers a peer's request about what is published.
    pub async fn handle_request(&self, request: ControlRequest) -> ControlReply {
        self.ask(|reply| SpreadMessage::Request(request, reply))
            .await
            .unwrap_or(ControlReply::Done)
    }

    /// Tells that this node has begun to serve or to leave, for its own view and its peers.
    pub fn set_state(&self, state: NodeState) {
        let _ = self.tx.send(SpreadMessage::StateChanged(state));
    }

    /// State of every document.
    pub async fn document_status(&self) -> Vec<DocumentStatus> {
        self.ask(SpreadMessage::DocumentStatus)
            .await
            .unwrap_or_default()
    }

    /// State of the platform as seen from here.
    pub async fn platform_status(&self) -> PlatformStatus {
        self.ask(SpreadMessage::PlatformStatus)
            .await
            .unwrap_or_default()
    }

    async fn ask<T, M>(&self, message: M) -> Option<T>
    where
        M: FnOnce(oneshot::Sender<T>) -> SpreadMessage,
    {
        let (reply, answer) = oneshot::channel();
        self.tx.send(message(reply)).ok()?;
        answer.await.ok()
    }
}
