//! Guards that give back what the controller gave out, also where the task that holds them is dropped.

use std::time::Instant;

use coltsfootport_core::id::ServiceName;
use coltsfootport_core::mesh::{InstanceKey, SendOutcome, Ticket};
use coltsfootport_core::quarantine::Fingerprint;
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot};

use super::{CompletedSend, ControllerEvent, RunOutcome, SlotRelease};
use crate::clock::SharedClock;
use crate::mesh::call::{Report, RunEnd};

/// A request that is at an instance.
///
/// A task that ends since its caller left would otherwise leave its request counted, and an instance that many callers
/// gave up on would look full for ever.
pub struct SendGuard {
    pub(super) key: InstanceKey,
    pub(super) service: ServiceName,
    pub(super) route: SmolStr,
    pub(super) fingerprint: Fingerprint,
    pub(super) parent: Option<SmolStr>,
    pub(super) since: Instant,
    pub(super) clock: SharedClock,
    pub(super) tx: mpsc::UnboundedSender<ControllerEvent>,
    pub(super) answered_whole: bool,
    pub(super) ended: bool,
}

impl SendGuard {
    /// The target has answered, and the whole answer is here.
    pub fn answered_whole(&mut self) {
        self.answered_whole = true;
    }

    /// The sending has ended.
    pub fn end(mut self, outcome: SendOutcome, report: Option<Report>) {
        self.tell(outcome, report);
    }

    fn tell(&mut self, outcome: SendOutcome, report: Option<Report>) {
        self.ended = true;
        let ended = CompletedSend {
            outcome,
            took: self.clock.now().saturating_duration_since(self.since),
            service: self.service.clone(),
            route: self.route.clone(),
            fingerprint: self.fingerprint,
            answer_complete: self.answered_whole,
            parent: self.parent.clone(),
            report,
        };
        // The controller lives as long as the process; after it nobody counts.
        let _ = self
            .tx
            .send(ControllerEvent::SendCompleted(self.key, ended));
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.tell(SendOutcome::Abandoned, None);
        }
    }
}

impl std::fmt::Debug for SendGuard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SendGuard").field("key", &self.key).finish()
    }
}

/// A slot of the target.
pub struct SlotGuard {
    pub(super) ticket: Ticket,
    pub(super) since: Instant,
    pub(super) clock: SharedClock,
    pub(super) tx: mpsc::UnboundedSender<ControllerEvent>,
    pub(super) left: bool,
}

impl SlotGuard {
    /// Gives the slot back and learns what came of the run.
    pub async fn leave(mut self, end: RunEnd) -> RunOutcome {
        let (tx, rx) = oneshot::channel();
        self.tell(end, Some(tx));
        rx.await.unwrap_or_default()
    }

    fn tell(&mut self, end: RunEnd, reply: Option<oneshot::Sender<RunOutcome>>) {
        self.left = true;
        let held = self.clock.now().saturating_duration_since(self.since);
        let left = SlotRelease { held, end };
        let _ = self
            .tx
            .send(ControllerEvent::SlotReleased(self.ticket, left, reply));
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if !self.left {
            self.tell(RunEnd::Other, None);
        }
    }
}

impl std::fmt::Debug for SlotGuard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SlotGuard")
            .field("ticket", &self.ticket)
            .finish()
    }
}
