//! Ownership of a target's own call.

use tokio::sync::mpsc;

use super::{GateMessage, InFlightKey};

/// Tells the gate when a target's own call ends, also where it is given up at any await.
///
/// Without it a cancelled call would count as under way for ever, and its parent as waiting below.
#[derive(Debug)]
pub struct DownstreamGuard {
    key: InFlightKey,
    tx: mpsc::UnboundedSender<GateMessage>,
    succeeded: bool,
}

impl DownstreamGuard {
    /// Notes that a call on behalf of this call in flight began.
    pub fn new(key: InFlightKey, tx: mpsc::UnboundedSender<GateMessage>) -> Self {
        let _ = tx.send(GateMessage::DownstreamStarted(key));
        Self {
            key,
            tx,
            succeeded: false,
        }
    }

    /// Notes that the call was answered with success, and ends it.
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
