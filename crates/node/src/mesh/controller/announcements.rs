//! What the local target announces about itself in its responses.

use std::time::Instant;

use coltsfootport_core::mesh::{Announcement, InstanceKey};
use slog::info;

use super::Controller;

impl Controller {
    /// Applies what the local target announced in a response as the instance with this id.
    pub(super) fn apply_announcement(
        &mut self,
        instance: &str,
        announced: Announcement,
        now: Instant,
    ) {
        // A late response of an earlier instance says nothing about its successor.
        let own = self.fleet.at_address(self.cfg.target);
        if own.is_some_and(|own| own.id != instance) {
            return;
        }
        if self.gate.set_rate_limit(announced.rate_limit, now) {
            info!(self.journal.log(), "target's rate limit"; "instance" => instance,
                "per_second" => announced.rate_limit);
        }
        let own = self.fleet.key_of(instance).filter(|_| announced.leaving);
        if let Some(key) = own {
            self.note_leaving(key);
            self.refuse_waiters_of_stopped();
        }
    }

    /// Records that an instance announced in a response that it is leaving.
    pub(super) fn note_leaving(&mut self, key: InstanceKey) {
        if let Some(id) = self.fleet.mark_leaving(key) {
            info!(self.journal.log(), "instance is leaving"; "instance" => id.as_str());
        }
    }

    /// Forgets what is known of the local target's process if another one runs at its address.
    pub(super) fn note_target_process(&mut self, now: Instant) {
        let own = self.fleet.at_address(self.cfg.target);
        let process = own.map(|own| (own.id.clone(), own.started_at_ms));
        if process.is_some() && process != self.target_process {
            self.target_process = process;
            self.gate.reset_for_new_process(now);
            self.follow_silence();
        }
    }
}
