//! Accounting of an attempt in flight.

use coltsfootport_core::id::ServiceName;
use coltsfootport_core::routing::{PeerKey, RouteResult};
use smol_str::SmolStr;
use tokio::sync::mpsc;

use super::{AttemptEnd, RoutesMessage};
use crate::data::HostReport;

/// Reports the end of an attempt to the routes task; if dropped without [`AttemptGuard::finish`], as cancelled.
///
/// Without it, the attempt of a caller that disconnects would be counted as in flight forever. The host would appear
/// busier with each such attempt until no call was sent to it.
#[derive(Debug)]
pub struct AttemptGuard {
    end: Option<AttemptEnd>,
    tx: mpsc::UnboundedSender<RoutesMessage>,
}

impl AttemptGuard {
    /// Creates the guard of an attempt that the router has just counted.
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

    /// Returns the key of the host.
    pub fn peer(&self) -> Option<PeerKey> {
        self.end.as_ref().map(|end| end.peer)
    }

    /// Reports the result of the attempt, with the host's report if it replied.
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
