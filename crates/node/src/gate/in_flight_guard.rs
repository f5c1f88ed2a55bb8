//! Guard that owns a call in flight.

use tokio::sync::mpsc;

use super::{GateMessage, InFlightKey};

/// Owns a call in flight and reports it to the gate as abandoned if dropped before being released.
///
/// When a caller disconnects, the future that serves it is dropped at an await point. Without the guard, the call would
/// occupy the concurrency limit forever: the limit would fill up while the target is idle.
#[derive(Debug)]
pub struct InFlightGuard {
    key: InFlightKey,
    tx: Option<mpsc::UnboundedSender<GateMessage>>,
}

impl InFlightGuard {
    /// Creates the guard of a call in flight.
    pub fn new(key: InFlightKey, tx: mpsc::UnboundedSender<GateMessage>) -> Self {
        Self { key, tx: Some(tx) }
    }

    /// Key of the call.
    pub fn key(&self) -> InFlightKey {
        self.key
    }

    /// Disarms the guard; the caller becomes responsible for reporting the end of the call.
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
