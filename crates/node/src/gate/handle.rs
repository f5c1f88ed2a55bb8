//! Sends messages to the gate.

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

/// Handle to the gate; every method waits for the gate's word.
#[derive(Clone, Debug)]
pub struct GateHandle {
    tx: mpsc::UnboundedSender<GateMessage>,
}

impl GateHandle {
    /// A handle that sends into `tx`.
    pub fn new(tx: mpsc::UnboundedSender<GateMessage>) -> Self {
        Self { tx }
    }

    /// Asks to run a call; waits while it is queued.
    pub async fn admit(&self, request: AdmissionRequest) -> AdmissionDecision {
        // The table of tokens has ended with the gate, so nothing is known of an earlier try any more.
        let closed_error = match request.once {
            Some(_) => ErrorKind::HomeLost,
            None => ErrorKind::NotReady,
        };
        self.ask(|reply| GateMessage::Admit(Box::new(request), reply))
            .await
            .unwrap_or(AdmissionDecision::Refused(Refused::from(closed_error)))
    }

    /// The last check right before the first byte goes to the target.
    pub async fn dispatch(&self, key: InFlightKey) -> Result<(), ErrorKind> {
        self.ask(|reply| GateMessage::Dispatch(key, reply))
            .await
            .unwrap_or(Err(ErrorKind::NotReady))
    }

    /// Reports the end of a call in flight.
    pub async fn finish(
        &self,
        key: InFlightKey,
        completion: Completion,
    ) -> Option<CompletionReply> {
        self.ask(|reply| GateMessage::Finish(key, completion, reply))
            .await
    }

    /// State for a reply about a call that never was in flight.
    pub async fn report(&self, operation: SmolStr) -> Option<HostReport> {
        self.ask(|reply| GateMessage::Report(operation, reply))
            .await
    }

    /// The call in flight that a context handle names.
    pub async fn parent(&self, handle: ContextHandle) -> Option<Parent> {
        self.ask(|reply| GateMessage::Parent(handle, reply))
            .await
            .flatten()
    }

    /// A part of the allowance for one attempt of a target's own call.
    pub async fn grant_allowance(&self, key: InFlightKey) -> u16 {
        self.ask(|reply| GateMessage::GrantAllowance(key, reply))
            .await
            .unwrap_or(0)
    }

    /// Returns what an attempt left of its part.
    pub fn reclaim_allowance(&self, key: InFlightKey, granted: u16, left: u16) {
        let _ = self
            .tx
            .send(GateMessage::ReclaimAllowance { key, granted, left });
    }

    /// Takes one retry out of the allowance.
    pub async fn spend_retry(&self, key: InFlightKey) -> bool {
        self.ask(|reply| GateMessage::SpendRetry(key, reply))
            .await
            .unwrap_or(false)
    }

    /// Waits until no other call of the target asks for the same thing; `None` where the call in flight has ended.
    pub async fn downstream_permit(
        &self,
        key: InFlightKey,
        fingerprint: u64,
    ) -> Option<DownstreamPermit> {
        self.ask(|reply| GateMessage::AcquirePermit(key, fingerprint, reply))
            .await
    }

    /// Notes that a target's own call began, and with the guard's end that it ended.
    pub fn downstream_started(&self, key: InFlightKey) -> DownstreamGuard {
        DownstreamGuard::new(key, self.tx.clone())
    }

    /// Notes the admission level heard below an operation of this target.
    pub fn record_downstream_level(&self, key: InFlightKey, level: Level) {
        let _ = self.tx.send(GateMessage::DownstreamLevel(key, level));
    }

    /// Refuses all tries of a token up to a number for good.
    pub async fn refuse(&self, token: Token, up_to: Try) -> Refusal<Arc<Answer>> {
        self.ask(|reply| GateMessage::Refuse(Box::new(token), up_to, reply))
            .await
            .unwrap_or(Refusal::Unknown)
    }

    /// Lets the node take work.
    pub fn ready(&self) {
        let _ = self.tx.send(GateMessage::Ready);
    }

    /// Begins to leave and waits until nothing is in flight.
    pub async fn leave(&self) {
        self.ask(GateMessage::Leave).await;
    }

    /// Figures for people and metrics.
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
