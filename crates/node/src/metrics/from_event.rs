//! Updates metrics from timeline events.

use std::time::Duration;

use coltsfootport_core::timeline::Event;

use super::{Metrics, TokenEvent};

impl Metrics {
    /// Updates the metrics that depend on a timeline event, so that metrics and timeline can't disagree.
    pub fn record_event(&self, event: &Event) {
        match event {
            Event::Admitted { elapsed_us, .. } => {
                self.admission
                    .record_queue_wait(Duration::from_micros(*elapsed_us));
            }
            Event::Retried { error, .. } => self.calls.record_retry(*error),
            Event::TokenMinted { count, .. } => {
                self.tokens.count(TokenEvent::Minted, (*count).into());
            }
            Event::TokenReplayed { .. } => self.tokens.count(TokenEvent::Replayed, 1),
            Event::TokenJoined { .. } => self.tokens.count(TokenEvent::Joined, 1),
            Event::TokenBurned { .. } => self.tokens.count(TokenEvent::Burned, 1),
            Event::DocumentInForce { service, revision } => {
                self.documents.set_in_force(service, *revision);
            }
            Event::DocumentRejected { service, .. } => self.documents.record_rejected(service),
            Event::ReaderBecame => self.documents.set_reader(true),
            Event::ReaderCeased => self.documents.set_reader(false),
            Event::InvariantBreached { invariant } => self.faults.record_breach(*invariant),
            _ => {}
        }
    }
}
