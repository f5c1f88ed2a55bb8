//! Guard that reports the end of a long answer.

use std::time::Instant;

use coltsfootport_core::quarantine::Fingerprint;
use tokio::sync::mpsc;

use super::{AnswerEnd, AnswerOf, ControllerEvent};
use crate::clock::SharedClock;

/// Reports the end of a long answer to the controller, also if the task that passes it on is cancelled.
///
/// A run goes on while its answer is passed on, long after its slot was released: the target may still make calls on its
/// behalf, and a stopping node must wait for it.
pub struct AnswerGuard {
    pub(super) of: AnswerOf,
    /// The request, if a complete answer clears it.
    pub(super) clears: Option<Fingerprint>,
    pub(super) since: Instant,
    pub(super) clock: SharedClock,
    pub(super) tx: mpsc::UnboundedSender<ControllerEvent>,
    pub(super) is_complete: bool,
}

impl AnswerGuard {
    /// Reports that the answer was passed on completely.
    pub fn finish(mut self) {
        self.is_complete = true;
    }
}

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        let took = self.clock.now().saturating_duration_since(self.since);
        let ended = ControllerEvent::AnswerEnded(AnswerEnd {
            of: self.of.clone(),
            took: self.is_complete.then_some(took),
            cleared: self.clears.filter(|_| self.is_complete),
        });
        // The controller runs until the process exits, so a failed send can be ignored.
        let _ = self.tx.send(ended);
    }
}

impl std::fmt::Debug for AnswerGuard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("AnswerGuard").field("of", &self.of).finish()
    }
}
