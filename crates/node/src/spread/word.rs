//! What a node tells about itself.

use coltsfootport_core::id::{Incarnation, NodeName};
use coltsfootport_core::membership::NodeState;
use coltsfootport_core::once::Tick;

use crate::data::HostReport;

/// A node's word about its own state, which goes before the lagging list.
#[derive(Clone, Debug)]
pub struct Word {
    /// The node.
    pub node: NodeName,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its state.
    pub state: NodeState,
    /// When it was told, by the node's own tick.
    pub tick: Tick,
    /// Revision of the newest entry that it holds; 0 in words that are passed on.
    pub revision: u64,
}

impl From<&HostReport> for Word {
    fn from(report: &HostReport) -> Self {
        Self {
            node: report.node.clone(),
            incarnation: report.incarnation,
            state: report.state,
            tick: Tick(report.tick.0),
            revision: report.revision,
        }
    }
}
