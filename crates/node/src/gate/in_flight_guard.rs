//! Ownership of a call in flight.

use tokio::sync::mpsc;

use super::{GateMessage, InFlightKey};

/// Owns a call in flight; dropped without an end it tells the gate that the call was abandoned.
///
/// A caller that leaves drops the future that serves it at any await. Without the guard the call would keep its place in the
/// concurrency limit for ever, which shows as a limit that fills up while the target idles.
#[derive(Debug)]
pub struct InFlightGuard {
    key: InFlightKey,
    tx: Option<mpsc::UnboundedSender<GateMessage>>,
}

impl InFlightGuard {
    /// A guard for a call in flight.
    pub fn new(key: InFlightKey, tx: mpsc::UnboundedSender<GateMessage>) -> Self {
        Self { key, tx: Some(tx) }
    }

    /// The call.
    pub fn key(&self) -> InFlightKey {
        self.key
    }

    /// Gives the call up to somebody who will report its end.
    pub fn release(mut self) -> InFlightKey {
        self.tx = None;
        self.key
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if let Some(tx) = self.tx.take() {
            let _ = tx.send(GateMessage::Abandon(self.key));
        }
    }
}
