//! Client side of the gate task.

use std::sync::Arc;

use coltsfootport_core::admission::Level;
use coltsfootport_core::error_kind::ErrorKind;
use coltsfootport_core::once::{Refusal, Token, Try};
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot};

use super::{
    AdmissionDecision, AdmissionRequest, Completion, CompletionReply, ContextHandle,
    DownstreamGuard, DownstreamPermit, GateMessage, GateStatus, InFlightKey, Parent,
};
use crate::data::{Answer, HostReport, Refused};

/// Handle to the gate task. Async methods wait for its reply; the others only send a message.
#[derive(Clone, Debug)]
pub struct GateHandle {
    tx: mpsc::UnboundedSender<GateMessage>,
}

impl GateHandle {
    /// Creates a handle that sends its messages to `tx`.
    pub fn new(tx: mpsc::UnboundedSender<GateMessage>) -> Self {
        Self { tx }
    }

    /// Requests admission of a call and waits for the decision while the call is queued.
    pub async fn admit(&self, request: AdmissionRequest) -> AdmissionDecision {
        // The token table has ended with the gate, so it is unknown whether an earlier try has run.
        let closed_error = match request.once {
            Some(_) => ErrorKind::HomeLost,
            None => ErrorKind::NotReady,
        };
        self.ask(|reply| GateMessage::Admit(Box::new(request), reply))
            .await
            .unwrap_or(AdmissionDecision::Refused(Refused::from(closed_error)))
    }

    /// Performs the final check just before the first byte is sent to the target.
    pub async fn dispatch(&self, key: InFlightKey) -> Result<(), ErrorKind> {
        self.ask(|reply| GateMessage::Dispatch(key, reply))
            .await
            .unwrap_or(Err(ErrorKind::NotReady))
    }

    /// Reports the completion of a call in flight.
    pub async fn finish(
        &self,
        key: InFlightKey,
        completion: Completion,
    ) -> Option<CompletionReply> {
        self.ask(|reply| GateMessage::Finish(key, completion, reply))
            .await
    }

    /// Host state to attach to the reply for a call that was never in flight.
    pub async fn report(&self, operation: SmolStr) -> Option<HostReport> {
        self.ask(|reply| GateMessage::Report(operation, reply))
            .await
    }

    /// Looks up the call in flight that a context handle refers to.
    pub async fn parent(&self, handle: ContextHandle) -> Option<Parent> {
        self.ask(|reply| GateMessage::Parent(handle, reply))
            .await
            .flatten()
    }

    /// Grants part of the retry allowance to one attempt of a downstream call.
    pub async fn grant_allowance(&self, key: InFlightKey) -> u16 {
        self.ask(|reply| GateMessage::GrantAllowance(key, reply))
            .await
            .unwrap_or(0)
    }

    /// Returns the unused part of a grant.
    pub fn reclaim_allowance(&self, key: InFlightKey, granted: u16, left: u16) {
        let _ = self
            .tx
            .send(GateMessage::ReclaimAllowance { key, granted, left });
    }

    /// Deducts one retry from the allowance. Returns false if none is left or the call has ended.
    pub async fn spend_retry(&self, key: InFlightKey) -> bool {
        self.ask(|reply| GateMessage::SpendRetry(key, reply))
            .await
            .unwrap_or(false)
    }

    /// Waits for identical downstream calls to end. Returns `None` if the call in flight has ended.
    pub async fn downstream_permit(
        &self,
        key: InFlightKey,
        fingerprint: u64,
    ) -> Option<DownstreamPermit> {
        self.ask(|reply| GateMessage::AcquirePermit(key, fingerprint, reply))
            .await
    }

    /// Reports the start of a downstream call; the returned guard reports its end.
    pub fn downstream_started(&self, key: InFlightKey) -> DownstreamGuard {
        DownstreamGuard::new(key, self.tx.clone())
    }

    /// Records the admission level reported by a downstream service for an operation of this target.
    pub fn record_downstream_level(&self, key: InFlightKey, level: Level) {
        let _ = self.tx.send(GateMessage::DownstreamLevel(key, level));
    }

    /// Permanently refuses all tries of a token up to `up_to`, unless the call was sent to the target.
    pub async fn refuse(&self, token: Token, up_to: Try) -> Refusal<Arc<Answer>> {
        self.ask(|reply| GateMessage::Refuse(Box::new(token), up_to, reply))
            .await
            .unwrap_or(Refusal::Unknown)
    }

    /// Starts accepting work.
    pub fn ready(&self) {
        let _ = self.tx.send(GateMessage::Ready);
    }

    /// Starts leaving and waits until no call is in flight.
    pub async fn leave(&self) {
        self.ask(GateMessage::Leave).await;
    }

    /// State for the `status` command and for metrics. `None` if the gate has stopped.
    pub async fn status(&self) -> Option<GateStatus> {
        self.ask(GateMessage::Status).await
    }

    async fn ask<T, M>(&self, message: M) -> Option<T>
    where
        M: FnOnce(oneshot::Sender<T>) -> GateMessage,
    {
        let (reply, answer) = oneshot::channel();
        self.tx.send(message(reply)).ok()?;
        answer.await.ok()
    }
}
