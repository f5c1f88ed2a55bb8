//! Accounting of one attempt.

use coltsfootport_core::id::ServiceName;
use coltsfootport_core::routing::{PeerKey, RouteResult};
use smol_str::SmolStr;
use tokio::sync::mpsc;

use super::{AttemptEnd, RoutesMessage};
use crate::data::HostReport;

/// Accounts for one attempt; dropped without an end it counts as cancelled.
///
/// Without it a caller that leaves would leave its attempt counted as in flight for ever, and the host would look busier with
/// each one until no call is sent there.
#[derive(Debug)]
pub struct AttemptGuard {
    end: Option<AttemptEnd>,
    tx: mpsc::UnboundedSender<RoutesMessage>,
}

impl AttemptGuard {
    /// A guard for an attempt that was just counted.
    pub fn new(
        peer: PeerKey,
        service: ServiceName,
        operation: SmolStr,
        tx: mpsc::UnboundedSender<RoutesMessage>,
    ) -> Self {
        let result = RouteResult::Cancelled;
        Self {
            end: Some(AttemptEnd {
                peer,
                service,
                operation,
                result,
                report: None,
            }),
            tx,
        }
    }

    /// The host.
    pub fn peer(&self) -> Option<PeerKey> {
        self.end.as_ref().map(|end| end.peer)
    }

    /// Tells how the attempt ended.
    pub fn finish(mut self, result: RouteResult, report: Option<HostReport>) {
        if let Some(end) = &mut self.end {
            end.result = result;
            end.report = report;
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if let Some(end) = self.end.take() {
            let _ = self.tx.send(RoutesMessage::AttemptEnded(end));
        }
    }
}
