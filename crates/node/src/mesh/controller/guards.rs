//! RAII guards that return resources to the controller, even if the task that holds them is cancelled.

use std::time::Instant;

use coltsfootport_core::id::ServiceName;
use coltsfootport_core::mesh::{Announcement, InstanceKey, RequestKind, SendOutcome, Ticket};
use coltsfootport_core::quarantine::Fingerprint;
use smol_str::SmolStr;
use tokio::sync::{mpsc, oneshot};

use super::{AnswerGuard, AnswerOf, CompletedSend, ControllerEvent, RunOutcome, SlotRelease};
use crate::clock::SharedClock;
use crate::mesh::call::{Report, RunEnd};

/// Tracks a request that was sent to an instance.
///
/// If the task is cancelled because its caller disconnected, the guard still reports the end of the request. Otherwise
/// the request would stay counted, and an instance with many such callers would look full forever.
pub struct SendGuard {
    pub(super) first_attempt: bool,
    pub(super) key: InstanceKey,
    pub(super) service: ServiceName,
    pub(super) route: SmolStr,
    pub(super) kind: RequestKind,
    pub(super) fingerprint: Fingerprint,
    pub(super) parent: Option<SmolStr>,
    pub(super) since: Instant,
    pub(super) clock: SharedClock,
    pub(super) tx: mpsc::UnboundedSender<ControllerEvent>,
    pub(super) answer_complete: bool,
    pub(super) target_leaving: bool,
    pub(super) reported: bool,
}

impl SendGuard {
    /// Records that the target's response arrived completely.
    pub fn set_answer_complete(&mut self) {
        self.answer_complete = true;
    }

    /// Records that the target announced in its response that it is leaving.
    pub fn set_target_leaving(&mut self) {
        self.target_leaving = true;
    }

    /// Returns a guard that reports when the answer has been passed on to the caller. If `clears` is set, the complete
    /// answer shows that the target is unharmed by the request.
    pub fn answer_guard(&self, clears: bool) -> AnswerGuard {
        AnswerGuard {
            of: AnswerOf::Route(self.route.clone()),
            clears: clears.then_some(self.fingerprint),
            since: self.since,
            clock: self.clock.clone(),
            tx: self.tx.clone(),
            is_complete: false,
        }
    }

    /// Reports the outcome of the request to the controller.
    pub fn end(mut self, outcome: SendOutcome, report: Option<Report>) {
        self.report_end(outcome, report);
    }

    fn report_end(&mut self, outcome: SendOutcome, report: Option<Report>) {
        self.reported = true;
        let ended = CompletedSend {
            first_attempt: self.first_attempt,
            outcome,
            took: self.clock.now().saturating_duration_since(self.since),
            service: self.service.clone(),
            route: self.route.clone(),
            kind: self.kind,
            fingerprint: self.fingerprint,
            answer_complete: self.answer_complete,
            target_leaving: self.target_leaving,
            parent: self.parent.clone(),
            report,
        };
        // The controller runs until the process exits, so a failed send can be ignored.
        let _ = self
            .tx
            .send(ControllerEvent::SendCompleted(self.key, ended));
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        if !self.reported {
            self.report_end(SendOutcome::Abandoned, None);
        }
    }
}

impl std::fmt::Debug for SendGuard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SendGuard").field("key", &self.key).finish()
    }
}

/// Holds a slot of the local target and releases it when dropped.
pub struct SlotGuard {
    pub(super) ticket: Ticket,
    pub(super) since: Instant,
    pub(super) clock: SharedClock,
    pub(super) tx: mpsc::UnboundedSender<ControllerEvent>,
    pub(super) sent_at: Option<Instant>,
    pub(super) released: bool,
}

impl SlotGuard {
    /// Records that the request is being sent as a whole.
    pub fn mark_sent(&mut self) {
        self.sent_at = Some(self.clock.now());
    }

    /// Releases the slot and returns the outcome of the run.
    pub async fn release(mut self, end: RunEnd, announcement: Option<Announcement>) -> RunOutcome {
        let (tx, rx) = oneshot::channel();
        self.report_release(end, announcement, false, Some(tx));
        rx.await.unwrap_or_default()
    }

    /// Releases the slot while the target is still sending its answer. The run goes on until the returned guard is
    /// dropped. If `clears` is set, the complete answer shows that the target is unharmed by that request.
    pub async fn release_answering(
        mut self,
        end: RunEnd,
        clears: Option<Fingerprint>,
        announcement: Option<Announcement>,
    ) -> (RunOutcome, AnswerGuard) {
        // Created first: without it, the run would never end if this future is dropped.
        let guard = AnswerGuard {
            of: AnswerOf::Run(self.ticket),
            clears,
            since: self.since,
            clock: self.clock.clone(),
            tx: self.tx.clone(),
            is_complete: false,
        };
        let (tx, rx) = oneshot::channel();
        self.report_release(end, announcement, true, Some(tx));
        (rx.await.unwrap_or_default(), guard)
    }

    fn report_release(
        &mut self,
        end: RunEnd,
        announcement: Option<Announcement>,
        answering: bool,
        reply: Option<oneshot::Sender<RunOutcome>>,
    ) {
        self.released = true;
        let now = self.clock.now();
        let release = SlotRelease {
            held: now.saturating_duration_since(self.since),
            waited: self.sent_at.map(|at| now.saturating_duration_since(at)),
            end,
            announcement,
            answering,
        };
        let _ = self
            .tx
            .send(ControllerEvent::SlotReleased(self.ticket, release, reply));
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if !self.released {
            self.report_release(RunEnd::Unanswered, None, false, None);
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
