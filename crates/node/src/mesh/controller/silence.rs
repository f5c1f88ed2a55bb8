//! Reactions to a local target that stops responding, and that goes on.

use slog::{info, warn};
use tokio::task::JoinSet;

use super::{Controller, ControllerEvent};
use crate::mesh::target::wait_until_reading;

impl Controller {
    /// Starts to wait for a target that has stopped responding to go on, or ends that wait.
    pub(super) fn follow_silence(&mut self) {
        match (self.silence_watch.is_empty(), self.gate.is_silent()) {
            (true, true) => {
                let (target, tx) = (self.cfg.target, self.tx.clone());
                self.silence_watch.spawn(async move {
                    wait_until_reading(target).await;
                    let _ = tx.send(ControllerEvent::TargetReads);
                });
            }
            (false, false) => self.silence_watch = JoinSet::new(),
            (true, false) | (false, true) => {}
        }
    }

    /// Logs a silence of the target and its end. Called periodically, so that a silence of a few milliseconds, after
    /// which the target proves to work, leaves no lines.
    pub(super) fn log_silence(&mut self) {
        let is_silent = self.gate.is_silent();
        if is_silent == self.logged_silence {
            return;
        }
        self.logged_silence = is_silent;
        if is_silent {
            self.metrics.target_silences.inc();
            warn!(self.journal.log(), "target does not respond"; "running" => self.gate.running());
        } else {
            info!(self.journal.log(), "target responds again");
        }
    }

    /// Uses the target without restriction again.
    pub(super) fn note_target_reads(&mut self) {
        let now = self.clock.now();
        self.gate.record_activity(now);
        self.follow_silence();
        self.start_queued(now);
    }
}
