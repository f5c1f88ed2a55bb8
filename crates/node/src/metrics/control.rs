//! Metrics of the control traffic between nodes.

use prometheus::{Error, IntCounterVec, Registry};

use super::register;

/// Kind of a control message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ControlKind {
    /// First message on a connection, and announcements of a changed state.
    Hello,
    /// Load, admission level and lifecycle state of a node.
    Report,
    /// Revisions that a node holds.
    Digest,
    /// Documents and instance lists.
    Documents,
    /// Request to the home of a token to refuse it permanently, and the reply.
    Burn,
    /// Cancellation of a call.
    Cancel,
}

/// Metrics of all traffic between nodes other than calls.
#[derive(Clone, Debug)]
pub struct ControlMetrics {
    sent: IntCounterVec,
    received: IntCounterVec,
}

impl ControlMetrics {
    pub(super) fn new(reg: &Registry) -> Result<Self, Error> {
        let metrics = Self {
            sent: register::counter_vec(
                reg,
                "control_sent_bytes_total",
                "Bytes of control messages sent to peers, by kind.",
                &["kind"],
            )?,
            received: register::counter_vec(
                reg,
                "control_received_bytes_total",
                "Bytes of control messages received from peers, by kind.",
                &["kind"],
            )?,
        };
        for kind in ControlKind::ALL {
            metrics.record_sent(kind, 0);
            metrics.record_received(kind, 0);
        }
        Ok(metrics)
    }

    /// Counts sent bytes.
    pub fn record_sent(&self, kind: ControlKind, bytes: usize) {
        self.sent
            .with_label_values(&[kind.as_str()])
            .inc_by(bytes as u64);
    }

    /// Counts received bytes.
    pub fn record_received(&self, kind: ControlKind, bytes: usize) {
        self.received
            .with_label_values(&[kind.as_str()])
            .inc_by(bytes as u64);
    }
}

impl ControlKind {
    /// All kinds.
    pub const ALL: [Self; 6] = [
        Self::Hello,
        Self::Report,
        Self::Digest,
        Self::Documents,
        Self::Burn,
        Self::Cancel,
    ];

    /// Returns the label value used in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Hello => "hello",
            Self::Report => "report",
            Self::Digest => "digest",
            Self::Documents => "documents",
            Self::Burn => "burn",
            Self::Cancel => "cancel",
        }
    }
}
