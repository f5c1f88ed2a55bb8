//! What other tasks use to talk to the controller.

use tokio::sync::{mpsc, oneshot};

use coltsfootport_core::mesh::{ReadersConfig, ReadersView, Refusal};
use coltsfootport_core::quarantine::Finding;
use coltsfootport_core::workspace::{QuotaUsage, Verdict};

use super::{
    AdmitAsk, Admitted, ControllerEvent, Denied, EnterAsk, Granted, NotGranted, RetryAsk, SendAsk,
    SendTo,
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
    pub async fn admit(&self, ask: AdmitAsk) -> Result<Admitted, Denied> {
        let denied = Denied {
            refusal: Refusal::Stopping,
            retry_after: None,
            config: 0,
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
    pub async fn send(&self, ask: SendAsk) -> Result<SendTo, Refusal> {
        self.ask(|tx| ControllerEvent::Send(ask, tx))
            .await
            .unwrap_or(Err(Refusal::Stopping))
    }

    /// What this node knows of requests that crash targets, where it differs from what the digest stands for.
    pub async fn findings(&self, digest: u64) -> Vec<Finding> {
        let asked = self.ask(|tx| ControllerEvent::FindingsPulled(digest, tx));
        asked.await.unwrap_or_default()
    }

    /// Tells this node, as a home, what another one has used.
    pub async fn claim_quotas(&self, claims: Vec<QuotaUsage>) -> Vec<Verdict> {
        let asked = self.ask(|tx| ControllerEvent::QuotaClaimed(claims, tx));
        asked.await.unwrap_or_default()
    }

    /// Asks whether a failed request may be sent again.
    pub async fn retry(&self, ask: RetryAsk) -> bool {
        self.ask(|tx| ControllerEvent::Retry(ask, tx))
            .await
            .unwrap_or(false)
    }

    /// Asks for a slot, and waits until there is one.
    pub async fn enter(&self, ask: EnterAsk) -> Result<Granted, NotGranted> {
        let refused = NotGranted {
            refusal: Refusal::Stopping,
            retry_after: None,
            report: Report::default(),
        };
        self.ask(|tx| ControllerEvent::Enter(ask, tx))
            .await
            .unwrap_or(Err(refused))
    }

    /// Whether the node can serve.
    pub async fn is_ready(&self) -> bool {
        self.ask(ControllerEvent::IsReady).await.unwrap_or(false)
    }

    /// Requests of others that wait or run here.
    pub async fn hosted(&self) -> usize {
        self.ask(ControllerEvent::Hosted).await.unwrap_or(0)
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
