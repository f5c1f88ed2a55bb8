//! Handle through which other tasks communicate with the controller.

use tokio::sync::{mpsc, oneshot};

use coltsfootport_core::mesh::{ReadersConfig, ReadersView, Refusal};
use coltsfootport_core::quarantine::Finding;
use coltsfootport_core::workspace::{QuotaUsage, Verdict};

use super::{
    AcquireSlotRequest, AdmissionRequest, AdmittedRequest, ControllerEvent, Denial, InstanceGrant,
    InstanceRequest, RetryRequest, SlotGrant, SlotRefusal,
};
use crate::mesh::call::{AttemptToken, Report};

/// Sends events to the controller and waits for the replies.
#[derive(Clone, Debug)]
pub struct ControllerHandle {
    tx: mpsc::UnboundedSender<ControllerEvent>,
}

impl ControllerHandle {
    /// Creates a handle that sends to this channel.
    pub fn new(tx: mpsc::UnboundedSender<ControllerEvent>) -> Self {
        Self { tx }
    }

    /// Sends an event that needs no reply.
    pub fn notify(&self, event: ControllerEvent) {
        // The controller runs until the process exits, so a failed send can be ignored.
        let _ = self.tx.send(event);
    }

    /// Returns which nodes read from the publisher directly.
    pub async fn readers_view(&self, cfg: ReadersConfig) -> Option<ReadersView> {
        self.request(|tx| ControllerEvent::ReadersView(cfg, tx))
            .await
    }

    /// Asks for the admission of a request.
    pub async fn admit(&self, req: AdmissionRequest) -> Result<AdmittedRequest, Denial> {
        let stopping = Denial {
            refusal: Refusal::Stopping,
            retry_after: None,
            config_version: 0,
        };
        self.request(|tx| ControllerEvent::Admit(req, tx))
            .await
            .unwrap_or(Err(stopping))
    }

    /// Asks for an instance to send a request to.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request must not be sent to any instance.
    pub async fn select_instance(&self, req: InstanceRequest) -> Result<InstanceGrant, Refusal> {
        self.request(|tx| ControllerEvent::SelectInstance(req, tx))
            .await
            .unwrap_or(Err(Refusal::Stopping))
    }

    /// Returns the findings of this node about requests that crash targets, unless they match `digest`.
    pub async fn findings(&self, digest: u64) -> Vec<Finding> {
        let reply = self.request(|tx| ControllerEvent::FindingsRequested(digest, tx));
        reply.await.unwrap_or_default()
    }

    /// Submits the quota usage of another node to this node, which is the home of those quotas.
    pub async fn claim_quotas(&self, claims: Vec<QuotaUsage>) -> Vec<Verdict> {
        let reply = self.request(|tx| ControllerEvent::QuotaClaimsReceived(claims, tx));
        reply.await.unwrap_or_default()
    }

    /// Asks whether a failed request may be retried.
    pub async fn allow_retry(&self, req: RetryRequest) -> bool {
        self.request(|tx| ControllerEvent::Retry(req, tx))
            .await
            .unwrap_or(false)
    }

    /// Asks for a slot at the local target and waits until it is granted or refused.
    pub async fn acquire_slot(&self, req: AcquireSlotRequest) -> Result<SlotGrant, SlotRefusal> {
        let stopping = SlotRefusal {
            refusal: Refusal::Stopping,
            retry_after: None,
            report: Report::default(),
        };
        self.request(|tx| ControllerEvent::AcquireSlot(req, tx))
            .await
            .unwrap_or(Err(stopping))
    }

    /// Takes back a request that may wait for a slot at the local target. Returns whether it waited or runs there.
    pub async fn withdraw(&self, attempt: AttemptToken) -> bool {
        self.request(|tx| ControllerEvent::Withdraw(attempt, tx))
            .await
            .unwrap_or(false)
    }

    /// Whether the node is ready to serve requests.
    pub async fn is_ready(&self) -> bool {
        self.request(ControllerEvent::Readiness)
            .await
            .unwrap_or(false)
    }

    /// Number of requests from other nodes that wait or run here.
    pub async fn hosted_requests(&self) -> usize {
        self.request(ControllerEvent::HostedRequests)
            .await
            .unwrap_or(0)
    }

    /// Status report of this host.
    pub async fn report(&self) -> Report {
        self.request(ControllerEvent::Report)
            .await
            .unwrap_or_default()
    }

    async fn request<T, F>(&self, event: F) -> Option<T>
    where
        F: FnOnce(oneshot::Sender<T>) -> ControllerEvent,
    {
        let (tx, rx) = oneshot::channel();
        self.tx.send(event(tx)).ok()?;
        rx.await.ok()
    }
}
