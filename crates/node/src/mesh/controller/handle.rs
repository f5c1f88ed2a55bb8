//! What other tasks use to talk to the controller.

use tokio::sync::{mpsc, oneshot};

use coltsfootport_core::mesh::{ReadersConfig, ReadersView, Refusal};
use coltsfootport_core::quarantine::Finding;
use coltsfootport_core::workspace::{QuotaUsage, Verdict};

use super::{
    AdmissionRequest, AdmittedRequest, ControllerEvent, Denial, InstanceRequest, RetryRequest,
    SelectedInstance, SlotGrant, SlotRefusal, SlotRequest,
};
use crate::mesh::call::Report;

/// Sends messages to the controller and waits for replies.
#[derive(Clone, Debug)]
pub struct ControllerHandle {
    tx: mpsc::UnboundedSender<ControllerEvent>,
}

impl ControllerHandle {
    /// A handle that sends to this channel.
    pub fn new(tx: mpsc::UnboundedSender<ControllerEvent>) -> Self {
        Self { tx }
    }

    /// Tells the controller something that needs no reply.
    pub fn tell(&self, event: ControllerEvent) {
        // The controller lives as long as the process.
        let _ = self.tx.send(event);
    }

    /// Who reads the publisher.
    pub async fn readers_view(&self, cfg: ReadersConfig) -> Option<ReadersView> {
        self.ask(|tx| ControllerEvent::ReadersView(cfg, tx)).await
    }

    /// Asks whether and how a request may go on.
    pub async fn admit(&self, ask: AdmissionRequest) -> Result<AdmittedRequest, Denial> {
        let denied = Denial {
            refusal: Refusal::Stopping,
            retry_after: None,
            config_version: 0,
        };
        self.ask(|tx| ControllerEvent::Admit(ask, tx))
            .await
            .unwrap_or(Err(denied))
    }

    /// Asks for an instance.
    ///
    /// # Errors
    ///
    /// Why the request goes to none.
    pub async fn send(&self, ask: InstanceRequest) -> Result<SelectedInstance, Refusal> {
        self.ask(|tx| ControllerEvent::SelectInstance(ask, tx))
            .await
            .unwrap_or(Err(Refusal::Stopping))
    }

    /// What this node knows of requests that crash targets, where it differs from what the digest stands for.
    pub async fn findings(&self, digest: u64) -> Vec<Finding> {
        let asked = self.ask(|tx| ControllerEvent::FindingsRequested(digest, tx));
        asked.await.unwrap_or_default()
    }

    /// Tells this node, as a home, what another one has used.
    pub async fn claim_quotas(&self, claims: Vec<QuotaUsage>) -> Vec<Verdict> {
        let asked = self.ask(|tx| ControllerEvent::QuotaClaimsReceived(claims, tx));
        asked.await.unwrap_or_default()
    }

    /// Asks whether a failed request may be sent again.
    pub async fn retry(&self, ask: RetryRequest) -> bool {
        self.ask(|tx| ControllerEvent::Retry(ask, tx))
            .await
            .unwrap_or(false)
    }

    /// Asks for a slot, and waits until there is one.
    pub async fn enter(&self, ask: SlotRequest) -> Result<SlotGrant, SlotRefusal> {
        let refused = SlotRefusal {
            refusal: Refusal::Stopping,
            retry_after: None,
            report: Report::default(),
        };
        self.ask(|tx| ControllerEvent::AcquireSlot(ask, tx))
            .await
            .unwrap_or(Err(refused))
    }

    /// Whether the node can serve.
    pub async fn is_ready(&self) -> bool {
        self.ask(ControllerEvent::Readiness).await.unwrap_or(false)
    }

    /// Requests of others that wait or run here.
    pub async fn hosted(&self) -> usize {
        self.ask(ControllerEvent::HostedRequests).await.unwrap_or(0)
    }

    async fn ask<T, F>(&self, event: F) -> Option<T>
    where
        F: FnOnce(oneshot::Sender<T>) -> ControllerEvent,
    {
        let (tx, rx) = oneshot::channel();
        self.tx.send(event(tx)).ok()?;
        rx.await.ok()
    }
}
