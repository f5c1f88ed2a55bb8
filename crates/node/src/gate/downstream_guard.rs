//! Guard that tracks a downstream call until it ends.

use tokio::sync::mpsc;

use super::{GateMessage, InFlightKey};

/// Reports the start and end of a downstream call to the gate, even if its future is dropped at an await point.
///
/// Without the guard, a cancelled downstream call would stay active forever, and the call in flight would count as
/// waiting for it.
#[derive(Debug)]
pub struct DownstreamGuard {
    key: InFlightKey,
    tx: mpsc::UnboundedSender<GateMessage>,
    succeeded: bool,
}

impl DownstreamGuard {
    /// Reports the start of a downstream call made on behalf of the call in flight `key`.
    pub fn new(key: InFlightKey, tx: mpsc::UnboundedSender<GateMessage>) -> Self {
        let _ = tx.send(GateMessage::DownstreamStarted(key));
        Self {
            key,
            tx,
            succeeded: false,
        }
    }

    /// Marks the downstream call as successful and reports its end.
    pub fn succeeded(mut self) {
        self.succeeded = true;
    }
}

impl Drop for DownstreamGuard {
    fn drop(&mut self) {
        let _ = self.tx.send(GateMessage::DownstreamEnded {
            key: self.key,
            succeeded: self.succeeded,
        });
    }
}
