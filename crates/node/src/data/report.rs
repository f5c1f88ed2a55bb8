//! State of a host as reported to its peers.

use coltsfootport_core::admission::Level;
use coltsfootport_core::class::Class;
use coltsfootport_core::id::{Incarnation, NodeName};
use coltsfootport_core::membership::NodeState;
use coltsfootport_core::once::Tick;

use crate::wire::ReportFrame;

/// State of a host, sent with every reply and hello message.
#[derive(Clone, Debug)]
pub struct HostReport {
    /// Name of the node.
    pub node: NodeName,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Monotonic tick of the node at the time of the report.
    pub tick: Tick,
    /// State of the node, which tells whether it accepts calls.
    pub state: NodeState,
    /// Number of calls that its target is running.
    pub in_flight: u32,
    /// Number of queued calls.
    pub queued: u32,
    /// Concurrency limit of the target.
    pub limit: u32,
    /// Admission level of the operation's subtree.
    pub level: Level,
    /// Revision of the newest published entry that the node holds.
    pub revision: u64,
}

impl From<&HostReport> for ReportFrame {
    fn from(report: &HostReport) -> Self {
        Self {
            node: report.node.0.clone(),
            incarnation: report.incarnation.0,
            tick: report.tick.0,
            state: report.state,
            in_flight: report.in_flight,
            queued: report.queued,
            limit: report.limit,
            level_class: report.level.class.0,
            level_bucket: report.level.bucket,
            revision: report.revision,
        }
    }
}

impl From<ReportFrame> for HostReport {
    fn from(frame: ReportFrame) -> Self {
        Self {
            node: NodeName(frame.node),
            incarnation: Incarnation(frame.incarnation),
            tick: Tick(frame.tick),
            state: frame.state,
            in_flight: frame.in_flight,
            queued: frame.queued,
            limit: frame.limit,
            level: Level {
                class: Class(frame.level_class),
                bucket: frame.level_bucket,
            },
            revision: frame.revision,
        }
    }
}
